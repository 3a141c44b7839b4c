//! Timers of requests, copies, reservations and callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;

use crate::caller::Ticket;

/// Identifies a timer.
#[data(copy, ord)]
pub(crate) enum Timer {
    /// Timer of an owned request.
    Owned(Request),
    /// Timer of a copy stored for another owner.
    Copied(Request),
    /// Timer of a reserved key.
    Reserved(Request),
    /// Timer of a caller whose relay was lost.
    Parked(Ticket),
    /// Timer of this instance's own shutdown.
    Stop,
}

/// Set of timers, each with at most one due time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    /// Due time of each timer.
    due_times: BTreeMap<Timer, Duration>,
    /// Timers in order of their due times.
    by_time: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Sets, moves or clears a timer.
    pub(crate) fn set(&mut self, timer: Timer, at: Option<Duration>) {
        if let Some(old) = self.due_times.remove(&timer) {
            self.by_time.remove(&(old, timer));
        }
        if let Some(at) = at {
            self.due_times.insert(timer, at);
            self.by_time.insert((at, timer));
        }
    }

    /// Removes and returns all timers that are due, the earliest first.
    pub(crate) fn take_due(&mut self, now: Duration) -> Vec<Timer> {
        let mut due = Vec::new();
        while let Some(&(at, timer)) = self.by_time.first()
            && at <= now
        {
            self.set(timer, None);
            due.push(timer);
        }
        due
    }

    /// Returns the earliest due time.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.by_time.first().map(|(at, _)| *at)
    }
}
