//! Campaigns, votes and pre-votes.

use std::collections::BTreeSet;

use verbenaslip_base::name::Instance;

use crate::entry::Position;
use crate::leader::Leading;
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
    Vote { mark: u64 },
}

impl Replica {
    /// Asks whether votes would be given.
    ///
    /// Without this, a voter that was cut off would come back with a term that it raised alone, and
    /// its answers would depose a healthy leader: one would notice an election after each heal.
    pub(crate) fn campaign(&mut self) {
        self.rest();
        self.leader = None;
        let term = self.hard.term.saturating_add(1);
        let granted = BTreeSet::from([self.identity]);
        self.state = State::Candidate(Campaign { stage: Stage::PreVote, term, granted });
        let last = self.log.last();
        for voter in self.others() {
            let mut message =
                self.message(Some(voter.identity), Body::PreVote { last_position: last });
            message.term = term;
            self.hold(&voter.instance, message);
        }
        self.count();
    }

    /// Starts a term and asks for votes.
    pub(crate) fn stand(&mut self, transfer: bool) {
        self.hard.term = self.hard.term.saturating_add(1);
        self.hard.voted = Some(self.identity);
        self.unsaved = true;
        self.outbox.forget();
        self.receiving = None;
        self.leader = None;
        self.rest();
        self.save();
        let stage = Stage::Vote { mark: self.outbox.issued() };
        let term = self.hard.term;
        self.state = State::Candidate(Campaign { stage, term, granted: BTreeSet::new() });
        let last = self.log.last();
        for voter in self.others() {
            let message =
                self.message(Some(voter.identity), Body::Vote { last_position: last, transfer });
            self.hold(&voter.instance, message);
        }
    }

    /// Counts the own vote once it is durable.
    pub(crate) fn count_own_vote(&mut self) {
        let State::Candidate(campaign) = &mut self.state else { return };
        let Stage::Vote { mark } = campaign.stage else { return };
        if self.outbox.is_stored(mark) && campaign.granted.insert(self.identity) {
            self.count();
        }
    }

    /// Answers a pre-vote, which promises nothing.
    pub(crate) fn pre_vote(&mut self, from: &Instance, message: &Message, last: Position) {
        let newer = message.term > self.hard.term;
        let granted = newer && !self.is_loyal() && last >= self.log.last();
        let mut answer = self.message(Some(message.sender), Body::PreVoteResponse { granted });
        if granted {
            answer.term = message.term;
        }
        self.hold(from, answer);
    }

    /// Takes the answer to a pre-vote.
    pub(crate) fn pre_voted(&mut self, message: &Message, granted: bool) {
        if !granted {
            if message.term > self.hard.term {
                self.follow(message.term, None);
            }
            return;
        }
        self.grant(message, true);
    }

    /// Answers a vote.
    pub(crate) fn vote(
        &mut self,
        from: &Instance,
        message: &Message,
        last: Position,
        transfer: bool,
    ) {
        // The leader of the term just before has given up its lease and asked for this election.
        let asked = transfer && Some(message.term) == self.hard.term.checked_add(1);
        if self.is_loyal() && !asked {
            return;
        }
        if message.term > self.hard.term {
            self.follow(message.term, None);
        }
        let free = self.hard.voted.is_none_or(|voted| voted == message.sender);
        let granted = message.term == self.hard.term && free && last >= self.log.last();
        if granted {
            self.unsaved |= self.hard.voted.is_none();
            self.hard.voted = Some(message.sender);
            self.rest();
        }
        let answer = self.message(Some(message.sender), Body::VoteResponse { granted });
        self.hold(from, answer);
    }

    /// Takes the answer to a vote.
    pub(crate) fn voted(&mut self, message: &Message, granted: bool) {
        if message.term > self.hard.term {
            self.follow(message.term, None);
            return;
        }
        if granted {
            self.grant(message, false);
        }
    }

    /// Lists the other voters, each once.
    pub(crate) fn others(&self) -> Vec<Voter> {
        let members: BTreeSet<&Voter> = self.log.config().members().collect();
        members.into_iter().filter(|voter| voter.identity != self.identity).cloned().collect()
    }

    /// Tells whether votes are refused for the sake of a leader that may hold a lease.
    ///
    /// If a voter that acknowledged a heartbeat gave its vote to somebody else soon after, the old
    /// leader, cut off from the news, would still act under its lease: two leaders at one time.
    fn is_loyal(&self) -> bool {
        let election = self.setup.timing.election_timeout;
        self.is_leader() || self.heard.is_some_and(|heard| self.now < heard + election)
    }

    /// Counts a vote or pre-vote that was given.
    fn grant(&mut self, message: &Message, pre: bool) {
        let State::Candidate(campaign) = &mut self.state else { return };
        let stage = (campaign.stage == Stage::PreVote) == pre;
        if stage && message.term == campaign.term {
            campaign.granted.insert(message.sender);
            self.count();
        }
    }

    /// Goes on to the next stage when a quorum has granted this one.
    fn count(&mut self) {
        let State::Candidate(campaign) = &self.state else { return };
        let granted = |identity| u64::from(campaign.granted.contains(&identity));
        if self.log.config().quorum(granted) == 0 {
            return;
        }
        match campaign.stage {
            Stage::PreVote => self.stand(false),
            Stage::Vote { mark } if self.outbox.is_stored(mark) => self.lead(),
            Stage::Vote { .. } => {}
        }
    }

    /// Takes up leadership.
    fn lead(&mut self) {
        let last = self.log.last();
        let others = self.others();
        self.leader = Some(self.setup.instance.clone());
        self.state = State::Leader(Box::new(Leading::new(self.now, last.index + 1, others)));
        self.append_empty();
    }
}
