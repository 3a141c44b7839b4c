//! When something must be looked at again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;

use crate::caller::Ticket;

/// Names what is looked at.
#[data(copy, ord)]
pub(crate) enum Timer {
    /// An owned request.
    Owned(Request),
    /// A copy held for another owner.
    Copied(Request),
    /// A reserved key.
    Reserved(Request),
    /// A caller whose relay was lost.
    Parked(Ticket),
    /// The end of this instance's own stop.
    Stop,
}

/// Holds at most one moment for each thing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    due_times: BTreeMap<Timer, Duration>,
    by_time: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Sets, moves or clears the moment of a thing.
    pub(crate) fn set(&mut self, timer: Timer, at: Option<Duration>) {
        if let Some(old) = self.due_times.remove(&timer) {
            self.by_time.remove(&(old, timer));
        }
        if let Some(at) = at {
            self.due_times.insert(timer, at);
            self.by_time.insert((at, timer));
        }
    }

    /// Takes all whose moment has come, the oldest first.
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

    /// Returns the next moment.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.by_time.first().map(|(at, _)| *at)
    }
}
