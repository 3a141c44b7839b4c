//! Requests that began to run, by team and window of the agreed time of day.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Team;

/// Windows that an entry keeps and tells again, so that a leader elected a moment ago hears of the
/// windows that its predecessor had not closed.
const KEPT: usize = 4;

/// Windows that the leader keeps; more than any report may still be due for.
const HELD: usize = 12;

/// Counts the requests of a team that began in a window.
#[data]
pub struct Count {
    /// The window's number.
    pub window: u64,
    /// The team.
    pub team: Team,
    /// How many.
    pub requests: u64,
}

/// Counts at one entry.
#[derive(Debug, Default)]
pub struct Tally {
    windows: BTreeMap<u64, BTreeMap<Team, u64>>,
}

impl Tally {
    /// Counts a request that began to run.
    pub fn count(&mut self, window: u64, team: &Team) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(team) {
            Some(count) => *count += 1,
            None => {
                counts.insert(team.clone(), 1);
            }
        }
        while self.windows.len() > KEPT {
            self.windows.pop_first();
        }
    }

    /// Lists the counts of the last windows.
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

/// Holds the counts of a window by entry and team.
type Origins = BTreeMap<Origin, BTreeMap<Team, u64>>;

/// Collects the counts of all entries at the leader.
#[derive(Debug, Default)]
pub struct Collector {
    windows: BTreeMap<u64, Origins>,
}

/// Names one life of an entry; a restarted one counts from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
}

impl Collector {
    /// Takes an entry's counts; they replace what it told of the same windows before.
    pub fn take(&mut self, origin: Origin, counts: Vec<Count>) {
        for count in counts {
            let origins = self.windows.entry(count.window).or_default();
            origins.entry(origin).or_default().insert(count.team, count.requests);
        }
        while self.windows.len() > HELD {
            self.windows.pop_first();
        }
    }

    /// Returns the sum of all entries in a window.
    pub fn sum(&self, window: u64) -> BTreeMap<Team, u64> {
        let mut sum = BTreeMap::new();
        let origins = self.windows.get(&window).into_iter().flat_map(BTreeMap::values);
        for (team, requests) in origins.flatten() {
            *sum.entry(team.clone()).or_default() += requests;
        }
        sum
    }
}

/// Returns the number of the window that holds a time of day, in Unix milliseconds.
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
