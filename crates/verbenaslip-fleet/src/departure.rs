//! The departures of upstream runs that every instance remembers.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

use crate::upstream::{Run, Status};

/// How long a departure is remembered, so that a delayed announcement of the same run is recognized
/// as stale. Announcements are delayed for as long as a network partition lasts and the sender's
/// system retransmits them. If a third of 7,800 upstreams are reclaimed within this time, their
/// departures take a quarter of a megabyte.
pub const RETENTION: Duration = Duration::from_secs(300);

/// Says that a run is leaving or gone.
#[data]
pub struct Departure {
    /// The run.
    pub run: Run,
    /// Whether the run is gone, or only accepts no new requests.
    pub status: Status,
}

/// Remembers the last run of each upstream that is leaving or gone.
///
/// An upstream has one run at a time, so a departure also covers all earlier runs. Nothing that
/// arrives later undoes a departure: announcements may be delayed, duplicated and reordered, and a
/// new leader may never have received the departure itself.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    departures: BTreeMap<Upstream, LastDeparture>,
}

/// Holds the last departure of an upstream, and when it was recorded.
#[derive(Clone, Copy, Debug)]
struct LastDeparture {
    incarnation: u64,
    status: Status,
    recorded_at: Duration,
}

impl Departures {
    /// Records a departure; returns whether it adds to what was known.
    pub fn record(&mut self, now: Duration, run: &Run, status: Status) -> bool {
        let known = self.status(run);
        if known.is_some_and(|known| known >= status) {
            return false;
        }
        let last = LastDeparture { incarnation: run.incarnation, status, recorded_at: now };
        self.departures.insert(run.upstream.clone(), last);
        true
    }

    /// Returns the status of a run that is leaving or gone; none for any other run.
    pub fn status(&self, run: &Run) -> Option<Status> {
        let last = self.departures.get(&run.upstream)?;
        match run.incarnation.cmp(&last.incarnation) {
            Ordering::Less => Some(Status::Gone),
            Ordering::Equal => Some(last.status),
            Ordering::Greater => None,
        }
    }

    /// Returns the time since a run was last heard to be leaving or gone.
    pub fn age(&self, now: Duration, run: &Run) -> Option<Duration> {
        let last = self.departures.get(&run.upstream)?;
        (run.incarnation <= last.incarnation).then(|| now.saturating_sub(last.recorded_at))
    }

    /// Returns the number of remembered departures.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Returns whether no departure is remembered.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Records all departures that another instance remembers.
    pub fn merge(&mut self, now: Duration, other: &Self) {
        for (upstream, last) in &other.departures {
            let run = Run { upstream: upstream.clone(), incarnation: last.incarnation };
            self.record(now, &run, last.status);
        }
    }

    /// Removes departures so old that no announcement of their runs can still arrive.
    pub fn remove_expired(&mut self, now: Duration) {
        self.departures.retain(|_, last| now.saturating_sub(last.recorded_at) <= RETENTION);
    }
}
