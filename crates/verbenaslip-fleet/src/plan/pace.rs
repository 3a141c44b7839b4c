//! Limit on how fast the number of a service's upstreams changes.

use std::time::Duration;

/// Maximum number of upstreams that are ordered or given up per second.
const MAX_RATE: f64 = 400.0;

/// Smallest value of that limit, however large the fleet.
const MIN_RATE: f64 = 100.0;

/// Number of upstreams that may change per second, multiplied by the instances that learn of each:
/// a leader that sends more loses its lease.
const MAX_NOTIFICATIONS_PER_SECOND: f64 = 45_000.0;

/// Smallest share of a second's changes that is ordered at a time while more is wanted.
const MIN_STEP_SHARE: f64 = 0.5;

/// Limits how many upstreams may change, as a token bucket.
#[derive(Debug)]
pub(crate) struct Pace {
    /// The number of upstreams that may change per second.
    rate: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { rate: MAX_RATE, tokens: MAX_RATE, refilled_at: Duration::ZERO }
    }
}

impl Pace {
    /// Sets the number of instances that learn of each change.
    pub(crate) fn set_instances(&mut self, instances: usize) {
        let instances = u32::try_from(instances.max(1)).map_or(f64::MAX, f64::from);
        self.rate = (MAX_NOTIFICATIONS_PER_SECOND / instances).clamp(MIN_RATE, MAX_RATE);
        self.tokens = self.tokens.min(self.rate);
    }

    /// Adds the tokens for the time since the last call.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
    }

    /// Returns how many upstreams may change within a time.
    pub(crate) fn within(&self, time: Duration) -> u32 {
        floor(time.as_secs_f64() * self.rate)
    }

    /// Returns how far a count moves now from one number towards another, and takes the tokens for
    /// it.
    pub(crate) fn step(&mut self, from: u32, to: u32) -> u32 {
        let distance = from.abs_diff(to);
        let step_size = if f64::from(distance) <= self.tokens {
            distance
        } else if self.tokens < self.rate * MIN_STEP_SHARE {
            return from;
        } else {
            floor(self.tokens)
        };
        self.tokens -= f64::from(step_size);
        if to > from { from + step_size } else { from - step_size }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small and not negative.
fn floor(value: f64) -> u32 {
    value as u32
}
