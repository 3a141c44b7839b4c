//! Simulates several instances with an in-memory network, test upstreams and callers.

#![allow(dead_code, reason = "each test file uses its own part of the world")]

pub mod disk;
pub mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Operator, Team};
use verbenaslip_node::operator::{Apply, CallId, EditResult, OperatorCall, Reply};
use verbenaslip_node::setup::{InitialVoter, Timing};
use verbenaslip_node::{Input, Node, Output, Setup};
use verbenaslip_request::caller::{Arrival, Body, Ticket, Verdict};
use verbenaslip_request::run::Event;
use verbenaslip_request::setup::{Journal, Limit};
use verbenaslip_table::{Revision, Row, Table, edit};

use self::disk::Disk;
use self::upstream::Upstreams;

/// Wall-clock time at simulated time zero, in Unix milliseconds.
pub const EPOCH: u64 = 1_700_000_000_000;

/// Bytes that each message costs in addition to its content: framing and lower protocol headers.
pub const OVERHEAD: u64 = 80;

pub const MS: fn(u64) -> Duration = Duration::from_millis;

/// Holds one instance and what survives its restarts.
pub struct TestInstance {
    pub setup: Setup,
    pub node: Option<Node>,
    pub disk: Option<Disk>,
    pub paused_until: Option<Duration>,
    /// Time at which the instance last resumed after a pause.
    pub resumed_at: Duration,
    pub sent: Sent,
    pub zone: usize,
    held_inputs: Vec<Input>,
    /// Number of the current start; local events for an earlier start are discarded.
    generation: u64,
    /// Highest revision that was seen since the last start.
    highest_revision: Revision,
}

/// Orders deliveries by arrival time, then by sending order.
type Order = (Duration, u64);

/// Holds an input on its way to an instance.
struct Delivery {
    to: usize,
    input: Input,
    /// Start of the instance that may receive the input; none for inputs from the network.
    generation: Option<u64>,
}

/// Holds a message that one instance sent to another.
#[derive(Clone, Debug)]
pub struct SentMessage {
    pub to: usize,
    pub input: Input,
}

/// Describes how a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived.
    Completed,
    /// The request was refused as not run.
    Refused,
    /// The request may have run.
    Unknown,
    /// The key belongs to a request with another body.
    Conflict,
    /// The instance to which the caller was connected was lost.
    Broken,
}

/// Holds a connection over which an instance relays an answer that another instance owns.
struct Relay {
    caller: Ticket,
    at: usize,
    owner: usize,
    generation: u64,
    /// Time since which no data passes between the two instances.
    silent_since: Option<Duration>,
    /// Whether the subscription that opens the connection was lost.
    subscription_lost: bool,
}

/// First ticket number of connections between instances.
const FIRST_RELAY_TICKET: u64 = 1 << 32;

/// Time after which a relay from an unresponsive instance is given up.
const RELAY_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Holds the owner of an answer and the second holder to which it is copied.
#[derive(Clone)]
struct Mirror {
    owner: usize,
    to: Option<Instance>,
}

/// Counts the messages and bytes that an instance has sent to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    pub messages: u64,
    pub bytes: u64,
}

