//! A token bucket whose rate may change at any time.

use std::time::Duration;

/// Counts what may be taken now and fills up over time.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: f64,
    updated: Duration,
}

impl Bucket {
    /// Starts empty, so that a restart is no way to a new burst.
    pub(crate) fn new(now: Duration) -> Self {
        Self { level: 0.0, updated: now }
    }

    /// Fills up to now at a rate, never above the depth.
    ///
    /// After a freeze the time away fills no more than the depth, so that it is no burst.
    pub(crate) fn refill(&mut self, now: Duration, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed * rate.max(0.0)).min(burst.max(0.0));
    }

    /// Returns the seconds until an amount can be taken; zero when it can be now.
    pub(crate) fn seconds_until(&self, tokens: f64, rate: f64) -> f64 {
        // The sum of many small fillings is a hair less than the whole that they stand for.
        const ROUNDING: f64 = 1e-9;
        if self.level + ROUNDING >= tokens {
            return 0.0;
        }
        if rate <= 0.0 { f64::INFINITY } else { (tokens - self.level) / rate }
    }

    /// Takes an amount; the level may fall below zero when more was used than was foreseen.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }
}
