//! Handles operators' edits of the route table until they are in force everywhere.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_state::history::{self, Verdict};
use verbenaslip_state::{Command, Outcome};
use verbenaslip_table::{Edit, Revision, Table, change};

use crate::calls::{CHANGE_TIMEOUT, failure_reply};
use crate::lead::committed_outcome;
use crate::message::{ProposalAnswer, Query, QueryAnswer, TableRevision};
use crate::node::Node;
use crate::notice::{Notice, SubmittedEdit};
use crate::operator::{Apply, CallId, EditResult, Reply};
use crate::proposal::{EditWait, Purpose};
use crate::query::{RESEND_INTERVAL, Waiter};

/// Number of table revisions that are kept to compute the changes of an edit that is sent again.
pub(crate) const MAX_KEPT_TABLES: usize = 32;

/// Time after which an edit that is not in force everywhere is reported.
///
/// It exceeds the table lease of an instance that was cut off when the edit arrived.
const DELAY_NOTICE_AFTER: Duration = Duration::from_secs(6);

/// Interval between two checks whether an edit is in force everywhere.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Node {
    /// Proposes an operator's edit, or replies at once if the edit is invalid, stale or only
    /// checked.
    pub(crate) fn propose_edit(&mut self, call: CallId, apply: &Apply) {
        let table = match Table::parse(apply.csv.as_bytes()) {
            Ok(table) => table,
            Err(problems) => return self.reply(call, Reply::Edited(EditResult::Invalid(problems))),
        };
        let changes = change::diff(&self.base_table(apply.base), &table);
        let newest = self.hub.revision();
        if apply.base == newest && changes.is_empty() {
            return self.reply(call, Reply::Edited(EditResult::Unchanged(newest)));
        }
        if apply.dry_run {
            let result = if apply.base == newest {
                EditResult::Valid(newest)
            } else {
                EditResult::Stale(self.newest_since(apply.base))
            };
            return self.reply(call, Reply::Edited(result));
        }
        let edit = Edit {
            id: apply.id.clone(),
            base: apply.base,
            operator: apply.operator.clone(),
            unix_ms: self.unix_ms(),
            changes,
        };
        let submitted = SubmittedEdit {
            id: apply.id.clone(),
            operator: apply.operator.clone(),
            base: apply.base,
            changed_rows: edit.changes.len(),
            arrived_at: self.now,
        };
        let purpose = Purpose::Edit { call, edit: Box::new(submitted), wait: apply.wait };
        self.propose(Command::Edit(edit), purpose, CHANGE_TIMEOUT);
    }

    /// Handles the result of a proposed edit.
    pub(crate) fn handle_edit_answer(
        &mut self,
        call: CallId,
        edit: SubmittedEdit,
        wait: Duration,
        answer: &ProposalAnswer,
    ) {
        let Some(Outcome::Edit(verdict)) = committed_outcome(answer) else {
            return self.reply(call, failure_reply(answer));
        };
        let revision = match verdict {
            Verdict::Accepted { revision } | Verdict::Unchanged { revision } => Some(*revision),
            _ => None,
        };
        let arrived_at = edit.arrived_at;
        self.notify(Notice::Edit { edit, revision, answer: verdict.to_string() });
        let result = match verdict.clone() {
            Verdict::Accepted { revision } => {
                return self.wait_for_propagation(call, revision, arrived_at, wait);
            }
            Verdict::Unchanged { revision } => EditResult::Unchanged(revision),
            Verdict::Stale(newest) => EditResult::Stale(newest),
            Verdict::Reused => EditResult::Reused,
            Verdict::Bad(problems) => EditResult::Invalid(problems),
        };
        self.reply(call, Reply::Edited(result));
    }

    /// Checks whether the edits that calls wait for are in force everywhere.
    pub(crate) fn poll_edit_waits(&mut self) {
        let now = self.now;
        for mut wait in std::mem::take(&mut self.edit_waits) {
            if wait.deadline <= now && !wait.replied {
                wait.replied = true;
                self.reply_accepted(&wait, false);
            }
            if wait.replied && wait.arrived_at + DELAY_NOTICE_AFTER <= now {
                let (revision, awaited) = (wait.revision, wait.awaited);
                self.notify(Notice::EditDelayed { revision, awaited });
                continue;
            }
            if wait.next_poll > now {
                self.edit_waits.push(wait);
                continue;
            }
            wait.next_poll = now + POLL_INTERVAL;
            match self.answer_locally(&Query::Propagation(wait.revision)) {
                Some(QueryAnswer::Propagation { complete: true, .. }) => self.finish_wait(&wait),
                Some(QueryAnswer::Propagation { awaited, .. }) => {
                    self.edit_waits.push(EditWait { awaited, ..wait })
                }
                _ => {
                    let query = Query::Propagation(wait.revision);
                    let waiter = Waiter::Propagation(wait.call);
                    self.edit_waits.push(wait);
                    self.start_query(query, waiter, None, RESEND_INTERVAL);
                }
            }
        }
    }

    /// Returns the reply with the table at a revision, or with the newest table if none is given.
    pub(crate) fn table_reply(&self, revision: Option<Revision>) -> Reply {
        let newest = self.hub.revision();
        let revision = revision.unwrap_or(newest);
        if revision == newest {
            return Reply::Table(TableRevision { revision, table: self.hub.table().clone() });
        }
        let kept = self.recent_tables.iter().find(|kept| kept.revision == revision);
        kept.map_or_else(
            || Reply::TableNotKept { oldest: self.oldest_kept_revision(), newest },
            |kept| Reply::Table(kept.clone()),
        )
    }

    /// Returns the oldest revision of the table that is kept.
    fn oldest_kept_revision(&self) -> Revision {
        self.recent_tables.iter().map(|kept| kept.revision).min().unwrap_or(self.hub.revision())
    }

    /// Returns the table at a revision, or the newest table if the revision is no longer kept.
    ///
    /// The substitute does no harm, since an edit of so old a revision is rejected as stale.
    fn base_table(&self, revision: Revision) -> Arc<Table> {
        if revision == Revision::default() {
            return Arc::default();
        }
        let kept = self.recent_tables.iter().find(|kept| kept.revision == revision);
        kept.map_or_else(|| self.hub.table().clone(), |kept| kept.table.clone())
    }

    /// Returns the rows that changed since a base revision, for an edit that is only checked.
    fn newest_since(&self, base: Revision) -> history::Newest {
        let changes = change::diff(&self.base_table(base), self.hub.table());
        history::Newest {
            revision: self.hub.revision(),
            by: None,
            differs: changes
                .iter()
                .map(change::Change::key)
                .take(history::MAX_LISTED_ROWS)
                .collect(),
            more: changes.len() > history::MAX_LISTED_ROWS,
        }
    }

    pub(crate) fn wait_for_propagation(
        &mut self,
        call: CallId,
        revision: Revision,
        arrived_at: Duration,
        wait: Duration,
    ) {
        let (deadline, next_poll) = (self.now + wait, self.now);
        let (replied, awaited) = (false, Vec::new());
        self.edit_waits.push(EditWait {
            call,
            revision,
            arrived_at,
            deadline,
            replied,
            next_poll,
            awaited,
        });
    }

    /// Ends the wait for an edit that is in force everywhere.
    pub(crate) fn finish_wait(&mut self, wait: &EditWait) {
        let took = self.now.saturating_sub(wait.arrived_at);
        self.notify(Notice::EditInForce { revision: wait.revision, took });
        if !wait.replied {
            self.reply_accepted(wait, true);
        }
    }

    fn reply_accepted(&mut self, wait: &EditWait, in_force: bool) {
        let awaited = if in_force { Vec::new() } else { wait.awaited.clone() };
        let result = EditResult::Accepted { revision: wait.revision, in_force, awaited };
        self.reply(wait.call, Reply::Edited(result));
    }
}