/// Holds all instances, the network between them, the upstreams and the callers.
pub struct World {
    pub now: Duration,
    pub instances: Vec<TestInstance>,
    pub upstreams: Upstreams,
    pub verdicts: BTreeMap<Ticket, Vec<Verdict>>,
    /// Time at which each caller's answer began.
    pub served_at: BTreeMap<Ticket, Duration>,
    pub replies: BTreeMap<CallId, Reply>,
    pub stopped: BTreeSet<usize>,
    pub in_force: Revision,
    /// Pairs of sender and receiver between which messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss_rate: f64,
    /// Whether the invariants are checked after every step; benches switch this off.
    pub check_invariants: bool,
    rng: Pcg64Mcg,
    in_flight: BTreeMap<Order, Delivery>,
    scheduled: u64,
    addresses: BTreeMap<SocketAddr, usize>,
    numbers: BTreeMap<Instance, usize>,
    mirrors: BTreeMap<Request, Mirror>,
    last_call: u64,
    callers: BTreeMap<Ticket, usize>,
    /// Time at which each request was read; a paused instance reads it when it resumes.
    pub arrived_at: BTreeMap<Ticket, Duration>,
    /// End of each caller's request and the time of it.
    pub ended: BTreeMap<Ticket, (End, Duration)>,
    /// Number of steps after which the invariants were checked.
    pub steps: u64,
    /// Messages between instances with their receivers, if recording is on.
    pub recording: Option<Vec<SentMessage>>,
    relays: BTreeMap<Ticket, Relay>,
    last_relay_ticket: u64,
    completed: BTreeSet<Request>,
}

impl World {
    /// Starts instances in three availability zones per region; the first `voters` of them vote.
    pub fn open(instances: usize, voters: usize, seed: u64) -> Self {
        let region = 40;
        let address = |number: usize| -> SocketAddr {
            ([10, 0, (number / 250) as u8, (number % 250) as u8], 7400).into()
        };
        let name = |number: usize| Instance::new(format!("entry-{number:03}"));
        let initial_voters: Vec<InitialVoter> = (0..voters)
            .map(|number| InitialVoter { instance: name(number), address: address(number) })
            .collect();
        let setup = |number: usize| Setup {
            instance: name(number),
            zone: format!("zone-{}-{}", number / region, number % 3).as_str().into(),
            region: format!("region-{}", number / region).as_str().into(),
            address: address(number),
            incarnation: EPOCH,
            seed: seed * 1_000 + number as u64,
            seeds: (0..voters).map(address).collect(),
            voters: initial_voters.clone(),
            recovered: None,
            table: Some(Arc::new(table(100))),
            has_cloud: false,
            journal: Journal::OtherZone,
            limits: Limit::default(),
            timing: Timing::default(),
        };
        let instance = |number: usize| TestInstance {
            setup: setup(number),
            node: None,
            disk: (number < voters).then(|| Disk::new(number)),
            paused_until: None,
            resumed_at: Duration::ZERO,
            sent: Sent::default(),
            zone: number % 3,
            held_inputs: Vec::new(),
            generation: 0,
            highest_revision: Revision::default(),
        };
        let mut world = Self {
            now: Duration::ZERO,
            instances: (0..instances).map(instance).collect(),
            upstreams: Upstreams::default(),
            verdicts: BTreeMap::new(),
            served_at: BTreeMap::new(),
            replies: BTreeMap::new(),
            stopped: BTreeSet::new(),
            in_force: Revision::default(),
            cuts: BTreeSet::new(),
            loss_rate: 0.0,
            check_invariants: true,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            scheduled: 0,
            addresses: (0..instances).map(|number| (address(number), number)).collect(),
            numbers: (0..instances).map(|number| (name(number), number)).collect(),
            mirrors: BTreeMap::new(),
            last_call: 0,
            callers: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            ended: BTreeMap::new(),
            steps: 0,
            recording: None,
            relays: BTreeMap::new(),
            last_relay_ticket: FIRST_RELAY_TICKET,
            completed: BTreeSet::new(),
        };
        (0..instances).for_each(|number| world.start(number));
        world
    }

    /// Starts an instance from the content of its disk.
    pub fn start(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.generation += 1;
        instance.highest_revision = Revision::default();
        let mut setup = instance.setup.clone();
        setup.incarnation = EPOCH + self.now.as_millis() as u64;
        setup.recovered = instance.disk.as_ref().map(Disk::recovered);
        let node = Node::open(setup, self.now, EPOCH + self.now.as_millis() as u64);
        instance.node = Some(node);
        self.step(number, Input::Tick);
    }

