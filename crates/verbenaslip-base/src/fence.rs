//! Fencing numbers: the order of the leaders and of what each has said.

use crate::data;

/// Orders all orders ever given: a later leader's, or a later one of the same leader, is greater.
#[data(copy, ord, hash, default)]
pub struct Fence {
    /// The leader's term.
    pub term: u64,
    /// The log index at which the order was committed.
    pub index: u64,
}
