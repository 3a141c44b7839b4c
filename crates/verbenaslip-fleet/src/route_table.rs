//! The route table: which requests go to which service, for whom, and within which bounds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Team};

/// Holds one whole route table under the operator's own rising revision.
#[data(float, default)]
pub struct RouteTable {
    /// The operator's revision; the highest is in force.
    pub revision: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// The teams; without any, callers need no key.
    pub teams: Vec<TeamConfig>,
    /// What callers may send.
    pub limits: RequestLimits,
}

/// Sends the requests of a host and path prefix to services.
#[data]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host, without a port.
    pub host: Arc<str>,
    /// The prefix of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// The longest pause between two events of an answer that is on time.
    pub max_event_gap: Duration,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// The services, by weight.
    pub targets: Vec<Target>,
    /// The most upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Says what may be repeated.
#[data(copy, hash)]
pub enum RequestKind {
    /// The request is idempotent.
    Repeatable,
    /// The request may run once at most.
    Once,
    /// The answer is a series of events.
    Stream {
        /// Whether another run may go on after the last event that the caller has.
        resumable: bool,
    },
}

impl RequestKind {
    /// Tells whether a request that may have run may be run again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }
}

/// Names a service with its weight among those of a route.
#[data]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its weight.
    pub weight: u32,
}

/// Describes one service.
#[data(float)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The path of its health check.
    pub health_path: Arc<str>,
    /// The most connections that one of its upstreams accepts from all instances together.
    pub max_connections: u32,
    /// What its upstreams are, when they are model engines.
    pub engine: Option<Engine>,
    /// Within which bounds upstreams may be ordered; none where they can't be.
    pub scaling: Option<Scaling>,
}

/// Describes the model engines of a service.
#[data]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: u64,
    /// Tokens in one event.
    pub tokens_per_event: u32,
}

/// Bounds the upstreams of a service that may be ordered in one availability zone.
#[data(float)]
pub struct Scaling {
    /// The fewest.
    pub min_upstreams: u32,
    /// The most.
    pub max_upstreams: u32,
    /// How long an ordered upstream takes to serve.
    pub boot_time: Duration,
    /// The price of a reclaimable upstream as a share of an on-demand one's; none where there are no
    /// reclaimable ones.
    pub reclaimable_price_ratio: Option<f64>,
    /// The price of an upstream by availability zone.
    pub prices: BTreeMap<AvailabilityZone, f64>,
}

/// Holds one team: who belongs to it and how much it may ask for.
#[data(float)]
pub struct TeamConfig {
    /// The team.
    pub name: Team,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u8>,
    /// What it may ask for; none is no limit.
    pub quota: Option<Quota>,
}

/// Limits what a team may ask for, over all entries together.
#[data(copy, float)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units at once beyond that.
    pub burst: f64,
    /// Units of a request that does not say how many tokens it has; none when each request counts
    /// as one unit.
    pub default_tokens: Option<f64>,
}

/// Bounds what callers may send and how long they may take.
#[data(copy)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// The longest time for a head to arrive.
    pub head_timeout: Duration,
    /// The longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Says why a route table can't be in force.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ValidationError {
    /// route {0} names the service {1}, which is not in the table
    UnknownService(Arc<str>, Arc<str>),
    /// the routes {0} and {1} have the same host and prefix
    DuplicateRoute(Arc<str>, Arc<str>),
    /// the weights of route {0} add up to zero
    ZeroWeight(Arc<str>),
    /// the timeout of route {0} is zero
    ZeroTimeout(Arc<str>),
    /// the teams {0} and {1} share a key
    DuplicateKey(Team, Team),
}

impl std::error::Error for ValidationError {}

impl RouteTable {
    /// Checks that the table can be in force.
    ///
    /// # Errors
    ///
    /// Returns the first problem.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let services: BTreeSet<&str> = self.services.iter().map(|it| &*it.name).collect();
        let mut locations = BTreeMap::new();
        for route in &self.routes {
            route.validate(&services)?;
            let location = (route.host.to_ascii_lowercase(), route.prefix.clone());
            if let Some(other) = locations.insert(location, route.name.clone()) {
                return Err(ValidationError::DuplicateRoute(other, route.name.clone()));
            }
        }
        self.validate_keys()
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    fn validate_keys(&self) -> Result<(), ValidationError> {
        let mut owners: BTreeMap<&str, &Team> = BTreeMap::new();
        for team in &self.teams {
            for key in &team.keys {
                let other = owners.insert(key, &team.name);
                if let Some(other) = other.filter(|other| **other != team.name) {
                    return Err(ValidationError::DuplicateKey(other.clone(), team.name.clone()));
                }
            }
        }
        Ok(())
    }
}

impl Route {
    fn validate(&self, services: &BTreeSet<&str>) -> Result<(), ValidationError> {
        if self.timeout.is_zero() {
            return Err(ValidationError::ZeroTimeout(self.name.clone()));
        }
        let unknown = self.targets.iter().find(|target| !services.contains(&*target.service));
        if let Some(target) = unknown {
            return Err(ValidationError::UnknownService(self.name.clone(), target.service.clone()));
        }
        if self.targets.iter().all(|target| target.weight == 0) {
            return Err(ValidationError::ZeroWeight(self.name.clone()));
        }
        Ok(())
    }
}
