//! What the policy needs to know of one row of the operators' table.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_table::{Key, Preference, Row};

/// Holds a row's terms in the units that decisions use.
#[data(copy)]
pub struct RowParams {
    /// The row's part of the capacity, beside the weights of the other rows of its priority.
    pub weight: u32,
    /// Which rows go first: a higher one before a lower one, 0 to 9.
    pub priority: u8,
    /// Requests a second; none is without limit.
    pub rate: Option<u32>,
    /// How many requests may come at once before the rate counts.
    pub burst: u32,
    /// Requests that run at once.
    pub concurrency: u32,
    /// Prompt and answer tokens a second; none is without limit.
    pub tokens_per_second: Option<u32>,
    /// How long after arrival the whole answer is due when the caller did not say.
    pub deadline: Duration,
    /// How long after arrival the first token is due.
    pub first_token_deadline: Duration,
    /// The most tokens an answer may have.
    pub max_output_tokens: u32,
    /// The longest that a request may wait here.
    pub max_wait: Duration,
    /// Retries for a hundred successes.
    pub retry_percent: u32,
    /// Part of the capacity that is kept on on-demand instances, in hundredths.
    pub reserve_percent: u32,
    /// What to spare when both can't be had.
    pub prefer: Preference,
}

impl From<&Row> for RowParams {
    fn from(row: &Row) -> Self {
        Self {
            weight: row.weight.max(1),
            priority: row.priority.min(9) as u8,
            rate: row.rate,
            burst: row.burst,
            concurrency: row.concurrency,
            tokens_per_second: row.tokens_per_s,
            deadline: millis(row.deadline_ms),
            first_token_deadline: millis(row.first_token_ms),
            max_output_tokens: row.max_output_tokens,
            max_wait: millis(row.max_wait_ms),
            retry_percent: row.retries_percent,
            reserve_percent: row.reserve_percent,
            prefer: row.prefer,
        }
    }
}

/// Returns a short name of a row that every instance computes alike.
pub(crate) fn row_hash(key: &Key) -> u32 {
    hash::narrow(&[key.team.as_str().as_bytes(), key.class.as_str().as_bytes()]) as u32
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
