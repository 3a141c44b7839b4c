//! The route table: which requests go to which services, which teams may send them, and the limits
//! on callers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Team};

/// Holds one complete route table, which the operator numbers with a rising revision.
#[data(float, default)]
pub struct RouteTable {
    /// The operator's revision number; the table with the highest one is in force.
    pub revision: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that the routes refer to.
    pub services: Vec<Service>,
    /// The teams; if there are none, callers need no key.
    pub teams: Vec<TeamConfig>,
    /// Limits on the requests of callers.
    pub limits: RequestLimits,
}

/// Maps the requests for a host and a path prefix to services.
#[data]
pub struct Route {
    /// The name, which appears in logs.
    pub name: Arc<str>,
    /// The host, without a port.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// The longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency objective: the time within which an answer, or its first event, should arrive.
    pub objective: Duration,
    /// The latency objective within a stream: the longest time between two events.
    pub max_event_gap: Duration,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// The services with their weights.
    pub targets: Vec<Target>,
    /// The maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Says whether a request may be run more than once.
#[data(copy, hash)]
pub enum RequestKind {
    /// The request is idempotent.
    Repeatable,
    /// The request may run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another run may continue after the last event that the caller has received.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request that may already have run may be run again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }
}

/// Names a service and its weight among the services of a route.
#[data]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// The weight.
    pub weight: u32,
}

/// Describes one service.
#[data(float)]
pub struct Service {
    /// The name.
    pub name: Arc<str>,
    /// The path of the health check.
    pub health_path: Arc<str>,
    /// The maximum number of connections that one upstream accepts from all instances together.
    pub max_connections: u32,
    /// The properties of the upstreams if they are model engines.
    pub engine: Option<Engine>,
    /// The bounds for the number of upstreams; none if upstreams can't be ordered.
    pub scaling: Option<Scaling>,
}

/// Describes the model engines of a service.
#[data]
pub struct Engine {
    /// The number of requests that an engine runs at once.
    pub slots: u32,
    /// The number of tokens that fit into the memory of an engine.
    pub memory_tokens: u64,
    /// The number of tokens in one event.
    pub tokens_per_event: u32,
}

/// Bounds the number of upstreams of a service in one availability zone.
#[data(float)]
pub struct Scaling {
    /// The minimum number of upstreams.
    pub min_upstreams: u32,
    /// The maximum number of upstreams.
    pub max_upstreams: u32,
    /// The time from ordering an upstream until it serves requests.
    pub boot_time: Duration,
    /// The price of a reclaimable upstream as a share of an on-demand one's; none if there are no
    /// reclaimable upstreams.
    pub reclaimable_price_ratio: Option<f64>,
    /// The price of an upstream by availability zone.
    pub prices: BTreeMap<AvailabilityZone, f64>,
}

/// Holds one team: the keys of its callers, its priority and its rate limit.
#[data(float)]
pub struct TeamConfig {
    /// The name.
    pub name: Team,
    /// The keys that identify its callers.
    pub keys: Vec<Arc<str>>,
    /// The priority of its requests, which precedes the route's; none leaves it to the route's.
    pub priority: Option<u8>,
    /// The rate limit; none means unlimited.
    pub quota: Option<Quota>,
}

/// Limits the rate of a team's requests over all entries together.
#[data(copy, float)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Units of a request that does not state its number of tokens; none if each request counts as
    /// one unit.
    pub default_tokens: Option<f64>,
}

/// Limits the size of requests and the time that callers may take.
#[data(copy)]
pub struct RequestLimits {
    /// The maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The longest time that a request's head may take to arrive.
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

/// Says why a route table is invalid.
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
    /// Checks that the table is valid.
    ///
    /// # Errors
    ///
    /// Returns the first problem that is found.
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

    /// Returns the service with this name.
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
