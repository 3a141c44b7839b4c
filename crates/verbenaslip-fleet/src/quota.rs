//! What teams may still ask for, over all entries together.
//!
//! The leader keeps one bucket for each team and lends from it. What is lent leaves the bucket at once, so
//! whatever becomes of the entries, together they spend no more than it held. An entry that has nothing left
//! of a team's limit asks before it admits a request, and is refused only if the bucket is empty.
//!
//! Buckets that are split between entries would each run dry by chance, the more entries the sooner, while
//! the team as a whole is far within its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Team;

use crate::route_table::{Quota, RouteTable};

/// The part of a bucket that a new leader begins with. It can't know what its predecessor's was, and
/// the time without a leader was spent on equal parts of the limits.
const INITIAL_FILL: f64 = 0.1;

/// The same after all entries have restarted: nothing was spent meanwhile, and callers that waited arrive at once.
const INITIAL_FILL_AFTER_RESTART: f64 = 1.0;

/// The part of a bucket that is kept for requests that are there, when units are lent ahead of others.
const PREFETCH_RESERVE: f64 = 0.75;

/// Asks for units of a team's limit.
#[data(float)]
pub struct LoanRequest {
    /// Comes back in the answer.
    pub id: u64,
    /// The team.
    pub team: Team,
    /// Units that a request waits for.
    pub required: f64,
    /// Units beyond that for the requests that are likely to follow.
    pub prefetch: f64,
}

/// Answers a [`LoanRequest`].
#[data(float)]
pub struct LoanGrant {
    /// The loan.
    pub id: u64,
    /// Units that may be admitted: none, or all that is needed and more.
    pub units: f64,
    /// Without any: how long the bucket stays empty.
    pub empty_for: Duration,
}

/// Gives back units that were lent and not used.
#[data(float)]
pub struct Refund {
    /// The team.
    pub team: Team,
    /// The units.
    pub units: f64,
}

/// Keeps the bucket of each team.
#[derive(Debug, Default)]
pub struct TeamBuckets {
    buckets: BTreeMap<Team, TokenBucket>,
    all_restarted: bool,
}

#[derive(Debug)]
struct TokenBucket {
    quota: Quota,
    tokens: f64,
    refilled_at: Duration,
}

impl TeamBuckets {
    /// Starts; `all_restarted` tells whether all entries have just started.
    pub fn new(all_restarted: bool) -> Self {
        Self { all_restarted, ..Self::default() }
    }

    /// Lets time pass; `free` is the part of the limits that no silent entry may be spending.
    pub fn refill(&mut self, now: Duration, route_table: &RouteTable, available_share: f64) {
        let initial_fill =
            if self.all_restarted { INITIAL_FILL_AFTER_RESTART } else { INITIAL_FILL };
        let limited = route_table
            .teams
            .iter()
            .filter_map(|team| Some((&team.name, team.quota.filter(is_limiting)?)));
        let mut previous = std::mem::take(&mut self.buckets);
        for (team, quota) in limited {
            let new_bucket =
                || TokenBucket { quota, tokens: quota.burst * initial_fill, refilled_at: now };
            let mut bucket = previous.remove(team).unwrap_or_else(new_bucket);
            bucket.quota = quota;
            bucket.refill(now, available_share);
            self.buckets.insert(team.clone(), bucket);
        }
    }

    /// Lends what a request needs, unless the bucket is empty.
    ///
    /// A request may be larger than what is left; larger than the whole bucket, it would else never be admitted.
    pub fn grant(&mut self, request: &LoanRequest) -> LoanGrant {
        let LoanRequest { id, required, prefetch, .. } = *request;
        let grant = |units| LoanGrant { id, units, empty_for: Duration::ZERO };
        let Some(bucket) = self.buckets.get_mut(&request.team) else {
            return grant(required + prefetch);
        };
        if bucket.tokens <= 0.0 {
            let empty_for = -bucket.tokens / bucket.quota.rate;
            let empty_for = Duration::try_from_secs_f64(empty_for).unwrap_or(Duration::MAX);
            return LoanGrant { id, units: 0.0, empty_for };
        }
        let spare = (bucket.tokens - required - bucket.quota.burst * PREFETCH_RESERVE).max(0.0);
        let units = required + prefetch.min(spare);
        bucket.tokens -= units;
        grant(units)
    }

    /// Takes back what was lent and not used.
    pub fn refund(&mut self, refund: &Refund) {
        if let Some(bucket) = self.buckets.get_mut(&refund.team) {
            bucket.tokens = (bucket.tokens + refund.units).min(bucket.quota.burst.max(1.0));
        }
    }
}

impl TokenBucket {
    fn refill(&mut self, now: Duration, free: f64) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let most = self.quota.burst.max(1.0);
        self.tokens = (self.tokens + self.quota.rate * free * passed).min(most);
        self.refilled_at = now;
    }
}

/// Tells whether a quota limits anything.
fn is_limiting(quota: &Quota) -> bool {
    quota.rate > 0.0
}
