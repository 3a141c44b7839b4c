//! Retries: who may, when, and who must not.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;
use verbenaslip_table::Key;

/// The most retries that a budget saves up.
const SAVED: f64 = 20.0;
/// Seconds in which an idle budget earns one retry, so that a quiet team may retry at all.
const EARNING: f64 = 10.0;
/// Percent of an upstream's successes that others may retry on it.
const UPSTREAM_PERCENT: u32 = 20;
/// How often a request may lose its upstream before further runs are charged to a budget.
const FREE_RUNS: u32 = 3;
/// The first delay of the backoff.
const FIRST: Duration = Duration::from_millis(50);
/// The longest delay of the backoff.
const LONGEST: Duration = Duration::from_secs(10);
/// The shortest time over which the work of a lost zone is spread.
const SHORTEST_SPREAD: Duration = Duration::from_millis(200);
/// The longest time over which the work of a lost zone is spread.
const LONGEST_SPREAD: Duration = Duration::from_secs(8);

/// Asks whether a failed run may be followed by another.
#[data(float)]
pub struct Ask {
    /// The row that pays.
    pub key: Key,
    /// The upstream that failed.
    pub upstream: Upstream,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// What became of the failed run.
    pub fate: FailureKind,
    /// How many runs there were.
    pub runs: u32,
    /// The row's retries for a hundred successes.
    pub percent: u32,
    /// The wave that took the upstream, if one did.
    pub wave: Option<Moved>,
}

/// Says what became of a failed run, as far as it matters for another one.
#[data(copy, ord, hash)]
pub enum FailureKind {
    /// It surely did not run: its upstream could not be reached.
    Unreachable,
    /// It surely did not run: its upstream refused it.
    Refused,
    /// Its upstream was lost or went silent under it.
    Lost,
    /// Its upstream answered with an error.
    Error,
}

/// Describes what work that a wave has set free finds elsewhere.
#[data(copy, float)]
pub struct Moved {
    /// Seconds of slot time that wait before it.
    pub work: f64,
    /// Slots on the upstreams that are left.
    pub room: u32,
}

/// Decides whether a failed run is followed by another.
#[data(copy)]
pub enum Decision {
    /// Runs again, this long from now.
    RetryAfter(Duration),
    /// Does not run again.
    Denied(Denial),
}

/// Names why a failed run is not followed by another.
#[data(copy, ord, hash)]
pub enum Denial {
    /// It may have run, and a second run would do harm.
    MayHaveRun,
    /// The team has used its budget.
    Team,
    /// The upstream's budget is used: it is the upstream that fails, and retries would bury it.
    Upstream,
}

/// Keeps the budgets of teams' rows and of upstreams.
#[derive(Debug, Default)]
pub struct Retries {
    rows: BTreeMap<Key, Budget>,
    upstreams: BTreeMap<Upstream, Budget>,
}

impl Retries {
    /// Earns from a success.
    pub fn succeeded(&mut self, now: Duration, key: &Key, upstream: &Upstream, percent: u32) {
        self.rows.entry(key.clone()).or_insert_with(|| Budget::new(now)).earn(percent);
        let budget = self.upstreams.entry(upstream.clone()).or_insert_with(|| Budget::new(now));
        budget.earn(UPSTREAM_PERCENT);
    }

    /// Decides about another run and pays for it.
    pub fn ask(&mut self, now: Duration, ask: &Ask, rng: &mut impl Rng) -> Decision {
        if !ask.idempotent && !matches!(ask.fate, FailureKind::Unreachable | FailureKind::Refused) {
            return Decision::Denied(Denial::MayHaveRun);
        }
        // A reclaim is nobody's fault, so moved work is not paid for; but all of it at once on the
        // upstreams that are left would make them late as well, so it is spread by their room.
        if let Some(moved) = ask.wave {
            return Decision::RetryAfter(spread(moved, rng));
        }
        // The first engines to die do so before anybody can call it a wave. Charged to a budget,
        // the work that ran there would end as unknown although it could go on elsewhere; that it
        // ran bounds how much there is, and the count of runs stops a request that kills engines.
        if matches!(ask.fate, FailureKind::Unreachable | FailureKind::Lost) && ask.runs <= FREE_RUNS
        {
            return Decision::RetryAfter(backoff(ask.runs, rng));
        }
        let row = self.rows.entry(ask.key.clone()).or_insert_with(|| Budget::new(now));
        if !row.has(now) {
            return Decision::Denied(Denial::Team);
        }
        let upstream =
            self.upstreams.entry(ask.upstream.clone()).or_insert_with(|| Budget::new(now));
        if !upstream.has(now) {
            return Decision::Denied(Denial::Upstream);
        }
        row.pay();
        upstream.pay();
        Decision::RetryAfter(backoff(ask.runs, rng))
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &Upstream) {
        self.upstreams.remove(upstream);
    }

    /// Keeps only the rows that the table still has.
    pub fn keep(&mut self, keep: impl Fn(&Key) -> bool) {
        self.rows.retain(|key, _| keep(key));
    }
}

/// Counts the retries that may still be paid for.
#[derive(Debug)]
struct Budget {
    saved: f64,
    at: Duration,
}

impl Budget {
    fn new(now: Duration) -> Self {
        Self { saved: 1.0, at: now }
    }

    fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent.min(100)) / 100.0).min(SAVED);
    }

    fn has(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        // Time alone earns no more than one retry, so that a long idle time is no stock of retries.
        if self.saved < 1.0 {
            self.saved = (self.saved + passed / EARNING).min(1.0);
        }
        self.saved >= 1.0
    }

    fn pay(&mut self) {
        self.saved -= 1.0;
    }
}

/// Draws a delay between half of and the whole doubled step.
fn backoff(runs: u32, rng: &mut impl Rng) -> Duration {
    let doubled = FIRST.saturating_mul(1 << runs.saturating_sub(1).min(16)).min(LONGEST);
    doubled.mul_f64(rng.random_range(0.5..=1.0))
}

/// Draws a delay over the time that the room left needs to take in the moved work.
fn spread(moved: Moved, rng: &mut impl Rng) -> Duration {
    let needed = moved.work.max(0.0) / f64::from(moved.room.max(1));
    let limit = needed.clamp(SHORTEST_SPREAD.as_secs_f64(), LONGEST_SPREAD.as_secs_f64());
    if !limit.is_finite() {
        return LONGEST_SPREAD;
    }
    Duration::from_secs_f64(limit * rng.random_range(0.0..=1.0))
}
