//! Entries that place requests on engines, stepped without a network and without real time.
//!
//! Engines prefill one prompt at a time, by rank and arrival, and cache all parts. Times are in us.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::View;
use verbenaslip_fleet::measurement::average::{Average, quantised};
use verbenaslip_fleet::measurement::{Figure, Figures, RunKey};
use verbenaslip_fleet::registry::Record;
use verbenaslip_relay::dialect::PromptPart;
use verbenaslip_relay::policy::placement::{Choice, Decision, Ending, Placement, Query, Sharing};

use crate::common::{query, record, run};

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;
const ENTRIES: usize = 82;
pub const ENGINES: usize = 60;
const ZONES: [&str; 3] = ["north", "middle", "south"];
/// Tokens per millisecond of prefills and events per second of streams at a relative speed of 1.
const TOKENS_PER_MS: f64 = 38.0;
const STREAM_RATE: f64 = 40.0;
/// Time before which nothing counts.
pub const WARM_UP: u64 = 12 * SECOND;
/// Times from the end of a prefill to the first event and to the end of the answer. The placement
/// assumes about the first, and without it would take fast engines for far faster than they are.
pub const FIRST_EVENT: u64 = 70 * MS;
const DECODE: u64 = 800 * MS;
/// Interval of the updates of one entry, and number of updates between records of the figures.
const UPDATE_INTERVAL: u64 = 250 * MS;
const SNAPSHOT_UPDATES: u64 = 8;
/// Requests per second of `catch-digest`, `grade-ask` and `bid-feed`; these have ranks 0, 1 and 2.
const RATES: [f64; 3] = [119.0, 144.0, 133.0];
/// Objectives of the first event and time limits, in milliseconds.
pub const LIMITS_MS: [(u64, u64); 3] = [(1_000, 6_000), (2_000, 4_000), (2_000, 15_000)];
/// Shared tokens, own tokens, sessions and first parts. The first part of a prompt has half of the
/// shared tokens, and the part of the session has the other half.
const PROMPTS: [[u32; 4]; 3] =
    [[6_300, 2_890, 684, 4], [568, 1_800, 1_251, 80], [172, 543, 770, 16]];

/// Holds a request and what became of it.
#[derive(Clone, Default)]
pub struct Request {
    pub arrived_at: u64,
    pub class: usize,
    pub engine: usize,
    pub latency: Option<u64>,
    entry: usize,
    parts: Vec<PromptPart>,
    returning: bool,
    sent_at: u64,
    choice: Option<Choice>,
}

/// Whether sharing is in force, the mean age of figures in microseconds, and the share of reports
/// that is lost on the way to the leader and again on the way back. `None` is one queue that knows
/// everything; a request joins the engine that finishes it first.
pub type Policy = Option<(Sharing, u64, f64)>;

/// Rank, time of arrival and number of a request in a queue.
type Position = (usize, u64, usize);
type Scheduled = Reverse<(u64, Event)>;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Update { number: u64 },
    PrefillEnd { engine: usize },
    AnswerStart { request: usize },
    End { request: usize },
    Arrive { request: usize },
}

#[derive(Default)]
pub struct Engine {
    /// Speed relative to the other engines.
    pub speed: f64,
    /// Time spent on prefills that counted.
    pub busy: u64,
    /// Uncached tokens of the requests that wait.
    queue: BTreeMap<Position, u64>,
    /// Request whose prefill is running, and when it ends.
    prefill: Option<(usize, u64)>,
    active: u32,
    cached: HashSet<u64>,
}

impl Engine {
    fn prefill_time(&self, tokens: u64) -> u64 {
        (tokens as f64 / (self.speed * TOKENS_PER_MS) * MS as f64) as u64
    }

    fn uncached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts.iter().take_while(|part| self.cached.contains(&part.id)).count();
        prompt_tokens(&parts[cached..])
    }

    /// Returns when the prefill of a request would end if no request followed it.
    fn finish_at(&self, now: u64, rank: usize, parts: &[PromptPart]) -> u64 {
        let ahead = self.queue.range(..(rank + 1, 0, 0)).map(|(_, tokens)| tokens).sum::<u64>();
        self.prefill.map_or(now, |it| it.1) + self.prefill_time(ahead + self.uncached_tokens(parts))
    }
}

fn prompt_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| u64::from(part.tokens)).sum()
}

