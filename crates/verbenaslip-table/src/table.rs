//! The table as a whole.

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_base::name::{Class, Team};

use crate::problem::{Problem, Problems};
use crate::row::{FALLBACK, Key, Row};

/// Bounds the rows of a table, so that a copy of it fits every instance and message.
pub const MAX_ROWS: usize = 4_096;

/// Holds the rows in the order of team and class, each allowed and each key once.
#[data(default)]
#[serde(try_from = "Vec<Row>", into = "Vec<Row>")]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// Takes rows in any order.
    ///
    /// # Errors
    ///
    /// Returns every problem of every row; the row numbers count from 2 in the order given.
    pub fn new(rows: impl IntoIterator<Item = Row>) -> Result<Self, Problems> {
        let lines = rows.into_iter().zip(2..).map(|(row, number)| Line { number, row });
        let lines: Vec<Line> = lines.collect();
        let mut problems = lines.iter().flat_map(|line| line.row.check(line.number)).collect();
        let table = Self::gather(lines, &mut problems);
        if problems.is_empty() { Ok(table) } else { Err(Problems(problems)) }
    }

    /// Returns the row for a class of a team: its own, else the team's fallback row.
    pub fn row(&self, team: &Team, class: &Class) -> Option<&Row> {
        self.exact(team, class.as_str()).or_else(|| self.exact(team, FALLBACK))
    }

    /// Returns the row with exactly that key.
    pub fn get(&self, key: &Key) -> Option<&Row> {
        self.exact(&key.team, key.class.as_str())
    }

    /// Returns the rows in the order of team and class.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns a number that differs when the tables differ.
    pub fn digest(&self) -> u128 {
        hash::wide(&[self.to_csv().as_bytes()])
    }

    /// Sorts rows that were checked one by one, and adds to the problems what is wrong among them.
    pub(crate) fn gather(mut lines: Vec<Line>, problems: &mut Vec<Problem>) -> Self {
        if lines.len() > MAX_ROWS {
            let allowed = format!("at most {MAX_ROWS} rows below the header");
            problems.push(Problem::new(0, "", &format!("{} rows", lines.len()), allowed));
        }
        lines.sort_by_cached_key(|line| (line.row.key(), line.number));
        for pair in lines.windows(2) {
            if let [first, second] = pair
                && first.row.key() == second.row.key()
            {
                let allowed = format!("one row for each team and class; see row {}", first.number);
                let value = second.row.key().to_string();
                problems.push(Problem::new(second.number, "", &value, allowed));
            }
        }
        problems.sort_by_key(|problem| problem.row);
        Self { rows: lines.into_iter().map(|line| line.row).collect() }
    }

    fn exact(&self, team: &Team, class: &str) -> Option<&Row> {
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

/// Holds a row and where it stands.
pub(crate) struct Line {
    pub(crate) number: u32,
    pub(crate) row: Row,
}
