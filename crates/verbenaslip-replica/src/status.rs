//! The status of a replica for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::output::{Output, ReplicaRole, RoleUpdate};
use crate::replica::{Replica, State};
use crate::voter::{Group, Identity, Voter};

/// Describes the state of a replica.
#[data]
pub struct Status {
    /// This instance.
    pub instance: Instance,
    /// The identity of the data directory.
    pub identity: Identity,
    /// The group, or `None` before the first contact with one.
    pub group: Option<Group>,
    /// The current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Instance>,
    /// The role of this replica.
    pub role: ReplicaRole,
    /// The index of the last log entry.
    pub last_index: u64,
    /// The last index known to be committed.
    pub commit_index: u64,
    /// The last index that the snapshot covers.
    pub snapshot_index: u64,
    /// How much longer the lease is valid; only known to the leader.
    pub lease_remaining: Option<Duration>,
    /// Whether a joint configuration is in force.
    pub is_joint: bool,
    /// The voters and the new voters that catch up; their progress is only known to the leader.
    pub voters: Vec<Progress>,
}

/// Describes the state of one voter.
#[data]
pub struct Progress {
    /// The voter.
    pub voter: Voter,
    /// Whether it is a voter already, and not only catching up.
    pub is_voter: bool,
    /// The last index at which its log is known to match the leader's.
    pub match_index: Option<u64>,
    /// The time since its last answer.
    pub since_last_response: Option<Duration>,
}

impl Progress {
    /// Returns a voter whose progress is not known.
    fn new(voter: Voter, is_voter: bool) -> Self {
        Self { voter, is_voter, match_index: None, since_last_response: None }
    }
}

impl Replica {
    /// Returns the status of this replica for operators.
    pub fn status(&self, now: Duration) -> Status {
        let lease = self.lease_until(now).map(|expires_at| expires_at.saturating_sub(now));
        Status {
            instance: self.setup.instance.clone(),
            identity: self.identity,
            group: self.hard_state.group,
            term: self.hard_state.term,
            leader: self.leader.clone(),
            role: self.role(),
            last_index: self.log.last().index,
            commit_index: self.commit_index,
            snapshot_index: self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index),
            lease_remaining: lease,
            is_joint: self.log.config().is_joint(),
            voters: self.progress(now),
        }
    }

    /// Returns the role of this replica.
    pub(crate) fn role(&self) -> ReplicaRole {
        match &self.state {
            State::Follower => ReplicaRole::Follower,
            State::Candidate(_) => ReplicaRole::Candidate,
            State::Leader(leader_state) if leader_state.had_lease => ReplicaRole::Leader,
            State::Leader(_) => ReplicaRole::Elected,
        }
    }

    /// Reports the role, the term and the leader if one of them has changed.
    pub(crate) fn report_role(&mut self) {
        let role = RoleUpdate {
            term: self.hard_state.term,
            leader: self.leader.clone(),
            role: self.role(),
        };
        if role != self.reported_role {
            self.reported_role = role.clone();
            self.outputs.push(Output::RoleChanged(role));
        }
    }

    /// Returns the voters and the new voters that catch up.
    fn progress(&self, now: Duration) -> Vec<Progress> {
        let config = self.log.config();
        let mut voters: BTreeMap<Identity, Progress> = config
            .members()
            .map(|voter| (voter.identity, Progress::new(voter.clone(), true)))
            .collect();
        if let State::Leader(leader_state) = &self.state {
            for peer in leader_state.peers.values() {
                let progress = voters
                    .entry(peer.voter.identity)
                    .or_insert_with(|| Progress::new(peer.voter.clone(), false));
                progress.match_index = Some(peer.match_index);
                progress.since_last_response =
                    peer.last_heard.map(|heard| now.saturating_sub(heard));
            }
        }
        let mut voters: Vec<Progress> = voters.into_values().collect();
        voters.sort_by(|one, other| one.voter.cmp(&other.voter));
        voters
    }
}
