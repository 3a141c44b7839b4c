//! How far a roll-out is, how it ends, and what it is decided by.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};

use crate::rollout::evaluator::Evidence;
use crate::rollout::{State, as_f64};

/// The part of the stable upstreams that the candidate must have to take over.
const MIN_CAPACITY_SHARE: f64 = 0.6;

/// Says what candidates get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing.
    Waiting,
    /// A share small enough for a bad version.
    Canary,
    /// More with each step.
    Shift {
        /// Index into the shares of the way.
        at: usize,
        /// Since when.
        since: Duration,
    },
}

/// Decides a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// How it ends.
    pub state: State,
    /// Why.
    pub reason: Reason,
}

/// Says why a roll-out ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The candidate carries all traffic.
    Shifted,
    /// The candidate is worse.
    Worse(Evidence),
    /// An entry had stopped using the candidate, or had heard of a verdict.
    Halted,
    /// The candidate looks worse when the time limit comes, though not surely.
    Doubtful,
    /// There was too little to judge by in time.
    TimedOut,
}

/// Holds what the leader knows of a service's upstreams and the entries.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Ready upstreams of the candidate.
    pub candidates: Vec<(Upstream, AvailabilityZone)>,
    /// Ready upstreams of other versions.
    pub stable: usize,
    /// Entries that are heard.
    pub entries: Vec<SocketAddr>,
    /// Whether all entries that there are have reported to this leader.
    pub all_reported: bool,
}

impl Fleet {
    /// Tells whether the candidate has enough upstreams to take over.
    pub(crate) fn has_capacity(&self) -> bool {
        let needed = as_f64(self.stable as u64) * MIN_CAPACITY_SHARE;
        as_f64(self.candidates.len() as u64) >= needed.max(1.0)
    }
}
