//! The port to the folder that survives a restart.

use std::sync::Arc;

use displaydoc::Display;
use verbenaslip_base::data;

use crate::config::Config;
use crate::entry::{Entry, Position};
use crate::voter::{Group, Identity};

/// Keeps a replica's writes; one thread owns it.
pub trait Storage: Send {
    /// Reads everything that the storage holds.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage can't be read or is damaged.
    fn load(&mut self) -> Result<Recovered, Error>;

    /// Takes writes in order; they need not be durable before [`Storage::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error when a write fails. The storage then takes no more: the voter stops
    /// acknowledging until it is opened again.
    fn write(&mut self, writes: &[Write]) -> Result<(), Error>;

    /// Makes all taken writes durable; only after it may their marks be given as stored.
    ///
    /// # Errors
    ///
    /// Returns an error when the writes may not be durable; the storage then takes no more.
    fn sync(&mut self) -> Result<(), Error>;
}

/// Asks for something to be kept.
#[data]
pub enum Write {
    /// Replaces the term and vote.
    HardState(HardState),
    /// Adds entries, which follow the last one kept.
    Append(Vec<Entry>),
    /// Drops the entry at `from` and all after it; a power loss may leave a part of them. The term
    /// of the leader that asked for it is durable before, and that leader drops the rest again.
    Truncate {
        /// The first index to drop.
        from: u64,
    },
    /// Keeps a snapshot of the own state; then entries before `first` may be dropped.
    Compact {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The first index that must stay.
        first: u64,
    },
    /// Keeps a snapshot received from the leader, and drops all entries.
    Install(Arc<Snapshot>),
}

/// Holds what must never be forgotten between two votes.
#[data(copy, default)]
pub struct HardState {
    /// The group, none before the first contact with it.
    pub group: Option<Group>,
    /// The latest term seen.
    pub term: u64,
    /// Whom this voter chose in that term.
    pub voted: Option<Identity>,
}

/// Holds the state machine's state up to a position.
#[data]
pub struct Snapshot {
    /// The last entry that the state covers.
    pub position: Position,
    /// The voter set in force there.
    pub config: Config,
    /// The state, not looked into here.
    pub state: Arc<[u8]>,
}

/// Holds what a folder had when it was opened.
#[data]
pub struct Recovered {
    /// The identity of the folder.
    pub identity: Identity,
    /// The term and vote.
    pub hard_state: HardState,
    /// The newest whole snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries kept, without gaps; they may begin before the end of the snapshot.
    pub entries: Vec<Entry>,
    /// What was cut from the end of the log as a write that never became durable.
    pub torn_tail: Option<TornTail>,
}

impl Recovered {
    /// Returns what a newly created folder holds.
    pub fn empty(identity: Identity) -> Self {
        Self {
            identity,
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
            torn_tail: None,
        }
    }

    /// Returns the position of the newest entry that the folder holds or that its snapshot covers.
    pub fn last_position(&self) -> Position {
        let end = self.snapshot.as_ref().map(|snapshot| snapshot.position).unwrap_or_default();
        self.entries.last().map_or(end, |entry| entry.position.max(end))
    }

    /// Drops the entries if they are not those that the snapshot was made from or followed by.
    ///
    /// A power loss between keeping an installed snapshot and dropping the old log leaves both; the
    /// old entries may differ from what the group committed.
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

/// Tells of a torn tail that was cut.
#[data]
pub struct TornTail {
    /// The file.
    pub file: Arc<str>,
    /// Where the cut was made.
    pub offset: u64,
    /// How many bytes were cut.
    pub bytes: u64,
}

/// Says why the storage failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// could not {step} {file}: {reason} (check the data folder's disk and its rights)
    Io {
        /// What was being done.
        step: FileOperation,
        /// The file.
        file: Arc<str>,
        /// What the system said.
        reason: Arc<str>,
    },
    /// the disk is full while it should {step} {file} (free space, then restart this instance)
    Full {
        /// What was being done.
        step: FileOperation,
        /// The file.
        file: Arc<str>,
    },
    /// {file} is damaged at byte {offset}: {what} (restore the disk, or move the folder away so that this voter returns as a new one, and replace it in the voter set)
    Damaged {
        /// The file.
        file: Arc<str>,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong there.
        what: Arc<str>,
    },
    /// {file} is in use by another process (stop it, or name another data folder)
    Locked {
        /// The lock file.
        file: Arc<str>,
    },
    /// the storage takes no writes since an earlier failure (restart this instance)
    Stopped,
    /// the writes do not follow what is stored: {what} (please report this)
    OutOfOrder {
        /// What does not fit.
        what: Arc<str>,
    },
}

impl std::error::Error for Error {}

/// Names the steps of work on files.
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
    /// cut
    Truncate,
}
