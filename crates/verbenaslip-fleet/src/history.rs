//! By which change an instance was told of each upstream.
//!
//! A core that begins to lead can so tell every other instance just what that lacks. Told the whole list, 300
//! entries with 3,000 upstreams would take forty megabytes at a moment when callers wait for the new leader.

use std::collections::BTreeMap;

use verbenaslip_base::name::Upstream;

use crate::upstream::Record;

/// The most upstreams that are remembered which have gone; beyond that instances that lack them are told everything.
const MAX_REMOVED: usize = 4_096;

/// Remembers changes since the last whole list.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// The change up to which everything was told at once, or is forgotten.
    floor: u64,
    /// The changes of upstreams that have changed since.
    changes: BTreeMap<Upstream, u64>,
    /// Upstreams that have gone since, and by which change.
    removed: BTreeMap<Upstream, (u64, Record)>,
}

impl History {
    /// Starts from a whole list.
    pub(crate) fn new(change: u64) -> Self {
        Self { floor: change, ..Self::default() }
    }

    /// Returns the change since which all others are known.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the change by which an upstream was told, or a later one.
    pub(crate) fn change(&self, upstream: &Upstream) -> u64 {
        self.changes.get(upstream).copied().unwrap_or(self.floor)
    }

    /// Goes through the upstreams that have gone, with their changes.
    pub(crate) fn removed(&self) -> impl Iterator<Item = &(u64, Record)> {
        self.removed.values()
    }

    /// Notes that an upstream was told of.
    pub(crate) fn record_change(&mut self, upstream: &Upstream, change: u64) {
        self.removed.remove(upstream);
        self.changes.insert(upstream.clone(), change);
    }

    /// Notes that an upstream has gone; `record` says how.
    pub(crate) fn record_removal(&mut self, change: u64, record: Record) {
        let upstream = record.announcement.run.upstream.clone();
        self.changes.remove(&upstream);
        self.removed.insert(upstream, (change, record));
        if self.removed.len() > MAX_REMOVED {
            self.floor = self.floor.max(change);
            self.removed.clear();
        }
    }
}
