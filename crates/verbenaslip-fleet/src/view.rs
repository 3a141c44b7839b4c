//! An instance's view of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

use crate::gateway::Gateway;
use crate::index::Index;
use crate::limit::{Limits, TimeSlot};
use crate::measurement::Figures;
use crate::quarantine::Blocklist;
use crate::registry::{Record, Run};
use crate::rollout::Plans;
use crate::route_table::RouteTable;
use crate::version_history::VersionHistory;

/// Orders the states that leaders publish: by term, then by change.
#[data(copy, ord, default, hash)]
pub struct Version {
    /// Term of the leader.
    pub term: u64,
    /// Number of its last change.
    pub change: u64,
}

/// Holds what an instance knows about the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// Version of the list of upstreams.
    pub version: Version,
    /// Route table in force at this instance.
    pub routes: Option<Arc<Index>>,
    /// Known upstreams.
    pub upstreams: Arc<BTreeMap<Upstream, Record>>,
    /// Suspected and quarantined requests.
    pub blocklist: Arc<Blocklist>,
    /// Which versions of services get requests.
    pub rollout_plans: Arc<Plans>,
    /// Rate limits requested by upstreams.
    pub limits: Arc<Limits>,
    /// When each version of each service came and left.
    pub version_history: Arc<VersionHistory>,
    /// Measurements of upstreams by all entries together.
    pub figures: Arc<Figures>,
    /// Time slot of this instance under such limits, or `None` while unknown.
    pub time_slot: Option<TimeSlot>,
    /// Address at which other instances reach this one.
    pub own_address: Option<SocketAddr>,
    /// Addresses of the cores.
    pub cores: Vec<SocketAddr>,
    /// Entries that open connections to upstreams for others.
    pub gateways: Arc<[Gateway]>,
    /// When the last heartbeat was sent whose answer confirmed that `rollout_plans` are the newest.
    pub plans_confirmed_at: Option<Duration>,
    /// Number of entries.
    pub entry_count: u32,
    /// When the leader was last heard.
    pub leader_heard_at: Option<Duration>,
    /// Offset of the agreed time of day from the local steady clock, in milliseconds.
    pub time_offset_ms: i64,
}

impl Default for View {
    fn default() -> Self {
        Self {
            version: Version::default(),
            routes: None,
            upstreams: Arc::default(),
            blocklist: Arc::default(),
            rollout_plans: Arc::default(),
            limits: Arc::default(),
            version_history: Arc::default(),
            figures: Arc::default(),
            time_slot: None,
            own_address: None,
            cores: Vec::new(),
            gateways: Arc::default(),
            plans_confirmed_at: None,
            entry_count: 1,
            leader_heard_at: None,
            time_offset_ms: 0,
        }
    }
}

impl View {
    /// Returns the record of a run, or `None` if the upstream is unknown or known with another run.
    pub fn record(&self, run: &Run) -> Option<&Record> {
        self.upstreams.get(&run.upstream).filter(|record| record.announcement.run == *run)
    }

    /// Returns the revision of the route table, or zero without one.
    pub fn revision(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.route_table().revision)
    }

    /// Adopts a route table if it is newer than the one in force; returns whether it did.
    ///
    /// An older one is never adopted during the life of a process: callers that have seen the
    /// effect of a revision would see it undone.
    pub fn update_route_table(&mut self, route_table: &Arc<RouteTable>) -> bool {
        let is_newer = self.routes.is_none() || route_table.revision > self.revision();
        if is_newer {
            self.routes = Some(Arc::new(Index::new(route_table.clone())));
        }
        is_newer
    }
}
