//! Several instances stepped by hand through an in-memory network, with fake upstreams and callers.

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
use verbenaslip_node::operator::{Apply, Ask, Edited, Id, Reply};
use verbenaslip_node::setup::{Founder, Timing};
use verbenaslip_node::{Input, Node, Output, Setup};
use verbenaslip_request::caller::{Arrival, Body, Ticket, Verdict};
use verbenaslip_request::run::Event;
use verbenaslip_request::setup::{Journal, Limit};
use verbenaslip_table::{Revision, Row, Table, edit};

use self::disk::Disk;
use self::upstream::Upstreams;

/// Unix milliseconds at the world's time zero.
pub const EPOCH: u64 = 1_700_000_000_000;

/// Bytes that each message costs beside its content: stamp or frame, and the headers below.
pub const OVERHEAD: u64 = 80;

pub const MS: fn(u64) -> Duration = Duration::from_millis;

/// Holds one instance with what outlives it.
pub struct Place {
    pub setup: Setup,
    pub node: Option<Node>,
    pub disk: Option<Disk>,
    pub frozen: Option<Duration>,
    pub sent: Sent,
    pub zone: usize,
    parked: Vec<Input>,
}

/// Orders what is on its way: by arrival, then by sending.
type Order = (Duration, u64);

/// Holds an input on its way to an instance.
struct Flight {
    to: usize,
    input: Input,
}

/// Holds who copies an answer to whom.
#[derive(Clone)]
struct Mirror {
    owner: usize,
    to: Option<Instance>,
}

/// Counts what an instance has sent to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    pub messages: u64,
    pub bytes: u64,
}

/// Holds all instances, the network between them, upstreams and callers.
pub struct World {
    pub now: Duration,
    pub places: Vec<Place>,
    pub upstreams: Upstreams,
    pub verdicts: BTreeMap<Ticket, Vec<Verdict>>,
    pub replies: BTreeMap<Id, Reply>,
    pub drained: BTreeSet<usize>,
    pub in_force: Revision,
    /// Pairs of sender and receiver between which nothing passes.
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss: f64,
    /// Whether what must always hold is checked after every step; benches measure without.
    pub checked: bool,
    rng: Pcg64Mcg,
    flying: BTreeMap<Order, Flight>,
    flights: u64,
    addresses: BTreeMap<SocketAddr, usize>,
    names: BTreeMap<Instance, usize>,
    mirrors: BTreeMap<Request, Mirror>,
    calls: u64,
    callers: BTreeMap<Ticket, usize>,
}

