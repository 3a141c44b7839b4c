//! The table and its newest changes.

use std::collections::VecDeque;
use std::sync::Arc;

use verbenaslip_base::hash;
use verbenaslip_table::change::apply;
use verbenaslip_table::{Revision, Table};

use super::message::{MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES, Offer, Part, Step};

/// Maximum number of revisions whose changes are kept.
pub const MAX_STEPS: usize = 1_024;

/// Maximum size of the kept changes, in bytes.
pub const MAX_STEP_BYTES: usize = 512 * 1_024;

/// Maximum size of the changes sent at once to a lagging follower, in bytes; above it, a snapshot
/// is offered.
const MAX_CATCH_UP_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// Holds the table in use, its newest changes, and a snapshot for followers that lag further.
#[derive(Clone, Debug, Default)]
pub struct Window {
    revision: Revision,
    table: Arc<Table>,
    steps: VecDeque<SizedStep>,
    bytes: usize,
    snapshot: Option<EncodedTable>,
}

impl Window {
    /// Returns the revision in use.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the table in use.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Replaces the table if the given one is newer; returns whether it was.
    pub fn replace(&mut self, revision: Revision, table: Arc<Table>) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.steps.clear();
        self.bytes = 0;
        self.revision = revision;
        self.table = table;
        true
    }

    /// Applies the changes of the next revision atomically.
    pub fn advance(&mut self, step: &Step) -> StepResult {
        if step.revision <= self.revision {
            return StepResult::Known;
        }
        if step.revision != self.revision.next() {
            return StepResult::Gap;
        }
        let Ok(table) = apply(&self.table, &step.changes) else { return StepResult::Mismatch };
        self.append(step, Arc::new(table));
        StepResult::Applied
    }

    /// Appends the next revision with the resulting table.
    pub(crate) fn append(&mut self, step: &Step, table: Arc<Table>) {
        // Encoding these types to memory cannot fail.
        let bytes = postcard::to_stdvec(step).map(|bytes| bytes.len()).unwrap_or(usize::MAX);
        self.revision = step.revision;
        self.table = table;
        self.bytes = self.bytes.saturating_add(bytes);
        self.steps.push_back(SizedStep { step: step.clone(), bytes });
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_STEP_BYTES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes = self.bytes.saturating_sub(oldest.bytes);
        }
    }

    /// Returns the changes after a revision, grouped by message, or `None` if a snapshot is
    /// required.
    pub(crate) fn changes_after(&self, revision: Revision) -> Option<Vec<Vec<Step>>> {
        if !self.reaches_back_to(revision) {
            return None;
        }
        let start = self.steps.partition_point(|sized| sized.step.revision <= revision);
        let missing: Vec<&SizedStep> = self.steps.range(start..).collect();
        // A follower without a table gets a snapshot unless one message holds all changes.
        let max_bytes =
            if revision == Revision(0) { MAX_MESSAGE_BYTES } else { MAX_CATCH_UP_BYTES };
        let total = missing.iter().map(|sized| sized.bytes).fold(0, usize::saturating_add);
        if total > max_bytes || missing.iter().any(|sized| sized.bytes > MAX_MESSAGE_BYTES) {
            return None;
        }
        let mut messages: Vec<Vec<Step>> = Vec::new();
        let mut space = 0;
        for sized in missing {
            if sized.bytes > space || messages.is_empty() {
                messages.push(Vec::new());
                space = MAX_MESSAGE_BYTES;
            }
            space = space.saturating_sub(sized.bytes);
            if let Some(message) = messages.last_mut() {
                message.push(sized.step.clone());
            }
        }
        Some(messages)
    }

    /// Returns the snapshot to offer.
    ///
    /// The last snapshot is reused while the kept changes reach back to it and it is not older than
    /// `min_revision`.
    pub(crate) fn offer(&mut self, min_revision: Revision) -> Offer {
        let reaches_back_to = |snapshot: &EncodedTable| {
            snapshot.revision >= min_revision && self.changes_after(snapshot.revision).is_some()
        };
        let reusable = self.snapshot.as_ref().is_some_and(reaches_back_to);
        if !reusable {
            // Encoding these types to memory cannot fail.
            let bytes = postcard::to_stdvec(&*self.table).unwrap_or_default();
            self.snapshot = Some(EncodedTable { revision: self.revision, bytes });
        }
        self.snapshot.as_ref().map(EncodedTable::offer).unwrap_or(Offer {
            revision: Revision(0),
            bytes: 0,
            digest: 0,
        })
    }

    /// Returns a part of the last offered snapshot, if that has the given revision.
    pub(crate) fn part(&self, revision: Revision, part: u32) -> Option<Part> {
        let snapshot = self.snapshot.as_ref().filter(|snapshot| snapshot.revision == revision)?;
        let bytes = snapshot.bytes.chunks(MAX_MESSAGE_BYTES).nth(part as usize)?;
        Some(Part { revision, part, bytes: bytes.to_vec() })
    }

    /// Returns whether the kept changes reach back to a revision.
    fn reaches_back_to(&self, revision: Revision) -> bool {
        let first = self.steps.front().map(|sized| sized.step.revision);
        revision <= self.revision
            && (revision == self.revision || first.is_some_and(|first| first <= revision.next()))
    }
}

/// Describes the result of applying the changes of one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepResult {
    /// The changes were applied.
    Applied,
    /// The changes had been applied before.
    Known,
    /// Changes of earlier revisions are missing.
    Gap,
    /// The changes do not fit the table, so the whole table must be fetched.
    Mismatch,
}

#[derive(Clone, Debug)]
struct SizedStep {
    step: Step,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct EncodedTable {
    revision: Revision,
    bytes: Vec<u8>,
}

impl EncodedTable {
    fn offer(&self) -> Offer {
        let bytes = u32::try_from(self.bytes.len()).unwrap_or(MAX_SNAPSHOT_BYTES);
        Offer { revision: self.revision, bytes, digest: hash::wide(&[&self.bytes]) }
    }
}
