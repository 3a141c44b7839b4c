//! What happens to a replica.

use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::config::Change;
use crate::message::Message;

/// Tells a replica what happened.
#[data]
pub enum Input {
    /// Time has passed; due at [`crate::Replica::wake`].
    Tick,
    /// A message came.
    Message {
        /// The instance that sent it.
        from: Instance,
        /// The message.
        message: Message,
    },
    /// Proposes a command; answered once, with the token.
    Propose {
        /// Chosen by the proposer, unique among its open proposals and changes.
        token: u64,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Asks up to which index the state must be applied so that a read misses nothing committed
    /// before this call; answered once, with the token.
    ReadIndex {
        /// Chosen by the reader, unique among its open confirmations.
        token: u64,
    },
    /// All writes up to a mark are durable.
    Stored {
        /// The mark of the last one.
        sequence: u64,
    },
    /// The state machine gives its state, as asked for by `RequestSnapshot`.
    Snapshot {
        /// The last applied index that it covers.
        index: u64,
        /// The state.
        state: Arc<[u8]>,
    },
    /// This replica will stop: it hands leadership over if it has it.
    TransferLeadership,
    /// Asks for another voter set; answered once, with the token.
    ChangeVoters {
        /// Chosen by the proposer, unique among its open proposals and changes.
        token: u64,
        /// The change.
        change: Change,
    },
}
