//! Change number with which an instance learned of each upstream.
//!
//! With it, a core that becomes the leader can send every other instance just the changes it lacks.
//! Full lists of 3,000 upstreams for 300 entries would take forty megabytes while callers wait for
//! the new leader.

use std::collections::BTreeMap;

use verbenaslip_base::name::Upstream;

use crate::upstream::Record;

/// Maximum number of remembered removed upstreams; above it, instances that lack the removals
/// receive the full list.
const MAX_REMOVED: usize = 4_096;

/// Records changes since the last full list.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Change of the last full list, or the last forgotten change if that is later.
    floor: u64,
    /// Last change of each upstream that has changed since.
    changes: BTreeMap<Upstream, u64>,
    /// Upstreams that were removed since, with the change that removed them.
    removed: BTreeMap<Upstream, (u64, Record)>,
}

impl History {
    /// Creates a history that starts from a full list.
    pub(crate) fn new(change: u64) -> Self {
        Self { floor: change, ..Self::default() }
    }

    /// Returns the change since which all later changes are known.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the last change of an upstream; not lower than its real one.
    pub(crate) fn change(&self, upstream: &Upstream) -> u64 {
        self.changes.get(upstream).copied().unwrap_or(self.floor)
    }

    /// Returns the removed upstreams with their changes.
    pub(crate) fn removed(&self) -> impl Iterator<Item = &(u64, Record)> {
        self.removed.values()
    }

    /// Records that an upstream changed.
    pub(crate) fn record_change(&mut self, upstream: &Upstream, change: u64) {
        self.removed.remove(upstream);
        self.changes.insert(upstream.clone(), change);
    }

    /// Records that an upstream was removed; `record` holds its last status.
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
