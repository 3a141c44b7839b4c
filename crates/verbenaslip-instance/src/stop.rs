//! The course of an entry's planned stop.

use std::time::Duration;

/// How long requests are still taken after a stop began: the balancer asks once a second and takes
/// an instance out after two misses.
const ADMISSION_TIME: Duration = Duration::from_millis(2_800);

/// How long before the end of the grace time an entry ends, whatever is under way.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Says what an entry does at a moment of its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It still takes requests.
    Accepting,
    /// It refuses new requests and finishes what is under way.
    Draining,
    /// It ends.
    Ended,
}

/// Follows a planned stop by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    started_at: Duration,
    grace: Duration,
}

impl Stop {
    /// Begins, with so much time until the process is killed.
    pub fn begin(now: Duration, grace: Duration) -> Self {
        Self { started_at: now, grace }
    }

    /// Returns what is to be done, with so many requests under way.
    pub fn phase(&self, now: Duration, active: usize) -> Phase {
        if now >= self.end() {
            return Phase::Ended;
        }
        match (now >= self.admission_end(), active) {
            (false, _) => Phase::Accepting,
            (true, 0) => Phase::Ended,
            (true, _) => Phase::Draining,
        }
    }

    /// Returns when the next phase begins, whatever is under way.
    ///
    /// An entry that looks only from time to time takes requests for a quarter of a second longer than it
    /// means to. Those are the last ones, so they are cut off at the end of the grace time if they are long; one
    /// would notice callers lost by a planned stop.
    pub fn next_phase_at(&self, now: Duration) -> Duration {
        if now < self.admission_end() { self.admission_end().min(self.end()) } else { self.end() }
    }

    fn admission_end(&self) -> Duration {
        self.started_at + ADMISSION_TIME
    }

    fn end(&self) -> Duration {
        self.started_at + self.grace.saturating_sub(KILL_MARGIN)
    }
}
