//! Source of the updates that a leader or a core sends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::{
    LaterUpdateExtension, LatestUpdateExtension, Trailing, Update, UpdateExtension,
};
use crate::limit::Limits;
use crate::quarantine::Blocklist;
use crate::registry::Registry;
use crate::rollout::Plans;
use crate::route_table::RouteTable;
use crate::upstream::Record;
use crate::version_history::VersionHistory;
use crate::view::Version;

/// Provides the upstreams and the change number of each: the leader's registry, or the view of a
/// core.
pub trait ChangeSource {
    /// Returns the number of the last change.
    fn last_change(&self) -> u64;
    /// Returns whether everything that changed after `change` is still known.
    fn has_changes_since(&self, change: u64) -> bool;
    /// Returns the records that changed after `change`, or `None` if `change` is too old and the
    /// full list is needed.
    fn changes_since(&self, change: u64) -> Option<Vec<Record>>;
    /// Returns all records.
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

/// Holds the state from which updates are built.
pub struct UpdateSource<'a> {
    /// Sender of the update.
    pub from: SocketAddr,
    /// Address of the leader.
    pub leader: SocketAddr,
    /// Time since the leader was last heard.
    pub leader_contact_age: Duration,
    /// Term of the leader.
    pub term: u64,
    /// Upstream records.
    pub records: &'a dyn ChangeSource,
    /// Current route table.
    pub route_table: Option<&'a Arc<RouteTable>>,
    /// Suspected and quarantined requests.
    pub blocklist: &'a Arc<Blocklist>,
    /// Which versions of services get requests.
    pub rollout_plans: &'a Arc<Plans>,
    /// Rate limits requested by upstreams.
    pub limits: &'a Arc<Limits>,
    /// When each version of each service came and left.
    pub version_history: &'a Arc<VersionHistory>,
    /// Change with which each of these was last published.
    pub changes: ChangeNumbers,
    /// Whether a call waits until all instances have acknowledged the changes.
    pub ack_requested: bool,
    /// Agreed time of day, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Holds the change with which each part that is always sent whole was last published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeNumbers {
    /// Suspected and quarantined requests.
    pub blocklist: u64,
    /// Which versions of services get requests.
    pub plans: u64,
    /// Rate limits requested by upstreams.
    pub limits: u64,
    /// When each version of each service came and left.
    pub version_history: u64,
}

/// Describes what an instance lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Missing {
    /// Version of the upstreams that the instance has, or `None` if it needs all of them.
    pub(super) base: Option<Version>,
    /// Whether it needs the route table.
    pub(super) route_table: bool,
    /// Whether a call waits for its acknowledgement.
    pub(super) ack_requested: bool,
}

impl UpdateSource<'_> {
    /// Returns the revision of the route table, or zero without one.
    pub(super) fn revision(&self) -> u64 {
        self.route_table.map_or(0, |route_table| route_table.revision)
    }

    /// Returns the version of the last change.
    pub(super) fn version(&self) -> Version {
        Version { term: self.term, change: self.records.last_change() }
    }

    /// Builds an update without content for an instance that has seen `change`.
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
            extension: Trailing::default(),
        }
    }

    /// Builds the update for all instances that lack the same parts.
    pub(super) fn build_update(&self, missing: &Missing) -> Update {
        let base = missing.base.map(|base| base.change);
        let changed = base.and_then(|base| self.records.changes_since(base));
        let is_missing = |change: u64| base.is_none_or(|base| base < change);
        let has_history = is_missing(self.changes.version_history);
        let history = has_history.then(|| self.version_history.clone());
        let latest =
            LatestUpdateExtension { version_history: Trailing(history), ..Default::default() };
        let later = LaterUpdateExtension { latest: Trailing(latest), ..Default::default() };
        Update {
            version: self.version(),
            base: missing.base,
            records: changed.unwrap_or_else(|| self.records.all()),
            route_table: self.route_table.filter(|_| missing.route_table).cloned(),
            blocklist: is_missing(self.changes.blocklist).then(|| self.blocklist.clone()),
            rollout_plans: is_missing(self.changes.plans).then(|| self.rollout_plans.clone()),
            limits: is_missing(self.changes.limits).then(|| self.limits.clone()),
            ack_requested: missing.ack_requested,
            extension: Trailing(UpdateExtension { later: Trailing(later), ..Default::default() }),
            ..self.empty_update(0)
        }
    }
}
