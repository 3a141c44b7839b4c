//! What upstreams ask for in the heads of their answers.
//!
//! A request of an upstream binds this entry directly. It also holds while the cores do not hear
//! the upstream, or this entry does not hear the cores.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::limit::{Limit, Observation, TimeSlot};
use verbenaslip_fleet::registry::Run;

use crate::dialect::{RateLimit, ResponseInfo};
use crate::policy::cooldown::Cooldown;
use crate::policy::limiter::Limiter;

/// Time over which an upstream gets back all of its requests after a restriction. All entries see
/// it as idle at that moment, and would send it everything.
const RAMP_UP: Duration = Duration::from_secs(2);

/// Time without an answer after which this entry prefers a rate-limited upstream in its next slot;
/// only the upstream's answers tell when the limit ends.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time for which the wishes of a run are remembered after its last answer.
const MEMORY: Duration = Duration::from_secs(60);

/// Holds one moment in both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Time on the monotonic clock.
    pub monotonic: Duration,
    /// Agreed time of day, since the start of 1970.
    pub wall_clock: Duration,
}

impl Moment {
    /// Returns the moment that corresponds to a monotonic time; `offset` is the agreed time of day
    /// minus the monotonic clock, in milliseconds.
    pub fn at(now: Duration, offset: i64) -> Self {
        Self { monotonic: now, wall_clock: Duration::from_millis(clock::unix_ms(now, offset)) }
    }

    fn unix_ms(self) -> u64 {
        u64::try_from(self.wall_clock.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Describes what an answer has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Rate limit of the upstream.
    RateLimit(Limit),
    /// Cooldown that the upstream wants from this entry; `None` once it takes requests again.
    Cooldown(Option<Duration>),
    /// The upstream is about to stop.
    Leaving,
    /// The service of the upstream has become brittle: an upstream crashes if it refuses more
    /// requests in a second. `None` once that has ended.
    Brittle(Option<u32>),
}

/// Describes why an upstream takes no request from this entry now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// The upstream limits its request rate, and this entry has no free slot.
    RateLimited,
    /// The upstream has asked for a cooldown.
    CoolingDown,
}

/// Remembers what each run of an upstream asks for.
#[derive(Debug, Default)]
pub struct Restrictions {
    runs: BTreeMap<Run, RunRestrictions>,
    time_slot: Option<TimeSlot>,
}

/// Holds what one run asks for.
#[derive(Debug)]
struct RunRestrictions {
    limit: Option<Limit>,
    limiter: Option<Limiter>,
    /// When this entry learnt of the rate limit.
    limited_since: Duration,
    cooldown: Option<Cooldown>,
    /// Whether the run is about to stop, which a run never takes back.
    leaving: bool,
    /// When this entry last received an answer.
    answered_at: Duration,
    /// When the last restriction ended.
    ended_at: Option<Duration>,
}

impl Restrictions {
    /// Handles the header fields of an answer to a request that was sent at `sent_at`; returns
    /// what they have changed.
    pub fn handle_response_info(
        &mut self,
        at: Moment,
        run: &Run,
        sent_at: Duration,
        info: &ResponseInfo,
    ) -> Vec<Change> {
        let limits = info.rate_limit != RateLimit::Unlimited;
        let asks = limits || info.cooldown.is_some() || info.leaving;
        if !asks && !self.runs.contains_key(run) {
            return Vec::new();
        }
        let run_restrictions =
            self.runs.entry(run.clone()).or_insert_with(|| RunRestrictions::new(at));
        run_restrictions.answered_at = at.monotonic;
        let limit = run_restrictions
            .handle_limit(at, sent_at, info.rate_limit, self.time_slot)
            .map(Change::RateLimit);
        let cooldown = run_restrictions.handle_cooldown(at, sent_at, info);
        let is_new_departure =
            info.leaving && !std::mem::replace(&mut run_restrictions.leaving, true);
        let leaving = is_new_departure.then_some(Change::Leaving);
        limit.into_iter().chain(cooldown).chain(leaving).collect()
    }

    /// Updates the limits that other entries have learnt and this entry's time slot; returns the
    /// limits that are new here.
    pub fn update_from_view(&mut self, at: Moment, view: &View) -> Vec<Observation> {
        if self.time_slot != view.time_slot {
            self.time_slot = view.time_slot;
            let limiters = self.runs.values_mut().filter_map(|it| it.limiter.as_mut());
            limiters
                .for_each(|limiter| limiter.update(limiter.rate(), view.time_slot, at.wall_clock));
        }
        let known = |run: &Run| self.runs.get(run).and_then(|it| it.limit.as_ref());
        let updates = view.limits.iter().filter(|(run, limit)| limit.supersedes(known(run)));
        let updates: Vec<Observation> =
            updates.map(|(run, limit)| Observation { run: run.clone(), limit: *limit }).collect();
        for Observation { run, limit } in &updates {
            let run_restrictions =
                self.runs.entry(run.clone()).or_insert_with(|| RunRestrictions::new(at));
            run_restrictions.set_limit(at, *limit, view.time_slot);
        }
        updates
    }

    /// Returns whether this entry may send a request to a run now.
    ///
    /// `has_spare_attempt` states whether another upstream may get the request if this one refuses
    /// it. `random_fraction`, between zero and one, decides while traffic returns gradually.
    pub fn admits(
        &self,
        at: Moment,
        run: &Run,
        has_spare_attempt: bool,
        random_fraction: impl FnOnce() -> f64,
    ) -> bool {
        let Some(run_restrictions) = self.runs.get(run) else { return true };
        if run_restrictions.leaving {
            return false;
        }
        let since_end =
            run_restrictions.ended_at.map_or(RAMP_UP, |ended| at.monotonic.saturating_sub(ended));
        let ramped_up = random_fraction() * RAMP_UP.as_secs_f64() <= since_end.as_secs_f64();
        let has_slot =
            run_restrictions.limiter.is_none_or(|limiter| limiter.is_free(at.wall_clock));
        has_slot
            && match run_restrictions.cooldown {
                Some(cooldown) => cooldown.allows_request(at.monotonic, has_spare_attempt),
                None => ramped_up || run_restrictions.limiter.is_some(),
            }
    }

