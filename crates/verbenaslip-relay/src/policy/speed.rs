//! The speed of an upstream, learnt from its answers.

use std::time::Duration;

/// Weight of a new sample; the mean follows about the last ten samples.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Assumed prefill speed in tokens per millisecond until it has been measured. It only compares
/// upstreams that are all unmeasured, so its size matters little.
const DEFAULT_TOKENS_PER_MS: f64 = 60.0;

/// Shortest prompt, in tokens, whose prefill time is used to measure the speed.
const MIN_PREFILL_SAMPLE: u64 = 1_500;

/// Assumed time to the first event beyond prefill, in milliseconds, until it has been measured.
pub(crate) const DEFAULT_FIRST_EVENT_MS: f64 = 60.0;

/// Learns the speed of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    tokens_per_ms: f64,
    first_event_ms: f64,
    answer_ms: Option<f64>,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            tokens_per_ms: DEFAULT_TOKENS_PER_MS,
            first_event_ms: DEFAULT_FIRST_EVENT_MS,
            answer_ms: None,
        }
    }
}

impl Speed {
    /// Returns the prefill speed in tokens per millisecond.
    pub(crate) fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns the milliseconds that the prefill of a number of tokens takes.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms
    }

    /// Returns the milliseconds to the first event beyond prefill.
    pub fn first_event_ms(&self) -> f64 {
        self.first_event_ms
    }

    /// Returns the milliseconds that a whole answer takes; `None` before the first measurement.
    pub fn answer_ms(&self) -> Option<f64> {
        self.answer_ms
    }

    /// Records the time that an idle upstream took to the first event of a prompt.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
    pub fn record_first_event(&mut self, tokens: u64, latency: Duration) {
        let latency = latency.as_secs_f64() * 1_000.0;
        if tokens >= MIN_PREFILL_SAMPLE {
            let speed = tokens as f64 / (latency - self.first_event_ms).max(1.0);
            // A prompt that was cached unnoticed would make the engine look many times faster.
            let bounded = speed.clamp(self.tokens_per_ms * 0.5, self.tokens_per_ms * 1.5);
            self.tokens_per_ms += (bounded - self.tokens_per_ms) * SAMPLE_WEIGHT;
        } else {
            let first = (latency - self.prefill_ms(tokens)).clamp(1.0, 1_000.0);
            self.first_event_ms += (first - self.first_event_ms) * SAMPLE_WEIGHT;
        }
    }

    /// Records the time that a whole answer took.
    pub fn record_answer(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64() * 1_000.0;
        let mean = self.answer_ms.unwrap_or(latency);
        self.answer_ms = Some(mean + (latency - mean) * SAMPLE_WEIGHT);
    }
}

/// Learns how much later first events arrive than this entry can predict.
///
/// An entry only knows its own requests. The load from other entries shows only in the entry's own
/// first events, which arrive later than its own requests explain. Without this correction,
/// entries would keep sending requests into queues of which each entry sees only a small part.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    lag_ms: f64,
    updated_at: Duration,
}

/// Half-life of a lag. While requests are refused because of the lag nothing new is learnt, so the
/// lag must fade for the queues to be tried again.
const LAG_HALF_LIFE: Duration = Duration::from_millis(1_200);

/// Time for which a lag holds before it fades: the interval between two samples at an entry that
/// sends little.
const LAG_HOLD: Duration = Duration::from_millis(600);

/// Weight of a new lag sample that follows closely on the last one.
const LAG_SAMPLE_WEIGHT: f64 = 0.15;

impl Lag {
    /// Returns the lag in milliseconds.
    pub fn lag_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at + LAG_HOLD).as_secs_f64();
        self.lag_ms * 0.5_f64.powf(age / LAG_HALF_LIFE.as_secs_f64())
    }

    /// Records by how many milliseconds a first event was later than expected.
    pub fn record_sample(&mut self, now: Duration, excess_ms: f64) {
        let lag = self.lag_at(now);
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        // Rare samples weigh more; otherwise an entry that sends little would never learn.
        let staleness = 1.0 - 0.5_f64.powf(age / LAG_HALF_LIFE.as_secs_f64());
        let weight = LAG_SAMPLE_WEIGHT + (1.0 - LAG_SAMPLE_WEIGHT) * staleness;
        self.lag_ms = lag + (excess_ms.max(0.0) - lag) * weight;
        self.updated_at = now;
    }
}
