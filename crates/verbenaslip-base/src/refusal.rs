//! Final outcomes other than success, and whether the request may have run.

use std::time::Duration;

use crate::data;

/// Reports that a request was certainly not run, so that it can safely be sent again.
#[data]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// The time after which the caller should retry; spread out, so that refused callers do not
    /// all retry at once.
    pub retry: Option<Duration>,
}

/// Lists the reasons why a request was not run.
#[data(copy, ord, hash)]
pub enum Reason {
    /// The table has no row for the team and class.
    NoRow,
    /// The row's rate, concurrency or token limit is exhausted.
    Limit,
    /// The answer could not be completed before the deadline.
    Deadline,
    /// Too many requests are queued.
    Overload,
    /// No upstream offers the model.
    NoUpstream,
    /// This instance cannot confirm that its table is current.
    NoLease,
    /// No second instance could store the request, or no quorum could store its claim.
    NotHeld,
    /// This instance is stopping.
    Stopping,
    /// The idempotency key is older than the time for which outcomes are kept.
    KeyExpired,
    /// The upstream reported that it did not run the request.
    Upstream,
}

/// Reports that it is unknown whether a request ran, and why.
#[data(copy, ord, hash)]
pub enum Unknown {
    /// The upstream was lost after the request had been sent to it.
    UpstreamLost,
    /// The instance that ran the request was lost before the outcome was stored.
    InstanceLost,
    /// The answer was not complete before the deadline.
    Deadline,
    /// The instances that may know the outcome could not be reached.
    Unreachable,
}
