//! Live estimates of how long an engine takes for a request.

use std::time::Duration;

use verbenaslip_base::data;

use crate::estimate::{Line, Mean};

/// Seconds for a prompt token before anything was measured.
const PREFILL: f64 = 1.0 / 4000.0;
/// Seconds between tokens with an empty batch before anything was measured.
const INTERVAL: f64 = 0.020;
/// Seconds by which each running request lengthens the time between tokens, likewise.
const CROWDING: f64 = 0.0015;

/// Seconds that a run holds its slot before anything was measured.
const HOLD: f64 = 4.0;

/// Predicts prefill and decode times of a continuously batching engine.
///
/// The time between tokens grows with the batch, so it is kept as a line over the number running.
#[data(copy, float)]
pub struct Service {
    prefill: Line,
    interval: Line,
    length: Mean,
    hold: Mean,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            prefill: Line::new(0.0, PREFILL, 8000.0),
            interval: Line::new(INTERVAL, CROWDING, 16.0),
            length: Mean::new(0.6, 0.05),
            hold: Mean::new(HOLD, 0.05),
        }
    }
}

impl Service {
    /// Learns from a first token: prompt tokens computed and the seconds they took.
    pub fn prefilled(&mut self, computed: u32, took: Duration) {
        self.prefill.add(f64::from(computed), took.as_secs_f64());
    }

    /// Learns from a decoded answer: how many ran beside it and the seconds between tokens.
    pub fn decoded(&mut self, running: f64, interval: f64) {
        self.interval.add(running, interval);
    }

    /// Learns from an answer's length beside the most that it was allowed.
    pub fn length(&mut self, tokens: u32, allowed: u32) {
        if allowed > 0 {
            self.length.add(f64::from(tokens) / f64::from(allowed));
        }
    }

    /// Learns how long a run held its slot.
    pub fn held(&mut self, time: Duration) {
        self.hold.add(time.as_secs_f64());
    }

    /// Returns the mean seconds that a run holds its slot.
    pub fn hold(&self) -> f64 {
        self.hold.get().max(0.0)
    }

    /// Returns the seconds that computing so many prompt tokens takes.
    pub fn prefill(&self, computed: u32) -> f64 {
        self.prefill.at(f64::from(computed))
    }

    /// Returns the seconds between tokens when so many run.
    pub fn interval(&self, running: f64) -> f64 {
        self.interval.at(running)
    }

    /// Returns the expected number of tokens of an answer that may have so many.
    pub fn tokens(&self, allowed: u32) -> f64 {
        f64::from(allowed) * self.length.get().clamp(0.02, 1.0)
    }

    /// Returns the seconds from dispatch to the whole answer beside so many others.
    pub fn whole(&self, computed: u32, allowed: u32, running: f64) -> f64 {
        self.prefill(computed) + self.tokens(allowed) * self.interval(running)
    }
}
