//! Estimates from measurements how long an engine takes for a request.

use std::time::Duration;

use verbenaslip_base::data;

use crate::estimate::{LinearFit, Mean};

/// Prefill seconds per prompt token before the first measurement.
const DEFAULT_PREFILL_SECONDS: f64 = 1.0 / 4000.0;
/// Seconds between tokens with an empty batch before the first measurement.
const DEFAULT_INTER_TOKEN_SECONDS: f64 = 0.020;
/// Seconds that each running request adds to the time between tokens before the first measurement.
const DEFAULT_BATCH_SECONDS: f64 = 0.0015;

/// Seconds that a run holds its slot before the first measurement.
const DEFAULT_HOLD_SECONDS: f64 = 4.0;

/// Predicts the prefill and decode times of an engine with continuous batching.
///
/// The time between tokens grows with the batch size, so it is fitted as a line over the number of
/// running requests.
#[data(copy, float)]
pub struct ServiceTimes {
    prefill_fit: LinearFit,
    inter_token_fit: LinearFit,
    length_ratio: Mean,
    mean_hold: Mean,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            prefill_fit: LinearFit::new(0.0, DEFAULT_PREFILL_SECONDS, 8000.0),
            inter_token_fit: LinearFit::new(
                DEFAULT_INTER_TOKEN_SECONDS,
                DEFAULT_BATCH_SECONDS,
                16.0,
            ),
            length_ratio: Mean::new(0.6, 0.05),
            mean_hold: Mean::new(DEFAULT_HOLD_SECONDS, 0.05),
        }
    }
}

impl ServiceTimes {
    /// Records a first token: the number of prompt tokens computed and the time taken.
    pub fn record_prefill(&mut self, computed_tokens: u32, took: Duration) {
        self.prefill_fit.add(f64::from(computed_tokens), took.as_secs_f64());
    }

    /// Records a decoded answer: the average number of running requests and the seconds between
    /// tokens.
    pub fn record_decode(&mut self, running: f64, seconds_per_token: f64) {
        self.inter_token_fit.add(running, seconds_per_token);
    }

    /// Records the length of an answer relative to its maximum length.
    pub fn record_length(&mut self, tokens: u32, max_tokens: u32) {
        if max_tokens > 0 {
            self.length_ratio.add(f64::from(tokens) / f64::from(max_tokens));
        }
    }

    /// Records how long a run held its slot.
    pub fn record_hold(&mut self, held: Duration) {
        self.mean_hold.add(held.as_secs_f64());
    }

    /// Returns the mean seconds that a run holds its slot.
    pub fn hold_seconds(&self) -> f64 {
        self.mean_hold.value().max(0.0)
    }

    /// Returns the expected seconds for computing `computed_tokens` prompt tokens.
    pub fn prefill_seconds(&self, computed_tokens: u32) -> f64 {
        self.prefill_fit.value_at(f64::from(computed_tokens))
    }

    /// Returns the expected seconds between tokens when `running` requests run.
    pub fn inter_token_seconds(&self, running: f64) -> f64 {
        self.inter_token_fit.value_at(running)
    }

    /// Returns the expected number of tokens of an answer that may have up to `max_tokens`.
    pub fn expected_tokens(&self, max_tokens: u32) -> f64 {
        f64::from(max_tokens) * self.length_ratio.value().clamp(0.02, 1.0)
    }

    /// Returns the expected seconds from dispatch to the complete answer when `running` requests
    /// run.
    pub fn total_seconds(&self, computed_tokens: u32, max_tokens: u32, running: f64) -> f64 {
        self.prefill_seconds(computed_tokens)
            + self.expected_tokens(max_tokens) * self.inter_token_seconds(running)
    }
}
