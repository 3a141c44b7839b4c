//! What teams may still use of their limits at this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Team;
use verbenaslip_fleet::hub::SHARE_LEASE;
use verbenaslip_fleet::quota::{LoanGrant, Refund};
use verbenaslip_fleet::route_table::{Quota, TeamConfig};
use verbenaslip_fleet::view::View;

/// Time for which units are borrowed in advance for a busy team, so that its requests need not
/// each wait for the leader.
const LOAN_AHEAD: Duration = Duration::from_secs(1);

/// Minimum number of requests expected within [`LOAN_AHEAD`] before units are borrowed in advance.
const MIN_REQUESTS_AHEAD: f64 = 2.0;

/// Time constant of a team's smoothed request rate, in seconds.
const RATE_TIME_CONSTANT_SECS: f64 = 2.0;

/// Term of no leader.
const UNASKED_TERM: u64 = u64::MAX;

/// Shortest and longest retry time for a caller beyond the limit, in seconds.
const RETRY_AFTER_SECS: (f64, f64) = (0.3, 5.0);

/// Holds the units granted for each team, and a token bucket for the time without a leader.
#[derive(Debug, Default)]
pub struct Allowances {
    /// When this entry started.
    opened_at: Duration,
    balances: BTreeMap<Team, Balance>,
}

#[derive(Debug)]
struct Balance {
    /// Units that were granted and not used.
    granted: f64,
    /// Smoothed rate of requested units per second.
    request_rate: f64,
    /// Remaining units of this entry's equal share of the limit.
    equal_share: f64,
    /// Units admitted from the equal share since the leader's last grant.
    spent_without_grant: f64,
    /// Term of the leader that was last asked for a loan.
    term: u64,
    updated_at: Duration,
    /// Until when the leader has nothing to grant.
    bucket_empty_until: Duration,
}

/// States whether a team may use the requested units now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request is admitted.
    Admitted,
    /// The request is admitted if the leader grants a loan.
    Borrow {
        /// Units that this request lacks.
        required: f64,
        /// Units that are missing in the bucket of a new leader, which does not know of them.
        debt: f64,
        /// Units for the requests that are likely to follow.
        prefetch: f64,
    },
    /// The team has exceeded its limit and may retry after this time.
    Exceeded(Duration),
}

impl Allowances {
    /// Creates the state without any granted units.
    pub fn new(now: Duration) -> Self {
        Self { opened_at: now, balances: BTreeMap::new() }
    }

    /// Charges a request to its team's limit, as far as this entry knows that enough units are
    /// left.
    pub fn charge(&mut self, now: Duration, team: &TeamConfig, units: f64, view: &View) -> Verdict {
        let Some(quota) = team.quota.filter(|quota| quota.rate > 0.0) else {
            return Verdict::Admitted;
        };
        let balance = self.balance_mut(&team.name);
        balance.refill(now, &quota, view.entry_count);
        balance.request_rate += units / RATE_TIME_CONSTANT_SECS;
        if balance.granted >= units {
            balance.spend(units);
            return Verdict::Admitted;
        }
        if now < balance.bucket_empty_until {
            return Verdict::Exceeded(retry_after(
                balance.bucket_empty_until.saturating_sub(now),
                units,
                &quota,
            ));
        }
        if !is_leader_reachable(now, view) {
            let result = balance.spend_equal_share(units, &quota);
            return result.map_or_else(Verdict::Exceeded, |()| Verdict::Admitted);
        }
        Verdict::Borrow {
            required: units - balance.granted.max(0.0),
            debt: balance.take_debt(&quota, view),
            prefetch: balance.prefetch_units(units),
        }
    }

    /// Handles the leader's grant for a waiting request, which includes its `debt`; `None` if it did
    /// not arrive in time.
    ///
    /// # Errors
    ///
    /// Returns when the caller may retry, if the request exceeds the limit.
    pub fn handle_grant(
        &mut self,
        now: Duration,
        team: &TeamConfig,
        (units, debt): (f64, f64),
        grant: Option<&LoanGrant>,
    ) -> Result<(), Duration> {
        let Some(quota) = team.quota else { return Ok(()) };
        let balance = self.balance_mut(&team.name);
        if let Some(grant) = grant.filter(|it| it.units > 0.0) {
            // The bucket was not empty, so that a share of it is left.
            balance.equal_share = balance.equal_share.max(0.0);
            balance.granted += grant.units - debt;
            balance.spent_without_grant = 0.0;
            balance.spend(units);
            return Ok(());
        }
        balance.return_debt(debt);
        let Some(grant) = grant else { return balance.spend_equal_share(units, &quota) };
        balance.equal_share = balance.equal_share.min(0.0);
        balance.bucket_empty_until =
            now + grant.empty_for.min(Duration::from_secs_f64(RETRY_AFTER_SECS.0));
        Err(retry_after(grant.empty_for, units, &quota))
    }

