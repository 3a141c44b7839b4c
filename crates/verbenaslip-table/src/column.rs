//! The columns of the table and the values that each takes.

use std::fmt;

use verbenaslip_base::data;

/// Names a column, in the order of the file.
#[data(copy, ord, hash)]
pub enum Column {
    /// The team whose key the caller shows.
    Team,
    /// The request class; `*` stands for every class of the team without a row of its own.
    Class,
    /// The share of a busy system, against the weights of other rows of the same priority.
    Weight,
    /// Which work goes first when there is too much; higher goes first.
    Priority,
    /// The most requests a second, over all instances; empty for no limit.
    Rate,
    /// How many requests may come at once before the rate counts.
    Burst,
    /// The most requests in progress, over all instances.
    Concurrency,
    /// The most tokens a second, prompts and answers together; empty for no limit.
    TokensPerS,
    /// The time for the whole answer, in milliseconds, where the caller sets none.
    DeadlineMs,
    /// The time aimed at for the first token, in milliseconds.
    FirstTokenMs,
    /// The most tokens of an answer.
    MaxOutputTokens,
    /// The longest wait before a request is given up, in milliseconds.
    MaxWaitMs,
    /// The retries allowed, in percent of the requests.
    RetriesPercent,
    /// The share of capacity kept on on-demand instances, in percent.
    ReservePercent,
    /// What to spare when both can't be had: `cost` or `latency`.
    Prefer,
    /// A remark of the operators.
    Note,
}

impl Column {
    /// Lists the columns in the order of the file.
    pub const ALL: [Self; 16] = [
        Self::Team,
        Self::Class,
        Self::Weight,
        Self::Priority,
        Self::Rate,
        Self::Burst,
        Self::Concurrency,
        Self::TokensPerS,
        Self::DeadlineMs,
        Self::FirstTokenMs,
        Self::MaxOutputTokens,
        Self::MaxWaitMs,
        Self::RetriesPercent,
        Self::ReservePercent,
        Self::Prefer,
        Self::Note,
    ];

    /// Returns the name that stands in the header.
    pub fn name(self) -> &'static str {
        match self {
            Self::Team => "team",
            Self::Class => "class",
            Self::Weight => "weight",
            Self::Priority => "priority",
            Self::Rate => "rate",
            Self::Burst => "burst",
            Self::Concurrency => "concurrency",
            Self::TokensPerS => "tokens_per_s",
            Self::DeadlineMs => "deadline_ms",
            Self::FirstTokenMs => "first_token_ms",
            Self::MaxOutputTokens => "max_output_tokens",
            Self::MaxWaitMs => "max_wait_ms",
            Self::RetriesPercent => "retries_percent",
            Self::ReservePercent => "reserve_percent",
            Self::Prefer => "prefer",
            Self::Note => "note",
        }
    }

    /// Returns the column with that name in the header.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|column| column.name() == name)
    }

    /// Says which values are allowed, in the words of an error message.
    pub fn allowed(self) -> String {
        match (self, self.bounds()) {
            (_, Some(bounds)) => bounds.to_string(),
            (Self::Team, _) => {
                format!("1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-'")
            }
            (Self::Class, _) => {
                format!("'*', or 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-'")
            }
            (Self::Prefer, _) => "cost or latency".to_owned(),
            _ => format!("up to {MAX_NOTE_BYTES} bytes on one line, without control characters"),
        }
    }

    /// Returns the bounds of a column that holds a number.
    pub(crate) fn bounds(self) -> Option<Bounds> {
        let (min, max) = match self {
            Self::Weight => (1, 1_000),
            Self::Priority => (0, 9),
            Self::Rate | Self::Burst => (1, 1_000_000),
            Self::Concurrency => (1, 1_000_000),
            Self::TokensPerS => (1, 1_000_000_000),
            Self::DeadlineMs => (1, DAY_MS),
            Self::FirstTokenMs => (1, DAY_MS),
            Self::MaxOutputTokens => (1, 10_000_000),
            Self::MaxWaitMs => (0, DAY_MS),
            Self::RetriesPercent | Self::ReservePercent => (0, 100),
            Self::Team | Self::Class | Self::Prefer | Self::Note => return None,
        };
        let optional = matches!(self, Self::Rate | Self::TokensPerS);
        Some(Bounds { min, max, optional })
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Holds the least and the greatest value of a number, and whether it may be left out.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) min: u32,
    pub(crate) max: u32,
    pub(crate) optional: bool,
}

impl Bounds {
    /// Says whether a number lies within the bounds.
    pub(crate) fn contains(self, number: u32) -> bool {
        (self.min..=self.max).contains(&number)
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a whole number from {} to {}", self.min, self.max)?;
        if self.optional {
            f.write_str(", or empty for no limit")?;
        }
        Ok(())
    }
}

/// Bounds a team's or class's name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Bounds a note, in bytes.
pub(crate) const MAX_NOTE_BYTES: usize = 200;

/// One day in milliseconds.
const DAY_MS: u32 = 24 * 60 * 60 * 1_000;
