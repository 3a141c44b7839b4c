//! What a replica wants done.

use std::sync::Arc;

use displaydoc::Display;
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::entry::Position;
use crate::message::Message;
use crate::storage::{Snapshot, Write};
use crate::voter::Voter;

/// Asks the driver to do something; outputs are taken in order.
#[data]
pub enum Output {
    /// Sends a message; it may be lost, late, doubled or out of order.
    Send {
        /// The instance.
        to: Instance,
        /// The message.
        message: Message,
    },
    /// Writes and syncs; then the mark is given back as `Input::Stored`.
    Store {
        /// Rises by one with each write.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// Applies a committed command; positions come in order, each index once, some indices carry
    /// no command.
    Apply {
        /// The entry's place.
        position: Position,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Replaces the state machine's state.
    Install(Arc<Snapshot>),
    /// Answers a proposal or change.
    Answer {
        /// The proposal's token.
        token: u64,
        /// What became of it.
        answer: Answer,
    },
    /// Answers a confirmation: this was the leader after the question.
    ReadIndex {
        /// The question's token.
        token: u64,
        /// Reads are current once everything up to this index is applied.
        index: u64,
    },
    /// Answers a confirmation: this is not, or no longer, the leader.
    ReadRejected {
        /// The question's token.
        token: u64,
        /// The leader, where known.
        leader: Option<Instance>,
    },
    /// Tells that the role, the term or the known leader has changed.
    RoleChanged(RoleUpdate),
    /// Asks for the state at this applied index or later, so that the log can be compacted.
    RequestSnapshot {
        /// The index.
        index: u64,
    },
    /// Tells that a voter's instance now runs another folder; it should be replaced by this one.
    IdentityChanged(Voter),
}

/// Says what became of a proposal.
#[data]
pub enum Answer {
    /// It is committed and stays so.
    Committed(Position),
    /// It was not taken and will never be committed.
    Rejected(Rejection),
    /// It may or may not become committed: the leadership was lost meanwhile.
    Unknown,
}

/// Says why a proposal was not taken.
#[derive(Display)]
#[data]
pub enum Rejection {
    /// this voter is not the leader (ask the leader)
    NotLeader {
        /// The leader, where known.
        leader: Option<Instance>,
    },
    /// the leader is handing over (ask again in a moment)
    TransferInProgress,
    /// the command has {size} bytes, {limit} are allowed (split it)
    TooLarge {
        /// Its bytes.
        size: u64,
        /// The most allowed.
        limit: u64,
    },
    /// {pending} proposals wait for a quorum (ask again in a moment)
    Busy {
        /// The proposals that wait.
        pending: u64,
    },
    /// another change of the voter set is under way (ask again when it has ended)
    ChangeInProgress,
    /// the change does not fit the voter set: unknown voter, taken instance, or 1 to 7 voters passed
    InvalidChange,
    /// the new voter did not catch up, or no quorum of the new set answered (check that its voters run and can be reached)
    CatchUpFailed,
}

/// Says what a replica is.
#[data]
pub struct RoleUpdate {
    /// The term.
    pub term: u64,
    /// The leader, where known; also this replica itself.
    pub leader: Option<Instance>,
    /// What this replica is.
    pub role: ReplicaRole,
}

/// Names what a replica does in its term.
#[data(copy, ord, hash)]
pub enum ReplicaRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Was elected, and has not yet committed an entry of its term and held a lease.
    Elected,
    /// Leads: its first lease has begun, and its commit index covers everything committed before.
    Leader,
}
