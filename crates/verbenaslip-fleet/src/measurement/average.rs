//! Average of what was recently measured at one run.

use std::time::Duration;

use crate::measurement::difference::Difference;
use crate::measurement::{Figure, FigureReport, RunKey, rounded};

/// Time after which a measurement counts half in the average rate of streams.
const RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Time in which the rate of streams falls to half if all later measurements are lower.
///
/// An upstream that is busy with prefills, or slower for a moment, yields events more slowly, which
/// says nothing about its speed.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(60);

/// Time after which a measurement counts half in the average wait and the rates.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Number of recent stream events from which their rate is used.
const MIN_PEAK_EVENTS: f64 = 16.0;

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
    rate_updated: Duration,
    /// Highest recent rate of a stream, in events per second.
    peak_rate: f64,
    stream_events: f64,
    stream_ms: f64,
    recent_updated: Duration,
    first_events: f64,
    wait_ms: f64,
    ended: f64,
    failures: f64,
}

impl Average {
    /// Adds what was measured until `now`.
    pub fn add(&mut self, now: Duration, measured: &Difference) {
        let weight = decay(now.saturating_sub(self.recent_updated), RECENT_HALF_LIFE);
        self.first_events = self.first_events * weight + measured.first_events as f64;
        self.wait_ms = self.wait_ms * weight + measured.wait_ms as f64;
        let ended = measured.answers + measured.failures;
        self.ended = self.ended * weight + ended as f64;
        self.failures = self.failures * weight + measured.failures as f64;
        self.recent_updated = now;
        if measured.stream_events > 0 && measured.stream_ms > 0 {
            let age = now.saturating_sub(self.rate_updated);
            let weight = decay(age, RATE_HALF_LIFE);
            self.stream_events = self.stream_events * weight + measured.stream_events as f64;
            self.stream_ms = self.stream_ms * weight + measured.stream_ms as f64;
            let rate = self.stream_events / self.stream_ms * 1_000.0;
            // A few gaps may be short by chance, such as after a pause of the reporting process.
            let rate = if self.stream_events >= MIN_PEAK_EVENTS { rate } else { 0.0 };
            self.peak_rate = rate.max(self.peak_rate * decay(age, PEAK_HALF_LIFE));
            self.rate_updated = now;
        }
    }

    /// Returns the rate of an undelayed stream in events per second, or `None` until it has been
    /// measured.
    pub fn stream_rate(&self) -> Option<f64> {
        (self.peak_rate > 0.0).then_some(self.peak_rate)
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
            stream_rate: self.stream_rate(),
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
        rate: quantise(exact.rate),
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
