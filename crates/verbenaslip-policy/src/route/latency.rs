//! How fast an upstream was, beside what was expected of it.

use std::time::Duration;

use verbenaslip_base::data;

use crate::estimate::Mean;

/// The part of a new sample in the means.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The range in which one sample may move a mean, as a ratio to what was expected.
const RATIO_RANGE: (f64, f64) = (0.2, 10.0);

/// Keeps means of an upstream's first-token and inter-token times and of its slowness.
#[data(copy, float)]
pub struct Latency {
    first_token: Mean,
    inter_token: Mean,
    slowness: Mean,
    samples: u32,
}

impl Default for Latency {
    fn default() -> Self {
        let (first_token, inter_token) =
            (Mean::new(0.0, SAMPLE_WEIGHT), Mean::new(0.0, SAMPLE_WEIGHT));
        Self { first_token, inter_token, slowness: Mean::new(1.0, SAMPLE_WEIGHT), samples: 0 }
    }
}

impl Latency {
    /// Learns from a first token.
    pub fn record_first_token(&mut self, took: Duration, expected: f64) {
        let first = took.as_secs_f64();
        self.first_token.add(if self.samples == 0 { first / SAMPLE_WEIGHT } else { first });
        self.record_ratio(first, expected);
    }

    /// Learns from the time between tokens.
    pub fn record_inter_token(&mut self, seconds: f64, expected: f64) {
        self.inter_token.add(seconds);
        self.record_ratio(seconds, expected);
    }

    /// Returns the mean seconds to the first token.
    pub fn first_token(&self) -> f64 {
        self.first_token.value()
    }

    /// Returns the mean seconds between tokens.
    pub fn inter_token(&self) -> f64 {
        self.inter_token.value()
    }

    /// Returns how many times slower than expected it was; 1 when it was as expected.
    pub fn slowness(&self) -> f64 {
        self.slowness.value()
    }

    /// Returns how many comparisons the slowness stands on.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    fn record_ratio(&mut self, measured: f64, expected: f64) {
        // Below this the clock's steps and the network weigh more than the engine.
        const MIN_SECONDS: f64 = 0.001;
        self.samples = self.samples.saturating_add(1);
        let ratio = (measured + MIN_SECONDS) / (expected + MIN_SECONDS);
        self.slowness.add(ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1));
    }
}
