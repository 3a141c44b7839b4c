//! Edits of the table and their identifiers.

use std::fmt;
use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::Operator;

use crate::change::Change;

/// Counts the accepted edits; revision 0 is the empty table before the first edit.
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

/// Identifies an edit, so that an edit that is sent again after a lost answer counts as the same.
#[data(ord, hash)]
pub struct Id(Arc<str>);

impl Id {
    /// The maximum length of an identifier.
    pub const MAX_BYTES: usize = 64;

    /// Creates an identifier from a text such as a commit hash.
    ///
    /// Returns none unless the text has 1 to 64 printable ASCII characters without spaces.
    pub fn new(text: &str) -> Option<Self> {
        let valid_length = (1..=Self::MAX_BYTES).contains(&text.len());
        (valid_length && text.bytes().all(|byte| byte.is_ascii_graphic()))
            .then(|| Self(text.into()))
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Requests changes to the table.
#[data]
pub struct Edit {
    /// The identifier, which is the same when the edit is sent again.
    pub id: Id,
    /// The revision on which the changes are based.
    pub base: Revision,
    /// The operator who requests the changes.
    pub operator: Operator,
    /// The time of the request in Unix milliseconds.
    pub unix_ms: u64,
    /// The changes, which are applied all together or not at all.
    pub changes: Vec<Change>,
}
