//! Decides whether and when failed runs are retried.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;
use verbenaslip_table::Key;

/// The maximum number of retries that a budget accumulates.
const MAX_SAVED: f64 = 20.0;
/// Seconds in which an idle budget earns one retry, so that a team with little traffic can retry at
/// all.
const EARN_INTERVAL_SECONDS: f64 = 10.0;
/// The number of retries per hundred successes that an upstream's own budget allows.
const UPSTREAM_RETRY_PERCENT: u32 = 20;
/// The number of runs of a request up to which the loss of its upstream is not charged to a budget.
const UNCHARGED_RUNS: u32 = 3;
/// The first backoff delay.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff delay.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// The shortest time over which the work of a lost zone is spread.
const MIN_SPREAD: Duration = Duration::from_millis(200);
/// The longest time over which the work of a lost zone is spread.
const MAX_SPREAD: Duration = Duration::from_secs(8);

/// Describes a failed run for which a retry is requested.
#[data(float)]
pub struct RetryQuery {
    /// The row whose budget is charged.
    pub key: Key,
    /// The upstream on which the run failed.
    pub upstream: Upstream,
    /// Whether a second run is harmless.
    pub idempotent: bool,
    /// The kind of failure.
    pub failure: FailureKind,
    /// The number of runs so far.
    pub runs: u32,
    /// The row's number of retries per hundred successes.
    pub retry_percent: u32,
    /// The backlog that moved work finds, if the upstream was lost in a zone loss.
    pub zone_loss: Option<Backlog>,
}

/// Classifies a failed run by whether another run is safe.
#[data(copy, ord, hash)]
pub enum FailureKind {
    /// The upstream could not be reached, so the request did not run.
    Unreachable,
    /// The upstream refused the request, so it did not run.
    Refused,
    /// The upstream was lost or became silent during the run.
    Lost,
    /// The upstream answered with an error.
    Error,
}

/// Describes the backlog that work moved from a lost zone finds at the remaining upstreams.
#[data(copy, float)]
pub struct Backlog {
    /// Slot seconds queued before the moved work.
    pub slot_seconds: f64,
    /// Slots of the remaining upstreams.
    pub slots: u32,
}

/// Tells whether a failed run is retried.
#[data(copy)]
pub enum Decision {
    /// The request runs again after this delay.
    RetryAfter(Duration),
    /// The request does not run again.
    Denied(Denial),
}

/// Names the reason why a failed run is not retried.
#[data(copy, ord, hash)]
pub enum Denial {
    /// The request may have run, and a second run would do harm.
    MayHaveRun,
    /// The budget of the team's row is used up.
    Team,
    /// The upstream's budget is used up. The upstream itself is failing, and retries would overload
    /// it further.
    Upstream,
}

/// Holds the retry budgets of rows and upstreams.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    rows: BTreeMap<Key, Budget>,
    upstreams: BTreeMap<Upstream, Budget>,
}

impl RetryBudgets {
    /// Records a success, which earns retries for the row and the upstream.
    pub fn record_success(&mut self, now: Duration, key: &Key, upstream: &Upstream, percent: u32) {
        self.rows.entry(key.clone()).or_insert_with(|| Budget::new(now)).earn(percent);
        let budget = self.upstreams.entry(upstream.clone()).or_insert_with(|| Budget::new(now));
        budget.earn(UPSTREAM_RETRY_PERCENT);
    }

    /// Decides whether a failed run is retried, and charges the budgets.
    pub fn decide(&mut self, now: Duration, query: &RetryQuery, rng: &mut impl Rng) -> Decision {
        if !query.idempotent
            && !matches!(query.failure, FailureKind::Unreachable | FailureKind::Refused)
        {
            return Decision::Denied(Denial::MayHaveRun);
        }
        // A reclaim is no failure of the work, so moved work is not charged. If all of it ran at
        // once, it would also delay the remaining upstreams, so it is spread over the time that
        // their slots need for the backlog.
        if let Some(backlog) = query.zone_loss {
            return Decision::RetryAfter(spread(backlog, rng));
        }
        // The first upstreams of a zone loss are lost before the zone loss is detected. If their
        // work were charged to a budget, requests would end with an unknown outcome although they
        // could run elsewhere. The amount of such work is limited by what was running, and the
        // limit on runs stops a request that crashes upstreams.
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

    /// Removes the budget of a lost upstream.
    pub fn remove_upstream(&mut self, upstream: &Upstream) {
        self.upstreams.remove(upstream);
    }

    /// Keeps only the budgets of rows for which `keep` returns true.
    pub fn retain_rows(&mut self, keep: impl Fn(&Key) -> bool) {
        self.rows.retain(|key, _| keep(key));
    }
}

/// Counts the available retries.
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
        // Time alone earns at most one retry, so that a long idle time does not accumulate retries.
        if self.saved < 1.0 {
            self.saved = (self.saved + elapsed / EARN_INTERVAL_SECONDS).min(1.0);
        }
        self.saved >= 1.0
    }

    fn spend(&mut self) {
        self.saved -= 1.0;
    }
}

/// Returns a random delay between half and all of the exponential backoff.
fn backoff(runs: u32, rng: &mut impl Rng) -> Duration {
    let doubled =
        FIRST_BACKOFF.saturating_mul(1 << runs.saturating_sub(1).min(16)).min(MAX_BACKOFF);
    doubled.mul_f64(rng.random_range(0.5..=1.0))
}

/// Returns a random delay within the time that the remaining slots need for the backlog.
fn spread(backlog: Backlog, rng: &mut impl Rng) -> Duration {
    let needed_seconds = backlog.slot_seconds.max(0.0) / f64::from(backlog.slots.max(1));
    let max_seconds = needed_seconds.clamp(MIN_SPREAD.as_secs_f64(), MAX_SPREAD.as_secs_f64());
    if !max_seconds.is_finite() {
        return MAX_SPREAD;
    }
    Duration::from_secs_f64(max_seconds * rng.random_range(0.0..=1.0))
}
