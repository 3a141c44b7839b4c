//! How fast an upstream was, beside what was expected of it.

use std::time::Duration;

use verbenaslip_base::data;

use crate::estimate::Mean;

/// The part of a new sample in the means.
const GAIN: f64 = 0.15;
/// The range in which one sample may move a mean, as a ratio to what was expected.
const RANGE: (f64, f64) = (0.2, 10.0);

/// Keeps means of an upstream's first-token and inter-token times and of its slowness.
#[data(copy, float)]
pub struct Latency {
    first: Mean,
    interval: Mean,
    slowness: Mean,
    samples: u32,
}

impl Default for Latency {
    fn default() -> Self {
        let (first, interval) = (Mean::new(0.0, GAIN), Mean::new(0.0, GAIN));
        Self { first, interval, slowness: Mean::new(1.0, GAIN), samples: 0 }
    }
}

impl Latency {
    /// Learns from a first token.
    pub fn first(&mut self, took: Duration, expected: f64) {
        let first = took.as_secs_f64();
        self.first.add(if self.samples == 0 { first / GAIN } else { first });
        self.compare(first, expected);
    }

    /// Learns from the time between tokens.
    pub fn interval(&mut self, seconds: f64, expected: f64) {
        self.interval.add(seconds);
        self.compare(seconds, expected);
    }

    /// Returns the mean seconds to the first token.
    pub fn first_token(&self) -> f64 {
        self.first.get()
    }

    /// Returns the mean seconds between tokens.
    pub fn inter_token(&self) -> f64 {
        self.interval.get()
    }

    /// Returns how many times slower than expected it was; 1 when it was as expected.
    pub fn slowness(&self) -> f64 {
        self.slowness.get()
    }

    /// Returns how many comparisons the slowness stands on.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    fn compare(&mut self, seen: f64, expected: f64) {
        // Below this the clock's steps and the network weigh more than the engine.
        const LEAST: f64 = 0.001;
        self.samples = self.samples.saturating_add(1);
        let ratio = (seen + LEAST) / (expected + LEAST);
        self.slowness.add(ratio.clamp(RANGE.0, RANGE.1));
    }
}
