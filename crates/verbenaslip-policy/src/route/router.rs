//! All upstreams that one instance knows, and the choice between them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use verbenaslip_base::announce::{Announcement, Kind, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use crate::pool::Pool;
use crate::route::cache::{Cache, CacheBatch};
use crate::route::engine::{Engine, Sent};
use crate::route::score::Prediction;
use crate::row::Terms;
use crate::service::Service;

/// The most cached blocks remembered over all upstreams; bounds memory.
const MOST_BLOCKS: usize = 200_000;
/// The most cached blocks remembered of one upstream.
const MOST_BLOCKS_EACH: usize = 8_192;
/// The silence after which an upstream is doubtful and gets no new work.
const SILENT: Duration = Duration::from_secs(4);
/// Seconds that a hop to another availability zone adds.
const HOP: f64 = 0.002;
/// An upstream so many times slower than its peers is shed.
const OUTLIER: f64 = 2.5;
/// The comparisons needed before an upstream may be shed.
const OUTLIER_SAMPLES: u32 = 8;
/// The part of an engine's slots that are taken as free no more, as its load is not known exactly.
const UNSURE: f64 = 0.4;
/// Candidates whose cost is within this factor of the best count as equally good.
const NEAR: f64 = 1.1;

/// Asks for an upstream for a request.
#[data]
pub struct Ask {
    /// The request.
    pub head: Head,
    /// The terms of its row.
    pub terms: Terms,
    /// When it arrived.
    pub arrived: Duration,
    /// Upstreams that it must not run on, such as those that have just failed it.
    pub avoid: Vec<Upstream>,
}

/// Names the chosen upstream and what is expected of the run there.
#[data(float)]
pub struct Choice {
    /// The upstream.
    pub upstream: Upstream,
    /// Prompt tokens that are expected to be cached there.
    pub cached_tokens: u32,
    /// Expected seconds to the first token.
    pub first: f64,
    /// Expected seconds to the whole answer.
    pub whole: f64,
}

/// Tells what was running at an upstream that was lost.
#[data(float)]
pub struct Loss {
    /// The requests of this instance.
    pub requests: Vec<Request>,
    /// Slot seconds that they still needed.
    pub work: f64,
}

/// Knows all upstreams and chooses between them.
#[derive(Debug)]
pub struct Router {
    zone: AvailabilityZone,
    instances: u32,
    engines: BTreeMap<Upstream, Engine>,
    services: BTreeMap<Model, Service>,
    homes: BTreeMap<Request, Upstream>,
}

