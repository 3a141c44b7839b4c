//! What tells two tables apart, row by row.

use std::collections::BTreeMap;
use std::fmt;

use verbenaslip_base::data;

use crate::column::Column;
use crate::problem::{Problem, Problems};
use crate::row::{Key, Row};
use crate::table::Table;

/// Changes one row.
#[data]
pub enum Change {
    /// Adds the row or replaces the one with its key.
    Put(Row),
    /// Takes the row away; does nothing where there is none.
    Remove(Key),
}

impl Change {
    /// Returns which row is changed.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(row) => row.key(),
            Self::Remove(key) => key.clone(),
        }
    }

    /// Compares the change with the table that it is made to, column by column.
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

/// Shows one row's change to a person.
#[data]
pub struct Difference {
    /// Which row.
    pub key: Key,
    /// Whether the row was not there before.
    pub added: bool,
    /// Whether the row is not there afterwards.
    pub removed: bool,
    /// The cells that change, in the order of the columns.
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

/// Holds one cell before and after a change.
#[data]
pub struct Cell {
    /// The column.
    pub column: Column,
    /// The text before; empty for a row that was not there.
    pub old: String,
    /// The text after; empty for a row that is gone.
    pub new: String,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:?}→{:?}", self.column, self.old, self.new)
    }
}

/// Returns the least changes that make the new table of the old one, in the order of the rows.
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

/// Makes all changes at once.
///
/// # Errors
///
/// Returns every problem of every changed row; then none of the changes is made.
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
