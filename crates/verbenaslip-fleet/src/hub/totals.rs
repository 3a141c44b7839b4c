//! How many entries there are.

use std::time::Duration;

/// How long entries that are silent are counted: they may be cut off and still serve.
const MEMORY: Duration = Duration::from_secs(30);

/// Counts the entries that are heard, and those that were heard lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    live: usize,
    /// The most that were heard at once lately. One that reports to another core than before counts once.
    most: usize,
    /// When there were so many.
    at: Duration,
}

impl Totals {
    /// Takes how many are heard, and how many are expected beside them.
    pub(super) fn take(&mut self, now: Duration, live: usize, expected: usize) {
        self.live = live;
        let there = live.max(expected);
        if there >= self.most || now.saturating_sub(self.at) > MEMORY {
            (self.most, self.at) = (there, now);
        }
    }

    /// Returns how many serve or may serve.
    pub(super) fn all(&self) -> usize {
        self.most.max(1)
    }

    /// Returns how many of them are not heard.
    pub(super) fn silent(&self) -> usize {
        self.most - self.live.min(self.most)
    }
}
