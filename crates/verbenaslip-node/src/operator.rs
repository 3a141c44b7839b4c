//! Calls of operators and probes to an instance, and the replies.

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

/// Identifies an open call on this instance.
#[data(copy, ord, hash)]
pub struct CallId(pub u64);

/// Describes a call.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Asks for the table.
    Table {
        /// Revision of the table; none asks for the newest one.
        revision: Option<Revision>,
    },
    /// Asks for an edit of the table.
    Apply(Apply),
    /// Asks for the accepted edits.
    History,
    /// Asks for the audit trail.
    Audit {
        /// Number of the first entry.
        since: u64,
    },
    /// Asks for the status of this instance.
    Status,
    /// Asks whether this instance is ready for callers.
    Ready,
    /// Asks an instance to drain and exit.
    Drain {
        /// Instance to drain.
        instance: Instance,
        /// Operator that makes the call.
        operator: Operator,
    },
    /// Asks for a change of the voter set.
    Voters {
        /// Change of the voter set.
        change: verbenaslip_state::command::VoterChange,
        /// Operator that makes the call.
        operator: Operator,
    },
}

/// Describes an edit that an operator asks for.
#[derive(Clone, Debug)]
pub struct Apply {
    /// Revision on which the edit is based.
    pub base: Revision,
    /// Identifier of the edit, which stays the same when the edit is sent again.
    pub id: edit::Id,
    /// Whole table as CSV.
    pub csv: Arc<str>,
    /// Longest time to wait until the edit is in force everywhere.
    pub wait: Duration,
    /// Whether the edit is only checked and not applied.
    pub dry_run: bool,
    /// Operator that makes the edit.
    pub operator: Operator,
}

/// Replies to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Result of an announcement.
    Announced(Announced),
    /// Table at the requested revision.
    Table(TableRevision),
    /// The requested revision of the table is not kept here, or does not exist yet.
    TableNotKept {
        /// Oldest revision that is kept.
        oldest: Revision,
        /// Newest revision.
        newest: Revision,
    },
    /// Result of an edit.
    Edited(EditResult),
    /// Accepted edits.
    History(Vec<history::Entry>),
    /// Part of the audit trail.
    Audit(audit::Page),
    /// Status of this instance.
    Status(Box<Status>),
    /// Reasons why this instance is not ready for callers; empty if it is ready.
    Ready(Vec<Arc<str>>),
    /// The instance is draining.
    Draining,
    /// The change of the voter set was committed.
    VotersChanged,
    /// The call was rejected and certainly not carried out.
    Refused(Arc<str>),
    /// There is no quorum, and the call was certainly not carried out.
    NoQuorum,
    /// The call may or may not have been carried out.
    Unknown,
}

/// Describes the result of an edit.
#[derive(Clone, Debug)]
pub enum EditResult {
    /// The edit was accepted, now or when it was sent before.
    Accepted {
        /// Revision of the edit.
        revision: Revision,
        /// Whether the edit is in force everywhere.
        in_force: bool,
        /// Instances that may still use an older table.
        awaited: Vec<Instance>,
    },
    /// The table already has this content.
    Unchanged(Revision),
    /// The edit would be accepted if it were not only checked.
    Valid(Revision),
    /// Another edit was accepted first.
    Stale(history::Newest),
    /// The table is invalid.
    Invalid(Problems),
    /// The identifier was already used for other changes.
    Reused,
}
