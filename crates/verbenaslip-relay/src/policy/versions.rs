//! Chooses the version of a service for a request during a rollout, and counts the results of each
//! version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::rollout::evaluator::Evaluator;
use verbenaslip_fleet::rollout::report::{Counts, Group, Key, Report};
use verbenaslip_fleet::rollout::{Cohort, Plan, Plans, State};

use crate::policy::upstream_state::Ending;

/// Time for which an entry may use a candidate after sending the last report that the leader
/// answered. If the time were counted from reading the answer, a machine that was paused would
/// rely on answers from before its pause.
const CONFIRMATION_LEASE: Duration = Duration::from_secs(1);

/// Versions that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Track {
    /// The versions that served before the rollout.
    Stable,
    /// The candidate version of the rollout.
    Candidate,
}

/// Holds which versions may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tracks {
    /// Version that the request goes to.
    pub preferred: Track,
    /// Version that the request goes to if the preferred one cannot take it.
    pub fallback: Option<Track>,
}

impl Default for Tracks {
    fn default() -> Self {
        Self { preferred: Track::Stable, fallback: None }
    }
}

impl Track {
    /// Returns whether upstreams of a cohort belong to the track.
    pub(crate) fn includes(self, cohort: Cohort) -> bool {
        match self {
            Self::Stable => cohort == Cohort::Stable,
            Self::Candidate => matches!(cohort, Cohort::Canary | Cohort::Candidate),
        }
    }
}

/// Follows the plans of all rollouts at one entry.
#[derive(Debug, Default)]
pub struct Versions {
    plans: Arc<Plans>,
    /// When the last report was sent whose answer confirmed that the plans are the newest.
    plans_confirmed_at: Option<Duration>,
    /// Rollouts whose candidate this entry no longer uses, even if a later leader says otherwise.
    rolled_back: BTreeSet<u64>,
    services: BTreeMap<Arc<str>, ServiceCounts>,
}

/// Identifies a request that is counted for a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// Counts the requests to one service during a rollout.
#[derive(Debug)]
struct ServiceCounts {
    plan: Plan,
    rows: BTreeMap<Key, Counts>,
    active_requests: BTreeMap<u64, ActiveRequest>,
    last_ticket: u64,
    judge: Evaluator,
    /// Counts that have already been evaluated.
    evaluated: BTreeMap<Key, Counts>,
    /// Whether this entry has stopped using the candidate because of its own counts.
    candidate_stopped: bool,
}

/// Holds a request in progress.
#[derive(Debug)]
struct ActiveRequest {
    key: Key,
    sent_at: Duration,
    first_event_after: Option<Duration>,
    /// Whether the request was already counted as slow.
    counted_as_slow: bool,
}

impl Versions {
    /// Updates the view.
    pub fn update(&mut self, view: &View) {
        self.plans_confirmed_at = view.plans_confirmed_at;
        if Arc::ptr_eq(&self.plans, &view.rollout_plans) {
            return;
        }
        self.plans = view.rollout_plans.clone();
        for (service, plan) in self.plans.iter() {
            if plan.state == State::RolledBack {
                self.rolled_back.insert(plan.id);
            }
            match self.services.get_mut(service) {
                Some(service_counts) if service_counts.plan.id == plan.id => {
                    service_counts.plan = plan.clone()
                }
                _ => {
                    self.services.insert(service.clone(), ServiceCounts::new(plan.clone()));
                }
            }
        }
        self.services.retain(|service, _| view.rollout_plans.contains_key(service));
    }

    /// Chooses the versions for a request of a route; `random_fraction` is between zero and one.
    ///
    /// A retry goes to a version that is known to be good, unless the traffic is being shifted to
    /// the candidate.
    pub fn choose_tracks(
        &self,
        now: Duration,
        service: &str,
        route: &str,
        is_retry: bool,
        random_fraction: f64,
    ) -> Tracks {
        let Some(service_counts) = self.services.get(service) else { return Tracks::default() };
        if !self.may_use_candidate(now, service_counts) {
            return Tracks::default();
        }
        let plan = &service_counts.plan;
        let with_fallback = |first, second| Tracks { preferred: first, fallback: Some(second) };
        match plan.state {
            State::Completed => with_fallback(Track::Candidate, Track::Stable),
            // The stable upstreams may be stopped, so the candidate serves if they can't.
            _ if self.may_be_decided(now, service_counts) => {
                with_fallback(Track::Stable, Track::Candidate)
            }
            _ if is_retry && !plan.shifting => Tracks::default(),
            _ if random_fraction < plan.share(route) => {
                with_fallback(Track::Candidate, Track::Stable)
            }
            _ if plan.shifting => with_fallback(Track::Stable, Track::Candidate),
            _ => Tracks::default(),
        }
    }

    /// Returns the versions that may continue an answer which one of them has begun: both, unless
    /// the candidate must not be used.
    pub fn continuing_tracks(&self, now: Duration, service: &str) -> Tracks {
        let service_counts = self.services.get(service);
        let may_use_candidate = service_counts.is_some_and(|it| self.may_use_candidate(now, it));
        let fallback = may_use_candidate.then_some(Track::Candidate);
        Tracks { preferred: Track::Stable, fallback }
    }

    /// Returns whether the candidate may take any requests.
    fn may_use_candidate(&self, now: Duration, service_counts: &ServiceCounts) -> bool {
        let plan = &service_counts.plan;
        match plan.state {
            State::RolledBack => false,
            State::Completed => true,
            State::Serving => {
                !self.rolled_back.contains(&plan.id)
                    && (plan.shifting || !self.may_be_decided(now, service_counts))
            }
        }
    }

