//! The leader's control of one rollout.
//!
//! Two bounds shape it. A bad version may receive no more than a limited share of its service's
//! requests, so canaries receive about half of that share, and the shift to the candidate begins as
//! late as the time limit allows. The stable upstreams stop at once when a rollout is completed, so
//! completion waits until the candidate carries all traffic and no requests are running on the
//! stable upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};

use crate::rollout::evaluator::{Evaluator, Evidence};
use crate::rollout::report::{Group, Report, Totals};
use crate::rollout::verdict::{Fleet, Reason, Stage, Verdict};
use crate::rollout::{Plan, Rollout, State, Versions, as_f64};

/// Share of a service's requests that canaries receive.
const CANARY_SHARE: f64 = 0.05;

/// The same while canaries have received few requests, so that there is evidence early.
const CATCH_UP_SHARE: f64 = 0.1;

/// Number of requests beyond that share that canaries may receive, for services with few requests.
const CANARY_SLACK: f64 = 20.0;

/// Largest share of one route's requests that canaries receive.
const MAX_ROUTE_SHARE: f64 = 0.3;

/// Number of steps to which shares are rounded.
const SHARE_STEPS: f64 = 50.0;

/// Smallest number of canaries, if the candidate has that many upstreams: half of them are excluded
/// from the evaluation.
const MIN_CANARIES: usize = 6;

/// Factor by which canaries are increased while the candidate looks worse, since only a few of its
/// upstreams may be bad.
const SUSPICION_FACTOR: usize = 3;

/// Shares of the candidate during the shift to all traffic, each for one [`SHIFT_STEP`].
const SHIFT_SHARES: [f64; 3] = [0.25, 0.5, 1.0];

/// How long each share of the shift is held before the next one.
const SHIFT_STEP: Duration = Duration::from_millis(500);

/// Time before the time limit that requests on the stable upstreams have to end.
const DRAIN_TIME: Duration = Duration::from_millis(1_700);

/// Time before the time limit at which a candidate is completed: not earlier, since it can be
/// rolled back until then, and not later, since the log takes a moment.
const COMPLETION_MARGIN: Duration = Duration::from_millis(1_000);

/// Largest share of the time limit that shifting and draining may take.
const MAX_SHIFT_SHARE: f64 = 0.4;

/// Number of the candidate's answers that a shift requires on each busy route.
const MIN_ROUTE_ANSWERS: u64 = 12;

/// Share of a service's requests from which on a route is busy enough to be evaluated.
const BUSY_SHARE: f64 = 0.02;

/// Smallest number of the stable version's answers that show how fast a route is.
const MIN_BASELINE_ANSWERS: u64 = 30;

/// Multiple of the stable version's median latency above which an answer is slow.
const SLOW_FACTOR: f64 = 2.5;

/// Shortest latency that counts as slow, in milliseconds.
const MIN_SLOW_MS: f64 = 40.0;

/// Time after the time limit at which an undecided candidate is rolled back, as a share of the
/// limit.
const ROLLBACK_GRACE: f64 = 1.0;

/// Holds a number for each route.
type ByRoute = BTreeMap<Arc<str>, f64>;

/// Controls one rollout at the leader.
#[derive(Debug)]
pub struct Controller {
    rollout: Rollout,
    rejected: Versions,
    totals: Totals,
    evaluator: Evaluator,
    stage: Stage,
    step: u32,
    shares: ByRoute,
    canaries: BTreeSet<Upstream>,
    slow: BTreeMap<Arc<str>, u32>,
    verdict: Option<Verdict>,
}

impl Controller {
    /// Starts a rollout, or continues one of an earlier leader.
    pub fn new(rollout: Rollout, rejected: Versions) -> Self {
        Self {
            rollout,
            rejected,
            totals: Totals::default(),
            evaluator: Evaluator::default(),
            stage: Stage::Waiting,
            step: 0,
            shares: BTreeMap::new(),
            canaries: BTreeSet::new(),
            slow: BTreeMap::new(),
            verdict: None,
        }
    }

