//! What teams may still ask for, over all entries together.
//!
//! The leader keeps one bucket for each team and lends its level to the entries anew with every
//! report. Entries that kept buckets of their own would each run dry by chance, the more entries the
//! sooner, while the team as a whole is far within its limit; one would notice requests refused that
//! the limit allows.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Team;

use crate::sheet::{Quota, Sheet};

/// The part of a bucket that a new leader begins with. It can't know what its predecessor's was, and
/// the time without a leader was spent on equal parts of the limits.
const BEGIN: f64 = 0.5;

/// The same after all entries have restarted: nothing was spent meanwhile, and callers that waited arrive at once.
const BEGIN_RESTARTED: f64 = 1.0;

/// The part of each grant that is spread evenly, whatever was asked for lately, so that a team can
/// begin at an entry where it was not seen before.
const EVEN_PART: f64 = 0.25;

/// The part of a bucket above which every entry is granted something. What all of them may overdraw
/// then stays within the tenth that limits may be overrun by.
const AMPLE: f64 = 0.3;

/// A grant that admits one request, whatever its size.
const ONE_REQUEST: f64 = 1.0;

/// The part of a bucket that grants may add up to beyond its level: three times that is within the tenth by which
/// limits may be overrun in 8 s, and a lost leader's grants and the next one's first come on top of each other.
const OVERDRAFT: f64 = 0.3;

/// How long callers come at once who have waited for a start of all: about as long as they have waited.
const RETURNING: Duration = Duration::from_secs(2);

/// How long an entry goes on by its last grant when the leader is lost, in seconds.
const LEASE: f64 = 1.0;

/// The part of what is in the bucket that is granted by turns in one round, beyond what flows in.
const DRAW: f64 = 1.0;

/// Between two grants to one entry, in seconds.
const ROUND: f64 = 0.25;

/// Tells the leader what a team asks for at one entry.
#[data(float)]
pub struct Demand {
    /// The team.
    pub team: Team,
    /// Units a second that it asked for lately.
    pub rate: f64,
    /// Units of one request, on average.
    pub mean: f64,
    /// Units that were admitted since the entry started.
    pub admitted: f64,
}

/// Grants an entry units of a team's limit until the next grant.
#[data(float)]
pub struct Grant {
    /// The team.
    pub team: Team,
    /// Units that may be admitted beyond what the entry has reported.
    pub units: f64,
}

/// Keeps the bucket of each team.
#[derive(Debug, Default)]
pub struct Quotas {
    quotas: BTreeMap<Team, Pool>,
    restarted: bool,
    /// Until when callers come who have waited for a start of all.
    returning: Option<Duration>,
}

#[derive(Debug)]
struct Pool {
    quota: Quota,
    level: f64,
    at: Duration,
    /// What all entries are asked for, in units a second.
    rate: f64,
    /// Units of one request, on average.
    mean: f64,
    /// What is granted by turns and not settled yet.
    granted: f64,
    /// Whether callers come who have waited for a start of all.
    returning: bool,
}

/// Holds what one entry asks for and is owed of one team's limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Claim {
    rate: f64,
    mean: f64,
    admitted: f64,
    /// What it is owed in turn while the bucket is low.
    due: f64,
    /// Its unsettled grant by turns.
    granted: f64,
}

impl Claim {
    /// Takes an entry's report; returns the units admitted since the last one.
    pub fn take(&mut self, demand: &Demand) -> f64 {
        let spent = demand.admitted - self.admitted;
        *self = Self { rate: demand.rate, mean: demand.mean, admitted: demand.admitted, ..*self };
        spent
    }
}

impl Quotas {
    /// Starts; `restarted` tells whether all entries have just started.
    pub fn open(restarted: bool) -> Self {
        Self { restarted, ..Self::default() }
    }

