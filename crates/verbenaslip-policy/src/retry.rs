//! Retries: who may, when, and who must not.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;
use verbenaslip_table::Key;

/// The most retries that a budget saves up.
const MAX_SAVED: f64 = 20.0;
/// Seconds in which an idle budget earns one retry, so that a quiet team may retry at all.
const EARN_INTERVAL_SECONDS: f64 = 10.0;
/// Percent of an upstream's successes that others may retry on it.
const UPSTREAM_RETRY_PERCENT: u32 = 20;
/// How often a request may lose its upstream before further runs are charged to a budget.
const UNCHARGED_RUNS: u32 = 3;
/// The first delay of the backoff.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// The shortest time over which the work of a lost zone is spread.
const MIN_SPREAD: Duration = Duration::from_millis(200);
/// The longest time over which the work of a lost zone is spread.
const MAX_SPREAD: Duration = Duration::from_secs(8);

/// Asks whether a failed run may be followed by another.
#[data(float)]
pub struct RetryQuery {
    /// The row that pays.
    pub key: Key,
    /// The upstream that failed.
    pub upstream: Upstream,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// What became of the failed run.
    pub failure: FailureKind,
    /// How many runs there were.
    pub runs: u32,
    /// The row's retries for a hundred successes.
    pub retry_percent: u32,
    /// The wave that took the upstream, if one did.
    pub zone_loss: Option<Backlog>,
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
pub struct Backlog {
    /// Seconds of slot time that wait before it.
    pub slot_seconds: f64,
    /// Slots on the upstreams that are left.
    pub slots: u32,
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
pub struct RetryBudgets {
    rows: BTreeMap<Key, Budget>,
    upstreams: BTreeMap<Upstream, Budget>,
}

impl RetryBudgets {
    /// Earns from a success.
    pub fn record_success(&mut self, now: Duration, key: &Key, upstream: &Upstream, percent: u32) {
        self.rows.entry(key.clone()).or_insert_with(|| Budget::new(now)).earn(percent);
        let budget = self.upstreams.entry(upstream.clone()).or_insert_with(|| Budget::new(now));
        budget.earn(UPSTREAM_RETRY_PERCENT);
    }

    /// Decides about another run and pays for it.
    pub fn decide(&mut self, now: Duration, query: &RetryQuery, rng: &mut impl Rng) -> Decision {
        if !query.idempotent
            && !matches!(query.failure, FailureKind::Unreachable | FailureKind::Refused)
        {
            return Decision::Denied(Denial::MayHaveRun);
        }
        // A reclaim is nobody's fault, so moved work is not paid for; but all of it at once on the
        // upstreams that are left would make them late as well, so it is spread by their room.
        if let Some(backlog) = query.zone_loss {
            return Decision::RetryAfter(spread(backlog, rng));
        }
        // The first engines to die do so before anybody can call it a wave. Charged to a budget,
        // the work that ran there would end as unknown although it could go on elsewhere; that it
        // ran bounds how much there is, and the count of runs stops a request that kills engines.
        if matches!(query.failure, FailureKind::Unreachable | FailureKind::Lost)
            && query.runs <= UNCHARGED_RUNS
        {
            return Decision::RetryAfter(backoff(query.runs, rng));
        }
        let row = self.rows.entry(query.key.clone()).or_insert_with(|| Budget::new(now));
        if !row.can_spend(now) {
            return Decision::Denied(Denial::Team);
        }
        let upstream =
            self.upstreams.entry(query.upstream.clone()).or_insert_with(|| Budget::new(now));
        if !upstream.can_spend(now) {
            return Decision::Denied(Denial::Upstream);
        }
        row.spend();
        upstream.spend();
        Decision::RetryAfter(backoff(query.runs, rng))
    }

    /// Forgets an upstream that is gone.
    pub fn remove_upstream(&mut self, upstream: &Upstream) {
        self.upstreams.remove(upstream);
    }

    /// Keeps only the rows that the table still has.
    pub fn retain_rows(&mut self, keep: impl Fn(&Key) -> bool) {
        self.rows.retain(|key, _| keep(key));
    }
}

/// Counts the retries that may still be paid for.
#[derive(Debug)]
struct Budget {
    saved: f64,
    updated: Duration,
}

impl Budget {
    fn new(now: Duration) -> Self {
        Self { saved: 1.0, updated: now }
    }

    fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent.min(100)) / 100.0).min(MAX_SAVED);
    }

    fn can_spend(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        // Time alone earns no more than one retry, so that a long idle time is no stock of retries.
        if self.saved < 1.0 {
            self.saved = (self.saved + elapsed / EARN_INTERVAL_SECONDS).min(1.0);
        }
        self.saved >= 1.0
    }

    fn spend(&mut self) {
        self.saved -= 1.0;
    }
}

/// Draws a delay between half of and the whole doubled step.
fn backoff(runs: u32, rng: &mut impl Rng) -> Duration {
    let doubled =
        FIRST_BACKOFF.saturating_mul(1 << runs.saturating_sub(1).min(16)).min(MAX_BACKOFF);
    doubled.mul_f64(rng.random_range(0.5..=1.0))
}

/// Draws a delay over the time that the room left needs to take in the moved work.
fn spread(backlog: Backlog, rng: &mut impl Rng) -> Duration {
    let needed_seconds = backlog.slot_seconds.max(0.0) / f64::from(backlog.slots.max(1));
    let max_seconds = needed_seconds.clamp(MIN_SPREAD.as_secs_f64(), MAX_SPREAD.as_secs_f64());
    if !max_seconds.is_finite() {
        return MAX_SPREAD;
    }
    Duration::from_secs_f64(max_seconds * rng.random_range(0.0..=1.0))
}
