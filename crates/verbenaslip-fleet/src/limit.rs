//! Limits on the rate of requests that upstreams name, over all entries together.
//!
//! An upstream in need tells whoever it answers how many requests a second it takes from all entries. The
//! entry passes that on to the leader, which tells all others. Each entry then sends in its own [`StepContext`], so
//! that the sum is right without a word for each request, also while there is no leader.

use std::collections::BTreeMap;

use verbenaslip_base::data;

use crate::upstream::Run;

/// Rates that differ by less than this part are the same: turns begin anew with each change.
const SAME: f64 = 0.1;

/// How long the end of a limit is remembered, in milliseconds, so that all entries learn of it.
const MEMORY: u64 = 30_000;

/// Holds what is known of the limit of one run.
#[data(copy, float)]
pub struct Limit {
    /// Requests a second from all entries together; none once the run names no limit any more.
    pub rate: Option<f64>,
    /// When the answer came that says so, in milliseconds of the agreed time of day.
    pub reported_at_ms: u64,
}

/// Tells the leader of a limit that an answer has named, or of its end.
#[data(float)]
pub struct Observation {
    /// The run that has answered.
    pub run: Run,
    /// What it said.
    pub limit: Limit,
}

/// Holds the limits of all runs that have named one lately.
pub type Limits = BTreeMap<Run, Limit>;

/// Says which requests under a limit are an entry's to send: every `of`th.
#[data(copy)]
pub struct TimeSlot {
    /// Its place among the entries, from zero.
    pub index: u32,
    /// How many entries there are.
    pub count: u32,
}

impl Limit {
    /// Tells whether this is newer than what is known, and says something else.
    pub fn supersedes(&self, known: Option<&Limit>) -> bool {
        known.map_or(self.rate.is_some(), |known| {
            self.reported_at_ms > known.reported_at_ms && self.differs(known)
        })
    }

    fn differs(&self, other: &Limit) -> bool {
        match (self.rate, other.rate) {
            (Some(one), Some(other)) => (one - other).abs() > SAME * one.max(other),
            (one, other) => one.is_some() != other.is_some(),
        }
    }
}

/// How long a limit has lasted that is planned with, in milliseconds: others are ordered for want of its upstream.
const SETTLED: u64 = 1_000;

/// Tells whether an upstream has been limited for so long that it is planned with.
pub(crate) fn is_settled(limit: &Limit, unix: u64) -> bool {
    limit.rate.is_some() && unix.saturating_sub(limit.reported_at_ms) >= SETTLED
}

/// Tells whether a limit is still worth remembering: one that is named, or ended a short while ago.
pub(crate) fn lasts(limit: &Limit, unix: u64) -> bool {
    limit.rate.is_some() || unix.saturating_sub(limit.reported_at_ms) <= MEMORY
}
