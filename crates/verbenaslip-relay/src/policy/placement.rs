//! Chooses the upstream for a request.

mod capacity;
mod choice;
mod homes;
mod recording;
mod restrictions;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::View;
use verbenaslip_fleet::limit::{Limits, TimeSlot};
use verbenaslip_fleet::measurement::Figures;
use verbenaslip_fleet::registry::{Announcement, Record, Run, Status};
use verbenaslip_fleet::rollout::{Cohort, Plans};

use crate::dialect::PromptPart;
use crate::policy::brittleness::Brittleness;
use crate::policy::load_shedding::AdmittedShare;
use crate::policy::placement::capacity::ServiceFigures;
use crate::policy::placement::choice::ServiceRank;
pub use crate::policy::placement::choice::{Busy, Cause, Choice, Decision, FigureUse, Query};
use crate::policy::reservation;
use crate::policy::restriction::Restrictions;
use crate::policy::speed::Lag;
pub use crate::policy::upstream_state::Ending;
use crate::policy::upstream_state::UpstreamState;
use crate::policy::versions::{Track, Tracks};

/// Cost of another availability zone in milliseconds: two trips over the longest path between
/// zones of a region, so that it only decides between equal upstreams.
const OTHER_ZONE_COST_MS: f64 = 3.0;

/// Delay that each running request adds to all others, in milliseconds.
const RUNNING_REQUEST_COST_MS: f64 = 0.5;

/// Fraction of a shared prefix that counts as cached at the upstream to which the prefix belongs
/// by hash, even if this entry has not sent it there: other entries prefer the same upstream.
const HOME_CACHED_SHARE: f64 = 0.8;

/// Cost of a repeated prefill of a shared part beyond the time of the request itself, as a
/// multiple of that time: the requests queued behind it wait too, and the part takes memory twice.
const PREFILL_AGAIN_FACTOR: f64 = 1.0;

/// Cost difference in milliseconds below which upstreams count as equal.
const EQUAL_COST_MS: f64 = 0.1;

/// Cost of a failure rate of one, in milliseconds: more than any queue is worth.
const FAILURE_COST_MS: f64 = 800.0;

/// Retry time for callers that an overloaded plain service refuses: the first duration, plus the
/// second one multiplied by the refused share. At a refused share of one half callers stay away
/// for 0.8 s, longer than a full queue takes to empty.
const SHED_RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// Factor by which the refused share is higher for returning callers than for new ones. No
/// returning caller is admitted once a third of the new ones is refused.
const RETURNING_REFUSAL_FACTOR: f64 = 3.0;

/// Limit on the refused share of returning callers; a few must get through to show that there is
/// room again.
const MAX_RETURNING_REFUSAL: f64 = 0.95;

/// Latency recorded for a request that a full upstream refused, as a fraction of the objective: a
/// full queue takes all of the objective or more.
const FULL_QUEUE_LATENCY: f64 = 1.0;

/// Fraction of the objective within which a first event must be expected; otherwise the request is
/// refused at once. When engines are missing, their queues settle at this level.
const MAX_EXPECTED: f64 = 1.0;

/// The same limit for returning callers, whose answers are late in any case: they get what other
/// callers leave over.
const MAX_EXPECTED_RETURNING: f64 = 0.6;

/// Amount subtracted from the cost of a rate-limited upstream that should be probed, in
/// milliseconds: more than the prefill of most prompts, and less than a queue.
const PROBE_BONUS_MS: f64 = 100.0;

/// Upstreams as the fleet knows them.
type UpstreamRecords = BTreeMap<Upstream, Record>;

/// Says when the measurements of all entries are used to place requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sharing {
    /// Minimum number of slots of an upstream; zero turns sharing off.
    ///
    /// An engine with many slots runs requests of many entries at once, so the requests of one
    /// entry say little about its load.
    pub min_slots: u32,
    /// Minimum number of entries. With fewer, each entry sends to each upstream several times a
    /// second and its own measurements are enough.
    pub min_entries: u32,
}

