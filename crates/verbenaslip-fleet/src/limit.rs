//! Request rate limits that upstreams ask for, shared by all entries.
//!
//! An overloaded upstream states in its answers how many requests a second it accepts from all
//! entries. The entry reports this to the leader, which informs the other entries. Each entry then
//! sends only in its own [`TimeSlot`], so the total is right without coordination per request, even
//! without a leader.

use std::collections::BTreeMap;

use verbenaslip_base::data;

use crate::upstream::Run;

/// Relative difference below which two rates count as equal, since each change restarts the time
/// slots.
const RATE_TOLERANCE: f64 = 0.1;

/// How long the end of a limit is remembered, in milliseconds, so that all entries learn of it.
const ENDED_LIMIT_RETENTION_MS: u64 = 30_000;

/// Describes the rate limit of one run.
#[data(copy, float)]
pub struct Limit {
    /// Requests per second from all entries together; `None` once the run no longer asks for a
    /// limit.
    pub rate: Option<f64>,
    /// Agreed time of the answer that stated this, in Unix milliseconds.
    pub reported_at_ms: u64,
}

/// Reports to the leader that an upstream's answer stated a rate limit or its end.
#[data(float)]
pub struct Observation {
    /// The run that answered.
    pub run: Run,
    /// The stated limit.
    pub limit: Limit,
}

/// Rate limits of all runs that have recently asked for one.
pub type Limits = BTreeMap<Run, Limit>;

/// Limit on the time slots of one entry, so that a broken one cannot take all of them.
pub const MAX_SLOTS: u32 = 64;

/// Assigns to an entry `width` of each `count` requests under a rate limit.
#[data(copy)]
pub struct TimeSlot {
    /// Index of the first slot of the entry, starting at zero.
    pub index: u32,
    /// Number of slots of all entries.
    pub count: u32,
    /// Number of slots of the entry; one unless it gets far more requests than usual. Builds that
    /// do not know it have one slot.
    #[serde(skip, default = "single_slot")]
    pub width: u32,
}

fn single_slot() -> u32 {
    1
}

impl TimeSlot {
    /// Returns the only slot at this index of so many.
    pub fn single(index: u32, count: u32) -> Self {
        Self { index, count, width: 1 }
    }
}

impl Limit {
    /// Returns whether this limit is newer than `known` and differs from it.
    pub fn supersedes(&self, known: Option<&Limit>) -> bool {
        known.map_or(self.rate.is_some(), |known| {
            self.reported_at_ms > known.reported_at_ms && self.differs(known)
        })
    }

    fn differs(&self, other: &Limit) -> bool {
        match (self.rate, other.rate) {
            (Some(one), Some(other)) => (one - other).abs() > RATE_TOLERANCE * one.max(other),
            (one, other) => one.is_some() != other.is_some(),
        }
    }
}

/// Time in milliseconds after which the capacity plan orders replacements for a limited upstream.
const SETTLING_TIME_MS: u64 = 1_000;

/// Returns whether an upstream has been limited long enough for the capacity plan; `unix_ms` is the
/// agreed time.
pub(crate) fn is_settled(limit: &Limit, unix_ms: u64) -> bool {
    limit.rate.is_some() && unix_ms.saturating_sub(limit.reported_at_ms) >= SETTLING_TIME_MS
}

/// Returns whether a limit must still be kept: it is active, or ended a short while ago.
pub(crate) fn is_retained(limit: &Limit, unix_ms: u64) -> bool {
    limit.rate.is_some() || unix_ms.saturating_sub(limit.reported_at_ms) <= ENDED_LIMIT_RETENTION_MS
}
