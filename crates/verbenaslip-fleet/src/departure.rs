//! Which runs of upstreams have said that they go, as every instance remembers it.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

use crate::upstream::{Run, Status};

/// How long a departure is remembered, so that a late announcement of the same run is known for what
/// it is. Announcements are held up for as long as a cut lasts and their sender's system tries to send
/// them. Where a third of 7,800 upstreams are reclaimed within that time it takes a quarter of a megabyte.
pub const RETENTION: Duration = Duration::from_secs(300);

/// Holds the word of a run that it goes.
#[data]
pub struct Departure {
    /// The run.
    pub run: Run,
    /// Whether it has gone, or only takes no new work.
    pub status: Status,
}

/// Remembers the last run of each upstream that goes or has gone.
///
/// An upstream has one run at a time, so a departure speaks for all earlier runs as well. Nothing that
/// is heard later undoes it: announcements are held up, doubled and overtaken on the way, and a leader
/// may have been elected that never heard the departure itself.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    departures: BTreeMap<Upstream, LastDeparture>,
}

#[derive(Clone, Copy, Debug)]
struct LastDeparture {
    incarnation: u64,
    status: Status,
    recorded_at: Duration,
}

impl Departures {
    /// Takes a departure; returns whether it says more than was known.
    pub fn record(&mut self, now: Duration, run: &Run, status: Status) -> bool {
        let known = self.status(run);
        if known.is_some_and(|known| known >= status) {
            return false;
        }
        let last = LastDeparture { incarnation: run.incarnation, status, recorded_at: now };
        self.departures.insert(run.upstream.clone(), last);
        true
    }

    /// Returns how a run stands that goes or has gone; none for any other run.
    pub fn status(&self, run: &Run) -> Option<Status> {
        let last = self.departures.get(&run.upstream)?;
        match run.incarnation.cmp(&last.incarnation) {
            Ordering::Less => Some(Status::Gone),
            Ordering::Equal => Some(last.status),
            Ordering::Greater => None,
        }
    }

    /// Returns how long ago a run was last heard to go.
    pub fn age(&self, now: Duration, run: &Run) -> Option<Duration> {
        let last = self.departures.get(&run.upstream)?;
        (run.incarnation <= last.incarnation).then(|| now.saturating_sub(last.recorded_at))
    }

    /// Returns how many are remembered.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Tells whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Takes all that another one remembers.
    pub fn merge(&mut self, now: Duration, other: &Self) {
        for (upstream, last) in &other.departures {
            let run = Run { upstream: upstream.clone(), incarnation: last.incarnation };
            self.record(now, &run, last.status);
        }
    }

    /// Forgets what is so old that no announcement of it can still be on its way.
    pub fn remove_expired(&mut self, now: Duration) {
        self.departures.retain(|_, last| now.saturating_sub(last.recorded_at) <= RETENTION);
    }
}
