//! What the control thread replies to calls on the admin address.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Operator};

/// Holds the reply to one call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The announcement was taken.
    Announced {
        /// How long the upstream may be silent before it counts as gone.
        lease: Duration,
    },
    /// A newer announcement of the upstream is held.
    Stale {
        /// The held incarnation.
        incarnation: u64,
        /// The held sequence.
        sequence: u64,
    },
    /// A table.
    Table {
        /// Its revision.
        revision: u64,
        /// It as CSV.
        csv: String,
    },
    /// There is no such revision, or it is not kept any more.
    Missing {
        /// The oldest revision that is kept here.
        oldest: u64,
        /// The newest revision.
        newest: u64,
    },
    /// The edit was accepted, now or earlier.
    Applied(Applied),
    /// The edit was made from an old revision; it was not applied.
    Conflict(Conflict),
    /// The table has faults; it was not applied.
    Faulty(Vec<Fault>),
    /// There is no quorum.
    Unconfirmed {
        /// Whether the change surely was not made; otherwise it is unknown.
        not_applied: bool,
    },
    /// The accepted edits, oldest first.
    History(Vec<Edit>),
    /// A part of the audit trail.
    Audit {
        /// The number to read from next.
        next: u64,
        /// The entries.
        entries: Vec<Json>,
    },
    /// The state of this instance and what it knows of others.
    Status(Json),
    /// The instance drains from now on.
    Draining,
    /// The change of voters was committed.
    Voted,
    /// The call can't be done as it is; nothing was changed.
    Refused {
        /// What is wrong.
        message: String,
        /// What to do about it.
        hint: String,
    },
    /// Whether new work is taken.
    Ready {
        /// Why not; empty when it is.
        because: Vec<Arc<str>>,
    },
    /// The metrics in the text format.
    Metrics(String),
}

/// Tells what became of an accepted edit.
#[data]
pub struct Applied {
    /// The revision that it made.
    pub revision: u64,
    /// Whether the table was the same before.
    pub unchanged: bool,
    /// Whether it is in force everywhere.
    pub in_force: bool,
    /// The instances that have not said so.
    pub waiting: Vec<Instance>,
}

/// Tells why an edit does not fit.
#[data]
pub struct Conflict {
    /// The newest revision.
    pub newest: u64,
    /// Who made it.
    pub by: Operator,
    /// The rows that differ from the edit's base.
    pub differs: Vec<String>,
}

/// Tells of one fault in a table.
#[data]
pub struct Fault {
    /// The row, from 1; 0 is the line of column names.
    pub row: u64,
    /// The column.
    pub column: String,
    /// What stands there.
    pub value: String,
    /// What may stand there.
    pub allowed: String,
}

/// Tells of one accepted edit.
#[data]
pub struct Edit {
    /// The revision that it made.
    pub revision: u64,
    /// Its identity.
    pub edit: Arc<str>,
    /// Who made it.
    pub by: Operator,
    /// When, in Unix milliseconds.
    pub at: u64,
    /// The revision that it was made from.
    pub base: u64,
    /// How many rows it changed.
    pub rows: u64,
}

/// Holds a value already written as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Json(String);

impl Json {
    /// Writes a value as JSON; a value that can't be written becomes null.
    pub fn of(value: &impl Serialize) -> Self {
        Self(serde_json::to_string(value).unwrap_or_else(|_| "null".into()))
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
