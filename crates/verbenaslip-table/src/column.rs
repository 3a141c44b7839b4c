//! The columns of the table and their allowed values.

use std::fmt;

use verbenaslip_base::data;

/// Names a column; the variants are in the order of the columns in the file.
#[data(copy, ord, hash)]
pub enum Column {
    /// The team to which the caller's API key belongs.
    Team,
    /// The request class; `*` stands for all classes of the team that have no row of their own.
    Class,
    /// The share of capacity under load, relative to the weights of rows with the same priority.
    Weight,
    /// The priority under load: requests with a higher priority go first.
    Priority,
    /// The maximum number of requests per second over all instances; empty for no limit.
    Rate,
    /// The number of requests that may arrive at once before the rate limit applies.
    Burst,
    /// The maximum number of requests in progress over all instances.
    Concurrency,
    /// The maximum number of tokens per second, in prompts and answers; empty for no limit.
    TokensPerS,
    /// The time in milliseconds for the whole answer, used when the caller sets none.
    DeadlineMs,
    /// The target time until the first token, in milliseconds.
    FirstTokenMs,
    /// The maximum number of tokens in an answer.
    MaxOutputTokens,
    /// The maximum time in milliseconds that a request waits before it is given up.
    MaxWaitMs,
    /// The number of retries allowed, in percent of the requests.
    RetriesPercent,
    /// The share of capacity that is kept on on-demand instances, in percent.
    ReservePercent,
    /// What to minimize when cost and latency conflict: `cost` or `latency`.
    Prefer,
    /// A note by the operators.
    Note,
}

impl Column {
    /// The columns in the order of the file.
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

    /// Returns the column's name in the header of the file.
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

    /// Returns the column with the given name in the header.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|column| column.name() == name)
    }

    /// Returns the allowed values as text for an error message.
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

    /// Returns the bounds of a numeric column, or none for a column of text.
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

/// Holds the smallest and largest allowed value of a number, and whether a cell may be empty.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) min: u32,
    pub(crate) max: u32,
    pub(crate) optional: bool,
}

impl Bounds {
    /// Returns whether the number lies within the bounds.
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

/// The maximum length of a team or class name.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// The maximum length of a note.
pub(crate) const MAX_NOTE_BYTES: usize = 200;

/// One day in milliseconds.
const DAY_MS: u32 = 24 * 60 * 60 * 1_000;
