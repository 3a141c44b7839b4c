//! Chooses among a few upstreams by the figures of the fleet.

use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_fleet::limit::TimeSlot;
use verbenaslip_fleet::registry::Status;

use crate::policy::placement::capacity::{ServiceFigures, load};
use crate::policy::placement::choice::FigureUse;
use crate::policy::placement::{
    Choice, Estimate, FAILURE_COST_MS, OTHER_ZONE_COST_MS, PREFILL_AGAIN_FACTOR, PROBE_BONUS_MS,
    Placement, Query, RUNNING_REQUEST_COST_MS, latest_ms, scale, shared_parts,
};
use crate::policy::speed::{QueueFactor, remaining};
use crate::policy::upstream_state::{UpstreamState, figure_age};
use crate::policy::versions::Track;

/// Number of homes among the candidates.
const HOMES: usize = 2;

/// Number of candidates that are drawn at random. With two, entries that act on the same old
/// figures stay spread over the upstreams; with the best of all they would meet at one.
const DRAWS: usize = 2;

/// Number of upstreams up to which all of them are candidates.
const MAX_COMPARED: usize = 4;

/// Smallest saving of prefill, in milliseconds, for which a prompt prefers its homes.
const MIN_HOME_SAVING_MS: f64 = 10.0;

/// Load of an upstream, relative to the mean of its service, above which it is passed over.
const MAX_RELATIVE_LOAD: f64 = 1.25;

/// Factor on the weight of an upstream that is warming up, or that this entry has left as slow.
const SLOW_WEIGHT: f64 = 0.25;

/// Fraction of a shared prefix that counts as cached at its first homes, by position, even if this
/// entry has not sent it there. A rare prefix is better kept at one home.
const HOME_CACHED_SHARES: [f64; 3] = [0.8, 0.7, 0.5];

/// Half-life of the pending tokens in a figure. The queue of that moment has changed after a few
/// prefills, and the mean wait is then the better estimate.
const PENDING_HALF_LIFE: Duration = Duration::from_millis(500);

/// Describes an upstream that may take the request.
struct Eligible<'a> {
    state: &'a UpstreamState,
    /// Place in a random order that is weighted by speed; the smallest comes first.
    draw: f64,
    /// Whether its load is above the bound.
    overloaded: bool,
    /// Position in the order of homes.
    home: Option<usize>,
}

/// Describes an upstream that is compared.
struct Candidate<'a> {
    state: &'a UpstreamState,
    draw: f64,
    estimate: Estimate,
    figures: FigureUse,
}

