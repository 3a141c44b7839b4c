//! Counts of requests that started to run, by team and by window of the agreed time of day.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Team;

use crate::delta_map::DeltaMap;

/// Number of windows that an entry keeps and reports repeatedly, so that a new leader learns of
/// windows that its predecessor had not closed.
const MAX_ENTRY_WINDOWS: usize = 4;

/// Number of windows that a core keeps: more than a report may still be due for.
const MAX_CORE_WINDOWS: usize = 12;

/// Holds the number of requests of a team that started in one window.
#[data]
pub struct Count {
    /// The number of the window.
    pub window: u64,
    /// The team.
    pub team: Team,
    /// The number of requests.
    pub requests: u64,
}

/// Holds the counts of one entry.
#[data]
pub struct EntryCounts {
    /// The run of the entry.
    pub entry: EntryRun,
    /// The counts of its requests.
    pub counts: Vec<Count>,
}

/// Counts requests at one entry.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, BTreeMap<Team, u64>>,
}

impl UsageCounter {
    /// Counts a request that started to run.
    pub fn count(&mut self, window: u64, team: &Team) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(team) {
            Some(count) => *count += 1,
            None => {
                counts.insert(team.clone(), 1);
            }
        }
        while self.windows.len() > MAX_ENTRY_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the counts of the last windows.
    pub fn counts(&self) -> Vec<Count> {
        let windows = self.windows.iter();
        let counts = windows.flat_map(|(window, teams)| {
            teams.iter().map(|(team, requests)| Count {
                window: *window,
                team: team.clone(),
                requests: *requests,
            })
        });
        counts.collect()
    }
}

/// Identifies a count by its window, entry run and team.
type Key = (u64, EntryRun, Team);

/// Collects the counts of entries, at the leader and at the cores.
#[derive(Debug, Default)]
pub struct Collector {
    counts: DeltaMap<Key, u64>,
    windows: BTreeSet<u64>,
}

/// Identifies one run of an entry; a restarted entry counts from zero.
#[data(copy, ord)]
pub struct EntryRun {
    /// The address of the entry.
    pub address: SocketAddr,
    /// The incarnation of the entry.
    pub incarnation: u64,
}

impl Collector {
    /// Records an entry's counts, which are passed on with the report of this number.
    ///
    /// Counts that arrive through another core may be older. The counts of one run only rise, so
    /// the highest one is kept.
    pub fn record(&mut self, number: u64, entry: EntryRun, counts: Vec<Count>) {
        for Count { window, team, requests } in counts {
            let key = (window, entry, team);
            if self.counts.get(&key).is_none_or(|known| *known < requests) {
                self.counts.insert(number, key, requests);
            }
            self.add_window(window);
        }
    }

    /// Returns the counts that changed after the report with this number, by entry.
    pub fn since(&self, number: u64) -> Vec<EntryCounts> {
        let mut by_entry: BTreeMap<EntryRun, Vec<Count>> = BTreeMap::new();
        for ((window, entry, team), requests) in self.counts.changed_since(number) {
            let count = Count { window: *window, team: team.clone(), requests: *requests };
            by_entry.entry(*entry).or_default().push(count);
        }
        by_entry.into_iter().map(|(entry, counts)| EntryCounts { entry, counts }).collect()
    }

    /// Returns the number of requests by team that started in a window, over all entries.
    pub fn totals(&self, window: u64) -> BTreeMap<Team, u64> {
        let mut sum = BTreeMap::new();
        for ((at, _, team), requests) in self.counts.iter() {
            if *at == window {
                *sum.entry(team.clone()).or_default() += requests;
            }
        }
        sum
    }

    /// Adds a window, and removes the oldest one if there are too many.
    fn add_window(&mut self, window: u64) {
        if !self.windows.insert(window) || self.windows.len() <= MAX_CORE_WINDOWS {
            return;
        }
        if let Some(dropped) = self.windows.pop_first() {
            self.counts.retain(|(window, ..)| *window > dropped);
        }
    }
}

/// Returns the number of the window that contains a time of day, in Unix milliseconds.
pub fn window_at(unix: u64, length: Duration) -> u64 {
    unix / millis(length)
}

/// Returns the end of a window in Unix milliseconds.
pub fn window_end(window: u64, length: Duration) -> u64 {
    window.saturating_add(1).saturating_mul(millis(length))
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}
