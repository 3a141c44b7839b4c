//! Roll-outs: moving a service's traffic from the version that serves to another one.
//!
//! A [`Rollout`] lives in the replicated log from its order to its verdict. The leader runs a [`Controller`] for
//! each one that is undecided. It sends a small share of the requests to a few *canaries*, upstreams of the
//! candidate version; compares what they do with the stable version, as [`judge`] says; and then either shifts
//! all traffic or rolls back. Entries follow the [`Plan`] of the moment and send [`report`]s.
//!
//! A verdict is final: the log takes the first one, and an entry that has heard of a roll-back sends nothing to
//! the version again, whatever a later leader says.

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

/// How long after a verdict an equal order counts as the decided one sent again; operators resend for a few seconds.
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

/// Says how far a roll-out is.
#[data(copy, hash)]
pub enum State {
    /// Both versions serve; there is no verdict yet.
    Serving,
    /// The candidate has taken over.
    Completed,
    /// The candidate gets no more requests.
    RolledBack,
}

/// Holds one roll-out as the log knows it.
#[data]
pub struct Rollout {
    /// Rises with each roll-out of the fleet.
    pub id: u64,
    /// What was ordered.
    pub order: Order,
    /// When it was ordered, in Unix milliseconds of the agreed time of day.
    pub started: u64,
    /// How far it is.
    pub state: State,
    /// When it was decided, in the same way.
    pub decided: Option<u64>,
}

/// Holds the names of versions.
pub type Versions = BTreeSet<Arc<str>>;

/// Holds the last roll-out of each service.
#[data(default)]
pub struct Rollouts {
    /// How many there have been.
    started: u64,
    services: BTreeMap<Arc<str>, Rollout>,
    /// Versions that were rolled back, by service; they get no requests until they are ordered again.
    rejected: BTreeMap<Arc<str>, Versions>,
}

/// Says what becomes of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It begins a roll-out.
    New,
    /// It is one that the log already holds.
    Known,
    /// The service is being moved to this other version.
    Conflict(Arc<str>),
}

impl Rollouts {
    /// Returns the last roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// Goes through the last roll-outs of all services.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.services.values()
    }

    /// Returns the versions of a service that were rolled back.
    pub fn rejected(&self, service: &str) -> Versions {
        self.rejected.get(service).cloned().unwrap_or_default()
    }

    /// Says what becomes of an order that arrives at a time.
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

    /// Begins a roll-out unless the order is known or conflicts with another.
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

    /// Takes a verdict; the first one stays.
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

/// Holds what entries do about the versions of each service.
pub type Plans = BTreeMap<Arc<str>, Plan>;

/// Says which versions of one service get requests.
#[data(float)]
pub struct Plan {
    /// The roll-out.
    pub id: u64,
    /// Rises with each change of this plan under one leader.
    pub step: u32,
    /// The version that is rolled out.
    pub version: Arc<str>,
    /// Versions that get nothing.
    pub rejected: Versions,
    /// How far it is.
    pub state: State,
    /// The share of requests that goes to the candidate, for routes without one of their own.
    pub share: f64,
    /// The same by route.
    pub route_shares: BTreeMap<Arc<str>, f64>,
    /// The upstreams of the candidate that get requests; none for all of them.
    pub canaries: Option<BTreeSet<Upstream>>,
    /// Whether the candidate takes over, and gets more than canaries may.
    pub shifting: bool,
    /// The latency above which an answer counts as bad, in milliseconds by route.
    pub slow_ms: BTreeMap<Arc<str>, u32>,
}

/// Says which part of a service an upstream belongs to under a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cohort {
    /// The versions that served before.
    Stable,
    /// A candidate that gets a small share.
    Canary,
    /// A candidate among all that take over.
    Candidate,
    /// A candidate that gets nothing yet.
    Reserve,
    /// A version that was rolled back.
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

    /// Returns the share of a route's requests that goes to the candidate.
    pub fn share(&self, route: &str) -> f64 {
        self.route_shares.get(route).copied().unwrap_or(self.share)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss)] // Counts of one roll-out are far below the precision of a float.
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
