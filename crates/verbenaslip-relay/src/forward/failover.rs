//! When a request leaves an unresponsive upstream for another one.

use std::time::Duration;

use tokio::time::Instant;

use crate::policy::switching::Reason;

/// States after which silence a request may leave its upstream, and checks then whether it may.
pub struct Failover<F> {
    /// When the upstream counts as slow, if it has not sent the first event by then; `None` if the
    /// request does not leave it before the silence limit. This is checked once; a request that
    /// then stays waits up to the silence limit.
    pub slow_at: Option<Instant>,
    /// Longest silence; `None` if the request never leaves the upstream.
    pub silence_limit: Option<Duration>,
    /// Returns whether another upstream can continue, and spends a retry for that; the second
    /// argument tells whether the caller has received a part of the body.
    pub may_switch: F,
}

impl<F: FnMut(Reason, bool) -> bool> Failover<F> {
    /// Returns whether the request leaves its upstream because that has become slow; the next wait
    /// lasts up to the silence limit.
    pub fn leaves_slow_upstream(&mut self) -> bool {
        self.slow_at = None;
        (self.may_switch)(Reason::Slow, false)
    }

    /// Returns when the wait at the upstream is interrupted, given when it ends.
    pub fn next_check(&self, end: Instant) -> Instant {
        self.slow_at.map_or(end, |slow_at| slow_at.min(end))
    }
}
