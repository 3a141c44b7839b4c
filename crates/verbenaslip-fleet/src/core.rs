//! A core: a voter of the replicated log, and its leader for a time.

mod begin;
mod branch;
mod call;
mod duties;
mod io;
mod lead;
mod limit;
mod log;
mod note;
mod quarantine;
mod rollout;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_replica::Replica;
use verbenaslip_replica::input as replica;
use verbenaslip_replica::setup::{Limits as LogLimits, Setup as LogSetup};

use crate::clock;
use crate::core::begin::Seeker;
use crate::core::branch::Branch;
use crate::core::call::Waiting;
pub use crate::core::io::{Input, Output, Setup};
pub use crate::core::note::Event;
use crate::departure::Departure;
use crate::frame::Frame;
use crate::hub::{Hub, Progress};
use crate::limit::Limits;
use crate::link::Link;
use crate::order::{self, Dispatcher};
use crate::plan::Planner;
use crate::quarantine::{Quarantine, QuarantinePolicy};
use crate::registry::Registry;
use crate::replicated_state::ReplicatedState;
use crate::rollout::{Controller, Plans};
use crate::voucher::Voucher;

/// The largest command: a route table of the largest body that an operator may send, with the
/// document itself beside it.
const COMMAND: usize = 12 << 20;

/// Composes the decisions of a core.
pub struct Core {
    pub(crate) setup: Settings,
    pub(crate) now: Duration,
    pub(crate) unix: u64,
    pub(crate) replica: Replica,
    pub(crate) ledger: ReplicatedState,
    pub(crate) applied: u64,
    pub(crate) broken: bool,
    pub(crate) registry: Registry,
    /// Upstreams that this core has answered by itself.
    pub(crate) voucher: Voucher,
    pub(crate) hub: Hub,
    pub(crate) link: Link,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) planners: BTreeMap<Arc<str>, Planner>,
    pub(crate) waiting: BTreeMap<u64, Waiting>,
    pub(crate) next: u64,
    /// Since when this core has led under a lease without a break.
    pub(crate) reign: Option<Reign>,
    /// The term in which it led before, if what it led by is still here.
    pub(crate) lapsed: Option<u64>,
    pub(crate) changing: Option<u64>,
    /// Departures that are not proposed yet.
    pub(crate) departing: Vec<Departure>,
    /// The proposal that holds the departures before them.
    pub(crate) noting_departures: Option<u64>,
    /// Upstreams that have come and may not be in the log yet.
    pub(crate) joining: BTreeSet<Upstream>,
    /// The proposal that holds those before them.
    pub(crate) noting_joins: Option<u64>,
    pub(crate) closing: BTreeSet<u64>,
    /// When this core proposed with how many upstreams a service began.
    pub(crate) based: BTreeMap<Arc<str>, Duration>,
    /// The sizes of services that this core has proposed while it leads.
    pub(crate) sized: BTreeMap<Arc<str>, u32>,
    pub(crate) absent: BTreeMap<Instance, Duration>,
    /// Instances that asked this core for the leader while it did not lead.
    pub(crate) seekers: BTreeMap<SocketAddr, Seeker>,
    pub(crate) out: Vec<Output>,
    sweep: Duration,
    /// When changes may be pushed next.
    pub(crate) push_at: Duration,
    /// What every instance that answers has, by what came last.
    pub(crate) known_to_all: Progress,
    /// How many entries there were under the leader before, where that is known.
    pub(crate) expected: Option<usize>,
    /// Whether as many have reported.
    pub(crate) gathered: bool,
    /// When the route table in force was taken from the log.
    pub(crate) adopted: Duration,
    /// What is on its way between the leader and the entries that report to this core.
    pub(crate) branch: Branch,
    /// Whether this instance is about to stop.
    pub(crate) stopping: bool,
    /// Where cores are reached, as the leader tells all others.
    pub(crate) known_cores: Vec<SocketAddr>,
    /// Requests that end upstreams.
    pub(crate) quarantine: Quarantine,
    /// The change by which entries know of them.
    pub(crate) blocklist_change: u64,
    /// The proposal that holds them.
    pub(crate) noting_quarantine: Option<u64>,
    /// The last roll-out of each service, while this core leads.
    pub(crate) controllers: BTreeMap<Arc<str>, Controller>,
    /// What entries do about versions, and the change by which they know it.
    pub(crate) plans: Arc<Plans>,
    pub(crate) planned: u64,
    /// The limits that upstreams name, and the change by which entries know them.
    pub(crate) limits: Arc<Limits>,
    pub(crate) limits_change: u64,
    /// Verdicts that were proposed, by roll-out.
    pub(crate) deciding: BTreeMap<u64, u64>,
}

