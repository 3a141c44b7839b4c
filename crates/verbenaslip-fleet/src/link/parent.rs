//! Choice of the instance that heartbeats go to.

use std::net::SocketAddr;
use std::time::Duration;

use crate::link::{LEADER_ONLY_TIME, LEADER_TIMEOUT, Link, MIN_PARENT_TIME, REDIRECT_DELAY};

impl Link {
    /// Sends heartbeats to a leader that is known from elsewhere, such as the log.
    pub fn set_leader(&mut self, leader: SocketAddr, now: Duration) {
        if self.target != Some(leader) {
            self.target = Some(leader);
            self.target_is_parent = false;
            self.last_contact = now;
            self.next_report = now;
        }
    }

    /// Starts to report to an assigned parent core.
    ///
    /// Assignments within [`MIN_PARENT_TIME`] of the last one are ignored. Otherwise cores with
    /// different lists of parent cores could send an entry back and forth.
    pub(crate) fn handle_report_to(&mut self, now: Duration, core: SocketAddr) {
        if self.target_is_parent && now.saturating_sub(self.assigned_at) < MIN_PARENT_TIME {
            return;
        }
        self.assigned_at = now;
        let previous =
            self.target.replace(core).filter(|previous| self.target_is_parent && *previous != core);
        self.previous_parent = previous.or(self.previous_parent);
        self.target_is_parent = true;
        self.last_contact = now;
        self.next_report = now;
    }

    /// Handles a new leader's notice, which may answer a question that this instance asked just
    /// before.
    pub fn handle_new_leader(&mut self, now: Duration, leader: SocketAddr) {
        if self.reachable_target(now).is_none() || !self.target_is_parent {
            self.set_leader(leader, now);
            self.next_report = now;
        }
    }

    /// Handles a redirect from a core that does not accept heartbeats.
    pub fn handle_redirect(
        &mut self,
        now: Duration,
        from: SocketAddr,
        leader: Option<SocketAddr>,
        cores: &[SocketAddr],
    ) {
        cores.iter().for_each(|core| self.learn_core(*core));
        if self.target_is_parent && self.target == Some(from) {
            self.abandon_parent(now);
            self.next_report = now + REDIRECT_DELAY;
        }
        let own_address = self.local_peer.address;
        if let Some(leader) =
            leader.filter(|leader| *leader != own_address && !self.target_is_parent)
        {
            self.set_leader(leader, now);
        }
    }

    /// Abandons the parent core and asks the leader for another one.
    pub(super) fn abandon_parent(&mut self, now: Duration) {
        self.lost_parent = self.target.map(|core| (core, now));
        self.target_is_parent = false;
        self.target = self.last_leader.filter(|leader| Some(*leader) != self.target);
        self.last_contact = (now + LEADER_ONLY_TIME).saturating_sub(LEADER_TIMEOUT);
        self.next_report = now;
    }
}
