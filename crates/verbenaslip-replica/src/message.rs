//! Messages between replicas. The limits in the setup bound the size of every message.

use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::entry::{Entry, Position};
use crate::voter::{Group, Identity};

/// A message between two replicas.
#[data]
pub struct Message {
    /// The sender's group, or `None` before the sender has one.
    pub group: Option<Group>,
    /// The identity of the sender's data directory.
    pub sender: Identity,
    /// The identity that the message is for. Another data directory on the same instance must
    /// ignore it.
    pub target: Option<Identity>,
    /// The sender's term; for a pre-vote and its grant, the requested term.
    pub term: u64,
    /// The content of the message.
    pub body: Body,
}

impl Message {
    /// Returns the approximate size of the message, in bytes.
    pub fn size(&self) -> usize {
        /// The bytes of the envelope and the fixed fields.
        const FIXED: usize = 96;
        match &self.body {
            Body::Append { entries, .. } => FIXED + entries.iter().map(Entry::size).sum::<usize>(),
            Body::SnapshotChunk { bytes, .. } => FIXED + bytes.len(),
            _ => FIXED,
        }
    }
}

/// The content of a message.
#[data]
pub enum Body {
    /// Asks whether a vote would be granted, without starting a term.
    PreVote {
        /// The position of the sender's last log entry.
        last_position: Position,
    },
    /// Answers a pre-vote.
    PreVoteResponse {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The position of the sender's last log entry.
        last_position: Position,
        /// Whether the previous term's leader has given up its lease and requested this election.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Sends log entries; without entries, the message is a heartbeat.
    Append {
        /// The position before the first sent entry.
        previous: Position,
        /// The log entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: u64,
        /// The number of the leader's round.
        round: u64,
    },
    /// Acknowledges an append.
    AppendResponse {
        /// The last index known to match the leader's log and to be stored.
        match_index: u64,
        /// The number of the round that is answered.
        round: u64,
    },
    /// Rejects an append whose previous position is not in the log.
    AppendConflict {
        /// The index that is missing or has another term.
        previous_index: u64,
        /// The last position that may match the leader's log.
        hint: Position,
        /// The number of the round that is answered.
        round: u64,
    },
    /// Sends a part of a snapshot.
    SnapshotChunk {
        /// The description of the whole snapshot.
        header: SnapshotHeader,
        /// The offset of the part in the snapshot, in bytes.
        offset: u64,
        /// The bytes of the part.
        bytes: Arc<[u8]>,
        /// The number of the leader's round.
        round: u64,
    },
    /// Acknowledges a part of a snapshot.
    SnapshotChunkResponse {
        /// The position that the snapshot covers.
        position: Position,
        /// The number of bytes received so far, counted from the start of the snapshot.
        received_bytes: u64,
        /// The number of the round that is answered.
        round: u64,
    },
    /// Tells a follower to campaign at once, because the leader transfers its leadership.
    Campaign,
    /// Asks another founder whether its data directory is new.
    FoundingQuery,
    /// Answers that the data directory is new.
    FoundingResponse,
    /// Answers that the instance has another data directory than the addressed one.
    IdentityChanged,
    /// Tells the founder that forms the group, whose data directory is new, who the founders are.
    Founders(Vec<Instance>),
}

/// Describes a snapshot that is sent in chunks.
#[data]
pub struct SnapshotHeader {
    /// The position of the last log entry that the snapshot covers.
    pub position: Position,
    /// The voter set in force at that position.
    pub config: Config,
    /// The size of the snapshot, in bytes.
    pub total_bytes: u64,
}