impl Placement {
    /// Returns the best of a few candidates by the figures.
    pub(super) fn best_by_figures<'s>(
        &'s self,
        now: Duration,
        query: &Query<'_>,
        figures: &ServiceFigures,
        strict: bool,
        track: Track,
    ) -> Option<Choice> {
        let mut eligible = self.eligible(now, query, figures, strict, track);
        self.order_homes(now, query, figures, &mut eligible);
        eligible.sort_unstable_by(|one, other| one.draw.total_cmp(&other.draw));
        let count = split_candidates(&mut eligible);
        let (drawn, others) = eligible.split_at(count);
        let compare = |it: &Eligible<'s>| self.candidate(now, query, figures, it);
        let mut best = cheapest(drawn.iter().map(compare))?;
        let limit_ms = latest_ms(query);
        if best.estimate.expected_ms > limit_ms && !others.is_empty() {
            // An unlucky draw must not refuse a request. All entries have the same figures, so the
            // request goes to one of those that are in time instead of the best of all.
            let mut all: Vec<Candidate<'_>> = others.iter().map(compare).collect();
            let in_time = all.extract_if(.., |it| it.estimate.expected_ms <= limit_ms);
            let in_time: Vec<Candidate<'_>> = in_time.take(DRAWS).collect();
            best = if in_time.is_empty() {
                all.push(best);
                let by_time = |one: &Candidate<'_>, other: &Candidate<'_>| {
                    one.estimate.expected_ms.total_cmp(&other.estimate.expected_ms)
                };
                all.into_iter().min_by(by_time)?
            } else {
                cheapest(in_time.into_iter())?
            };
        }
        let Candidate { state, estimate, figures: used, .. } = best;
        let speed = self.speed(now, state, figures);
        let used = FigureUse { candidates: count, ..used };
        let prefill_ms = as_f64(estimate.uncached_tokens) / speed;
        Some(self.new_choice(query, state, &estimate, prefill_ms, Some(Box::new(used))))
    }

    /// Returns the upstreams that may take the request.
    fn eligible(
        &self,
        now: Duration,
        query: &Query<'_>,
        figures: &ServiceFigures,
        strict: bool,
        track: Track,
    ) -> Vec<Eligible<'_>> {
        let names = self.by_service.get(query.service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let states = states.filter(|state| {
            self.is_admissible(now, query, state, strict, track) && !(strict && state.is_full(now))
        });
        let seed = self.draw_seed(now, query);
        let max_load = figures.mean_load * MAX_RELATIVE_LOAD;
        let eligible = states.map(|state| {
            let mut weight = self.speed(now, state, figures) * warmup_factor(state);
            if state.is_slow(now) {
                weight *= SLOW_WEIGHT;
            }
            let overloaded =
                load(state, now, figures.median_speed).is_some_and(|load| load > max_load);
            let draw = score(seed ^ state.upstream_hash, weight);
            Eligible { state, draw, overloaded, home: None }
        });
        eligible.collect()
    }

    /// Sets the position of each upstream in the order of homes of the prompt's shared prefix.
    ///
    /// All entries have the same order as long as they have the same figures: weighted rendezvous
    /// hashing gives each upstream a part of the prefixes in proportion to its speed.
    fn order_homes(
        &self,
        now: Duration,
        query: &Query<'_>,
        figures: &ServiceFigures,
        eligible: &mut [Eligible<'_>],
    ) {
        let shared = shared_parts(query.parts);
        let Some(part) = shared.last().map(|part| part.id) else { return };
        let tokens: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
        if as_f64(tokens) / figures.median_speed < MIN_HOME_SAVING_MS {
            return;
        }
        let can_be_home = |it: &&mut Eligible<'_>| {
            it.state.record.status == Status::Ready
                && self.restrictions.restriction(it.state.run()).is_none()
        };
        let homes = eligible.iter_mut().filter(can_be_home).map(|it| {
            let speed = it.state.fresh_figure(now).and_then(|figure| figure.tokens_per_ms);
            let weight = speed.unwrap_or(figures.median_speed) * warmup_factor(it.state);
            (score(it.state.upstream_hash ^ part, weight), it)
        });
        let mut homes: Vec<_> = homes.collect();
        homes.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        let mut found = 0;
        for (position, (_, home)) in homes.into_iter().enumerate() {
            if !home.overloaded && !home.state.is_slow(now) {
                home.home = Some(position);
                found += 1;
            }
            if found == HOMES {
                break;
            }
        }
    }

    /// Estimates the time to the first event, and the cost, with the figures of the fleet.
    fn candidate<'a>(
        &self,
        now: Duration,
        query: &Query<'_>,
        figures: &ServiceFigures,
        eligible: &Eligible<'a>,
    ) -> Candidate<'a> {
        let state = eligible.state;
        let shared: u64 = shared_parts(query.parts).iter().map(|part| u64::from(part.tokens)).sum();
        let home_cached = eligible.home.map_or(0, |position| {
            scale(shared, HOME_CACHED_SHARES[position.min(HOME_CACHED_SHARES.len() - 1)])
        });
        let own_cached = state.cache.cached_tokens(now, query.parts);
        let cached = own_cached.max(home_cached);
        let uncached_tokens = query.prompt_tokens.saturating_sub(cached);
        let speed = self.speed(now, state, figures);
        let learning = self.learning.get(query.service);
        let queue_ms =
            queue_ms(now, state, figures, speed, learning.map_or(0.0, |it| it.mean_tokens));
        let factor = learning
            .and_then(|it| it.queue_factors.get(&query.rank))
            .map_or(1.0, |it: &QueueFactor| it.factor_at(now));
        let pending = state.pending_prefill;
        let same_zone = state.record.announcement.zone == self.zone;
        let mut expected_ms = if same_zone { 0.0 } else { OTHER_ZONE_COST_MS }
            + figures.base_ms
            + factor * queue_ms
            + as_f64(pending + uncached_tokens) / speed
            + state.newest_failure_rate(now) * FAILURE_COST_MS;
        let (requests, slots) = (state.fleet_active(now), state.record.announcement.slots.max(1));
        if requests >= slots {
            let answer_ms = state.speed.answer_ms().unwrap_or(100.0);
            expected_ms += answer_ms * f64::from(requests - slots + 1) / f64::from(slots);
        }
        let uncached_shared = as_f64(shared.saturating_sub(cached));
        let mut cost_ms = expected_ms
            + f64::from(requests) * RUNNING_REQUEST_COST_MS
            + uncached_shared / speed * PREFILL_AGAIN_FACTOR;
        if state.is_slow(now) {
            cost_ms += FAILURE_COST_MS;
        }
        if self.restrictions.is_probe_due(self.moment(now), state.run()) {
            cost_ms -= PROBE_BONUS_MS;
        }
        let figure = state.fresh_figure(now);
        Candidate {
            state,
            draw: eligible.draw,
            estimate: Estimate { uncached_tokens, expected_ms, cost_ms, idle: pending == 0 },
            figures: FigureUse {
                figure_age: figure.map(|it| figure_age(now, it)),
                candidates: 0,
                wait_ms: figure.map_or(figures.median_wait_ms, |it| it.wait_ms),
                home: eligible.home,
                base_ms: figures.base_ms,
                queue_ms: queue_ms + as_f64(pending) / speed,
                tokens_per_ms: speed,
                guessed_cached: home_cached > own_cached,
            },
        }
    }

    /// Returns the speed to reckon with, in tokens per millisecond.
    fn speed(&self, now: Duration, state: &UpstreamState, figures: &ServiceFigures) -> f64 {
        state.learnt_speed(now).unwrap_or(figures.median_speed).max(1.0)
    }

    /// Returns a number that differs between requests and between entries.
    ///
    /// All entries number their requests alike, so the number alone would let entries that started
    /// together draw the same candidates.
    fn draw_seed(&self, now: Duration, query: &Query<'_>) -> u64 {
        let TimeSlot { index, count } = self.time_slot.unwrap_or(TimeSlot { index: 0, count: 0 });
        let nanos = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        let own_part = query.parts.last().map_or(0, |part| part.id);
        [u64::from(index), u64::from(count), nanos, own_part]
            .into_iter()
            .fold(self.request_counter, |seed, it| hash::mix(seed ^ it).wrapping_add(it))
    }
}

