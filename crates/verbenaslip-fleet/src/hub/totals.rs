//! Number of entries in the fleet.

use std::time::Duration;

/// How long silent entries are counted, since they may be cut off and still serving.
const SILENT_ENTRY_RETENTION: Duration = Duration::from_secs(30);

/// Counts the entries that are or recently were reachable.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EntryTotals {
    reachable: usize,
    /// Most entries that were recently reachable at once. An entry that moves to another core is
    /// counted once.
    peak: usize,
    /// When that number was reached.
    peak_at: Duration,
}

impl EntryTotals {
    /// Records the number of reachable entries; entries not heard yet are included through
    /// `expected`.
    pub(super) fn update(&mut self, now: Duration, reachable: usize, expected: usize) {
        self.reachable = reachable;
        let entries = reachable.max(expected);
        if entries >= self.peak || now.saturating_sub(self.peak_at) > SILENT_ENTRY_RETENTION {
            (self.peak, self.peak_at) = (entries, now);
        }
    }

    /// Returns how many entries serve or may serve, at least 1.
    pub(super) fn total(&self) -> usize {
        self.peak.max(1)
    }

    /// Returns how many of these entries are not reachable.
    pub(super) fn silent(&self) -> usize {
        self.peak - self.reachable.min(self.peak)
    }
}
