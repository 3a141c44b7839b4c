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
const AHEAD: Duration = Duration::from_secs(1);

/// Requests that are expected in that time before any units are borrowed ahead.
const BUSY: f64 = 2.0;

/// The time constant of the rate at which a team asks.
const RATE: f64 = 2.0;

/// The shortest and longest time after which a caller beyond the limit may come back, in seconds.
const BACK: (f64, f64) = (0.3, 5.0);

/// Holds what was lent of each team's limit, and a bucket for the time without a leader.
#[derive(Debug, Default)]
pub struct Allowance {
    /// When this entry started.
    opened: Duration,
    teams: BTreeMap<Team, Purse>,
}

#[derive(Debug)]
struct Purse {
    /// Units that were lent and not used.
    lent: f64,
    /// Units a second that are asked for, smoothed.
    rate: f64,
    /// What is left of an equal part of the limit.
    alone: f64,
    /// Units admitted from that part since the leader lent the last time.
    unlent: f64,
    at: Duration,
    /// Until when the leader has nothing to lend.
    empty: Duration,
}

/// Says whether a team may ask for so much now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may.
    Within,
    /// It may if the leader lends so much.
    Borrow {
        /// Units that this request lacks.
        need: f64,
        /// Units for those that are likely to follow.
        ahead: f64,
    },
    /// It asked for more than its limit; after this time it may again.
    Beyond(Duration),
}

impl Allowance {
    /// Starts without anything lent.
    pub fn open(now: Duration) -> Self {
        Self { opened: now, teams: BTreeMap::new() }
    }

    /// Takes what a request asks for out of its team's limit, as far as this entry knows that there is so much left.
    pub fn take(&mut self, now: Duration, team: &TeamConfig, units: f64, view: &View) -> Verdict {
        let Some(quota) = team.quota.filter(|quota| quota.rate > 0.0) else {
            return Verdict::Within;
        };
        let purse = self.purse(&team.name);
        purse.refill(now, &quota, view.entry_count);
        purse.rate += units / RATE;
        if purse.lent >= units {
            purse.spend(units);
            return Verdict::Within;
        }
        if now < purse.empty {
            return Verdict::Beyond(back(purse.empty.saturating_sub(now), units, &quota));
        }
        if !is_in_touch(now, view) {
            let alone = purse.spend_alone(units, &quota);
            return alone.map_or_else(Verdict::Beyond, |()| Verdict::Within);
        }
        Verdict::Borrow { need: units - purse.lent.max(0.0), ahead: purse.ahead(units) }
    }

    /// Takes the leader's answer for a request that waits for it; none when it did not come in time.
    ///
    /// # Errors
    ///
    /// Says when the caller may come back if the request is beyond the limit.
    pub fn lent(
        &mut self,
        now: Duration,
        team: &TeamConfig,
        units: f64,
        lent: Option<&LoanGrant>,
    ) -> Result<(), Duration> {
        let Some(quota) = team.quota else { return Ok(()) };
        let purse = self.purse(&team.name);
        match lent {
            Some(lent) if lent.units > 0.0 => {
                purse.lent += lent.units;
                purse.unlent = 0.0;
                purse.spend(units);
                Ok(())
            }
            Some(lent) => {
                purse.empty = now + lent.empty_for.min(Duration::from_secs_f64(BACK.0));
                Err(back(lent.empty_for, units, &quota))
            }
            None => purse.spend_alone(units, &quota),
        }
    }

    /// Gives back what a request took that did not run; returns what this entry has no use for.
    pub fn give_back(&mut self, team: &Team, units: f64) -> Option<Refund> {
        let purse = self.teams.get_mut(team)?;
        purse.alone += units;
        // What the leader has not lent is not its to lend again.
        if purse.unlent >= units {
            purse.unlent -= units;
            return None;
        }
        purse.lent += units;
        let spare = purse.lent - purse.ahead(units);
        if spare <= 0.0 {
            return None;
        }
        purse.lent -= spare;
        Some(Refund { team: team.clone(), units: spare })
    }

    fn purse(&mut self, team: &Team) -> &mut Purse {
        // The equal part fills up from the start of this entry on, not from a team's first request: one that is cut off
        // would refuse that. It begins empty: an entry that was killed may have spent a whole one a moment ago.
        let at = self.opened;
        let open =
            || Purse { lent: 0.0, rate: 0.0, alone: 0.0, unlent: 0.0, at, empty: Duration::ZERO };
        self.teams.entry(team.clone()).or_insert_with(open)
    }
}

impl Purse {
    fn refill(&mut self, now: Duration, quota: &Quota, entries: u32) {
        let equal = 1.0 / f64::from(entries.max(1));
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.alone = (self.alone + passed * quota.rate * equal).min(quota.burst * equal);
        self.rate *= (-passed / RATE).exp();
        self.at = now;
    }

    /// Returns the units that are worth borrowing ahead, by the size of one request.
    fn ahead(&self, units: f64) -> f64 {
        let ahead = self.rate * AHEAD.as_secs_f64();
        if ahead >= units * BUSY { ahead } else { 0.0 }
    }

    fn spend(&mut self, units: f64) {
        self.lent -= units;
        self.alone -= units;
    }

    /// Takes a request out of this entry's equal part of the limit.
    ///
    /// It may be overdrawn by one request: one larger than the whole part would otherwise never pass.
    fn spend_alone(&mut self, units: f64, quota: &Quota) -> Result<(), Duration> {
        if self.alone > 0.0 {
            self.alone -= units;
            self.unlent += units;
            return Ok(());
        }
        Err(back(Duration::ZERO, units - self.alone, quota))
    }
}

/// Returns when a caller may come back for so many units, if the bucket is empty for a time.
fn back(empty: Duration, units: f64, quota: &Quota) -> Duration {
    let wait = empty.as_secs_f64() + units / quota.rate;
    Duration::from_secs_f64(wait.clamp(BACK.0, BACK.1))
}

/// Tells whether the leader was heard so lately that it may lend.
///
/// An entry that does not hear the leader can't know what others use meanwhile, so it falls back to an equal part of
/// each limit, which the leader keeps for it.
fn is_in_touch(now: Duration, view: &View) -> bool {
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
