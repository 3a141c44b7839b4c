//! Campaigns, votes and pre-votes.

use std::collections::BTreeSet;

use verbenaslip_base::name::Instance;

use crate::entry::Position;
use crate::leader::LeaderState;
use crate::message::{Body, Message};
use crate::replica::{Replica, State};
use crate::voter::{Identity, Voter};

/// Holds the votes that a candidate has.
#[derive(Debug)]
pub(crate) struct Campaign {
    stage: Stage,
    /// The term that is asked for.
    term: u64,
    granted: BTreeSet<Identity>,
}

/// Says what is being asked for.
#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// Whether votes would be given.
    PreVote,
    /// Votes; the own one counts once the write with this mark is durable.
    Vote { sequence: u64 },
}

impl Replica {
    /// Asks whether votes would be given.
    ///
    /// Without this, a voter that was cut off would come back with a term that it raised alone, and
    /// its answers would depose a healthy leader: one would notice an election after each heal.
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

    /// Starts a term and asks for votes.
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

    /// Counts the own vote once it is durable.
    pub(crate) fn count_own_vote(&mut self) {
        let State::Candidate(campaign) = &mut self.state else { return };
        let Stage::Vote { sequence } = campaign.stage else { return };
        if self.outbox.is_durable(sequence) && campaign.granted.insert(self.identity) {
            self.count_votes();
        }
    }

    /// Answers a pre-vote, which promises nothing.
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

    /// Takes the answer to a pre-vote.
    pub(crate) fn handle_pre_vote_response(&mut self, message: &Message, granted: bool) {
        if !granted {
            if message.term > self.hard_state.term {
                self.become_follower(message.term, None);
            }
            return;
        }
        self.record_vote(message, true);
    }

    /// Answers a vote.
    pub(crate) fn handle_vote(
        &mut self,
        from: &Instance,
        message: &Message,
        last_position: Position,
        transfer: bool,
    ) {
        // The leader of the term just before has given up its lease and asked for this election.
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

    /// Takes the answer to a vote.
    pub(crate) fn handle_vote_response(&mut self, message: &Message, granted: bool) {
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
            return;
        }
        if granted {
            self.record_vote(message, false);
        }
    }

    /// Lists the other voters, each once.
    pub(crate) fn other_voters(&self) -> Vec<Voter> {
        let members: BTreeSet<&Voter> = self.log.config().members().collect();
        members.into_iter().filter(|voter| voter.identity != self.identity).cloned().collect()
    }

    /// Tells whether votes are refused for the sake of a leader that may hold a lease.
    ///
    /// If a voter that acknowledged a heartbeat gave its vote to somebody else soon after, the old
    /// leader, cut off from the news, would still act under its lease: two leaders at one time.
    fn refuses_votes(&self) -> bool {
        let election = self.setup.timing.election_timeout;
        self.is_leader() || self.leader_heard_at.is_some_and(|heard| self.now < heard + election)
    }

    /// Counts a vote or pre-vote that was given.
    fn record_vote(&mut self, message: &Message, is_pre_vote: bool) {
        let State::Candidate(campaign) = &mut self.state else { return };
        let stage = (campaign.stage == Stage::PreVote) == is_pre_vote;
        if stage && message.term == campaign.term {
            campaign.granted.insert(message.sender);
            self.count_votes();
        }
    }

    /// Goes on to the next stage when a quorum has granted this one.
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

    /// Takes up leadership.
    fn become_leader(&mut self) {
        let last_position = self.log.last();
        let others = self.other_voters();
        self.leader = Some(self.setup.instance.clone());
        self.state =
            State::Leader(Box::new(LeaderState::new(self.now, last_position.index + 1, others)));
        self.append_empty();
    }
}