    /// Returns whether a rollout in progress may already be decided elsewhere, or this entry has
    /// stopped using its candidate.
    fn may_be_decided(&self, now: Duration, service_counts: &ServiceCounts) -> bool {
        let unconfirmed =
            self.plans_confirmed_at.is_none_or(|at| now.saturating_sub(at) > CONFIRMATION_LEASE);
        unconfirmed || service_counts.candidate_stopped
    }

    /// Counts a request that is sent; returns `None` if its service has no rollout in progress.
    pub fn record_sent(
        &mut self,
        now: Duration,
        service: &str,
        route: &Arc<str>,
        cohort: Cohort,
        upstream_hash: u64,
    ) -> Option<Ticket> {
        let service_counts = self.services.get_mut(service)?;
        if service_counts.plan.state != State::Serving {
            return None;
        }
        let group = match cohort {
            Cohort::Stable => Group::Stable,
            Cohort::Canary => Group::Canary(upstream_hash),
            Cohort::Candidate | Cohort::Reserve | Cohort::Rejected => Group::Candidate,
        };
        Some(service_counts.record_sent(now, (route.clone(), group)))
    }

    /// Records the time to the first event of a request.
    pub fn record_first_event(&mut self, service: &str, ticket: Ticket, latency: Duration) {
        let active =
            self.services.get_mut(service).and_then(|it| it.active_requests.get_mut(&ticket.0));
        if let Some(active) = active {
            active.first_event_after = active.first_event_after.or(Some(latency));
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, now: Duration, service: &str, ticket: Ticket, ending: Ending) {
        if let Some(service_counts) = self.services.get_mut(service) {
            service_counts.record_end(now, ticket, ending);
        }
    }

    /// Returns the reports for the leader.
    pub fn report(&mut self, now: Duration) -> Vec<Report> {
        let rolled_back = &self.rolled_back;
        let serving = self.services.values_mut().filter(|it| it.plan.state == State::Serving);
        serving
            .map(|service_counts| {
                service_counts.report(now, rolled_back.contains(&service_counts.plan.id))
            })
            .collect()
    }
}

impl ServiceCounts {
    fn new(plan: Plan) -> Self {
        Self {
            plan,
            rows: BTreeMap::new(),
            active_requests: BTreeMap::new(),
            last_ticket: 0,
            judge: Evaluator::default(),
            evaluated: BTreeMap::new(),
            candidate_stopped: false,
        }
    }

    fn record_sent(&mut self, now: Duration, key: Key) -> Ticket {
        self.last_ticket += 1;
        self.rows.entry(key.clone()).or_default().sent += 1;
        self.active_requests.insert(
            self.last_ticket,
            ActiveRequest { key, sent_at: now, first_event_after: None, counted_as_slow: false },
        );
        Ticket(self.last_ticket)
    }

    fn record_end(&mut self, now: Duration, ticket: Ticket, ending: Ending) {
        let Some(active) = self.active_requests.remove(&ticket.0) else { return };
        let slow_threshold = self.plan.slow_threshold(&active.key.0);
        let counts = self.rows.entry(active.key.clone()).or_default();
        let latency = active.first_event_after.unwrap_or(now.saturating_sub(active.sent_at));
        let is_slow = slow_threshold.is_some_and(|slow_threshold| latency > slow_threshold);
        let bad = match ending {
            Ending::Unreachable => {
                counts.sent = counts.sent.saturating_sub(1);
                return;
            }
            Ending::Full | Ending::CoolingDown => return,
            Ending::Abandoned | Ending::Slow if !is_slow => return,
            Ending::Abandoned | Ending::Slow | Ending::Failed => true,
            Ending::Complete => is_slow,
        };
        if active.key.1 == Group::Stable && ending == Ending::Complete {
            counts.record_latency(latency);
        }
        if !active.counted_as_slow {
            counts.ended += 1;
            counts.bad += u64::from(bad);
        }
    }

    /// Counts requests that are already slow, so that slowness is known before they are answered.
    fn count_slow(&mut self, now: Duration) {
        for active in self
            .active_requests
            .values_mut()
            .filter(|it| !it.counted_as_slow && it.first_event_after.is_none())
        {
            let slow_threshold = self.plan.slow_threshold(&active.key.0);
            if slow_threshold.is_some_and(|limit| now.saturating_sub(active.sent_at) > limit) {
                active.counted_as_slow = true;
                let counts = self.rows.entry(active.key.clone()).or_default();
                counts.ended += 1;
                counts.bad += 1;
            }
        }
    }

    fn report(&mut self, now: Duration, rolled_back: bool) -> Report {
        self.count_slow(now);
        self.evaluate();
        let stable = self.active_requests.values().filter(|it| it.key.1 == Group::Stable).count();
        Report {
            id: self.plan.id,
            step: self.plan.step,
            stable_active: u32::try_from(stable).unwrap_or(u32::MAX),
            halted: rolled_back,
            rows: self.rows.iter().map(|(key, counts)| (key.clone(), counts.clone())).collect(),
        }
    }

    /// Stops using a candidate that looks bad to this entry, before the leader decides.
    fn evaluate(&mut self) {
        let fresh = self.rows.iter().map(|((route, group), counts)| {
            let group = if *group == Group::Stable { Group::Stable } else { Group::Candidate };
            ((route.clone(), group), counts.clone())
        });
        let mut pooled: BTreeMap<Key, Counts> = BTreeMap::new();
        fresh.for_each(|(key, counts)| pooled.entry(key).or_default().add(&counts));
        let fresh =
            pooled.iter().map(|(key, it)| (key.clone(), it.difference(self.evaluated.get(key))));
        let fresh = fresh.collect();
        self.candidate_stopped |= self.judge.evaluate(&fresh).is_some();
        self.evaluated = pooled;
    }
}
