//! Simulation of several instances and fake upstreams in virtual time, driven by events.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Team, Upstream};
use verbenaslip_base::refusal::{Reason, Refusal};
use verbenaslip_request::Requests;
use verbenaslip_request::answer::{Answer, AppendResult, ServiceResponse};
use verbenaslip_request::caller::{Arrival, Body, Ticket, Verdict};
use verbenaslip_request::claim::Ruling;
use verbenaslip_request::input::{Input, Member, Placement};
use verbenaslip_request::message::Message;
use verbenaslip_request::output::{Outcome, Output};
use verbenaslip_request::run::{self, Cause, Failure, Start, Step};
use verbenaslip_request::setup::Setup;

/// One-way delay between two instances, or between an instance and an upstream.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Time until other instances detect a loss.
pub const DETECTION_DELAY: Duration = Duration::from_millis(300);
/// Time between two tokens.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Time to first token.
pub const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(40);
/// Tokens in a prompt.
pub const PROMPT_TOKENS: u32 = 100;
/// Maximum virtual time of a simulation.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(120);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Event of the simulation.
#[derive(Clone, Debug)]
pub enum Event {
    Input(usize, Input),
    Peer { from: usize, to: usize, message: Message },
    Token { upstream: usize, attempt: Attempt },
    Read { to: usize, reader: u64, position: u32, end: bool },
    Broken { to: usize, reader: u64, failure: Failure },
    Stall { to: usize, reader: u64, seen: u32 },
    Import { to: usize, reader: u64 },
    Copy { from: usize, to: usize, request: Request, epoch: u16 },
    Acked { to: usize, from: usize, request: Request, position: u32, ended: bool },
    Subscribe { at: usize, ticket: Ticket, to: usize, request: Request, after: u32 },
    Cancel { upstream: usize, attempt: Attempt },
    Call(usize),
    Fault(Fault),
}

/// Fault, or the end of one.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize, usize),
    Heal(usize, usize),
    KillUpstream(usize),
    /// The upstream disappears without closing its connections.
    VanishUpstream(usize),
    /// Open connections to the upstream become unresponsive; new connections work.
    SilenceConnections(usize),
    /// Streams end without their end mark.
    TruncateStreams(usize),
    Notice(usize, Duration),
    Stop(usize, Duration),
    Disconnect(usize),
}

/// Instance with its traffic side.
pub struct Node {
    pub requests: Requests,
    pub name: Instance,
    pub alive: bool,
    pub paused: bool,
    pub boot: u64,
    pub drained: bool,
    pub answers: BTreeMap<Request, Answer>,
    readers: BTreeMap<u64, Reader>,
    mirrors: BTreeMap<Request, Mirror>,
    serving: BTreeMap<Ticket, (Request, u32)>,
    subscriptions: BTreeMap<Ticket, (usize, Ticket)>,
    deferred_events: Vec<Event>,
}

struct Reader {
    attempt: Attempt,
    upstream: usize,
    seen: u32,
    start: Start,
    silenced: bool,
    stall: Duration,
    body: usize,
}

struct Mirror {
    to: usize,
    epoch: u16,
}

/// Fake model engine or plain service.
pub struct FakeUpstream {
    pub name: Upstream,
    pub kind: Kind,
    pub up: bool,
    pub vanished: bool,
    pub leaving: bool,
    pub runs: BTreeMap<Attempt, Generation>,
    pub computed: u64,
    pub recomputed: u64,
}

#[derive(Clone, Debug)]
pub struct Generation {
    pub texts: Vec<String>,
    pub total: u32,
    pub stopped: bool,
}

/// Caller, which retries at another instance if its request has a key.
pub struct Caller {
    pub request: Request,
    pub keyed: bool,
    pub idempotent: bool,
    pub model: &'static str,
    pub at: usize,
    pub ticket: Option<Ticket>,
    pub texts: Vec<String>,
    pub whole: bool,
    pub verdict: Option<Verdict>,
    pub disconnected: bool,
    pub returns: bool,
    pub calls: u32,
}

/// Simulated instances, upstreams and callers.
pub struct World {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub upstreams: Vec<FakeUpstream>,
    pub callers: Vec<Caller>,
    pub claims: BTreeMap<Request, Claimed>,
    pub quorum: Quorum,
    pub runs: BTreeMap<Request, u32>,
    pub violation: Option<String>,
    pub trace: bool,
    pub loss: u64,
    pub duplicate: u64,
    pub jitter: u64,
    pub messages: u64,
    pub events: u64,
    pub tokens: u32,
    pub prompt: u32,
    pub partitions: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Duration, u64), Event>,
    tickets: BTreeMap<Ticket, usize>,
    next: u64,
    rng: Pcg64,
}

