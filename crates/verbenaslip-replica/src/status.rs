//! What operators are shown.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::output::Duty;
use crate::voter::{Group, Identity, Voter};

/// Shows how a replica stands.
#[data]
pub struct Status {
    /// This instance.
    pub instance: Instance,
    /// Its folder.
    pub identity: Identity,
    /// Its group, none before the first contact with it.
    pub group: Option<Group>,
    /// The term.
    pub term: u64,
    /// The leader, where known.
    pub leader: Option<Instance>,
    /// What this replica does.
    pub duty: Duty,
    /// The last entry.
    pub last: u64,
    /// The last committed index it knows.
    pub commit: u64,
    /// The last index that the snapshot covers.
    pub snapshot: u64,
    /// How much longer the lease lasts, on the leader alone.
    pub lease: Option<Duration>,
    /// Whether the voter set is being changed.
    pub joint: bool,
    /// The voters, and those that catch up; the progress is known to the leader alone.
    pub voters: Vec<Progress>,
}

/// Shows how one voter stands.
#[data]
pub struct Progress {
    /// The voter.
    pub voter: Voter,
    /// Whether its vote counts already.
    pub votes: bool,
    /// How far its log is known to be equal to the leader's.
    pub matched: Option<u64>,
    /// How long ago it last answered.
    pub silent: Option<Duration>,
}
