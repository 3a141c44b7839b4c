//! What teams may still ask for at this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Team;
use verbenaslip_fleet::hub::SHARE_LEASE;
use verbenaslip_fleet::quota::{LoanGrant, Refund};
use verbenaslip_fleet::route_table::{Quota, TeamConfig};
use verbenaslip_fleet::view::View;

/// How far ahead units are borrowed for a team that asks for much: the requests of so much time need not wait for the
/// leader, each by itself.
const LOAN_AHEAD: Duration = Duration::from_secs(1);

/// Requests that are expected in that time before any units are borrowed ahead.
const MIN_REQUESTS_AHEAD: f64 = 2.0;

/// The time constant of the rate at which a team asks.
const RATE_TIME_CONSTANT_SECS: f64 = 2.0;

/// The shortest and longest time after which a caller beyond the limit may come back, in seconds.
const RETRY_AFTER_SECS: (f64, f64) = (0.3, 5.0);

/// Holds what was lent of each team's limit, and a bucket for the time without a leader.
#[derive(Debug, Default)]
pub struct Allowances {
    /// When this entry started.
    opened_at: Duration,
    balances: BTreeMap<Team, Balance>,
}

#[derive(Debug)]
struct Balance {
    /// Units that were lent and not used.
    granted: f64,
    /// Units a second that are asked for, smoothed.
    request_rate: f64,
    /// What is left of an equal part of the limit.
    equal_share: f64,
    /// Units admitted from that part since the leader lent the last time.
    spent_without_grant: f64,
    updated_at: Duration,
    /// Until when the leader has nothing to lend.
    bucket_empty_until: Duration,
}

/// Says whether a team may ask for so much now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may.
    Admitted,
    /// It may if the leader lends so much.
    Borrow {
        /// Units that this request lacks.
        required: f64,
        /// Units for those that are likely to follow.
        prefetch: f64,
    },
    /// It asked for more than its limit; after this time it may again.
    Exceeded(Duration),
}

impl Allowances {
    /// Starts without anything lent.
    pub fn new(now: Duration) -> Self {
        Self { opened_at: now, balances: BTreeMap::new() }
    }

    /// Takes what a request asks for out of its team's limit, as far as this entry knows that there is so much left.
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
            prefetch: balance.prefetch_units(units),
        }
    }

    /// Takes the leader's answer for a request that waits for it; none when it did not come in time.
    ///
    /// # Errors
    ///
    /// Says when the caller may come back if the request is beyond the limit.
    pub fn handle_grant(
        &mut self,
        now: Duration,
        team: &TeamConfig,
        units: f64,
        grant: Option<&LoanGrant>,
    ) -> Result<(), Duration> {
        let Some(quota) = team.quota else { return Ok(()) };
        let balance = self.balance_mut(&team.name);
        match grant {
            Some(grant) if grant.units > 0.0 => {
                balance.granted += grant.units;
                balance.spent_without_grant = 0.0;
                balance.spend(units);
                Ok(())
            }
            Some(grant) => {
                balance.bucket_empty_until =
                    now + grant.empty_for.min(Duration::from_secs_f64(RETRY_AFTER_SECS.0));
                Err(retry_after(grant.empty_for, units, &quota))
            }
            None => balance.spend_equal_share(units, &quota),
        }
    }

    /// Gives back what a request took that did not run; returns what this entry has no use for.
    pub fn refund(&mut self, team: &Team, units: f64) -> Option<Refund> {
        let balance = self.balances.get_mut(team)?;
        balance.equal_share += units;
        // What the leader has not lent is not its to lend again.
        if balance.spent_without_grant >= units {
            balance.spent_without_grant -= units;
            return None;
        }
        balance.granted += units;
        let spare = balance.granted - balance.prefetch_units(units);
        if spare <= 0.0 {
            return None;
        }
        balance.granted -= spare;
        Some(Refund { team: team.clone(), units: spare })
    }

    fn balance_mut(&mut self, team: &Team) -> &mut Balance {
        // The equal part fills up from the start of this entry on, not from a team's first request: one that is cut off
        // would refuse that. It begins empty: an entry that was killed may have spent a whole one a moment ago.
        let at = self.opened_at;
        let new_balance = || Balance {
            granted: 0.0,
            request_rate: 0.0,
            equal_share: 0.0,
            spent_without_grant: 0.0,
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

    /// Returns the units that are worth borrowing ahead, by the size of one request.
    fn prefetch_units(&self, units: f64) -> f64 {
        let prefetch = self.request_rate * LOAN_AHEAD.as_secs_f64();
        if prefetch >= units * MIN_REQUESTS_AHEAD { prefetch } else { 0.0 }
    }

    fn spend(&mut self, units: f64) {
        self.granted -= units;
        self.equal_share -= units;
    }

    /// Takes a request out of this entry's equal part of the limit.
    ///
    /// It may be overdrawn by one request: one larger than the whole part would otherwise never pass.
    fn spend_equal_share(&mut self, units: f64, quota: &Quota) -> Result<(), Duration> {
        if self.equal_share > 0.0 {
            self.equal_share -= units;
            self.spent_without_grant += units;
            return Ok(());
        }
        Err(retry_after(Duration::ZERO, units - self.equal_share, quota))
    }
}

/// Returns when a caller may come back for so many units, if the bucket is empty for a time.
fn retry_after(empty_for: Duration, units: f64, quota: &Quota) -> Duration {
    let wait = empty_for.as_secs_f64() + units / quota.rate;
    Duration::from_secs_f64(wait.clamp(RETRY_AFTER_SECS.0, RETRY_AFTER_SECS.1))
}

/// Tells whether the leader was heard so lately that it may lend.
///
/// An entry that does not hear the leader can't know what others use meanwhile, so it falls back to an equal part of
/// each limit, which the leader keeps for it.
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
