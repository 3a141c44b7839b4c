//! Whether all upstreams that run are known.

use std::time::Duration;

/// Tells whether all upstreams that run are known.
///
/// A leader that was elected a moment ago, above all after a restart, learns of the upstreams as they
/// announce themselves. A count ordered by what it has heard of so far would have the others stopped.
#[derive(Debug)]
pub struct Discovery {
    /// The time between two announcements of an upstream.
    period: Duration,
    total: u32,
    last_new: Option<Duration>,
    complete: bool,
}

/// How long no upstream may have appeared, as a multiple of the time between two announcements of one.
const STABLE_PERIODS: f64 = 4.0 / 3.0;

impl Discovery {
    /// Starts without any upstream; each one announces itself once per `period`.
    pub fn new(period: Duration) -> Self {
        Self { period, total: 0, last_new: None, complete: false }
    }

    /// Takes how many there are; returns whether these are all.
    pub fn update(&mut self, now: Duration, total: u32) -> bool {
        if total > self.total || self.last_new.is_none() {
            self.last_new = Some(now);
        }
        self.total = total;
        // Once all were known, a new one has just come and is not one that had been overlooked. Waited for each
        // time, ordered ones that come one by one would keep the next zone's loss from being made up for.
        let stable_time = self.period.mul_f64(STABLE_PERIODS);
        self.complete |= total > 0
            && self.last_new.is_some_and(|last_new| now.saturating_sub(last_new) >= stable_time);
        self.complete
    }
}
