//! Log entries.

use std::sync::Arc;

use verbenaslip_base::data;

use crate::config::Config;

/// The maximum size of a log entry on the wire and on disk in addition to its command, in bytes.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 48;

/// The position of a log entry. Positions are ordered by term, then by index, as an election
/// compares logs.
#[data(copy, ord, hash, default)]
pub struct Position {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The index in the log, starting at 1; zero is the position before the first entry.
    pub index: u64,
}

/// Holds one log entry.
#[data]
pub struct Entry {
    /// The position of the entry.
    pub position: Position,
    /// The content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry, in bytes.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Empty => ENTRY_OVERHEAD_BYTES,
            Payload::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
            Payload::Config(config) => {
                ENTRY_OVERHEAD_BYTES
                    + config
                        .members()
                        .map(|v| ENTRY_OVERHEAD_BYTES + v.instance.as_str().len())
                        .sum::<usize>()
            }
        }
    }
}

/// Holds the content of a log entry.
#[data]
pub enum Payload {
    /// Nothing. A new leader appends such an entry to commit the entries before it.
    Empty,
    /// A command for the state machine, which this crate does not interpret.
    Command(Arc<[u8]>),
    /// A voter set, in force as soon as the entry is appended.
    Config(Config),
}
