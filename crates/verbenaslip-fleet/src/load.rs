//! Estimate of how many engines the requests of a service keep busy.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;

/// Tells the leader how much work callers have requested at one entry.
#[data(float)]
pub struct WorkReport {
    /// The service.
    pub service: Arc<str>,
    /// The requested engine time since the entry started, in milliseconds.
    pub total_ms: f64,
}

/// Time constant of the average that follows a rise: short enough that a burst shows within the
/// time that an ordered engine takes to start.
const RISE_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Time constant of the average that follows a fall: waves of callers last tens of seconds, and an
/// engine that is given up too early costs more than it saves.
const FALL_TIME_CONSTANT: Duration = Duration::from_secs(6);

/// Time for which the work must have been observed before there is an estimate.
const MIN_OBSERVATION: Duration = Duration::from_secs(2);

/// Estimates the load that callers cause at all entries together.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    loads: BTreeMap<Arc<str>, ServiceLoad>,
}

/// Holds two averages of the load of one service, as numbers of busy engines.
#[derive(Debug)]
struct ServiceLoad {
    /// The requested engine time since `updated`, in milliseconds.
    pending_ms: f64,
    fast_average: f64,
    slow_average: f64,
    first_report: Duration,
    updated: Duration,
}

impl LoadEstimator {
    /// Adds the engine time, in milliseconds, that was requested since an entry's last report.
    pub fn add(&mut self, now: Duration, service: &Arc<str>, millis: f64) {
        let new_load = || ServiceLoad {
            pending_ms: 0.0,
            fast_average: 0.0,
            slow_average: 0.0,
            first_report: now,
            updated: now,
        };
        self.loads.entry(service.clone()).or_insert_with(new_load).pending_ms += millis.max(0.0);
    }

    /// Updates all averages to the current time.
    pub fn update(&mut self, now: Duration) {
        self.loads.values_mut().for_each(|load| load.update(now));
    }

    /// Returns how many engines would be busy all the time; none until the work was observed for
    /// long enough.
    pub fn busy_engines(&self, now: Duration, service: &str) -> Option<f64> {
        let load = self.loads.get(service)?;
        let is_known = now.saturating_sub(load.first_report) >= MIN_OBSERVATION;
        is_known.then_some(load.fast_average.max(load.slow_average))
    }
}

impl ServiceLoad {
    fn update(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let rate = std::mem::take(&mut self.pending_ms) / 1_000.0 / elapsed;
        let weight = |constant: Duration| {
            // At first, the average covers everything that was observed.
            let age = now.saturating_sub(self.first_report).min(constant).as_secs_f64();
            1.0 - (-elapsed / age.max(elapsed)).exp()
        };
        let (fast_weight, slow_weight) = (weight(RISE_TIME_CONSTANT), weight(FALL_TIME_CONSTANT));
        self.fast_average += (rate - self.fast_average) * fast_weight;
        self.slow_average += (rate - self.slow_average) * slow_weight;
        self.updated = now;
    }
}
