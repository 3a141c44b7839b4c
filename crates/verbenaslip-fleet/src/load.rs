//! How many engines the requests of a service would keep busy.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;

/// Tells the leader how much work one entry was asked for.
#[data(float)]
pub struct WorkReport {
    /// The service.
    pub service: Arc<str>,
    /// Milliseconds of an engine's time since the entry started.
    pub total_ms: f64,
}

/// The time constant of the mean that follows a rise: a burst must show within the time that an
/// ordered engine takes to start.
const RISE: Duration = Duration::from_millis(1_500);

/// The time constant of the mean that a fall is judged by: waves of callers last tens of seconds, and
/// an engine that is given up too early costs more than it saves.
const FALL: Duration = Duration::from_secs(6);

/// How long the work must have been watched before it says anything.
const WATCH: Duration = Duration::from_secs(2);

/// Follows the work that all entries are asked for.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    loads: BTreeMap<Arc<str>, Load>,
}

#[derive(Debug)]
struct Load {
    /// Milliseconds of engine time asked for since `at`.
    fresh: f64,
    rising: f64,
    falling: f64,
    since: Duration,
    at: Duration,
}

impl LoadEstimator {
    /// Takes the work that was asked for since the last report of an entry.
    pub fn add(&mut self, now: Duration, service: &Arc<str>, millis: f64) {
        let open = || Load { fresh: 0.0, rising: 0.0, falling: 0.0, since: now, at: now };
        self.loads.entry(service.clone()).or_insert_with(open).fresh += millis.max(0.0);
    }

    /// Lets time pass.
    pub fn update(&mut self, now: Duration) {
        self.loads.values_mut().for_each(|load| load.refresh(now));
    }

    /// Returns how many engines would be busy all the time; none before that is known.
    pub fn busy_engines(&self, now: Duration, service: &str) -> Option<f64> {
        let load = self.loads.get(service)?;
        let known = now.saturating_sub(load.since) >= WATCH;
        known.then_some(load.rising.max(load.falling))
    }
}

impl Load {
    fn refresh(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let rate = std::mem::take(&mut self.fresh) / 1_000.0 / passed;
        let weight = |constant: Duration| {
            // At first the mean is that of all that was seen.
            let age = now.saturating_sub(self.since).min(constant).as_secs_f64();
            1.0 - (-passed / age.max(passed)).exp()
        };
        let (rise, fall) = (weight(RISE), weight(FALL));
        self.rising += (rate - self.rising) * rise;
        self.falling += (rate - self.falling) * fall;
        self.at = now;
    }
}