    /// Returns whether a run is about to stop.
    pub fn is_leaving(&self, run: &Run) -> bool {
        self.runs.get(run).is_some_and(|it| it.leaving)
    }

    /// Returns how a run is restricted, if it is.
    pub fn restriction(&self, run: &Run) -> Option<Restriction> {
        let run_restrictions = self.runs.get(run)?;
        let cooldown = run_restrictions.cooldown.map(|_| Restriction::CoolingDown);
        cooldown.or(run_restrictions.limiter.map(|_| Restriction::RateLimited))
    }

    /// Returns the time until this entry may send to a run; `None` if the run is rate-limited and
    /// this entry's position is not known.
    pub fn time_until_allowed(
        &self,
        at: Moment,
        run: &Run,
        has_spare_attempt: bool,
    ) -> Option<Duration> {
        let Some(run_restrictions) = self.runs.get(run) else { return Some(Duration::ZERO) };
        let cooldown = run_restrictions.cooldown.map_or(Duration::ZERO, |cooldown| {
            cooldown.time_until_allowed(at.monotonic, has_spare_attempt)
        });
        match run_restrictions.limiter {
            Some(limiter) => limiter.time_until_free(at.wall_clock).map(|wait| wait.max(cooldown)),
            None => Some(cooldown),
        }
    }

    /// Returns the rate limit of a run, in requests per second.
    pub fn rate(&self, run: &Run) -> Option<f64> {
        Some(self.runs.get(run)?.limiter?.rate())
    }

    /// Returns whether a run should get a request to learn whether it is still rate-limited.
    pub fn is_probe_due(&self, at: Moment, run: &Run) -> bool {
        let run_restrictions = self.runs.get(run).filter(|it| it.limiter.is_some());
        run_restrictions.is_some_and(|it| at.monotonic.saturating_sub(it.answered_at) > PROBE_AFTER)
    }

    /// Counts a request that is sent to a run.
    pub fn record_sent(&mut self, at: Moment, run: &Run) {
        let Some(run_restrictions) = self.runs.get_mut(run) else { return };
        if let Some(limiter) = &mut run_restrictions.limiter {
            limiter.use_slot(at.wall_clock);
        }
        if let Some(cooldown) = &mut run_restrictions.cooldown {
            cooldown.record_sent(at.monotonic);
        }
    }

    /// Forgets the runs for which `is_present` is false and that have not answered for a long
    /// time.
    ///
    /// A run may be missing for a moment while a new leader has not yet heard it, and its
    /// restrictions still hold.
    pub fn prune(&mut self, at: Moment, is_present: impl Fn(&Run) -> bool) {
        let answered_recently =
            |it: &RunRestrictions| at.monotonic.saturating_sub(it.answered_at) <= MEMORY;
        self.runs
            .retain(|run, run_restrictions| answered_recently(run_restrictions) || is_present(run));
    }
}

impl RunRestrictions {
    fn new(at: Moment) -> Self {
        Self {
            limit: None,
            limiter: None,
            limited_since: at.monotonic,
            cooldown: None,
            leaving: false,
            answered_at: at.monotonic,
            ended_at: None,
        }
    }

    fn handle_limit(
        &mut self,
        at: Moment,
        sent_at: Duration,
        rate_limit: RateLimit,
        time_slot: Option<TimeSlot>,
    ) -> Option<Limit> {
        let rate = match rate_limit {
            RateLimit::PerSecond(rate) => Some(rate),
            // An answer to an earlier request may have been made before the limit was stated.
            RateLimit::Unlimited if self.limiter.is_some() && sent_at >= self.limited_since => None,
            RateLimit::Unlimited | RateLimit::Unreadable => return None,
        };
        let limit = Limit { rate, reported_at_ms: at.unix_ms() };
        if !limit.supersedes(self.limit.as_ref()) {
            return None;
        }
        self.set_limit(at, limit, time_slot);
        Some(limit)
    }

    fn set_limit(&mut self, at: Moment, limit: Limit, time_slot: Option<TimeSlot>) {
        self.limit = Some(limit);
        match (&mut self.limiter, limit.rate) {
            (Some(limiter), Some(rate)) => limiter.update(rate, time_slot, at.wall_clock),
            (None, Some(rate)) => {
                self.limited_since = at.monotonic;
                self.limiter = Some(Limiter::new(rate, time_slot, at.wall_clock));
            }
            (Some(_), None) => {
                self.limiter = None;
                self.ended_at = Some(at.monotonic);
            }
            (None, None) => {}
        }
    }

    fn handle_cooldown(
        &mut self,
        at: Moment,
        sent_at: Duration,
        info: &ResponseInfo,
    ) -> Option<Change> {
        if let Some(length) = info.cooldown {
            self.cooldown = Some(Cooldown::new(at.monotonic, length));
            return Some(Change::Cooldown(Some(length)));
        }
        let cooldown = self.cooldown.filter(|cooldown| cooldown.is_probe(sent_at))?;
        if info.not_run {
            // The upstream still takes no requests and states no new time.
            self.cooldown = Some(Cooldown::new(at.monotonic, cooldown.length()));
            return None;
        }
        self.cooldown = None;
        self.ended_at = Some(at.monotonic);
        Some(Change::Cooldown(None))
    }
}
