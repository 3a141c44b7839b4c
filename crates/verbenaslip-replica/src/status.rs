//! What operators are shown.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::output::{Duty, Output, Role};
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

impl Progress {
    /// Starts without knowledge of a voter.
    fn of(voter: Voter, votes: bool) -> Self {
        Self { voter, votes, matched: None, silent: None }
    }
}

impl Replica {
    /// Shows operators how this replica stands.
    pub fn status(&self, now: Duration) -> Status {
        let lease = self.lease_until(now).map(|until| until.saturating_sub(now));
        Status {
            instance: self.setup.instance.clone(),
            identity: self.identity,
            group: self.hard.group,
            term: self.hard.term,
            leader: self.leader.clone(),
            duty: self.duty(),
            last: self.log.last().index,
            commit: self.commit,
            snapshot: self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index),
            lease,
            joint: self.log.config().is_joint(),
            voters: self.progress(now),
        }
    }

    /// Returns what this replica does.
    pub(crate) fn duty(&self) -> Duty {
        match &self.state {
            State::Follower => Duty::Follower,
            State::Candidate(_) => Duty::Candidate,
            State::Leader(leading) if leading.ready => Duty::Leader,
            State::Leader(_) => Duty::Elected,
        }
    }

    /// Tells of a changed role.
    pub(crate) fn show(&mut self) {
        let role = Role { term: self.hard.term, leader: self.leader.clone(), duty: self.duty() };
        if role != self.shown {
            self.shown = role.clone();
            self.out.push(Output::Role(role));
        }
    }

    /// Lists the voters and those that catch up.
    fn progress(&self, now: Duration) -> Vec<Progress> {
        let config = self.log.config();
        let mut voters: BTreeMap<Identity, Progress> = config
            .members()
            .map(|voter| (voter.identity, Progress::of(voter.clone(), true)))
            .collect();
        if let State::Leader(leading) = &self.state {
            for peer in leading.peers.values() {
                let progress = voters
                    .entry(peer.voter.identity)
                    .or_insert_with(|| Progress::of(peer.voter.clone(), false));
                progress.matched = Some(peer.matched);
                progress.silent = peer.heard.map(|heard| now.saturating_sub(heard));
            }
        }
        let mut voters: Vec<Progress> = voters.into_values().collect();
        voters.sort_by(|one, other| one.voter.cmp(&other.voter));
        voters
    }
}
