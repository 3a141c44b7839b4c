//! Records what became of requests, and what this entry has measured at their upstreams.

use std::time::Duration;

use verbenaslip_fleet::measurement::Totals;

use crate::policy::placement::{Choice, FULL_QUEUE_LATENCY, Placement, Query};
use crate::policy::speed::{DEFAULT_FIRST_EVENT_MS, QueueFactor, SpeedSample};
use crate::policy::upstream_state::Ending;

/// Weight of a new sample in the mean of the tokens of a prompt.
const TOKENS_WEIGHT: f64 = 0.05;

/// What this entry has learnt of the requests to one service where measurements are shared.
#[derive(Debug, Default)]
pub(super) struct ServiceLearning {
    /// Mean of the uncached tokens of a prompt.
    pub(super) mean_tokens: f64,
    /// Waits relative to the mean, by priority.
    pub(super) queue_factors: std::collections::BTreeMap<u8, QueueFactor>,
}

impl Placement {
    /// Records the first event of an answer; `latency` is the time since the request was sent.
    pub fn record_first_event(&mut self, now: Duration, choice: &Choice, latency: Duration) {
        if let Some(objective) = choice.plain_objective {
            let part = latency.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
            self.admitted_share(now, &choice.service_rank.0).record_latency(now, part);
        } else if choice.figures.is_none() {
            let lag = self.lags.entry(choice.service_rank.clone()).or_default();
            lag.record_sample(now, latency.as_secs_f64() * 1_000.0 - choice.expected_ms);
        }
        self.measure_first_event(now, choice, latency);
        let Some(state) = self.state_mut(choice) else { return };
        state.pending_prefill = state.pending_prefill.saturating_sub(choice.uncached_tokens);
        if choice.idle {
            state.speed.record_first_event(choice.uncached_tokens, latency);
        }
    }

    /// Records the end of a request at an upstream; `duration` is its length if its first event
    /// had arrived.
    pub fn record_end(
        &mut self,
        now: Duration,
        choice: &Choice,
        ending: Ending,
        duration: Option<Duration>,
    ) {
        // An upstream that refuses everything says nothing about the others.
        let refuses_all = self.state_mut(choice).is_some_and(|state| state.is_refusing());
        if ending == Ending::Full && choice.plain_objective.is_some() && !refuses_all {
            self.admitted_share(now, &choice.service_rank.0)
                .record_latency(now, FULL_QUEUE_LATENCY);
        }
        let Some(state) = self.state_mut(choice) else { return };
        if duration.is_none() {
            state.pending_prefill = state.pending_prefill.saturating_sub(choice.uncached_tokens);
        }
        state.record_end(now, ending, duration);
        if choice.plain_objective.is_none() {
            state.measured.record_end(ending);
        }
    }

    /// Records a request that is sent.
    pub(super) fn record_sent(&mut self, now: Duration, choice: &Choice, query: &Query<'_>) {
        let at = self.moment(now);
        self.restrictions.record_sent(at, &choice.run);
        if choice.figures.is_some() {
            let learning = self.learning.entry(choice.service_rank.0.clone()).or_default();
            let tokens = as_f64(choice.uncached_tokens);
            learning.mean_tokens = match learning.mean_tokens {
                0.0 => tokens,
                mean => mean + (tokens - mean) * TOKENS_WEIGHT,
            };
        }
        let Some(state) = self.state_mut(choice) else { return };
        state.active_requests += 1;
        state.pending_prefill += choice.uncached_tokens;
        state.cache.record_sent(now, query.parts);
    }

    /// Returns this entry's totals at the run that a request was sent to; `None` unless the fleet
    /// shares its measurements.
    pub fn measurement(&self, choice: &Choice) -> Option<Totals> {
        let state = self.states.get(&choice.run.upstream)?;
        let shared = choice.plain_objective.is_none()
            && *state.run() == choice.run
            && self.shares_measurements(state.record.announcement.slots);
        shared
            .then(|| state.measured.totals(state.key, state.pending_prefill, state.active_requests))
    }

    /// Adds a first event to what is measured for the fleet.
    fn measure_first_event(&mut self, now: Duration, choice: &Choice, latency: Duration) {
        let sharing = (self.sharing, self.entry_count);
        let Some(state) = self.state_mut(choice) else { return };
        if choice.plain_objective.is_some()
            || !sharing.0.includes(state.record.announcement.slots, sharing.1)
        {
            return;
        }
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let (tokens, used) = (choice.uncached_tokens, choice.figures.as_deref());
        let sample = match used {
            // Whether the shared prefix was cached is not known.
            Some(used) if used.guessed_cached => None,
            Some(used) => {
                let queue_tokens = used.queue_ms * used.tokens_per_ms;
                let known = state.learnt_speed(now);
                SpeedSample::new(tokens, queue_tokens, latency_ms - used.base_ms, known)
            }
            None if choice.idle => {
                SpeedSample::new(tokens, 0.0, latency_ms - DEFAULT_FIRST_EVENT_MS, None)
            }
            None => None,
        };
        if let Some(sample) = sample {
            state.samples.record(now, sample);
        }
        let wait_ms = latency_ms - choice.prefill_ms;
        state.measured.record_first_event(wait_ms, sample);
        if let Some(used) = used {
            let learning = self.learning.entry(choice.service_rank.0.clone()).or_default();
            let factor = learning.queue_factors.entry(choice.service_rank.1).or_default();
            factor.record(now, used.queue_ms, (wait_ms - used.base_ms).max(0.0));
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
