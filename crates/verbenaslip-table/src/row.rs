//! Rows of the table.

use std::fmt;
use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::{Class, Team};

use crate::column::{Column, MAX_NAME_BYTES, MAX_NOTE_BYTES};
use crate::problem::Problem;

/// The class whose row applies to all classes of the team that have no row of their own.
pub const FALLBACK_CLASS: &str = "*";

/// Holds the operators' settings for one team and request class; [`Column`] describes each field.
#[data]
pub struct Row {
    /// See [`Column::Team`].
    pub team: Team,
    /// See [`Column::Class`].
    pub class: Class,
    /// See [`Column::Weight`].
    pub weight: u32,
    /// See [`Column::Priority`].
    pub priority: u32,
    /// See [`Column::Rate`]; none for no limit.
    pub rate: Option<u32>,
    /// See [`Column::Burst`].
    pub burst: u32,
    /// See [`Column::Concurrency`].
    pub concurrency: u32,
    /// See [`Column::TokensPerS`]; none for no limit.
    pub tokens_per_s: Option<u32>,
    /// See [`Column::DeadlineMs`].
    pub deadline_ms: u32,
    /// See [`Column::FirstTokenMs`].
    pub first_token_ms: u32,
    /// See [`Column::MaxOutputTokens`].
    pub max_output_tokens: u32,
    /// See [`Column::MaxWaitMs`].
    pub max_wait_ms: u32,
    /// See [`Column::RetriesPercent`].
    pub retries_percent: u32,
    /// See [`Column::ReservePercent`].
    pub reserve_percent: u32,
    /// See [`Column::Prefer`].
    pub prefer: Preference,
    /// See [`Column::Note`].
    pub note: Arc<str>,
}

impl Row {
    /// Returns a row with default settings: no rate limits, and 30 s for the whole answer.
    pub fn new(team: impl Into<Team>, class: impl Into<Class>) -> Self {
        Self {
            team: team.into(),
            class: class.into(),
            weight: 100,
            priority: 5,
            rate: None,
            burst: 100,
            concurrency: 1_000,
            tokens_per_s: None,
            deadline_ms: 30_000,
            first_token_ms: 1_400,
            max_output_tokens: 4_096,
            max_wait_ms: 10_000,
            retries_percent: 10,
            reserve_percent: 0,
            prefer: Preference::Cost,
            note: "".into(),
        }
    }

    /// Returns the row's key.
    pub fn key(&self) -> Key {
        Key { team: self.team.clone(), class: self.class.clone() }
    }

    /// Returns the text of one cell as it is written to the file.
    pub fn cell(&self, column: Column) -> String {
        match column {
            Column::Team => self.team.to_string(),
            Column::Class => self.class.to_string(),
            Column::Prefer => self.prefer.to_string(),
            Column::Note => self.note.to_string(),
            _ => self.number(column).map(|number| number.to_string()).unwrap_or_default(),
        }
    }

    /// Returns all problems of the row, each with the given row number.
    pub fn check(&self, number: u32) -> Vec<Problem> {
        let problems = Column::ALL.into_iter().filter(|column| !self.is_cell_valid(*column));
        let mut problems: Vec<Problem> = problems
            .map(|column| Problem::cell(number, column, &self.cell(column), column.allowed()))
            .collect();
        if problems.is_empty() {
            problems.extend(self.check_deadline(number));
        }
        problems
    }

    /// Returns the cells that exceed the row's deadline, as problems with the given row number.
    pub(crate) fn check_deadline(&self, number: u32) -> Vec<Problem> {
        let columns = [Column::FirstTokenMs, Column::MaxWaitMs].into_iter();
        let exceeding = columns.filter(|column| self.number(*column) > Some(self.deadline_ms));
        let allowed = format!("at most the row's deadline_ms, {}", self.deadline_ms);
        exceeding
            .map(|column| Problem::cell(number, column, &self.cell(column), &*allowed))
            .collect()
    }

    /// Returns whether a cell's value is allowed, regardless of the other cells.
    pub(crate) fn is_cell_valid(&self, column: Column) -> bool {
        match column {
            Column::Team => is_name(self.team.as_str()),
            Column::Class => self.class.as_str() == FALLBACK_CLASS || is_name(self.class.as_str()),
            Column::Prefer => true,
            Column::Note => is_note(&self.note),
            _ => column.bounds().is_none_or(|bounds| match self.number(column) {
                Some(number) => bounds.contains(number),
                None => bounds.optional,
            }),
        }
    }

    /// Returns the value of a numeric column; none for a column of text or an empty cell.
    fn number(&self, column: Column) -> Option<u32> {
        match column {
            Column::Weight => Some(self.weight),
            Column::Priority => Some(self.priority),
            Column::Rate => self.rate,
            Column::Burst => Some(self.burst),
            Column::Concurrency => Some(self.concurrency),
            Column::TokensPerS => self.tokens_per_s,
            Column::DeadlineMs => Some(self.deadline_ms),
            Column::FirstTokenMs => Some(self.first_token_ms),
            Column::MaxOutputTokens => Some(self.max_output_tokens),
            Column::MaxWaitMs => Some(self.max_wait_ms),
            Column::RetriesPercent => Some(self.retries_percent),
            Column::ReservePercent => Some(self.reserve_percent),
            Column::Team | Column::Class | Column::Prefer | Column::Note => None,
        }
    }
}

/// Identifies a row by its team and request class.
#[data(ord, hash)]
pub struct Key {
    /// The team.
    pub team: Team,
    /// The request class.
    pub class: Class,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.class)
    }
}

/// Tells what to minimize when cost and latency conflict.
#[data(copy, ord, hash, default)]
pub enum Preference {
    /// Minimizes cost.
    #[default]
    Cost,
    /// Minimizes latency.
    Latency,
}

impl Preference {
    /// Returns the preference with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "cost" => Some(Self::Cost),
            "latency" => Some(Self::Latency),
            _ => None,
        }
    }
}

impl fmt::Display for Preference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cost => "cost",
            Self::Latency => "latency",
        })
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn is_note(note: &str) -> bool {
    note.len() <= MAX_NOTE_BYTES && note.trim() == note && !note.chars().any(char::is_control)
}
