//! Simulates callers, instances and engines with discrete events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::{Model, Upstream};
use verbenaslip_policy::route::CacheBatch;

use super::engine::{Engine, Job, Progress, Speed};
use super::measure::{Measures, Outcome, measure};
use super::policy::{Action, INSTANCES, Policy};
use super::workload::{Caller, Workload};

/// The fault that occurs in addition to the hourly peak.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// No fault.
    Calm,
    /// All engines of the first zone are reclaimed at the top of the hour, and replacements arrive
    /// late.
    Reclaim,
}

/// The number of engines of the model, a third of them in each zone.
const ENGINES: usize = 12;
/// The time of the reclaim notice after the top of the hour, and the time from the notice to the
/// loss, in seconds.
const NOTICE_SECONDS: (f64, f64) = (3.0, 10.0);
/// The time after the top of the hour at which replacements are ready, in seconds; starts are
/// refused until then.
const REPLACEMENT_SECONDS: f64 = 150.0;
/// The time for which the run continues after the last arrival, in seconds.
const TAIL_SECONDS: f64 = 220.0;
/// The price of a reclaimable machine per hour in each zone, in millionths of the currency unit.
pub const HOURLY_PRICES: [u64; 3] = [900_000, 1_300_000, 1_050_000];
/// The ratio of the price of an on-demand machine to that of a reclaimable one.
const ON_DEMAND_FACTOR: f64 = 2.2;

/// An event of the simulation.
enum Event {
    Arrive(usize),
    Step(usize),
    Report(usize),
    Cache(usize, CacheBatch),
    ExchangeReports,
    Poll,
    Notice,
    Terminate,
    Replace,
}

/// The state of one caller.
pub struct CallerState {
    pub caller: Caller,
    pub instance: usize,
    pub sent: Duration,
    pub attempt: u32,
    pub produced_tokens: u32,
    pub first: Option<Duration>,
    pub hinted: bool,
    pub at: Option<usize>,
    pub outcome: Option<Outcome>,
}

/// Holds the state of the simulation.
pub struct Simulation<'a> {
    now: Duration,
    last_event: u64,
    events: BTreeMap<(Duration, u64), Event>,
    workload: &'a Workload,
    engines: Vec<Engine>,
    names: BTreeMap<Upstream, usize>,
    caller_states: Vec<CallerState>,
    index: BTreeMap<Request, usize>,
    policy: Box<dyn Policy>,
    rng: Pcg64Mcg,
    pending_loads: Vec<VecDeque<Load>>,
    published: Vec<(u64, u64)>,
    seen_blocks: BTreeSet<u64>,
    pub(super) required_tokens: u64,
    pub(super) recomputed: u64,
    pub(super) good_hints: u32,
    pub(super) bad_hints: u32,
    pub(super) price: f64,
    pub(super) busy_price: f64,
}

/// Runs a workload with a policy and returns its measures.
pub fn run(workload: &Workload, policy: Box<dyn Policy>, fault: Fault) -> Measures {
    let mut simulation = Simulation::new(workload, policy, fault);
    simulation.run();
    measure(&simulation, workload)
}

