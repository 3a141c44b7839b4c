//! Combines the components of one instance and passes the outputs of each to the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_gossip::{self as gossip, Gossip, Peer};
use verbenaslip_policy::dispatch::Dispatcher;
use verbenaslip_replica::input as log;
use verbenaslip_request::{Requests, input as request};
use verbenaslip_state::{order, watch};
use verbenaslip_table::{Revision, Table};

use crate::capacity::Capacity;
use crate::input::Input;
use crate::message::{Message, TableRevision};
use crate::notice::Notice;
use crate::output::Output;
use crate::proposal::{EditWait, Proposals, Tokens};
use crate::serve::RequestRecord;
use crate::setup::Setup;
use crate::voter::{self, Voter};

/// Longest interval between two ticks, which the table's watch hub requires.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the loads of upstreams are passed to the dispatcher.
const LOAD_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two reports to the other instances.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Combines all components of one instance into one state machine.
///
/// It takes the monotonic time and one [`Input`] and returns [`Output`]s. The same inputs always
/// produce the same outputs.
pub struct Node {
    pub(crate) setup: Setup,
    pub(crate) now: Duration,
    /// Unix milliseconds at monotonic time zero, from the last reading of the wall clock.
    pub(crate) epoch_unix_ms: u64,
    pub(crate) rng: Pcg64,
    pub(crate) gossip: Gossip,
    pub(crate) voter: Option<Voter>,
    pub(crate) hub: watch::Hub,
    pub(crate) requests: Requests,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) tokens: Tokens,
    pub(crate) proposals: Proposals,
    pub(crate) queries: BTreeMap<u64, crate::query::OpenQuery>,
    pub(crate) edit_waits: Vec<EditWait>,
    pub(crate) records: BTreeMap<Request, RequestRecord>,
    pub(crate) recent_tables: VecDeque<TableRevision>,
    pub(crate) leader: Option<Instance>,
    pub(crate) voters: BTreeSet<Instance>,
    pub(crate) orders: order::Dispatcher,
    pub(crate) capacity: Capacity,
    /// Number of instances of the region that share the work, including this one.
    pub(crate) region_instances: usize,
    pub(crate) stop: Option<crate::stop::StopProgress>,
    pub(crate) ready: bool,
    pub(crate) pending: VecDeque<Pending>,
    pub(crate) out: Vec<Output>,
    next_tick: Duration,
    next_load_refresh: Duration,
    next_report: Duration,
}

/// Holds an output of one component that another component has not handled yet.
pub(crate) enum Pending {
    Gossip(gossip::Input),
    Log(log::Input),
    LogEvent(voter::Event),
    Watch(watch::Input),
    Request(request::Input),
}

impl Node {
    /// Starts an instance at a monotonic time and a wall-clock time in Unix milliseconds.
    ///
    /// The first outputs are returned by the first step.
    pub fn open(setup: Setup, now: Duration, unix_ms: u64) -> Self {
        let own = Peer {
            instance: setup.instance.clone(),
            zone: setup.zone.clone(),
            region: setup.region.clone(),
            address: setup.address,
            incarnation: setup.incarnation,
        };
        let seeds = setup.seeds.clone();
        let gossip = gossip::Setup { own, seeds, lease: setup.timing.upstream_lease };
        let (instance, zone, boot) =
            (setup.instance.clone(), setup.zone.clone(), setup.incarnation);
        let mut node = Self {
            now,
            epoch_unix_ms: unix_ms.saturating_sub(now.as_millis() as u64),
            rng: Pcg64::seed_from_u64(setup.seed),
            gossip: Gossip::new(gossip, setup.seed, now),
            voter: None,
            hub: watch::Hub::new(instance.clone(), zone.clone(), boot),
            requests: Requests::open(crate::serve::requests_setup(&setup)),
            dispatcher: Dispatcher::new(now, instance, zone, boot),
            tokens: Tokens::new(setup.incarnation),
            proposals: Proposals::default(),
            queries: BTreeMap::new(),
            edit_waits: Vec::new(),
            records: BTreeMap::new(),
            recent_tables: VecDeque::new(),
            leader: None,
            voters: setup.voters.iter().map(|founder| founder.instance.clone()).collect(),
            orders: order::Dispatcher::new(setup.timing.election_timeout),
            capacity: Capacity::new(now),
            region_instances: 1,
            stop: None,
            ready: false,
            pending: VecDeque::new(),
            out: Vec::new(),
            next_tick: now,
            next_load_refresh: now,
            next_report: now,
            setup,
        };
        node.open_voter();
        node.update_members();
        node
    }

