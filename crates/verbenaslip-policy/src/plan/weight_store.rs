//! The weight store's rate, and which loads it allows now.

use std::time::Duration;

use verbenaslip_base::data;

/// The part of the store's rate that is planned for; the rest is for machines that load by themselves.
const PLANNED_FRACTION: f64 = 0.9;
/// Seconds of loads that may be under way at once.
const MAX_BACKLOG_SECONDS: f64 = 1.0;

/// Books loads one after the other, so that they never ask the store for more than its rate.
#[data(copy, default)]
pub struct WeightStore {
    free_at: Duration,
}

impl WeightStore {
    /// Books a load of so many seconds, if the store has time for one now.
    pub fn try_book(&mut self, now: Duration, seconds: f64) -> bool {
        if self.backlog_seconds(now) > MAX_BACKLOG_SECONDS {
            return false;
        }
        self.add_load(now, seconds);
        true
    }

    /// Counts a load that a starting machine will do by itself.
    pub fn add_load(&mut self, now: Duration, seconds: f64) {
        let duration = Duration::try_from_secs_f64(seconds / PLANNED_FRACTION).unwrap_or_default();
        self.free_at = self.free_at.max(now).saturating_add(duration);
    }

    /// Returns the seconds until loads booked so far are done.
    pub fn backlog_seconds(&self, now: Duration) -> f64 {
        self.free_at.saturating_sub(now).as_secs_f64()
    }
}
