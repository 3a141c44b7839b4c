//! What teams may still ask for at this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Team;
use verbenaslip_fleet::hub::SHARE_LEASE;
use verbenaslip_fleet::sheet::{Quota, TeamRow};
use verbenaslip_fleet::view::View;

/// Holds one bucket for each team.
#[derive(Debug, Default)]
pub struct Allowance {
    buckets: BTreeMap<Team, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Duration,
}

/// Says whether a team may ask for so much now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may.
    Within,
    /// It asked for more than its limit; after this time it may again.
    Beyond(Duration),
}

impl Allowance {
    /// Takes what a request asks for out of its team's bucket.
    ///
    /// A bucket may go below zero by one request: one larger than the whole bucket would otherwise
    /// never pass, which shows as the largest requests of a team being refused for ever. A bucket
    /// begins empty, because an entry that was killed may have spent its whole bucket a moment ago.
    pub fn take(&mut self, now: Duration, team: &TeamRow, units: f64, view: &View) -> Verdict {
        let Some(quota) = team.quota.filter(|quota| quota.rate > 0.0) else {
            return Verdict::Within;
        };
        let share = share(now, &team.name, view);
        let (rate, most) = (quota.rate * share, quota.burst.max(quota.rate) * share);
        let empty = || Bucket { level: 0.0, at: now };
        let bucket = self.buckets.entry(team.name.clone()).or_insert_with(empty);
        let passed = now.saturating_sub(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + passed * rate).min(most);
        bucket.at = now;
        if bucket.level > 0.0 {
            bucket.level -= units;
            return Verdict::Within;
        }
        let wait = (1.0 - bucket.level) / rate.max(f64::MIN_POSITIVE);
        Verdict::Beyond(Duration::from_secs_f64(wait.clamp(0.05, 5.0)))
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, team: &Team, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level += units;
        }
    }

    /// Forgets the teams that are no longer in the table.
    pub fn keep(&mut self, teams: &[TeamRow]) {
        self.buckets.retain(|name, _| teams.iter().any(|team| team.name == *name));
    }
}

/// Returns the units of a request under a quota.
#[allow(clippy::cast_precision_loss)] // Token counts are far below 2^52.
pub fn units(quota: &Quota, tokens: Option<u64>) -> f64 {
    match (quota.unsized_tokens, tokens) {
        (None, _) => 1.0,
        (Some(_), Some(tokens)) => tokens as f64,
        (Some(unsized_tokens), None) => unsized_tokens,
    }
}

/// Returns this entry's share of a team's limit.
///
/// An entry that does not hear the leader can't know what others were given meanwhile, so it falls
/// back to an equal part, which the leader keeps for it.
fn share(now: Duration, team: &Team, view: &View) -> f64 {
    let equal = 1.0 / f64::from(view.entries.max(1));
    let fresh = view.heard.is_some_and(|heard| now.saturating_sub(heard) <= SHARE_LEASE);
    let given = view.shares.get(team).copied();
    match given {
        Some(given) if fresh => given,
        Some(given) => given.min(equal),
        None => equal,
    }
}
