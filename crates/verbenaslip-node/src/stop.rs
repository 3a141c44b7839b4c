//! The planned stop of an instance.
//!
//! New work is refused at once, what runs ends or is handed over, a leader hands over the log, and
//! only then does the instance leave the membership. So nothing in progress is cut off, and nobody
//! waits for an election.

use std::time::Duration;

use verbenaslip_gossip as gossip;
use verbenaslip_replica::input as log;
use verbenaslip_request::input as request;

use crate::node::{Node, Pending};
use crate::output::Output;

/// Between two tries to hand over the log.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(200);

/// How long a leader tries to hand over the log after its requests are done.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Holds how far a stop has got.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopProgress {
    /// When the log is handed over next.
    next_transfer: Duration,
    /// When the requests were done.
    idle_since: Option<Duration>,
    /// Whether the instance has left.
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

    /// Goes on with a stop.
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

    /// Says whether there is a log to hand over, and another voter to take it.
    ///
    /// A voter alone that waited for a successor would hold each planned stop up for the whole
    /// patience, which shows as a restart of a small deployment that takes seconds without work.
    fn can_transfer_leadership(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| {
            let replica = voter.replica();
            let own = replica.identity();
            replica.is_leader() && replica.voters().members().any(|voter| voter.identity != own)
        })
    }
}
