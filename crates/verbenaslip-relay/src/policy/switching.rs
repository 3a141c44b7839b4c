//! Decides when a request leaves a slow upstream before the silence limit.
//!
//! The silence limit is set for upstreams that have stopped working; an answer that arrives after
//! it is late. An upstream that is only slow is left earlier, if another one can still answer in
//! time.

use std::time::Duration;

/// Multiple of the expected time to the first event after which an upstream counts as slow: a high
/// quantile of the time that such prompts take. Transient slowness is a factor of 2.5.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Smallest excess over the expected time, so that a short prompt behind a few others is not taken
/// for a slow upstream.
const MIN_EXCESS_MS: f64 = 300.0;

/// Fraction of the objective above which a service's median wait means that it is short of
/// upstreams. Leaving one upstream for another would then repeat prefills and lengthen all queues.
const MAX_MEDIAN_WAIT: f64 = 0.25;

/// Time for which an entry counts an upstream as slow after a request has left it. Transient
/// slowness lasts fractions of a second.
pub const SLOW_PERIOD: Duration = Duration::from_millis(600);

/// Says why a request leaves an upstream that it has been sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The failover timeout has elapsed, and another upstream can answer in time.
    Slow,
    /// The upstream has been silent up to the silence limit.
    Silent,
}

impl Reason {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Silent => "silent",
        }
    }
}

/// Returns the time after sending from which a silent upstream counts as slow; `None` if the
/// expected time to the first event is not a usable number.
pub fn failover_timeout(expected_ms: f64) -> Option<Duration> {
    let timeout_ms = (expected_ms * TIMEOUT_FACTOR).max(expected_ms + MIN_EXCESS_MS);
    Duration::try_from_secs_f64(timeout_ms / 1_000.0).ok()
}

/// Describes a request whose failover timeout has elapsed.
#[derive(Clone, Copy, Debug)]
pub struct SlowRequest {
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time from its arrival within which the first event is wanted.
    pub objective: Duration,
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// Expected time to the first event at the best other upstream; `None` without measurements.
    pub expected_elsewhere_ms: Option<f64>,
    /// Median wait at the service's upstreams; `None` without measurements.
    pub median_wait_ms: Option<f64>,
}

impl SlowRequest {
    /// Returns whether the request should leave its upstream.
    pub fn should_leave(&self) -> bool {
        let (Some(expected_ms), Some(median_wait_ms)) =
            (self.expected_elsewhere_ms, self.median_wait_ms)
        else {
            return false;
        };
        let objective_ms = self.objective.as_secs_f64() * 1_000.0;
        let elapsed_ms = self.elapsed.as_secs_f64() * 1_000.0;
        median_wait_ms <= objective_ms * MAX_MEDIAN_WAIT
            && elapsed_ms + expected_ms < objective_ms
            && expected_ms < self.remaining.as_secs_f64() * 1_000.0
    }
}
