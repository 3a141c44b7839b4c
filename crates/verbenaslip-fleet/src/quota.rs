//! Rate limits of teams, shared by all entries.
//!
//! The leader keeps one token bucket per team and grants loans from it. Granted tokens leave the
//! bucket at once, so the entries together never spend more than the bucket held, whatever happens
//! to them. An entry without tokens requests a loan before it admits a request, and the request is
//! refused only if the bucket is empty.
//!
//! Buckets split between entries would run dry by chance, more often the more entries there are,
//! while the team as a whole is far within its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Team;

use crate::hub::SHARE_LEASE;
use crate::route_table::{Quota, RouteTable};

/// Time after the start of a leadership in which nothing flows into its buckets: entries that do not
/// hear it yet spend equal shares of the limits.
const TAKEOVER_TIME: Duration = SHARE_LEASE;

/// Fraction of the burst that prefetched tokens may not use, kept for requests that are already
/// waiting.
const PREFETCH_RESERVE: f64 = 0.75;

/// Requests tokens from a team's rate limit.
#[data(float)]
pub struct LoanRequest {
    /// Identifies the request in the answer.
    pub id: u64,
    /// The team.
    pub team: Team,
    /// Tokens that a request waits for.
    pub required: f64,
    /// Additional tokens for requests that are likely to follow.
    pub prefetch: f64,
}

/// Answers a [`LoanRequest`].
#[data(float)]
pub struct LoanGrant {
    /// Identifier of the request.
    pub id: u64,
    /// Granted tokens: zero, or at least the required ones.
    pub units: f64,
    /// How long the bucket will remain empty, if nothing was granted.
    pub empty_for: Duration,
}

/// Returns tokens that were granted and not used.
#[data(float)]
pub struct Refund {
    /// The team.
    pub team: Team,
    /// The tokens.
    pub units: f64,
}

/// Keeps the token bucket of each team.
///
/// A bucket starts full under a new leader, which does not know its previous level. Each entry knows
/// its part of what is missing, and claims it together with the first loan that it asks for.
#[derive(Debug, Default)]
pub struct TeamBuckets {
    buckets: BTreeMap<Team, TokenBucket>,
    /// When units begin to flow in.
    inflow_from: Duration,
}

#[derive(Debug)]
struct TokenBucket {
    quota: Quota,
    tokens: f64,
    refilled_at: Duration,
}

impl TeamBuckets {
    /// Creates the buckets of a leadership that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { inflow_from: now + TAKEOVER_TIME, ..Self::default() }
    }

    /// Refills the buckets up to `now`; `available_share` is the fraction of the limits that no
    /// silent entry may be spending.
    pub fn refill(&mut self, now: Duration, route_table: &RouteTable, available_share: f64) {
        let limited = route_table
            .teams
            .iter()
            .filter_map(|team| Some((&team.name, team.quota.filter(is_limiting)?)));
        let mut previous = std::mem::take(&mut self.buckets);
        for (team, quota) in limited {
            let refilled_at = now.max(self.inflow_from);
            let new_bucket = || TokenBucket { quota, tokens: quota.burst, refilled_at };
            let mut bucket = previous.remove(team).unwrap_or_else(new_bucket);
            bucket.quota = quota;
            bucket.refill(now, available_share);
            self.buckets.insert(team.clone(), bucket);
        }
    }

    /// Grants the tokens that a request needs, unless the bucket is empty.
    ///
    /// A request may take more than the remaining tokens and leave the bucket negative. Otherwise a
    /// request larger than the whole bucket could never be admitted.
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

    /// Returns unused tokens to the bucket.
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
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns whether a quota limits anything.
fn is_limiting(quota: &Quota) -> bool {
    quota.rate > 0.0
}
