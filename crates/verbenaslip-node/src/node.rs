//! One instance: its parts, and how what one says reaches the others.

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
use crate::proposal::{Proposals, Tokens, Wait};
use crate::serve::Known;
use crate::setup::Setup;
use crate::voter::{self, Voter};

/// The longest time between two ticks; the table's follower needs as much.
const TICK: Duration = Duration::from_millis(100);

/// Between two looks at the loads of upstreams.
const REFRESH: Duration = Duration::from_millis(250);

/// Between two reports to the neighbours.
const SHARE: Duration = Duration::from_secs(1);

/// Composes all decisions of one instance.
///
/// It takes the monotonic time and one [`Input`] and gives [`Output`]s; the same inputs give the
/// same outputs.
pub struct Node {
    pub(crate) setup: Setup,
    pub(crate) now: Duration,
    /// Unix milliseconds at the monotonic time zero, by the last word of the wall clock.
    pub(crate) epoch: u64,
    pub(crate) rng: Pcg64,
    pub(crate) gossip: Gossip,
    pub(crate) voter: Option<Voter>,
    pub(crate) hub: watch::Hub,
    pub(crate) requests: Requests,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) tokens: Tokens,
    pub(crate) proposals: Proposals,
    pub(crate) queries: BTreeMap<u64, crate::query::Open>,
    pub(crate) waits: Vec<Wait>,
    pub(crate) known: BTreeMap<Request, Known>,
    pub(crate) tables: VecDeque<TableRevision>,
    pub(crate) leader: Option<Instance>,
    pub(crate) voters: BTreeSet<Instance>,
    pub(crate) orders: order::Dispatcher,
    pub(crate) capacity: Capacity,
    /// How many instances of the region share the work, this one counted.
    pub(crate) instances: usize,
    pub(crate) stop: Option<crate::stop::Stop>,
    pub(crate) ready: bool,
    pub(crate) todo: VecDeque<Todo>,
    pub(crate) out: Vec<Output>,
    beat: Duration,
    refresh: Duration,
    share: Duration,
}

/// Holds what one part has said and another has not yet taken.
pub(crate) enum Todo {
    Gossip(gossip::Input),
    Log(log::Input),
    Logged(voter::Event),
    Watch(watch::Input),
    Request(request::Input),
}

