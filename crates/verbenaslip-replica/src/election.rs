//! Campaigns, pre-votes and votes.

use std::collections::BTreeSet;

use verbenaslip_base::name::Instance;

use crate::entry::Position;
use crate::leader::LeaderState;
use crate::message::{Body, Message};
use crate::replica::{Replica, State};
use crate::voter::{Identity, Voter};

/// Holds the progress of a candidate's campaign.
#[derive(Debug)]
pub(crate) struct Campaign {
    stage: Stage,
    /// The term that the candidate wants to lead.
    term: u64,
    granted: BTreeSet<Identity>,
}

/// Says what a candidate asks for.
#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// Asks whether voters would grant a vote.
    PreVote,
    /// Asks for votes. The candidate's own vote counts once the write with this sequence number is
    /// durable.
    Vote { sequence: u64 },
}

impl Replica {
    /// Starts a campaign with a pre-vote.
    ///
    /// Without pre-votes, a voter in a network partition would keep raising its term. After the
    /// partition its answers would depose a healthy leader, so that each partition would end with
    /// an election.
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        let term = self.hard_state.term.saturating_add(1);
        let granted = BTreeSet::from([self.identity]);
        self.state = State::Candidate(Campaign { stage: Stage::PreVote, term, granted });
        let last_position = self.log.last();
        for voter in self.other_voters() {
            let mut message =
                self.new_message(Some(voter.identity), Body::PreVote { last_position });
            message.term = term;
            self.send_after_writes(&voter.instance, message);
        }
        self.count_votes();
    }

    /// Starts a new term and asks for votes.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.hard_state.term = self.hard_state.term.saturating_add(1);
        self.hard_state.voted = Some(self.identity);
        self.hard_state_changed = true;
        self.outbox.discard_held();
        self.incoming_snapshot = None;
        self.leader = None;
        self.reset_election_timer();
        self.save_hard_state();
        let stage = Stage::Vote { sequence: self.outbox.last_sequence() };
        let term = self.hard_state.term;
        self.state = State::Candidate(Campaign { stage, term, granted: BTreeSet::new() });
        let last_position = self.log.last();
        for voter in self.other_voters() {
            let message =
                self.new_message(Some(voter.identity), Body::Vote { last_position, transfer });
            self.send_after_writes(&voter.instance, message);
        }
    }

    /// Counts this candidate's own vote once it is durable.
    pub(crate) fn count_own_vote(&mut self) {
        let State::Candidate(campaign) = &mut self.state else { return };
        let Stage::Vote { sequence } = campaign.stage else { return };
        if self.outbox.is_durable(sequence) && campaign.granted.insert(self.identity) {
            self.count_votes();
        }
    }

    /// Answers a pre-vote, which does not bind this voter.
    pub(crate) fn handle_pre_vote(
        &mut self,
        from: &Instance,
        message: &Message,
        last_position: Position,
    ) {
        let is_newer_term = message.term > self.hard_state.term;
        let granted = is_newer_term && !self.refuses_votes() && last_position >= self.log.last();
        let mut answer = self.new_message(Some(message.sender), Body::PreVoteResponse { granted });
        if granted {
            answer.term = message.term;
        }
        self.send_after_writes(from, answer);
    }

    /// Handles the answer to a pre-vote.
    pub(crate) fn handle_pre_vote_response(&mut self, message: &Message, granted: bool) {
        if !granted {
            if message.term > self.hard_state.term {
                self.become_follower(message.term, None);
            }
            return;
        }
        self.record_vote(message, true);
    }

    /// Answers a request for a vote.
    pub(crate) fn handle_vote(
        &mut self,
        from: &Instance,
        message: &Message,
        last_position: Position,
        transfer: bool,
    ) {
        // The leader of the previous term has given up its lease and requested this election.
        let is_transfer = transfer && Some(message.term) == self.hard_state.term.checked_add(1);
        if self.refuses_votes() && !is_transfer {
            return;
        }
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
        }
        let can_vote = self.hard_state.voted.is_none_or(|voted| voted == message.sender);
        let granted =
            message.term == self.hard_state.term && can_vote && last_position >= self.log.last();
        if granted {
            self.hard_state_changed |= self.hard_state.voted.is_none();
            self.hard_state.voted = Some(message.sender);
            self.reset_election_timer();
        }
        let answer = self.new_message(Some(message.sender), Body::VoteResponse { granted });
        self.send_after_writes(from, answer);
    }

    /// Handles the answer to a request for a vote.
    pub(crate) fn handle_vote_response(&mut self, message: &Message, granted: bool) {
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
            return;
        }
        if granted {
            self.record_vote(message, false);
        }
    }

    /// Returns all voters except this one, each once.
    pub(crate) fn other_voters(&self) -> Vec<Voter> {
        let members: BTreeSet<&Voter> = self.log.config().members().collect();
        members.into_iter().filter(|voter| voter.identity != self.identity).cloned().collect()
    }

    /// Returns whether this voter refuses votes because a leader may hold a lease.
    ///
    /// If a voter that acknowledged a heartbeat voted for another candidate soon after, the old
    /// leader would not notice and would still act under its lease: there would be two leaders at
    /// the same time.
    fn refuses_votes(&self) -> bool {
        let election_timeout = self.setup.timing.election_timeout;
        self.is_leader()
            || self.leader_heard_at.is_some_and(|heard| self.now < heard + election_timeout)
    }

    /// Records a granted vote or pre-vote.
    fn record_vote(&mut self, message: &Message, is_pre_vote: bool) {
        let State::Candidate(campaign) = &mut self.state else { return };
        let stage = (campaign.stage == Stage::PreVote) == is_pre_vote;
        if stage && message.term == campaign.term {
            campaign.granted.insert(message.sender);
            self.count_votes();
        }
    }

    /// Proceeds to the next stage when a quorum has granted the current one.
    fn count_votes(&mut self) {
        let State::Candidate(campaign) = &self.state else { return };
        let granted = |identity| u64::from(campaign.granted.contains(&identity));
        if self.log.config().quorum_value(granted) == 0 {
            return;
        }
        match campaign.stage {
            Stage::PreVote => self.start_election(false),
            Stage::Vote { sequence } if self.outbox.is_durable(sequence) => self.become_leader(),
            Stage::Vote { .. } => {}
        }
    }

    /// Becomes the leader of the current term.
    fn become_leader(&mut self) {
        let last_position = self.log.last();
        let others = self.other_voters();
        self.leader = Some(self.setup.instance.clone());
        self.state =
            State::Leader(Box::new(LeaderState::new(self.now, last_position.index + 1, others)));
        self.append_empty();
    }
}
