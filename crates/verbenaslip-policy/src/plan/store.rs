//! The weight store's rate, and which loads it allows now.

use std::time::Duration;

use verbenaslip_base::data;

/// The part of the store's rate that is planned for; the rest is for machines that load by themselves.
const PART: f64 = 0.9;
/// Seconds of loads that may be under way at once.
const AHEAD: f64 = 1.0;

/// Books loads one after the other, so that they never ask the store for more than its rate.
#[data(copy, default)]
pub struct Store {
    free: Duration,
}

impl Store {
    /// Books a load of so many seconds, if the store has time for one now.
    pub fn book(&mut self, now: Duration, seconds: f64) -> bool {
        if self.backlog(now) > AHEAD {
            return false;
        }
        self.add(now, seconds);
        true
    }

    /// Counts a load that a starting machine will do by itself.
    pub fn add(&mut self, now: Duration, seconds: f64) {
        let took = Duration::try_from_secs_f64(seconds / PART).unwrap_or_default();
        self.free = self.free.max(now).saturating_add(took);
    }

    /// Returns the seconds until loads booked so far are done.
    pub fn backlog(&self, now: Duration) -> f64 {
        self.free.saturating_sub(now).as_secs_f64()
    }
}
