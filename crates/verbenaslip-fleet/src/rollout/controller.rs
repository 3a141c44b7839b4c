//! The leader's conduct of one roll-out.
//!
//! Two bounds shape it. A bad version may get no more than a part of its service's requests, so canaries get about
//! half of that part, and the shift to the candidate begins as late as the time limit allows. And the stable
//! upstreams stop at once when a roll-out is completed, so that waits until the candidate carries all traffic and
//! nothing is under way at the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};

use crate::rollout::evaluator::{Evaluator, Evidence};
use crate::rollout::report::{Group, Report, Totals};
use crate::rollout::verdict::{Fleet, Reason, Stage, Verdict};
use crate::rollout::{Plan, Rollout, State, Versions, as_f64};

/// The part of a service's requests that canaries get.
const CANARY_SHARE: f64 = 0.05;

/// The same while canaries have got little, so that there is evidence early.
const CATCH_UP_SHARE: f64 = 0.1;

/// Requests beyond that part that canaries may get, for services with few of them.
const CANARY_SLACK: f64 = 20.0;

/// The largest share of one route's requests that canaries get.
const MAX_ROUTE_SHARE: f64 = 0.3;

/// Steps between the shares of nothing and of all.
const SHARE_STEPS: f64 = 50.0;

/// The fewest canaries, where there are so many: half of them are left out of the judgement.
const MIN_CANARIES: usize = 6;

/// How many times as many canaries there are while the candidate looks worse: it may be a few of its upstreams.
const SUSPICION_FACTOR: usize = 3;

/// The shares of the candidate on the way to all traffic, each for one [`STEP`].
const SHIFT_SHARES: [f64; 3] = [0.25, 0.5, 1.0];

/// How long each of these holds before the next.
const SHIFT_STEP: Duration = Duration::from_millis(500);

/// How long requests at the stable upstreams are given to end before the time limit.
const DRAIN_TIME: Duration = Duration::from_millis(1_700);

/// How long before the time limit a candidate is completed: not sooner, since it can be rolled back until then, and
/// not later, since the log takes a moment.
const COMPLETION_MARGIN: Duration = Duration::from_millis(1_000);

/// The largest part of the time limit that shifting and draining may take.
const MAX_SHIFT_SHARE: f64 = 0.4;

/// Answers of the candidate on each busy route that a shift needs.
const MIN_ROUTE_ANSWERS: u64 = 12;

/// The share of a service's requests from which on a route is busy enough to be judged.
const BUSY_SHARE: f64 = 0.02;

/// The fewest answers of the stable version that say how fast a route is.
const MIN_BASELINE_ANSWERS: u64 = 30;

/// How many times the stable version's median latency an answer may take.
const SLOW_FACTOR: f64 = 2.5;

/// The shortest latency that counts as slow, in milliseconds.
const MIN_SLOW_MS: f64 = 40.0;

/// How long after the time limit an undecided candidate is rolled back, as a part of the limit.
const ROLLBACK_GRACE: f64 = 1.0;

/// Holds a number for each route.
type ByRoute = BTreeMap<Arc<str>, f64>;

/// Conducts one roll-out at the leader.
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
    /// Begins, or goes on after another leader.
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

    /// Returns the roll-out.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Returns what candidates get now.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns how many requests were sent, and how many of them to the candidate.
    pub fn exposure(&self) -> (u64, u64) {
        self.totals.exposure()
    }

    /// Returns the verdict once there is one.
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// Takes what the log holds of the roll-out.
    pub fn update_rollout(&mut self, rollout: &Rollout, rejected: &Versions) {
        if self.rollout != *rollout || self.rejected != *rejected {
            self.rollout = rollout.clone();
            self.rejected = rejected.clone();
            self.step += 1;
        }
    }

    /// Takes the report with a number from a run of an entry.
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

    /// Goes on at an agreed time of day.
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

    /// Sets from the stable version's answers which latency is slow, until the candidate is judged by it.
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
        // A new leader knows neither what was sent to the candidate nor whether it was good.
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

    /// Returns the time since the order at which the shift begins: as late as possible, since a version may turn
    /// bad at any time, and more of it is exposed from then on.
    fn shift_start(&self) -> Duration {
        let limit = self.rollout.order.time_limit;
        let steps = u32::try_from(SHIFT_SHARES.len()).unwrap_or(u32::MAX);
        let needed = SHIFT_STEP * (steps - 1) + DRAIN_TIME + COMPLETION_MARGIN;
        limit.saturating_sub(needed.min(limit.mul_f64(MAX_SHIFT_SHARE)))
    }

    /// Tells whether the candidate has done well on all busy routes, and can carry them.
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

    /// Chooses canaries: a few, and more while they look worse than the stable version.
    fn choose_canaries(&mut self, fleet: &Fleet) {
        let wanted = (as_f64(fleet.stable as u64) * CANARY_SHARE).ceil();
        let mut wanted = (to_u32(wanted) as usize).max(MIN_CANARIES);
        if self.evaluator.is_suspicious() {
            wanted *= SUSPICION_FACTOR;
        }
        self.choose(fleet, wanted);
    }

    /// Chooses the upstreams of the candidate that take a part of the traffic: the same part of them, so that each
    /// has its usual load. A version that is bad under load alone shows with the first part.
    fn choose_shift_upstreams(&mut self, fleet: &Fleet) {
        let Stage::Shift { at, .. } = self.stage else { return };
        let wanted = (as_f64(fleet.candidates.len() as u64) * SHIFT_SHARES[at]).ceil();
        self.choose(fleet, to_u32(wanted) as usize);
    }

    /// Has so many upstreams of the candidate get requests, from each zone in turn: one that is lost must not take
    /// all of them.
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

    /// Divides what canaries may get among the routes, the same number to each where there is enough: a version
    /// may be bad on the one with the fewest requests.
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

    /// Returns how many requests of each route were sent.
    fn sent_by_route(&self) -> ByRoute {
        let mut sent = ByRoute::new();
        for ((route, _), counts) in self.totals.sums() {
            *sent.entry(route.clone()).or_default() += as_f64(counts.sent);
        }
        sent
    }

    /// Returns what entries do now.
    pub fn plan(&self) -> Plan {
        let state =
            self.verdict.as_ref().map_or(self.rollout.state, |verdict| match verdict.state {
                // Entries hear of it once the log holds it: the stable upstreams stop then.
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

/// Divides so many requests evenly among routes, each no more than a part of its own; returns the shares.
fn allocate_requests(sent: &ByRoute, requests: f64) -> ByRoute {
    let mut routes: Vec<&Arc<str>> = sent.keys().collect();
    routes.sort_by(|one, other| sent[*one].total_cmp(&sent[*other]));
    let mut left = requests;
    let mut shares = ByRoute::new();
    for (at, route) in routes.iter().enumerate() {
        let even = left / as_f64((routes.len() - at) as u64);
        let route_requests = even.min(sent[*route] * MAX_ROUTE_SHARE);
        left -= route_requests;
        // In steps, so that small changes are not told to all entries.
        let steps = (route_requests / sent[*route].max(1.0) * SHARE_STEPS).ceil();
        shares.insert((*route).clone(), steps / SHARE_STEPS);
    }
    shares
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small and not negative.
fn to_u32(value: f64) -> u32 {
    value as u32
}
