//! When a silent upstream is left for another one.

use std::time::Duration;

/// Says after which silence an upstream may be left, and asks then whether another one can go on.
pub struct Failover<F> {
    /// The silence; none if it is never left.
    pub silence_limit: Option<Duration>,
    /// Tells whether another one can go on, and pays for that.
    pub may_switch: F,
}
