//! What a leader knows of one follower.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::storage::Snapshot;
use crate::voter::Voter;

/// Holds the progress of one follower.
#[derive(Debug)]
pub(crate) struct Peer {
    /// Who it is.
    pub(crate) voter: Voter,
    /// The last index known to be equal and stored there.
    pub(crate) matched: u64,
    /// The next index to send.
    pub(crate) next: u64,
    /// The last round that it acknowledged.
    pub(crate) round: u64,
    /// When it last answered.
    pub(crate) heard: Option<Duration>,
    /// How entries go to it.
    pub(crate) flow: Flow,
}

impl Peer {
    /// Starts with a follower of unknown state, probed at the end of the log.
    pub(crate) fn new(voter: Voter, next: u64) -> Self {
        let flow = Flow::Probe { waiting: false };
        Self { voter, matched: 0, next, round: 0, heard: None, flow }
    }

    /// Takes an acknowledgement of entries up to an index.
    pub(crate) fn matches(&mut self, matched: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        if let Flow::Stream { flight } = &mut self.flow {
            flight.retain(|last| *last > matched);
        }
    }

    /// Falls back to probing from an index.
    pub(crate) fn probe(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.flow = Flow::Probe { waiting: false };
    }
}

/// Says how entries go to a follower.
#[derive(Debug)]
pub(crate) enum Flow {
    /// Looks for the place where the logs meet, one empty append at a time.
    Probe {
        /// Whether an answer is awaited.
        waiting: bool,
    },
    /// Sends entries without waiting for each answer.
    Stream {
        /// The last index of each append that is on the way.
        flight: VecDeque<u64>,
    },
    /// Sends a snapshot, one chunk at a time.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// How much of it has arrived.
        offset: u64,
        /// When the last chunk was sent; none before the next one may go.
        sent: Option<Duration>,
    },
}
