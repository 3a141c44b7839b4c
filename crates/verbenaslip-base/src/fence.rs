//! Fencing numbers, by which a newer order is told from an older one.

use crate::data;

/// Numbers the orders that leaders give; an order from a later leader, or a later order from the
/// same leader, has a greater number.
#[data(copy, ord, hash, default)]
pub struct Fence {
    /// The term of the leader that gave the order.
    pub term: u64,
    /// The log index at which the order was committed.
    pub index: u64,
}