impl Router {
    /// Starts without upstreams, for an instance in a zone.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            instances: 1,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            homes: BTreeMap::new(),
        }
    }

    /// Takes over how many instances share the upstreams, this one counted.
    pub fn instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Takes an announcement; `heard` is when it was made, on this instance's clock.
    pub fn announce(&mut self, heard: Duration, announcement: &Announcement) {
        let blocks = self.blocks();
        if let Some(engine) = self.engines.get_mut(&announcement.upstream) {
            engine.announce(heard, announcement);
            return;
        }
        let engine = Engine::new(heard, announcement.clone(), blocks);
        self.engines.insert(announcement.upstream.clone(), engine);
        let blocks = self.blocks();
        self.engines.values_mut().for_each(|engine| engine.cache.resize(blocks));
    }

    /// Forgets an upstream that is gone for good, and returns what ran there.
    pub fn lost(&mut self, upstream: &Upstream) -> Loss {
        let Some(engine) = self.engines.remove(upstream) else {
            return Loss { requests: Vec::new(), work: 0.0 };
        };
        let requests: Vec<Request> = engine.sent.keys().copied().collect();
        requests.iter().for_each(|request| drop(self.homes.remove(request)));
        Loss { work: engine.sent.values().map(|sent| sent.seconds).sum(), requests }
    }

    /// Takes cache events of an upstream.
    pub fn cached(&mut self, upstream: &Upstream, batch: &CacheBatch) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.cache.events(batch);
        }
    }

    /// Returns what is known of an upstream's cache.
    pub fn cache(&self, upstream: &Upstream) -> Option<&Cache> {
        Some(&self.engines.get(upstream)?.cache)
    }

    /// Chooses an upstream, or none when no one takes new work for the model.
    pub fn choose(&self, now: Duration, ask: &Ask, rng: &mut impl Rng) -> Option<Choice> {
        let fresh = |engine: &&Engine| !ask.avoid.contains(&engine.announcement.upstream);
        let candidates: Vec<&Engine> = self.candidates(now, &ask.head.model).collect();
        // One that has failed it before is still better than none.
        let anew: Vec<&Engine> = candidates.iter().copied().filter(fresh).collect();
        let left = if anew.is_empty() { candidates } else { anew };
        let mut scored: Vec<(f64, Choice)> =
            left.into_iter().map(|engine| self.score(now, ask, engine)).collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = scored.first()?.0;
        let near = scored.iter().take_while(|(cost, _)| *cost <= best * NEAR).count();
        // Two random ones among the near best, the better of the two: all instances see the same
        // old reports, and if each took the single best they would all crowd onto it.
        let (one, two) = (rng.random_range(0..near), rng.random_range(0..near));
        Some(scored.swap_remove(one.min(two)).1)
    }

    /// Notes that a request was sent to an upstream.
    pub fn sent(&mut self, now: Duration, head: &Head, choice: &Choice) {
        self.take_back(head.request);
        let service = self.service(&head.model);
        let Some(engine) = self.engines.get_mut(&choice.upstream) else { return };
        let computed = head.prompt.saturating_sub(choice.cached_tokens);
        let sent = Sent {
            at: now,
            first: None,
            expected_first: choice.first,
            computed,
            prefill: service.prefill(computed),
            seconds: choice.whole,
            running: engine.load(self.instances),
            alone: engine.prefilling(now, 1) <= 0.0,
            allowed: head.output,
        };
        engine.cache.sent(&head.prefix);
        engine.health.sent();
        engine.sent.insert(head.request, sent);
        self.homes.insert(head.request, choice.upstream.clone());
    }

    /// Notes a request's first token.
    pub fn first_token(&mut self, now: Duration, request: Request) {
        let Some(engine) = self.homes.get(&request).and_then(|name| self.engines.get_mut(name))
        else {
            return;
        };
        let Some(sent) = engine.sent.get_mut(&request) else { return };
        if sent.first.is_some() {
            return;
        }
        sent.first = Some(now);
        let took = now.saturating_sub(sent.at);
        engine.latency.first(took, sent.expected_first);
        engine.health.worked();
        // A prefill behind others says little about the engine's own speed.
        if sent.alone
            && let Some(model) = engine.announcement.models.first()
        {
            let computed = sent.computed;
            self.services.entry(model.clone()).or_default().prefilled(computed, took);
        }
    }

    /// Notes that a request's answer is whole, with so many tokens.
    pub fn ended(&mut self, now: Duration, model: &Model, request: Request, tokens: u32) {
        let instances = self.instances;
        let service = self.services.entry(model.clone()).or_default();
        let Some(engine) = self.homes.remove(&request).and_then(|name| self.engines.get_mut(&name))
        else {
            return;
        };
        let after = engine.load(instances);
        let Some(sent) = engine.end(now, request) else { return };
        engine.health.worked();
        service.length(tokens, sent.allowed);
        service.held(now.saturating_sub(sent.at));
        let Some(first) = sent.first else { return };
        if tokens < 2 {
            return;
        }
        let running = (sent.running + after) / 2.0;
        let interval = now.saturating_sub(first).as_secs_f64() / f64::from(tokens - 1);
        engine.latency.interval(interval, service.interval(running));
        service.decoded(running, interval);
    }

    /// Notes that a request's run failed through its upstream.
    pub fn failed(&mut self, now: Duration, request: Request) {
        let Some(engine) = self.homes.remove(&request).and_then(|name| self.engines.get_mut(&name))
        else {
            return;
        };
        engine.end(now, request);
        engine.health.failed(now);
    }

    /// Notes that a run was cancelled or moved for reasons that say nothing of the upstream.
    pub fn withdrawn(&mut self, now: Duration, request: Request) {
        let Some(engine) = self.homes.remove(&request).and_then(|name| self.engines.get_mut(&name))
        else {
            return;
        };
        engine.end(now, request);
    }

    /// Sums up what the upstreams of a model could take now.
    pub fn pool(&self, now: Duration, model: &Model) -> Pool {
        let mut pool = Pool { service: self.service(model), ..Pool::default() };
        let mut running = 0.0;
        for engine in self.candidates(now, model) {
            let slots = engine.announcement.slots;
            let load = engine.load(self.instances);
            pool.upstreams += 1;
            pool.slots += slots;
            pool.free += (f64::from(slots) - load).max(0.0) as u32;
            running += load.min(f64::from(slots));
        }
        pool.running = running / f64::from(pool.upstreams.max(1));
        pool.share = f64::from(pool.slots) / f64::from(self.instances);
        pool
    }

    /// Returns the most prompt tokens that any candidate is expected to have cached.
    pub fn best_cached(&self, now: Duration, head: &Head) -> u32 {
        let tokens = self.candidates(now, &head.model).map(|e| e.cache.tokens(&head.prefix));
        tokens.fold(0.0, f64::max).min(f64::from(head.prompt)) as u32
    }

    /// Returns where a request runs.
    pub fn home(&self, request: Request) -> Option<&Upstream> {
        self.homes.get(&request)
    }

    /// Returns the models for which any upstream is known.
    pub fn models(&self) -> Vec<Model> {
        let mut models: Vec<Model> =
            self.engines.values().flat_map(|engine| engine.announcement.models.clone()).collect();
        models.sort();
        models.dedup();
        models
    }

    /// Returns the newest announcement of an upstream.
    pub fn announcement(&self, upstream: &Upstream) -> Option<&Announcement> {
        Some(&self.engines.get(upstream)?.announcement)
    }

    /// Returns how many upstreams of a zone are known.
    pub fn in_zone(&self, zone: &AvailabilityZone) -> usize {
        self.engines.values().filter(|engine| engine.announcement.zone == *zone).count()
    }

    /// Returns the live service times of a model.
    pub fn service(&self, model: &Model) -> Service {
        self.services.get(model).copied().unwrap_or_default()
    }

    /// Returns the upstreams that may get new work for a model.
    fn candidates(&self, now: Duration, model: &Model) -> impl Iterator<Item = &Engine> {
        let doubted = self.doubted_zones(now, model);
        let typical = self.typical_slowness(model);
        self.offering(model).filter(move |engine| {
            let zone = &engine.announcement.zone;
            let heard = engine.silent(now) <= SILENT;
            let works = engine.health.may(now) || doubted.contains(zone);
            heard && works && !outlier(engine, typical)
        })
    }

    /// Returns the ready upstreams with a model loaded.
    fn offering(&self, model: &Model) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(move |engine| {
            let ready = engine.announcement.phase == Phase::Ready;
            ready && engine.announcement.models.contains(model)
        })
    }

    /// Returns the zones of which most looks down from here though it announces itself.
    ///
    /// If connections from here to a whole zone fail while its upstreams still reach the other
    /// instances, the fault is more likely on this side; emptying the zone would crowd the others.
    fn doubted_zones(&self, now: Duration, model: &Model) -> Vec<AvailabilityZone> {
        if !self.offering(model).any(|engine| engine.health.down()) {
            return Vec::new();
        }
        let mut zones: BTreeMap<&AvailabilityZone, (usize, usize)> = BTreeMap::new();
        for engine in self.offering(model).filter(|engine| engine.silent(now) <= SILENT) {
            let counts = zones.entry(&engine.announcement.zone).or_default();
            counts.0 += 1;
            counts.1 += usize::from(engine.health.down());
        }
        let most = zones.into_iter().filter(|(_, (all, down))| *all > 1 && down * 2 > *all);
        most.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the median slowness of a model's upstreams.
    fn typical_slowness(&self, model: &Model) -> f64 {
        let mut all: Vec<f64> = self.offering(model).map(|e| e.latency.slowness()).collect();
        let middle = all.len().saturating_sub(1) / 2;
        if all.is_empty() {
            return 1.0;
        }
        *all.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    fn score(&self, now: Duration, ask: &Ask, engine: &Engine) -> (f64, Choice) {
        let cached = engine.cache.tokens(&ask.head.prefix).min(f64::from(ask.head.prompt)) as u32;
        let prediction = self.predict(now, ask, engine, cached);
        let left = ask.head.deadline.saturating_sub(now).as_secs_f64();
        let cost = prediction.cost(left, now.saturating_sub(ask.arrived), &ask.terms);
        let upstream = engine.announcement.upstream.clone();
        (
            cost,
            Choice {
                upstream,
                cached_tokens: cached,
                first: prediction.first,
                whole: prediction.whole,
            },
        )
    }

    fn predict(&self, now: Duration, ask: &Ask, engine: &Engine, cached: u32) -> Prediction {
        let service = self.service(&ask.head.model);
        let load = engine.load(self.instances);
        let slots = f64::from(engine.announcement.slots.max(1));
        let running = load.min(slots);
        let slow = engine.latency.slowness().max(1.0);
        let hop = if engine.announcement.zone == self.zone { 0.0 } else { HOP };
        let computed = ask.head.prompt.saturating_sub(cached);
        let tokens = match engine.announcement.kind {
            Kind::Engine => service.tokens(ask.head.output.min(ask.terms.output)),
            Kind::Service => 0.0,
        };
        let interval = service.interval(running);
        let prefill = service.prefill(computed);
        // Beyond its slots each one more waits until one of the slots is free.
        let excess = (load + 1.0 - slots * (1.0 - UNSURE)).max(0.0);
        let wait = excess * service.hold() / slots;
        let prefilling = engine.prefilling(now, self.instances);
        let first = hop + slow * (wait + prefilling + prefill);
        let growth = service.interval(running + 1.0) - interval;
        Prediction {
            first,
            whole: first + slow * tokens * interval,
            work: prefill + tokens * interval / (running + 1.0),
            delay: growth * tokens + prefill * (running / slots),
            price: engine.announcement.price as f64,
        }
    }

    fn take_back(&mut self, request: Request) {
        if let Some(engine) = self.homes.remove(&request).and_then(|n| self.engines.get_mut(&n)) {
            engine.sent.remove(&request);
        }
    }

    fn blocks(&self) -> usize {
        (MOST_BLOCKS / self.engines.len().max(1)).min(MOST_BLOCKS_EACH)
    }
}

/// Returns whether an upstream is so slow that it is shed, and not due for a probe.
fn outlier(engine: &Engine, typical: f64) -> bool {
    let slow = engine.latency.slowness() > OUTLIER * typical.max(1.0);
    // One run at a time keeps measuring it, so that it comes back when it is fast again.
    slow && engine.latency.samples() >= OUTLIER_SAMPLES && !engine.sent.is_empty()
}
