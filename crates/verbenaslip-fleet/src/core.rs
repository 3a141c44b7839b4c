//! State machine of a core: a voter of the replicated log, which may also be its leader.

mod aggregator;
mod call;
mod event;
mod io;
mod leader;
mod leadership;
mod limit;
mod log;
mod measurement;
mod orders;
mod origins;
mod quarantine;
mod rollout;
mod version;
mod voters;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_replica::Replica;
use verbenaslip_replica::input as replica;
use verbenaslip_replica::setup::{Limits as LogLimits, Setup as LogSetup};

use crate::clock;
use crate::core::aggregator::Aggregator;
use crate::core::call::PendingCall;
pub use crate::core::event::{EditAnswer, Event};
pub use crate::core::io::{Input, Output, Setup};
use crate::core::leadership::LeaderSeeker;
use crate::departure::Departure;
use crate::frame::Frame;
use crate::gateway::Directory;
use crate::hub::{Hub, Progress};
use crate::limit::Limits;
use crate::link::Link;
use crate::order::{self, Dispatcher};
use crate::origin::Origins;
use crate::origin::copy::Copier;
use crate::plan::Planner;
use crate::quarantine::{Quarantine, QuarantinePolicy};
use crate::registry::Registry;
use crate::replicated_state::ReplicatedState;
use crate::rollout::{Controller, Plans};
use crate::voucher::Voucher;

/// Maximum size of a log command: an operator's largest route table together with its original
/// document.
const MAX_COMMAND_BYTES: usize = 12 << 20;

/// Runs all decisions of a core.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) now: Duration,
    pub(crate) unix_ms: u64,
    pub(crate) replica: Replica,
    pub(crate) replicated_state: ReplicatedState,
    pub(crate) applied_index: u64,
    pub(crate) state_unreadable: bool,
    pub(crate) registry: Registry,
    /// Upstreams whose renewals this core has answered itself.
    pub(crate) voucher: Voucher,
    pub(crate) hub: Hub,
    pub(crate) link: Link,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) planners: BTreeMap<Arc<str>, Planner>,
    pub(crate) pending_calls: BTreeMap<u64, PendingCall>,
    /// Number of the last call, proposal or loan request.
    pub(crate) last_token: u64,
    /// Present while this core leads under an uninterrupted lease.
    pub(crate) leadership: Option<Leadership>,
    /// Term in which this core last led, while the state of that leadership is still usable.
    pub(crate) lapsed_term: Option<u64>,
    /// Token of the uncommitted change of the voters.
    pub(crate) voter_change: Option<u64>,
    /// Departures that have not been proposed to the log yet.
    pub(crate) unproposed_departures: Vec<Departure>,
    /// Token of the uncommitted proposal that contains earlier departures.
    pub(crate) departures_proposal: Option<u64>,
    /// Announced upstreams that may not be in the log yet.
    pub(crate) unproposed_joins: BTreeSet<Upstream>,
    /// Token of the uncommitted proposal that contains earlier joins.
    pub(crate) joins_proposal: Option<u64>,
    pub(crate) closing_windows: BTreeSet<u64>,
    /// When this core last proposed the initial upstream count of each service.
    pub(crate) initial_count_proposed_at: BTreeMap<Arc<str>, Duration>,
    /// Planned upstream counts that this core has proposed while leading, by service.
    pub(crate) proposed_counts: BTreeMap<Arc<str>, u32>,
    /// Voters that are not reachable, and since when.
    pub(crate) absent_since: BTreeMap<Instance, Duration>,
    /// Instances that looked for the leader at this core while it was not leading.
    pub(crate) leader_seekers: BTreeMap<SocketAddr, LeaderSeeker>,
    pub(crate) outputs: Vec<Output>,
    next_maintenance: Duration,
    /// Earliest time of the next push of changes.
    pub(crate) next_push: Duration,
    /// Progress that all reachable subscribers had acknowledged at the last check.
    pub(crate) acknowledged_by_all: Progress,
    /// Number of entries under the previous leader, if known.
    pub(crate) expected_entries: Option<usize>,
    /// Whether at least `expected_entries` entries have reported.
    pub(crate) all_reported: bool,
    /// When the current route table was applied from the log.
    pub(crate) route_table_applied_at: Duration,
    /// Messages in transit between the leader and the entries that report to this core.
    pub(crate) aggregator: Aggregator,
    /// Entries that open connections for others.
    gateways: Directory,
    /// Versions at which streams began.
    origins: Origins,
    /// Copies the origins that other cores have after a start.
    pub(crate) origin_copier: Copier,
    /// Until when this core waits for further questions of a core that copies its origins.
    pub(crate) origins_served_until: Duration,
    /// Whether this instance is shutting down.
    pub(crate) stopping: bool,
    /// Addresses of the cores, as the leader sends them to other instances.
    pub(crate) core_addresses: Vec<SocketAddr>,
    /// Detects poison requests and holds the blocklist.
    pub(crate) quarantine: Quarantine,
    /// Change with which the blocklist was last published.
    pub(crate) blocklist_change: u64,
    /// Token of the uncommitted proposal that contains the quarantine's persisted state.
    pub(crate) quarantine_proposal: Option<u64>,
    /// Controller of the latest rollout of each service, while this core leads.
    pub(crate) controllers: BTreeMap<Arc<str>, Controller>,
    /// Instructions to entries about service versions, and the change with which they were
    /// published.
    pub(crate) rollout_plans: Arc<Plans>,
    pub(crate) rollout_plans_change: u64,
    /// Rate limits requested by upstreams, and the change with which they were published.
    pub(crate) limits: Arc<Limits>,
    pub(crate) limits_change: u64,
    /// Versions of services, as this leader publishes them.
    pub(crate) versions: version::State,
    /// When the work on measurements is due.
    pub(crate) measurement_schedule: measurement::Schedule,
    /// Tokens of proposed rollout verdicts, by rollout.
    pub(crate) verdict_proposals: BTreeMap<u64, u64>,
}

