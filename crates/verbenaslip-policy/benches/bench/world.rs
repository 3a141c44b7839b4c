//! Callers, instances and engines in one discrete time.

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
use super::policy::{Act, INSTANCES, Policy};
use super::workload::{Caller, Workload};

/// What happens besides the hourly wave.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// Nothing.
    Calm,
    /// All engines of the first zone are reclaimed at the top of the hour, new ones come late.
    Reclaim,
}

/// Engines of the model, a third in each zone.
const ENGINES: usize = 12;
/// When the notice of a reclaim comes after the top of the hour, and how long it is.
const NOTICE: (f64, f64) = (3.0, 10.0);
/// When replacements are ready, likewise; starts are refused until then.
const BACK: f64 = 150.0;
/// How long the run goes on after the last arrival.
const AFTER: f64 = 220.0;
/// Price of a reclaimable machine for an hour in each zone, in millionths.
pub const PRICES: [u64; 3] = [900_000, 1_300_000, 1_050_000];
/// How many times dearer an on-demand machine is.
const ON_DEMAND: f64 = 2.2;

/// Something that will happen.
enum Event {
    Arrive(usize),
    Step(usize),
    Report(usize),
    Cache(usize, CacheBatch),
    Spread,
    Poll,
    Notice,
    Die,
    Back,
}

/// One caller's fate so far.
pub struct Fate {
    pub caller: Caller,
    pub instance: usize,
    pub sent: Duration,
    pub attempt: u32,
    pub made: u32,
    pub first: Option<Duration>,
    pub hinted: bool,
    pub at: Option<usize>,
    pub outcome: Option<Outcome>,
}

/// Holds everything while it runs.
pub struct World<'a> {
    now: Duration,
    order: u64,
    events: BTreeMap<(Duration, u64), Event>,
    workload: &'a Workload,
    engines: Vec<Engine>,
    names: BTreeMap<Upstream, usize>,
    fates: Vec<Fate>,
    index: BTreeMap<Request, usize>,
    policy: Box<dyn Policy>,
    rng: Pcg64Mcg,
    batches: Vec<VecDeque<Load>>,
    counts: Vec<(u64, u64)>,
    seen: BTreeSet<u64>,
    pub(super) least: u64,
    pub(super) again: u64,
    pub(super) good: u32,
    pub(super) bad: u32,
    pub(super) price: f64,
    pub(super) busy_price: f64,
}

/// Runs a workload under a policy and measures it.
pub fn run(workload: &Workload, policy: Box<dyn Policy>, fault: Fault) -> Measures {
    let mut world = World::new(workload, policy, fault);
    world.run();
    measure(&world, workload)
}

impl<'a> World<'a> {
    fn new(workload: &'a Workload, policy: Box<dyn Policy>, fault: Fault) -> Self {
        let fates: Vec<Fate> = workload.callers.iter().cloned().map(Fate::new).collect();
        let index = fates.iter().enumerate().map(|(i, f)| (f.caller.head.request, i)).collect();
        let mut world = Self {
            now: Duration::ZERO,
            order: 0,
            events: BTreeMap::new(),
            workload,
            engines: Vec::new(),
            names: BTreeMap::new(),
            fates,
            index,
            policy,
            rng: Pcg64Mcg::seed_from_u64(11),
            batches: Vec::new(),
            counts: Vec::new(),
            seen: BTreeSet::new(),
            least: 0,
            again: 0,
            good: 0,
            bad: 0,
            price: 0.0,
            busy_price: 0.0,
        };
        world.build();
        (0..world.fates.len()).for_each(|i| world.at(world.fates[i].caller.at, Event::Arrive(i)));
        world.at(Duration::ZERO, Event::Poll);
        world.at(Duration::ZERO, Event::Spread);
        if fault == Fault::Reclaim {
            let top = workload.span.top;
            world.at(seconds(top + NOTICE.0), Event::Notice);
            world.at(seconds(top + NOTICE.0 + NOTICE.1), Event::Die);
            world.at(seconds(top + BACK), Event::Back);
        }
        world
    }

