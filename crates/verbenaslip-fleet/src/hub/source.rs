//! What a leader or a core tells from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::Update;
use crate::limit::Limits;
use crate::quarantine::Blocklist;
use crate::registry::Registry;
use crate::rollout::Plans;
use crate::sheet::Sheet;
use crate::upstream::Record;
use crate::view::Stamp;

/// Knows the upstreams and by which change each has changed: the leader's registry, or what a core was told.
pub trait Records {
    /// Returns the number of the last change.
    fn stamp(&self) -> u64;
    /// Tells whether what changed after a change is still known.
    fn reaches(&self, change: u64) -> bool;
    /// Returns what changed after a change; none when it is so old that everything must be told.
    fn since(&self, change: u64) -> Option<Vec<Record>>;
    /// Returns all of them.
    fn all(&self) -> Vec<Record>;
}

impl Records for Registry {
    fn stamp(&self) -> u64 {
        Self::stamp(self)
    }

    fn reaches(&self, change: u64) -> bool {
        Self::reaches(self, change)
    }

    fn since(&self, change: u64) -> Option<Vec<Record>> {
        Self::since(self, change)
    }

    fn all(&self) -> Vec<Record> {
        self.records().cloned().collect()
    }
}

/// Holds what is told to other instances.
pub struct Source<'a> {
    /// Who tells.
    pub from: SocketAddr,
    /// The leader.
    pub leader: SocketAddr,
    /// How long ago the leader was heard.
    pub heard: Duration,
    /// The leader's term.
    pub term: u64,
    /// The upstreams.
    pub records: &'a dyn Records,
    /// The route table.
    pub sheet: Option<&'a Arc<Sheet>>,
    /// The requests that are suspected or held back.
    pub blocklist: &'a Arc<Blocklist>,
    /// Which versions of services get requests.
    pub plans: &'a Arc<Plans>,
    /// The limits that upstreams name.
    pub limits: &'a Arc<Limits>,
    /// By which changes these three are so.
    pub changes: Changes,
    /// Whether somebody waits for the word of all instances that they have the changes.
    pub urgent: bool,
    /// The agreed time of day, in Unix milliseconds.
    pub unix: u64,
}

/// Says by which change something that is told whole was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The requests that are suspected or held back.
    pub blocklist: u64,
    /// Which versions of services get requests.
    pub plans: u64,
    /// The limits that upstreams name.
    pub limits: u64,
}

/// Says what an instance lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lack {
    /// The change up to which it has the upstreams; none if it needs all of them.
    pub(super) base: Option<Stamp>,
    /// Whether it needs the route table.
    pub(super) sheet: bool,
    /// Whether its word is waited for.
    pub(super) urgent: bool,
}

impl Source<'_> {
    /// Returns the revision of the route table.
    pub(super) fn revision(&self) -> u64 {
        self.sheet.map_or(0, |sheet| sheet.revision)
    }

    /// Returns the last change.
    pub(super) fn stamp(&self) -> Stamp {
        Stamp { term: self.term, change: self.records.stamp() }
    }

    /// Makes an update that tells nothing to an instance that has a change.
    pub(super) fn nothing(&self, seen: u64) -> Update {
        let stamp = Stamp { term: self.term, change: seen };
        Update {
            from: self.from,
            leader: self.leader,
            heard: self.heard,
            stamp,
            base: Some(stamp),
            records: Vec::new(),
            sheet: None,
            blocklist: None,
            plans: None,
            limits: None,
            round: None,
            unix: self.unix,
            urgent: false,
        }
    }

    /// Makes the update for those that lack the same.
    pub(super) fn update(&self, lack: &Lack) -> Update {
        let base = lack.base.map(|base| base.change);
        let changed = base.and_then(|base| self.records.since(base));
        let lacks = |change: u64| base.is_none_or(|base| base < change);
        Update {
            stamp: self.stamp(),
            base: lack.base,
            records: changed.unwrap_or_else(|| self.records.all()),
            sheet: self.sheet.filter(|_| lack.sheet).cloned(),
            blocklist: lacks(self.changes.blocklist).then(|| self.blocklist.clone()),
            plans: lacks(self.changes.plans).then(|| self.plans.clone()),
            limits: lacks(self.changes.limits).then(|| self.limits.clone()),
            urgent: lack.urgent,
            ..self.nothing(0)
        }
    }
}