impl Sharing {
    /// Returns whether the measurements of all entries are used for an upstream.
    pub fn includes(&self, slots: u32, entries: u32) -> bool {
        self.min_slots > 0 && slots >= self.min_slots && entries >= self.min_entries
    }
}

/// Holds what is known of the upstreams, and this entry's requests in progress there.
#[derive(Debug)]
pub struct Placement {
    zone: AvailabilityZone,
    states: BTreeMap<Upstream, UpstreamState>,
    by_service: BTreeMap<Arc<str>, Vec<Upstream>>,
    records: Option<Arc<UpstreamRecords>>,
    rollout_plans: Arc<Plans>,
    restrictions: Restrictions,
    limits: Arc<Limits>,
    /// This entry's time slot among the entries.
    time_slot: Option<TimeSlot>,
    /// Agreed time of day minus the monotonic clock, in milliseconds.
    time_offset_ms: i64,
    /// Whether the records have changed since the restrictions were last pruned.
    records_changed: bool,
    request_counter: u64,
    lags: BTreeMap<ServiceRank, Lag>,
    admitted_shares: BTreeMap<Arc<str>, AdmittedShare>,
    sharing: Sharing,
    entry_count: u32,
    figures: Arc<Figures>,
    brittleness: Brittleness,
}

/// Holds the estimated effect of sending a request to an upstream.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Tokens of the prompt that are not cached there.
    uncached_tokens: u64,
    /// Expected milliseconds to the first event.
    expected_ms: f64,
    /// Cost for all requests together, in milliseconds.
    cost_ms: f64,
    /// Whether no prefill of this entry is pending there.
    idle: bool,
}