    /// Kills an instance, which loses unsynced writes and the connections of its callers.
    pub fn kill(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.node = None;
        instance.held_inputs.clear();
        instance.paused_until = None;
        if let Some(disk) = &mut instance.disk {
            disk.discard_pending();
        }
        self.upstreams.forget(number);
        self.stopped.remove(&number);
        self.relays.retain(|_, relay| relay.at != number);
        let open: Vec<Ticket> =
            self.callers.iter().filter(|(_, at)| **at == number).map(|(it, _)| *it).collect();
        for ticket in open {
            self.ended.entry(ticket).or_insert((End::Broken, self.now));
        }
    }

    /// Advances the time and checks the invariants after every step.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let due = self.next_event().max(self.now).min(end);
            self.now = due;
            self.deliver();
            self.watch_relays();
            for number in 0..self.instances.len() {
                let awake =
                    self.instances[number].paused_until.is_none_or(|until| until <= self.now);
                if awake {
                    self.resume(number);
                    let due = self.instances[number].node.as_ref().map(Node::next_wakeup);
                    if due.is_some_and(|due| due <= self.now) {
                        self.step(number, Input::Tick);
                    }
                }
            }
            if self.check_invariants {
                self.check();
            }
        }
    }

    /// Advances the time until a condition holds, and fails after the limit.
    pub fn run_until(&mut self, limit: Duration, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !holds(self) {
            assert!(self.now < end, "not within {limit:?}: {what}");
            self.run(MS(20));
        }
    }

    /// Advances the time until all running instances are ready for callers.
    pub fn wait_until_ready(&mut self) {
        self.run_until(MS(20_000), "all instances take callers", |world| {
            world.instances.iter().all(|instance| instance.node.as_ref().is_none_or(Node::is_ready))
        });
    }

    /// Announces an upstream to an instance, as the platform's load balancer would.
    pub fn announce(&mut self, at: usize, announcement: &Announcement) {
        let call = self.next_call_id();
        let announcement = Box::new(announcement.clone());
        self.deliver_input(at, Input::Announced { call, announcement });
    }

    /// Sends an operator's edit that sets the weight of the only row.
    pub fn apply(&mut self, at: usize, base: u64, id: &str, weight: u32, wait: Duration) -> CallId {
        let call = self.next_call_id();
        let apply = Apply {
            base: Revision(base),
            id: edit::Id::new(id).expect("a good identity"),
            csv: table(weight).to_csv().into(),
            wait,
            dry_run: false,
            operator: Operator::from("anna"),
        };
        self.deliver_input(at, Input::Called { call, request: OperatorCall::Apply(apply) });
        call
    }

    /// Sends a call of an operator to an instance.
    pub fn call(&mut self, at: usize, request: OperatorCall) -> CallId {
        let call = self.next_call_id();
        self.deliver_input(at, Input::Called { call, request });
        call
    }

    /// Returns the revision of an accepted edit and whether it is in force everywhere.
    pub fn accepted_revision(&self, call: CallId) -> Option<(u64, bool)> {
        match self.replies.get(&call) {
            Some(Reply::Edited(EditResult::Accepted { revision, in_force, .. })) => {
                Some((revision.0, *in_force))
            }
            _ => None,
        }
    }

    /// Sends a caller's request with a key and returns the ticket of its connection.
    pub fn send_request(&mut self, at: usize, key: &str, idempotent: bool) -> Ticket {
        let model = if idempotent { "assistant" } else { "orders" };
        self.send_request_for_model(at, key, idempotent, model)
    }

    /// Sends a caller's request with a key and a caller timeout.
    pub fn send_request_with_timeout(
        &mut self,
        at: usize,
        key: &str,
        idempotent: bool,
        timeout: Duration,
    ) -> Ticket {
        let model = if idempotent { "assistant" } else { "orders" };
        self.request(at, key, idempotent, model, Some(timeout))
    }

    /// Sends a caller's request with a key for a model or service.
    pub fn send_request_for_model(
        &mut self,
        at: usize,
        key: &str,
        idempotent: bool,
        model: &str,
    ) -> Ticket {
        self.request(at, key, idempotent, model, None)
    }

    fn request(
        &mut self,
        at: usize,
        key: &str,
        idempotent: bool,
        model: &str,
        timeout: Option<Duration>,
    ) -> Ticket {
        let arrival = self.arrival(at, key, idempotent, model);
        let ticket = arrival.ticket;
        self.deliver_input(at, Input::Arrived { arrival, timeout });
        ticket
    }

    /// Sends an idempotent request of a caller without a key.
    pub fn send_request_without_key(&mut self, at: usize, key: &str) -> Ticket {
        let mut arrival = self.arrival(at, key, true, "assistant");
        let ticket = arrival.ticket;
        (arrival.head.keyed, arrival.head.issued) = (false, None);
        self.deliver_input(at, Input::Arrived { arrival, timeout: None });
        ticket
    }

    fn arrival(&mut self, at: usize, key: &str, idempotent: bool, model: &str) -> Arrival {
        let ticket = Ticket(self.callers.len() as u64 + 1);
        self.callers.insert(ticket, at);
        let team = Team::from("office");
        let head = Head {
            request: Request::of_key(&team, key),
            team,
            class: "default".into(),
            model: model.into(),
            idempotent,
            keyed: true,
            issued: Some(EPOCH + self.now.as_millis() as u64),
            deadline: Duration::ZERO,
            prompt: 100,
            output: 20,
            prefix: Vec::new(),
        };
        let body = Body { path: "/".into(), content: "application/json".into(), bytes: key.into() };
        Arrival { ticket, head, body: Arc::new(body), after: None }
    }

    /// Cuts a set of instances off from all others, in both directions.
    pub fn isolate(&mut self, apart: &[usize]) {
        for left in 0..self.instances.len() {
            for right in 0..self.instances.len() {
                if apart.contains(&left) != apart.contains(&right) {
                    self.cuts.insert((left, right));
                }
            }
        }
    }

    /// Returns the instance that holds the leader's lease, if any.
    pub fn leader(&self) -> Option<usize> {
        let leads = |instance: &TestInstance| instance.node.as_ref().is_some_and(Node::is_leader);
        self.instances.iter().position(leads)
    }

    /// Returns the last verdict that a caller received.
    pub fn last_verdict(&self, ticket: Ticket) -> Option<&Verdict> {
        self.verdicts.get(&ticket)?.last()
    }

    /// Passes an input to an instance and executes its outputs.
    pub fn step(&mut self, number: usize, input: Input) {
        let instance = &mut self.instances[number];
        let Some(node) = &mut instance.node else { return };
        let whole = match &input {
            Input::RunEvent { attempt, event: Event::Ended { .. } } => Some(attempt.request),
            _ => None,
        };
        if let Input::Arrived { arrival, .. } = &input {
            self.arrived_at.insert(arrival.ticket, self.now);
        }
        let mut outputs = Vec::new();
        node.step(self.now, input, &mut outputs);
        for output in outputs {
            self.execute(number, output);
        }
        if let Some(request) = whole {
            self.completed.insert(request);
            self.close_served_callers(request);
        }
    }

    fn next_event(&self) -> Duration {
        let in_flight = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let upstreams = self.upstreams.next_event();
        let awake = |instance: &&TestInstance| instance.paused_until.is_none();
        let nodes =
            self.instances.iter().filter(awake).filter_map(|instance| instance.node.as_ref());
        let resumes = self.instances.iter().filter_map(|instance| instance.paused_until);
        let first = nodes.map(Node::next_wakeup).chain(resumes).min();
        [in_flight, upstreams, first].into_iter().flatten().min().unwrap_or(self.now + MS(10))
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let Delivery { to, input, generation } = entry.remove();
            if generation.is_none_or(|generation| generation == self.instances[to].generation) {
                self.deliver_input(to, input);
            }
        }
        for (number, attempt, event) in self.upstreams.step(self.now) {
            if let Event::Tokens { position } | Event::Ended { position } = &event {
                let complete = matches!(event, Event::Ended { .. });
                self.mirror(number, attempt.request, *position, complete);
            }
            self.deliver_input(number, Input::RunEvent { attempt, event });
        }
    }

    /// Closes the connections of the callers that have received a whole answer.
    fn close_served_callers(&mut self, request: Request) {
        let served = |verdict: &Verdict| match verdict {
            Verdict::Serve { request: served, .. } | Verdict::Relay { request: served, .. } => {
                *served == request
            }
            _ => false,
        };
        let done: Vec<(Ticket, usize)> = self
            .callers
            .iter()
            .filter(|(ticket, _)| !self.ended.contains_key(*ticket))
            .filter(|(ticket, _)| self.last_verdict(**ticket).is_some_and(served))
            .map(|(ticket, at)| (*ticket, *at))
            .collect();
        for (ticket, at) in done {
            self.ended.insert(ticket, (End::Completed, self.now));
            self.schedule(MS(5), at, Input::ConnectionClosed(ticket));
        }
    }

    /// Passes an input to an instance, or holds it while the instance is paused.
    fn deliver_input(&mut self, number: usize, input: Input) {
        let instance = &mut self.instances[number];
        if let (Input::WriteDurable { sequence }, Some(disk)) = (&input, &mut instance.disk) {
            disk.sync(*sequence);
        }
        if instance.paused_until.is_some() {
            instance.held_inputs.push(input);
        } else {
            self.step(number, input);
        }
    }

    fn resume(&mut self, number: usize) {
        if self.instances[number].paused_until.take().is_some() {
            self.instances[number].resumed_at = self.now;
        }
        for input in std::mem::take(&mut self.instances[number].held_inputs) {
            self.step(number, input);
        }
    }

    fn mirror(&mut self, number: usize, request: Request, position: u32, complete: bool) {
        let Some(Mirror { owner, to: Some(to) }) = self.mirrors.get(&request).cloned() else {
            return;
        };
        let Some(home) = self.numbers.get(&to).copied() else { return };
        if owner != number || self.cuts.contains(&(number, home)) {
            return;
        }
        if self.instances[home].node.is_none() {
            return;
        }
        let input = Input::Mirrored { request, position, complete };
        self.schedule(MS(1), home, input.clone());
        self.schedule(MS(2), number, input);
    }

    fn execute(&mut self, number: usize, output: Output) {
        match output {
            Output::Send { address, message, .. } => {
                let bytes = postcard::to_stdvec(&message).expect("a message can be written");
                let from = self.instances[number].setup.instance.clone();
                self.transmit(number, address, bytes.len(), Input::Peer { from, message });
            }
            Output::Datagram { to, frame } => {
                let bytes = frame.encode().expect("a frame fits a datagram");
                let from = self.instances[number].setup.address;
                self.transmit(number, to, bytes.len(), Input::Datagram { from, frame });
            }
            Output::Store { sequence, write } => {
                if let Some(disk) = &mut self.instances[number].disk {
                    disk.write(sequence, write);
                }
                self.schedule(MS(1), number, Input::WriteDurable { sequence });
            }
            Output::Run(run) => self.upstreams.run(self.now, number, &run),
            Output::Cancel(live) => self.upstreams.cancel(live.attempt),
            Output::Mirror { request, to, .. } => {
                self.mirrors.insert(request, Mirror { owner: number, to });
                if let Some(position) = self.upstreams.position(request) {
                    self.mirror(number, request, position, false);
                }
            }
            Output::Verdict { ticket, verdict } => {
                self.handle_verdict(number, ticket, verdict);
            }
            Output::NotOwner(ticket) => self.lose_relay(ticket),
            Output::Reply { call, reply } => {
                if let Reply::Edited(EditResult::Accepted { revision, in_force: true, .. }) = &reply
                {
                    self.in_force = self.in_force.max(*revision);
                }
                self.replies.insert(call, reply);
            }
            Output::Stopped => {
                self.stopped.insert(number);
            }
            _ => {}
        }
    }

    /// Delivers a verdict to a caller, or to the instance that relays to it.
    fn handle_verdict(&mut self, number: usize, ticket: Ticket, verdict: Verdict) {
        if let Some(relay) = self.relays.get(&ticket) {
            let (caller, at) = (relay.caller, relay.at);
            let end = end(&verdict);
            if matches!(verdict, Verdict::Relay { .. }) {
                self.lose_relay(ticket);
            } else if let Some(end) = end {
                self.ended.entry(caller).or_insert((end, self.now));
                self.relays.remove(&ticket);
                self.schedule(MS(5), at, Input::ConnectionClosed(caller));
            }
            return;
        }
        let (request, relay) = match &verdict {
            Verdict::Serve { request, .. } => (Some(*request), None),
            Verdict::Relay { request, after, owner } => (Some(*request), Some((*after, owner))),
            _ => (None, None),
        };
        self.relays.retain(|_, relay| relay.caller != ticket);
        if let (Some(request), Some((after, owner))) = (request, relay) {
            self.relay(number, ticket, request, after, owner);
        }
        if let Some(end) = end(&verdict) {
            self.ended.entry(ticket).or_insert((end, self.now));
        }
        if matches!(verdict, Verdict::Serve { .. } | Verdict::Relay { .. }) {
            self.served_at.entry(ticket).or_insert(self.now);
        }
        self.verdicts.entry(ticket).or_default().push(verdict);
        if let Some(request) = request.filter(|request| self.completed.contains(request)) {
            self.close_served_callers(request);
        }
    }

    /// Opens a connection to the instance that owns the answer for a caller.
    fn relay(&mut self, at: usize, caller: Ticket, request: Request, after: u32, to: &Instance) {
        let Some(owner) = self.numbers.get(to).copied() else { return };
        self.last_relay_ticket += 1;
        let ticket = Ticket(self.last_relay_ticket);
        let generation = self.instances[owner].generation;
        let subscription_lost = self.cuts.contains(&(at, owner));
        self.relays.insert(
            ticket,
            Relay { caller, at, owner, generation, silent_since: None, subscription_lost },
        );
        if !subscription_lost {
            self.schedule(MS(1), owner, Input::Subscribed { ticket, request, after });
        }
    }

    fn lose_relay(&mut self, ticket: Ticket) {
        let Some(relay) = self.relays.remove(&ticket) else { return };
        self.schedule(MS(1), relay.at, Input::RelayLost { ticket: relay.caller, after: 0 });
    }

    /// Gives up relays from instances that have stopped or are unresponsive.
    fn watch_relays(&mut self) {
        let mut lost = Vec::new();
        for (ticket, relay) in &mut self.relays {
            let instance = &self.instances[relay.owner];
            let cut = self.cuts.contains(&(relay.at, relay.owner))
                || self.cuts.contains(&(relay.owner, relay.at));
            let is_silent = relay.subscription_lost || cut || instance.paused_until.is_some();
            relay.silent_since = is_silent.then(|| relay.silent_since.unwrap_or(self.now));
            let gone = instance.node.is_none() || instance.generation != relay.generation;
            if gone
                || relay.silent_since.is_some_and(|since| self.now >= since + RELAY_SILENCE_TIMEOUT)
            {
                lost.push(*ticket);
            }
        }
        lost.into_iter().for_each(|ticket| self.lose_relay(ticket));
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: usize, input: Input) {
        let sent = &mut self.instances[from].sent;
        sent.messages += 1;
        sent.bytes += bytes as u64 + OVERHEAD;
        let Some(to) = self.addresses.get(&to).copied() else { return };
        if let Some(recording) = &mut self.recording {
            recording.push(SentMessage { to, input: input.clone() });
        }
        let lost = self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate);
        if lost || self.cuts.contains(&(from, to)) || self.instances[to].node.is_none() {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(500..3_000));
        self.schedule(delay, to, input);
    }

    fn schedule(&mut self, delay: Duration, to: usize, input: Input) {
        self.scheduled += 1;
        let network = matches!(input, Input::Peer { .. } | Input::Datagram { .. });
        let generation = (!network).then_some(self.instances[to].generation);
        self.in_flight
            .insert((self.now + delay, self.scheduled), Delivery { to, input, generation });
    }

    fn next_call_id(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// Checks the invariants.
    fn check(&mut self) {
        self.steps += 1;
        self.check_leaders();
        self.check_revisions();
        if let Some((request, runs)) = self.upstreams.repeated_service_run() {
            panic!("the non-idempotent request {request} ran {runs} times");
        }
    }

    fn check_leaders(&mut self) {
        let leaders = self.leaders();
        assert!(leaders.len() <= 1, "two hold a leader's lease at {:?}: {leaders:?}", self.now);
    }

    fn leaders(&self) -> Vec<usize> {
        (0..self.instances.len())
            .filter(|number| self.instances[*number].paused_until.is_none())
            .filter(|number| self.instances[*number].node.as_ref().is_some_and(Node::is_leader))
            .collect()
    }

    fn check_revisions(&mut self) {
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            let Some(revision) = instance.node.as_ref().map(Node::revision) else { continue };
            let (highest_revision, now, force) =
                (instance.highest_revision, self.now, self.in_force);
            assert!(
                revision >= highest_revision,
                "{number} fell from {highest_revision} to {revision} at {now:?}"
            );
            instance.highest_revision = revision;
            assert!(
                !self.serves_outdated_table(number),
                "{number} serves by revision {revision} at {now:?}, {force} is in force everywhere",
            );
        }
    }

    /// Returns whether an instance accepts work under a table older than the one in force
    /// everywhere.
    fn serves_outdated_table(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let old = |node: &Node| node.accepts_work() && node.revision() < self.in_force;
        instance.paused_until.is_none() && instance.node.as_ref().is_some_and(old)
    }
}

