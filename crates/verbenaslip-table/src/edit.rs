//! An edit of the table and what identifies it.

use std::fmt;
use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::Operator;

use crate::change::Change;

/// Counts the accepted edits; 0 is the empty table before the first.
#[data(copy, ord, hash, default)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies an edit, so that a resend of it after a lost answer is the same edit.
#[data(ord, hash)]
pub struct Id(Arc<str>);

impl Id {
    /// Bounds an identity, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Takes an identity of 1 to 64 visible ASCII characters, such as a commit hash.
    pub fn new(text: &str) -> Option<Self> {
        let valid_length = (1..=Self::MAX_BYTES).contains(&text.len());
        (valid_length && text.bytes().all(|byte| byte.is_ascii_graphic()))
            .then(|| Self(text.into()))
    }

    /// Shows the identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Asks for changes to the table.
#[data]
pub struct Edit {
    /// The identity; a resend carries the same.
    pub id: Id,
    /// The revision from which the operator made the changes.
    pub base: Revision,
    /// Who asks.
    pub operator: Operator,
    /// When it was asked, in Unix milliseconds.
    pub unix_ms: u64,
    /// The changes, which are made all at once or not at all.
    pub changes: Vec<Change>,
}
