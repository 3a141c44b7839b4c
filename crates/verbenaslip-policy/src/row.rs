//! Converts a row of the route table to the units used by the policy.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_table::{Key, Preference, Row};

/// Holds the parameters of a route table row.
#[data(copy)]
pub struct RowParams {
    /// The row's weight; rows of one priority share the capacity in proportion to it.
    pub weight: u32,
    /// The priority from 0 to 9. Rows with a higher priority go first.
    pub priority: u8,
    /// The limit in requests per second; `None` is unlimited.
    pub rate: Option<u32>,
    /// The number of requests that may arrive at once before the rate limit applies.
    pub burst: u32,
    /// The maximum number of requests that run at once.
    pub concurrency: u32,
    /// The limit in prompt and answer tokens per second; `None` is unlimited.
    pub tokens_per_second: Option<u32>,
    /// The time from arrival to the deadline of the complete answer, used when the caller gives
    /// none.
    pub deadline: Duration,
    /// The time from arrival until the first token is due.
    pub first_token_deadline: Duration,
    /// The maximum number of tokens of an answer.
    pub max_output_tokens: u32,
    /// The maximum time that a request may be queued at this instance.
    pub max_wait: Duration,
    /// The number of retries allowed per hundred successes.
    pub retry_percent: u32,
    /// The percentage of the capacity that is kept on on-demand machines.
    pub reserve_percent: u32,
    /// Whether low cost or low latency is preferred when both are not possible.
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

/// Returns a short hash of a row's key that is the same at every instance.
pub(crate) fn row_hash(key: &Key) -> u32 {
    hash::narrow(&[key.team.as_str().as_bytes(), key.class.as_str().as_bytes()]) as u32
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