impl Node {
    /// Starts an instance; its first outputs come with the first step.
    pub fn open(setup: Setup, now: Duration, unix: u64) -> Self {
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
            epoch: unix.saturating_sub(now.as_millis() as u64),
            rng: Pcg64::seed_from_u64(setup.seed),
            gossip: Gossip::new(gossip, setup.seed, now),
            voter: None,
            hub: watch::Hub::new(instance.clone(), zone.clone(), boot),
            requests: Requests::open(crate::serve::setup(&setup)),
            dispatcher: Dispatcher::new(now, instance, zone, boot),
            tokens: Tokens::new(setup.incarnation),
            proposals: Proposals::default(),
            queries: BTreeMap::new(),
            waits: Vec::new(),
            known: BTreeMap::new(),
            tables: VecDeque::new(),
            leader: None,
            voters: setup.voters.iter().map(|founder| founder.instance.clone()).collect(),
            orders: order::Dispatcher::new(setup.timing.election_timeout),
            capacity: Capacity::new(now),
            instances: 1,
            stop: None,
            ready: false,
            todo: VecDeque::new(),
            out: Vec::new(),
            beat: now,
            refresh: now,
            share: now,
            setup,
        };
        node.open_voter();
        node.tell_members();
        node
    }

    /// Takes one input at a monotonic time and appends what is to be done to `out`.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.take(input);
        self.turn();
        self.drain();
        self.pump();
        self.drain();
        self.watch_readiness();
        out.append(&mut self.out);
    }

    /// Returns when the next step is due at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let mut wake = self.beat.min(self.gossip.next_wakeup());
        wake = wake.min(self.voter.as_ref().map_or(wake, Voter::wake));
        wake = wake.min(self.requests.next_wakeup().unwrap_or(wake));
        wake = wake.min(self.proposals.wake().unwrap_or(wake));
        wake.max(self.now)
    }

    /// Returns the revision of the table in use.
    pub fn revision(&self) -> Revision {
        self.hub.revision()
    }

    /// Says whether the platform should send callers here.
    pub fn is_ready(&self) -> bool {
        self.readiness_problems().is_empty()
    }

    /// Says whether this instance takes new work by its table.
    pub fn accepts_work(&self) -> bool {
        self.closed().is_empty()
    }

    /// Counts the claims kept in the replicated state here; none without a data folder.
    pub fn claim_count(&self) -> usize {
        self.voter.as_ref().map_or(0, |voter| voter.state().claims())
    }

    /// Says whether this instance leads the replicated log under a lease.
    pub fn is_leader(&self) -> bool {
        self.leads()
    }

    /// Returns why the platform should send no callers here; empty when it should.
    pub fn readiness_problems(&self) -> Vec<Arc<str>> {
        let mut reasons = self.closed();
        if !self.dispatcher.limiter().has_base_share(self.now) {
            reasons.push("it has no part of the limits yet, so that requests would wait".into());
        }
        reasons
    }

    /// Returns why this instance takes no new work; empty when it does.
    pub(crate) fn closed(&self) -> Vec<Arc<str>> {
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

    /// Returns the wall clock's time in Unix milliseconds.
    pub(crate) fn unix(&self) -> u64 {
        self.epoch.saturating_add(self.now.as_millis() as u64)
    }

    /// Puts something before another part.
    pub(crate) fn push(&mut self, todo: Todo) {
        self.todo.push_back(todo);
    }

    /// Tells what happened, for logs and metrics.
    pub(crate) fn note(&mut self, notice: Notice) {
        self.out.push(Output::Notice(notice));
    }

    /// Says something to another instance, if it is known where it is.
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        if let Some(address) = self.address(to) {
            self.out.push(Output::Send { to: to.clone(), address, message });
        }
    }

    /// Returns where an instance is reached.
    pub(crate) fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        if let Some(member) = self.gossip.member(instance) {
            return Some(member.peer().address);
        }
        let founder = self.setup.voters.iter().find(|founder| founder.instance == *instance);
        founder.map(|founder| founder.address)
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Clock(unix) => self.epoch = unix.saturating_sub(self.now.as_millis() as u64),
            Input::Peer { from, message } => self.hear(from, message),
            Input::Datagram { from, frame } => {
                self.push(Todo::Gossip(gossip::Input::Received { from, frame }));
            }
            Input::Announced { call, announcement } => self.announced(call, announcement),
            Input::Called { call, request: ask } => self.called(call, ask),
            Input::Reclaimed { upstream, notice } => {
                let notice = u32::try_from(notice.as_millis()).unwrap_or(u32::MAX);
                self.push(Todo::Gossip(gossip::Input::Reclaimed { upstream, notice }));
            }
            Input::WriteDurable { sequence: mark } => {
                self.push(Todo::Log(log::Input::Stored { sequence: mark }))
            }
            Input::OrderAnswered { upstream, fence, answer } => {
                self.step_orders(order::Input::Answer { upstream, fence, answer });
            }
            Input::StateRead { upstream, question, state: holding } => {
                self.step_orders(order::Input::Read { upstream, question, holding });
            }
            Input::Surveyed(survey) => self.surveyed(survey),
            Input::Started { request, name } => self.started(request, name.as_ref()),
            Input::CacheEvents { upstream, batch } => {
                self.dispatcher.handle_cache_events(&upstream, &batch)
            }
            Input::Stop { remaining } => self.begin_stop(remaining),
            other => self.traffic(other),
        }
    }

    fn hear(&mut self, from: Instance, message: Message) {
        match message {
            Message::Log(message) => self.push(Todo::Log(log::Input::Message { from, message })),
            Message::Watch(message) => {
                self.push(Todo::Watch(watch::Input::Receive { from, message }));
            }
            Message::Request(message) => {
                self.push(Todo::Request(request::Input::Heard { from, message }));
            }
            Message::Propose { token, command } => self.forwarded(from, token, *command),
            Message::Change { token, change } => self.forwarded_change(from, token, change),
            Message::ProposalResult { token, answer } => self.proposed(token, answer),
            Message::Query { token, query } => self.asked(&from, token, &query),
            Message::QueryResult { token, answer: found, leader } => {
                self.told(token, found, leader)
            }
            Message::Drain { .. } => self.out.push(Output::Drain),
        }
    }

    /// Lets time pass in the parts that are due.
    ///
    /// A step for each message of each request must not walk through everything that only time
    /// moves, so each part is asked when it is due.
    fn turn(&mut self) {
        if self.now >= self.gossip.next_wakeup() {
            self.push(Todo::Gossip(gossip::Input::Tick));
        }
        if self.voter.as_ref().is_some_and(|voter| self.now >= voter.wake()) {
            self.push(Todo::Log(log::Input::Tick));
        }
        if self.requests.next_wakeup().is_some_and(|wake| self.now >= wake) {
            self.push(Todo::Request(request::Input::Tick));
        }
        if self.now >= self.beat {
            self.beat = self.now + TICK;
            self.beat();
        }
        self.resend();
    }

    /// Does what is due ten times a second.
    fn beat(&mut self) {
        self.lead();
        self.push(Todo::Watch(watch::Input::Tick));
        self.lead_orders();
        self.plan();
        if self.now >= self.refresh {
            self.refresh = self.now + REFRESH;
            self.refresh_loads();
        }
        if self.now >= self.share {
            self.share = self.now + SHARE;
            self.share();
        }
        self.poll_waits();
        self.poll_queries();
        self.drive_stop();
    }

    /// Hands on what the parts say until none says more.
    fn drain(&mut self) {
        while let Some(todo) = self.todo.pop_front() {
            match todo {
                Todo::Gossip(input) => self.step_gossip(input),
                Todo::Log(input) => self.step_log(input),
                Todo::Logged(event) => self.logged(event),
                Todo::Watch(input) => self.step_watch(input),
                Todo::Request(input) => self.step_requests(input),
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
        self.tables.push_back(TableRevision { revision, table });
        if self.tables.len() > crate::edits::TABLES {
            self.tables.pop_front();
        }
        self.note(Notice::TableInUse(revision));
    }

    fn watch_readiness(&mut self) {
        let ready = self.is_ready();
        if ready != self.ready {
            self.ready = ready;
            self.note(Notice::Ready(ready));
        }
    }
}
