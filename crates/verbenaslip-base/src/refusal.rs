//! Final answers other than success, and what each lets the caller conclude.

use std::time::Duration;

use crate::data;

/// Says that a request was surely not run, so that it may be sent again.
#[data]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller should come back; spread so that the refused do not return together.
    pub retry: Option<Duration>,
}

/// Names why a request was not run.
#[data(copy, ord, hash)]
pub enum Reason {
    /// The table has no row for the team and class.
    NoRow,
    /// The row's rate, concurrency or token limit is used up.
    Limit,
    /// The answer could not be whole before its deadline.
    Deadline,
    /// Too much work waits.
    Overload,
    /// No upstream offers the model.
    NoUpstream,
    /// This instance can't confirm the table in force.
    NoLease,
    /// No second instance could hold the request, or no quorum its claim.
    NotHeld,
    /// This instance is stopping.
    Stopping,
    /// The key is older than the time for which outcomes are kept.
    KeyExpired,
    /// The upstream itself said that it did not run the request.
    Upstream,
}

/// Says that a request may or may not have run.
#[data(copy, ord, hash)]
pub enum Unknown {
    /// The upstream was lost after the request had been sent to it.
    UpstreamLost,
    /// The instance that ran it was lost before the outcome was kept.
    InstanceLost,
    /// The answer did not end before its deadline.
    Deadline,
    /// The instances that would know could not be asked.
    Unreachable,
}
