//! How fast the counts of a service's upstreams change.

use std::time::Duration;

/// Upstreams that are ordered or given up in a second, at most.
const MAX_RATE: f64 = 400.0;

/// The least of them, however large the fleet.
const MIN_RATE: f64 = 100.0;

/// Upstreams that change in a second, times the instances that are told of each: a leader that is told more loses
/// its lease.
const MAX_NOTIFICATIONS_PER_SECOND: f64 = 45_000.0;

/// The least part of what a second allows that is ordered at a time, where more is wanted.
const MIN_STEP_SHARE: f64 = 0.5;

/// Keeps how much may change at once.
#[derive(Debug)]
pub(crate) struct Pace {
    /// What may change in a second.
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
    /// Takes how many instances are told of each change.
    pub(crate) fn set_instances(&mut self, instances: usize) {
        let instances = u32::try_from(instances.max(1)).map_or(f64::MAX, f64::from);
        self.rate = (MAX_NOTIFICATIONS_PER_SECOND / instances).clamp(MIN_RATE, MAX_RATE);
        self.tokens = self.tokens.min(self.rate);
    }

    /// Lets time pass.
    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
    }

    /// Returns how many may change in a time.
    pub(crate) fn within(&self, time: Duration) -> u32 {
        floor(time.as_secs_f64() * self.rate)
    }

    /// Returns how far a count goes now on its way from one number to another.
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
