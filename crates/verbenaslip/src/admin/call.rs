//! What operators, upstreams and probes ask for.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use verbenaslip_base::announce::Announcement;
use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Operator};

use crate::admin::reply::Reply;

/// Brings one call to the control thread.
#[derive(Clone, Debug)]
pub struct Report {
    /// What is asked for.
    pub call: Call,
    /// Takes the one reply; it has room for it, so that replying never waits.
    pub reply: Sender<Reply>,
}

/// Says what is asked for.
#[data]
pub enum Call {
    /// An upstream says how it does.
    Announce(Announcement),
    /// The table is read.
    Table {
        /// Which revision; the newest when there is none.
        revision: Option<u64>,
    },
    /// The table is edited.
    Apply {
        /// The revision that the edit was made from.
        base: u64,
        /// The edit's identity, the same for a resend.
        edit: Arc<str>,
        /// The whole table as CSV.
        csv: Arc<str>,
        /// How long to wait until the edit is in force everywhere.
        wait: Duration,
        /// Whether the edit is only checked.
        dry: bool,
        /// Who edits.
        operator: Operator,
    },
    /// The accepted edits are listed.
    History,
    /// The audit trail is read.
    Audit {
        /// The first entry's number.
        since: u64,
    },
    /// The state of this instance and what it knows of others is read.
    Status,
    /// An instance is to drain and exit.
    Drain {
        /// The instance.
        instance: Instance,
        /// Who says so.
        operator: Operator,
    },
    /// The voters are changed.
    Voters {
        /// How.
        change: Voters,
        /// Who says so.
        operator: Operator,
    },
    /// A probe asks whether new work is taken.
    Ready,
    /// The metrics are read.
    Metrics,
}

/// Says how the voters change.
#[data]
pub enum Voters {
    /// One more.
    Add(Instance),
    /// One less.
    Remove(Instance),
    /// One in another's place.
    Replace {
        /// The one that goes.
        old: Instance,
        /// The one that comes.
        new: Instance,
    },
}

impl Call {
    /// Says whether the call changes something, so that a missing reply leaves its outcome unknown.
    pub fn changes(&self) -> bool {
        match self {
            Self::Apply { dry, .. } => !dry,
            Self::Drain { .. } | Self::Voters { .. } => true,
            _ => false,
        }
    }
}
