//! What replicas say to each other. Every message is bounded by the sizes in the setup.

use std::sync::Arc;

use verbenaslip_base::data;

use crate::config::Config;
use crate::entry::{Entry, Position};
use crate::voter::{Group, Identity};

/// Carries one message between two folders.
#[data]
pub struct Message {
    /// The sender's group, none before it has one.
    pub group: Option<Group>,
    /// The sender's folder.
    pub sender: Identity,
    /// The folder that is meant; another one at the same instance must not act on it.
    pub target: Option<Identity>,
    /// The sender's term; for a pre-vote and its grant, the term that is asked for.
    pub term: u64,
    /// What is said.
    pub body: Body,
}

impl Message {
    /// Returns about how many bytes the message takes.
    pub fn size(&self) -> usize {
        /// Bytes of the envelope and the fixed fields.
        const FIXED: usize = 96;
        match &self.body {
            Body::Append { entries, .. } => FIXED + entries.iter().map(Entry::size).sum::<usize>(),
            Body::SnapshotChunk { bytes, .. } => FIXED + bytes.len(),
            _ => FIXED,
        }
    }
}

/// Holds what is said.
#[data]
pub enum Body {
    /// Asks whether a vote would be given, without starting a term.
    PreVote {
        /// The sender's last entry.
        last_position: Position,
    },
    /// Answers a pre-vote.
    PreVoteResponse {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The sender's last entry.
        last_position: Position,
        /// Whether the leader of the term before asked for this election, having given up its lease.
        transfer: bool,
    },
    /// Answers a vote.
    VoteResponse {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Adds entries; without entries it is a heartbeat.
    Append {
        /// The entry before the first one.
        previous: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: u64,
        /// The leader's round.
        round: u64,
    },
    /// Answers an append: everything up to an index is stored.
    AppendResponse {
        /// The last index known to be equal and stored.
        match_index: u64,
        /// The round that is answered.
        round: u64,
    },
    /// Answers an append that does not follow the log.
    AppendConflict {
        /// The index that was not there, or was of another term.
        previous_index: u64,
        /// The last position that might be equal.
        hint: Position,
        /// The round that is answered.
        round: u64,
    },
    /// Carries a part of a snapshot.
    SnapshotChunk {
        /// What the whole snapshot is.
        header: SnapshotHeader,
        /// Where the part begins.
        offset: u64,
        /// The part.
        bytes: Arc<[u8]>,
        /// The leader's round.
        round: u64,
    },
    /// Answers a part of a snapshot.
    SnapshotChunkResponse {
        /// The snapshot.
        position: Position,
        /// How many bytes of it have been received from its start.
        received_bytes: u64,
        /// The round that is answered.
        round: u64,
    },
    /// Tells a follower to campaign at once, since the leader is stopping.
    Campaign,
    /// Asks another founder whether its folder is new.
    FoundingQuery,
    /// Answers that the folder is new.
    FoundingResponse,
    /// Answers that another folder is here now than the one that was meant.
    IdentityChanged,
}

/// Describes a snapshot that comes in chunks.
#[data]
pub struct SnapshotHeader {
    /// The last entry that it covers.
    pub position: Position,
    /// The voter set in force there.
    pub config: Config,
    /// Its bytes.
    pub total_bytes: u64,
}
