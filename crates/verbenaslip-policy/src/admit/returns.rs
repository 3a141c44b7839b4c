//! When those who were refused should come back.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The soonest that anyone is asked back.
const SOONEST: f64 = 0.5;
/// The latest that anyone is asked back.
const LATEST: f64 = 600.0;
/// The part by which a hint is drawn longer at random.
const JITTER: f64 = 0.25;

/// Seconds over which offered work is remembered.
const MEMORY: f64 = 10.0;
/// The part of the slots that is booked for those who come back in any case.
const LEAST_SPARE: f64 = 0.5;

/// Books the capacity to come for those who were refused, so that each finds room when it returns.
///
/// With a fixed hint all refused return together and most are refused again. Here each refusal
/// takes its own work out of the time to come, and the next one is asked back after it.
#[derive(Debug, Default)]
pub struct Returns {
    booked: Duration,
}

impl Returns {
    /// Returns how long the caller should stay away.
    ///
    /// `needed` is the seconds until the present backlog leaves room, `cost` the slot seconds that
    /// the refused request will take, `share` the slots that serve this instance's callers.
    pub fn hint(
        &mut self,
        now: Duration,
        needed: f64,
        cost: f64,
        share: f64,
        rng: &mut impl Rng,
    ) -> Duration {
        let earliest = now.saturating_add(seconds(needed.max(SOONEST)));
        self.booked = self.booked.max(earliest);
        let hint = self.booked.saturating_sub(now).as_secs_f64();
        self.booked = self.booked.saturating_add(seconds(cost / share.max(0.25)));
        self.booked = self.booked.min(now.saturating_add(seconds(LATEST)));
        seconds(hint * rng.random_range(1.0..=1.0 + JITTER))
    }
}

/// Follows how much work a second is offered.
#[derive(Debug, Default)]
pub(crate) struct Offered {
    work: f64,
    at: Duration,
}

impl Offered {
    /// Adds the slot seconds of an offered request.
    pub(crate) fn add(&mut self, now: Duration, work: f64) {
        self.fade(now);
        self.work += work / MEMORY;
    }

    /// Returns the slot seconds that are offered a second.
    pub(crate) fn work(&mut self, now: Duration) -> f64 {
        self.fade(now);
        self.work
    }

    /// Returns the slots that new arrivals leave to those who come back.
    ///
    /// Those who were refused return into a burst that is still on; if all slots were booked for
    /// them, most would find the slots taken by new arrivals and be refused again.
    pub(crate) fn spare(&mut self, now: Duration, share: f64) -> f64 {
        self.fade(now);
        (share - self.work).max(share * LEAST_SPARE)
    }

    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.work *= (-passed / MEMORY).exp();
    }
}

/// Turns any number of seconds into a duration within bounds.
fn seconds(value: f64) -> Duration {
    if value.is_nan() {
        return Duration::from_secs_f64(SOONEST);
    }
    Duration::from_secs_f64(value.clamp(0.0, LATEST * 2.0))
}