    /// Returns the rollout.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Returns what the candidate currently receives.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the number of requests that were sent, and how many of them went to the candidate.
    pub fn exposure(&self) -> (u64, u64) {
        self.totals.exposure()
    }

    /// Returns the verdict, once there is one.
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// Updates the rollout to what the log holds.
    pub fn update_rollout(&mut self, rollout: &Rollout, rejected: &Versions) {
        if self.rollout != *rollout || self.rejected != *rejected {
            self.rollout = rollout.clone();
            self.rejected = rejected.clone();
            self.step += 1;
        }
    }

    /// Handles the report with this number from a run of an entry.
    pub fn handle_report(
        &mut self,
        entry: SocketAddr,
        incarnation: u64,
        number: u64,
        report: &Report,
    ) {
        if report.id == self.rollout.id {
            self.totals.add_report(entry, incarnation, number, report);
        }
    }

    /// Advances the rollout; `unix` is the agreed time of day in milliseconds.
    pub fn tick(&mut self, now: Duration, unix: u64, fleet: &Fleet) {
        if self.rollout.state != State::Serving || self.verdict.is_some() {
            return;
        }
        let elapsed = Duration::from_millis(unix.saturating_sub(self.rollout.started));
        let fresh = self.totals.take_fresh();
        let evidence = self.evaluator.evaluate(&fresh);
        let reason = self.rollback_reason(evidence, elapsed);
        if let Some(reason) = reason {
            self.verdict = Some(Verdict { state: State::RolledBack, reason });
            self.step += 1;
            return;
        }
        self.update_slow_thresholds();
        let before = self.plan();
        self.advance(now, elapsed, fleet);
        if before != self.plan() {
            self.step += 1;
        }
    }

    /// Returns why the candidate is rolled back, if it is.
    fn rollback_reason(&self, evidence: Option<Evidence>, elapsed: Duration) -> Option<Reason> {
        let limit = self.rollout.order.time_limit;
        let is_due = elapsed >= limit.saturating_sub(COMPLETION_MARGIN);
        match evidence {
            Some(evidence) => Some(Reason::Worse(evidence)),
            None if self.totals.is_halted() => Some(Reason::Halted),
            None if is_due && self.evaluator.is_suspicious() => Some(Reason::Doubtful),
            None if elapsed >= limit.mul_f64(1.0 + ROLLBACK_GRACE) => Some(Reason::TimedOut),
            None => None,
        }
    }

    /// Derives from the stable version's answers which latency is slow, until the candidate is
    /// evaluated by it.
    fn update_slow_thresholds(&mut self) {
        for ((route, group), counts) in self.totals.sums() {
            let is_fixed = self.stage != Stage::Waiting && self.slow.contains_key(route);
            if *group != Group::Stable || is_fixed {
                continue;
            }
            if let Some(median) = counts.median(MIN_BASELINE_ANSWERS) {
                self.slow.insert(route.clone(), to_u32((median * SLOW_FACTOR).max(MIN_SLOW_MS)));
            }
        }
    }

    fn advance(&mut self, now: Duration, elapsed: Duration, fleet: &Fleet) {
        if let Stage::Shift { at, since } = self.stage {
            return self.shift(now, elapsed, fleet, at, since);
        }
        // A new leader knows neither how many requests the candidate received nor how they ended.
        let is_waiting = !fleet.all_reported || fleet.candidates.is_empty();
        self.stage = if is_waiting { Stage::Waiting } else { Stage::Canary };
        if is_waiting {
            self.canaries.clear();
            return self.shares.clear();
        }
        if elapsed >= self.shift_start() && self.may_shift(fleet) {
            self.stage = Stage::Shift { at: 0, since: now };
            return self.choose_shift_upstreams(fleet);
        }
        self.choose_canaries(fleet);
        self.allocate_canary_requests();
    }

