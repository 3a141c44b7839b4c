//! Detection of whether all running upstreams are known.

use std::time::Duration;

/// Detects when all running upstreams are known.
///
/// A newly elected leader, above all after a restart, learns of the upstreams as they announce
/// themselves. If it ordered a number based on those that it knows so far, the others would be
/// stopped.
#[derive(Debug)]
pub struct Discovery {
    /// The time between two announcements of an upstream.
    period: Duration,
    total: u32,
    last_new: Option<Duration>,
    complete: bool,
}

/// Time without a new upstream after which all are known, as a multiple of the announcement period.
const STABLE_PERIODS: f64 = 4.0 / 3.0;

impl Discovery {
    /// Starts without any upstreams; each one announces itself once per `period`.
    pub fn new(period: Duration) -> Self {
        Self { period, total: 0, last_new: None, complete: false }
    }

    /// Records how many upstreams are known; returns whether these are all.
    pub fn update(&mut self, now: Duration, total: u32) -> bool {
        if total > self.total || self.last_new.is_none() {
            self.last_new = Some(now);
        }
        self.total = total;
        // Once all upstreams were known, a new one has just started and was not overlooked. If it
        // were waited for again each time, ordered upstreams that start one by one would delay the
        // replacement of the next lost zone.
        let stable_time = self.period.mul_f64(STABLE_PERIODS);
        self.complete |= total > 0
            && self.last_new.is_some_and(|last_new| now.saturating_sub(last_new) >= stable_time);
        self.complete
    }
}
