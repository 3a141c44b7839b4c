//! What teams may still ask for at this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Team;
use verbenaslip_fleet::hub::SHARE_LEASE;
use verbenaslip_fleet::sheet::{Quota, TeamRow};
use verbenaslip_fleet::view::View;

/// Holds what was admitted of each team, and a bucket for the time without a leader.
#[derive(Debug, Default)]
pub struct Allowance {
    teams: BTreeMap<Team, Admitted>,
}

#[derive(Debug)]
struct Admitted {
    /// Units since the start.
    total: f64,
    /// What is left of an equal part of the limit.
    alone: f64,
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
    /// Takes what a request asks for out of its team's limit.
    ///
    /// What was granted may be overdrawn by one request: one larger than the whole grant would otherwise
    /// never pass, which shows as the largest requests of a team being refused for ever.
    pub fn take(&mut self, now: Duration, team: &TeamRow, units: f64, view: &View) -> Verdict {
        let Some(quota) = team.quota.filter(|quota| quota.rate > 0.0) else {
            return Verdict::Within;
        };
        let equal = 1.0 / f64::from(view.entries.max(1));
        let admitted = self.admitted(now, &team.name);
        let passed = now.saturating_sub(admitted.at).as_secs_f64();
        let filled = admitted.alone + passed * quota.rate * equal;
        admitted.alone = filled.min(quota.burst * equal);
        admitted.at = now;
        let granted = view.grants.get(&team.name).filter(|_| is_fresh(now, view));
        let left = granted
            .map_or(admitted.alone, |granted| granted.units - (admitted.total - granted.from));
        if left > 0.0 {
            admitted.total += units;
            admitted.alone -= units;
            return Verdict::Within;
        }
        let wait = (units - left) / quota.rate.max(f64::MIN_POSITIVE);
        Verdict::Beyond(Duration::from_secs_f64(wait.clamp(LOAN, 5.0)))
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, team: &Team, units: f64) {
        if let Some(admitted) = self.teams.get_mut(team) {
            admitted.total -= units;
            admitted.alone += units;
        }
    }

    /// Returns the units of a team that were admitted since the start.
    pub fn total(&self, team: &Team) -> f64 {
        self.teams.get(team).map_or(0.0, |admitted| admitted.total)
    }

    fn admitted(&mut self, now: Duration, team: &Team) -> &mut Admitted {
        // The bucket begins empty: an entry that was killed may have spent a whole one a moment ago.
        let open = || Admitted { total: 0.0, alone: 0.0, at: now };
        self.teams.entry(team.clone()).or_insert_with(open)
    }
}

/// The shortest time after which a team may have been granted more: one report and its answer.
const LOAN: f64 = 0.3;

/// Tells whether a report was answered that was sent so lately that the grants hold.
///
/// An entry that does not hear the leader can't know what others were granted meanwhile, so it falls
/// back to an equal part of each limit, which the leader keeps for it.
fn is_fresh(now: Duration, view: &View) -> bool {
    view.granted.is_some_and(|granted| now.saturating_sub(granted) <= SHARE_LEASE)
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
