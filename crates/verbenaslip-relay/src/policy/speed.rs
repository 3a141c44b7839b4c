//! How fast an upstream is, learnt from its answers.

use std::time::Duration;

/// The weight of a new sample: the mean follows about the last ten.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Tokens of a prompt that an engine reads in a millisecond, until it was measured. Only used to
/// compare upstreams that are all unmeasured, so its size matters little.
const DEFAULT_TOKENS_PER_MS: f64 = 60.0;

/// The shortest prompt, in tokens, whose reading says something of the speed.
const MIN_PREFILL_SAMPLE: u64 = 1_500;

/// The time of an answer's first event that is not reading, until it was measured.
const DEFAULT_FIRST_EVENT_MS: f64 = 60.0;

/// Learns one upstream's speed.
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
    /// Returns the milliseconds in which a number of tokens is read.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms
    }

    /// Returns the milliseconds to the first event beyond reading.
    pub fn first_event_ms(&self) -> f64 {
        self.first_event_ms
    }

    /// Returns the milliseconds that a whole answer lasts; none before any was measured.
    pub fn answer_ms(&self) -> Option<f64> {
        self.answer_ms
    }

    /// Takes how long an idle upstream took to the first event of a prompt.
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

    /// Takes how long a whole answer lasted.
    pub fn record_answer(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64() * 1_000.0;
        let mean = self.answer_ms.unwrap_or(latency);
        self.answer_ms = Some(mean + (latency - mean) * SAMPLE_WEIGHT);
    }
}

/// Learns how much later first events come than this entry can foresee.
///
/// An entry knows what it has under way itself. What the others have shows in its own first events
/// only: under load they come later than what is known here explains. Without this, entries go on to
/// send requests into queues that each of them sees a small part of.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    lag_ms: f64,
    updated_at: Duration,
}

/// How long it takes until a lag counts half: when requests are refused because of it, nothing new
/// is learnt, and it must be tried again whether the queues have gone.
const LAG_HALF_LIFE: Duration = Duration::from_millis(1_200);

/// How long a lag holds before it fades: the time between two samples at an entry that sends little.
const LAG_HOLD: Duration = Duration::from_millis(600);

/// The weight of a new sample of a lag that comes close after the last one.
const LAG_SAMPLE_WEIGHT: f64 = 0.15;

impl Lag {
    /// Returns the lag in milliseconds.
    pub fn lag_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at + LAG_HOLD).as_secs_f64();
        self.lag_ms * 0.5_f64.powf(age / LAG_HALF_LIFE.as_secs_f64())
    }

    /// Takes by how much later than expected a first event came.
    pub fn record_sample(&mut self, now: Duration, excess_ms: f64) {
        let lag = self.lag_at(now);
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        // Samples that come seldom weigh more, or an entry that sends little would never learn.
        let staleness = 1.0 - 0.5_f64.powf(age / LAG_HALF_LIFE.as_secs_f64());
        let weight = LAG_SAMPLE_WEIGHT + (1.0 - LAG_SAMPLE_WEIGHT) * staleness;
        self.lag_ms = lag + (excess_ms.max(0.0) - lag) * weight;
        self.updated_at = now;
    }
}
