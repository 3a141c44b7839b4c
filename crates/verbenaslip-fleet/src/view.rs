//! What an instance knows of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

use crate::index::Index;
use crate::limit::{Limits, TimeSlot};
use crate::quarantine::Blocklist;
use crate::registry::{Record, Run};
use crate::rollout::Plans;
use crate::route_table::RouteTable;

/// Orders what leaders say: a higher term first, then a later change.
#[data(copy, ord, default, hash)]
pub struct Version {
    /// The term of the leader.
    pub term: u64,
    /// The number of its last change.
    pub change: u64,
}

/// Holds what an instance knows.
#[derive(Clone, Debug)]
pub struct View {
    /// How new the list of upstreams is.
    pub version: Version,
    /// The route table in force here.
    pub routes: Option<Arc<Index>>,
    /// The upstreams.
    pub upstreams: Arc<BTreeMap<Upstream, Record>>,
    /// The requests that are suspected or held back.
    pub blocklist: Arc<Blocklist>,
    /// Which versions of services get requests.
    pub rollout_plans: Arc<Plans>,
    /// The limits that upstreams name.
    pub limits: Arc<Limits>,
    /// Which requests under such a limit this instance may send; none as long as that is not known.
    pub time_slot: Option<TimeSlot>,
    /// Where this instance is reached by others.
    pub own_address: Option<SocketAddr>,
    /// Where the cores are reached.
    pub cores: Vec<SocketAddr>,
    /// When the last report was sent whose answer says that the plans here are the newest.
    pub plans_confirmed_at: Option<Duration>,
    /// How many entries there are.
    pub entry_count: u32,
    /// When the leader was last heard.
    pub leader_heard_at: Option<Duration>,
    /// The agreed time of day less the steady clock, in milliseconds.
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
            time_slot: None,
            own_address: None,
            cores: Vec::new(),
            plans_confirmed_at: None,
            entry_count: 1,
            leader_heard_at: None,
            time_offset_ms: 0,
        }
    }
}

impl View {
    /// Returns what is known of a run; none where its upstream is not known, or as another run.
    pub fn record(&self, run: &Run) -> Option<&Record> {
        self.upstreams.get(&run.upstream).filter(|record| record.announcement.run == *run)
    }

    /// Returns the revision of the route table; zero without one.
    pub fn revision(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.route_table().revision)
    }

    /// Takes a route table if it is newer than the one in force.
    ///
    /// An older one never comes back in the life of a process: callers that have seen the effect of
    /// a revision would see it undone.
    pub fn update_route_table(&mut self, route_table: &Arc<RouteTable>) -> bool {
        let is_newer = self.routes.is_none() || route_table.revision > self.revision();
        if is_newer {
            self.routes = Some(Arc::new(Index::new(route_table.clone())));
        }
        is_newer
    }
}
