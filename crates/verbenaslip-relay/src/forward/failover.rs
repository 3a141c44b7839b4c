//! When a request leaves an unresponsive upstream for another one.

use std::time::Duration;

/// States after which silence a request may leave its upstream, and checks then whether it may.
pub struct Failover<F> {
    /// Longest silence; `None` if the request never leaves the upstream.
    pub silence_limit: Option<Duration>,
    /// Returns whether another upstream can continue, and spends a retry for that.
    pub may_switch: F,
}
