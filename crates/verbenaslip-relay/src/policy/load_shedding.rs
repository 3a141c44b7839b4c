//! Which part of a plain service's requests is refused while the service has more to do than it can.

use std::time::Duration;

/// The part of the objective that an answer may take without anything being refused for it. A service
/// that is nine tenths busy answers in twice the time of the work alone, a fifth of the objective at
/// the services known; beyond that, little more load makes the queue long and most answers late.
const TOLERATED_LATENCY: f64 = 0.4;

/// What late answers take off the admitted share in a second, for each part of the objective beyond the
/// easy one, as a part of the share: a full queue halves it in 2 s.
const DECREASE_PER_SECOND: f64 = 0.6;

/// What is added to the admitted share in a second. In balance with [`CUT`], answers take half of the
/// objective on average at a share of a half.
const INCREASE_PER_SECOND: f64 = 0.03;

/// The most time that one answer stands for.
const MAX_SAMPLE_TIME: Duration = Duration::from_secs(1);

/// The least share that is admitted; some must go through, or nothing would show that the load has gone.
const MIN_SHARE: f64 = 0.1;

/// How long a share holds without an answer: an entry that admits one request in two seconds gets no
/// sooner one.
const SHARE_HOLD: Duration = Duration::from_secs(3);

/// How long it takes after that until half of what is refused is admitted again.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(3);

/// Follows the share of the requests to one service that is admitted.
///
/// It rises by steps and falls by parts, so the shares of entries that know nothing of each other become
/// alike. It follows answers slowly: an entry sees a few of them a second, and one that followed each of
/// them up and down would fill the queue as often as it empties it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmittedShare {
    share: f64,
    updated_at: Duration,
}

impl AdmittedShare {
    /// Starts with everything admitted.
    pub(crate) fn new(now: Duration) -> Self {
        Self { share: 1.0, updated_at: now }
    }

    /// Returns the share that is admitted.
    pub(crate) fn share_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at + SHARE_HOLD).as_secs_f64();
        1.0 - (1.0 - self.share) * 0.5_f64.powf(age / REFUSAL_HALF_LIFE.as_secs_f64())
    }

    /// Takes how long an answer took, as a part of the objective; a request that was turned away for
    /// want of room counts as one that took all of it.
    pub(crate) fn record_latency(&mut self, now: Duration, latency: f64) {
        let excess = (latency - TOLERATED_LATENCY).clamp(0.0, 1.0);
        let share = self.share_at(now);
        // By time, not by answers: an entry that gets a hundred a second would overshoot before the
        // queue that it is one of many to fill can show what has come of it.
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_SAMPLE_TIME).as_secs_f64();
        self.share = (share
            + (INCREASE_PER_SECOND - share * DECREASE_PER_SECOND * excess) * elapsed)
            .clamp(MIN_SHARE, 1.0);
        self.updated_at = now;
    }
}
