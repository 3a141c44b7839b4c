//! Outputs of a replica.

use std::sync::Arc;

use displaydoc::Display;
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::entry::Position;
use crate::message::Message;
use crate::storage::{Snapshot, Write};
use crate::voter::Voter;

/// An action for the driver. The driver must take the outputs in order.
#[data]
pub enum Output {
    /// Sends a message. The network may lose, delay, duplicate or reorder it.
    Send {
        /// The receiving instance.
        to: Instance,
        /// The message.
        message: Message,
    },
    /// Writes and syncs. Afterwards the driver passes the sequence number to `Input::WriteDurable`.
    Store {
        /// The sequence number of the write, which increases by one with each write.
        sequence: u64,
        /// The write.
        write: Write,
    },
    /// Applies a committed command. Positions are in order and each index occurs at most once;
    /// entries without a command are skipped.
    Apply {
        /// The position of the log entry.
        position: Position,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Replaces the state of the state machine by a snapshot.
    Install(Arc<Snapshot>),
    /// Answers a proposal or a voter change.
    Answer {
        /// The token of the request.
        token: u64,
        /// The outcome.
        answer: Answer,
    },
    /// Answers a read: this replica was still the leader after the request.
    ReadIndex {
        /// The token of the request.
        token: u64,
        /// The index up to which the state must be applied before the read.
        index: u64,
    },
    /// Answers a read: this replica is not the leader, or no longer.
    ReadRejected {
        /// The token of the request.
        token: u64,
        /// The leader, if known.
        leader: Option<Instance>,
    },
    /// Reports that the role, the term or the known leader has changed.
    RoleChanged(RoleUpdate),
    /// Requests the state at this applied index or a later one, so that the log can be compacted.
    RequestSnapshot {
        /// The applied index.
        index: u64,
    },
    /// Reports that a voter's instance now has another data directory. The given voter should
    /// replace it.
    IdentityChanged(Voter),
}

/// The outcome of a proposal or a voter change.
#[data]
pub enum Answer {
    /// It is committed at this position, permanently.
    Committed(Position),
    /// It was not accepted and will never be committed.
    Rejected(Rejection),
    /// It may or may not be committed, because this replica lost its leadership.
    Unknown,
}

/// The reason for which a proposal or a voter change was not accepted.
#[derive(Display)]
#[data]
pub enum Rejection {
    /// this voter is not the leader (ask the leader)
    NotLeader {
        /// The leader, if known.
        leader: Option<Instance>,
    },
    /// the leader is handing over (ask again in a moment)
    TransferInProgress,
    /// the command has {size} bytes, {limit} are allowed (split it)
    TooLarge {
        /// The size of the command, in bytes.
        size: u64,
        /// The maximum size, in bytes.
        limit: u64,
    },
    /// {pending} proposals wait for a quorum (ask again in a moment)
    Busy {
        /// The number of pending proposals.
        pending: u64,
    },
    /// another change of the voter set is under way (ask again when it has ended)
    ChangeInProgress,
    /// the change does not fit the voter set: unknown voter, taken instance, or 1 to 7 voters passed
    InvalidChange,
    /// the new voter did not catch up, or no quorum of the new set answered (check that its voters run and can be reached)
    CatchUpFailed,
}

/// The term, the leader and the role of a replica.
#[data]
pub struct RoleUpdate {
    /// The current term.
    pub term: u64,
    /// The leader, if known; may be this replica.
    pub leader: Option<Instance>,
    /// The role of this replica.
    pub role: ReplicaRole,
}

/// The role of a replica in its term.
#[data(copy, ord, hash)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for pre-votes or votes.
    Candidate,
    /// Was elected, but has not both held a lease and committed a log entry of its term yet.
    Elected,
    /// Is the leader: it has held a lease, and its commit index covers everything committed before.
    Leader,
}
