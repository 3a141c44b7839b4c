//! Lookup of the route of a request and of the team of a key.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::route_table::{Route, RouteTable, TeamConfig};

/// Maps the path prefixes of one host to positions in the list of routes.
type Prefixes = HashMap<Arc<str>, usize>;

/// Orders requests by the priority of their team, then by that of their route.
type Urgency = (u8, u8);

/// Number of priority ranks that upstreams distinguish.
const RANK_COUNT: usize = 10;

/// Holds a route table prepared for lookups.
#[derive(Debug)]
pub struct Index {
    sheet: Arc<RouteTable>,
    hosts: HashMap<String, Prefixes>,
    keys: HashMap<Arc<str>, usize>,
    urgencies: Vec<Urgency>,
}

impl Index {
    /// Builds the index of a route table.
    pub fn new(sheet: Arc<RouteTable>) -> Self {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (position, route) in sheet.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), position);
        }
        let mut keys = HashMap::new();
        for (position, team) in sheet.teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|key| (key.clone(), position)));
        }
        let urgencies = urgencies(&sheet);
        Self { sheet, hosts, keys, urgencies }
    }

    /// Returns the route table.
    pub fn route_table(&self) -> &Arc<RouteTable> {
        &self.sheet
    }

    /// Returns the route of a host with the longest prefix of the path.
    ///
    /// Prefixes end with a slash, so a lookup takes at most one step per slash in the path, however
    /// many routes there are.
    pub fn route(&self, host: &str, target: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let slashes = path.char_indices().rev().filter(|(_, character)| *character == '/');
        let mut candidates = slashes.filter_map(|(slash, _)| prefixes.get(&path[..=slash]));
        candidates.next().and_then(|position| self.sheet.routes.get(*position))
    }

    /// Returns the rank of a team's request on a route; zero is the most urgent.
    ///
    /// The team's priority precedes the route's. If only the team's priority counted, the routes of
    /// one team would have no order: where upstreams are too few, the requests with the longest
    /// objective would fill the queues, and the most urgent ones would be too late.
    pub fn rank(&self, route: &Route, team: Option<&TeamConfig>) -> u8 {
        let urgency = urgency(route.priority, team.and_then(|team| team.priority));
        let position = self.urgencies.partition_point(|it| *it < urgency);
        let levels = self.urgencies.len();
        let rank = if levels > RANK_COUNT { position * RANK_COUNT / levels } else { position };
        u8::try_from(rank.min(RANK_COUNT - 1)).unwrap_or(u8::MAX)
    }

    /// Returns the team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&TeamConfig> {
        self.keys.get(key).and_then(|position| self.sheet.teams.get(*position))
    }
}

/// Returns the urgency of a request; the route's priority stands in for a team without one.
fn urgency(route: u8, team: Option<u8>) -> Urgency {
    (team.unwrap_or(route), route)
}

/// Returns all urgencies that requests may have, in ascending order.
fn urgencies(sheet: &RouteTable) -> Vec<Urgency> {
    let routes: BTreeSet<u8> = sheet.routes.iter().map(|route| route.priority).collect();
    let mut teams: BTreeSet<Option<u8>> = sheet.teams.iter().map(|team| team.priority).collect();
    teams.insert(None);
    let all = routes.iter().flat_map(|route| teams.iter().map(|team| urgency(*route, *team)));
    all.collect::<BTreeSet<Urgency>>().into_iter().collect()
}
