//! What operators are shown.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::output::{Output, ReplicaRole, RoleUpdate};
use crate::replica::{Replica, State};
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
    pub role: ReplicaRole,
    /// The last entry.
    pub last_index: u64,
    /// The last committed index it knows.
    pub commit_index: u64,
    /// The last index that the snapshot covers.
    pub snapshot_index: u64,
    /// How much longer the lease lasts, on the leader alone.
    pub lease_remaining: Option<Duration>,
    /// Whether the voter set is being changed.
    pub is_joint: bool,
    /// The voters, and those that catch up; the progress is known to the leader alone.
    pub voters: Vec<Progress>,
}

/// Shows how one voter stands.
#[data]
pub struct Progress {
    /// The voter.
    pub voter: Voter,
    /// Whether its vote counts already.
    pub is_voter: bool,
    /// How far its log is known to be equal to the leader's.
    pub match_index: Option<u64>,
    /// How long ago it last answered.
    pub since_last_response: Option<Duration>,
}

impl Progress {
    /// Starts without knowledge of a voter.
    fn new(voter: Voter, votes: bool) -> Self {
        Self { voter, is_voter: votes, match_index: None, since_last_response: None }
    }
}

impl Replica {
    /// Shows operators how this replica stands.
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

    /// Returns what this replica does.
    pub(crate) fn role(&self) -> ReplicaRole {
        match &self.state {
            State::Follower => ReplicaRole::Follower,
            State::Candidate(_) => ReplicaRole::Candidate,
            State::Leader(leader_state) if leader_state.had_lease => ReplicaRole::Leader,
            State::Leader(_) => ReplicaRole::Elected,
        }
    }

    /// Tells of a changed role.
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

    /// Lists the voters and those that catch up.
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