    fn build(&mut self) {
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
        let price = PRICES[zone] as f64 * if on_demand { ON_DEMAND } else { 1.0 };
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
            Speed { base: 0.020, crowding: 0.002, prefill: 20_000.0, blocks: 1 }
        } else {
            Speed { base: 0.018, crowding: 0.0012, prefill: 8_000.0, blocks: 20_000 }
        };
        let index = self.engines.len();
        self.names.insert(announcement.upstream.clone(), index);
        self.policy.announce(self.now, &announcement);
        self.engines.push(Engine::new(announcement, speed));
        self.batches.push(VecDeque::new());
        self.counts.push((0, 0));
        let offset = Duration::from_millis(37 * index as u64 % 500);
        self.at(self.now + offset, Event::Report(index));
    }

    fn run(&mut self) {
        let last = self.workload.callers.last().map_or(Duration::ZERO, |caller| caller.at);
        let end = last + seconds(AFTER);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.pay(at);
            self.now = at;
            self.handle(event);
        }
    }

    /// Adds the price of the machines that are there.
    fn pay(&mut self, until: Duration) {
        // The same time for all, whenever the last answer comes.
        let until = until.min(seconds(self.workload.span.arrivals + AFTER));
        let passed = until.saturating_sub(self.now).as_secs_f64();
        let alive = self.engines.iter().filter(|engine| engine.alive);
        let price: f64 = alive.map(|engine| engine.announcement.price as f64).sum();
        self.price += price * passed / 3600.0;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(caller) => self.arrive(caller),
            Event::Step(engine) => self.step(engine),
            Event::Report(engine) => self.report(engine),
            Event::Cache(engine, batch) => {
                let name = self.engines[engine].announcement.upstream.clone();
                self.policy.cached(&name, &batch);
            }
            Event::Spread => {
                self.policy.spread(self.now);
                self.at(self.now + seconds(1.0), Event::Spread);
            }
            Event::Poll => {
                (0..INSTANCES).for_each(|instance| self.poll(instance));
                self.at(self.now + Duration::from_millis(50), Event::Poll);
            }
            Event::Notice => self.notice(),
            Event::Die => self.die(),
            Event::Back => {
                for number in 0..ENGINES / 3 {
                    self.add_engine(200 + number, 0, self.workload.model, 16);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let instance = self.rng.random_range(0..INSTANCES);
        let fate = &mut self.fates[index];
        fate.instance = instance;
        fate.sent = self.now;
        fate.made = 0;
        fate.first = None;
        let mut head = fate.caller.head.clone();
        head.deadline = self.now + fate.caller.due;
        let acts = self.policy.arrive(self.now, instance, head);
        self.act(acts);
    }

    fn poll(&mut self, instance: usize) {
        let acts = self.policy.poll(self.now, instance);
        self.act(acts);
    }

    fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Run { request, upstream, priority } => {
                    self.submit(request, &upstream, priority)
                }
                Act::Refuse { request, retry } => self.refuse(request, retry),
            }
        }
    }

    fn submit(&mut self, request: Request, upstream: &Upstream, priority: i32) {
        let (index, engine) = (self.index[&request], self.names[upstream]);
        let fate = &mut self.fates[index];
        fate.attempt += 1;
        fate.at = Some(engine);
        let (prompt, left) = (fate.caller.head.prompt, fate.caller.tokens - fate.made);
        let mut job = Job::new(request, fate.attempt, prompt + fate.made, left);
        job.priority = priority;
        job.prefix = fate.caller.head.prefix.clone();
        if !self.engines[engine].alive {
            self.fail(index, engine);
            return;
        }
        self.engines[engine].submit(job);
        self.wake(engine);
    }

    fn wake(&mut self, engine: usize) {
        if self.engines[engine].stepping || self.engines[engine].idle() {
            return;
        }
        let took = self.engines[engine].begin();
        self.engines[engine].stepping = true;
        let price = self.engines[engine].announcement.price as f64;
        self.busy_price += price * took.as_secs_f64() / 3600.0;
        self.at(self.now + took, Event::Step(engine));
    }

    fn step(&mut self, engine: usize) {
        self.engines[engine].stepping = false;
        if !self.engines[engine].alive {
            return;
        }
        self.count(engine);
        let mut touched = BTreeSet::new();
        for progress in self.engines[engine].end() {
            let (Progress::First(request, attempt) | Progress::Ended(request, attempt)) = progress;
            let index = self.index[&request];
            let fate = &mut self.fates[index];
            if fate.attempt != attempt || fate.outcome.is_some() {
                continue;
            }
            touched.insert(fate.instance);
            if let Progress::First(..) = progress {
                fate.first.get_or_insert(self.now);
                self.policy.first(self.now, fate.instance, request);
            } else {
                self.finish(index);
            }
        }
        touched.into_iter().for_each(|instance| self.poll(instance));
        self.wake(engine);
    }

    /// Counts the prompt tokens of jobs whose prefill ends with this iteration.
    fn count(&mut self, engine: usize) {
        let Some(job) = self.engines[engine].computed_next() else { return };
        let (request, computed) = (job.request, u64::from(job.to_compute));
        let prefix = &self.fates[self.index[&request]].caller.head.prefix;
        let fresh = prefix.iter().filter(|block| self.seen.insert(**block)).count() as u64 * 16;
        self.least += fresh;
        self.again += computed.saturating_sub(fresh + 8);
    }

    fn finish(&mut self, index: usize) {
        let now = self.now;
        let fate = &mut self.fates[index];
        let late = now - fate.sent > fate.caller.due;
        let slow = fate.first.is_none_or(|first| {
            let aimed = Duration::from_millis(self.workload.first(&fate.caller));
            first - fate.sent > aimed
        });
        fate.outcome = Some(Outcome::Whole { late, slow, took: now - fate.sent });
        if fate.hinted {
            *(if late { &mut self.bad } else { &mut self.good }) += 1;
        }
        let (request, tokens) = (fate.caller.head.request, fate.caller.tokens);
        let instance = fate.instance;
        self.policy.ended(now, instance, request, tokens);
    }

    fn refuse(&mut self, request: Request, retry: Option<Duration>) {
        let now = self.now;
        let index = self.index[&request];
        let fate = &mut self.fates[index];
        if fate.hinted {
            self.bad += 1;
        }
        fate.hinted = false;
        let back = retry.map(|retry| now + retry);
        match back.filter(|back| *back <= fate.caller.at + fate.caller.patience) {
            Some(back) => {
                fate.hinted = true;
                self.at(back, Event::Arrive(index));
            }
            None => fate.outcome = Some(Outcome::Refused { hinted: retry.is_some() }),
        }
    }

    fn fail(&mut self, index: usize, engine: usize) {
        let fate = &self.fates[index];
        let name = self.engines[engine].announcement.upstream.clone();
        let (instance, request) = (fate.instance, fate.caller.head.request);
        if !self.policy.failed(self.now, instance, request, &name) {
            self.fates[index].outcome = Some(Outcome::Lost);
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
        self.batches[index].push_back(load);
        if self.batches[index].len() > 1 {
            // A report is a sample taken 0.5 s before, and 0.2 s on its way.
            engine.reported = self.batches[index].pop_front().unwrap_or_default();
        }
        engine.announcement.load = engine.reported;
        engine.announcement.sequence += 1;
        let announcement = engine.announcement.clone();
        self.policy.announce(self.now, &announcement);
        self.publish(index);
        self.at(self.now + Duration::from_millis(500), Event::Report(index));
    }

    /// Publishes cache events, 2 s late; one batch in twelve is lost.
    fn publish(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.events.is_empty() {
            return;
        }
        let changes = std::mem::take(&mut engine.events);
        self.counts[index].0 += 1;
        self.counts[index].1 += changes.len() as u64;
        let (count, next) = self.counts[index];
        if count.is_multiple_of(12) {
            return;
        }
        let batch =
            CacheBatch { next_sequence: next, gap: count % 12 == 1 && count > 1, events: changes };
        self.at(self.now + seconds(2.0), Event::Cache(index, batch));
    }

    fn reclaimed(&self) -> Vec<usize> {
        let zone = self.workload.zones[0];
        let model = Kind::Engine;
        let taken = |engine: &Engine| {
            engine.announcement.zone.as_str() == zone && engine.announcement.kind == model
        };
        (0..self.engines.len()).filter(|index| taken(&self.engines[*index])).collect()
    }

    fn notice(&mut self) {
        for index in self.reclaimed() {
            let engine = &mut self.engines[index];
            engine.announcement.phase = Phase::Leaving { notice: Some((NOTICE.1 * 1000.0) as u32) };
            engine.announcement.sequence += 1;
            let announcement = engine.announcement.clone();
            self.policy.announce(self.now, &announcement);
        }
    }

    fn die(&mut self) {
        for index in self.reclaimed() {
            let engine = &mut self.engines[index];
            engine.alive = false;
            let jobs: Vec<Job> = engine.batch.drain(..).chain(engine.waiting.drain(..)).collect();
            let name = engine.announcement.upstream.clone();
            self.policy.lost(self.now, &name);
            for job in jobs {
                let caller = self.index[&job.request];
                let fate = &mut self.fates[caller];
                if fate.attempt == job.attempt && fate.outcome.is_none() {
                    fate.made = (fate.made + job.made).min(fate.caller.tokens - 1);
                    self.fail(caller, index);
                }
            }
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    pub(super) fn fates(&self) -> &[Fate] {
        &self.fates
    }
}

impl Fate {
    fn new(caller: Caller) -> Self {
        let sent = caller.at;
        Self {
            caller,
            instance: 0,
            sent,
            attempt: 0,
            made: 0,
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