    /// Handles one input at a monotonic time and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.handle_input(input);
        self.tick_due_parts();
        self.process_pending();
        self.dispatch_requests();
        self.process_pending();
        self.update_readiness();
        out.append(&mut self.out);
    }

    /// Returns the latest monotonic time of the next step.
    pub fn next_wakeup(&self) -> Duration {
        let mut wakeup = self.next_tick.min(self.gossip.next_wakeup());
        wakeup = wakeup.min(self.voter.as_ref().map_or(wakeup, Voter::next_wakeup));
        wakeup = wakeup.min(self.requests.next_wakeup().unwrap_or(wakeup));
        wakeup = wakeup.min(self.proposals.next_wakeup().unwrap_or(wakeup));
        wakeup.max(self.now)
    }

    /// Returns the revision of the table in use.
    pub fn revision(&self) -> Revision {
        self.hub.revision()
    }

    /// Returns whether the platform should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.readiness_problems().is_empty()
    }

    /// Returns whether this instance accepts new work under its current table.
    pub fn accepts_work(&self) -> bool {
        self.work_refusal_reasons().is_empty()
    }

    /// Returns the number of claims in the local replicated state, or zero without a data
    /// directory.
    pub fn claim_count(&self) -> usize {
        self.voter.as_ref().map_or(0, |voter| voter.state().claims())
    }

    /// Returns whether this instance leads the replicated log and holds the leader's lease.
    pub fn is_leader(&self) -> bool {
        self.leads()
    }

    /// Returns the reasons why the platform should not send callers here; empty if it should.
    pub fn readiness_problems(&self) -> Vec<Arc<str>> {
        let mut reasons = self.work_refusal_reasons();
        if !self.dispatcher.limiter().has_base_share(self.now) {
            reasons.push("it has no part of the limits yet, so that requests would wait".into());
        }
        reasons
    }

    /// Returns the reasons why this instance accepts no new work; empty if it does.
    pub(crate) fn work_refusal_reasons(&self) -> Vec<Arc<str>> {
        let mut reasons: Vec<Arc<str>> = Vec::new();
        if self.stop.is_some() {
            reasons.push("it is stopping".into());
        }
        if self.hub.revision() == Revision::default() {
            reasons.push("it has no table yet".into());
        }
        if !self.hub.ready(self.now) {
            reasons.push("it has no table lease: no leader with a quorum can be reached".into());
        }
        reasons
    }

    /// Returns the wall-clock time in Unix milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.epoch_unix_ms.saturating_add(self.now.as_millis() as u64)
    }

    /// Queues an output of one component for another one.
    pub(crate) fn enqueue(&mut self, pending: Pending) {
        self.pending.push_back(pending);
    }

    /// Emits a notice for logs and metrics.
    pub(crate) fn notify(&mut self, notice: Notice) {
        self.out.push(Output::Notice(notice));
    }

    /// Sends a message to another instance if its address is known.
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        if let Some(address) = self.address(to) {
            self.out.push(Output::Send { to: to.clone(), address, message });
        }
    }

    /// Returns the address of an instance, if known.
    pub(crate) fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        if let Some(member) = self.gossip.member(instance) {
            return Some(member.peer().address);
        }
        let founder = self.setup.voters.iter().find(|founder| founder.instance == *instance);
        founder.map(|founder| founder.address)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Clock(unix_ms) => {
                self.epoch_unix_ms = unix_ms.saturating_sub(self.now.as_millis() as u64)
            }
            Input::Peer { from, message } => self.handle_message(from, message),
            Input::Datagram { from, frame } => {
                self.enqueue(Pending::Gossip(gossip::Input::Received { from, frame }));
            }
            Input::Announced { call, announcement } => self.handle_announcement(call, announcement),
            Input::Called { call, request } => self.handle_call(call, request),
            Input::Reclaimed { upstream, notice } => {
                let notice = u32::try_from(notice.as_millis()).unwrap_or(u32::MAX);
                self.enqueue(Pending::Gossip(gossip::Input::Reclaimed { upstream, notice }));
            }
            Input::WriteDurable { sequence } => {
                self.enqueue(Pending::Log(log::Input::Stored { sequence }))
            }
            Input::OrderAnswered { upstream, fence, answer } => {
                self.step_orders(order::Input::Answer { upstream, fence, answer });
            }
            Input::StateRead { upstream, question, state } => {
                self.step_orders(order::Input::Read { upstream, question, holding: state });
            }
            Input::Surveyed(survey) => self.handle_survey(survey),
            Input::Started { request, name } => self.handle_start_result(request, name.as_ref()),
            Input::CacheEvents { upstream, batch } => {
                self.dispatcher.handle_cache_events(&upstream, &batch)
            }
            Input::Stop { remaining } => self.begin_stop(remaining),
            other => self.handle_traffic(other),
        }
    }

    fn handle_message(&mut self, from: Instance, message: Message) {
        match message {
            Message::Log(message) => {
                self.enqueue(Pending::Log(log::Input::Message { from, message }))
            }
            Message::Watch(message) => {
                self.enqueue(Pending::Watch(watch::Input::Receive { from, message }));
            }
            Message::Request(message) => {
                self.enqueue(Pending::Request(request::Input::Heard { from, message }));
            }
            Message::Propose { token, command } => {
                self.handle_forwarded_command(from, token, *command)
            }
            Message::Change { token, change } => self.handle_forwarded_change(from, token, change),
            Message::ProposalResult { token, answer } => self.handle_proposal_answer(token, answer),
            Message::Query { token, query } => self.handle_query(&from, token, &query),
            Message::QueryResult { token, answer, leader } => {
                self.handle_query_result(token, answer, leader)
            }
            Message::Drain { .. } => self.out.push(Output::Drain),
        }
    }

    /// Queues a tick for each component whose wakeup time has come.
    ///
    /// A step runs for each message of each request, so it must not scan all timers.
    fn tick_due_parts(&mut self) {
        if self.now >= self.gossip.next_wakeup() {
            self.enqueue(Pending::Gossip(gossip::Input::Tick));
        }
        if self.voter.as_ref().is_some_and(|voter| self.now >= voter.next_wakeup()) {
            self.enqueue(Pending::Log(log::Input::Tick));
        }
        if self.requests.next_wakeup().is_some_and(|wakeup| self.now >= wakeup) {
            self.enqueue(Pending::Request(request::Input::Tick));
        }
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK_INTERVAL;
            self.tick();
        }
        self.resend_proposals();
    }

    /// Runs the regular work of the instance, ten times per second.
    fn tick(&mut self) {
        self.update_watch_leadership();
        self.enqueue(Pending::Watch(watch::Input::Tick));
        self.update_order_leadership();
        self.plan_capacity();
        if self.now >= self.next_load_refresh {
            self.next_load_refresh = self.now + LOAD_REFRESH_INTERVAL;
            self.refresh_loads();
        }
        if self.now >= self.next_report {
            self.next_report = self.now + REPORT_INTERVAL;
            self.send_report();
        }
        self.poll_edit_waits();
        self.poll_queries();
        self.advance_stop();
    }

    /// Passes the outputs of all components on until none are left.
    fn process_pending(&mut self) {
        while let Some(pending) = self.pending.pop_front() {
            match pending {
                Pending::Gossip(input) => self.step_gossip(input),
                Pending::Log(input) => self.step_log(input),
                Pending::LogEvent(event) => self.handle_log_event(event),
                Pending::Watch(input) => self.step_watch(input),
                Pending::Request(input) => self.step_requests(input),
            }
        }
    }

    fn step_watch(&mut self, input: watch::Input) {
        let mut outputs = Vec::new();
        self.hub.step(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                watch::Output::Send { to, message } => self.send(&to, Message::Watch(message)),
                watch::Output::Table { revision, table } => self.use_table(revision, table),
            }
        }
    }

    fn use_table(&mut self, revision: Revision, table: Arc<Table>) {
        self.dispatcher.set_table(self.now, &table);
        self.recent_tables.push_back(TableRevision { revision, table });
        if self.recent_tables.len() > crate::edits::MAX_KEPT_TABLES {
            self.recent_tables.pop_front();
        }
        self.notify(Notice::TableInUse(revision));
    }

    fn update_readiness(&mut self) {
        let ready = self.is_ready();
        if ready != self.ready {
            self.ready = ready;
            self.notify(Notice::Ready(ready));
        }
    }
}
