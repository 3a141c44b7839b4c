//! A few instances and fake upstreams in one virtual time, stepped event by event.

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

/// One way between two instances, or between one and an upstream.
pub const HOP: Duration = Duration::from_millis(1);
/// From a loss to the others' notice of it.
pub const SUSPICION: Duration = Duration::from_millis(300);
/// Between two tokens.
pub const PACE: Duration = Duration::from_millis(10);
/// To the first token.
pub const FIRST: Duration = Duration::from_millis(40);
/// Tokens of every prompt.
pub const PROMPT: u32 = 100;
/// How long a world runs at most.
pub const END: Duration = Duration::from_secs(120);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Something that happens at a moment.
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

/// Something that goes wrong, or is set right.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize, usize),
    Heal(usize, usize),
    KillUpstream(usize),
    /// The upstream is gone without its connections being closed.
    VanishUpstream(usize),
    /// Open connections to the upstream go silent; new ones work.
    Mute(usize),
    /// Streams end without their end mark.
    CutOff(usize),
    Notice(usize, Duration),
    Stop(usize, Duration),
    Disconnect(usize),
}

/// One instance with its traffic side.
pub struct Node {
    pub requests: Requests,
    pub name: Instance,
    pub alive: bool,
    pub frozen: bool,
    pub boot: u64,
    pub drained: bool,
    pub answers: BTreeMap<Request, Answer>,
    readers: BTreeMap<u64, Reader>,
    mirrors: BTreeMap<Request, Mirror>,
    serving: BTreeMap<Ticket, (Request, u32)>,
    subscriptions: BTreeMap<Ticket, (usize, Ticket)>,
    held: Vec<Event>,
}

struct Reader {
    attempt: Attempt,
    upstream: usize,
    seen: u32,
    start: Start,
    muted: bool,
    stall: Duration,
    body: usize,
}

struct Mirror {
    to: usize,
    epoch: u16,
}

/// One fake model engine or plain service.
pub struct Back {
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

/// One caller, which comes back through another instance while it has a key.
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
    pub cut: bool,
    pub returns: bool,
    pub calls: u32,
}

/// The instances, upstreams and callers.
pub struct World {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub backs: Vec<Back>,
    pub callers: Vec<Caller>,
    pub claims: BTreeMap<Request, Claimed>,
    pub quorum: Quorum,
    pub runs: BTreeMap<Request, u32>,
    pub broken: Option<String>,
    pub trace: bool,
    pub loss: u64,
    pub duplicate: u64,
    pub jitter: u64,
    pub messages: u64,
    pub events: u64,
    pub tokens: u32,
    pub prompt: u32,
    pub cuts: BTreeSet<(usize, usize)>,
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
    /// Every second answer says that it may or may not have been granted.
    Unsure,
}

