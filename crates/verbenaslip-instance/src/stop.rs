//! The course of an entry's planned stop.

use std::time::Duration;

/// How long requests are still taken after a stop began: the balancer asks once a second and takes
/// an instance out after two misses.
const BALANCER: Duration = Duration::from_millis(2_800);

/// How long before the end of the grace time an entry ends, whatever is under way.
const MARGIN: Duration = Duration::from_millis(700);

/// Says what an entry does at a moment of its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It still takes requests.
    Takes,
    /// It refuses new requests and finishes what is under way.
    Finishes,
    /// It ends.
    Over,
}

/// Follows a planned stop by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    since: Duration,
    grace: Duration,
}

impl Stop {
    /// Begins, with so much time until the process is killed.
    pub fn begin(now: Duration, grace: Duration) -> Self {
        Self { since: now, grace }
    }

    /// Returns what is to be done, with so many requests under way.
    pub fn phase(&self, now: Duration, active: usize) -> Phase {
        if now >= self.ends() {
            return Phase::Over;
        }
        match (now >= self.closes(), active) {
            (false, _) => Phase::Takes,
            (true, 0) => Phase::Over,
            (true, _) => Phase::Finishes,
        }
    }

    /// Returns when the next phase begins, whatever is under way.
    ///
    /// An entry that looks only from time to time takes requests for a quarter of a second longer than it
    /// means to. Those are the last ones, so they are cut off at the end of the grace time if they are long; one
    /// would notice callers lost by a planned stop.
    pub fn wake(&self, now: Duration) -> Duration {
        if now < self.closes() { self.closes().min(self.ends()) } else { self.ends() }
    }

    fn closes(&self) -> Duration {
        self.since + BALANCER
    }

    fn ends(&self) -> Duration {
        self.since + self.grace.saturating_sub(MARGIN)
    }
}
