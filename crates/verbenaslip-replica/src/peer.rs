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
    pub(crate) match_index: u64,
    /// The next index to send.
    pub(crate) next_index: u64,
    /// The last round that it acknowledged.
    pub(crate) acknowledged_round: u64,
    /// When it last answered.
    pub(crate) last_heard: Option<Duration>,
    /// How entries go to it.
    pub(crate) mode: ReplicationMode,
}

impl Peer {
    /// Starts with a follower of unknown state, probed at the end of the log.
    pub(crate) fn new(voter: Voter, next: u64) -> Self {
        let flow = ReplicationMode::Probe { waiting: false };
        Self {
            voter,
            match_index: 0,
            next_index: next,
            acknowledged_round: 0,
            last_heard: None,
            mode: flow,
        }
    }

    /// Takes an acknowledgement of entries up to an index.
    pub(crate) fn record_match(&mut self, matched: u64) {
        self.match_index = self.match_index.max(matched);
        self.next_index = self.next_index.max(self.match_index + 1);
        if let ReplicationMode::Stream { in_flight: flight } = &mut self.mode {
            flight.retain(|last| *last > matched);
        }
    }

    /// Falls back to probing from an index.
    pub(crate) fn start_probe(&mut self, next: u64) {
        self.next_index = next.max(self.match_index + 1);
        self.mode = ReplicationMode::Probe { waiting: false };
    }
}

/// Says how entries go to a follower.
#[derive(Debug)]
pub(crate) enum ReplicationMode {
    /// Looks for the place where the logs meet, one empty append at a time.
    Probe {
        /// Whether an answer is awaited.
        waiting: bool,
    },
    /// Sends entries without waiting for each answer.
    Stream {
        /// The last index of each append that is on the way.
        in_flight: VecDeque<u64>,
    },
    /// Sends a snapshot, one chunk at a time.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// How much of it has arrived.
        offset: u64,
        /// When the last chunk was sent; none before the next one may go.
        sent_at: Option<Duration>,
    },
}
