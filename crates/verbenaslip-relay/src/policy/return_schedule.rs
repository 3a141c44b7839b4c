//! When callers that are refused for lack of capacity should retry.
//!
//! If every refused caller were told the expected excess, all of them would return at about the
//! same time and be refused again. Instead, each caller takes the next part of the capacity that
//! becomes available at this entry, and is told when that part ends.

use std::collections::BTreeMap;
use std::f64::consts::LN_2;
use std::time::Duration;

/// Longest retry time.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Length of the spans of time whose capacity is promised separately.
const SPAN_MS: f64 = 50.0;

/// Half-life of the measured load of new callers. A burst lasts a second or more.
const LOAD_HALF_LIFE_MS: f64 = 1_000.0;

/// Remaining work that counts as none, in tokens.
const NO_WORK: f64 = 1e-6;

/// Describes a caller that is refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller {
    /// Priority of the request; zero is the most urgent.
    pub rank: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Time by which the request would start too late; the caller must not return sooner.
    pub excess: Duration,
}

/// Remembers what this entry has promised to the refused callers of one service.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    /// Promised tokens by the number of the span since the start of the clock.
    promised: BTreeMap<u64, f64>,
    /// Load of new callers by rank.
    loads: BTreeMap<u8, Load>,
}

/// Measures a load in tokens per millisecond.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Tokens of the prompts.
    prompt_per_ms: f64,
    /// Tokens of the prompts that were not cached, which is the work for the upstreams.
    uncached_per_ms: f64,
    updated_ms: f64,
}

impl ReturnSchedule {
    /// Records a request of a new caller that was sent to an upstream.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
    pub fn record_sent(&mut self, now: Duration, rank: u8, prompt: u64, uncached: u64) {
        let load = self.loads.entry(rank).or_default();
        *load = load.at(millis(now));
        load.prompt_per_ms += prompt as f64 * LN_2 / LOAD_HALF_LIFE_MS;
        load.uncached_per_ms += uncached as f64 * LN_2 / LOAD_HALF_LIFE_MS;
    }

    /// Returns when a refused caller should retry; `share` is this entry's share of the service's
    /// capacity in tokens per millisecond.
    ///
    /// If the capacity until the longest retry time has all been promised, the caller is told that
    /// time and nothing is promised to it.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn retry_after(&mut self, now: Duration, caller: RefusedCaller, share: f64) -> Duration {
        let now_ms = millis(now);
        let first_span = ((now_ms + millis(caller.excess)) / SPAN_MS).ceil() as u64;
        let last_span = ((now_ms + millis(MAX_RETRY_AFTER)) / SPAN_MS).floor() as u64;
        let current_span = (now_ms / SPAN_MS) as u64;
        self.promised = self.promised.split_off(&current_span);
        // Callers that are more urgent go first, whether they return or not.
        let urgent = self.loads.range(..=caller.rank);
        let taken: f64 = urgent.map(|(_, load)| load.at(now_ms).uncached_per_ms).sum();
        let span_capacity = (share - taken).max(0.0) * SPAN_MS;
        let uncached_share = self.loads.get(&caller.rank).map_or(1.0, |load| load.uncached_share());
        let mut work = (caller.prompt_tokens as f64 * uncached_share).max(1.0);
        let mut parts = Vec::new();
        for span in first_span..last_span {
            let promised = self.promised.get(&span).copied().unwrap_or(0.0);
            let part = (span_capacity - promised).clamp(0.0, work);
            if part <= 0.0 {
                continue;
            }
            work -= part;
            parts.push((span, promised + part));
            if work <= NO_WORK {
                let end = (span as f64 + (promised + part) / span_capacity) * SPAN_MS;
                self.promised.extend(parts);
                let retry_after = Duration::from_secs_f64((end - now_ms).max(0.0) / 1_000.0);
                return retry_after.clamp(caller.excess.min(MAX_RETRY_AFTER), MAX_RETRY_AFTER);
            }
        }
        MAX_RETRY_AFTER
    }
}

impl Load {
    /// Returns the load at a later moment.
    fn at(self, now_ms: f64) -> Self {
        let faded = 0.5_f64.powf((now_ms - self.updated_ms).max(0.0) / LOAD_HALF_LIFE_MS);
        Self {
            prompt_per_ms: self.prompt_per_ms * faded,
            uncached_per_ms: self.uncached_per_ms * faded,
            updated_ms: now_ms,
        }
    }

    /// Returns the share of the prompts' tokens that was not cached; one if nothing is known.
    fn uncached_share(&self) -> f64 {
        let share = self.uncached_per_ms / self.prompt_per_ms;
        if share.is_finite() { share.min(1.0) } else { 1.0 }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
