//! What one instance is set up with.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_replica::storage::Recovered;
use verbenaslip_request::setup::{Journal, Limit, Timing as RequestTiming};
use verbenaslip_table::Table;

/// Sets an instance up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This instance.
    pub instance: Instance,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// The region of that availability zone.
    pub region: Region,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Rises at each start of the instance; Unix milliseconds will do.
    pub incarnation: u64,
    /// Seeds every random choice; differs between instances and starts.
    pub seed: u64,
    /// Addresses of some instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// The instances that form the replicated log at its very first start, with their addresses.
    pub voters: Vec<InitialVoter>,
    /// What the data folder holds; none when this instance has no folder and so never votes.
    pub recovered: Option<Recovered>,
    /// The table with which an empty log begins.
    pub table: Option<Arc<Table>>,
    /// Whether there is a cloud to plan capacity with.
    pub has_cloud: bool,
    /// Where a request must be journalled before it counts as accepted.
    pub journal: Journal,
    /// How much is held for requests.
    pub limits: Limit,
    /// The times.
    pub timing: Timing,
}

/// Names a first voter and where it is reached before membership knows it.
#[derive(Clone, Debug)]
pub struct InitialVoter {
    /// The instance.
    pub instance: Instance,
    /// Where other instances reach it.
    pub address: SocketAddr,
}

/// Holds the times.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two rounds of heartbeats of the replicated log's leader.
    pub heartbeat_interval: Duration,
    /// The shortest election timeout of the replicated log.
    pub election_timeout: Duration,
    /// How long an upstream counts without a renewal.
    pub upstream_lease: Duration,
    /// The times of requests.
    pub request: RequestTiming,
}

impl Default for Timing {
    fn default() -> Self {
        let log = verbenaslip_replica::setup::Timing::default();
        Self {
            heartbeat_interval: log.heartbeat_interval,
            election_timeout: log.election_timeout,
            upstream_lease: verbenaslip_gossip::MAX_LEASE,
            request: RequestTiming::default(),
        }
    }
}
