//! The table with its newest changes.

use std::collections::VecDeque;
use std::sync::Arc;

use verbenaslip_base::hash;
use verbenaslip_table::change::apply;
use verbenaslip_table::{Revision, Table};

use super::message::{MAX_BYTES, MAX_SNAPSHOT, Offer, Part, Step};

/// Bounds the revisions whose changes are kept.
pub const MAX_STEPS: usize = 1_024;

/// Bounds the bytes of the changes kept.
pub const MAX_STEP_BYTES: usize = 512 * 1_024;

/// Bounds the bytes of changes sent at once to a follower that lags; beyond, a snapshot is offered.
const MAX_CATCH_UP: usize = 4 * MAX_BYTES;

/// Holds the table in use, the changes that led to it, and a snapshot for those who lag further.
#[derive(Clone, Debug, Default)]
pub struct Window {
    revision: Revision,
    table: Arc<Table>,
    steps: VecDeque<Sized>,
    bytes: usize,
    copy: Option<Copy>,
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
    pub fn advance(&mut self, step: &Step) -> Progress {
        if step.revision <= self.revision {
            return Progress::Known;
        }
        if step.revision != self.revision.next() {
            return Progress::Gap;
        }
        let Ok(table) = apply(&self.table, &step.changes) else { return Progress::Misfit };
        self.push(step, Arc::new(table));
        Progress::Applied
    }

    /// Takes the next revision with the table that its changes led to.
    pub(crate) fn push(&mut self, step: &Step, table: Arc<Table>) {
        // Encoding to memory fails for no value of these types.
        let bytes = postcard::to_stdvec(step).map(|bytes| bytes.len()).unwrap_or(usize::MAX);
        self.revision = step.revision;
        self.table = table;
        self.bytes = self.bytes.saturating_add(bytes);
        self.steps.push_back(Sized { step: step.clone(), bytes });
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_STEP_BYTES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes = self.bytes.saturating_sub(oldest.bytes);
        }
    }

    /// Returns the messages' worth of changes after a revision, or none when a snapshot is due.
    pub(crate) fn after(&self, revision: Revision) -> Option<Vec<Vec<Step>>> {
        if !self.reaches(revision) {
            return None;
        }
        let start = self.steps.partition_point(|sized| sized.step.revision <= revision);
        let due: Vec<&Sized> = self.steps.range(start..).collect();
        // A follower without a table gets a snapshot at once, unless one message brings it all.
        let most = if revision == Revision(0) { MAX_BYTES } else { MAX_CATCH_UP };
        let whole = due.iter().map(|sized| sized.bytes).fold(0, usize::saturating_add);
        if whole > most || due.iter().any(|sized| sized.bytes > MAX_BYTES) {
            return None;
        }
        let mut messages: Vec<Vec<Step>> = Vec::new();
        let mut room = 0;
        for sized in due {
            if sized.bytes > room || messages.is_empty() {
                messages.push(Vec::new());
                room = MAX_BYTES;
            }
            room = room.saturating_sub(sized.bytes);
            if let Some(message) = messages.last_mut() {
                message.push(sized.step.clone());
            }
        }
        Some(messages)
    }

    /// Returns the snapshot to offer: the last one as long as the changes reach it, unless it is
    /// older than the least revision that is of use.
    pub(crate) fn offer(&mut self, least: Revision) -> Offer {
        let reaches = |copy: &Copy| copy.revision >= least && self.after(copy.revision).is_some();
        let fresh = self.copy.as_ref().is_some_and(reaches);
        if !fresh {
            // Encoding to memory fails for no value of these types.
            let bytes = postcard::to_stdvec(&*self.table).unwrap_or_default();
            self.copy = Some(Copy { revision: self.revision, bytes });
        }
        self.copy.as_ref().map(Copy::offer).unwrap_or(Offer {
            revision: Revision(0),
            bytes: 0,
            digest: 0,
        })
    }

    /// Returns a part of the snapshot last offered, if it is of the given revision.
    pub(crate) fn part(&self, revision: Revision, part: u32) -> Option<Part> {
        let copy = self.copy.as_ref().filter(|copy| copy.revision == revision)?;
        let bytes = copy.bytes.chunks(MAX_BYTES).nth(part as usize)?;
        Some(Part { revision, part, bytes: bytes.to_vec() })
    }

    /// Says whether the changes kept lead on from a revision.
    fn reaches(&self, revision: Revision) -> bool {
        let first = self.steps.front().map(|sized| sized.step.revision);
        revision <= self.revision
            && (revision == self.revision || first.is_some_and(|first| first <= revision.next()))
    }
}

/// Says what became of the changes of one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// They are applied.
    Applied,
    /// They were applied before.
    Known,
    /// Changes between are missing.
    Gap,
    /// They do not fit the table, so it must be fetched whole.
    Misfit,
}

#[derive(Clone, Debug)]
struct Sized {
    step: Step,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Copy {
    revision: Revision,
    bytes: Vec<u8>,
}

impl Copy {
    fn offer(&self) -> Offer {
        let bytes = u32::try_from(self.bytes.len()).unwrap_or(MAX_SNAPSHOT);
        Offer { revision: self.revision, bytes, digest: hash::wide(&[&self.bytes]) }
    }
}
