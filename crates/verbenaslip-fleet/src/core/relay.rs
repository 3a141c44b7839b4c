//! How a core passes the leader's updates on to the entries near it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::{Core, Output, address_of};
use crate::frame::{Confirmation, Frame, Update};

/// How long the word of one instance waits for that of others: most come within a few milliseconds, and go to
/// the leader in one frame. A leaving is acknowledged later by as much.
const GATHER: Duration = Duration::from_millis(5);

impl Core {
    /// Passes an update on.
    pub(crate) fn relay(&mut self, to: Vec<SocketAddr>, mut update: Box<Update>) {
        update.via = Some(self.link.own().address);
        self.out.push(Output::Cast { to, frame: Frame::Update(update) });
    }

    /// Takes an instance's confirmation of an update.
    pub(crate) fn confirmed(&mut self, confirmation: Confirmation) {
        if self.leads() {
            return self.seen(&[confirmation]);
        }
        if self.confirmations.is_empty() {
            self.confirm_at = self.now + GATHER;
        }
        self.confirmations.push(confirmation);
    }

    /// Tells the leader who has confirmed the updates that this core has passed on.
    pub(crate) fn pass_confirmations(&mut self) {
        if self.now < self.confirm_at {
            return;
        }
        self.confirm_at = Duration::MAX;
        let confirmations = std::mem::take(&mut self.confirmations);
        if let Some(leader) = self.replica.leader().and_then(address_of) {
            self.send(leader, Frame::SeenBy(confirmations));
        }
    }
}
