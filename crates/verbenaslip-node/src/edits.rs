//! Operators' edits of the table, from the file to being in force everywhere.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_state::history::{self, Verdict};
use verbenaslip_state::{Command, Outcome};
use verbenaslip_table::{Edit, Revision, Table, change};

use crate::calls::{PATIENCE, failure};
use crate::lead::outcome;
use crate::message::{ProposalAnswer, Query, QueryAnswer, TableRevision};
use crate::node::Node;
use crate::notice::{Notice, SubmittedEdit};
use crate::operator::{Apply, CallId, EditResult, Reply};
use crate::proposal::{Purpose, Wait};
use crate::query::{RESEND, Waiter};

/// How many revisions of the table are kept to tell what a resent edit changes.
pub(crate) const TABLES: usize = 32;

/// After this an edit that is not in force everywhere is told of: longer than the lease of whoever
/// was cut off at its arrival.
const SLOW: Duration = Duration::from_secs(6);

/// Between two looks whether an edit is in force everywhere.
const POLL: Duration = Duration::from_millis(100);

impl Node {
    /// Proposes an operator's edit, or says at once why it can't be made.
    pub(crate) fn apply(&mut self, call: CallId, apply: &Apply) {
        let table = match Table::parse(apply.csv.as_bytes()) {
            Ok(table) => table,
            Err(problems) => return self.reply(call, Reply::Edited(EditResult::Invalid(problems))),
        };
        let changes = change::diff(&self.base(apply.base), &table);
        let newest = self.hub.revision();
        if apply.base == newest && changes.is_empty() {
            return self.reply(call, Reply::Edited(EditResult::Unchanged(newest)));
        }
        if apply.dry_run {
            let edited = if apply.base == newest {
                EditResult::Valid(newest)
            } else {
                EditResult::Stale(self.newest(apply.base))
            };
            return self.reply(call, Reply::Edited(edited));
        }
        let edit = Edit {
            id: apply.id.clone(),
            base: apply.base,
            operator: apply.operator.clone(),
            unix_ms: self.unix(),
            changes,
        };
        let made = SubmittedEdit {
            id: apply.id.clone(),
            operator: apply.operator.clone(),
            base: apply.base,
            changed_rows: edit.changes.len(),
            arrived_at: self.now,
        };
        let purpose = Purpose::Edit { call, made: Box::new(made), wait: apply.wait };
        self.propose(Command::Edit(edit), purpose, PATIENCE);
    }

    /// Takes what became of an operator's edit.
    pub(crate) fn edited(
        &mut self,
        call: CallId,
        made: SubmittedEdit,
        wait: Duration,
        answer: &ProposalAnswer,
    ) {
        let Some(Outcome::Edit(verdict)) = outcome(answer) else {
            return self.reply(call, failure(answer));
        };
        let revision = match verdict {
            Verdict::Accepted { revision } | Verdict::Unchanged { revision } => Some(*revision),
            _ => None,
        };
        let since = made.arrived_at;
        self.note(Notice::Edit { edit: made, revision, answer: verdict.to_string() });
        let edited = match verdict.clone() {
            Verdict::Accepted { revision } => return self.await_force(call, revision, since, wait),
            Verdict::Unchanged { revision } => EditResult::Unchanged(revision),
            Verdict::Stale(newest) => EditResult::Stale(newest),
            Verdict::Reused => EditResult::Reused,
            Verdict::Bad(problems) => EditResult::Invalid(problems),
        };
        self.reply(call, Reply::Edited(edited));
    }

    /// Looks whether awaited edits are in force everywhere.
    pub(crate) fn poll_waits(&mut self) {
        let now = self.now;
        for mut wait in std::mem::take(&mut self.waits) {
            if wait.deadline <= now && !wait.told {
                wait.told = true;
                self.tell_force(&wait, false);
            }
            if wait.told && wait.since + SLOW <= now {
                let (revision, awaited) = (wait.revision, wait.awaited);
                self.note(Notice::EditDelayed { revision, awaited });
                continue;
            }
            if wait.due > now {
                self.waits.push(wait);
                continue;
            }
            wait.due = now + POLL;
            match self.find(&Query::Propagation(wait.revision)) {
                Some(QueryAnswer::Propagation { complete: true, .. }) => self.settle_wait(&wait),
                Some(QueryAnswer::Propagation { awaited, .. }) => {
                    self.waits.push(Wait { awaited, ..wait })
                }
                _ => {
                    let query = Query::Propagation(wait.revision);
                    let waiter = Waiter::Force(wait.call);
                    self.waits.push(wait);
                    self.query(query, waiter, None, RESEND);
                }
            }
        }
    }

    /// Returns the newest table, or the one at a revision as far as it is kept.
    pub(crate) fn version(&self, revision: Option<Revision>) -> Reply {
        let newest = self.hub.revision();
        let revision = revision.unwrap_or(newest);
        if revision == newest {
            return Reply::Table(TableRevision { revision, table: self.hub.table().clone() });
        }
        let kept = self.tables.iter().find(|kept| kept.revision == revision);
        kept.map_or_else(
            || Reply::TableNotKept { oldest: self.oldest(), newest },
            |kept| Reply::Table(kept.clone()),
        )
    }

    /// Returns the oldest revision of the table that is kept.
    fn oldest(&self) -> Revision {
        self.tables.iter().map(|kept| kept.revision).min().unwrap_or(self.hub.revision())
    }

    /// Returns the table at a revision; one that is too old to be kept leads to a stale edit, so
    /// that it matters little that the newest stands in for it.
    fn base(&self, revision: Revision) -> Arc<Table> {
        if revision == Revision::default() {
            return Arc::default();
        }
        let kept = self.tables.iter().find(|kept| kept.revision == revision);
        kept.map_or_else(|| self.hub.table().clone(), |kept| kept.table.clone())
    }

    /// Returns what differs here from a base, for an edit that is only checked.
    fn newest(&self, base: Revision) -> history::Newest {
        let changes = change::diff(&self.base(base), self.hub.table());
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

    pub(crate) fn await_force(
        &mut self,
        call: CallId,
        revision: Revision,
        since: Duration,
        wait: Duration,
    ) {
        let (deadline, due) = (self.now + wait, self.now);
        let (told, awaited) = (false, Vec::new());
        self.waits.push(Wait { call, revision, since, deadline, told, due, awaited });
    }

    /// Ends the wait for an edit that is in force everywhere.
    pub(crate) fn settle_wait(&mut self, wait: &Wait) {
        let took = self.now.saturating_sub(wait.since);
        self.note(Notice::EditInForce { revision: wait.revision, took });
        if !wait.told {
            self.tell_force(wait, true);
        }
    }

    fn tell_force(&mut self, wait: &Wait, in_force: bool) {
        let awaited = if in_force { Vec::new() } else { wait.awaited.clone() };
        let edited = EditResult::Accepted { revision: wait.revision, in_force, awaited };
        self.reply(wait.call, Reply::Edited(edited));
    }
}
