//! What is wrong with a table.

use std::fmt;

use verbenaslip_base::data;

use crate::column::Column;

/// Names one thing that is wrong, where it stands and what is allowed there.
#[data(ord, hash)]
pub struct Problem {
    /// The line of the file, as a spreadsheet numbers it: the header is 1; 0 for the whole file.
    pub row: u32,
    /// The column's name; empty when the whole row is meant.
    pub column: String,
    /// What stands there, shortened.
    pub value: String,
    /// What may stand there.
    pub allowed: String,
}

impl Problem {
    /// Tells of one cell.
    pub(crate) fn cell(row: u32, column: Column, value: &str, allowed: impl Into<String>) -> Self {
        Self::new(row, column.name(), value, allowed)
    }

    /// Tells of a place in the file; a long value is shortened.
    pub(crate) fn new(
        row: u32,
        column: impl Into<String>,
        value: &str,
        allowed: impl Into<String>,
    ) -> Self {
        Self { row, column: column.into(), value: shorten(value), allowed: allowed.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.row, self.column.as_str()) {
            (0, _) => f.write_str("the file")?,
            (row, "") => write!(f, "row {row}")?,
            (row, column) => write!(f, "row {row}, column {column}")?,
        }
        write!(f, ": {:?} is not allowed here; allowed: {}", self.value, self.allowed)
    }
}

/// Holds all that is wrong with a table, in the order of the file; nothing was changed.
#[data]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0.len();
        let noun = if count == 1 { "problem" } else { "problems" };
        write!(f, "{count} {noun} in the table, nothing was changed")?;
        self.0.iter().try_for_each(|problem| write!(f, "\n{problem}"))
    }
}

impl std::error::Error for Problems {}

/// Bounds how much of a wrong value is shown, in characters.
const MAX_VALUE_CHARS: usize = 60;

fn shorten(value: &str) -> String {
    let mut shown: String = value.chars().take(MAX_VALUE_CHARS).collect();
    if shown.len() < value.len() {
        shown.push('…');
    }
    shown
}
