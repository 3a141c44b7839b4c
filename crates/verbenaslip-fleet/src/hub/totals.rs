//! How many entries there are.

use std::time::Duration;

/// How long entries that are silent are counted: they may be cut off and still serve.
const SILENT_ENTRY_RETENTION: Duration = Duration::from_secs(30);

/// Counts the entries that are heard, and those that were heard lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EntryTotals {
    reachable: usize,
    /// The most that were heard at once lately. One that reports to another core than before counts once.
    peak: usize,
    /// When there were so many.
    peak_at: Duration,
}

impl EntryTotals {
    /// Takes how many are heard, and how many are expected beside them.
    pub(super) fn update(&mut self, now: Duration, reachable: usize, expected: usize) {
        self.reachable = reachable;
        let entries = reachable.max(expected);
        if entries >= self.peak || now.saturating_sub(self.peak_at) > SILENT_ENTRY_RETENTION {
            (self.peak, self.peak_at) = (entries, now);
        }
    }

    /// Returns how many serve or may serve.
    pub(super) fn total(&self) -> usize {
        self.peak.max(1)
    }

    /// Returns how many of them are not heard.
    pub(super) fn silent(&self) -> usize {
        self.peak - self.reachable.min(self.peak)
    }
}