    /// Refunds the units of a request that did not run; returns those for which this entry has no
    /// use.
    pub fn refund(&mut self, team: &Team, units: f64) -> Option<Refund> {
        let balance = self.balances.get_mut(team)?;
        balance.equal_share += units;
        // Units that the leader has not granted must not be returned to it.
        if balance.spent_without_grant >= units {
            balance.spent_without_grant -= units;
            return None;
        }
        balance.granted += units;
        let unneeded = balance.granted - balance.prefetch_units(units);
        if unneeded <= 0.0 {
            return None;
        }
        balance.granted -= unneeded;
        Some(Refund { team: team.clone(), units: unneeded })
    }

    fn balance_mut(&mut self, team: &Team) -> &mut Balance {
        // The equal share fills from the start of this entry, not from a team's first request;
        // otherwise an entry that is cut off would refuse that request. It starts empty, since an
        // entry that was killed may have spent a whole share a moment ago.
        let at = self.opened_at;
        let new_balance = || Balance {
            granted: 0.0,
            request_rate: 0.0,
            equal_share: 0.0,
            spent_without_grant: 0.0,
            term: 0,
            updated_at: at,
            bucket_empty_until: Duration::ZERO,
        };
        self.balances.entry(team.clone()).or_insert_with(new_balance)
    }
}

impl Balance {
    fn refill(&mut self, now: Duration, quota: &Quota, entries: u32) {
        let share = 1.0 / f64::from(entries.max(1));
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.equal_share =
            (self.equal_share + elapsed * quota.rate * share).min(quota.burst * share);
        self.request_rate *= (-elapsed / RATE_TIME_CONSTANT_SECS).exp();
        self.updated_at = now;
    }

    /// Returns the units worth borrowing in advance, given the size of one request.
    fn prefetch_units(&self, units: f64) -> f64 {
        let prefetch = self.request_rate * LOAN_AHEAD.as_secs_f64();
        if prefetch >= units * MIN_REQUESTS_AHEAD { prefetch } else { 0.0 }
    }

    /// Returns this entry's part of what is missing in the team's bucket, if the leader is another one
    /// than was asked last; the next request claims nothing.
    ///
    /// An entry that has just started has spent nothing that it knows of.
    fn take_debt(&mut self, quota: &Quota, view: &View) -> f64 {
        let term = std::mem::replace(&mut self.term, view.version.term);
        if term == self.term || term == 0 {
            return 0.0;
        }
        let share = 1.0 / f64::from(view.entry_count.max(1));
        (quota.burst * share - self.equal_share.max(0.0)).max(0.0)
    }

    /// Has the next request claim the debt again, since the leader did not grant it.
    fn return_debt(&mut self, debt: f64) {
        if debt > 0.0 {
            self.term = UNASKED_TERM;
        }
    }

    fn spend(&mut self, units: f64) {
        self.granted -= units;
        self.equal_share -= units;
    }

    /// Charges a request to this entry's equal share of the limit.
    ///
    /// The share may be overdrawn by one request; otherwise a request larger than the whole share
    /// would never be admitted.
    fn spend_equal_share(&mut self, units: f64, quota: &Quota) -> Result<(), Duration> {
        if self.equal_share > 0.0 {
            self.equal_share -= units;
            self.spent_without_grant += units;
            return Ok(());
        }
        Err(retry_after(Duration::ZERO, units - self.equal_share, quota))
    }
}

/// Returns when a caller may retry for `units`, if the bucket is empty for a time.
fn retry_after(empty_for: Duration, units: f64, quota: &Quota) -> Duration {
    let wait = empty_for.as_secs_f64() + units / quota.rate;
    Duration::from_secs_f64(wait.clamp(RETRY_AFTER_SECS.0, RETRY_AFTER_SECS.1))
}

/// Returns whether the leader was heard recently enough to grant loans.
///
/// An entry that does not hear the leader cannot know what other entries use meanwhile. It falls
/// back to an equal share of each limit, which the leader reserves for it.
fn is_leader_reachable(now: Duration, view: &View) -> bool {
    view.leader_heard_at.is_some_and(|heard| now.saturating_sub(heard) <= SHARE_LEASE)
}

/// Returns the units of a request under a quota.
#[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
pub fn units(quota: &Quota, tokens: Option<u64>) -> f64 {
    match (quota.default_tokens, tokens) {
        (None, _) => 1.0,
        (Some(_), Some(tokens)) => tokens as f64,
        (Some(unsized_tokens), None) => unsized_tokens,
    }
}
