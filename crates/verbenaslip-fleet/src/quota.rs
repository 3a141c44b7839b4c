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
const BEGIN: f64 = 0.1;

/// The same after all entries have restarted: nothing was spent meanwhile, and callers that waited arrive at once.
const BEGIN_RESTARTED: f64 = 1.0;

/// The part of a bucket that is kept for requests that are there, when units are lent ahead of others.
const KEPT: f64 = 0.75;

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
    buckets: BTreeMap<Team, Bucket>,
    restarted: bool,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    at: Duration,
}

impl TeamBuckets {
    /// Starts; `restarted` tells whether all entries have just started.
    pub fn new(restarted: bool) -> Self {
        Self { restarted, ..Self::default() }
    }

    /// Lets time pass; `free` is the part of the limits that no silent entry may be spending.
    pub fn refill(&mut self, now: Duration, sheet: &RouteTable, free: f64) {
        let begin = if self.restarted { BEGIN_RESTARTED } else { BEGIN };
        let limited =
            sheet.teams.iter().filter_map(|row| Some((&row.name, row.quota.filter(is_limit)?)));
        let mut before = std::mem::take(&mut self.buckets);
        for (team, quota) in limited {
            let open = || Bucket { quota, level: quota.burst * begin, at: now };
            let mut bucket = before.remove(team).unwrap_or_else(open);
            bucket.quota = quota;
            bucket.refill(now, free);
            self.buckets.insert(team.clone(), bucket);
        }
    }

    /// Lends what a request needs, unless the bucket is empty.
    ///
    /// A request may be larger than what is left; larger than the whole bucket, it would else never be admitted.
    pub fn grant(&mut self, loan: &LoanRequest) -> LoanGrant {
        let LoanRequest { id, required: need, prefetch: ahead, .. } = *loan;
        let lent = |units| LoanGrant { id, units, empty_for: Duration::ZERO };
        let Some(bucket) = self.buckets.get_mut(&loan.team) else { return lent(need + ahead) };
        if bucket.level <= 0.0 {
            let wait = -bucket.level / bucket.quota.rate;
            let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
            return LoanGrant { id, units: 0.0, empty_for: wait };
        }
        let spare = (bucket.level - need - bucket.quota.burst * KEPT).max(0.0);
        let units = need + ahead.min(spare);
        bucket.level -= units;
        lent(units)
    }

    /// Takes back what was lent and not used.
    pub fn refund(&mut self, refund: &Refund) {
        if let Some(bucket) = self.buckets.get_mut(&refund.team) {
            bucket.level = (bucket.level + refund.units).min(bucket.quota.burst.max(1.0));
        }
    }
}

impl Bucket {
    fn refill(&mut self, now: Duration, free: f64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let most = self.quota.burst.max(1.0);
        self.level = (self.level + self.quota.rate * free * passed).min(most);
        self.at = now;
    }
}

/// Tells whether a quota limits anything.
fn is_limit(quota: &Quota) -> bool {
    quota.rate > 0.0
}