impl<'a> Simulation<'a> {
    fn new(workload: &'a Workload, policy: Box<dyn Policy>, fault: Fault) -> Self {
        let caller_states: Vec<CallerState> =
            workload.callers.iter().cloned().map(CallerState::new).collect();
        let index =
            caller_states.iter().enumerate().map(|(i, f)| (f.caller.head.request, i)).collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            last_event: 0,
            events: BTreeMap::new(),
            workload,
            engines: Vec::new(),
            names: BTreeMap::new(),
            caller_states,
            index,
            policy,
            rng: Pcg64Mcg::seed_from_u64(11),
            pending_loads: Vec::new(),
            published: Vec::new(),
            seen_blocks: BTreeSet::new(),
            required_tokens: 0,
            recomputed: 0,
            good_hints: 0,
            bad_hints: 0,
            price: 0.0,
            busy_price: 0.0,
        };
        simulation.add_engines();
        (0..simulation.caller_states.len()).for_each(|i| {
            simulation.schedule(simulation.caller_states[i].caller.at, Event::Arrive(i))
        });
        simulation.schedule(Duration::ZERO, Event::Poll);
        simulation.schedule(Duration::ZERO, Event::ExchangeReports);
        if fault == Fault::Reclaim {
            let top = workload.span.top;
            simulation.schedule(seconds(top + NOTICE_SECONDS.0), Event::Notice);
            simulation
                .schedule(seconds(top + NOTICE_SECONDS.0 + NOTICE_SECONDS.1), Event::Terminate);
            simulation.schedule(seconds(top + REPLACEMENT_SECONDS), Event::Replace);
        }
        simulation
    }

    fn add_engines(&mut self) {
        for number in 0..ENGINES {
            self.add_engine(number, number % 3, self.workload.model, 16);
        }
        for number in 0..3 {
            self.add_engine(100 + number, number, self.workload.service, 8);
        }
    }

    fn add_engine(&mut self, number: usize, zone: usize, kind: &str, slots: u32) {
        let service = kind != self.workload.model;
        let on_demand = service || number % 12 < 3;
        let price = HOURLY_PRICES[zone] as f64 * if on_demand { ON_DEMAND_FACTOR } else { 1.0 };
        let model = if service { "service" } else { kind };
        let announcement = Announcement {
            upstream: Upstream::new(format!("{kind}-{number:03}")),
            address: ([127, 0, 0, 1], 1).into(),
            zone: self.workload.zones[zone].into(),
            kind: if service { Kind::Service } else { Kind::Engine },
            incarnation: 1,
            sequence: 1,
            phase: Phase::Ready,
            models: vec![Model::from(model)],
            market: if on_demand { Market::OnDemand } else { Market::Reclaimable },
            price: price as u64,
            fenced: true,
            slots,
            load: Load::default(),
        };
        let speed = if service {
            Speed {
                base_seconds: 0.020,
                seconds_per_job: 0.002,
                prefill_tokens_per_second: 20_000.0,
                cache_blocks: 1,
            }
        } else {
            Speed {
                base_seconds: 0.018,
                seconds_per_job: 0.0012,
                prefill_tokens_per_second: 8_000.0,
                cache_blocks: 20_000,
            }
        };
        let index = self.engines.len();
        self.names.insert(announcement.upstream.clone(), index);
        self.policy.handle_announcement(self.now, &announcement);
        self.engines.push(Engine::new(announcement, speed));
        self.pending_loads.push(VecDeque::new());
        self.published.push((0, 0));
        let offset = Duration::from_millis(37 * index as u64 % 500);
        self.schedule(self.now + offset, Event::Report(index));
    }

    fn run(&mut self) {
        let last = self.workload.callers.last().map_or(Duration::ZERO, |caller| caller.at);
        let end = last + seconds(TAIL_SECONDS);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.add_price(at);
            self.now = at;
            self.handle(event);
        }
    }

    /// Adds the price of the running machines up to `until`.
    fn add_price(&mut self, until: Duration) {
        // All policies pay for the same period, regardless of when the last answer arrives.
        let until = until.min(seconds(self.workload.span.arrivals + TAIL_SECONDS));
        let passed = until.saturating_sub(self.now).as_secs_f64();
        let alive = self.engines.iter().filter(|engine| engine.alive);
        let price: f64 = alive.map(|engine| engine.announcement.price as f64).sum();
        self.price += price * passed / 3600.0;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(caller) => self.handle_arrival(caller),
            Event::Step(engine) => self.step(engine),
            Event::Report(engine) => self.report(engine),
            Event::Cache(engine, batch) => {
                let name = self.engines[engine].announcement.upstream.clone();
                self.policy.handle_cache_events(&name, &batch);
            }
            Event::ExchangeReports => {
                self.policy.exchange_reports(self.now);
                self.schedule(self.now + seconds(1.0), Event::ExchangeReports);
            }
            Event::Poll => {
                (0..INSTANCES).for_each(|instance| self.poll(instance));
                self.schedule(self.now + Duration::from_millis(50), Event::Poll);
            }
            Event::Notice => self.notice(),
            Event::Terminate => self.terminate(),
            Event::Replace => {
                for number in 0..ENGINES / 3 {
                    self.add_engine(200 + number, 0, self.workload.model, 16);
                }
            }
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let instance = self.rng.random_range(0..INSTANCES);
        let state = &mut self.caller_states[index];
        state.instance = instance;
        state.sent = self.now;
        state.produced_tokens = 0;
        state.first = None;
        let mut head = state.caller.head.clone();
        head.deadline = self.now + state.caller.time_limit;
        let actions = self.policy.handle_arrival(self.now, instance, head);
        self.apply(actions);
    }

    fn poll(&mut self, instance: usize) {
        let actions = self.policy.poll(self.now, instance);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run { request, upstream, priority } => {
                    self.submit(request, &upstream, priority)
                }
                Action::Refuse { request, retry } => self.refuse(request, retry),
            }
        }
    }

    fn submit(&mut self, request: Request, upstream: &Upstream, priority: i32) {
        let (index, engine) = (self.index[&request], self.names[upstream]);
        let state = &mut self.caller_states[index];
        state.attempt += 1;
        state.at = Some(engine);
        let (prompt, left) =
            (state.caller.head.prompt, state.caller.tokens - state.produced_tokens);
        let mut job = Job::new(request, state.attempt, prompt + state.produced_tokens, left);
        job.priority = priority;
        job.prefix = state.caller.head.prefix.clone();
        if !self.engines[engine].alive {
            self.fail(index, engine);
            return;
        }
        self.engines[engine].submit(job);
        self.start_iteration(engine);
    }

    fn start_iteration(&mut self, engine: usize) {
        if self.engines[engine].iterating || self.engines[engine].is_idle() {
            return;
        }
        let took = self.engines[engine].begin_iteration();
        self.engines[engine].iterating = true;
        let price = self.engines[engine].announcement.price as f64;
        self.busy_price += price * took.as_secs_f64() / 3600.0;
        self.schedule(self.now + took, Event::Step(engine));
    }

    fn step(&mut self, engine: usize) {
        self.engines[engine].iterating = false;
        if !self.engines[engine].alive {
            return;
        }
        self.count(engine);
        let mut touched = BTreeSet::new();
        for progress in self.engines[engine].end_iteration() {
            let (Progress::FirstToken(request, attempt) | Progress::Completed(request, attempt)) =
                progress;
            let index = self.index[&request];
            let state = &mut self.caller_states[index];
            if state.attempt != attempt || state.outcome.is_some() {
                continue;
            }
            touched.insert(state.instance);
            if let Progress::FirstToken(..) = progress {
                state.first.get_or_insert(self.now);
                self.policy.handle_first_token(self.now, state.instance, request);
            } else {
                self.finish(index);
            }
        }
        touched.into_iter().for_each(|instance| self.poll(instance));
        self.start_iteration(engine);
    }

    /// Counts the prompt tokens of the job whose prefill ends with this iteration.
    fn count(&mut self, engine: usize) {
        let Some(job) = self.engines[engine].finishing_prefill() else { return };
        let (request, computed) = (job.request, u64::from(job.tokens_to_compute));
        let prefix = &self.caller_states[self.index[&request]].caller.head.prefix;
        let new_tokens =
            prefix.iter().filter(|block| self.seen_blocks.insert(**block)).count() as u64 * 16;
        self.required_tokens += new_tokens;
        self.recomputed += computed.saturating_sub(new_tokens + 8);
    }

    fn finish(&mut self, index: usize) {
        let now = self.now;
        let state = &mut self.caller_states[index];
        let late = now - state.sent > state.caller.time_limit;
        let slow = state.first.is_none_or(|first| {
            let target = Duration::from_millis(self.workload.first_token_ms(&state.caller));
            first - state.sent > target
        });
        state.outcome = Some(Outcome::Completed { late, slow, took: now - state.sent });
        if state.hinted {
            *(if late { &mut self.bad_hints } else { &mut self.good_hints }) += 1;
        }
        let (request, tokens) = (state.caller.head.request, state.caller.tokens);
        let instance = state.instance;
        self.policy.record_completion(now, instance, request, tokens);
    }

    fn refuse(&mut self, request: Request, retry: Option<Duration>) {
        let now = self.now;
        let index = self.index[&request];
        let state = &mut self.caller_states[index];
        if state.hinted {
            self.bad_hints += 1;
        }
        state.hinted = false;
        let back = retry.map(|retry| now + retry);
        match back.filter(|back| *back <= state.caller.at + state.caller.timeout) {
            Some(back) => {
                state.hinted = true;
                self.schedule(back, Event::Arrive(index));
            }
            None => state.outcome = Some(Outcome::Refused { hinted: retry.is_some() }),
        }
    }

    fn fail(&mut self, index: usize, engine: usize) {
        let state = &self.caller_states[index];
        let name = self.engines[engine].announcement.upstream.clone();
        let (instance, request) = (state.instance, state.caller.head.request);
        if !self.policy.handle_failure(self.now, instance, request, &name) {
            self.caller_states[index].outcome = Some(Outcome::Lost);
        }
    }

    fn report(&mut self, index: usize) {
        if !self.engines[index].alive {
            return;
        }
        let engine = &mut self.engines[index];
        let load = Load {
            running: engine.batch.len() as u32,
            waiting: engine.waiting.len() as u32,
            memory: 0,
            age: 700,
        };
        self.pending_loads[index].push_back(load);
        if self.pending_loads[index].len() > 1 {
            // A report is a sample taken 0.5 s earlier, plus 0.2 s in transit.
            engine.reported_load = self.pending_loads[index].pop_front().unwrap_or_default();
        }
        engine.announcement.load = engine.reported_load;
        engine.announcement.sequence += 1;
        let announcement = engine.announcement.clone();
        self.policy.handle_announcement(self.now, &announcement);
        self.publish(index);
        self.schedule(self.now + Duration::from_millis(500), Event::Report(index));
    }

    /// Publishes cache events with a delay of 2 s; one batch in twelve is lost.
    fn publish(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.events.is_empty() {
            return;
        }
        let changes = std::mem::take(&mut engine.events);
        self.published[index].0 += 1;
        self.published[index].1 += changes.len() as u64;
        let (count, next) = self.published[index];
        if count.is_multiple_of(12) {
            return;
        }
        let batch =
            CacheBatch { next_sequence: next, gap: count % 12 == 1 && count > 1, events: changes };
        self.schedule(self.now + seconds(2.0), Event::Cache(index, batch));
    }

    fn reclaimed_engines(&self) -> Vec<usize> {
        let zone = self.workload.zones[0];
        let model = Kind::Engine;
        let is_reclaimed = |engine: &Engine| {
            engine.announcement.zone.as_str() == zone && engine.announcement.kind == model
        };
        (0..self.engines.len()).filter(|index| is_reclaimed(&self.engines[*index])).collect()
    }

    fn notice(&mut self) {
        for index in self.reclaimed_engines() {
            let engine = &mut self.engines[index];
            engine.announcement.phase =
                Phase::Leaving { notice: Some((NOTICE_SECONDS.1 * 1000.0) as u32) };
            engine.announcement.sequence += 1;
            let announcement = engine.announcement.clone();
            self.policy.handle_announcement(self.now, &announcement);
        }
    }

    fn terminate(&mut self) {
        for index in self.reclaimed_engines() {
            let engine = &mut self.engines[index];
            engine.alive = false;
            let jobs: Vec<Job> = engine.batch.drain(..).chain(engine.waiting.drain(..)).collect();
            let name = engine.announcement.upstream.clone();
            self.policy.remove_upstream(self.now, &name);
            for job in jobs {
                let caller = self.index[&job.request];
                let state = &mut self.caller_states[caller];
                if state.attempt == job.attempt && state.outcome.is_none() {
                    state.produced_tokens =
                        (state.produced_tokens + job.produced_tokens).min(state.caller.tokens - 1);
                    self.fail(caller, index);
                }
            }
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    pub(super) fn caller_states(&self) -> &[CallerState] {
        &self.caller_states
    }
}

impl CallerState {
    fn new(caller: Caller) -> Self {
        let sent = caller.at;
        Self {
            caller,
            instance: 0,
            sent,
            attempt: 0,
            produced_tokens: 0,
            first: None,
            hinted: false,
            at: None,
            outcome: None,
        }
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}
