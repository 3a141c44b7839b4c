//! Average of what was recently measured at one run.

use std::time::Duration;

use crate::measurement::difference::Difference;
use crate::measurement::{Figure, FigureReport, RunKey, rounded};

/// Time after which a measurement counts half in the average speed.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(4);

/// Time after which a measurement counts half in the average wait and the rates.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Number of recent events below which the average wait and the failure rate fall towards zero. An
/// upstream that gets no requests because of its last figure would otherwise keep that figure.
const MIN_EVENTS: f64 = 0.5;

/// Ratio of two neighboring values of a quantised figure.
const QUANTUM: f64 = 1.1;

/// Values up to this one are not quantised, since rounding to whole numbers is coarser.
const MAX_EXACT: u32 = 10;

/// Averages measurements so that recent ones count more.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    speed_updated: Duration,
    prefill_tokens: f64,
    prefill_ms: f64,
    recent_updated: Duration,
    first_events: f64,
    wait_ms: f64,
    ended: f64,
    failures: f64,
}

impl Average {
    /// Adds what was measured until `now`.
    pub fn add(&mut self, now: Duration, measured: &Difference) {
        if measured.prefill_tokens > 0 && measured.prefill_ms > 0 {
            let weight = decay(now.saturating_sub(self.speed_updated), SPEED_HALF_LIFE);
            self.prefill_tokens = self.prefill_tokens * weight + measured.prefill_tokens as f64;
            self.prefill_ms = self.prefill_ms * weight + measured.prefill_ms as f64;
            self.speed_updated = now;
        }
        let weight = decay(now.saturating_sub(self.recent_updated), RECENT_HALF_LIFE);
        self.first_events = self.first_events * weight + measured.first_events as f64;
        self.wait_ms = self.wait_ms * weight + measured.wait_ms as f64;
        let ended = measured.answers + measured.failures;
        self.ended = self.ended * weight + ended as f64;
        self.failures = self.failures * weight + measured.failures as f64;
        self.recent_updated = now;
    }

    /// Returns the prefill speed in tokens per millisecond, or `None` until it has been measured.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        (self.prefill_ms > 0.0).then(|| self.prefill_tokens / self.prefill_ms)
    }

    /// Returns the figure of a run with these averages and gauges.
    pub fn figure(
        &self,
        now: Duration,
        pending_tokens: u64,
        active: u32,
        measured_at: Duration,
    ) -> Figure {
        let weight = decay(now.saturating_sub(self.recent_updated), RECENT_HALF_LIFE);
        Figure {
            tokens_per_ms: self.tokens_per_ms(),
            wait_ms: self.wait_ms * weight / (self.first_events * weight).max(MIN_EVENTS),
            pending_tokens,
            active,
            // The sum of a constant rate converges to the rate times the mean weight's duration.
            events_per_s: self.first_events * weight * std::f64::consts::LN_2
                / RECENT_HALF_LIFE.as_secs_f64(),
            failure_rate: self.failures * weight / (self.ended * weight).max(MIN_EVENTS),
            measured_at,
        }
    }
}

/// Quantises all values of a figure but `active`: small fluctuations would otherwise send every
/// figure with every answer. `active` stays exact, since it tells whether an upstream has free
/// slots.
pub fn quantised(key: RunKey, figure: &Figure) -> Figure {
    let exact = FigureReport::new(key, figure, figure.measured_at);
    let report = FigureReport {
        speed: quantise(exact.speed),
        wait_ms: quantise(exact.wait_ms),
        pending_tokens: quantise(exact.pending_tokens),
        events: quantise(exact.events),
        failures: quantise(exact.failures),
        ..exact
    };
    report.figure(figure.measured_at)
}

/// Rounds a value to a geometric series.
fn quantise(value: u32) -> u32 {
    if value <= MAX_EXACT {
        return value;
    }
    rounded(QUANTUM.powf(f64::from(value).log(QUANTUM).round()))
}

/// Returns the weight of a measurement of this age.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
