//! Measures the latency of an upstream relative to the prediction.

use std::time::Duration;

use verbenaslip_base::data;

use crate::estimate::Mean;

/// The weight of a new sample in the means.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The range to which the ratio of one sample to its prediction is limited.
const RATIO_RANGE: (f64, f64) = (0.2, 10.0);

/// Holds the mean time to first token, inter-token latency and slowness of an upstream.
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
    /// Records the time to first token and its prediction in seconds.
    pub fn record_first_token(&mut self, took: Duration, expected: f64) {
        let first = took.as_secs_f64();
        self.first_token.add(if self.samples == 0 { first / SAMPLE_WEIGHT } else { first });
        self.record_ratio(first, expected);
    }

    /// Records an inter-token latency and its prediction in seconds.
    pub fn record_inter_token(&mut self, seconds: f64, expected: f64) {
        self.inter_token.add(seconds);
        self.record_ratio(seconds, expected);
    }

    /// Returns the mean time to first token in seconds.
    pub fn first_token(&self) -> f64 {
        self.first_token.value()
    }

    /// Returns the mean inter-token latency in seconds.
    pub fn inter_token(&self) -> f64 {
        self.inter_token.value()
    }

    /// Returns the mean ratio of measured to predicted latency; 1 if the upstream is as fast as
    /// predicted.
    pub fn slowness(&self) -> f64 {
        self.slowness.value()
    }

    /// Returns the number of samples in the slowness.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    fn record_ratio(&mut self, measured: f64, expected: f64) {
        // Below this value, clock resolution and the network have more influence than the engine.
        const MIN_SECONDS: f64 = 0.001;
        self.samples = self.samples.saturating_add(1);
        let ratio = (measured + MIN_SECONDS) / (expected + MIN_SECONDS);
        self.slowness.add(ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1));
    }
}
