//! What the log is made of.

use std::sync::Arc;

use verbenaslip_base::data;

use crate::config::Config;

/// Bytes that an entry costs on the wire and on disk beside its command, at most.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Places an entry; ordered as logs are compared in an election: by term, then by index.
#[data(copy, ord, hash, default)]
pub struct Position {
    /// The term of the leader that made it.
    pub term: u64,
    /// Its place in the log, from 1; zero is before the log.
    pub index: u64,
}

/// Holds one entry of the log.
#[data]
pub struct Entry {
    /// Where it stands.
    pub position: Position,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Returns about how many bytes the entry takes.
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

/// Holds what an entry carries.
#[data]
pub enum Payload {
    /// Nothing: a leader's first entry, by which earlier ones become committed.
    Empty,
    /// A command for the state machine, not looked into here.
    Command(Arc<[u8]>),
    /// A voter set, in force from the moment the entry is appended.
    Config(Config),
}
