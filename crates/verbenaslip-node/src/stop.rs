//! The planned stop of an instance.
//!
//! New work is refused at once. Running requests end or are handed over, a leader transfers its
//! leadership, and only then does the instance leave the membership. Therefore no request in
//! progress is interrupted, and no instance has to wait for an election.

use std::time::Duration;

use verbenaslip_gossip as gossip;
use verbenaslip_replica::input as log;
use verbenaslip_request::input as request;

use crate::node::{Node, Pending};
use crate::output::Output;

/// Interval between two attempts to transfer the leadership.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a leader tries to transfer its leadership after its requests have ended.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Holds the progress of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopProgress {
    /// Time of the next attempt to transfer the leadership.
    next_transfer: Duration,
    /// Time at which the last request ended.
    idle_since: Option<Duration>,
    /// Whether the instance has left the membership.
    has_left: bool,
}

impl Node {
    pub(crate) fn begin_stop(&mut self, remaining: Duration) {
        if self.stop.is_none() {
            self.stop =
                Some(StopProgress { next_transfer: self.now, idle_since: None, has_left: false });
            self.enqueue(Pending::Gossip(gossip::Input::Leave));
        }
        self.enqueue(Pending::Request(request::Input::Stop { remaining }));
    }

    pub(crate) fn requests_drained(&mut self) {
        let now = self.now;
        if let Some(stop) = &mut self.stop {
            stop.idle_since.get_or_insert(now);
        }
    }

    /// Advances a planned stop.
    pub(crate) fn advance_stop(&mut self) {
        let Some(mut stop) = self.stop else { return };
        let leads = self.can_transfer_leadership();
        if leads && self.now >= stop.next_transfer {
            stop.next_transfer = self.now + TRANSFER_INTERVAL;
            self.enqueue(Pending::Log(log::Input::TransferLeadership));
        }
        let handed =
            stop.idle_since.is_some_and(|idle| !leads || self.now >= idle + TRANSFER_TIMEOUT);
        let settled = self.proposals.len() == 0;
        let waited = stop.idle_since.is_some_and(|idle| self.now >= idle + TRANSFER_TIMEOUT);
        if handed && (settled || waited) && !stop.has_left {
            stop.has_left = true;
            self.enqueue(Pending::Gossip(gossip::Input::Stop));
            self.out.push(Output::Stopped);
        }
        self.stop = Some(stop);
    }

    /// Returns whether this instance leads the log and another voter can take over.
    ///
    /// A single voter that waited for a successor would delay each planned stop by the whole
    /// timeout, so restarting a small deployment would take seconds even without any requests.
    fn can_transfer_leadership(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| {
            let replica = voter.replica();
            let own = replica.identity();
            replica.is_leader() && replica.voters().members().any(|voter| voter.identity != own)
        })
    }
}
