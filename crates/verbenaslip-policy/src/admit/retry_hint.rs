//! When those who were refused should come back.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The soonest that anyone is asked back.
const MIN_HINT_SECONDS: f64 = 0.5;
/// The latest that anyone is asked back.
const MAX_HINT_SECONDS: f64 = 600.0;
/// The part by which a hint is drawn longer at random.
const HINT_JITTER: f64 = 0.25;

/// Seconds over which offered work is remembered.
const LOAD_DECAY_SECONDS: f64 = 10.0;
/// The part of the slots that is booked for those who come back in any case.
const MIN_RETURN_FRACTION: f64 = 0.5;

/// Books the capacity to come for those who were refused, so that each finds room when it returns.
///
/// With a fixed hint all refused return together and most are refused again. Here each refusal
/// takes its own work out of the time to come, and the next one is asked back after it.
#[derive(Debug, Default)]
pub struct RetryHints {
    booked_until: Duration,
}

impl RetryHints {
    /// Returns how long the caller should stay away.
    ///
    /// `needed` is the seconds until the present backlog leaves room, `cost` the slot seconds that
    /// the refused request will take, `share` the slots that serve this instance's callers.
    pub fn hint(
        &mut self,
        now: Duration,
        wait_seconds: f64,
        slot_seconds: f64,
        slots: f64,
        rng: &mut impl Rng,
    ) -> Duration {
        let earliest = now.saturating_add(to_duration(wait_seconds.max(MIN_HINT_SECONDS)));
        self.booked_until = self.booked_until.max(earliest);
        let hint = self.booked_until.saturating_sub(now).as_secs_f64();
        self.booked_until =
            self.booked_until.saturating_add(to_duration(slot_seconds / slots.max(0.25)));
        self.booked_until =
            self.booked_until.min(now.saturating_add(to_duration(MAX_HINT_SECONDS)));
        to_duration(hint * rng.random_range(1.0..=1.0 + HINT_JITTER))
    }
}

/// Follows how much work a second is offered.
#[derive(Debug, Default)]
pub(crate) struct OfferedLoad {
    rate: f64,
    updated: Duration,
}

impl OfferedLoad {
    /// Adds the slot seconds of an offered request.
    pub(crate) fn add(&mut self, now: Duration, work: f64) {
        self.decay(now);
        self.rate += work / LOAD_DECAY_SECONDS;
    }

    /// Returns the slot seconds that are offered a second.
    pub(crate) fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.rate
    }

    /// Returns the slots that new arrivals leave to those who come back.
    ///
    /// Those who were refused return into a burst that is still on; if all slots were booked for
    /// them, most would find the slots taken by new arrivals and be refused again.
    pub(crate) fn spare_slots(&mut self, now: Duration, share: f64) -> f64 {
        self.decay(now);
        (share - self.rate).max(share * MIN_RETURN_FRACTION)
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.rate *= (-elapsed / LOAD_DECAY_SECONDS).exp();
    }
}

/// Turns any number of seconds into a duration within bounds.
fn to_duration(value: f64) -> Duration {
    if value.is_nan() {
        return Duration::from_secs_f64(MIN_HINT_SECONDS);
    }
    Duration::from_secs_f64(value.clamp(0.0, MAX_HINT_SECONDS * 2.0))
}