pub fn draw(rng: &mut Pcg64, arrived_at: u64) -> Request {
    let drawn = rng.random::<f64>() * RATES.iter().sum::<f64>();
    let class = usize::from(drawn >= RATES[0]) + usize::from(drawn >= RATES[0] + RATES[1]);
    let [shared, own, sessions, first_parts] = PROMPTS[class];
    // The square makes the busiest tenth of the sessions send a third of the requests.
    let session = (f64::from(sessions) * rng.random::<f64>().powi(2)) as u64;
    let id = |kind: u64, id: u64| (kind << 60) | ((class as u64) << 40) | id;
    let ids = [session % u64::from(first_parts), session, rng.random::<u64>() >> 28];
    let tokens = [shared / 2, shared / 2, own];
    let part = |at: usize| PromptPart { id: id(at as u64 + 1, ids[at]), tokens: tokens[at] };
    let parts = (0..3).map(part).collect();
    Request { arrived_at, class, entry: rng.random_range(0..ENTRIES), parts, ..Request::default() }
}

/// Draws the requests until `end` at `scale` times the rates of the classes.
pub fn draw_all(rng: &mut Pcg64, scale: f64, end: u64) -> Vec<Request> {
    let rate = scale * RATES.iter().sum::<f64>();
    let (mut at, mut requests) = (0, Vec::new());
    loop {
        at += (-(1.0 - rng.random::<f64>()).ln() / rate * SECOND as f64) as u64;
        if at >= end {
            return requests;
        }
        requests.push(draw(rng, at));
    }
}

/// Runs entries and engines over a list of requests.
pub struct Model {
    pub engines: Vec<Engine>,
    pub requests: Vec<Request>,
    policy: Policy,
    entries: Vec<Placement>,
    events: BinaryHeap<Scheduled>,
    snapshots: Vec<Arc<Figures>>,
    records: Arc<BTreeMap<Upstream, Record>>,
    rng: Pcg64,
}

impl Model {
    /// Runs all requests to their end.
    pub fn run(requests: &[Request], policy: Policy) -> Self {
        let speeds = [0.6, 1.0, 1.6].into_iter().cycle().take(ENGINES);
        // Each zone has engines of all speeds.
        let records = (0..ENGINES).map(|number| {
            let mut record = record(run(number as u16, 0), ZONES[number / 3 % 3]);
            record.announcement.slots = 64;
            (record.announcement.run.upstream.clone(), record)
        });
        let mut model = Self {
            engines: speeds.map(|speed| Engine { speed, ..Engine::default() }).collect(),
            requests: requests.to_vec(),
            policy,
            entries: Vec::new(),
            events: BinaryHeap::new(),
            snapshots: Vec::new(),
            records: Arc::new(records.collect()),
            rng: Pcg64::seed_from_u64(5),
        };
        let end = requests.iter().map(|it| it.arrived_at).max().unwrap_or(0) + 10 * SECOND;
        if let Some((sharing, ..)) = policy {
            let zones = ZONES.into_iter().cycle().take(ENTRIES).map(AvailabilityZone::from);
            model.entries = zones.map(|it| Placement::new(it).with_sharing(sharing)).collect();
            let times = (0..end).step_by((UPDATE_INTERVAL / ENTRIES as u64) as usize).zip(0..);
            times.for_each(|(at, number)| model.schedule(at, Event::Update { number }));
        }
        let times = requests.iter().map(|it| it.arrived_at).zip(0..);
        times.for_each(|(at, request)| model.schedule(at, Event::Arrive { request }));
        while let Some(Reverse((now, event))) = model.events.pop().filter(|it| it.0.0 < end) {
            model.step(now, event);
        }
        model
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        let at = Duration::from_micros(now);
        match event {
            Event::Update { number } => self.update(at, number),
            Event::PrefillEnd { engine } => {
                let (request, _) = self.engines[engine].prefill.take().expect("a prefill");
                self.schedule(now + FIRST_EVENT, Event::AnswerStart { request });
                self.schedule(now + DECODE, Event::End { request });
                self.start_prefill(now, engine);
            }
            Event::AnswerStart { request } | Event::End { request } => {
                let it = &mut self.requests[request];
                let took = Duration::from_micros(now - it.sent_at);
                let is_end = it.latency.is_some();
                it.latency = it.latency.or(Some(now - it.arrived_at));
                self.engines[it.engine].active -= u32::from(is_end);
                match (&it.choice, self.entries.get_mut(it.entry)) {
                    (Some(to), Some(by)) if is_end => {
                        by.record_end(at, to, Ending::Complete, Some(took))
                    }
                    (Some(to), Some(by)) => by.record_first_event(at, to, took),
                    _ => {}
                }
            }
            Event::Arrive { request } => self.arrive(now, request),
        }
    }

