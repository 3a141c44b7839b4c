//! The table of all rows.

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_base::name::{Class, Team};

use crate::problem::{Problem, Problems};
use crate::row::{FALLBACK_CLASS, Key, Row};

/// The maximum number of rows, so that a copy of the table fits on every instance and in a message.
pub const MAX_ROWS: usize = 4_096;

/// Holds valid rows with unique keys, sorted by team and class.
#[data(default)]
#[serde(try_from = "Vec<Row>", into = "Vec<Row>")]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// Creates a table from rows in any order.
    ///
    /// # Errors
    ///
    /// Returns all problems of all rows; rows are numbered from 2 in the given order, as in a file.
    pub fn new(rows: impl IntoIterator<Item = Row>) -> Result<Self, Problems> {
        let numbered_rows =
            rows.into_iter().zip(2..).map(|(row, number)| NumberedRow { number, row });
        let numbered_rows: Vec<NumberedRow> = numbered_rows.collect();
        let mut problems =
            numbered_rows.iter().flat_map(|numbered| numbered.row.check(numbered.number)).collect();
        let table = Self::from_numbered_rows(numbered_rows, &mut problems);
        if problems.is_empty() { Ok(table) } else { Err(Problems(problems)) }
    }

    /// Returns the row of the team's class, or else the team's fallback row.
    pub fn row(&self, team: &Team, class: &Class) -> Option<&Row> {
        self.find(team, class.as_str()).or_else(|| self.find(team, FALLBACK_CLASS))
    }

    /// Returns the row with exactly this key, without the fallback.
    pub fn get(&self, key: &Key) -> Option<&Row> {
        self.find(&key.team, key.class.as_str())
    }

    /// Returns the rows, sorted by team and class.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns a hash of the table's content, which differs between different tables.
    pub fn digest(&self) -> u128 {
        hash::wide(&[self.to_csv().as_bytes()])
    }

    /// Sorts rows that were already checked one by one, and adds the problems between rows.
    pub(crate) fn from_numbered_rows(
        mut numbered_rows: Vec<NumberedRow>,
        problems: &mut Vec<Problem>,
    ) -> Self {
        if numbered_rows.len() > MAX_ROWS {
            let allowed = format!("at most {MAX_ROWS} rows below the header");
            problems.push(Problem::new(0, "", &format!("{} rows", numbered_rows.len()), allowed));
        }
        numbered_rows.sort_by_cached_key(|numbered| (numbered.row.key(), numbered.number));
        for pair in numbered_rows.windows(2) {
            if let [first, second] = pair
                && first.row.key() == second.row.key()
            {
                let allowed = format!("one row for each team and class; see row {}", first.number);
                let value = second.row.key().to_string();
                problems.push(Problem::new(second.number, "", &value, allowed));
            }
        }
        problems.sort_by_key(|problem| problem.row);
        Self { rows: numbered_rows.into_iter().map(|numbered| numbered.row).collect() }
    }

    fn find(&self, team: &Team, class: &str) -> Option<&Row> {
        let wanted = (team.as_str(), class);
        let found = self.rows.binary_search_by(|row| {
            let key = (row.team.as_str(), row.class.as_str());
            key.cmp(&wanted)
        });
        self.rows.get(found.ok()?)
    }
}

impl TryFrom<Vec<Row>> for Table {
    type Error = Problems;

    fn try_from(rows: Vec<Row>) -> Result<Self, Problems> {
        Self::new(rows)
    }
}

impl From<Table> for Vec<Row> {
    fn from(table: Table) -> Self {
        table.rows
    }
}

/// Holds a row and its line number in the file.
pub(crate) struct NumberedRow {
    pub(crate) number: u32,
    pub(crate) row: Row,
}
