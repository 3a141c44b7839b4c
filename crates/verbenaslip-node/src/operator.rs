//! What operators and probes ask an instance, and what they are told.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_gossip::AnnouncementResult as Announced;
use verbenaslip_state::{audit, history};
use verbenaslip_table::edit;
use verbenaslip_table::{Problems, Revision};

use crate::message::TableRevision;
use crate::status::Status;

/// Names one open call at this instance.
#[data(copy, ord, hash)]
pub struct CallId(pub u64);

/// Asks for something.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// The table.
    Table {
        /// At which revision; the newest when there is none.
        revision: Option<Revision>,
    },
    /// An edit of the table.
    Apply(Apply),
    /// The accepted edits.
    History,
    /// The audit trail.
    Audit {
        /// The first entry's number.
        since: u64,
    },
    /// How this instance stands.
    Status,
    /// Whether this instance takes new work.
    Ready,
    /// That an instance drains and exits.
    Drain {
        /// The instance.
        instance: Instance,
        /// Who asks.
        operator: Operator,
    },
    /// Another voter set.
    Voters {
        /// What is changed.
        change: verbenaslip_state::command::VoterChange,
        /// Who asks.
        operator: Operator,
    },
}

/// Asks for an edit.
#[derive(Clone, Debug)]
pub struct Apply {
    /// The revision from which it was made.
    pub base: Revision,
    /// Its identity, the same for a resend.
    pub id: edit::Id,
    /// The whole table as CSV.
    pub csv: Arc<str>,
    /// How long to wait until it is in force everywhere.
    pub wait: Duration,
    /// Whether it is only checked.
    pub dry_run: bool,
    /// Who asks.
    pub operator: Operator,
}

/// Replies to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// What became of an announcement.
    Announced(Announced),
    /// A table.
    Table(TableRevision),
    /// That revision of the table is not kept here, or not there yet.
    TableNotKept {
        /// The oldest revision that is kept.
        oldest: Revision,
        /// The newest.
        newest: Revision,
    },
    /// What became of an edit.
    Edited(EditResult),
    /// The accepted edits.
    History(Vec<history::Entry>),
    /// A part of the audit trail.
    Audit(audit::Page),
    /// How this instance stands.
    Status(Box<Status>),
    /// Why this instance takes no new work; empty when it does.
    Ready(Vec<Arc<str>>),
    /// The instance drains from now on.
    Draining,
    /// The change of the voter set is committed.
    VotersChanged,
    /// What was asked was surely not done.
    Refused(Arc<str>),
    /// There is no quorum; it was surely not done.
    NoQuorum,
    /// It may or may not have been done.
    Unknown,
}

/// Says what became of an edit.
#[derive(Clone, Debug)]
pub enum EditResult {
    /// It is a revision, from now or from an earlier sending.
    Accepted {
        /// The revision.
        revision: Revision,
        /// Whether it is in force everywhere.
        in_force: bool,
        /// The instances that may still serve by an older table.
        awaited: Vec<Instance>,
    },
    /// The table is so already.
    Unchanged(Revision),
    /// It would be accepted, were it not only checked.
    Valid(Revision),
    /// Another edit came first.
    Stale(history::Newest),
    /// The table has faults.
    Invalid(Problems),
    /// The identity was used for other changes before.
    Reused,
}
