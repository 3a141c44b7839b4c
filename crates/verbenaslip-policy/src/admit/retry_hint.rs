//! Tells refused callers when to come back.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The shortest retry hint.
const MIN_HINT_SECONDS: f64 = 0.5;
/// The longest retry hint, before jitter.
const MAX_HINT_SECONDS: f64 = 600.0;
/// The maximum fraction by which a hint is randomly extended.
const HINT_JITTER: f64 = 0.25;

/// Time constant with which the offered load decays.
const LOAD_DECAY_SECONDS: f64 = 10.0;
/// The minimum fraction of the slots that is booked for returning callers.
const MIN_RETURN_FRACTION: f64 = 0.5;

/// Books future capacity for refused callers, so that each of them finds a free slot when it
/// returns.
///
/// With a fixed hint all refused callers would return at the same time, and most would be refused
/// again. Instead, each refusal books the time for its own work, and the next refused caller is
/// told to return after that.
#[derive(Debug, Default)]
pub struct RetryHints {
    booked_until: Duration,
}

impl RetryHints {
    /// Returns how long the caller should wait before it retries.
    ///
    /// `wait_seconds` is the time until the current backlog leaves room, `slot_seconds` the work of
    /// the refused request, and `slots` the number of slots that serve returning callers of this
    /// instance.
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

/// Tracks the offered load, in slot seconds per second.
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

    /// Returns the offered load in slot seconds per second.
    pub(crate) fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.rate
    }

    /// Returns the slots that new arrivals leave for returning callers.
    ///
    /// Refused callers return while the burst still lasts. If all slots were booked for them, most
    /// would find the slots taken by new arrivals and be refused again.
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

/// Converts seconds to a duration. NaN becomes the shortest hint, and values are limited to twice
/// the longest hint.
fn to_duration(value: f64) -> Duration {
    if value.is_nan() {
        return Duration::from_secs_f64(MIN_HINT_SECONDS);
    }
    Duration::from_secs_f64(value.clamp(0.0, MAX_HINT_SECONDS * 2.0))
}