    /// Returns the time after the order at which the shift begins: as late as possible, since a
    /// version may turn bad at any time, and more requests are exposed to it from then on.
    fn shift_start(&self) -> Duration {
        let limit = self.rollout.order.time_limit;
        let steps = u32::try_from(SHIFT_SHARES.len()).unwrap_or(u32::MAX);
        let needed = SHIFT_STEP * (steps - 1) + DRAIN_TIME + COMPLETION_MARGIN;
        limit.saturating_sub(needed.min(limit.mul_f64(MAX_SHIFT_SHARE)))
    }

    /// Returns whether the candidate has done well on all busy routes and has the capacity for
    /// them.
    fn may_shift(&self, fleet: &Fleet) -> bool {
        let (all, _) = self.totals.exposure();
        let mut evaluated: BTreeMap<&str, u64> = BTreeMap::new();
        for ((route, group), counts) in self.totals.sums() {
            let ended = if *group == Group::Stable { 0 } else { counts.ended };
            *evaluated.entry(route).or_default() += ended;
        }
        let sent = self.sent_by_route();
        let busy =
            |route: &str| sent.get(route).is_some_and(|sent| *sent >= as_f64(all) * BUSY_SHARE);
        let evaluated =
            evaluated.iter().all(|(route, ended)| !busy(route) || *ended >= MIN_ROUTE_ANSWERS);
        all > 0 && evaluated && fleet.has_capacity() && !self.evaluator.is_suspicious()
    }

    fn shift(
        &mut self,
        now: Duration,
        elapsed: Duration,
        fleet: &Fleet,
        at: usize,
        since: Duration,
    ) {
        if at + 1 < SHIFT_SHARES.len() {
            if now.saturating_sub(since) >= SHIFT_STEP {
                self.stage = Stage::Shift { at: at + 1, since: now };
            }
            return self.choose_shift_upstreams(fleet);
        }
        let active = self.totals.stable_active(&fleet.entries, self.step);
        let latest = self.rollout.order.time_limit.saturating_sub(COMPLETION_MARGIN);
        let is_late = elapsed >= self.rollout.order.time_limit;
        let is_drained = active == Some(0) || (active.is_some() && is_late);
        let is_settled = elapsed >= latest && now.saturating_sub(since) >= SHIFT_STEP;
        if is_drained && is_settled && fleet.has_capacity() {
            let (state, reason) = (State::Completed, Reason::Shifted);
            self.verdict = Some(Verdict { state, reason });
        }
    }

    /// Chooses a few canaries, and more while they look worse than the stable version.
    fn choose_canaries(&mut self, fleet: &Fleet) {
        let wanted = (as_f64(fleet.stable as u64) * CANARY_SHARE).ceil();
        let mut wanted = (to_u32(wanted) as usize).max(MIN_CANARIES);
        if self.evaluator.is_suspicious() {
            wanted *= SUSPICION_FACTOR;
        }
        self.choose(fleet, wanted);
    }

    /// Chooses the upstreams of the candidate for the current step of the shift: their share equals
    /// the share of traffic, so that each has its usual load. A version that is only bad under load
    /// then shows in the first step.
    fn choose_shift_upstreams(&mut self, fleet: &Fleet) {
        let Stage::Shift { at, .. } = self.stage else { return };
        let wanted = (as_f64(fleet.candidates.len() as u64) * SHIFT_SHARES[at]).ceil();
        self.choose(fleet, to_u32(wanted) as usize);
    }

