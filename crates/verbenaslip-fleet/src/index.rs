//! Finds the route of a request and the team of a key.

use std::collections::HashMap;
use std::sync::Arc;

use crate::sheet::{Route, Sheet, TeamRow};

/// Holds the place of each route of a host by its prefix.
type Prefixes = HashMap<Arc<str>, usize>;

/// Holds a route table ready for lookups.
#[derive(Debug)]
pub struct Index {
    sheet: Arc<Sheet>,
    hosts: HashMap<String, Prefixes>,
    keys: HashMap<Arc<str>, usize>,
}

impl Index {
    /// Prepares a route table.
    pub fn open(sheet: Arc<Sheet>) -> Self {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (place, route) in sheet.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), place);
        }
        let mut keys = HashMap::new();
        for (place, team) in sheet.teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|key| (key.clone(), place)));
        }
        Self { sheet, hosts, keys }
    }

    /// Returns the table.
    pub fn sheet(&self) -> &Arc<Sheet> {
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
        let ends = path.char_indices().rev().filter(|(_, letter)| *letter == '/');
        let mut candidates = ends.filter_map(|(end, _)| prefixes.get(&path[..=end]));
        candidates.next().and_then(|place| self.sheet.routes.get(*place))
    }

    /// Returns the team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&TeamRow> {
        self.keys.get(key).and_then(|place| self.sheet.teams.get(*place))
    }
}
