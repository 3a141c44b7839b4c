//! Bounds how often an event of one number is written.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The time over which events of one number are counted.
pub const WINDOW: Duration = Duration::from_secs(1);
/// The most events of one number written in that time.
pub const MOST: u64 = 50;

/// Counts events by number.
///
/// Under an hourly burst each refused request is an event; written one by one they would fill the
/// disk that the replicated log also needs, which shows as V3014 at the worst moment.
#[derive(Debug, Default)]
pub struct Throttle {
    windows: BTreeMap<u16, Window>,
}

/// Counts the events of one number since a moment.
#[derive(Debug)]
struct Window {
    since: Instant,
    count: u64,
    total: u64,
}

/// Says what to do with one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Write it.
    Write,
    /// Leave it out.
    Drop,
    /// Write first how many were left out, then the event.
    WriteAfter {
        /// The events left out.
        count: u64,
    },
}

impl Throttle {
    /// Starts with nothing counted.
    pub const fn new() -> Self {
        Self { windows: BTreeMap::new() }
    }

    /// Counts one event and decides whether it is written.
    pub fn admit(&mut self, number: u16, now: Instant) -> Verdict {
        let window =
            self.windows.entry(number).or_insert(Window { since: now, count: 0, total: 0 });
        window.total += 1;
        let left_out = window.count.saturating_sub(MOST);
        if now.saturating_duration_since(window.since) >= WINDOW {
            (window.since, window.count) = (now, 1);
            return if left_out > 0 {
                Verdict::WriteAfter { count: left_out }
            } else {
                Verdict::Write
            };
        }
        window.count += 1;
        if window.count > MOST { Verdict::Drop } else { Verdict::Write }
    }

    /// Returns all events counted, by number.
    pub(crate) fn totals(&self) -> Vec<(u16, u64)> {
        self.windows.iter().map(|(number, window)| (*number, window.total)).collect()
    }
}