/// Returns how a verdict ends a request, or none if the answer follows.
fn end(verdict: &Verdict) -> Option<End> {
    match verdict {
        Verdict::Serve { .. } | Verdict::Relay { .. } => None,
        Verdict::Refused(_) => Some(End::Refused),
        Verdict::Unknown(_) => Some(End::Unknown),
        Verdict::Conflict => Some(End::Conflict),
    }
}

/// Returns a table with one row for the team `office`.
pub fn table(weight: u32) -> Table {
    let mut row = Row::new("office", "*");
    row.weight = weight;
    row.concurrency = 1_000;
    row.deadline_ms = 20_000;
    Table::new([row]).expect("a good table")
}

/// Returns the announcement of a ready upstream.
pub fn upstream(name: &str, kind: Kind, sequence: u64) -> Announcement {
    let number = name.bytes().map(u32::from).sum::<u32>() % 250;
    let model = if kind == Kind::Engine { "assistant" } else { "orders" };
    Announcement {
        upstream: name.into(),
        address: ([10, 9, 0, number as u8], 9000).into(),
        zone: format!("zone-0-{}", number % 3).as_str().into(),
        kind,
        incarnation: 1,
        sequence,
        phase: Phase::Ready,
        models: vec![model.into()],
        market: Market::Reclaimable,
        price: 1_000_000,
        fenced: false,
        slots: 8,
        load: Load::default(),
    }
}
