//! Keeps upstreams that are brittle from refusing requests.
//!
//! A brittle upstream crashes if it refuses more than a few requests in a second, from all entries
//! together. Its places are therefore divided among the entries, so that the sum never exceeds what
//! it runs at once. The division follows from the positions of the entries and needs no messages.
//! Where entries outnumber the places of a service, they send in turns instead.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::limit::TimeSlot;
use verbenaslip_fleet::registry::Run;

use crate::policy::limiter::Limiter;

/// Time after the last answer that said so for which a service counts as brittle.
const MEMORY: Duration = Duration::from_secs(3);

/// Fraction of an upstream's places that stays free, since new connections and health checks also
/// take one for a moment.
const SPARE_DIVISOR: u32 = 8;

/// Fraction of the time for which the places are in use while entries send in turns; a request that
/// takes longer than usual must not meet the next one.
const TURN_UTILIZATION: f64 = 0.6;

/// Holds which services are brittle.
#[derive(Debug, Default)]
pub struct Brittleness {
    services: BTreeMap<Arc<str>, BrittleService>,
}

#[derive(Debug)]
struct BrittleService {
    told_at: Duration,
    /// Limiters of the runs, where entries send in turns.
    turns: BTreeMap<Run, Limiter>,
}

/// Describes an upstream to be checked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Service of the upstream.
    pub service: &'a str,
    /// Run of the upstream.
    pub run: &'a Run,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Hash of its name.
    pub upstream_hash: u64,
    /// Requests of this entry in progress there.
    pub active: u32,
}

impl Brittleness {
    /// Records an answer that says that its service is brittle; returns whether that is new.
    pub fn record_answer(&mut self, now: Duration, service: &Arc<str>) -> bool {
        let is_new = !self.is_brittle(now, service);
        let state = self.services.entry(service.clone());
        let state =
            state.or_insert_with(|| BrittleService { told_at: now, turns: BTreeMap::new() });
        state.told_at = now;
        if is_new {
            state.turns.clear();
        }
        is_new
    }

    /// Returns whether a service is brittle.
    pub fn is_brittle(&self, now: Duration, service: &str) -> bool {
        self.services.get(service).is_some_and(|it| now.saturating_sub(it.told_at) <= MEMORY)
    }

    /// Returns whether this entry may send a request to an upstream of a brittle service.
    ///
    /// `position` is the place of this entry among all, and `wall_clock` the agreed time of day. An
    /// entry without a position sends nothing.
    pub fn admits(
        &self,
        candidate: Candidate<'_>,
        position: Option<TimeSlot>,
        wall_clock: Duration,
    ) -> bool {
        let Some(position) = position else { return false };
        match self.services.get(candidate.service).and_then(|it| it.turns.get(candidate.run)) {
            Some(limiter) => limiter.is_free(wall_clock),
            None => candidate.active < places(candidate.slots, position, candidate.upstream_hash),
        }
    }

    /// Has entries send to a run in turns, if they do not yet; `answer_time` is how long requests
    /// take there, in seconds.
    pub fn take_turns(
        &mut self,
        candidate: Candidate<'_>,
        position: Option<TimeSlot>,
        wall_clock: Duration,
        answer_time: f64,
    ) {
        let Some(state) = self.services.get_mut(candidate.service) else { return };
        let per_place = TURN_UTILIZATION / answer_time.max(0.001);
        let rate = f64::from(usable_places(candidate.slots)) * per_place;
        let turns = &mut state.turns;
        match turns.get_mut(candidate.run) {
            Some(limiter) => limiter.update(limiter.rate(), position, wall_clock),
            None => {
                turns.insert(candidate.run.clone(), Limiter::new(rate, position, wall_clock));
            }
        }
    }

    /// Records a request that is sent.
    pub fn record_sent(&mut self, service: &str, run: &Run, wall_clock: Duration) {
        let state = self.services.get_mut(service);
        if let Some(limiter) = state.and_then(|it| it.turns.get_mut(run)) {
            limiter.use_slot(wall_clock);
        }
    }
}

/// Returns how many places of an upstream all entries together may use.
pub fn usable_places(slots: u32) -> u32 {
    slots - slots.div_ceil(SPARE_DIVISOR)
}

/// Returns how many places of an upstream belong to the entry at `position`.
pub fn places(slots: u32, position: TimeSlot, upstream_hash: u64) -> u32 {
    let (usable, count) = (usable_places(slots), position.count.max(1));
    let rank = (u64::from(position.index) + upstream_hash % u64::from(count)) % u64::from(count);
    usable / count + u32::from(rank < u64::from(usable % count))
}
