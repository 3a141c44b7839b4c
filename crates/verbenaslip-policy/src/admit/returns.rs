//! When those who were refused should come back.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The soonest that anyone is asked back.
const SOONEST: f64 = 0.5;
/// The latest that anyone is asked back.
const LATEST: f64 = 600.0;
/// The part by which a hint is drawn longer at random.
const JITTER: f64 = 0.25;

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

/// Turns any number of seconds into a duration within bounds.
fn seconds(value: f64) -> Duration {
    if value.is_nan() {
        return Duration::from_secs_f64(SOONEST);
    }
    Duration::from_secs_f64(value.clamp(0.0, LATEST * 2.0))
}
