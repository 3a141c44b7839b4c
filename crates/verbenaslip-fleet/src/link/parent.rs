//! Whom an instance reports to, and when it looks for another.

use std::net::SocketAddr;
use std::time::Duration;

use crate::link::{ALONE, Link, PATIENCE, SENT_AWAY, SETTLED};

impl Link {
    /// Reports to a leader that is known from elsewhere, such as the log.
    pub fn set_leader(&mut self, leader: SocketAddr, now: Duration) {
        if self.target != Some(leader) {
            self.target = Some(leader);
            self.is_parent = false;
            self.since = now;
            self.due = now;
        }
    }

    /// Reports to a core from now on.
    ///
    /// Cores that know different ones to choose from would send an entry back and forth between them.
    pub(crate) fn report_to(&mut self, now: Duration, core: SocketAddr) {
        if self.is_parent && now.saturating_sub(self.moved) < SETTLED {
            return;
        }
        self.moved = now;
        let before = self.target.replace(core).filter(|it| self.is_parent && *it != core);
        self.farewell = before.or(self.farewell);
        self.is_parent = true;
        self.since = now;
        self.due = now;
    }

    /// Takes the word of a core that it leads since a moment ago; it may have been asked just before.
    pub fn handle_new_leader(&mut self, now: Duration, leader: SocketAddr) {
        if self.target(now).is_none() || !self.is_parent {
            self.set_leader(leader, now);
            self.due = now;
        }
    }

    /// Takes the word of a core that it does not lead, and hears no reports.
    pub fn handle_redirect(
        &mut self,
        now: Duration,
        from: SocketAddr,
        leader: Option<SocketAddr>,
        cores: &[SocketAddr],
    ) {
        cores.iter().for_each(|core| self.meet(*core));
        if self.is_parent && self.target == Some(from) {
            self.lose_parent(now);
            self.due = now + SENT_AWAY;
        }
        let own = self.local_peer.address;
        if let Some(leader) = leader.filter(|leader| *leader != own && !self.is_parent) {
            self.set_leader(leader, now);
        }
    }

    /// Asks the leader for another core.
    pub(super) fn lose_parent(&mut self, now: Duration) {
        self.lost = self.target.map(|core| (core, now));
        self.is_parent = false;
        self.target = self.leading.filter(|leader| Some(*leader) != self.target);
        self.since = (now + ALONE).saturating_sub(PATIENCE);
        self.due = now;
    }
}