/// Holds what of the setup is needed after the start.
pub(crate) struct Settings {
    pub(crate) voters: usize,
    pub(crate) duty: Option<order::Timing>,
    pub(crate) rule: QuarantinePolicy,
    pub(crate) secret: u128,
}

/// Holds one time of leading.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reign {
    pub(crate) term: u64,
    pub(crate) since: Duration,
}

/// Time between two looks at what is due at the leader.
const SWEEP: Duration = Duration::from_millis(100);

impl Core {
    /// Starts from what the folder holds; the first outputs come with the first step.
    pub fn new(setup: Setup, now: Duration) -> Self {
        let Setup {
            local_peer: own,
            seeds,
            founders,
            recovered,
            target_voter_count: voters,
            announce_interval: announce,
            ..
        } = setup;
        let Setup {
            log_timing: timing,
            order_timing: duty,
            quarantine_policy: rule,
            fingerprint_secret: secret,
            seed,
            unix_ms: unix,
            ..
        } = setup;
        let founders = founders.iter().map(|address| name_of(*address)).collect();
        let mut log = LogSetup::new(name_of(own.address), founders, seed);
        log.timing = timing;
        log.limits = LogLimits {
            max_command_bytes: COMMAND,
            max_pending_bytes: 2 * COMMAND,
            ..LogLimits::default()
        };
        Self {
            setup: Settings { voters, duty, rule, secret },
            now,
            unix,
            replica: Replica::open(log, recovered, now),
            ledger: ReplicatedState::default(),
            applied: 0,
            broken: false,
            registry: Registry::new(announce),
            voucher: Voucher::default(),
            hub: Hub::default(),
            link: Link::new(own, seeds, now, unix),
            dispatcher: Dispatcher::default(),
            planners: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next: 0,
            reign: None,
            lapsed: None,
            changing: None,
            departing: Vec::new(),
            noting_departures: None,
            joining: BTreeSet::new(),
            noting_joins: None,
            closing: BTreeSet::new(),
            based: BTreeMap::new(),
            sized: BTreeMap::new(),
            absent: BTreeMap::new(),
            seekers: BTreeMap::new(),
            out: Vec::new(),
            sweep: now,
            push_at: now,
            known_to_all: Progress::default(),
            expected: None,
            gathered: false,
            adopted: now,
            branch: Branch::default(),
            stopping: false,
            known_cores: Vec::new(),
            quarantine: Quarantine::default(),
            blocklist_change: 0,
            noting_quarantine: None,
            controllers: BTreeMap::new(),
            plans: Arc::default(),
            planned: 0,
            limits: Arc::default(),
            limits_change: 0,
            deciding: BTreeMap::new(),
        }
    }