    /// Lets time pass; `free` is the part of the limits that no silent entry may be spending.
    pub fn refill(&mut self, now: Duration, sheet: &Sheet, free: f64) {
        let begin = if self.restarted { BEGIN_RESTARTED } else { BEGIN };
        let until = *self.returning.get_or_insert(now + RETURNING);
        let returning = self.restarted && now < until;
        self.quotas.retain(|team, _| sheet.teams.iter().any(|row| row.name == *team));
        for row in &sheet.teams {
            let Some(quota) = row.quota else {
                self.quotas.remove(&row.name);
                continue;
            };
            let open = || Pool {
                quota,
                level: quota.burst * begin,
                at: now,
                rate: 0.0,
                mean: 1.0,
                granted: 0.0,
                returning,
            };
            let pool = self.quotas.entry(row.name.clone()).or_insert_with(open);
            pool.quota = quota;
            pool.returning = returning;
            let passed = now.saturating_sub(pool.at).as_secs_f64();
            pool.level = (pool.level + quota.rate * free * passed).min(quota.burst.max(1.0));
            pool.at = now;
        }
    }

    /// Takes out what an entry has admitted.
    pub fn spend(&mut self, team: &Team, units: f64) {
        if let Some(pool) = self.quotas.get_mut(team) {
            pool.level -= units;
        }
    }

    /// Takes the sums over all entries: what is asked for, and how large requests are.
    pub fn weigh<'a>(&mut self, claims: impl Iterator<Item = &'a BTreeMap<Team, Claim>>) {
        for pool in self.quotas.values_mut() {
            pool.rate = 0.0;
        }
        for (team, claim) in claims.flatten() {
            let Some(pool) = self.quotas.get_mut(team) else { continue };
            pool.rate += claim.rate;
            if claim.mean > 0.0 {
                pool.mean += (claim.mean - pool.mean) * 0.02;
            }
        }
    }

    /// Lends one of `live` entries its part of every bucket.
    ///
    /// An entry may overdraw what it was granted by one request. While a bucket is well filled that
    /// does no harm, and every entry is granted something, however small its part would be: otherwise a
    /// team that asks for little at each of many entries would be refused for want of a grant. When a
    /// bucket runs low all entries together could overdraw it by far; then only so many are granted one
    /// request each as there is for, in turn.
    pub fn grant(&mut self, claims: &mut BTreeMap<Team, Claim>, live: f64) -> Vec<Grant> {
        let mut grants = Vec::with_capacity(self.quotas.len());
        for (team, pool) in &mut self.quotas {
            let claim = claims.entry(team.clone()).or_default();
            grants.push(Grant { team: team.clone(), units: pool.grant(claim, live) });
        }
        grants
    }
}

impl Pool {
    fn grant(&mut self, claim: &mut Claim, live: f64) -> f64 {
        self.granted -= std::mem::take(&mut claim.granted);
        let by_demand = if self.rate > 0.0 { claim.rate / self.rate } else { 1.0 / live };
        let share = EVEN_PART / live + (1.0 - EVEN_PART) * by_demand.min(1.0);
        if self.level >= self.quota.burst * AMPLE && !self.is_pressed(live) {
            claim.due = self.mean;
            return (self.level * share).max(self.mean * 2.0);
        }
        self.lend_by_turns(claim, share)
    }

    /// Tells whether grants to all entries could be spent far beyond what is in the bucket before that is known.
    ///
    /// Each of many entries is granted two requests at least, and may overdraw them by a third. A team that asks for
    /// several times its limit spends all of it until the next leader is there: one would notice 12.6 million
    /// units in 8 s where 10.4 million are the limit (291 entries, seven times its usual load).
    fn is_pressed(&self, live: f64) -> bool {
        // What nobody could use while all were away makes up for it.
        let spare = self.level + self.quota.burst * OVERDRAFT;
        !self.returning && self.rate * LEASE > spare && live * self.mean * 3.0 > spare
    }

    /// Lends an entry so many requests as it is owed and the bucket holds.
    fn lend_by_turns(&mut self, claim: &mut Claim, share: f64) -> f64 {
        let free = (self.level - self.granted).max(0.0);
        let flow = (self.quota.rate * ROUND + free * DRAW) * share;
        claim.due = (claim.due + flow).min(self.mean.max(flow) * 2.0);
        let requests = (claim.due.min(free) / self.mean).floor();
        if requests < 1.0 {
            return 0.0;
        }
        claim.due -= requests * self.mean;
        claim.granted = requests * self.mean;
        self.granted += claim.granted;
        // The last one may be overdrawn by its whole size.
        (requests - 1.0) * self.mean + ONE_REQUEST
    }
}
