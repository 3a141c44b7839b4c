//! Rollouts: moving a service's traffic from the stable version to a candidate version.
//!
//! A [`Rollout`] is kept in the replicated log from its order to its verdict. The leader runs a
//! [`Controller`] for each undecided rollout. The controller sends a small share of the requests to
//! a few *canaries*, which are upstreams of the candidate version, and compares them with the
//! stable version as described in [`evaluator`]. Then it either shifts all traffic or rolls back.
//! Entries follow the current [`Plan`] and send [`report`]s.
//!
//! A verdict is final: the log keeps the first one, and an entry that has learned of a rollback
//! sends no more requests to that version, whatever a later leader says.

pub mod controller;
pub mod evaluator;
pub mod report;
pub mod verdict;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

pub use crate::rollout::controller::Controller;

/// How long after a verdict an equal order counts as the decided one sent again; operators resend
/// for a few seconds.
const RESEND_WINDOW: Duration = Duration::from_secs(10);

/// Orders a service's traffic to be moved to a version.
#[data]
pub struct Order {
    /// The service.
    pub service: Arc<str>,
    /// The version to move to.
    pub version: Arc<str>,
    /// The time within which the operator wants a verdict.
    pub time_limit: Duration,
}

/// Says how far a rollout has come.
#[data(copy, hash)]
pub enum State {
    /// Both versions serve; there is no verdict yet.
    Serving,
    /// The candidate has taken over.
    Completed,
    /// The candidate receives no more requests.
    RolledBack,
}

/// Holds one rollout as the log knows it.
#[data]
pub struct Rollout {
    /// The ID, which rises with each rollout of the fleet.
    pub id: u64,
    /// The operator's order.
    pub order: Order,
    /// When the rollout was ordered, in Unix milliseconds of the agreed time of day.
    pub started: u64,
    /// How far the rollout has come.
    pub state: State,
    /// When the rollout was decided, in Unix milliseconds of the agreed time of day.
    pub decided: Option<u64>,
}

/// Holds the names of versions.
pub type Versions = BTreeSet<Arc<str>>;

/// Holds the last rollout of each service.
#[data(default)]
pub struct Rollouts {
    /// The number of rollouts that were started.
    started: u64,
    services: BTreeMap<Arc<str>, Rollout>,
    /// The versions that were rolled back, by service; they receive no requests until they are
    /// ordered again.
    rejected: BTreeMap<Arc<str>, Versions>,
}

/// Says how an order is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The order starts a rollout.
    New,
    /// The log already holds the order.
    Known,
    /// The service is being moved to this other version.
    Conflict(Arc<str>),
}

impl Rollouts {
    /// Returns the last rollout of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// Iterates over the last rollouts of all services.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values()
    }

    /// Returns the versions of a service that were rolled back.
    pub fn rejected(&self, service: &str) -> Versions {
        self.rejected.get(service).cloned().unwrap_or_default()
    }

    /// Returns how an order is handled that arrives at a time, in Unix milliseconds.
    pub fn admission(&self, order: &Order, unix: u64) -> Admission {
        let Some(last) = self.services.get(&order.service) else { return Admission::New };
        let is_same_version = last.order.version == order.version;
        match (last.decided, is_same_version) {
            (None, true) => Admission::Known,
            (None, false) => Admission::Conflict(last.order.version.clone()),
            (Some(at), true) if unix.saturating_sub(at) <= millis(RESEND_WINDOW) => {
                Admission::Known
            }
            (Some(_), true) if last.state == State::Completed => Admission::Known,
            (Some(_), _) => Admission::New,
        }
    }

    /// Starts a rollout unless the order is known or conflicts with another one.
    pub(crate) fn start(&mut self, order: Order, unix: u64) {
        if self.admission(&order, unix) != Admission::New {
            return;
        }
        if let Some(rejected) = self.rejected.get_mut(&order.service) {
            rejected.remove(&order.version);
        }
        self.started += 1;
        let service = order.service.clone();
        let (id, state) = (self.started, State::Serving);
        let rollout = Rollout { id, order, started: unix, state, decided: None };
        self.services.insert(service, rollout);
    }

    /// Records a verdict; only the first one counts.
    pub(crate) fn decide(&mut self, id: u64, state: State, unix: u64) {
        let undecided = |it: &&mut Rollout| it.id == id && it.decided.is_none();
        let Some(rollout) = self.services.values_mut().find(undecided) else { return };
        rollout.state = state;
        rollout.decided = Some(unix);
        if state == State::RolledBack {
            let Order { service, version, .. } = rollout.order.clone();
            self.rejected.entry(service).or_default().insert(version);
        }
    }
}

/// Holds the plan of each service.
pub type Plans = BTreeMap<Arc<str>, Plan>;

/// Says which versions of one service receive requests.
#[data(float)]
pub struct Plan {
    /// The ID of the rollout.
    pub id: u64,
    /// The step, which rises with each change of the plan under one leader.
    pub step: u32,
    /// The candidate version.
    pub version: Arc<str>,
    /// The versions that receive no requests.
    pub rejected: Versions,
    /// How far the rollout has come.
    pub state: State,
    /// The candidate's share of requests, on routes without a share of their own.
    pub share: f64,
    /// The candidate's share of requests, by route.
    pub route_shares: BTreeMap<Arc<str>, f64>,
    /// The upstreams of the candidate that receive requests; none if all of them do.
    pub canaries: Option<BTreeSet<Upstream>>,
    /// Whether traffic is shifted to the candidate, which then receives more than canaries may.
    pub shifting: bool,
    /// The latency above which an answer counts as bad, in milliseconds, by route.
    pub slow_ms: BTreeMap<Arc<str>, u32>,
}

/// Says which group of a service an upstream belongs to under a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cohort {
    /// An upstream of the versions that served before.
    Stable,
    /// An upstream of the candidate that receives a small share.
    Canary,
    /// An upstream of the candidate while traffic is shifted to it.
    Candidate,
    /// An upstream of the candidate that receives no requests yet.
    Reserve,
    /// An upstream of a version that was rolled back.
    Rejected,
}

impl Plan {
    /// Returns the cohort of an upstream that runs a version.
    pub fn cohort(&self, upstream: &Upstream, version: &str) -> Cohort {
        let candidate = *self.version == *version;
        let is_rolled_back = candidate && self.state == State::RolledBack;
        if is_rolled_back || self.rejected.contains(version) {
            return Cohort::Rejected;
        }
        match &self.canaries {
            _ if !candidate => Cohort::Stable,
            None => Cohort::Candidate,
            Some(canaries) if !canaries.contains(upstream) => Cohort::Reserve,
            Some(_) if self.shifting => Cohort::Candidate,
            Some(_) => Cohort::Canary,
        }
    }

    /// Returns the latency above which an answer on a route counts as bad, once that is known.
    pub fn slow_threshold(&self, route: &str) -> Option<Duration> {
        self.slow_ms.get(route).map(|millis| Duration::from_millis(u64::from(*millis)))
    }

    /// Returns the share of a route's requests that the candidate receives.
    pub fn share(&self, route: &str) -> f64 {
        self.route_shares.get(route).copied().unwrap_or(self.share)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss)] // Counts of one rollout are far below the precision of a float.
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