impl World {
    /// Opens instances in as many availability zones, with engines and one plain service.
    pub fn open(instances: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            backs: Vec::new(),
            callers: Vec::new(),
            claims: BTreeMap::new(),
            quorum: Quorum::Up,
            runs: BTreeMap::new(),
            broken: None,
            trace: false,
            loss: 0,
            duplicate: 0,
            jitter: 0,
            messages: 0,
            events: 0,
            tokens: 20,
            prompt: PROMPT,
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next: 0,
            rng: Pcg64::seed_from_u64(seed),
        };
        for index in 0..instances {
            world.nodes.push(node(index, 1));
        }
        for index in 0..instances {
            world.introduce(index);
        }
        for (index, kind) in [Kind::Engine, Kind::Engine, Kind::Engine, Kind::Service]
            .into_iter()
            .chain([Kind::Service])
            .enumerate()
        {
            let name = Upstream::new(format!("u{index}"));
            let (runs, computed, recomputed) = (BTreeMap::new(), 0, 0);
            let (up, vanished, leaving) = (true, false, false);
            let back = Back { name, kind, up, vanished, leaving, runs, computed, recomputed };
            world.backs.push(back);
        }
        world
    }

    pub fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.queue.insert((at.max(self.now), self.next), event);
    }

    pub fn fault(&mut self, at: Duration, fault: Fault) {
        self.at(at, Event::Fault(fault));
    }

    /// Adds a caller that sends its request at a moment.
    pub fn call(&mut self, at: Duration, key: u64, to: usize, kind: Call) -> usize {
        let drawn = if kind.keyed { 0 } else { self.callers.len() };
        let request = Request::of_key(&Team::from("team"), &format!("key-{key}-{drawn}"));
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
            cut: false,
            returns: kind.keyed,
            calls: 0,
        });
        let index = self.callers.len() - 1;
        self.at(at, Event::Call(index));
        index
    }

    /// Runs until nothing is left to happen, or a number of events have.
    pub fn run(&mut self, events: u64) {
        while self.events < events && self.step() {}
    }

    pub fn finish(&mut self) {
        self.run(2_000_000);
        assert_eq!(self.problem(), None);
    }

    /// Lets the next event happen; returns false when there is none before the end.
    pub fn step(&mut self) -> bool {
        let event = self.queue.first_key_value().map(|((at, _), _)| *at);
        let wake = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.alive && !node.frozen)
            .filter_map(|(index, node)| Some((node.requests.next_wakeup()?, index)))
            .min();
        let Some(at) = event.into_iter().chain(wake.map(|(at, _)| at)).min() else {
            return false;
        };
        if at > END {
            return false;
        }
        self.now = self.now.max(at);
        self.events += 1;
        match wake {
            Some((at, index)) if event.is_none_or(|event| at < event) => {
                self.input(index, Input::Tick);
            }
            _ => {
                let Some((_, event)) = self.queue.pop_first() else {
                    return false;
                };
                self.happen(event);
            }
        }
        self.check();
        self.broken.is_none()
    }

    fn happen(&mut self, event: Event) {
        if self.trace {
            println!("{:?} {event:?}", self.now);
        }
        if let Some(to) = target(&event) {
            let node = &mut self.nodes[to];
            if !node.alive {
                return;
            }
            if node.frozen {
                node.held.push(event);
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
            Event::Broken { to, reader, failure } => self.broken(to, reader, failure),
            Event::Stall { to, reader, seen } => self.stall(to, reader, seen),
            Event::Import { to, reader } => self.import(to, reader),
            Event::Copy { from, to, request, epoch } => self.copy(from, to, request, epoch),
            Event::Acked { to, from, request, position, ended } => {
                self.acked(to, from, request, position, ended);
            }
            Event::Subscribe { at, ticket, to, request, after } => {
                self.subscribe(at, ticket, to, request, after);
            }
            Event::Cancel { upstream, attempt } => {
                if let Some(run) = self.backs[upstream].runs.get_mut(&attempt) {
                    run.stopped = true;
                }
            }
            Event::Call(caller) => self.connect(caller),
            Event::Fault(fault) => self.strike(fault),
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
        self.pump(to);
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
                self.at(now + HOP, Event::Input(at, Input::Admitted(head.request)));
            }
            Output::Claim(claim) => self.claim(at, &claim),
            Output::Settle { request, claimant, outcome } => {
                let ours = self.claims.get(&request).is_some_and(|c| c.claimant == claimant);
                match outcome {
                    Outcome::Refused(_) if ours => {
                        self.claims.remove(&request);
                    }
                    _ if ours => {
                        self.claims.get_mut(&request).expect("claim is held").settled = true;
                    }
                    _ => {}
                }
            }
            Output::Place(wanted) => {
                let input = self.route(&wanted);
                self.at(now + HOP, Event::Input(at, input));
            }
            Output::Retry { head, .. } => {
                let granted = Some(ms(5));
                let input = Input::Retry { request: head.request, granted };
                self.at(now + HOP, Event::Input(at, input));
            }
            Output::Run(run) => self.start(at, &run),
            Output::Cancel(live) => {
                self.nodes[at].readers.retain(|_, reader| reader.attempt != live.attempt);
                let upstream = self.back(&live.upstream);
                self.at(now + HOP, Event::Cancel { upstream, attempt: live.attempt });
            }
            Output::Mirror { request, epoch, to } => self.mirror(at, request, epoch, to),
            Output::Own { request, epoch } => {
                self.nodes[at].answers.entry(request).or_insert_with(open).take_ownership(epoch);
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
        let to = index(to);
        if self.cuts.contains(&(from, to)) || self.chance(self.loss) {
            return;
        }
        let copies = if self.chance(self.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let extra = if self.jitter > 0 { self.rng.next_u64() % self.jitter } else { 0 };
            let at = self.now + HOP + ms(extra);
            self.at(at, Event::Peer { from, to, message: message.clone() });
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
        self.at(self.now + HOP * 2, Event::Input(at, input));
    }

    fn route(&mut self, wanted: &verbenaslip_request::output::PlacementRequest) -> Input {
        let request = wanted.head.request;
        let kind =
            if wanted.head.model.as_str() == "service" { Kind::Service } else { Kind::Engine };
        let found = self.backs.iter().position(|back| {
            back.up
                && !back.leaving
                && back.kind == kind
                && !wanted.without.contains(&back.name)
                && wanted.from.as_ref() != Some(&back.name)
        });
        let Some(found) = found else {
            let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
            return Input::NoPlace { request, wait: Some(ms(100)), refusal };
        };
        let place = Placement {
            upstream: self.backs[found].name.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000)),
            kind,
            priority: 0,
            cached: 0,
            imports: kind == Kind::Engine,
        };
        Input::Placed { request, place }
    }

    fn start(&mut self, at: usize, run: &run::Run) {
        let upstream = self.back(&run.upstream);
        self.next += 1;
        let id = self.next;
        let reader = Reader {
            attempt: run.attempt,
            upstream,
            seen: 0,
            start: run.start.clone(),
            muted: false,
            stall: run.stall,
            body: 0,
        };
        let node = &mut self.nodes[at];
        node.readers.retain(|_, old| old.attempt.request != run.attempt.request);
        node.readers.insert(id, reader);
        let answer = node.answers.entry(run.attempt.request).or_insert_with(open);
        answer.begin_attempt(run.attempt);
        let position = answer.position();
        let text = answer.batches(0).iter().map(|piece| piece.text.to_string()).collect();
        if !self.backs[upstream].up {
            let (step, not_run) = (Step::Connect, true);
            let vanished = self.backs[upstream].vanished;
            let (wait, cause) =
                if vanished { (run.stall, Cause::Silent) } else { (HOP, Cause::Closed) };
            let failure = Failure { step, cause, not_run };
            self.at(self.now + wait, Event::Broken { to: at, reader: id, failure });
            return;
        }
        match &run.start {
            Start::Fresh | Start::Resume => {
                let event =
                    Event::Input(at, Input::Ran { attempt: run.attempt, event: run::Event::Sent });
                self.at(self.now, event);
                self.generate(upstream, run.attempt, text);
            }
            Start::Rejoin => match self.backs[upstream].runs.get(&run.attempt) {
                Some(generation) if !generation.stopped || generation.done() => {
                    let (len, end) = (generation.len(), generation.done());
                    self.at(
                        self.now + HOP * 2,
                        Event::Read { to: at, reader: id, position: len, end },
                    );
                }
                _ => {
                    let (step, cause) = (Step::Head, Cause::Forgotten);
                    let failure = Failure { step, cause, not_run: false };
                    self.at(self.now + HOP * 2, Event::Broken { to: at, reader: id, failure });
                }
            },
            Start::Import { .. } => {
                self.at(self.now + ms(52), Event::Import { to: at, reader: id });
            }
        }
        let (seen, stall) = (position, run.stall);
        self.at(self.now + stall, Event::Stall { to: at, reader: id, seen });
    }

    fn generate(&mut self, upstream: usize, attempt: Attempt, texts: Vec<String>) {
        *self.runs.entry(attempt.request).or_default() += 1;
        let total = self.tokens;
        let back = &mut self.backs[upstream];
        back.computed += u64::from(self.prompt) + texts.len() as u64;
        if self.runs[&attempt.request] > 1 {
            back.recomputed += u64::from(self.prompt) + texts.len() as u64;
        }
        back.runs.insert(attempt, Generation { texts, total, stopped: false });
        self.at(self.now + HOP + FIRST, Event::Token { upstream, attempt });
    }

    fn token(&mut self, upstream: usize, attempt: Attempt) {
        let back = &mut self.backs[upstream];
        let Some(run) = back.runs.get_mut(&attempt).filter(|run| !run.stopped) else {
            return;
        };
        if !back.up {
            return;
        }
        run.texts.push(format!("{}.{}", run.texts.len() + 1, attempt.number));
        back.computed += 1;
        let (position, end) = (run.len(), run.done());
        run.stopped = end;
        if !end {
            self.at(self.now + PACE, Event::Token { upstream, attempt });
        }
        for (to, reader) in self.readers_of(upstream, attempt) {
            self.at(self.now + HOP, Event::Read { to, reader, position, end });
        }
    }

    fn readers_of(&self, upstream: usize, attempt: Attempt) -> Vec<(usize, u64)> {
        let nodes = self.nodes.iter().enumerate().filter(|(_, node)| node.alive);
        let readers = nodes
            .flat_map(|(to, node)| node.readers.iter().map(move |(id, reader)| (to, *id, reader)));
        readers
            .filter(|(_, _, reader)| {
                reader.upstream == upstream && reader.attempt == attempt && !reader.muted
            })
            .map(|(to, id, _)| (to, id))
            .collect()
    }

    fn read(&mut self, to: usize, id: u64, position: u32, end: bool) {
        let Some(reader) = self.nodes[to].readers.get_mut(&id) else {
            return;
        };
        if reader.muted {
            return;
        }
        let (attempt, upstream) = (reader.attempt, reader.upstream);
        reader.seen = reader.seen.max(position);
        let Some(run) = self.backs[upstream].runs.get(&attempt) else {
            return;
        };
        let texts = run.texts.clone();
        let node = &mut self.nodes[to];
        let Some(answer) = node.answers.get_mut(&attempt.request) else {
            return;
        };
        if self.backs[upstream].kind == Kind::Service {
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
                self.broken = Some(format!("{added:?}"));
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

    fn broken(&mut self, to: usize, id: u64, failure: Failure) {
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
            self.broken(to, id, Failure { step, cause, not_run });
            return;
        }
        let (seen, stall) = (reader.seen, reader.stall);
        self.at(self.now + stall, Event::Stall { to, reader: id, seen });
    }

    fn import(&mut self, to: usize, id: u64) {
        let Some(reader) = self.nodes[to].readers.get(&id) else {
            return;
        };
        let (attempt, upstream) = (reader.attempt, reader.upstream);
        let Start::Import { from, .. } = reader.start else {
            return;
        };
        let source = self.backs.iter_mut().find(|back| back.runs.contains_key(&from));
        let source = source.filter(|back| back.up);
        let Some(run) = source.and_then(|back| back.runs.get_mut(&from)) else {
            let (step, cause) = (Step::Export, Cause::Closed);
            self.broken(to, id, Failure { step, cause, not_run: false });
            return;
        };
        let mut generation = run.clone();
        run.stopped = true;
        if !self.backs[upstream].up {
            let (step, cause) = (Step::Import, Cause::Closed);
            self.broken(to, id, Failure { step, cause, not_run: false });
            return;
        }
        generation.stopped = generation.done();
        let (position, end) = (generation.len(), generation.done());
        self.backs[upstream].runs.insert(attempt, generation);
        if end {
            self.at(self.now + HOP, Event::Read { to, reader: id, position, end });
        } else {
            self.at(self.now + PACE, Event::Token { upstream, attempt });
        }
    }

    fn mirror(&mut self, at: usize, request: Request, epoch: u16, to: Option<Instance>) {
        let node = &mut self.nodes[at];
        let answer = node.answers.entry(request).or_insert_with(open);
        answer.set_mirroring(to.is_some());
        match to {
            Some(to) => {
                node.mirrors.insert(request, Mirror { to: index(&to), epoch });
                let (from, to) = (at, index(&to));
                self.at(self.now + HOP, Event::Copy { from, to, request, epoch });
            }
            None => {
                node.mirrors.remove(&request);
            }
        }
    }

    fn copy(&mut self, from: usize, to: usize, request: Request, epoch: u16) {
        if self.cuts.contains(&(from, to)) || !self.nodes[from].alive {
            return;
        }
        let Some(source) = self.nodes[from].answers.get(&request).cloned() else {
            return;
        };
        let target = self.nodes[to].answers.entry(request).or_insert_with(open);
        for piece in source.batches(0).to_vec() {
            target.copy(epoch, piece.position, piece.count, &piece.text);
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
            self.at(self.now + HOP, event);
        }
    }

    fn acked(&mut self, to: usize, from: usize, request: Request, position: u32, ended: bool) {
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

    /// Moves what callers and second holders may have by now.
    fn pump(&mut self, at: usize) {
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
                self.at(self.now + HOP, event);
            }
        }
        self.deliver(at);
    }

    fn deliver(&mut self, at: usize) {
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
            caller.texts.extend(answer.released_batches(after).map(|piece| piece.text.to_string()));
            let end = answer.released_end().map(|end| end.position);
            if end.is_some_and(|end| end as usize == caller.texts.len()) {
                let all: Vec<_> =
                    answer.batches(0).iter().map(|piece| piece.text.to_string()).collect();
                if caller.texts != all {
                    let request = caller.request;
                    self.broken = Some(format!("halves of two answers: {request}"));
                }
                caller.whole = true;
            }
            if let Some(whole) = answer.response() {
                caller.texts = vec![String::from_utf8_lossy(&whole.bytes).into_owned()];
                caller.whole = true;
            }
            if caller.whole {
                self.hang_up(at, ticket);
            }
        }
    }

    /// Returns the caller behind a ticket or a subscription.
    fn caller_of(&self, at: usize, ticket: Ticket) -> Option<usize> {
        let outer = self.nodes[at].subscriptions.get(&ticket);
        if let Some((relay, _)) = outer
            && (!self.nodes[*relay].alive || self.nodes[*relay].frozen)
        {
            return None;
        }
        let ticket = outer.map_or(ticket, |(_, outer)| *outer);
        let caller = *self.tickets.get(&ticket)?;
        (self.callers[caller].ticket == Some(ticket)).then_some(caller)
    }

    fn hang_up(&mut self, at: usize, ticket: Ticket) {
        self.nodes[at].serving.remove(&ticket);
        let outer = self.nodes[at].subscriptions.remove(&ticket);
        self.at(self.now, Event::Input(at, Input::Gone(ticket)));
        if let Some((relay, outer)) = outer {
            self.at(self.now, Event::Input(relay, Input::Gone(outer)));
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
            let event = Event::Subscribe { at, ticket, to: index(&owner), request, after };
            self.at(self.now + HOP, event);
            return;
        }
        let caller = self.caller_of(at, ticket);
        let outer = self.nodes[at].subscriptions.remove(&ticket);
        if let Some((relay, outer)) = outer.filter(|(relay, _)| self.nodes[*relay].frozen) {
            // The frozen one finds the connection closed when it comes back.
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
                self.broken = Some(format!("said not run, but it ran: {request}"));
            }
        }
        let (outer, relay) = (caller.ticket, caller.at);
        caller.verdict = Some(verdict);
        caller.ticket = None;
        if let Some(outer) = outer.filter(|outer| *outer != ticket) {
            self.at(self.now, Event::Input(relay, Input::Gone(outer)));
        }
    }

    fn subscribe(&mut self, at: usize, ticket: Ticket, to: usize, request: Request, after: u32) {
        if !self.nodes[to].alive || self.cuts.contains(&(at, to)) {
            self.relay_lost(at, ticket);
            return;
        }
        self.next += 1;
        let inner = Ticket(self.next);
        self.nodes[to].subscriptions.insert(inner, (at, ticket));
        let input = Input::Subscribed { ticket: inner, request, after };
        self.at(self.now, Event::Input(to, input));
    }

    fn unsubscribe(&mut self, at: usize, ticket: Ticket) {
        let mut gone = Vec::new();
        for (owner, node) in self.nodes.iter_mut().enumerate() {
            node.subscriptions.retain(|inner, outer| {
                let stays = *outer != (at, ticket);
                if !stays {
                    node.serving.remove(inner);
                    gone.push((owner, *inner));
                }
                stays
            });
        }
        for (owner, inner) in gone {
            self.at(self.now, Event::Input(owner, Input::Gone(inner)));
        }
    }

    fn relay_lost(&mut self, at: usize, ticket: Ticket) {
        let Some(caller) = self.tickets.get(&ticket) else {
            return;
        };
        let after = self.callers[*caller].texts.len() as u32;
        self.at(self.now + HOP, Event::Input(at, Input::RelayLost { ticket, after }));
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
            .find(|at| self.nodes[*at].alive && !self.nodes[*at].frozen);
        let Some(at) = open else {
            self.at(self.now + ms(50), Event::Call(index));
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

    fn back(&self, upstream: &Upstream) -> usize {
        self.backs.iter().position(|back| back.name == *upstream).expect("upstream is known")
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

/// What a caller sends.
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

fn node(index: usize, boot: u64) -> Node {
    let name = Instance::new(format!("i{index}"));
    let zone = format!("z{index}").as_str().into();
    let setup = Setup::new(name.clone(), zone, boot);
    Node {
        requests: Requests::open(setup),
        name,
        alive: true,
        frozen: false,
        boot,
        drained: false,
        answers: BTreeMap::new(),
        readers: BTreeMap::new(),
        mirrors: BTreeMap::new(),
        serving: BTreeMap::new(),
        subscriptions: BTreeMap::new(),
        held: Vec::new(),
    }
}

fn open() -> Answer {
    Answer::open(1 << 20)
}

fn index(instance: &Instance) -> usize {
    instance.as_str()[1..].parse().expect("instances are numbered")
}

fn target(event: &Event) -> Option<usize> {
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
