//! What the policy needs to know of one row of the operators' table.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Class, Team};

/// Identifies a row of the table.
#[data(ord, hash)]
pub struct Key {
    /// The team.
    pub team: Team,
    /// The request class.
    pub class: Class,
}

impl Key {
    /// Returns the key of the row that a request falls under.
    pub fn of(head: &Head) -> Self {
        Self { team: head.team.clone(), class: head.class.clone() }
    }

    /// Returns a short name that every instance computes alike.
    pub fn digest(&self) -> u32 {
        hash::narrow(&[self.team.as_str().as_bytes(), self.class.as_str().as_bytes()]) as u32
    }
}

/// Names what a row would rather have when not all can be had.
#[data(copy, ord, hash, default)]
pub enum Prefer {
    /// The lowest price at which the deadline is met.
    #[default]
    Cost,
    /// The earliest first token.
    Latency,
    /// The fewest tokens computed again.
    Cache,
}

/// Holds a row's terms in the units that decisions use.
#[data(copy)]
pub struct Terms {
    /// The row's part of the capacity, beside the weights of the other rows.
    pub weight: u32,
    /// Which rows go first: a higher one before a lower one, 0 to 9.
    pub priority: u8,
    /// Requests a second; none is without limit.
    pub rate: Option<u32>,
    /// How many requests may come at once above the rate.
    pub burst: u32,
    /// Requests that run at once; none is without limit.
    pub concurrency: Option<u32>,
    /// Prompt and answer tokens a second; none is without limit.
    pub tokens: Option<u32>,
    /// How long after arrival the whole answer is due when the caller did not say.
    pub deadline: Duration,
    /// How long after arrival the first token is due.
    pub first_token: Duration,
    /// The most tokens an answer may have.
    pub output: u32,
    /// The longest that a request may wait here.
    pub wait: Duration,
    /// Retries for a hundred successes.
    pub retries: u32,
    /// Part of the slots, in hundredths, that lower priorities leave free for this row.
    pub reserve: u32,
    /// What it would rather have.
    pub prefer: Prefer,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            weight: 1,
            priority: 5,
            rate: None,
            burst: 1,
            concurrency: None,
            tokens: None,
            deadline: Duration::from_secs(60),
            first_token: Duration::from_secs(5),
            output: 1024,
            wait: Duration::from_secs(30),
            retries: 10,
            reserve: 0,
            prefer: Prefer::Cost,
        }
    }
}