pub struct Claimed {
    pub claimant: u128,
    pub owner: Instance,
    pub settled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quorum {
    Up,
    Down,
    /// Half of the answers say that the claim may or may not have been granted.
    Unsure,
}

impl World {
    /// Creates instances in as many availability zones, with engines and plain services.
    pub fn open(instances: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            callers: Vec::new(),
            claims: BTreeMap::new(),
            quorum: Quorum::Up,
            runs: BTreeMap::new(),
            violation: None,
            trace: false,
            loss: 0,
            duplicate: 0,
            jitter: 0,
            messages: 0,
            events: 0,
            tokens: 20,
            prompt: PROMPT_TOKENS,
            partitions: BTreeSet::new(),
            queue: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next: 0,
            rng: Pcg64::seed_from_u64(seed),
        };
        for index in 0..instances {
            world.nodes.push(new_node(index, 1));
        }
        for index in 0..instances {
            world.exchange_members(index);
        }
        for (index, kind) in [Kind::Engine, Kind::Engine, Kind::Engine, Kind::Service]
            .into_iter()
            .chain([Kind::Service])
            .enumerate()
        {
            let name = Upstream::new(format!("u{index}"));
            let (runs, computed, recomputed) = (BTreeMap::new(), 0, 0);
            let (up, vanished, leaving) = (true, false, false);
            let fake =
                FakeUpstream { name, kind, up, vanished, leaving, runs, computed, recomputed };
            world.upstreams.push(fake);
        }
        world
    }

    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.queue.insert((at.max(self.now), self.next), event);
    }

    pub fn schedule_fault(&mut self, at: Duration, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    /// Adds a caller that sends its request at the given time.
    pub fn call(&mut self, at: Duration, key: u64, to: usize, kind: Call) -> usize {
        let unique = if kind.keyed { 0 } else { self.callers.len() };
        let request = Request::of_key(&Team::from("team"), &format!("key-{key}-{unique}"));
        self.callers.push(Caller {
            request,
            keyed: kind.keyed,
            idempotent: kind.idempotent,
            model: kind.model,
            at: to,
            ticket: None,
            texts: Vec::new(),
            whole: false,
            verdict: None,
            disconnected: false,
            returns: kind.keyed,
            calls: 0,
        });
        let index = self.callers.len() - 1;
        self.schedule(at, Event::Call(index));
        index
    }

    /// Runs until no events are left or the given number of events has been handled.
    pub fn run(&mut self, events: u64) {
        while self.events < events && self.step() {}
    }

    pub fn finish(&mut self) {
        self.run(2_000_000);
        assert_eq!(self.problem(), None);
    }

    /// Handles the next event; returns false if there is none before the maximum time.
    pub fn step(&mut self) -> bool {
        let event = self.queue.first_key_value().map(|((at, _), _)| *at);
        let wakeup = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.alive && !node.paused)
            .filter_map(|(index, node)| Some((node.requests.next_wakeup()?, index)))
            .min();
        let Some(at) = event.into_iter().chain(wakeup.map(|(at, _)| at)).min() else {
            return false;
        };
        if at > MAX_RUN_TIME {
            return false;
        }
        self.now = self.now.max(at);
        self.events += 1;
        match wakeup {
            Some((at, index)) if event.is_none_or(|event| at < event) => {
                self.input(index, Input::Tick);
            }
            _ => {
                let Some((_, event)) = self.queue.pop_first() else {
                    return false;
                };
                self.handle_event(event);
            }
        }
        self.check();
        self.violation.is_none()
    }

    fn handle_event(&mut self, event: Event) {
        if self.trace {
            println!("{:?} {event:?}", self.now);
        }
        if let Some(to) = event_node(&event) {
            let node = &mut self.nodes[to];
            if !node.alive {
                return;
            }
            if node.paused {
                node.deferred_events.push(event);
                return;
            }
        }
        match event {
            Event::Input(to, input) => self.input(to, input),
            Event::Peer { from, to, message } => {
                let from = self.nodes[from].name.clone();
                self.input(to, Input::Heard { from, message });
            }
            Event::Token { upstream, attempt } => self.token(upstream, attempt),
            Event::Read { to, reader, position, end } => self.read(to, reader, position, end),
            Event::Broken { to, reader, failure } => self.handle_broken(to, reader, failure),
            Event::Stall { to, reader, seen } => self.stall(to, reader, seen),
            Event::Import { to, reader } => self.import(to, reader),
            Event::Copy { from, to, request, epoch } => self.copy(from, to, request, epoch),
            Event::Acked { to, from, request, position, ended } => {
                self.handle_copy_ack(to, from, request, position, ended);
            }
            Event::Subscribe { at, ticket, to, request, after } => {
                self.subscribe(at, ticket, to, request, after);
            }
            Event::Cancel { upstream, attempt } => {
                if let Some(run) = self.upstreams[upstream].runs.get_mut(&attempt) {
                    run.stopped = true;
                }
            }
            Event::Call(caller) => self.connect(caller),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn input(&mut self, to: usize, input: Input) {
        let mut out = Vec::new();
        self.nodes[to].requests.step(self.now, input, &mut out);
        for output in out {
            if self.trace {
                println!("{:?}   i{to}: {output:?}", self.now);
            }
            self.output(to, output);
        }
        self.propagate(to);
    }

    fn output(&mut self, at: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Verdict { ticket, verdict } => self.verdict(at, ticket, verdict),
            Output::Absent(ticket) => {
                self.nodes[at].serving.remove(&ticket);
                if let Some((relay, outer)) = self.nodes[at].subscriptions.remove(&ticket) {
                    self.relay_lost(relay, outer);
                }
            }
            Output::Admit(head) => {
                self.schedule(now + NETWORK_DELAY, Event::Input(at, Input::Admitted(head.request)));
            }
            Output::Claim(claim) => self.claim(at, &claim),
            Output::Settle { request, claimant, outcome } => {
                let is_holder = self.claims.get(&request).is_some_and(|c| c.claimant == claimant);
                match outcome {
                    Outcome::Refused(_) if is_holder => {
                        self.claims.remove(&request);
                    }
                    _ if is_holder => {
                        self.claims.get_mut(&request).expect("claim is held").settled = true;
                    }
                    _ => {}
                }
            }
            Output::Place(wanted) => {
                let input = self.route(&wanted);
                self.schedule(now + NETWORK_DELAY, Event::Input(at, input));
            }
            Output::Retry { head, .. } => {
                let granted = Some(ms(5));
                let input = Input::Retry { request: head.request, granted };
                self.schedule(now + NETWORK_DELAY, Event::Input(at, input));
            }
            Output::Run(run) => self.start(at, &run),
            Output::Cancel(live) => {
                self.nodes[at].readers.retain(|_, reader| reader.attempt != live.attempt);
                let upstream = self.upstream_index(&live.upstream);
                self.schedule(
                    now + NETWORK_DELAY,
                    Event::Cancel { upstream, attempt: live.attempt },
                );
            }
            Output::Mirror { request, epoch, to } => self.mirror(at, request, epoch, to),
            Output::Own { request, epoch } => {
                self.nodes[at]
                    .answers
                    .entry(request)
                    .or_insert_with(empty_answer)
                    .take_ownership(epoch);
            }
            Output::Forget { request, epoch } => {
                let node = &mut self.nodes[at];
                if node.answers.get(&request).is_some_and(|answer| answer.epoch() <= epoch) {
                    node.answers.remove(&request);
                }
            }
            Output::Send { to, message } => self.send(at, &to, &message),
            Output::Done { .. } => {}
            Output::Drained => self.nodes[at].drained = true,
        }
    }

    fn send(&mut self, from: usize, to: &Instance, message: &Message) {
        self.messages += 1;
        let to = instance_index(to);
        if self.partitions.contains(&(from, to)) || self.chance(self.loss) {
            return;
        }
        let copies = if self.chance(self.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let extra = if self.jitter > 0 { self.rng.next_u64() % self.jitter } else { 0 };
            let at = self.now + NETWORK_DELAY + ms(extra);
            self.schedule(at, Event::Peer { from, to, message: message.clone() });
        }
    }

    fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.rng.next_u64() % 100 < percent
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn claim(&mut self, at: usize, claim: &verbenaslip_request::claim::Claim) {
        let (request, claimant) = (claim.request, claim.claimant);
        let unsure = self.quorum == Quorum::Unsure && self.chance(50);
        let granted = self.chance(50);
        let ruling = match self.claims.get(&request) {
            _ if self.quorum == Quorum::Down => Ruling::NoQuorum,
            _ if unsure && !granted => Ruling::Unknown,
            Some(held) if held.claimant == claimant && !held.settled => Ruling::Granted,
            Some(held) if held.settled => Ruling::Settled,
            Some(held) => Ruling::Held { owner: Some(held.owner.clone()) },
            None => {
                let owner = claim.owner.clone();
                self.claims.insert(request, Claimed { claimant, owner, settled: false });
                if unsure { Ruling::Unknown } else { Ruling::Granted }
            }
        };
        let input = Input::Claimed { request, claimant, ruling };
        self.schedule(self.now + NETWORK_DELAY * 2, Event::Input(at, input));
    }

    fn route(&mut self, wanted: &verbenaslip_request::output::PlacementRequest) -> Input {
        let request = wanted.head.request;
        let kind =
            if wanted.head.model.as_str() == "service" { Kind::Service } else { Kind::Engine };
        let found = self.upstreams.iter().position(|fake| {
            fake.up
                && !fake.leaving
                && fake.kind == kind
                && !wanted.without.contains(&fake.name)
                && wanted.from.as_ref() != Some(&fake.name)
        });
        let Some(found) = found else {
            let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
            return Input::NoPlace { request, wait: Some(ms(100)), refusal };
        };
        let place = Placement {
            upstream: self.upstreams[found].name.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000)),
            kind,
            priority: 0,
            cached: 0,
            imports: kind == Kind::Engine,
        };
        Input::Placed { request, place }
    }

    fn start(&mut self, at: usize, run: &run::Run) {
        let upstream = self.upstream_index(&run.upstream);
        self.next += 1;
        let id = self.next;
        let reader = Reader {
            attempt: run.attempt,
            upstream,
            seen: 0,
            start: run.start.clone(),
            silenced: false,
            stall: run.stall,
            body: 0,
        };
        let node = &mut self.nodes[at];
        node.readers.retain(|_, old| old.attempt.request != run.attempt.request);
        node.readers.insert(id, reader);
        let answer = node.answers.entry(run.attempt.request).or_insert_with(empty_answer);
        answer.begin_attempt(run.attempt);
        let position = answer.position();
        let text = answer.batches(0).iter().map(|batch| batch.text.to_string()).collect();
        if !self.upstreams[upstream].up {
            let (step, not_run) = (Step::Connect, true);
            let vanished = self.upstreams[upstream].vanished;
            let (wait, cause) =
                if vanished { (run.stall, Cause::Silent) } else { (NETWORK_DELAY, Cause::Closed) };
            let failure = Failure { step, cause, not_run };
            self.schedule(self.now + wait, Event::Broken { to: at, reader: id, failure });
            return;
        }
        match &run.start {
            Start::Fresh | Start::Resume => {
                let event =
                    Event::Input(at, Input::Ran { attempt: run.attempt, event: run::Event::Sent });
                self.schedule(self.now, event);
                self.generate(upstream, run.attempt, text);
            }
            Start::Rejoin => match self.upstreams[upstream].runs.get(&run.attempt) {
                Some(generation) if !generation.stopped || generation.done() => {
                    let (len, end) = (generation.len(), generation.done());
                    self.schedule(
                        self.now + NETWORK_DELAY * 2,
                        Event::Read { to: at, reader: id, position: len, end },
                    );
                }
                _ => {
                    let (step, cause) = (Step::Head, Cause::Forgotten);
                    let failure = Failure { step, cause, not_run: false };
                    self.schedule(
                        self.now + NETWORK_DELAY * 2,
                        Event::Broken { to: at, reader: id, failure },
                    );
                }
            },
            Start::Import { .. } => {
                self.schedule(self.now + ms(52), Event::Import { to: at, reader: id });
            }
        }
        let (seen, stall) = (position, run.stall);
        self.schedule(self.now + stall, Event::Stall { to: at, reader: id, seen });
    }

    fn generate(&mut self, upstream: usize, attempt: Attempt, texts: Vec<String>) {
        *self.runs.entry(attempt.request).or_default() += 1;
        let total = self.tokens;
        let fake = &mut self.upstreams[upstream];
        fake.computed += u64::from(self.prompt) + texts.len() as u64;
        if self.runs[&attempt.request] > 1 {
            fake.recomputed += u64::from(self.prompt) + texts.len() as u64;
        }
        fake.runs.insert(attempt, Generation { texts, total, stopped: false });
        self.schedule(
            self.now + NETWORK_DELAY + FIRST_TOKEN_DELAY,
            Event::Token { upstream, attempt },
        );
    }

    fn token(&mut self, upstream: usize, attempt: Attempt) {
        let fake = &mut self.upstreams[upstream];
        let Some(run) = fake.runs.get_mut(&attempt).filter(|run| !run.stopped) else {
            return;
        };
        if !fake.up {
            return;
        }
        run.texts.push(format!("{}.{}", run.texts.len() + 1, attempt.number));
        fake.computed += 1;
        let (position, end) = (run.len(), run.done());
        run.stopped = end;
        if !end {
            self.schedule(self.now + TOKEN_INTERVAL, Event::Token { upstream, attempt });
        }
        for (to, reader) in self.readers_of(upstream, attempt) {
            self.schedule(self.now + NETWORK_DELAY, Event::Read { to, reader, position, end });
        }
    }

    fn readers_of(&self, upstream: usize, attempt: Attempt) -> Vec<(usize, u64)> {
        let nodes = self.nodes.iter().enumerate().filter(|(_, node)| node.alive);
        let readers = nodes
            .flat_map(|(to, node)| node.readers.iter().map(move |(id, reader)| (to, *id, reader)));
        readers
            .filter(|(_, _, reader)| {
                reader.upstream == upstream && reader.attempt == attempt && !reader.silenced
            })
            .map(|(to, id, _)| (to, id))
            .collect()
    }

    fn read(&mut self, to: usize, id: u64, position: u32, end: bool) {
        let Some(reader) = self.nodes[to].readers.get_mut(&id) else {
            return;
        };
        if reader.silenced {
            return;
        }
        let (attempt, upstream) = (reader.attempt, reader.upstream);
        reader.seen = reader.seen.max(position);
        let Some(run) = self.upstreams[upstream].runs.get(&attempt) else {
            return;
        };
        let texts = run.texts.clone();
        let node = &mut self.nodes[to];
        let Some(answer) = node.answers.get_mut(&attempt.request) else {
            return;
        };
        if self.upstreams[upstream].kind == Kind::Service {
            let bytes = texts.join(" ").into_bytes().into();
            let whole = ServiceResponse { status: 200, content: "text/plain".into(), bytes };
            answer.set_response(attempt, whole);
            node.readers.remove(&id);
            let event = run::Event::Ended { position: 0 };
            self.input(to, Input::Ran { attempt, event });
            return;
        }
        for at in answer.position() + 1..=position {
            let added = answer.append(attempt, at, 1, &texts[at as usize - 1]);
            if !matches!(added, AppendResult::Appended | AppendResult::Late) {
                self.violation = Some(format!("{added:?}"));
            }
        }
        let held = answer.position();
        let ended = end && answer.end(attempt, position, "stop") == AppendResult::Appended;
        let event = match ended {
            true => run::Event::Ended { position },
            false => run::Event::Tokens { position: held },
        };
        if ended {
            node.readers.remove(&id);
        }
        self.input(to, Input::Ran { attempt, event });
    }

    fn handle_broken(&mut self, to: usize, id: u64, failure: Failure) {
        let Some(reader) = self.nodes[to].readers.remove(&id) else {
            return;
        };
        let event = run::Event::Failed(failure);
        self.input(to, Input::Ran { attempt: reader.attempt, event });
    }

    fn stall(&mut self, to: usize, id: u64, seen: u32) {
        let Some(reader) = self.nodes[to].readers.get(&id) else {
            return;
        };
        if reader.seen <= seen {
            let (step, cause) = (Step::Read, Cause::Silent);
            let not_run = false;
            self.handle_broken(to, id, Failure { step, cause, not_run });
            return;
        }
        let (seen, stall) = (reader.seen, reader.stall);
        self.schedule(self.now + stall, Event::Stall { to, reader: id, seen });
    }

    fn import(&mut self, to: usize, id: u64) {
        let Some(reader) = self.nodes[to].readers.get(&id) else {
            return;
        };
        let (attempt, upstream) = (reader.attempt, reader.upstream);
        let Start::Import { from, .. } = reader.start else {
            return;
        };
        let source = self.upstreams.iter_mut().find(|fake| fake.runs.contains_key(&from));
        let source = source.filter(|fake| fake.up);
        let Some(run) = source.and_then(|fake| fake.runs.get_mut(&from)) else {
            let (step, cause) = (Step::Export, Cause::Closed);
            self.handle_broken(to, id, Failure { step, cause, not_run: false });
            return;
        };
        let mut generation = run.clone();
        run.stopped = true;
        if !self.upstreams[upstream].up {
            let (step, cause) = (Step::Import, Cause::Closed);
            self.handle_broken(to, id, Failure { step, cause, not_run: false });
            return;
        }
        generation.stopped = generation.done();
        let (position, end) = (generation.len(), generation.done());
        self.upstreams[upstream].runs.insert(attempt, generation);
        if end {
            self.schedule(self.now + NETWORK_DELAY, Event::Read { to, reader: id, position, end });
        } else {
            self.schedule(self.now + TOKEN_INTERVAL, Event::Token { upstream, attempt });
        }
    }

    fn mirror(&mut self, at: usize, request: Request, epoch: u16, to: Option<Instance>) {
        let node = &mut self.nodes[at];
        let answer = node.answers.entry(request).or_insert_with(empty_answer);
        answer.set_mirroring(to.is_some());
        match to {
            Some(to) => {
                node.mirrors.insert(request, Mirror { to: instance_index(&to), epoch });
                let (from, to) = (at, instance_index(&to));
                self.schedule(self.now + NETWORK_DELAY, Event::Copy { from, to, request, epoch });
            }
            None => {
                node.mirrors.remove(&request);
            }
        }
    }

    fn copy(&mut self, from: usize, to: usize, request: Request, epoch: u16) {
        if self.partitions.contains(&(from, to)) || !self.nodes[from].alive {
            return;
        }
        let Some(source) = self.nodes[from].answers.get(&request).cloned() else {
            return;
        };
        let target = self.nodes[to].answers.entry(request).or_insert_with(empty_answer);
        for batch in source.batches(0).to_vec() {
            target.copy(epoch, batch.position, batch.count, &batch.text);
        }
        let mut position = target.position();
        if let Some(whole) = source.response() {
            target.copy_response(epoch, whole.clone());
        }
        if epoch < target.epoch() {
            position = 0;
        }
        if let Some(end) = source.end_mark() {
            target.copy_end(epoch, end.position, &end.reason);
        }
        let ended = target.released_end().is_some() || target.response().is_some();
        if position > 0 || ended {
            self.input(to, Input::Mirrored { request, position });
            if ended {
                self.input(to, Input::MirrorEnded(request));
            }
            let event = Event::Acked { to: from, from: to, request, position, ended };
            self.schedule(self.now + NETWORK_DELAY, event);
        }
    }

    fn handle_copy_ack(
        &mut self,
        to: usize,
        from: usize,
        request: Request,
        position: u32,
        ended: bool,
    ) {
        let node = &mut self.nodes[to];
        if node.mirrors.get(&request).is_none_or(|mirror| mirror.to != from) {
            return;
        }
        if let Some(answer) = node.answers.get_mut(&request) {
            answer.record_mirrored(position, ended);
        }
        self.input(to, Input::Mirrored { request, position });
        if ended {
            self.input(to, Input::MirrorEnded(request));
        }
    }

    /// Propagates released tokens to callers and missing tokens to second holders.
    fn propagate(&mut self, at: usize) {
        let node = &self.nodes[at];
        let mut copies = Vec::new();
        for (request, mirror) in &node.mirrors {
            let Some(answer) = node.answers.get(request) else {
                continue;
            };
            if answer.is_mirror_behind() {
                copies.push((mirror.to, *request, mirror.epoch));
            }
        }
        for (to, request, epoch) in copies {
            let event = Event::Copy { from: at, to, request, epoch };
            let pending = self.queue.values().any(|known| match (known, &event) {
                (Event::Copy { from, request, .. }, Event::Copy { from: f, request: r, .. }) => {
                    from == f && request == r
                }
                _ => false,
            });
            if !pending {
                self.schedule(self.now + NETWORK_DELAY, event);
            }
        }
        self.serve_callers(at);
    }

    fn serve_callers(&mut self, at: usize) {
        let serving: Vec<_> =
            self.nodes[at].serving.iter().map(|(ticket, value)| (*ticket, *value)).collect();
        for (ticket, (request, _)) in serving {
            let Some(caller) = self.caller_of(at, ticket) else {
                continue;
            };
            let Some(answer) = self.nodes[at].answers.get(&request) else {
                continue;
            };
            let caller = &mut self.callers[caller];
            let after = caller.texts.len() as u32;
            caller.texts.extend(answer.released_batches(after).map(|batch| batch.text.to_string()));
            let end = answer.released_end().map(|end| end.position);
            if end.is_some_and(|end| end as usize == caller.texts.len()) {
                let all: Vec<_> =
                    answer.batches(0).iter().map(|batch| batch.text.to_string()).collect();
                if caller.texts != all {
                    let request = caller.request;
                    self.violation = Some(format!("halves of two answers: {request}"));
                }
                caller.whole = true;
            }
            if let Some(whole) = answer.response() {
                caller.texts = vec![String::from_utf8_lossy(&whole.bytes).into_owned()];
                caller.whole = true;
            }
            if caller.whole {
                self.close_connection(at, ticket);
            }
        }
    }

    /// Returns the caller behind a ticket or a subscription.
    fn caller_of(&self, at: usize, ticket: Ticket) -> Option<usize> {
        let outer = self.nodes[at].subscriptions.get(&ticket);
        if let Some((relay, _)) = outer
            && (!self.nodes[*relay].alive || self.nodes[*relay].paused)
        {
            return None;
        }
        let ticket = outer.map_or(ticket, |(_, outer)| *outer);
        let caller = *self.tickets.get(&ticket)?;
        (self.callers[caller].ticket == Some(ticket)).then_some(caller)
    }

    fn close_connection(&mut self, at: usize, ticket: Ticket) {
        self.nodes[at].serving.remove(&ticket);
        let outer = self.nodes[at].subscriptions.remove(&ticket);
        self.schedule(self.now, Event::Input(at, Input::Gone(ticket)));
        if let Some((relay, outer)) = outer {
            self.schedule(self.now, Event::Input(relay, Input::Gone(outer)));
        }
    }

    fn verdict(&mut self, at: usize, ticket: Ticket, verdict: Verdict) {
        if let Verdict::Serve { request, after } = verdict {
            self.unsubscribe(at, ticket);
            self.nodes[at].serving.insert(ticket, (request, after));
            return;
        }
        self.nodes[at].serving.remove(&ticket);
        if let Verdict::Relay { request, owner, .. } = verdict {
            self.unsubscribe(at, ticket);
            let Some(caller) = self.caller_of(at, ticket) else {
                return;
            };
            let after = self.callers[caller].texts.len() as u32;
            let event = Event::Subscribe { at, ticket, to: instance_index(&owner), request, after };
            self.schedule(self.now + NETWORK_DELAY, event);
            return;
        }
        let caller = self.caller_of(at, ticket);
        let outer = self.nodes[at].subscriptions.remove(&ticket);
        if let Some((relay, outer)) = outer.filter(|(relay, _)| self.nodes[*relay].paused) {
            // The paused instance finds the connection closed when it resumes.
            self.relay_lost(relay, outer);
        }
        let Some(caller) = caller else {
            return;
        };
        let caller = &mut self.callers[caller];
        if matches!(verdict, Verdict::Refused(_)) {
            let runs = self.runs.get(&caller.request).copied().unwrap_or(0);
            if runs > 0 {
                let request = caller.request;
                self.violation = Some(format!("reported as not run, but it ran: {request}"));
            }
        }
        let (outer, relay) = (caller.ticket, caller.at);
        caller.verdict = Some(verdict);
        caller.ticket = None;
        if let Some(outer) = outer.filter(|outer| *outer != ticket) {
            self.schedule(self.now, Event::Input(relay, Input::Gone(outer)));
        }
    }

    fn subscribe(&mut self, at: usize, ticket: Ticket, to: usize, request: Request, after: u32) {
        if !self.nodes[to].alive || self.partitions.contains(&(at, to)) {
            self.relay_lost(at, ticket);
            return;
        }
        self.next += 1;
        let inner = Ticket(self.next);
        self.nodes[to].subscriptions.insert(inner, (at, ticket));
        let input = Input::Subscribed { ticket: inner, request, after };
        self.schedule(self.now, Event::Input(to, input));
    }

    fn unsubscribe(&mut self, at: usize, ticket: Ticket) {
        let mut gone = Vec::new();
        for (owner, node) in self.nodes.iter_mut().enumerate() {
            node.subscriptions.retain(|inner, outer| {
                let keep = *outer != (at, ticket);
                if !keep {
                    node.serving.remove(inner);
                    gone.push((owner, *inner));
                }
                keep
            });
        }
        for (owner, inner) in gone {
            self.schedule(self.now, Event::Input(owner, Input::Gone(inner)));
        }
    }

    fn relay_lost(&mut self, at: usize, ticket: Ticket) {
        let Some(caller) = self.tickets.get(&ticket) else {
            return;
        };
        let after = self.callers[*caller].texts.len() as u32;
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::Input(at, Input::RelayLost { ticket, after }),
        );
    }

    fn connect(&mut self, index: usize) {
        let count = self.nodes.len();
        let caller = &self.callers[index];
        if caller.whole || caller.verdict.is_some() {
            return;
        }
        let first = caller.at;
        let open = (0..count)
            .map(|offset| (first + offset) % count)
            .find(|at| self.nodes[*at].alive && !self.nodes[*at].paused);
        let Some(at) = open else {
            self.schedule(self.now + ms(50), Event::Call(index));
            return;
        };
        self.next += 1;
        let ticket = Ticket(self.next);
        self.tickets.insert(ticket, index);
        let caller = &mut self.callers[index];
        caller.at = at;
        caller.ticket = Some(ticket);
        caller.calls += 1;
        let head = Head {
            request: caller.request,
            team: Team::from("team"),
            class: "default".into(),
            model: caller.model.into(),
            idempotent: caller.idempotent,
            keyed: caller.keyed,
            issued: Some(1),
            deadline: self.now + Duration::from_secs(30),
            prompt: self.prompt,
            output: self.tokens,
            prefix: Vec::new(),
        };
        let body = Body {
            path: "/v1/chat/completions".into(),
            content: "application/json".into(),
            bytes: caller.request.0.to_le_bytes().to_vec(),
        };
        let after = Some(caller.texts.len() as u32);
        let arrival = Arrival { ticket, head, body: body.into(), after };
        self.input(at, Input::Arrived(arrival));
    }

    fn upstream_index(&self, upstream: &Upstream) -> usize {
        self.upstreams.iter().position(|fake| fake.name == *upstream).expect("upstream is known")
    }
}

