//! Changes of the voter set through a joint configuration.

use std::time::Duration;

use crate::config::{Change, Config};
use crate::entry::{Payload, Position};
use crate::output::{Answer, Output, Rejection};
use crate::peer::Peer;
use crate::replica::{Replica, State};

/// The maximum number of log entries by which a new voter may lag when it becomes a voter.
const MAX_CATCH_UP_LAG_ENTRIES: u64 = 64;

/// Holds the voter change that was requested in this term.
#[derive(Debug)]
pub(crate) struct PendingChange {
    token: u64,
    change: Change,
    requested_at: Duration,
    deadline: Duration,
    /// The first round that begins after the change was requested.
    first_round: u64,
    stage: Stage,
}

/// The progress of a voter change.
#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// The new voter catches up; the log does not contain the change yet.
    CatchUp,
    /// The log contains the joint configuration.
    Joint,
    /// The log contains the new configuration at this index.
    Final(u64),
}

impl PendingChange {
    /// Returns the time by which the new voter must have caught up.
    pub(crate) fn deadline(&self) -> Duration {
        if self.stage == Stage::CatchUp { self.deadline } else { Duration::MAX }
    }

    /// Returns the answer to the requester when the change is given up.
    pub(crate) fn abort_answer(&self, rejection: Rejection) -> Output {
        let answer = match self.stage {
            Stage::CatchUp => Answer::Rejected(rejection),
            Stage::Joint | Stage::Final(_) => Answer::Unknown,
        };
        Output::Answer { token: self.token, answer }
    }
}

impl Replica {
    /// Handles a request to change the voter set.
    pub(crate) fn change_voters(&mut self, token: u64, change: Change) {
        if let Some(answer) = self.immediate_answer(&change) {
            self.outputs.push(Output::Answer { token, answer });
            return;
        }
        let (requested_at, deadline) = (self.now, self.now + self.setup.timing.catch_up_timeout);
        let next = self.log.last().index + 1;
        let State::Leader(leader_state) = &mut self.state else { return };
        if let Some(voter) = change.added_voter() {
            let peer = || Peer::new(voter.clone(), next);
            leader_state.peers.entry(voter.identity).or_insert_with(peer);
        }
        let round = leader_state.rounds.number() + 1;
        leader_state.voter_change = Some(PendingChange {
            token,
            change,
            requested_at,
            deadline,
            first_round: round,
            stage: Stage::CatchUp,
        });
    }

    /// Gives up a change whose new voter does not catch up in time, or falls silent before it has.
    ///
    /// Another voter may be lost in the meantime, and no other core can take its place until this
    /// change has ended.
    pub(crate) fn tick_change(&mut self) {
        let silence_limit = self.setup.timing.catch_up_silence();
        let State::Leader(leader_state) = &mut self.state else { return };
        let peers = &leader_state.peers;
        let is_silent = |change: &PendingChange| {
            let voter = change.change.added_voter().filter(|_| change.stage == Stage::CatchUp);
            let peer = voter.and_then(|voter| peers.get(&voter.identity));
            let heard_at = peer.map(|peer| peer.last_heard.max(Some(change.requested_at)));
            heard_at.flatten().is_some_and(|heard_at| self.now >= heard_at + silence_limit)
        };
        let is_over =
            |change: &mut PendingChange| self.now >= change.deadline() || is_silent(change);
        let Some(change) = leader_state.voter_change.take_if(is_over) else { return };
        self.outputs.push(change.abort_answer(Rejection::CatchUpFailed));
        self.remove_former_peers();
    }

    /// Advances a change as far as the commit index allows.
    pub(crate) fn advance_change(&mut self) {
        let State::Leader(leader_state) = &self.state else { return };
        // A leader that has committed nothing in its term may hold a configuration that a newer
        // leader has replaced. A change based on it could result in two voter sets without a common
        // member.
        let is_committed = self.commit_index >= leader_state.first_index
            && self.commit_index >= self.log.config_index();
        if !is_committed {
            return;
        }
        let config = self.log.config();
        if config.is_joint() {
            let next = config.after_joint();
            let index = self.append_config(next);
            self.set_change_stage(Stage::Final(index));
        } else if let Some(joint) = self.ready_joint_config() {
            self.append_config(joint);
            self.set_change_stage(Stage::Joint);
        }
    }

    /// Answers a change whose new configuration is committed.
    pub(crate) fn answer_change(&mut self) {
        let (commit, term) = (self.commit_index, self.hard_state.term);
        let State::Leader(leader_state) = &mut self.state else { return };
        let is_final = |change: &mut PendingChange| matches!(change.stage, Stage::Final(index) if index <= commit);
        let Some(change) = leader_state.voter_change.take_if(is_final) else { return };
        let Stage::Final(index) = change.stage else { return };
        let answer = Answer::Committed(Position { term, index });
        self.outputs.push(Output::Answer { token: change.token, answer });
    }

