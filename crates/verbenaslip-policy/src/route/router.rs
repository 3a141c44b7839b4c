//! Tracks all upstreams known to one instance and chooses between them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use verbenaslip_base::announce::{Announcement, Kind, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use crate::pool::Pool;
use crate::route::cache::{CacheBatch, CacheIndex};
use crate::route::engine::{Engine, Run};
use crate::route::score::Prediction;
use crate::row::RowParams;
use crate::service_time::ServiceTimes;

/// The maximum number of cached blocks tracked for all upstreams together; bounds memory.
const MAX_BLOCKS: usize = 200_000;
/// The maximum number of cached blocks tracked for one upstream.
const MAX_BLOCKS_PER_UPSTREAM: usize = 8_192;
/// The time without an announcement after which an upstream gets no new work.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Seconds that a call to another availability zone adds.
const CROSS_ZONE_SECONDS: f64 = 0.002;
/// The ratio to the median slowness of its peers above which an upstream is avoided.
const OUTLIER_RATIO: f64 = 2.5;
/// The minimum number of latency samples before an upstream is avoided as slow.
const MIN_OUTLIER_SAMPLES: u32 = 8;
/// The fraction of an upstream's slots that is not assumed to be free, because its load is not
/// known exactly.
const UNCERTAIN_LOAD_FRACTION: f64 = 0.4;
/// Candidates whose cost is within this factor of the lowest cost count as equally good.
const NEAR_BEST_RATIO: f64 = 1.1;

/// Describes a request for which an upstream is chosen.
#[data]
pub struct RouteQuery {
    /// The head of the request.
    pub head: Head,
    /// The parameters of the request's row.
    pub params: RowParams,
    /// The time at which the request arrived.
    pub arrived: Duration,
    /// Upstreams to avoid, such as those on which the request has failed.
    pub avoid: Vec<Upstream>,
}

/// Describes the chosen upstream and the predicted run.
#[data(float)]
pub struct Choice {
    /// The chosen upstream.
    pub upstream: Upstream,
    /// Prompt tokens that the upstream is expected to have cached.
    pub cached_tokens: u32,
    /// The predicted seconds to the first token.
    pub first_token_seconds: f64,
    /// The predicted seconds to the complete answer.
    pub total_seconds: f64,
}

/// Describes the runs of this instance at a lost upstream.
#[data(float)]
pub struct Loss {
    /// The requests that this instance had sent there.
    pub requests: Vec<Request>,
    /// The predicted slot seconds of these requests.
    pub slot_seconds: f64,
}

/// Tracks all upstreams and chooses between them.
#[derive(Debug)]
pub struct Router {
    zone: AvailabilityZone,
    instances: u32,
    engines: BTreeMap<Upstream, Engine>,
    service_times: BTreeMap<Model, ServiceTimes>,
    upstreams_by_request: BTreeMap<Request, Upstream>,
}