    /// Takes an input at a time on the local clock, and adds what is to be done to `out`.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // A machine that stood still has lost its lease meanwhile. A call or report that waited for it would
        // be answered by what was so before: one would notice a read older than an acknowledged edit.
        self.follow_role();
        self.take(input);
        self.step_log(replica::Input::Tick);
        self.follow_role();
        if self.now >= self.sweep {
            self.sweep = self.now + SWEEP;
            self.sweep();
        }
        self.push_updates();
        self.pass_on();
        self.heartbeat();
        out.append(&mut self.out);
    }

    /// Returns when the next tick is due.
    pub fn next_wakeup(&self) -> Duration {
        let report = if self.is_leading() { Duration::MAX } else { self.link.next_wakeup() };
        let idle = !self.is_leading() && self.waiting.is_empty() && self.hub.is_empty();
        let sweep = if idle { Duration::MAX } else { self.sweep };
        self.replica.next_tick().min(report).min(sweep).min(self.push_at).min(self.branch.wake())
    }

    /// Returns the log's replica, for its status.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Tells whether this core leads under a lease.
    pub fn is_leading(&self) -> bool {
        self.reign.is_some()
    }

    /// Tells whether a stop may end: nothing is led or waited for here.
    pub fn is_idle(&self) -> bool {
        !self.replica.is_leader() && self.waiting.is_empty()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::WallClock(unix) => {
                self.unix = unix;
                self.link.clock_mut().follow_local(self.now, unix);
            }
            Input::Frame(frame) => self.frame(*frame),
            Input::Call { id, request: ask } => self.called(id, ask),
            Input::Stored(mark) => self.step_log(replica::Input::Stored { sequence: mark }),
            Input::OrderFinished { id, outcome } => self.ordered(id, outcome),
            Input::Seeds(seeds) => self.link.set_seeds(seeds),
            Input::QuarantinePolicy(rule) => self.set_rule(rule),
            Input::Stop => self.stop(),
        }
    }

    fn frame(&mut self, frame: Frame) {
        match frame {
            Frame::Log { from, message } => {
                if let Some(from) = address_of(&from).filter(|_| !self.is_leading()) {
                    self.link.meet(from);
                }
                self.step_log(replica::Input::Message { from, message: *message });
            }
            Frame::Heartbeat(heartbeat) => self.take_heartbeat(*heartbeat),
            Frame::Update(update) if !self.is_leading() => self.updated(*update),
            Frame::Acknowledged { address, version: stamp, revision } => {
                self.seen(address, stamp, revision)
            }
            Frame::NewLeader { leader } => self.link.handle_new_leader(self.now, leader),
            Frame::Redirect { from, leader, cores } => {
                self.link.handle_redirect(self.now, from, leader, &cores);
            }
            Frame::Request { from, token, request: ask } => self.requested(from, token, *ask),
            Frame::Response { token, response: told } => self.answered_by_leader(token, told),
            Frame::CrashReport(account) => self.accounted(&account),
            Frame::RequestLoans { from, requests: loans } if self.is_leading() => {
                self.lend(from, &loans)
            }
            Frame::RequestLoans { from, requests: loans } => self.pass_loans(from, loans),
            Frame::GrantLoans(lent) => self.pass_lent(lent),
            Frame::EntryStopped { address } => self.ended(address),
            Frame::Update(_) | Frame::CrashReportReceived { .. } | Frame::ReportTo { .. } => {}
        }
    }

    /// Reports to the leader, as every instance does.
    fn heartbeat(&mut self) {
        if self.is_leading() {
            return;
        }
        if let Some(leader) = self.replica.leader().and_then(address_of) {
            self.link.set_leader(leader, self.now);
        }
        if self.link.leader(self.now).is_none() {
            let voters = self.replica.voters().members();
            let voters: Vec<SocketAddr> =
                voters.filter_map(|voter| address_of(&voter.instance)).collect();
            voters.into_iter().for_each(|voter| self.link.meet(voter));
        }
        if self.now < self.link.next_wakeup() {
            return;
        }
        let report = self.report();
        let clock = clock::offset_ms(self.now, self.unix);
        let unix = clock::unix_ms(self.now, self.hub.time_offset_ms(self.now, clock));
        if let Some((targets, heartbeat)) = self.link.heartbeat(self.now, unix, report) {
            for to in targets {
                self.send(to, Frame::Heartbeat(Box::new(heartbeat.clone())));
            }
        }
    }

    /// Forgets an entry that has ended: acknowledgements would else wait for it.
    fn ended(&mut self, entry: SocketAddr) {
        self.hub.forget(entry);
        if self.is_leading() {
            self.advance_spread();
        } else {
            self.confirm_soon();
        }
    }

    /// Hands over what this core does for others.
    fn stop(&mut self) {
        self.stopping = true;
        if !self.is_leading() {
            self.send_away();
        }
        self.step_log(replica::Input::TransferLeadership);
    }

    pub(crate) fn send(&mut self, to: SocketAddr, frame: Frame) {
        if to != self.link.own().address {
            self.out.push(Output::Send { to, frame });
        }
    }

    pub(crate) fn note(&mut self, note: Event) {
        self.out.push(Output::Event(note));
    }

    pub(crate) fn token(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Returns the agreed time of day.
    pub(crate) fn agreed(&self) -> u64 {
        let own = clock::offset_ms(self.now, self.unix);
        clock::unix_ms(self.now, self.hub.time_offset_ms(self.now, own))
    }
}

/// Names a core by its address, so that a seed's address is all that founding needs.
pub fn name_of(address: SocketAddr) -> Instance {
    Instance::new(address.to_string())
}

/// Returns the address of a core from its name.
pub fn address_of(name: &Instance) -> Option<SocketAddr> {
    name.as_str().parse().ok()
}