    /// Removes followers that are no longer voters, and steps down if this replica is no longer a
    /// voter.
    pub(crate) fn remove_former_voters(&mut self) {
        let State::Leader(leader_state) = &self.state else { return };
        let config = self.log.config();
        let is_committed = self.commit_index >= leader_state.first_index
            && self.commit_index >= self.log.config_index();
        if !is_committed || config.is_joint() {
            return;
        }
        if config.contains(self.identity) {
            self.remove_former_peers();
            return;
        }
        self.transfer_to_successor();
        self.become_follower(self.hard_state.term, None);
    }

    /// Returns the answer to a change that needs no work or can't be accepted.
    fn immediate_answer(&self, change: &Change) -> Option<Answer> {
        let State::Leader(leader_state) = &self.state else {
            let leader = self.leader.clone();
            return Some(Answer::Rejected(Rejection::NotLeader { leader }));
        };
        let config = self.log.config();
        if leader_state.transfer.is_some() {
            return Some(Answer::Rejected(Rejection::TransferInProgress));
        }
        if leader_state.voter_change.is_some() || config.is_joint() {
            return Some(Answer::Rejected(Rejection::ChangeInProgress));
        }
        let index = self.log.config_index();
        if change.is_satisfied_by(&config.voters) {
            // An earlier leader appended this configuration, which may still be replaced until it
            // commits.
            if index > self.commit_index {
                return Some(Answer::Rejected(Rejection::ChangeInProgress));
            }
            let term = self.log.term(index).unwrap_or(0);
            return Some(Answer::Committed(Position { term, index }));
        }
        let is_valid = change.apply_to(&config.voters).is_some();
        (!is_valid).then_some(Answer::Rejected(Rejection::InvalidChange))
    }

    /// Returns the joint configuration of a change whose new voter has caught up.
    fn ready_joint_config(&self) -> Option<Config> {
        let State::Leader(leader_state) = &self.state else { return None };
        let change =
            leader_state.voter_change.as_ref().filter(|change| change.stage == Stage::CatchUp)?;
        if let Some(voter) = change.change.added_voter() {
            let peer = leader_state.peers.get(&voter.identity)?;
            let is_near = peer.match_index + MAX_CATCH_UP_LAG_ENTRIES >= self.log.last().index;
            let has_answered = peer.acknowledged_round >= change.first_round;
            if peer.match_index < leader_state.first_index || !is_near || !has_answered {
                return None;
            }
        }
        let config = self.log.config();
        let joint = config.joint_with(change.change.apply_to(&config.voters)?);
        self.has_live_quorum(&joint, change.first_round).then_some(joint)
    }

    /// Returns whether a quorum of each voter set has answered since a round began.
    ///
    /// A configuration without a live quorum can never commit, and a voter that has it in its log
    /// can't be elected by the others. The group would hang until an operator rescues it.
    fn has_live_quorum(&self, config: &Config, round: u64) -> bool {
        let State::Leader(leader_state) = &self.state else { return false };
        let has_answered = |identity| match leader_state.peers.get(&identity) {
            Some(peer) => peer.acknowledged_round,
            None if identity == self.identity => round,
            None => 0,
        };
        config.quorum_value(has_answered) >= round
    }

    /// Appends a configuration, which is in force at once, and returns its index.
    fn append_config(&mut self, config: Config) -> u64 {
        let index = self.append_payload(Payload::Config(config));
        let others = self.other_voters();
        let State::Leader(leader_state) = &mut self.state else { return index };
        for voter in others {
            let peer = || Peer::new(voter.clone(), index);
            leader_state.peers.entry(voter.identity).or_insert_with(peer);
        }
        index
    }

    /// Sets the stage of the pending change.
    fn set_change_stage(&mut self, stage: Stage) {
        let State::Leader(leader_state) = &mut self.state else { return };
        if let Some(change) = &mut leader_state.voter_change {
            change.stage = stage;
        }
    }

    /// Removes followers that are neither voters nor catching up.
    fn remove_former_peers(&mut self) {
        let config = self.log.config();
        let State::Leader(leader_state) = &mut self.state else { return };
        let incoming =
            leader_state.voter_change.as_ref().and_then(|change| change.change.added_voter());
        let incoming = incoming.map(|voter| voter.identity);
        leader_state
            .peers
            .retain(|identity, _| config.contains(*identity) || incoming == Some(*identity));
    }
}