impl Placement {
    /// Creates a placement without upstreams.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            states: BTreeMap::new(),
            by_service: BTreeMap::new(),
            records: None,
            rollout_plans: Arc::default(),
            restrictions: Restrictions::default(),
            limits: Arc::default(),
            time_slot: None,
            time_offset_ms: 0,
            records_changed: false,
            request_counter: 0,
            lags: BTreeMap::new(),
            admitted_shares: BTreeMap::new(),
            sharing: Sharing::default(),
            entry_count: 1,
            figures: Arc::default(),
            brittleness: Brittleness::default(),
        }
    }

    /// Sets when the measurements of all entries are used.
    #[must_use]
    pub fn with_sharing(self, sharing: Sharing) -> Self {
        Self { sharing, ..self }
    }

    /// Returns the availability zone of this instance.
    pub(crate) fn zone(&self) -> &AvailabilityZone {
        &self.zone
    }

    /// Returns whether the measurements of all entries are used for an upstream with this number of
    /// slots.
    pub fn shares_measurements(&self, slots: u32) -> bool {
        self.sharing.includes(slots, self.entry_count)
    }

    /// Returns whether measurements are shared for any number of slots.
    fn sharing_possible(&self) -> bool {
        self.shares_measurements(u32::MAX)
    }

    /// Updates the view; returns the runs of upstreams that are no longer in it.
    pub fn update(&mut self, view: &View) -> Vec<Run> {
        let mut removed = Vec::new();
        let records_changed =
            !self.records.as_ref().is_some_and(|it| Arc::ptr_eq(it, &view.upstreams));
        self.time_offset_ms = view.time_offset_ms;
        self.entry_count = view.entry_count;
        if records_changed {
            removed = self.update_records(&view.upstreams);
            self.records_changed = true;
            self.records = Some(view.upstreams.clone());
            self.update_plans(&view.rollout_plans);
        }
        if !Arc::ptr_eq(&self.rollout_plans, &view.rollout_plans) {
            self.update_plans(&view.rollout_plans);
        }
        if records_changed || !Arc::ptr_eq(&self.figures, &view.figures) {
            self.figures = view.figures.clone();
            for state in self.states.values_mut() {
                state.update_figure(self.figures.get(&state.key));
            }
        }
        removed
    }

    /// Decides where a request goes, and counts it there.
    pub fn choose(&mut self, now: Duration, query: &Query<'_>) -> Decision {
        let engine = !query.parts.is_empty();
        self.request_counter = self.request_counter.wrapping_add(1);
        if let Some(busy) = self.shed(now, query) {
            return Decision::Refuse(busy);
        }
        self.renew_division(now, query.service);
        let Some(mut choice) = self.choose_on_tracks(now, query) else {
            return self
                .refuse_restricted(now, query)
                .or_else(|| self.refuse_brittle(now, query))
                .map_or(Decision::NoUpstream, Decision::Refuse);
        };
        let objective = query.objective.as_secs_f64() * 1_000.0;
        if engine {
            choice.lag_ms = self.lags.get(&choice.service_rank).map_or(0.0, |lag| lag.lag_at(now));
        }
        let expected_ms = choice.expected_ms + choice.lag_ms;
        let late = expected_ms > latest_ms(query);
        // An answer that has begun can go nowhere else, while a new request can come back.
        let must_continue = query.may_have_run || query.version.is_some();
        if engine && !must_continue && late && choice.cohort == Cohort::Canary {
            // A busy canary must not cost its caller the answer.
            return self.choose(now, &Query { tracks: Tracks::default(), ..*query });
        }
        if engine && !must_continue && late {
            let excess_ms = (expected_ms - objective).max(100.0);
            let retry_after = Duration::from_secs_f64((excess_ms / 1_000.0).min(3.0));
            let cause = Cause::Late { expected_ms: choice.expected_ms, lag_ms: choice.lag_ms };
            return Decision::Refuse(Busy { retry_after, cause, prefill_ms: choice.prefill_ms });
        }
        self.record_sent(now, &choice, query);
        Decision::Send(choice)
    }

    /// Returns the best upstream of the first version that has one.
    fn choose_on_tracks(&self, now: Duration, query: &Query<'_>) -> Option<Choice> {
        let figures: Option<ServiceFigures> =
            if query.parts.is_empty() { None } else { self.service_figures(now, query.service) };
        let tracks = std::iter::once(query.tracks.preferred).chain(query.tracks.fallback);
        let mut options = [true, false].into_iter().flat_map(|strict| {
            let tracks = tracks.clone();
            tracks.map(move |track| (strict, track))
        });
        options.find_map(|(strict, track)| {
            self.best_upstream(now, query, figures.as_ref(), strict, track)
        })
    }

    /// Updates the rollout plans.
    fn update_plans(&mut self, plans: &Arc<Plans>) {
        self.rollout_plans = plans.clone();
        for state in self.states.values_mut() {
            let plan = self.rollout_plans.get(&state.record.announcement.service);
            state.update_plan(plan);
        }
    }

    /// Returns whether a service has an upstream that may take work, other than the runs in
    /// `tried_runs`; if `version` is given, only upstreams of this software version count.
    pub(crate) fn has_alternative(
        &self,
        now: Duration,
        service: &str,
        version: Option<&str>,
        tried_runs: &[Run],
    ) -> bool {
        let names = self.by_service.get(service).into_iter().flatten();
        let mut states = names.filter_map(|name| self.states.get(name));
        let serves_requests =
            |it: &UpstreamState| matches!(it.cohort, Cohort::Stable | Cohort::Candidate);
        let at = self.moment(now);
        states.any(|it| {
            serves_requests(it)
                && version.is_none_or(|version| *it.record.announcement.version == *version)
                && it.accepts_requests(now, false, true)
                && !tried_runs.contains(it.run())
                && self.has_place(now, it)
                && self.restrictions.admits(at, it.run(), false, || 0.0)
        })
    }

    /// Returns a refusal if a request to an overloaded plain service should be refused at once.
    ///
    /// When too few upstreams are left for the load, all their queues are full: half of the
    /// requests are refused by the upstreams and the others are late. If the right share is
    /// refused here, the rest finds short queues and is on time. The share follows from the
    /// latency of answers relative to the objective, so neither the load nor the capacity needs to
    /// be known.
    fn shed(&self, now: Duration, query: &Query<'_>) -> Option<Busy> {
        let may_be_refused = query.tried_runs.is_empty() && query.version.is_none();
        if !query.parts.is_empty() || !may_be_refused {
            return None;
        }
        let refused = 1.0 - self.admitted_shares.get(query.service)?.share_at(now);
        // A returning caller gets a late answer at best, in place of an answer that would be on
        // time.
        let part = if query.returning {
            (refused * RETURNING_REFUSAL_FACTOR).min(MAX_RETURNING_REFUSAL)
        } else {
            refused
        };
        let random = f64::from(u32::try_from(hash::mix(self.request_counter) >> 32).unwrap_or(0));
        let shed = random < part * f64::from(u32::MAX);
        let retry_after = SHED_RETRY_AFTER.0 + SHED_RETRY_AFTER.1.mul_f64(part);
        shed.then_some(Busy { retry_after, cause: Cause::Share(1.0 - part), prefill_ms: 0.0 })
    }

    fn admitted_share(&mut self, now: Duration, service: &Arc<str>) -> &mut AdmittedShare {
        self.admitted_shares.entry(service.clone()).or_insert_with(|| AdmittedShare::new(now))
    }

    /// Returns the state of the upstream that a request was sent to, unless that run has ended.
    ///
    /// An upstream that has restarted under its name has none of the earlier requests in progress.
    /// Counting them there would make it look busier, or idler, than it is.
    fn state_mut(&mut self, choice: &Choice) -> Option<&mut UpstreamState> {
        self.states.get_mut(&choice.run.upstream).filter(|state| *state.run() == choice.run)
    }

    fn update_records(&mut self, records: &UpstreamRecords) -> Vec<Run> {
        let is_same_run = |state: &UpstreamState| {
            let record = records.get(&state.run().upstream);
            record.is_some_and(|record| record.announcement.run == *state.run())
        };
        let ended = self.states.values().filter(|state| !is_same_run(state));
        let removed: Vec<Run> = ended.map(|state| state.run().clone()).collect();
        self.states.retain(|_, state| is_same_run(state));
        let mut services_changed = !removed.is_empty();
        for (name, record) in records {
            match self.states.get_mut(name) {
                Some(state) if state.record == *record => {}
                Some(state) => {
                    services_changed |=
                        state.record.announcement.service != record.announcement.service;
                    state.record = record.clone();
                }
                None => {
                    services_changed = true;
                    self.states.insert(name.clone(), UpstreamState::new(record.clone()));
                }
            }
        }
        if services_changed {
            self.rebuild_services();
        }
        self.find_scarce_versions();
        self.forget_replaced_services();
        removed
    }

    /// Rebuilds the index of upstreams by service.
    fn rebuild_services(&mut self) {
        self.by_service.clear();
        for (name, state) in &self.states {
            let service = state.record.announcement.service.clone();
            self.by_service.entry(service).or_default().push(name.clone());
        }
    }

    /// Marks the upstreams of scarce versions.
    fn find_scarce_versions(&mut self) {
        let ready = self.states.values().filter(|state| state.record.status == Status::Ready);
        let scarce = reservation::scarce_versions(ready.map(|it| &it.record.announcement));
        for state in self.states.values_mut() {
            let Announcement { service, version, .. } = &state.record.announcement;
            state.has_scarce_version =
                scarce.iter().any(|it| (&it.service, &it.version) == (service, version));
        }
    }

    /// Returns whether the room that is left at an upstream is kept for streams that can go nowhere
    /// else.
    fn is_reserved(&self, query: &Query<'_>, state: &UpstreamState) -> bool {
        let slots = state.record.announcement.slots;
        state.has_scarce_version
            && query.version.is_none()
            && !query.parts.is_empty()
            && reservation::is_reserved(state.active_requests, slots, self.entry_count)
    }

    fn best_upstream(
        &self,
        now: Duration,
        query: &Query<'_>,
        figures: Option<&ServiceFigures>,
        strict: bool,
        track: Track,
    ) -> Option<Choice> {
        let home = self.home_upstream(now, query, figures, track);
        let cheapest = |with_slow| {
            self.cheapest_upstream(now, query, (figures, home.as_ref()), (strict, with_slow), track)
        };
        // A queue elsewhere, in which the request is still on time, is better than an upstream that
        // another request has just left.
        let (state, estimate) = match figures {
            Some(_) => cheapest(false)
                .filter(|(state, estimate)| {
                    let rank = (state.record.announcement.service.clone(), query.rank);
                    let lag_ms = self.lags.get(&rank).map_or(0.0, |lag| lag.lag_at(now));
                    estimate.expected_ms + lag_ms <= latest_ms(query)
                })
                .or_else(|| cheapest(true)),
            None => cheapest(true),
        }?;
        let used = figures.map(|figures| {
            let is_home = home.as_ref() == Some(&state.run().upstream);
            Box::new(figures.used(now, state, is_home))
        });
        Some(self.new_choice(query, state, &estimate, used))
    }

    /// Returns the upstream with the lowest cost; those that count as slow are only compared
    /// `with_slow`.
    fn cheapest_upstream(
        &self,
        now: Duration,
        query: &Query<'_>,
        (figures, home): (Option<&ServiceFigures>, Option<&Upstream>),
        (strict, with_slow): (bool, bool),
        track: Track,
    ) -> Option<(&UpstreamState, Estimate)> {
        let names = self.by_service.get(query.service)?;
        let shared: u64 = shared_parts(query.parts).iter().map(|part| u64::from(part.tokens)).sum();
        let at = self.moment(now);
        let mut best: Option<(&UpstreamState, Estimate)> = None;
        let mut equal_count = 1;
        for name in names {
            let Some(state) = self.states.get(name) else { continue };
            let is_full = strict && figures.is_some() && state.is_full(now);
            let is_slow = !with_slow && state.is_slow(now);
            if is_full || is_slow || !self.is_admissible(now, query, state, strict, track) {
                continue;
            }
            let likely_cached =
                if home == Some(name) { scale(shared, HOME_CACHED_SHARE) } else { 0 };
            let mut estimate = self.estimate(now, query, state, shared, likely_cached);
            if self.restrictions.is_probe_due(at, state.run()) {
                estimate.cost_ms -= PROBE_BONUS_MS;
            }
            if let Some(figures) = figures {
                let prefill_ms = state.speed.prefill_ms(estimate.uncached_tokens);
                estimate.cost_ms += figures.speed_cost_ms(now, state, prefill_ms);
                estimate.cost_ms += if state.is_slow(now) { FAILURE_COST_MS } else { 0.0 };
            }
            let cost_saving = best.map_or(f64::MAX, |(_, best)| best.cost_ms - estimate.cost_ms);
            equal_count = if cost_saving.abs() < EQUAL_COST_MS { equal_count + 1 } else { 1 };
            // Equal upstreams are equally likely; always taking the first would send it all
            // simultaneous requests.
            let picked =
                hash::mix(self.request_counter ^ state.upstream_hash).is_multiple_of(equal_count);
            if cost_saving >= EQUAL_COST_MS || (cost_saving > -EQUAL_COST_MS && picked) {
                best = Some((state, estimate));
            }
        }
        best
    }

    /// Returns whether an upstream may take a request now.
    fn is_admissible(
        &self,
        now: Duration,
        query: &Query<'_>,
        state: &UpstreamState,
        strict: bool,
        track: Track,
    ) -> bool {
        track.includes(state.cohort)
            && !(strict && self.is_reserved(query, state))
            && query.admits_version(&state.record.announcement.version)
            && state.accepts_requests(now, strict, query.has_spare_attempt)
            && !query.tried_runs.contains(state.run())
            && self.has_place(now, state)
            && self.restrictions.admits(
                self.moment(now),
                state.run(),
                query.has_spare_attempt,
                || self.random_fraction(state, strict),
            )
    }

    fn new_choice(
        &self,
        query: &Query<'_>,
        state: &UpstreamState,
        estimate: &Estimate,
        figures: Option<Box<FigureUse>>,
    ) -> Choice {
        let Announcement { run, address, service, version, .. } = &state.record.announcement;
        Choice {
            run: run.clone(),
            address: *address,
            uncached_tokens: estimate.uncached_tokens,
            expected_ms: estimate.expected_ms,
            lag_ms: 0.0,
            idle: estimate.idle,
            prefill_ms: if query.parts.is_empty() {
                0.0
            } else {
                state.speed.prefill_ms(estimate.uncached_tokens)
            },
            version: version.clone(),
            cohort: state.cohort,
            upstream_hash: state.upstream_hash,
            rate_limit: self.restrictions.rate(state.run()),
            ticket: None,
            figures,
            service_rank: (service.clone(), query.rank),
            plain_objective: query.parts.is_empty().then_some(query.objective),
        }
    }

    /// Estimates when the first event would arrive from an upstream. The prompt has `shared`
    /// tokens in shared parts, of which `likely_cached` are probably cached because of other
    /// entries.
    fn estimate(
        &self,
        now: Duration,
        query: &Query<'_>,
        state: &UpstreamState,
        shared: u64,
        likely_cached: u64,
    ) -> Estimate {
        let cached = state.cache.cached_tokens(now, query.parts).max(likely_cached);
        let uncached_tokens = query.prompt_tokens.saturating_sub(cached);
        let uncached_shared = shared.saturating_sub(cached);
        let requests = state.active_requests;
        // Counts only this entry's own requests. Those of other entries would be known half a
        // second late, after their prefill, and would send all entries to the same few upstreams.
        let pending = state.pending_prefill;
        let slots = state.record.announcement.slots.max(1);
        let zone_cost =
            if state.record.announcement.zone == self.zone { 0.0 } else { OTHER_ZONE_COST_MS };
        let mut expected_ms = zone_cost
            + f64::from(requests) * RUNNING_REQUEST_COST_MS
            + state.failure_rate(now) * FAILURE_COST_MS;
        if !query.parts.is_empty() {
            expected_ms +=
                state.speed.first_event_ms() + state.speed.prefill_ms(pending + uncached_tokens);
        }
        if requests >= slots {
            let answer_ms = state.speed.answer_ms().unwrap_or(100.0);
            expected_ms += answer_ms * f64::from(requests - slots + 1) / f64::from(slots);
        } else if query.parts.is_empty() {
            expected_ms += 10.0 * f64::from(requests) / f64::from(slots);
        }
        Estimate {
            uncached_tokens,
            expected_ms,
            cost_ms: expected_ms + state.speed.prefill_ms(uncached_shared) * PREFILL_AGAIN_FACTOR,
            idle: pending == 0,
        }
    }

    /// Returns a number between zero and one for a request at an upstream; zero if the check is
    /// not strict.
    fn random_fraction(&self, state: &UpstreamState, strict: bool) -> f64 {
        if !strict {
            return 0.0;
        }
        let picked = u32::try_from(hash::mix(self.request_counter ^ state.upstream_hash) >> 32)
            .unwrap_or(u32::MAX);
        f64::from(picked) / f64::from(u32::MAX)
    }
}

/// Returns the expected time in milliseconds beyond which a request is refused.
fn latest_ms(query: &Query<'_>) -> f64 {
    let part = if query.returning { MAX_EXPECTED_RETURNING } else { MAX_EXPECTED };
    let objective_ms = query.objective.as_secs_f64() * 1_000.0;
    (objective_ms * part).min(query.remaining.as_secs_f64() * 1_000.0)
}

/// Returns the parts that other requests may share: all but the last.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
fn scale(tokens: u64, by: f64) -> u64 {
    (tokens as f64 * by) as u64
}
