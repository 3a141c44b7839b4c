//! Handing leadership over before a planned stop.

use std::time::Duration;

use crate::message::{Body, Message};
use crate::replica::{Replica, State};
use crate::voter::Identity;

/// Holds a handing over that is under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    until: Duration,
    /// Whether a follower has been told to campaign.
    asked: bool,
}

impl Transfer {
    /// Returns when it is given up.
    pub(crate) fn until(&self) -> Duration {
        self.until
    }
}

impl Replica {
    /// Begins to hand leadership over, if there is somebody else.
    pub(crate) fn transfer(&mut self) {
        let until = self.now + self.setup.timing.election_timeout * 2;
        let alone = self.others().is_empty();
        let State::Leader(leading) = &mut self.state else { return };
        if !alone && leading.transfer.is_none() {
            leading.transfer = Some(Transfer { until, asked: false });
        }
    }

    /// Gives up a handing over that takes too long.
    pub(crate) fn tick_transfer(&mut self) {
        let State::Leader(leading) = &mut self.state else { return };
        let Some(transfer) = leading.transfer.take_if(|transfer| self.now >= transfer.until) else {
            return;
        };
        // Once asked, a follower may be elected at any later time, so leading on would mean a
        // leader without a lease for good. A new election ends that.
        if transfer.asked {
            self.follow(self.hard.term, None);
        }
    }

    /// Tells a follower to campaign once nothing is left to replicate.
    pub(crate) fn advance_transfer(&mut self) {
        let State::Leader(leading) = &self.state else { return };
        let due = leading.transfer.as_ref().is_some_and(|transfer| !transfer.asked);
        if due && self.commit == self.log.last().index {
            self.hand_over();
        }
    }

    /// Takes the request to campaign at once.
    pub(crate) fn asked_to_campaign(&mut self, message: &Message) {
        if message.term == self.hard.term && !self.is_leader() && self.may_campaign() {
            self.stand(true);
        }
    }

    /// Gives up the lease and tells the best follower to campaign.
    pub(crate) fn hand_over(&mut self) {
        let Some(best) = self.successor() else { return };
        let State::Leader(leading) = &mut self.state else { return };
        // The follower's election passes over the refusal of votes that protects the lease, and
        // this leader may not hear of it. So the lease ends here, before the request leaves.
        leading.lease = false;
        if let Some(transfer) = &mut leading.transfer {
            transfer.asked = true;
        }
        let Some(peer) = leading.peers.remove(&best) else { return };
        self.send_to(&peer, Body::Campaign);
        let State::Leader(leading) = &mut self.state else { return };
        leading.peers.insert(best, peer);
    }

    /// Picks a voter that holds the whole log and answered lately, the last heard first.
    fn successor(&self) -> Option<Identity> {
        let State::Leader(leading) = &self.state else { return None };
        let (last, config) = (self.log.last().index, self.log.config());
        leading
            .peers
            .values()
            .filter(|peer| config.voters.contains(&peer.voter) && peer.matched == last)
            .max_by_key(|peer| peer.heard)
            .map(|peer| peer.voter.identity)
    }
}
