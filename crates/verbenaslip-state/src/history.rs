//! The table, its revisions and their authors.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_base::name::Operator;
use verbenaslip_table::change::apply;
use verbenaslip_table::edit::Id;
use verbenaslip_table::{Change, Edit, Key, Problems, Revision, Table};

/// Maximum number of history entries, and of answers kept for resent edits.
pub const MAX_HISTORY: usize = 4_096;

/// Maximum number of rows listed in one history entry or answer.
pub const MAX_LISTED_ROWS: usize = 64;

/// Answers an edit.
#[data]
pub enum Verdict {
    /// The edit created the given revision; a resend gets the same answer.
    Accepted {
        /// The revision that the edit created.
        revision: Revision,
    },
    /// The table already had these values; no revision was created.
    Unchanged {
        /// The newest revision at that time.
        revision: Revision,
    },
    /// Another edit was accepted since the base, or the base does not exist.
    Stale(Newest),
    /// The edit's identifier was used for different changes before.
    Reused,
    /// A changed row is invalid.
    Bad(Problems),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { revision } => write!(f, "accepted as revision {revision}"),
            Self::Unchanged { revision } => write!(f, "unchanged at revision {revision}"),
            Self::Stale(newest) => write!(f, "stale: {newest}"),
            Self::Reused => f.write_str("the edit id was used for other changes; draw a new one"),
            Self::Bad(problems) => problems.fmt(f),
        }
    }
}

/// Describes the newest revision to an operator whose base is stale.
#[data]
pub struct Newest {
    /// The newest revision.
    pub revision: Revision,
    /// The operator that created it; `None` before the first revision.
    pub by: Option<Operator>,
    /// The rows changed since the operator's base, in order, at most the first [`MAX_LISTED_ROWS`].
    pub differs: Vec<Key>,
    /// Whether more rows may have changed than are listed.
    pub more: bool,
}

impl fmt::Display for Newest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} is the newest", self.revision)?;
        if let Some(by) = &self.by {
            write!(f, ", by {by}")?;
        }
        if self.differs.is_empty() && !self.more {
            return Ok(());
        }
        let rows: Vec<String> = self.differs.iter().map(Key::to_string).collect();
        write!(f, "; changed since: {}", rows.join(", "))?;
        if self.more { f.write_str(" and maybe more") } else { Ok(()) }
    }
}

/// Records one accepted edit.
#[data]
pub struct Entry {
    /// The revision that the edit created.
    pub revision: Revision,
    /// The edit's identifier.
    pub edit: Id,
    /// The operator that made the edit.
    pub by: Operator,
    /// The time of the edit, in Unix milliseconds.
    pub at: u64,
    /// The revision on which the edit was based.
    pub base: Revision,
    /// The changed rows, in order, at most the first [`MAX_LISTED_ROWS`].
    pub rows: Vec<Key>,
    /// The number of changed rows.
    pub count: u32,
}

/// Holds the table and the accepted edits.
#[data(default)]
pub(crate) struct History {
    revision: Revision,
    table: Arc<Table>,
    entries: VecDeque<Entry>,
    answers: VecDeque<StoredAnswer>,
}

