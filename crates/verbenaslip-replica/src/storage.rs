//! The interface to storage that survives a restart.

use std::sync::Arc;

use displaydoc::Display;
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::entry::{Entry, Position};
use crate::voter::{Group, Identity};

/// Stores a replica's writes; owned by a single thread.
pub trait Storage: Send {
    /// Reads everything in the storage.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage can't be read or is damaged.
    fn load(&mut self) -> Result<Recovered, Error>;

    /// Accepts writes in order. They need not be durable before [`Storage::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error when a write fails. The storage then accepts no more writes, and the voter
    /// acknowledges nothing until the storage is opened again.
    fn write(&mut self, writes: &[Write]) -> Result<(), Error>;

    /// Makes all accepted writes durable. Only then may their sequence numbers be reported as
    /// stored.
    ///
    /// # Errors
    ///
    /// Returns an error when the writes may not be durable. The storage then accepts no more
    /// writes.
    fn sync(&mut self) -> Result<(), Error>;
}

/// A change of the stored data.
#[data]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends log entries that directly follow the last stored one.
    Append(Vec<Entry>),
    /// Removes the entry at `from` and all after it. A power loss may leave some of them; the
    /// leader's term is durable by then, and the leader truncates the rest again.
    Truncate {
        /// The first index to remove.
        from: u64,
    },
    /// Stores a snapshot of this replica's state. Log entries before `first` may then be dropped.
    Compact {
        /// The snapshot to store.
        snapshot: Arc<Snapshot>,
        /// The first index that must be kept.
        first: u64,
    },
    /// Stores a snapshot received from the leader, and removes all log entries.
    Install(Arc<Snapshot>),
}

/// Holds the state that must be durable before a vote or an acknowledgement is sent.
#[data(copy, default)]
pub struct HardState {
    /// The group, or `None` before the first contact with one.
    pub group: Option<Group>,
    /// The latest known term.
    pub term: u64,
    /// The candidate that this voter voted for in that term.
    pub voted: Option<Identity>,
}

/// Holds the state of the state machine up to a position.
#[data]
pub struct Snapshot {
    /// The position of the last log entry that the state covers.
    pub position: Position,
    /// The voter set in force at that position.
    pub config: Config,
    /// The encoded state, which this crate does not interpret.
    pub state: Arc<[u8]>,
}

/// Holds the content of a data directory when it was opened.
#[data]
pub struct Recovered {
    /// The identity of the data directory.
    pub identity: Identity,
    /// The instances that form the group, if this is the directory of one of them.
    pub founders: Vec<Instance>,
    /// The term, vote and group.
    pub hard_state: HardState,
    /// The newest complete snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The stored log entries, without gaps. They may start before the end of the snapshot.
    pub entries: Vec<Entry>,
    /// The part that was truncated from the end of the log because its write never became durable.
    pub torn_tail: Option<TornTail>,
}

impl Recovered {
    /// Returns the content of a new data directory.
    pub fn empty(identity: Identity) -> Self {
        Self {
            identity,
            founders: Vec::new(),
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
            torn_tail: None,
        }
    }

    /// Returns the last position in the log or covered by the snapshot, whichever is greater.
    pub fn last_position(&self) -> Position {
        let end = self.snapshot.as_ref().map(|snapshot| snapshot.position).unwrap_or_default();
        self.entries.last().map_or(end, |entry| entry.position.max(end))
    }

    /// Drops the log entries if they don't belong to the snapshot: they must contain its position
    /// or directly follow it.
    ///
    /// A power loss after an installed snapshot is stored and before the old log is removed leaves
    /// both. The old entries may differ from what the group committed.
    #[must_use]
    pub fn without_stale_entries(mut self) -> Self {
        let Some(snapshot) = &self.snapshot else { return self };
        let end = snapshot.position;
        let Some(first) = self.entries.first().map(|entry| entry.position) else { return self };
        let follows = first.index == end.index + 1 && first.term >= end.term;
        let covers = self.entries.iter().any(|entry| entry.position == end);
        if !follows && !covers {
            self.entries.clear();
        }
        self
    }
}

/// Describes a torn tail that was truncated.
#[data]
pub struct TornTail {
    /// The name of the file.
    pub file: Arc<str>,
    /// The new size of the file, in bytes.
    pub offset: u64,
    /// The number of removed bytes.
    pub bytes: u64,
}

/// The reason for which the storage failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// could not {step} {file}: {reason} (check the data directory's disk and its permissions)
    Io {
        /// The failed operation.
        step: FileOperation,
        /// The name of the file.
        file: Arc<str>,
        /// The error message of the operating system.
        reason: Arc<str>,
    },
    /// the disk is full: could not {step} {file} (free space, then restart this instance)
    Full {
        /// The failed operation.
        step: FileOperation,
        /// The name of the file.
        file: Arc<str>,
    },
    /// {file} is damaged at byte {offset}: {what} (restore the disk, or move the data directory away so that this voter returns as a new one, and replace it in the voter set)
    Damaged {
        /// The name of the file.
        file: Arc<str>,
        /// The offset at which the damage begins, in bytes.
        offset: u64,
        /// A description of the damage.
        what: Arc<str>,
    },
    /// {file} is in use by another process (stop that process, or use another data directory)
    Locked {
        /// The lock file.
        file: Arc<str>,
    },
    /// the storage accepts no writes after an earlier failure (restart this instance)
    Stopped,
    /// the writes do not follow the stored log: {what} (please report this)
    OutOfOrder {
        /// A description of the mismatch.
        what: Arc<str>,
    },
}

impl std::error::Error for Error {}

/// An operation on files.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FileOperation {
    /// open
    Open,
    /// list
    List,
    /// read
    Read,
    /// write
    Write,
    /// sync
    Sync,
    /// rename
    Rename,
    /// remove
    Remove,
    /// truncate
    Truncate,
}