/// Holds the parts of the setup that are needed after the start.
pub(crate) struct Settings {
    pub(crate) target_voter_count: usize,
    pub(crate) order_timing: Option<order::Timing>,
    pub(crate) quarantine_policy: QuarantinePolicy,
    pub(crate) fingerprint_secret: u128,
}

/// Describes one period in which this core leads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leadership {
    pub(crate) term: u64,
    pub(crate) since: Duration,
}

/// Interval between maintenance passes.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Starts from the recovered data directory. The first outputs come with the first call of
    /// [`step`](Self::step).
    pub fn new(setup: Setup, now: Duration) -> Self {
        let Setup {
            local_peer,
            seeds,
            founders,
            recovered,
            target_voter_count,
            announce_interval,
            ..
        } = setup;
        let Setup { log_timing, order_timing, quarantine_policy, fingerprint_secret, .. } = setup;
        let Setup { seed, unix_ms, .. } = setup;
        let number_base = hash::number_base(seed);
        let founders = founders.iter().map(|address| name_of(*address)).collect();
        let mut log = LogSetup::new(name_of(local_peer.address), founders, seed);
        log.timing = log_timing;
        log.limits = LogLimits {
            max_command_bytes: MAX_COMMAND_BYTES,
            max_pending_bytes: 2 * MAX_COMMAND_BYTES,
            ..LogLimits::default()
        };
        Self {
            settings: Settings {
                target_voter_count,
                order_timing,
                quarantine_policy,
                fingerprint_secret,
            },
            now,
            unix_ms,
            replica: Replica::open(log, recovered, now),
            replicated_state: ReplicatedState::default(),
            applied_index: 0,
            state_unreadable: false,
            registry: Registry::new(announce_interval),
            voucher: Voucher::default(),
            hub: Hub::default(),
            link: Link::new(local_peer, seeds, now, unix_ms),
            dispatcher: Dispatcher::starting_after(number_base),
            planners: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            last_token: number_base,
            leadership: None,
            lapsed_term: None,
            voter_change: None,
            unproposed_departures: Vec::new(),
            departures_proposal: None,
            unproposed_joins: BTreeSet::new(),
            joins_proposal: None,
            closing_windows: BTreeSet::new(),
            initial_count_proposed_at: BTreeMap::new(),
            proposed_counts: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            leader_seekers: BTreeMap::new(),
            outputs: Vec::new(),
            next_maintenance: now,
            next_push: now,
            acknowledged_by_all: Progress::default(),
            expected_entries: None,
            all_reported: false,
            route_table_applied_at: now,
            aggregator: Aggregator::default(),
            gateways: Directory::default(),
            origins: Origins::new(now),
            origin_copier: Copier::new(now, number_base),
            origins_served_until: Duration::ZERO,
            stopping: false,
            core_addresses: Vec::new(),
            quarantine: Quarantine::default(),
            blocklist_change: 0,
            quarantine_proposal: None,
            controllers: BTreeMap::new(),
            rollout_plans: Arc::default(),
            rollout_plans_change: 0,
            limits: Arc::default(),
            limits_change: 0,
            versions: version::State::default(),
            measurement_schedule: measurement::Schedule::default(),
            verdict_proposals: BTreeMap::new(),
        }
    }

    /// Handles one input and appends the resulting outputs to `out`; `now` is the time on the local
    /// steady clock.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // A paused process may have lost its lease in the meantime. Without this check a call or
        // heartbeat that waited for it would be answered from outdated state: a read could return
        // an older route table than one already acknowledged.
        self.update_leadership();
        self.handle_input(input);
        self.step_log(replica::Input::Tick);
        self.update_leadership();
        if self.now >= self.next_maintenance {
            self.next_maintenance = self.now + MAINTENANCE_INTERVAL;
            self.maintain();
        }
        self.copy_origins();
        self.push_updates();
        self.flush_to_leader();
        self.send_heartbeat();
        out.append(&mut self.outputs);
    }

    /// Returns when [`step`](Self::step) must be called with [`Input::Tick`] at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let heartbeat = if self.is_leading() { Duration::MAX } else { self.link.next_wakeup() };
        let idle = !self.is_leading() && self.pending_calls.is_empty() && self.hub.is_empty();
        let maintenance = if idle { Duration::MAX } else { self.next_maintenance };
        self.replica
            .next_tick()
            .min(heartbeat)
            .min(maintenance)
            .min(self.next_push)
            .min(self.aggregator.next_wakeup())
            .min(self.origin_copier.next_wakeup())
    }

    /// Returns the log replica, for status output.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether this core is the leader and holds the lease.
    pub fn is_leading(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns whether the process may exit: the core is not the leader, its vote has been handed
    /// over if another core could take it, no call is pending, and no core copies its origins.
    pub fn is_idle(&self) -> bool {
        !self.replica.is_leader()
            && self.pending_calls.is_empty()
            && self.may_stop()
            && self.now >= self.origins_served_until
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::WallClock(unix_ms) => {
                self.unix_ms = unix_ms;
                self.link.clock_mut().follow_local(self.now, unix_ms);
            }
            Input::Frame(frame) => self.handle_frame(*frame),
            Input::Call { id, request } => self.handle_call(id, request),
            Input::Stored(sequence) => self.step_log(replica::Input::Stored { sequence }),
            Input::OrderFinished { id, outcome } => self.handle_order_outcome(id, outcome),
            Input::Seeds(seeds) => self.link.set_seeds(seeds),
            Input::QuarantinePolicy(policy) => self.set_quarantine_policy(policy),
            Input::Stop => self.handle_stop(),
        }
    }

    fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::Log { from, message } => {
                if let Some(from) = address_of(&from).filter(|_| !self.is_leading()) {
                    self.link.learn_core(from);
                }
                self.step_log(replica::Input::Message { from, message: *message });
            }
            Frame::Heartbeat(heartbeat) => self.handle_heartbeat(*heartbeat),
            Frame::Update(update) if !self.is_leading() => self.handle_update(*update),
            Frame::Acknowledged { address, version, revision } => {
                self.handle_acknowledgement(address, version, revision)
            }
            Frame::NewLeader { leader } => self.link.handle_new_leader(self.now, leader),
            Frame::Redirect { from, leader, cores } => {
                self.link.handle_redirect(self.now, from, leader, &cores);
            }
            Frame::Request { from, token, request } => {
                self.handle_forwarded_call(from, token, *request)
            }
            Frame::Response { token, response } => self.handle_leader_response(token, response),
            Frame::CrashReport(report) => self.handle_crash_report(&report),
            Frame::RequestLoans { from, requests } if self.is_leading() => {
                self.grant_loans(from, &requests)
            }
            Frame::RequestLoans { from, requests } => self.forward_loan_requests(from, requests),
            Frame::GrantLoans(grants) => self.forward_loan_grants(grants),
            Frame::EntryStopped { address } => self.handle_entry_stopped(address),
            Frame::RegisterGateway(registration) => {
                let (now, to) = (self.now, registration.from);
                let gateways = self.gateways.register(now, registration);
                self.send(to, Frame::Gateways(gateways));
            }
            Frame::RecordOrigins { acknowledge_to, origins } => {
                self.record_origins(acknowledge_to, &origins);
            }
            Frame::FindOrigins { from, streams, copy } => {
                self.find_origins(from, streams, copy.0);
            }
            Frame::OriginsFound { from, extension, .. } => {
                if let Some(page) = extension.0.page.0 {
                    self.handle_origins_page(from, &page);
                }
            }
            Frame::Gateways(_)
            | Frame::OriginsRecorded
            | Frame::Update(_)
            | Frame::CrashReportReceived { .. }
            | Frame::ReportTo { .. } => {}
        }
    }

    /// Sends the heartbeat that every instance sends to the leader.
    fn send_heartbeat(&mut self) {
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
            voters.into_iter().for_each(|voter| self.link.learn_core(voter));
        }
        if self.now < self.link.next_wakeup() {
            return;
        }
        let report = self.build_report();
        let local_offset_ms = clock::offset_ms(self.now, self.unix_ms);
        let unix_ms = clock::unix_ms(self.now, self.hub.time_offset_ms(self.now, local_offset_ms));
        if let Some((targets, heartbeat)) = self.link.next_heartbeat(self.now, unix_ms, report) {
            for to in targets {
                self.send(to, Frame::Heartbeat(Box::new(heartbeat.clone())));
            }
        }
    }

    /// Forgets an entry that has stopped.
    fn handle_entry_stopped(&mut self, entry: SocketAddr) {
        self.gateways.remove(entry);
        self.forget_stopped(entry);
    }

    /// Forgets an instance that has stopped, so that acknowledgements no longer wait for it.
    pub(crate) fn forget_stopped(&mut self, instance: SocketAddr) {
        self.hub.forget(instance);
        if self.is_leading() {
            self.advance_acknowledged_calls();
        } else {
            self.schedule_acknowledgement();
        }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, frame: Frame) {
        if to != self.link.local_peer().address {
            self.outputs.push(Output::Send { to, frame });
        }
    }

    pub(crate) fn emit(&mut self, event: Event) {
        self.outputs.push(Output::Event(event));
    }

    pub(crate) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Returns the agreed time of day in Unix milliseconds.
    pub(crate) fn agreed_unix_ms(&self) -> u64 {
        let local_offset_ms = clock::offset_ms(self.now, self.unix_ms);
        clock::unix_ms(self.now, self.hub.time_offset_ms(self.now, local_offset_ms))
    }
}

/// Names a core by its address, so that the seed addresses are enough to form the log.
pub fn name_of(address: SocketAddr) -> Instance {
    Instance::new(address.to_string())
}

/// Returns the address of a core from its name, or `None` if the name is not an address.
pub fn address_of(name: &Instance) -> Option<SocketAddr> {
    name.as_str().parse().ok()
}