impl History {
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn table(&self) -> &Arc<Table> {
        &self.table
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Decides on an edit and applies it if it is accepted.
    pub(crate) fn apply_edit(&mut self, edit: &Edit) -> Verdict {
        let digest = digest(edit);
        if let Some(answer) = self.answers.iter().find(|answer| answer.edit == edit.id) {
            // The operator lost the answer and resent the edit. Deciding on it again would call it
            // stale, because its first copy has already changed the table.
            let same = answer.digest == digest;
            return if same { self.stored_verdict(edit, &answer.kind) } else { Verdict::Reused };
        }
        let verdict = self.decide(edit);
        let kind = match &verdict {
            Verdict::Accepted { revision } => AnswerKind::Accepted(*revision),
            Verdict::Unchanged { revision } => AnswerKind::Unchanged(*revision),
            // A base that does not exist yet may be created later. A delayed copy of the edit would
            // then be accepted after its operator was told that it was refused.
            Verdict::Stale(_) if edit.base > self.revision => AnswerKind::Refused,
            _ => return verdict,
        };
        self.answers.push_back(StoredAnswer { edit: edit.id.clone(), digest, kind });
        keep_newest(&mut self.answers, MAX_HISTORY);
        verdict
    }

    /// Returns whether the parts are consistent with each other.
    pub(crate) fn is_consistent(&self) -> bool {
        let last = self.entries.back().map(|entry| entry.revision).unwrap_or_default();
        let mut pairs = self.entries.iter().zip(self.entries.iter().skip(1));
        let rising = pairs.all(|(older, newer)| older.revision.next() == newer.revision);
        let bounded = self.entries.len().max(self.answers.len()) <= MAX_HISTORY;
        last == self.revision && rising && bounded
    }

    fn stored_verdict(&self, edit: &Edit, kind: &AnswerKind) -> Verdict {
        match *kind {
            AnswerKind::Accepted(revision) => Verdict::Accepted { revision },
            AnswerKind::Unchanged(revision) => Verdict::Unchanged { revision },
            AnswerKind::Refused => Verdict::Stale(self.newest(edit.base)),
        }
    }

    fn decide(&mut self, edit: &Edit) -> Verdict {
        if edit.base != self.revision {
            return Verdict::Stale(self.newest(edit.base));
        }
        let table = match apply(&self.table, &edit.changes) {
            Ok(table) => table,
            Err(problems) => return Verdict::Bad(problems),
        };
        if table == *self.table {
            return Verdict::Unchanged { revision: self.revision };
        }
        self.revision = self.revision.next();
        self.table = Arc::new(table);
        self.entries.push_back(Entry::from_edit(edit, self.revision));
        keep_newest(&mut self.entries, MAX_HISTORY);
        Verdict::Accepted { revision: self.revision }
    }

    fn newest(&self, base: Revision) -> Newest {
        let since = self.entries.iter().filter(|entry| entry.revision > base);
        let mut keys = BTreeSet::new();
        let mut rows_truncated = false;
        for entry in since {
            keys.extend(&entry.rows);
            rows_truncated |= entry.count as usize > entry.rows.len();
        }
        let covers_base = self.entries.front().is_none_or(|entry| entry.revision <= base.next());
        Newest {
            revision: self.revision,
            by: self.entries.back().map(|entry| entry.by.clone()),
            more: rows_truncated || !covers_base || keys.len() > MAX_LISTED_ROWS,
            differs: keys.into_iter().take(MAX_LISTED_ROWS).cloned().collect(),
        }
    }
}

impl Entry {
    fn from_edit(edit: &Edit, revision: Revision) -> Self {
        let mut rows: Vec<Key> = edit.changes.iter().map(Change::key).collect();
        rows.sort();
        rows.truncate(MAX_LISTED_ROWS);
        Self {
            revision,
            edit: edit.id.clone(),
            by: edit.operator.clone(),
            at: edit.unix_ms,
            base: edit.base,
            rows,
            count: u32::try_from(edit.changes.len()).unwrap_or(u32::MAX),
        }
    }
}

/// Stores the answer to an edit for resends.
#[data]
struct StoredAnswer {
    edit: Id,
    digest: u128,
    kind: AnswerKind,
}

#[data(copy)]
enum AnswerKind {
    Accepted(Revision),
    Unchanged(Revision),
    Refused,
}

/// Drops the oldest elements beyond the maximum length.
pub(crate) fn keep_newest<T>(queue: &mut VecDeque<T>, max_len: usize) {
    let excess = queue.len().saturating_sub(max_len);
    queue.drain(..excess);
}

/// Returns a digest that distinguishes edits with the same identifier.
fn digest(edit: &Edit) -> u128 {
    let changes: BTreeMap<Key, &Change> =
        edit.changes.iter().map(|change| (change.key(), change)).collect();
    // Encoding these types to memory cannot fail.
    let bytes = postcard::to_stdvec(&(edit.base, changes)).unwrap_or_default();
    hash::wide(&[&bytes])
}
