//! Admits requests: queues them, orders them and refuses those that cannot be served in time.
//!
//! A [`Queue`] holds the queued requests of one model. Each row of the route table has a lane. A
//! higher priority goes first, lanes of one priority share by weight, and within a lane the
//! earliest deadline goes first. A request that cannot complete before its deadline is refused on
//! arrival. A queued request that can no longer complete in time is refused at once. [`RetryHints`]
//! spreads the times at which refused callers come back.

mod lane;
mod queue;
mod retry_hint;

pub use self::queue::{Admission, Expired, Queue, QueuedRequest};
pub use self::retry_hint::RetryHints;
