//! Leadership transfer before a planned stop.

use std::time::Duration;

use crate::message::{Body, Message};
use crate::replica::{Replica, State};
use crate::voter::Identity;

/// Holds a leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    deadline: Duration,
    /// Whether a follower has been told to campaign.
    campaign_sent: bool,
}

impl Transfer {
    /// Returns when the transfer is given up.
    pub(crate) fn deadline(&self) -> Duration {
        self.deadline
    }
}

impl Replica {
    /// Starts a leadership transfer if there is another voter.
    pub(crate) fn transfer_leadership(&mut self) {
        let deadline = self.now + self.setup.timing.election_timeout * 2;
        let is_only_voter = self.other_voters().is_empty();
        let State::Leader(leader_state) = &mut self.state else { return };
        if !is_only_voter && leader_state.transfer.is_none() {
            leader_state.transfer = Some(Transfer { deadline, campaign_sent: false });
        }
    }

    /// Gives up a transfer that takes too long.
    pub(crate) fn tick_transfer(&mut self) {
        let State::Leader(leader_state) = &mut self.state else { return };
        let Some(transfer) =
            leader_state.transfer.take_if(|transfer| self.now >= transfer.deadline)
        else {
            return;
        };
        // Once it was told to campaign, a follower can be elected at any later time, so this leader
        // can never hold a lease again. Stepping down lets a new election end that state.
        if transfer.campaign_sent {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Tells a follower to campaign once everything is committed.
    pub(crate) fn advance_transfer(&mut self) {
        let State::Leader(leader_state) = &self.state else { return };
        let is_unsent =
            leader_state.transfer.as_ref().is_some_and(|transfer| !transfer.campaign_sent);
        if is_unsent && self.commit_index == self.log.last().index {
            self.transfer_to_successor();
        }
    }

    /// Handles the request to campaign at once.
    pub(crate) fn handle_campaign(&mut self, message: &Message) {
        if message.term == self.hard_state.term && !self.is_leader() && self.may_campaign() {
            self.start_election(true);
        }
    }

    /// Gives up the lease and tells the best follower to campaign.
    pub(crate) fn transfer_to_successor(&mut self) {
        let Some(best) = self.successor() else { return };
        let State::Leader(leader_state) = &mut self.state else { return };
        // Voters grant votes in this election even while they would refuse them to protect the
        // lease, and this leader may not learn of it. So the lease must end before the request is
        // sent.
        leader_state.may_hold_lease = false;
        if let Some(transfer) = &mut leader_state.transfer {
            transfer.campaign_sent = true;
        }
        let Some(peer) = leader_state.peers.remove(&best) else { return };
        self.send_to(&peer, Body::Campaign);
        let State::Leader(leader_state) = &mut self.state else { return };
        leader_state.peers.insert(best, peer);
    }

    /// Returns the voter that stores the whole log and was heard last, if there is one.
    fn successor(&self) -> Option<Identity> {
        let State::Leader(leader_state) = &self.state else { return None };
        let (last, config) = (self.log.last().index, self.log.config());
        leader_state
            .peers
            .values()
            .filter(|peer| config.voters.contains(&peer.voter) && peer.match_index == last)
            .max_by_key(|peer| peer.last_heard)
            .map(|peer| peer.voter.identity)
    }
}
