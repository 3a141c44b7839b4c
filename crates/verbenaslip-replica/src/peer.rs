//! What a leader knows about one follower.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::storage::Snapshot;
use crate::voter::Voter;

/// Holds the replication progress of one follower.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The follower.
    pub(crate) voter: Voter,
    /// The last index known to match the leader's log and to be stored by the follower.
    pub(crate) match_index: u64,
    /// The index of the next log entry to send.
    pub(crate) next_index: u64,
    /// The last round that the follower acknowledged.
    pub(crate) acknowledged_round: u64,
    /// When the follower last answered.
    pub(crate) last_heard: Option<Duration>,
    /// How log entries are sent to the follower.
    pub(crate) mode: ReplicationMode,
}

impl Peer {
    /// Returns the state of a follower whose log is not known. Probing starts before `next_index`.
    pub(crate) fn new(voter: Voter, next_index: u64) -> Self {
        let mode = ReplicationMode::Probe { waiting: false };
        Self { voter, match_index: 0, next_index, acknowledged_round: 0, last_heard: None, mode }
    }

    /// Records that the follower's log matches up to an index.
    pub(crate) fn record_match(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        if let ReplicationMode::Stream { in_flight } = &mut self.mode {
            in_flight.retain(|last| *last > match_index);
        }
    }

    /// Returns to probing, starting before `next_index`.
    pub(crate) fn start_probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.mode = ReplicationMode::Probe { waiting: false };
    }
}

/// Says how log entries are sent to a follower.
#[derive(Debug)]
pub(crate) enum ReplicationMode {
    /// Searches for the last matching position with one empty append at a time.
    Probe {
        /// Whether an answer is expected.
        waiting: bool,
    },
    /// Sends log entries without waiting for each answer.
    Stream {
        /// The last index of each append that has not been acknowledged.
        in_flight: VecDeque<u64>,
    },
    /// Sends a snapshot, one chunk at a time.
    Snapshot {
        /// The snapshot to send.
        snapshot: Arc<Snapshot>,
        /// The number of bytes that the follower has received.
        offset: u64,
        /// When the last chunk was sent, or `None` if the next chunk may be sent at once.
        sent_at: Option<Duration>,
    },
}