impl Generation {
    pub fn len(&self) -> u32 {
        self.texts.len() as u32
    }

    pub fn done(&self) -> bool {
        self.len() >= self.total
    }
}

/// Properties of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub keyed: bool,
    pub idempotent: bool,
    pub model: &'static str,
}

pub const CHAT: Call = Call { keyed: true, idempotent: true, model: "m" };
pub const ONCE: Call = Call { keyed: true, idempotent: false, model: "m" };
pub const ORDER: Call = Call { keyed: true, idempotent: false, model: "service" };
pub const LOOKUP: Call = Call { keyed: true, idempotent: true, model: "service" };
pub const ANONYMOUS: Call = Call { keyed: false, idempotent: true, model: "m" };

fn new_node(index: usize, boot: u64) -> Node {
    let name = Instance::new(format!("i{index}"));
    let zone = format!("z{index}").as_str().into();
    let setup = Setup::new(name.clone(), zone, boot);
    Node {
        requests: Requests::open(setup),
        name,
        alive: true,
        paused: false,
        boot,
        drained: false,
        answers: BTreeMap::new(),
        readers: BTreeMap::new(),
        mirrors: BTreeMap::new(),
        serving: BTreeMap::new(),
        subscriptions: BTreeMap::new(),
        deferred_events: Vec::new(),
    }
}

fn empty_answer() -> Answer {
    Answer::open(1 << 20)
}

fn instance_index(instance: &Instance) -> usize {
    instance.as_str()[1..].parse().expect("instances are numbered")
}

fn event_node(event: &Event) -> Option<usize> {
    match event {
        Event::Input(to, _)
        | Event::Peer { to, .. }
        | Event::Read { to, .. }
        | Event::Broken { to, .. }
        | Event::Stall { to, .. }
        | Event::Import { to, .. }
        | Event::Copy { to, .. }
        | Event::Acked { to, .. } => Some(*to),
        Event::Subscribe { at, .. } => Some(*at),
        Event::Token { .. } | Event::Cancel { .. } | Event::Call(_) | Event::Fault(_) => None,
    }
}

mod fault;
