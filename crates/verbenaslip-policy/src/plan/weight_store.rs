//! Schedules model loads within the rate of the weight store.

use std::time::Duration;

use verbenaslip_base::data;

/// The fraction of the store's rate that is planned. The rest is for machines that load on their
/// own.
const PLANNED_FRACTION: f64 = 0.9;
/// The maximum backlog of loads, in seconds, at which another load is booked.
const MAX_BACKLOG_SECONDS: f64 = 1.0;

/// Books loads one after the other, so that they never exceed the rate of the store.
#[data(copy, default)]
pub struct WeightStore {
    free_at: Duration,
}

impl WeightStore {
    /// Books a load that takes `seconds` of the store's time, if the backlog allows one now.
    /// Returns whether it was booked.
    pub fn try_book(&mut self, now: Duration, seconds: f64) -> bool {
        if self.backlog_seconds(now) > MAX_BACKLOG_SECONDS {
            return false;
        }
        self.add_load(now, seconds);
        true
    }

    /// Books a load that a starting machine performs on its own.
    pub fn add_load(&mut self, now: Duration, seconds: f64) {
        let duration = Duration::try_from_secs_f64(seconds / PLANNED_FRACTION).unwrap_or_default();
        self.free_at = self.free_at.max(now).saturating_add(duration);
    }

    /// Returns the seconds until all booked loads are finished.
    pub fn backlog_seconds(&self, now: Duration) -> f64 {
        self.free_at.saturating_sub(now).as_secs_f64()
    }
}