impl Router {
    /// Creates a router without upstreams for an instance in a zone.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            instances: 1,
            engines: BTreeMap::new(),
            service_times: BTreeMap::new(),
            upstreams_by_request: BTreeMap::new(),
        }
    }

    /// Sets the number of instances that share the upstreams, including this one.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Handles an announcement that was made at time `heard` on this instance's clock.
    pub fn handle_announcement(&mut self, heard: Duration, announcement: &Announcement) {
        let blocks = self.max_blocks_per_upstream();
        if let Some(engine) = self.engines.get_mut(&announcement.upstream) {
            engine.handle_announcement(heard, announcement);
            return;
        }
        let engine = Engine::new(heard, announcement.clone(), blocks);
        self.engines.insert(announcement.upstream.clone(), engine);
        let blocks = self.max_blocks_per_upstream();
        self.engines.values_mut().for_each(|engine| engine.cache.resize(blocks));
    }

    /// Removes a lost upstream and returns the runs of this instance there.
    pub fn remove_upstream(&mut self, upstream: &Upstream) -> Loss {
        let Some(engine) = self.engines.remove(upstream) else {
            return Loss { requests: Vec::new(), slot_seconds: 0.0 };
        };
        let requests: Vec<Request> = engine.runs.keys().copied().collect();
        requests.iter().for_each(|request| drop(self.upstreams_by_request.remove(request)));
        Loss { slot_seconds: engine.runs.values().map(|run| run.expected_seconds).sum(), requests }
    }

    /// Handles cache events of an upstream.
    pub fn handle_cache_events(&mut self, upstream: &Upstream, batch: &CacheBatch) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.cache.apply(batch);
        }
    }

    /// Returns the cache index of an upstream.
    pub fn cache(&self, upstream: &Upstream) -> Option<&CacheIndex> {
        Some(&self.engines.get(upstream)?.cache)
    }

    /// Chooses an upstream, or returns `None` if no upstream accepts new work for the model.
    pub fn choose(&self, now: Duration, query: &RouteQuery, rng: &mut impl Rng) -> Option<Choice> {
        let is_allowed = |engine: &&Engine| !query.avoid.contains(&engine.announcement.upstream);
        let candidates: Vec<&Engine> = self.candidates(now, &query.head.model).collect();
        // An upstream on which the request has failed is still better than none.
        let allowed: Vec<&Engine> = candidates.iter().copied().filter(is_allowed).collect();
        let eligible = if allowed.is_empty() { candidates } else { allowed };
        let mut scored: Vec<(f64, Choice)> =
            eligible.into_iter().map(|engine| self.score(now, query, engine)).collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = scored.first()?.0;
        let near_best =
            scored.iter().take_while(|(cost, _)| *cost <= best * NEAR_BEST_RATIO).count();
        // Takes the better of two random upstreams among the near-best. All instances see the same
        // old load reports, and if each chose the single best, they would all overload it.
        let (first, second) = (rng.random_range(0..near_best), rng.random_range(0..near_best));
        Some(scored.swap_remove(first.min(second)).1)
    }

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, now: Duration, head: &Head, choice: &Choice) {
        self.remove_run(head.request);
        let service_times = self.service_times(&head.model);
        let Some(engine) = self.engines.get_mut(&choice.upstream) else { return };
        let computed = head.prompt.saturating_sub(choice.cached_tokens);
        let run = Run {
            sent_at: now,
            first_token_at: None,
            expected_first_token_seconds: choice.first_token_seconds,
            computed_tokens: computed,
            prefill_seconds: service_times.prefill_seconds(computed),
            expected_seconds: choice.total_seconds,
            load_at_send: engine.estimate_load(self.instances),
            only_prefill: engine.pending_prefill_seconds(now, 1) <= 0.0,
            max_output_tokens: head.output,
        };
        engine.cache.record_prompt(&head.prefix);
        engine.health.record_sent();
        engine.runs.insert(head.request, run);
        self.upstreams_by_request.insert(head.request, choice.upstream.clone());
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, now: Duration, request: Request) {
        let Some(engine) =
            self.upstreams_by_request.get(&request).and_then(|name| self.engines.get_mut(name))
        else {
            return;
        };
        let Some(run) = engine.runs.get_mut(&request) else { return };
        if run.first_token_at.is_some() {
            return;
        }
        run.first_token_at = Some(now);
        let took = now.saturating_sub(run.sent_at);
        engine.latency.record_first_token(took, run.expected_first_token_seconds);
        engine.health.record_success();
        // The duration of a prefill that waited behind others says little about the speed of the
        // engine.
        if run.only_prefill
            && let Some(model) = engine.announcement.models.first()
        {
            let computed = run.computed_tokens;
            self.service_times.entry(model.clone()).or_default().record_prefill(computed, took);
        }
    }

    /// Records that the answer of a request is complete with `tokens` tokens.
    pub fn record_completion(
        &mut self,
        now: Duration,
        model: &Model,
        request: Request,
        tokens: u32,
    ) {
        let instances = self.instances;
        let service_times = self.service_times.entry(model.clone()).or_default();
        let Some(engine) =
            self.upstreams_by_request.remove(&request).and_then(|name| self.engines.get_mut(&name))
        else {
            return;
        };
        let after = engine.estimate_load(instances);
        let Some(run) = engine.end_run(now, request) else { return };
        engine.health.record_success();
        service_times.record_length(tokens, run.max_output_tokens);
        service_times.record_hold(now.saturating_sub(run.sent_at));
        let Some(first) = run.first_token_at else { return };
        if tokens < 2 {
            return;
        }
        let running = (run.load_at_send + after) / 2.0;
        let interval = now.saturating_sub(first).as_secs_f64() / f64::from(tokens - 1);
        engine.latency.record_inter_token(interval, service_times.inter_token_seconds(running));
        service_times.record_decode(running, interval);
    }

    /// Records a run that failed because of its upstream.
    pub fn record_failure(&mut self, now: Duration, request: Request) {
        let Some(engine) =
            self.upstreams_by_request.remove(&request).and_then(|name| self.engines.get_mut(&name))
        else {
            return;
        };
        engine.end_run(now, request);
        engine.health.record_failure(now);
    }

    /// Records a run that was canceled or moved for reasons unrelated to the upstream.
    pub fn record_withdrawal(&mut self, now: Duration, request: Request) {
        let Some(engine) =
            self.upstreams_by_request.remove(&request).and_then(|name| self.engines.get_mut(&name))
        else {
            return;
        };
        engine.end_run(now, request);
    }

    /// Returns the current capacity of the upstreams of a model.
    pub fn pool(&self, now: Duration, model: &Model) -> Pool {
        let mut pool = Pool { service_times: self.service_times(model), ..Pool::default() };
        let mut running = 0.0;
        for engine in self.candidates(now, model) {
            let slots = engine.announcement.slots;
            let load = engine.estimate_load(self.instances);
            pool.upstreams += 1;
            pool.slots += slots;
            pool.free_slots += (f64::from(slots) - load).max(0.0) as u32;
            running += load.min(f64::from(slots));
        }
        pool.mean_running = running / f64::from(pool.upstreams.max(1));
        pool.slot_share = f64::from(pool.slots) / f64::from(self.instances);
        pool
    }

    /// Returns the highest number of prompt tokens that a candidate is expected to have cached.
    pub fn max_cached_tokens(&self, now: Duration, head: &Head) -> u32 {
        let tokens = self.candidates(now, &head.model).map(|e| e.cache.cached_tokens(&head.prefix));
        tokens.fold(0.0, f64::max).min(f64::from(head.prompt)) as u32
    }

    /// Returns the upstream on which a request runs.
    pub fn upstream_of(&self, request: Request) -> Option<&Upstream> {
        self.upstreams_by_request.get(&request)
    }

    /// Returns the models for which an upstream is known.
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

    /// Returns the number of known upstreams in a zone.
    pub fn count_in_zone(&self, zone: &AvailabilityZone) -> usize {
        self.engines.values().filter(|engine| engine.announcement.zone == *zone).count()
    }

    /// Returns the measured service times of a model.
    pub fn service_times(&self, model: &Model) -> ServiceTimes {
        self.service_times.get(model).copied().unwrap_or_default()
    }

    /// Returns the upstreams that may get new work for a model.
    fn candidates(&self, now: Duration, model: &Model) -> impl Iterator<Item = &Engine> {
        let partitioned = self.likely_partitioned_zones(now, model);
        let median = self.median_slowness(model);
        self.ready_upstreams(model).filter(move |engine| {
            let zone = &engine.announcement.zone;
            let is_heard = engine.silence(now) <= MAX_SILENCE;
            let accepts_work = engine.health.accepts_work(now) || partitioned.contains(zone);
            is_heard && accepts_work && !is_outlier(engine, median)
        })
    }

    /// Returns the ready upstreams that have loaded a model.
    fn ready_upstreams(&self, model: &Model) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(move |engine| {
            let ready = engine.announcement.phase == Phase::Ready;
            ready && engine.announcement.models.contains(model)
        })
    }

    /// Returns the zones in which most upstreams look down from this instance although they send
    /// announcements.
    ///
    /// If connections from this instance to a whole zone fail while its upstreams still reach other
    /// instances, the fault is probably on this side. Avoiding the zone would overload the other
    /// zones.
    fn likely_partitioned_zones(&self, now: Duration, model: &Model) -> Vec<AvailabilityZone> {
        if !self.ready_upstreams(model).any(|engine| engine.health.is_down()) {
            return Vec::new();
        }
        let mut zones: BTreeMap<&AvailabilityZone, (usize, usize)> = BTreeMap::new();
        for engine in
            self.ready_upstreams(model).filter(|engine| engine.silence(now) <= MAX_SILENCE)
        {
            let counts = zones.entry(&engine.announcement.zone).or_default();
            counts.0 += 1;
            counts.1 += usize::from(engine.health.is_down());
        }
        let mostly_down = zones.into_iter().filter(|(_, (all, down))| *all > 1 && down * 2 > *all);
        mostly_down.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the median slowness of a model's upstreams.
    fn median_slowness(&self, model: &Model) -> f64 {
        let mut all: Vec<f64> = self.ready_upstreams(model).map(|e| e.latency.slowness()).collect();
        let middle = all.len().saturating_sub(1) / 2;
        if all.is_empty() {
            return 1.0;
        }
        *all.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    fn score(&self, now: Duration, query: &RouteQuery, engine: &Engine) -> (f64, Choice) {
        let cached_tokens =
            engine.cache.cached_tokens(&query.head.prefix).min(f64::from(query.head.prompt)) as u32;
        let prediction = self.predict(now, query, engine, cached_tokens);
        let seconds_left = query.head.deadline.saturating_sub(now).as_secs_f64();
        let cost = prediction.cost(seconds_left, now.saturating_sub(query.arrived), &query.params);
        let upstream = engine.announcement.upstream.clone();
        (
            cost,
            Choice {
                upstream,
                cached_tokens,
                first_token_seconds: prediction.first_token_seconds,
                total_seconds: prediction.total_seconds,
            },
        )
    }

    fn predict(
        &self,
        now: Duration,
        query: &RouteQuery,
        engine: &Engine,
        cached_tokens: u32,
    ) -> Prediction {
        let service_times = self.service_times(&query.head.model);
        let load = engine.estimate_load(self.instances);
        let slots = f64::from(engine.announcement.slots.max(1));
        let running = load.min(slots);
        let slowness = engine.latency.slowness().max(1.0);
        let zone_seconds =
            if engine.announcement.zone == self.zone { 0.0 } else { CROSS_ZONE_SECONDS };
        let computed = query.head.prompt.saturating_sub(cached_tokens);
        let tokens = match engine.announcement.kind {
            Kind::Engine => {
                service_times.expected_tokens(query.head.output.min(query.params.max_output_tokens))
            }
            Kind::Service => 0.0,
        };
        let interval = service_times.inter_token_seconds(running);
        let prefill = service_times.prefill_seconds(computed);
        // Each request beyond the slots waits until a slot becomes free.
        let excess = (load + 1.0 - slots * (1.0 - UNCERTAIN_LOAD_FRACTION)).max(0.0);
        let wait = excess * service_times.hold_seconds() / slots;
        let pending_prefill = engine.pending_prefill_seconds(now, self.instances);
        let first = zone_seconds + slowness * (wait + pending_prefill + prefill);
        let growth = service_times.inter_token_seconds(running + 1.0) - interval;
        Prediction {
            first_token_seconds: first,
            total_seconds: first + slowness * tokens * interval,
            engine_seconds: prefill + tokens * interval / (running + 1.0),
            added_delay_seconds: growth * tokens + prefill * (running / slots),
            hourly_price: engine.announcement.price as f64,
        }
    }

    fn remove_run(&mut self, request: Request) {
        if let Some(engine) =
            self.upstreams_by_request.remove(&request).and_then(|n| self.engines.get_mut(&n))
        {
            engine.runs.remove(&request);
        }
    }

    fn max_blocks_per_upstream(&self) -> usize {
        (MAX_BLOCKS / self.engines.len().max(1)).min(MAX_BLOCKS_PER_UPSTREAM)
    }
}

/// Returns whether an upstream is avoided because it is slow and already has a run.
fn is_outlier(engine: &Engine, median: f64) -> bool {
    let is_slow = engine.latency.slowness() > OUTLIER_RATIO * median.max(1.0);
    // One run at a time keeps measuring a slow upstream, so that it gets work again when it has
    // recovered.
    is_slow && engine.latency.samples() >= MIN_OUTLIER_SAMPLES && !engine.runs.is_empty()
}
