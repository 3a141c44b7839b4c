//! The table with its newest changes.

use std::collections::VecDeque;
use std::sync::Arc;

use verbenaslip_base::hash;
use verbenaslip_table::change::apply;
use verbenaslip_table::{Revision, Table};

use super::message::{MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES, Offer, Part, Step};

/// Bounds the revisions whose changes are kept.
pub const MAX_STEPS: usize = 1_024;

/// Bounds the bytes of the changes kept.
pub const MAX_STEP_BYTES: usize = 512 * 1_024;

/// Bounds the bytes of changes sent at once to a follower that lags; beyond, a snapshot is offered.
const MAX_CATCH_UP_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// Holds the table in use, the changes that led to it, and a snapshot for those who lag further.
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

    /// Takes a whole table; one that is not newer changes nothing.
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

    /// Applies the changes of the next revision, all at once.
    pub fn advance(&mut self, step: &Step) -> StepResult {
        if step.revision <= self.revision {
            return StepResult::Known;
        }
        if step.revision != self.revision.next() {
            return StepResult::Gap;
        }
        let Ok(table) = apply(&self.table, &step.changes) else { return StepResult::Mismatch };
        self.push(step, Arc::new(table));
        StepResult::Applied
    }

    /// Takes the next revision with the table that its changes led to.
    pub(crate) fn push(&mut self, step: &Step, table: Arc<Table>) {
        // Encoding to memory fails for no value of these types.
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

    /// Returns the messages' worth of changes after a revision, or none when a snapshot is due.
    pub(crate) fn changes_after(&self, revision: Revision) -> Option<Vec<Vec<Step>>> {
        if !self.reaches_back_to(revision) {
            return None;
        }
        let start = self.steps.partition_point(|sized| sized.step.revision <= revision);
        let missing: Vec<&SizedStep> = self.steps.range(start..).collect();
        // A follower without a table gets a snapshot at once, unless one message brings it all.
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

    /// Returns the snapshot to offer: the last one as long as the changes reach it, unless it is
    /// older than the least revision that is of use.
    pub(crate) fn offer(&mut self, min_revision: Revision) -> Offer {
        let reaches_back_to = |snapshot: &EncodedTable| {
            snapshot.revision >= min_revision && self.changes_after(snapshot.revision).is_some()
        };
        let reusable = self.snapshot.as_ref().is_some_and(reaches_back_to);
        if !reusable {
            // Encoding to memory fails for no value of these types.
            let bytes = postcard::to_stdvec(&*self.table).unwrap_or_default();
            self.snapshot = Some(EncodedTable { revision: self.revision, bytes });
        }
        self.snapshot.as_ref().map(EncodedTable::offer).unwrap_or(Offer {
            revision: Revision(0),
            bytes: 0,
            digest: 0,
        })
    }

    /// Returns a part of the snapshot last offered, if it is of the given revision.
    pub(crate) fn part(&self, revision: Revision, part: u32) -> Option<Part> {
        let snapshot = self.snapshot.as_ref().filter(|snapshot| snapshot.revision == revision)?;
        let bytes = snapshot.bytes.chunks(MAX_MESSAGE_BYTES).nth(part as usize)?;
        Some(Part { revision, part, bytes: bytes.to_vec() })
    }

    /// Says whether the changes kept lead on from a revision.
    fn reaches_back_to(&self, revision: Revision) -> bool {
        let first = self.steps.front().map(|sized| sized.step.revision);
        revision <= self.revision
            && (revision == self.revision || first.is_some_and(|first| first <= revision.next()))
    }
}

/// Says what became of the changes of one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepResult {
    /// They are applied.
    Applied,
    /// They were applied before.
    Known,
    /// Changes between are missing.
    Gap,
    /// They do not fit the table, so it must be fetched whole.
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