    /// Records figures, and delivers the newest ones that have had time to reach an entry.
    fn update(&mut self, now: Duration, number: u64) {
        let Some((_, mean_age, lost)) = self.policy else { return };
        if number.is_multiple_of(SNAPSHOT_UPDATES) {
            let figures = self.engines.iter().enumerate().map(|(number, engine)| {
                let key = RunKey::of(&run(number as u16, 0));
                // The placement uses no other measurements.
                let stream_rate = Some(engine.speed * STREAM_RATE);
                let other = Average::default().figure(now, 0, engine.active, now);
                (key, quantised(key, &Figure { stream_rate, ..other }))
            });
            self.snapshots.push(Arc::new(figures.collect()));
        }
        if self.rng.random::<f64>() < lost {
            return;
        }
        let entry = number % ENTRIES as u64;
        // Cores and the leader report at phases of their own.
        let losses = (0..).take_while(|_| self.rng.random::<f64>() < lost).count() as u64;
        let age = mean_age + MS * (entry * 37 % 250) - 125 * MS + losses * UPDATE_INTERVAL;
        let taken = number.checked_sub(age.div_ceil(UPDATE_INTERVAL / ENTRIES as u64));
        let figures = taken.map(|it| self.snapshots[(it / SNAPSHOT_UPDATES) as usize].clone());
        self.entries[entry as usize].update(&View {
            upstreams: self.records.clone(),
            figures: figures.unwrap_or_default(),
            entry_count: ENTRIES as u32,
            ..View::default()
        });
    }

    fn arrive(&mut self, now: u64, number: usize) {
        let Request { class, entry, parts, returning, .. } = self.requests[number].clone();
        let Some(placement) = self.entries.get_mut(entry) else {
            let finish_at = |it: &usize| self.engines[*it].finish_at(now, class, &parts);
            let first = (0..ENGINES).min_by_key(finish_at).expect("an engine");
            return self.send(now, number, first, None);
        };
        let (objective_ms, limit_ms) = LIMITS_MS[class];
        let remaining = (self.requests[number].arrived_at + limit_ms * MS).saturating_sub(now);
        let query = Query {
            rank: class as u8,
            parts: &parts,
            prompt_tokens: prompt_tokens(&parts),
            objective: Duration::from_millis(objective_ms),
            remaining: Duration::from_micros(remaining),
            returning,
            ..query(class != 1) // Only one upstream may take a `grade-ask`.
        };
        let retry_after = match placement.choose(Duration::from_micros(now), &query) {
            Decision::Send(choice) => {
                let engine = choice.run.upstream.as_str()[1..].parse().expect("a number");
                return self.send(now, number, engine, Some(choice));
            }
            Decision::Refuse(busy) => busy.retry_after.as_micros() as u64,
            Decision::NoUpstream => 100 * MS,
        };
        if !returning {
            // Another entry gets the retry.
            let request = &mut self.requests[number];
            (request.returning, request.entry) = (true, (entry + 31) % ENTRIES);
            self.schedule(now + retry_after.min(remaining / 3), Event::Arrive { request: number });
        }
    }

    fn send(&mut self, now: u64, number: usize, to: usize, choice: Option<Choice>) {
        let (request, engine) = (&mut self.requests[number], &mut self.engines[to]);
        (request.engine, request.sent_at, request.choice) = (to, now, choice);
        let tokens = engine.uncached_tokens(&request.parts);
        engine.cached.extend(request.parts.iter().map(|part| part.id));
        engine.queue.insert((request.class, now, number), tokens);
        engine.active += 1;
        self.start_prefill(now, to);
    }

    fn start_prefill(&mut self, now: u64, number: usize) {
        let engine = &mut self.engines[number];
        let next = if engine.prefill.is_none() { engine.queue.pop_first() } else { None };
        let Some(((.., request), tokens)) = next else { return };
        let took = engine.prefill_time(tokens);
        engine.busy += if now >= WARM_UP { took } else { 0 };
        engine.prefill = Some((request, now + took));
        self.schedule(now + took, Event::PrefillEnd { engine: number });
    }
}
