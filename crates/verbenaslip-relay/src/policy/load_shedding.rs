//! Refuses a share of the requests to an overloaded plain service.

use std::time::Duration;

/// Latency, as a fraction of the objective, up to which no request is refused. A service at nine
/// tenths of its capacity answers in twice the time of the work alone, a fifth of the objective at
/// the known services. Beyond that, a little more load makes the queue long and most answers late.
const TOLERATED_LATENCY: f64 = 0.4;

/// Decrease of the admitted share per second for each fraction of the objective beyond the
/// tolerated latency, relative to the share; a full queue halves the share in 2 s.
const DECREASE_PER_SECOND: f64 = 0.6;

/// Increase of the admitted share per second. In balance with [`DECREASE_PER_SECOND`], answers
/// take half of the objective on average at a share of one half.
const INCREASE_PER_SECOND: f64 = 0.03;

/// Limit on the time that one answer represents.
const MAX_SAMPLE_TIME: Duration = Duration::from_secs(1);

/// Lowest admitted share; some requests must go through to show that the load has gone.
const MIN_SHARE: f64 = 0.1;

/// Time for which a share holds without an answer: an entry that admits one request in two seconds
/// gets no answer sooner.
const SHARE_HOLD: Duration = Duration::from_secs(3);

/// Time after that in which half of the refused share is admitted again.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(3);

/// Tracks the admitted share of the requests to one service.
///
/// The share increases additively and decreases multiplicatively, so the shares of independent
/// entries converge. It follows answers slowly: an entry sees a few answers a second, and
/// following each of them would fill the queue as often as it empties it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmittedShare {
    share: f64,
    updated_at: Duration,
}

impl AdmittedShare {
    /// Creates a share that admits everything.
    pub(crate) fn new(now: Duration) -> Self {
        Self { share: 1.0, updated_at: now }
    }

    /// Returns the admitted share, between zero and one.
    pub(crate) fn share_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at + SHARE_HOLD).as_secs_f64();
        1.0 - (1.0 - self.share) * 0.5_f64.powf(age / REFUSAL_HALF_LIFE.as_secs_f64())
    }

    /// Records the latency of an answer as a fraction of the objective; a request that a full
    /// upstream refused counts as one.
    pub(crate) fn record_latency(&mut self, now: Duration, latency: f64) {
        let excess = (latency - TOLERATED_LATENCY).clamp(0.0, 1.0);
        let share = self.share_at(now);
        // The change is proportional to time, not to answers: an entry with a hundred answers a
        // second would overshoot before the shared queue can show the effect.
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_SAMPLE_TIME).as_secs_f64();
        self.share = (share
            + (INCREASE_PER_SECOND - share * DECREASE_PER_SECOND * excess) * elapsed)
            .clamp(MIN_SHARE, 1.0);
        self.updated_at = now;
    }
}
