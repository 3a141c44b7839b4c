//! Inputs of a replica.

use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::config::Change;
use crate::message::Message;

/// Tells a replica about an event or a request.
#[data]
pub enum Input {
    /// Time has passed; due at [`crate::Replica::next_tick`].
    Tick,
    /// A message was received.
    Message {
        /// The instance that sent it.
        from: Instance,
        /// The message.
        message: Message,
    },
    /// Proposes a command. There is one answer, with the same token.
    Propose {
        /// Chosen by the proposer; unique among its pending proposals and changes.
        token: u64,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Requests the index up to which the state must be applied so that a read includes everything
    /// committed before this request. There is one answer, with the same token.
    ReadIndex {
        /// Chosen by the reader; unique among its pending reads.
        token: u64,
    },
    /// All writes up to a sequence number are durable.
    Stored {
        /// The sequence number of the last durable write.
        sequence: u64,
    },
    /// The state machine's state, in answer to `RequestSnapshot`.
    Snapshot {
        /// The last applied index that the state covers.
        index: u64,
        /// The encoded state.
        state: Arc<[u8]>,
    },
    /// This replica is about to stop and must transfer its leadership, if it is the leader.
    TransferLeadership,
    /// Requests a change of the voter set. There is one answer, with the same token.
    ChangeVoters {
        /// Chosen by the proposer; unique among its pending proposals and changes.
        token: u64,
        /// The change.
        change: Change,
    },
}
