//! The phases of an entry's planned stop.

use std::time::Duration;

/// Time for which an entry still accepts requests after a stop has begun: the load balancer probes once a second and
/// removes an instance after two failed probes.
const ADMISSION_TIME: Duration = Duration::from_millis(2_800);

/// Time between the end of an entry and the end of its grace time; requests that are then active are aborted.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The entry still accepts requests.
    Accepting,
    /// The entry refuses new requests and finishes the active ones.
    Draining,
    /// The entry ends.
    Ended,
}

/// A planned stop, timed by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    started_at: Duration,
    grace: Duration,
}

impl Stop {
    /// Begins a stop at `now`; the process is killed after the grace time.
    pub fn begin(now: Duration, grace: Duration) -> Self {
        Self { started_at: now, grace }
    }

    /// Returns the phase at `now`, given the number of active requests.
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

    /// Returns the time at which the next phase begins if requests stay active until then.
    ///
    /// An entry that checks the phase only at its regular ticks would accept requests for up to a quarter of a second
    /// longer than planned. Long ones among these last requests would be aborted at the end of the grace time, so that
    /// a planned stop would fail callers.
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
