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
    moments: BTreeMap<Timer, Duration>,
    order: BTreeSet<(Duration, Timer)>,
}

impl Timers {
    /// Sets, moves or clears the moment of a thing.
    pub(crate) fn set(&mut self, timer: Timer, at: Option<Duration>) {
        if let Some(old) = self.moments.remove(&timer) {
            self.order.remove(&(old, timer));
        }
        if let Some(at) = at {
            self.moments.insert(timer, at);
            self.order.insert((at, timer));
        }
    }

    /// Takes all whose moment has come, the oldest first.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<Timer> {
        let mut due = Vec::new();
        while let Some(&(at, timer)) = self.order.first()
            && at <= now
        {
            self.set(timer, None);
            due.push(timer);
        }
        due
    }

    /// Returns the next moment.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.order.first().map(|(at, _)| *at)
    }
}
