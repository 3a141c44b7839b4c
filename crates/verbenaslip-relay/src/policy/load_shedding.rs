//! Which part of a plain service's requests is refused while the service has more to do than it can.

use std::time::Duration;

/// The part of the objective that an answer may take without anything being refused for it. A service
/// that is nine tenths busy answers in twice the time of the work alone, a fifth of the objective at
/// the services known; beyond that, little more load makes the queue long and most answers late.
const EASY: f64 = 0.4;

/// What late answers take off the admitted share in a second, for each part of the objective beyond the
/// easy one, as a part of the share: a full queue halves it in 2 s.
const CUT: f64 = 0.6;

/// What is added to the admitted share in a second. In balance with [`CUT`], answers take half of the
/// objective on average at a share of a half.
const RISE: f64 = 0.03;

/// The most time that one answer stands for.
const STEP: Duration = Duration::from_secs(1);

/// The least share that is admitted; some must go through, or nothing would show that the load has gone.
const LEAST: f64 = 0.1;

/// How long a share holds without an answer: an entry that admits one request in two seconds gets no
/// sooner one.
const HOLD: Duration = Duration::from_secs(3);

/// How long it takes after that until half of what is refused is admitted again.
const FADE: Duration = Duration::from_secs(3);

/// Follows the share of the requests to one service that is admitted.
///
/// It rises by steps and falls by parts, so the shares of entries that know nothing of each other become
/// alike. It follows answers slowly: an entry sees a few of them a second, and one that followed each of
/// them up and down would fill the queue as often as it empties it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    share: f64,
    at: Duration,
}

impl Share {
    /// Starts with everything admitted.
    pub(crate) fn open(now: Duration) -> Self {
        Self { share: 1.0, at: now }
    }

    /// Returns the share that is admitted.
    pub(crate) fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at + HOLD).as_secs_f64();
        1.0 - (1.0 - self.share) * 0.5_f64.powf(age / FADE.as_secs_f64())
    }

    /// Takes how long an answer took, as a part of the objective; a request that was turned away for
    /// want of room counts as one that took all of it.
    pub(crate) fn learn(&mut self, now: Duration, took: f64) {
        let excess = (took - EASY).clamp(0.0, 1.0);
        let share = self.at(now);
        // By time, not by answers: an entry that gets a hundred a second would overshoot before the
        // queue that it is one of many to fill can show what has come of it.
        let passed = now.saturating_sub(self.at).min(STEP).as_secs_f64();
        self.share = (share + (RISE - share * CUT * excess) * passed).clamp(LEAST, 1.0);
        self.at = now;
    }
}
