//! The setup of one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_replica::storage::Recovered;
use verbenaslip_request::setup::{Journal, Limit, Timing as RequestTiming};
use verbenaslip_table::Table;

/// Holds the setup of an instance.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this instance.
    pub instance: Instance,
    /// Availability zone in which the instance runs.
    pub zone: AvailabilityZone,
    /// Region of the availability zone.
    pub region: Region,
    /// Address at which other instances reach this one.
    pub address: SocketAddr,
    /// Number that rises with each start of the instance, such as the time in Unix milliseconds.
    pub incarnation: u64,
    /// Seed of all random choices, which must differ between instances and between starts.
    pub seed: u64,
    /// Addresses of some instances through which this one joins.
    pub seeds: Vec<SocketAddr>,
    /// Instances that form the replicated log at its very first start, with their addresses.
    pub voters: Vec<InitialVoter>,
    /// Content of the data directory; none if the instance has none and thus never votes.
    pub recovered: Option<Recovered>,
    /// Initial table of an empty log.
    pub table: Option<Arc<Table>>,
    /// Whether a cloud is configured for which capacity is planned.
    pub has_cloud: bool,
    /// Where a request must be journaled before it counts as accepted.
    pub journal: Journal,
    /// Limits on what is kept for requests.
    pub limits: Limit,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// Describes an initial voter, whose address is needed before the membership knows it.
#[derive(Clone, Debug)]
pub struct InitialVoter {
    /// Name of the instance.
    pub instance: Instance,
    /// Address at which other instances reach it.
    pub address: SocketAddr,
}

/// Holds intervals and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two rounds of heartbeats of the replicated log's leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout of the replicated log.
    pub election_timeout: Duration,
    /// Time for which an upstream is usable without a renewal.
    pub upstream_lease: Duration,
    /// Intervals and timeouts of requests.
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
