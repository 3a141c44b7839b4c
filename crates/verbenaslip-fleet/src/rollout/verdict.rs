//! The stages of a rollout, its verdict, and what the decisions are based on.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};

use crate::rollout::evaluator::Evidence;
use crate::rollout::{State, as_f64};

/// Number of upstreams that the candidate needs to take over, as a share of the stable ones.
const MIN_CAPACITY_SHARE: f64 = 0.6;

/// Says what the candidate receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No requests.
    Waiting,
    /// A share that is small enough for a bad version.
    Canary,
    /// A share that grows with each step.
    Shift {
        /// The index into the shares of the shift.
        at: usize,
        /// When the step began.
        since: Duration,
    },
}

/// Says how a rollout ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The final state.
    pub state: State,
    /// The reason.
    pub reason: Reason,
}

/// Says why a rollout ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The candidate carries all traffic.
    Shifted,
    /// The candidate is worse than the stable version.
    Worse(Evidence),
    /// An entry had stopped using the candidate, or knew of a verdict.
    Halted,
    /// The candidate looks worse at the time limit, though not with certainty.
    Doubtful,
    /// There was too little evidence within the time limit.
    TimedOut,
}

/// Holds what the leader knows of a service's upstreams and of the entries.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The ready upstreams of the candidate.
    pub candidates: Vec<(Upstream, AvailabilityZone)>,
    /// The number of ready upstreams of other versions.
    pub stable: usize,
    /// The entries that the leader hears from.
    pub entries: Vec<SocketAddr>,
    /// Whether all existing entries have reported to this leader.
    pub all_reported: bool,
}

impl Fleet {
    /// Returns whether the candidate has enough upstreams to take over.
    pub(crate) fn has_capacity(&self) -> bool {
        let needed = as_f64(self.stable as u64) * MIN_CAPACITY_SHARE;
        as_f64(self.candidates.len() as u64) >= needed.max(1.0)
    }
}