impl World {
    /// Opens so many instances over three availability zones a region, of which the first `voters`
    /// vote.
    pub fn open(instances: usize, voters: usize, seed: u64) -> Self {
        let region = 40;
        let address = |number: usize| -> SocketAddr {
            ([10, 0, (number / 250) as u8, (number % 250) as u8], 7400).into()
        };
        let name = |number: usize| Instance::new(format!("entry-{number:03}"));
        let founders: Vec<Founder> = (0..voters)
            .map(|number| Founder { instance: name(number), address: address(number) })
            .collect();
        let setup = |number: usize| Setup {
            instance: name(number),
            zone: format!("zone-{}-{}", number / region, number % 3).as_str().into(),
            region: format!("region-{}", number / region).as_str().into(),
            address: address(number),
            incarnation: EPOCH,
            seed: seed * 1_000 + number as u64,
            seeds: (0..voters).map(address).collect(),
            voters: founders.clone(),
            recovered: None,
            table: Some(Arc::new(table(100))),
            cloud: false,
            journal: Journal::OtherZone,
            limit: Limit::default(),
            timing: Timing::default(),
        };
        let place = |number: usize| Place {
            setup: setup(number),
            node: None,
            disk: (number < voters).then(|| Disk::new(number)),
            frozen: None,
            sent: Sent::default(),
            zone: number % 3,
            parked: Vec::new(),
        };
        let mut world = Self {
            now: Duration::ZERO,
            places: (0..instances).map(place).collect(),
            upstreams: Upstreams::default(),
            verdicts: BTreeMap::new(),
            replies: BTreeMap::new(),
            drained: BTreeSet::new(),
            in_force: Revision::default(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            checked: true,
            rng: Pcg64Mcg::seed_from_u64(seed),
            flying: BTreeMap::new(),
            flights: 0,
            addresses: (0..instances).map(|number| (address(number), number)).collect(),
            names: (0..instances).map(|number| (name(number), number)).collect(),
            mirrors: BTreeMap::new(),
            calls: 0,
            callers: BTreeMap::new(),
        };
        (0..instances).for_each(|number| world.start(number));
        world
    }

    /// Starts an instance from what its disk holds.
    pub fn start(&mut self, number: usize) {
        let place = &mut self.places[number];
        let mut setup = place.setup.clone();
        setup.incarnation = EPOCH + self.now.as_millis() as u64;
        setup.recovered = place.disk.as_ref().map(Disk::recovered);
        let node = Node::open(setup, self.now, EPOCH + self.now.as_millis() as u64);
        place.node = Some(node);
        self.step(number, Input::Tick);
    }

    /// Kills an instance; what was not synced is lost, and callers' connections with it.
    pub fn kill(&mut self, number: usize) {
        let place = &mut self.places[number];
        place.node = None;
        place.parked.clear();
        if let Some(disk) = &mut place.disk {
            disk.lose();
        }
    }

    /// Lets time pass, checking what must always hold after every step.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let due = self.due().max(self.now).min(end);
            self.now = due;
            self.deliver();
            for number in 0..self.places.len() {
                let awake = self.places[number].frozen.is_none_or(|until| until <= self.now);
                if awake {
                    self.thaw(number);
                    let due = self.places[number].node.as_ref().map(Node::wake);
                    if due.is_some_and(|due| due <= self.now) {
                        self.step(number, Input::Tick);
                    }
                }
            }
            if self.checked {
                self.check();
            }
        }
    }

    /// Lets time pass until something holds; fails after the limit.
    pub fn run_until(&mut self, limit: Duration, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !holds(self) {
            assert!(self.now < end, "not within {limit:?}: {what}");
            self.run(MS(20));
        }
    }

    /// Waits until all running instances take callers.
    pub fn settle(&mut self) {
        self.run_until(MS(20_000), "all instances take callers", |world| {
            world.places.iter().all(|place| place.node.as_ref().is_none_or(Node::is_ready))
        });
    }

    /// Announces an upstream at an instance, as the platform's balancer would pick it.
    pub fn announce(&mut self, at: usize, announcement: &Announcement) {
        let call = self.call();
        let announcement = Box::new(announcement.clone());
        self.hand(at, Input::Announced { call, announcement });
    }

    /// Has an operator apply a table in which the row's weight is as given.
    pub fn apply(&mut self, at: usize, base: u64, id: &str, weight: u32, wait: Duration) -> Id {
        let call = self.call();
        let apply = Apply {
            base: Revision(base),
            id: edit::Id::new(id).expect("a good identity"),
            csv: table(weight).print().into(),
            wait,
            dry: false,
            by: Operator::from("anna"),
        };
        self.hand(at, Input::Called { call, ask: Ask::Apply(apply) });
        call
    }

    /// Returns the revision that an edit was accepted as, and whether it is in force everywhere.
    pub fn accepted(&self, call: Id) -> Option<(u64, bool)> {
        match self.replies.get(&call) {
            Some(Reply::Edited(Edited::Accepted { revision, in_force, .. })) => {
                Some((revision.0, *in_force))
            }
            _ => None,
        }
    }

    /// Has a caller send a request with a key; the ticket names its connection.
    pub fn arrive(&mut self, at: usize, key: &str, idempotent: bool) -> Ticket {
        let model = if idempotent { "assistant" } else { "orders" };
        self.arrive_for(at, key, idempotent, model)
    }

    /// Has a caller send a request with a key for a model or service.
    pub fn arrive_for(&mut self, at: usize, key: &str, idempotent: bool, model: &str) -> Ticket {
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
        let arrival = Arrival { ticket, head, body: Arc::new(body), after: None };
        self.hand(at, Input::Arrived { arrival, due: None });
        ticket
    }

    /// Cuts a set of instances off from all others, in both directions.
    pub fn isolate(&mut self, apart: &[usize]) {
        for left in 0..self.places.len() {
            for right in 0..self.places.len() {
                if apart.contains(&left) != apart.contains(&right) {
                    self.cuts.insert((left, right));
                }
            }
        }
    }

    /// Returns the instance that leads under a lease, if one does.
    pub fn leader(&self) -> Option<usize> {
        let leads = |place: &Place| place.node.as_ref().is_some_and(Node::is_leader);
        self.places.iter().position(leads)
    }

    /// Returns how much longer a request's last verdict leaves it open; refusals and unknown end it.
    pub fn last(&self, ticket: Ticket) -> Option<&Verdict> {
        self.verdicts.get(&ticket)?.last()
    }

    /// Gives an instance one input and carries out what it wants.
    pub fn step(&mut self, number: usize, input: Input) {
        let place = &mut self.places[number];
        let Some(node) = &mut place.node else { return };
        let mut outputs = Vec::new();
        node.step(self.now, input, &mut outputs);
        for output in outputs {
            self.carry(number, output);
        }
    }

    fn due(&self) -> Duration {
        let flying = self.flying.first_key_value().map(|((at, _), _)| *at);
        let upstreams = self.upstreams.wake();
        let awake = |place: &&Place| place.frozen.is_none();
        let nodes = self.places.iter().filter(awake).filter_map(|place| place.node.as_ref());
        let thaws = self.places.iter().filter_map(|place| place.frozen);
        let first = nodes.map(Node::wake).chain(thaws).min();
        [flying, upstreams, first].into_iter().flatten().min().unwrap_or(self.now + MS(10))
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.flying.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let Flight { to, input } = entry.remove();
            self.hand(to, input);
        }
        for (number, attempt, event) in self.upstreams.step(self.now) {
            if let Event::Tokens { position } | Event::Ended { position } = &event {
                let whole = matches!(event, Event::Ended { .. });
                self.mirror(number, attempt.request, *position, whole);
            }
            let ended = matches!(event, Event::Ended { .. });
            self.hand(number, Input::Ran { attempt, event });
            if ended {
                self.answered(attempt.request);
            }
        }
    }

    /// Has the callers of a whole answer close their connections.
    fn answered(&mut self, request: Request) {
        let served = |verdict: &Verdict| match verdict {
            Verdict::Serve { request: of, .. } | Verdict::Relay { request: of, .. } => {
                *of == request
            }
            _ => false,
        };
        let done: Vec<(Ticket, usize)> = self
            .callers
            .iter()
            .filter(|(ticket, _)| self.last(**ticket).is_some_and(served))
            .map(|(ticket, at)| (*ticket, *at))
            .collect();
        for (ticket, at) in done {
            self.fly(MS(5), at, Input::Gone(ticket));
        }
    }

    /// Gives an input to an instance, or keeps it while the instance is frozen.
    fn hand(&mut self, number: usize, input: Input) {
        let place = &mut self.places[number];
        if let (Input::Stored { mark }, Some(disk)) = (&input, &mut place.disk) {
            disk.sync(*mark);
        }
        if place.frozen.is_some() {
            place.parked.push(input);
        } else {
            self.step(number, input);
        }
    }

    fn thaw(&mut self, number: usize) {
        self.places[number].frozen = None;
        for input in std::mem::take(&mut self.places[number].parked) {
            self.step(number, input);
        }
    }

    fn mirror(&mut self, number: usize, request: Request, position: u32, whole: bool) {
        let Some(Mirror { owner, to: Some(to) }) = self.mirrors.get(&request).cloned() else {
            return;
        };
        let Some(home) = self.names.get(&to).copied() else { return };
        if owner != number || self.cuts.contains(&(number, home)) {
            return;
        }
        if self.places[home].node.is_none() {
            return;
        }
        let input = Input::Mirrored { request, position, whole };
        self.fly(MS(1), home, input.clone());
        self.fly(MS(2), number, input);
    }

    fn carry(&mut self, number: usize, output: Output) {
        match output {
            Output::Send { address, message, .. } => {
                let bytes = postcard::to_stdvec(&message).expect("a message can be written");
                let from = self.places[number].setup.instance.clone();
                self.post(number, address, bytes.len(), Input::Peer { from, message });
            }
            Output::Datagram { to, frame } => {
                let bytes = frame.encode().expect("a frame fits a datagram");
                let from = self.places[number].setup.address;
                self.post(number, to, bytes.len(), Input::Datagram { from, frame });
            }
            Output::Store { mark, write } => {
                if let Some(disk) = &mut self.places[number].disk {
                    disk.write(mark, write);
                }
                self.fly(MS(1), number, Input::Stored { mark });
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
                self.verdicts.entry(ticket).or_default().push(verdict);
            }
            Output::Reply { call, reply } => {
                if let Reply::Edited(Edited::Accepted { revision, in_force: true, .. }) = &reply {
                    self.in_force = self.in_force.max(*revision);
                }
                self.replies.insert(call, reply);
            }
            Output::Drained => {
                self.drained.insert(number);
            }
            _ => {}
        }
    }

    fn post(&mut self, from: usize, to: SocketAddr, bytes: usize, input: Input) {
        let sent = &mut self.places[from].sent;
        sent.messages += 1;
        sent.bytes += bytes as u64 + OVERHEAD;
        let Some(to) = self.addresses.get(&to).copied() else { return };
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if lost || self.cuts.contains(&(from, to)) || self.places[to].node.is_none() {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(500..3_000));
        self.fly(delay, to, input);
    }

    fn fly(&mut self, delay: Duration, to: usize, input: Input) {
        self.flights += 1;
        self.flying.insert((self.now + delay, self.flights), Flight { to, input });
    }

    fn call(&mut self) -> Id {
        self.calls += 1;
        Id(self.calls)
    }

    /// Checks what must always hold.
    fn check(&mut self) {
        let leaders: Vec<usize> = (0..self.places.len())
            .filter(|number| self.places[*number].frozen.is_none())
            .filter(|number| self.places[*number].node.as_ref().is_some_and(Node::is_leader))
            .collect();
        assert!(leaders.len() <= 1, "two hold a leader's lease at {:?}: {leaders:?}", self.now);
        for (number, place) in self.places.iter().enumerate() {
            let Some(node) = &place.node else { continue };
            let serves = place.frozen.is_none() && node.takes_work();
            assert!(
                !serves || node.revision() >= self.in_force,
                "{number} serves by revision {} at {:?}, {} is in force everywhere",
                node.revision(),
                self.now,
                self.in_force,
            );
        }
        if let Some((request, runs)) = self.upstreams.doubled() {
            panic!("the non-idempotent request {request} ran {runs} times");
        }
    }
}

/// Returns a table of one row for the team `office`.
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