/// Moves the candidates to the front of the upstreams, which are in random order; returns their
/// number.
fn split_candidates(eligible: &mut [Eligible<'_>]) -> usize {
    if eligible.len() <= MAX_COMPARED {
        return eligible.len();
    }
    // The sort is stable, so upstreams of the same kind stay in random order.
    eligible.sort_by_key(|it| (it.home.is_none(), it.overloaded));
    let homes = eligible.iter().filter(|it| it.home.is_some()).count();
    homes + DRAWS
}

/// Returns the expected prefill time before a prompt at an upstream, in milliseconds, beyond this
/// entry's own.
fn queue_ms(
    now: Duration,
    state: &UpstreamState,
    figures: &ServiceFigures,
    speed: f64,
    mean_tokens: f64,
) -> f64 {
    let Some(figure) = state.fresh_figure(now) else {
        return (figures.median_wait_ms - figures.base_ms).max(0.0);
    };
    let mean_ms = (figure.wait_ms - figures.base_ms).max(0.0);
    // A prompt counts as pending until its first event is back, so tokens are pending that have
    // been read: half of the running prefill, and all until the first event has arrived.
    let surplus_ms = figures.base_ms + mean_tokens / speed / 2.0;
    let surplus = figure.events_per_s / 1_000.0 * mean_tokens * surplus_ms;
    let pending_ms = (as_f64(state.others_pending(figure)) - surplus).max(0.0) / speed;
    mean_ms + (pending_ms - mean_ms) * remaining(figure_age(now, figure), PENDING_HALF_LIFE)
}

/// Returns the candidate of the lowest cost.
fn cheapest<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Option<Candidate<'a>> {
    // Equal candidates are in random order.
    let by_cost = |one: &Candidate<'_>, other: &Candidate<'_>| {
        let costs = one.estimate.cost_ms.total_cmp(&other.estimate.cost_ms);
        costs.then(one.draw.total_cmp(&other.draw))
    };
    candidates.min_by(by_cost)
}

fn warmup_factor(state: &UpstreamState) -> f64 {
    if state.record.announcement.warmup_left.is_zero() { 1.0 } else { SLOW_WEIGHT }
}

/// Returns the score of weighted rendezvous hashing, `-ln(u) / weight`, for a number whose mixed
/// bits give `u` in (0, 1].
#[allow(clippy::cast_precision_loss)] // 53 bits fit.
fn score(number: u64, weight: f64) -> f64 {
    let u = ((hash::mix(number) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -u.ln() / weight
}

#[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
