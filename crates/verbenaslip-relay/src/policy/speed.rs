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
    /// Returns the speed in tokens per millisecond.
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

/// Half-life of an entry's own speed samples, and of the fleet's figure when the two are weighted.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(4);

/// Bounds of a speed sample relative to the speed known so far: a prompt that was cached unnoticed
/// makes the engine look many times faster, and a queue that nobody has reported yet many times
/// slower.
const SAMPLE_BOUNDS: (f64, f64) = (0.3, 2.0);

/// Sums an entry's own speed samples of one upstream; they fade with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedSamples {
    tokens: f64,
    millis: f64,
    count: f64,
    updated_at: Duration,
}

/// Describes a prefill whose time shows the speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// Tokens that the upstream read, including those of the queue before the prompt.
    pub tokens: f64,
    /// Milliseconds that this took.
    pub millis: f64,
}

impl SpeedSample {
    /// Returns the sample of a prompt that met `queue_tokens` before it, or `None` if its time says
    /// little about the speed.
    ///
    /// An upstream that 80 entries use is rarely idle. Counting the tokens of a short queue instead
    /// of waiting for an idle upstream keeps the mean unbiased, because a queue known half a second
    /// late is too long as often as it is too short.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
    pub fn new(tokens: u64, queue_tokens: f64, millis: f64, known: Option<f64>) -> Option<Self> {
        if tokens < MIN_PREFILL_SAMPLE || queue_tokens > tokens as f64 {
            return None;
        }
        let tokens = tokens as f64 + queue_tokens;
        let millis = millis.max(1.0);
        let bounds =
            known.map_or((1.0, 10_000.0), |it| (it * SAMPLE_BOUNDS.0, it * SAMPLE_BOUNDS.1));
        Some(Self { tokens, millis: millis.clamp(tokens / bounds.1, tokens / bounds.0) })
    }
}

impl SpeedSamples {
    /// Adds a sample.
    pub fn record(&mut self, now: Duration, sample: SpeedSample) {
        let kept = self.remaining_at(now);
        self.tokens = self.tokens * kept + sample.tokens;
        self.millis = self.millis * kept + sample.millis;
        self.count = self.count * kept + 1.0;
        self.updated_at = now;
    }

    /// Returns the speed in tokens per millisecond from these samples and from the fleet's figure,
    /// which is a mean of `fleet_count` samples; `None` if neither is known.
    pub fn tokens_per_ms(
        &self,
        now: Duration,
        fleet: Option<f64>,
        fleet_count: f64,
        fleet_age: Duration,
    ) -> Option<f64> {
        let own = (self.count > 0.0).then(|| self.tokens / self.millis);
        let (Some(own), Some(fleet)) = (own, fleet) else { return own.or(fleet) };
        let own_weight = self.count * self.remaining_at(now);
        let fleet_weight = fleet_count.max(1.0) * remaining(fleet_age, SPEED_HALF_LIFE);
        Some((own * own_weight + fleet * fleet_weight) / (own_weight + fleet_weight))
    }

    fn remaining_at(&self, now: Duration) -> f64 {
        remaining(now.saturating_sub(self.updated_at), SPEED_HALF_LIFE)
    }
}

/// Returns the part of a value that is left at an age.
pub(crate) fn remaining(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Half-life of the sums of a [`QueueFactor`].
const FACTOR_HALF_LIFE: Duration = Duration::from_secs(3);

/// Wait in milliseconds that a [`QueueFactor`] assumes to have been as expected, so that few and
/// short waits do not move it.
const FACTOR_PRIOR_MS: f64 = 200.0;

/// Bounds of a [`QueueFactor`].
const FACTOR_BOUNDS: (f64, f64) = (0.1, 3.0);

/// Learns how long the requests of one priority wait relative to the mean wait at an upstream.
///
/// Engines serve urgent requests first. The fleet's figures are means over all priorities, by which
/// urgent requests would be refused that an engine would serve in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueFactor {
    expected_ms: f64,
    waited_ms: f64,
    updated_at: Duration,
}

impl QueueFactor {
    /// Returns the factor.
    pub fn factor_at(&self, now: Duration) -> f64 {
        let kept = remaining(now.saturating_sub(self.updated_at), FACTOR_HALF_LIFE);
        let factor =
            (self.waited_ms * kept + FACTOR_PRIOR_MS) / (self.expected_ms * kept + FACTOR_PRIOR_MS);
        factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// Records a wait, and the wait that the figures let expect.
    pub fn record(&mut self, now: Duration, expected_ms: f64, waited_ms: f64) {
        let kept = remaining(now.saturating_sub(self.updated_at), FACTOR_HALF_LIFE);
        self.expected_ms = self.expected_ms * kept + expected_ms;
        self.waited_ms = self.waited_ms * kept + waited_ms;
        self.updated_at = now;
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
