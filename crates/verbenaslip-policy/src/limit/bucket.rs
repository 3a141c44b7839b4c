//! Implements a token bucket whose rate may change at any time.

use std::time::Duration;

/// Counts the available tokens and refills over time.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: f64,
    updated: Duration,
}

impl Bucket {
    /// Creates an empty bucket, so that a restart allows no new burst.
    pub(crate) fn new(now: Duration) -> Self {
        Self { level: 0.0, updated: now }
    }

    /// Refills the bucket with `rate` tokens per second up to now, limited to `burst`.
    ///
    /// After a process pause the refill is also limited to `burst`, so the pause causes no larger
    /// burst.
    pub(crate) fn refill(&mut self, now: Duration, rate: f64, burst: f64) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed * rate.max(0.0)).min(burst.max(0.0));
    }

    /// Returns the seconds until `tokens` are available; zero if they are available now.
    pub(crate) fn seconds_until(&self, tokens: f64, rate: f64) -> f64 {
        // The sum of many small refills can be slightly less than the exact value.
        const ROUNDING: f64 = 1e-9;
        if self.level + ROUNDING >= tokens {
            return 0.0;
        }
        if rate <= 0.0 { f64::INFINITY } else { (tokens - self.level) / rate }
    }

    /// Removes tokens. The level may become negative when more was used than estimated.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }
}
