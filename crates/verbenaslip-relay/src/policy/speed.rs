//! How fast an upstream is, learnt from its answers.

use std::time::Duration;

/// The weight of a new sample: the mean follows about the last ten.
const WEIGHT: f64 = 0.1;

/// Tokens of a prompt that an engine reads in a millisecond, until it was measured. Only used to
/// compare upstreams that are all unmeasured, so its size matters little.
const READING: f64 = 60.0;

/// The shortest prompt, in tokens, whose reading says something of the speed.
const LONG: u64 = 1_500;

/// The time of an answer's first event that is not reading, until it was measured.
const FIRST: f64 = 60.0;

/// Learns one upstream's speed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    reading: f64,
    first: f64,
    lasting: Option<f64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self { reading: READING, first: FIRST, lasting: None }
    }
}

impl Pace {
    /// Returns the milliseconds in which a number of tokens is read.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
    pub fn reading(&self, tokens: u64) -> f64 {
        tokens as f64 / self.reading
    }

    /// Returns the milliseconds to the first event beyond reading.
    pub fn first(&self) -> f64 {
        self.first
    }

    /// Returns the milliseconds that a whole answer lasts; none before any was measured.
    pub fn lasting(&self) -> Option<f64> {
        self.lasting
    }

    /// Takes how long an idle upstream took to the first event of a prompt.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
    pub fn learn_first(&mut self, tokens: u64, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        if tokens >= LONG {
            let speed = tokens as f64 / (took - self.first).max(1.0);
            // A prompt that was cached unnoticed would make the engine look many times faster.
            let bounded = speed.clamp(self.reading * 0.5, self.reading * 1.5);
            self.reading += (bounded - self.reading) * WEIGHT;
        } else {
            let first = (took - self.reading(tokens)).clamp(1.0, 1_000.0);
            self.first += (first - self.first) * WEIGHT;
        }
    }

    /// Takes how long a whole answer lasted.
    pub fn learn_lasting(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        let mean = self.lasting.unwrap_or(took);
        self.lasting = Some(mean + (took - mean) * WEIGHT);
    }
}

/// Learns how much later first events come than this entry can foresee.
///
/// An entry knows what it has under way itself. What the others have shows in its own first events
/// only: under load they come later than what is known here explains. Without this, entries go on to
/// send requests into queues that each of them sees a small part of.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    millis: f64,
    at: Duration,
}

/// How long it takes until a lag counts half: when requests are refused because of it, nothing new
/// is learnt, and it must be tried again whether the queues have gone.
const FADE: Duration = Duration::from_millis(1_200);

/// How long a lag holds before it fades: the time between two samples at an entry that sends little.
const HOLD: Duration = Duration::from_millis(600);

/// The weight of a new sample of a lag that comes close after the last one.
const SAMPLE: f64 = 0.15;

impl Lag {
    /// Returns the lag in milliseconds.
    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at + HOLD).as_secs_f64();
        self.millis * 0.5_f64.powf(age / FADE.as_secs_f64())
    }

    /// Takes by how much later than expected a first event came.
    pub fn learn(&mut self, now: Duration, over: f64) {
        let lag = self.at(now);
        let age = now.saturating_sub(self.at).as_secs_f64();
        // Samples that come seldom weigh more, or an entry that sends little would never learn.
        let old = 1.0 - 0.5_f64.powf(age / FADE.as_secs_f64());
        let weight = SAMPLE + (1.0 - SAMPLE) * old;
        self.millis = lag + (over.max(0.0) - lag) * weight;
        self.at = now;
    }
}