    /// Chooses this number of the candidate's upstreams, from each zone in turn, so that the loss
    /// of one zone does not remove all of them.
    fn choose(&mut self, fleet: &Fleet, wanted: usize) {
        let available: BTreeSet<&Upstream> = fleet.candidates.iter().map(|it| &it.0).collect();
        self.canaries.retain(|it| available.contains(it));
        let mut zones: BTreeMap<&AvailabilityZone, Vec<&Upstream>> = BTreeMap::new();
        for (upstream, zone) in &fleet.candidates {
            zones.entry(zone).or_default().push(upstream);
        }
        let most = zones.values().map(Vec::len).max().unwrap_or(0);
        let interleaved = (0..most).flat_map(|at| zones.values().filter_map(move |it| it.get(at)));
        for upstream in interleaved {
            if self.canaries.len() >= wanted.min(available.len()) {
                return;
            }
            self.canaries.insert((*upstream).clone());
        }
    }

    /// Divides the requests that canaries may receive among the routes, evenly where each route has
    /// enough: a version may be bad only on the route with the fewest requests.
    fn allocate_canary_requests(&mut self) {
        let (all, exposed) = self.totals.exposure();
        let (all, exposed) = (as_f64(all), as_f64(exposed));
        let allowed = all * CANARY_SHARE + CANARY_SLACK;
        let share = match exposed {
            it if it >= allowed => 0.0,
            it if it < allowed / 2.0 => CATCH_UP_SHARE,
            _ => CANARY_SHARE,
        };
        self.shares = allocate_requests(&self.sent_by_route(), share * all);
    }

    /// Returns the number of requests sent on each route.
    fn sent_by_route(&self) -> ByRoute {
        let mut sent = ByRoute::new();
        for ((route, _), counts) in self.totals.sums() {
            *sent.entry(route.clone()).or_default() += as_f64(counts.sent);
        }
        sent
    }

    /// Returns the plan that entries currently follow.
    pub fn plan(&self) -> Plan {
        let state =
            self.verdict.as_ref().map_or(self.rollout.state, |verdict| match verdict.state {
                // Entries learn of the completion from the log, because the stable upstreams stop
                // then.
                State::Completed => State::Serving,
                state => state,
            });
        let (share, canaries) = match self.stage {
            _ if state == State::RolledBack => (0.0, Some(BTreeSet::new())),
            _ if state == State::Completed => (1.0, None),
            Stage::Waiting => (0.0, Some(BTreeSet::new())),
            Stage::Canary => (0.0, Some(self.canaries.clone())),
            Stage::Shift { at, .. } if at + 1 == SHIFT_SHARES.len() => (1.0, None),
            Stage::Shift { at, .. } => (SHIFT_SHARES[at], Some(self.canaries.clone())),
        };
        let canary = state == State::Serving && self.stage == Stage::Canary;
        let shifting = state == State::Serving && matches!(self.stage, Stage::Shift { .. });
        Plan {
            id: self.rollout.id,
            step: self.step,
            version: self.rollout.order.version.clone(),
            rejected: self.rejected.clone(),
            state,
            share,
            route_shares: if canary { self.shares.clone() } else { BTreeMap::new() },
            canaries,
            shifting,
            slow_ms: self.slow.clone(),
        }
    }
}

/// Divides a number of requests evenly among the routes, up to a share of each route's requests;
/// returns the resulting shares.
fn allocate_requests(sent: &ByRoute, requests: f64) -> ByRoute {
    let mut routes: Vec<&Arc<str>> = sent.keys().collect();
    routes.sort_by(|one, other| sent[*one].total_cmp(&sent[*other]));
    let mut left = requests;
    let mut shares = ByRoute::new();
    for (at, route) in routes.iter().enumerate() {
        let even = left / as_f64((routes.len() - at) as u64);
        let route_requests = even.min(sent[*route] * MAX_ROUTE_SHARE);
        left -= route_requests;
        // Shares are rounded to steps, so that small changes are not sent to all entries.
        let steps = (route_requests / sent[*route].max(1.0) * SHARE_STEPS).ceil();
        shares.insert((*route).clone(), steps / SHARE_STEPS);
    }
    shares
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small and not negative.
fn to_u32(value: f64) -> u32 {
    value as u32
}
