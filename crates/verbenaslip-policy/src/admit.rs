//! Admission: which requests wait, which go next, which are refused at once.
//!
//! A [`Queue`] holds the requests of one model. Rows are lanes: between priorities the higher one
//! goes first, within a priority lanes share by weight, within a lane the earliest deadline goes
//! first. A request that can't be whole before its deadline is refused when it comes, and one that
//! becomes so while it waits is given up at once. [`Returns`] spreads when the refused come back.

mod lane;
mod queue;
mod retry_hint;

pub use self::queue::{Admission, Expired, Queue, QueuedRequest};
pub use self::retry_hint::RetryHints;
