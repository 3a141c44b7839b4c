//! Finds the route of a request and the team of a key.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::route_table::{Route, RouteTable, TeamConfig};

/// Holds the place of each route of a host by its prefix.
type Prefixes = HashMap<Arc<str>, usize>;

/// Orders requests: first by their team's priority, then by their route's.
type Urgency = (u8, u8);

/// The ranks that upstreams know.
const RANK_COUNT: usize = 10;

/// Holds a route table ready for lookups.
#[derive(Debug)]
pub struct Index {
    sheet: Arc<RouteTable>,
    hosts: HashMap<String, Prefixes>,
    keys: HashMap<Arc<str>, usize>,
    urgencies: Vec<Urgency>,
}

impl Index {
    /// Prepares a route table.
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

    /// Returns the table.
    pub fn route_table(&self) -> &Arc<RouteTable> {
        &self.sheet
    }

    /// Returns the route with the longest prefix of the path, among those of the host.
    ///
    /// Prefixes end with a slash, so only as many lookups are made as the path has slashes, however
    /// many routes there are.
    pub fn route(&self, host: &str, target: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let slashes = path.char_indices().rev().filter(|(_, character)| *character == '/');
        let mut candidates = slashes.filter_map(|(slash, _)| prefixes.get(&path[..=slash]));
        candidates.next().and_then(|position| self.sheet.routes.get(*position))
    }

    /// Returns the rank of a request of a team on a route; zero is the most urgent.
    ///
    /// A team's priority goes before a route's. Taken alone, it would leave the routes of one team
    /// without any order: where upstreams are too few, the requests with the longest objective would
    /// fill the queues in which the most urgent ones are too late.
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

/// Returns the urgency of a request; a team without a priority leaves it to the route's.
fn urgency(route: u8, team: Option<u8>) -> Urgency {
    (team.unwrap_or(route), route)
}

/// Lists the urgencies that requests may have, in order.
fn urgencies(sheet: &RouteTable) -> Vec<Urgency> {
    let routes: BTreeSet<u8> = sheet.routes.iter().map(|route| route.priority).collect();
    let mut teams: BTreeSet<Option<u8>> = sheet.teams.iter().map(|team| team.priority).collect();
    teams.insert(None);
    let all = routes.iter().flat_map(|route| teams.iter().map(|team| urgency(*route, *team)));
    all.collect::<BTreeSet<Urgency>>().into_iter().collect()
}
