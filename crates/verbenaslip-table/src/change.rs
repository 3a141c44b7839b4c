//! Differences between two tables, row by row.

use std::collections::BTreeMap;
use std::fmt;

use verbenaslip_base::data;

use crate::column::Column;
use crate::problem::{Problem, Problems};
use crate::row::{Key, Row};
use crate::table::Table;

/// Adds, replaces or removes one row.
#[data]
pub enum Change {
    /// Adds the row, or replaces the row with the same key.
    Put(Row),
    /// Removes the row; has no effect if there is none.
    Remove(Key),
}

impl Change {
    /// Returns the key of the changed row.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(row) => row.key(),
            Self::Remove(key) => key.clone(),
        }
    }

    /// Returns the difference that the change makes to a table, column by column.
    pub fn difference(&self, table: &Table) -> Difference {
        let key = self.key();
        let old = table.get(&key);
        let new = match self {
            Self::Put(row) => Some(row),
            Self::Remove(_) => None,
        };
        Difference {
            cells: changed_cells(old, new),
            added: old.is_none(),
            removed: new.is_none(),
            key,
        }
    }
}

/// Describes the change of one row for display.
#[data]
pub struct Difference {
    /// The key of the row.
    pub key: Key,
    /// Whether the row does not exist before the change.
    pub added: bool,
    /// Whether the row does not exist after the change.
    pub removed: bool,
    /// The cells that change, in column order.
    pub cells: Vec<Cell>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match (self.added, self.removed) {
            (true, false) => '+',
            (false, true) => '-',
            _ => '~',
        };
        write!(f, "{sign} {}", self.key)?;
        if self.removed {
            return Ok(());
        }
        self.cells.iter().try_for_each(|cell| write!(f, " {cell}"))
    }
}

/// Holds the text of one cell before and after a change.
#[data]
pub struct Cell {
    /// The column of the cell.
    pub column: Column,
    /// The text before the change; empty if the row did not exist.
    pub old: String,
    /// The text after the change; empty if the row is removed.
    pub new: String,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:?}→{:?}", self.column, self.old, self.new)
    }
}

/// Returns the smallest list of changes that turns the old table into the new one, in row order.
pub fn diff(old: &Table, new: &Table) -> Vec<Change> {
    let mut changes = BTreeMap::new();
    for row in old.rows() {
        changes.insert(row.key(), Change::Remove(row.key()));
    }
    for row in new.rows() {
        match old.get(&row.key()) {
            Some(previous) if previous == row => changes.remove(&row.key()),
            _ => changes.insert(row.key(), Change::Put(row.clone())),
        };
    }
    changes.into_values().collect()
}

/// Applies all changes at once and returns the changed table.
///
/// # Errors
///
/// Returns all problems found in the changed rows; no change is applied then. A problem gives the
/// number of its change, counted from 1, as the row.
pub fn apply(table: &Table, changes: &[Change]) -> Result<Table, Problems> {
    let mut rows: BTreeMap<Key, Row> =
        table.rows().iter().map(|row| (row.key(), row.clone())).collect();
    let mut problems = Vec::new();
    let mut first_numbers = BTreeMap::new();
    for (number, change) in (1..).zip(changes) {
        let key = change.key();
        if let Some(first) = first_numbers.insert(key.clone(), number) {
            let allowed = format!("one change for each row; see change {first}");
            problems.push(Problem::new(number, "", &key.to_string(), allowed));
        }
        match change {
            Change::Put(row) => {
                problems.extend(row.check(number));
                rows.insert(key, row.clone());
            }
            Change::Remove(_) => drop(rows.remove(&key)),
        }
    }
    if problems.is_empty() { Table::new(rows.into_values()) } else { Err(Problems(problems)) }
}

fn changed_cells(old: Option<&Row>, new: Option<&Row>) -> Vec<Cell> {
    let text = |row: Option<&Row>, column| row.map(|row| row.cell(column)).unwrap_or_default();
    let cell = |column| Cell { column, old: text(old, column), new: text(new, column) };
    Column::ALL.into_iter().map(cell).filter(|cell| cell.old != cell.new).collect()
}
