//! Problems found in a table.

use std::fmt;

use verbenaslip_base::data;

use crate::column::Column;

/// Describes one invalid value, its place and what is allowed there.
#[data(ord, hash)]
pub struct Problem {
    /// The line in the file, where the header is line 1; 0 stands for the whole file.
    pub row: u32,
    /// The column's name; empty if the problem concerns the whole row.
    pub column: String,
    /// The invalid value, shortened.
    pub value: String,
    /// The allowed values.
    pub allowed: String,
}

impl Problem {
    /// Creates a problem of one cell.
    pub(crate) fn cell(row: u32, column: Column, value: &str, allowed: impl Into<String>) -> Self {
        Self::new(row, column.name(), value, allowed)
    }

    /// Creates a problem of a place in the file; a long value is shortened.
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

/// Lists all problems of a table in file order; the table was not changed.
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

/// The maximum length of an invalid value in a problem.
const MAX_VALUE_CHARS: usize = 60;

fn shorten(value: &str) -> String {
    let mut shown: String = value.chars().take(MAX_VALUE_CHARS).collect();
    if shown.len() < value.len() {
        shown.push('…');
    }
    shown
}
