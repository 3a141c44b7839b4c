//! What a leader or a core tells from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::Update;
use crate::limit::Limits;
use crate::quarantine::Blocklist;
use crate::registry::Registry;
use crate::rollout::Plans;
use crate::route_table::RouteTable;
use crate::upstream::Record;
use crate::view::Version;

/// Knows the upstreams and by which change each has changed: the leader's registry, or what a core was told.
pub trait ChangeSource {
    /// Returns the number of the last change.
    fn last_change(&self) -> u64;
    /// Tells whether what changed after a change is still known.
    fn has_changes_since(&self, change: u64) -> bool;
    /// Returns what changed after a change; none when it is so old that everything must be told.
    fn changes_since(&self, change: u64) -> Option<Vec<Record>>;
    /// Returns all of them.
    fn all(&self) -> Vec<Record>;
}

impl ChangeSource for Registry {
    fn last_change(&self) -> u64 {
        Self::last_change(self)
    }

    fn has_changes_since(&self, change: u64) -> bool {
        Self::has_changes_since(self, change)
    }

    fn changes_since(&self, change: u64) -> Option<Vec<Record>> {
        Self::changes_since(self, change)
    }

    fn all(&self) -> Vec<Record> {
        self.records().cloned().collect()
    }
}

/// Holds what is told to other instances.
pub struct UpdateSource<'a> {
    /// Who tells.
    pub from: SocketAddr,
    /// The leader.
    pub leader: SocketAddr,
    /// How long ago the leader was heard.
    pub leader_contact_age: Duration,
    /// The leader's term.
    pub term: u64,
    /// The upstreams.
    pub records: &'a dyn ChangeSource,
    /// The route table.
    pub route_table: Option<&'a Arc<RouteTable>>,
    /// The requests that are suspected or held back.
    pub blocklist: &'a Arc<Blocklist>,
    /// Which versions of services get requests.
    pub rollout_plans: &'a Arc<Plans>,
    /// The limits that upstreams name.
    pub limits: &'a Arc<Limits>,
    /// By which changes these three are so.
    pub changes: ChangeNumbers,
    /// Whether somebody waits for the word of all instances that they have the changes.
    pub ack_requested: bool,
    /// The agreed time of day, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Says by which change something that is told whole was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeNumbers {
    /// The requests that are suspected or held back.
    pub blocklist: u64,
    /// Which versions of services get requests.
    pub plans: u64,
    /// The limits that upstreams name.
    pub limits: u64,
}

/// Says what an instance lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Missing {
    /// The change up to which it has the upstreams; none if it needs all of them.
    pub(super) base: Option<Version>,
    /// Whether it needs the route table.
    pub(super) route_table: bool,
    /// Whether its word is waited for.
    pub(super) ack_requested: bool,
}

impl UpdateSource<'_> {
    /// Returns the revision of the route table.
    pub(super) fn revision(&self) -> u64 {
        self.route_table.map_or(0, |route_table| route_table.revision)
    }

    /// Returns the last change.
    pub(super) fn version(&self) -> Version {
        Version { term: self.term, change: self.records.last_change() }
    }

    /// Makes an update that tells nothing to an instance that has a change.
    pub(super) fn empty_update(&self, change: u64) -> Update {
        let version = Version { term: self.term, change };
        Update {
            from: self.from,
            leader: self.leader,
            leader_contact_age: self.leader_contact_age,
            version,
            base: Some(version),
            records: Vec::new(),
            route_table: None,
            blocklist: None,
            rollout_plans: None,
            limits: None,
            fleet_status: None,
            unix_ms: self.unix_ms,
            ack_requested: false,
        }
    }

    /// Makes the update for those that lack the same.
    pub(super) fn build_update(&self, missing: &Missing) -> Update {
        let base = missing.base.map(|base| base.change);
        let changed = base.and_then(|base| self.records.changes_since(base));
        let is_missing = |change: u64| base.is_none_or(|base| base < change);
        Update {
            version: self.version(),
            base: missing.base,
            records: changed.unwrap_or_else(|| self.records.all()),
            route_table: self.route_table.filter(|_| missing.route_table).cloned(),
            blocklist: is_missing(self.changes.blocklist).then(|| self.blocklist.clone()),
            rollout_plans: is_missing(self.changes.plans).then(|| self.rollout_plans.clone()),
            limits: is_missing(self.changes.limits).then(|| self.limits.clone()),
            ack_requested: missing.ack_requested,
            ..self.empty_update(0)
        }
    }
}
