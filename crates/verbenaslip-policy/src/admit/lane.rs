//! Holds the queued requests of one row.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::attempt::Request;

use crate::admit::QueuedRequest;
use crate::row::RowParams;

/// Sorts the requests of a lane by deadline, then by arrival number.
type Position = (Duration, u64);

/// Holds the queued requests of one row by deadline, and the service that the row has received.
#[derive(Debug)]
pub(crate) struct Lane {
    /// The row's parameters as of the last offered request.
    pub(crate) params: RowParams,
    /// Slot seconds received, divided by the row's weight. The lane with the lowest value goes
    /// next.
    pub(crate) weighted_service: f64,
    /// Slot seconds of all queued requests.
    pub(crate) queued_work: f64,
    entries: BTreeMap<Position, LaneEntry>,
    positions: BTreeMap<Request, Position>,
}

/// Holds a queued request and its expected cost.
#[derive(Debug)]
pub(crate) struct LaneEntry {
    /// The queued request.
    pub(crate) queued: QueuedRequest,
    /// Slot seconds that the request was expected to take when it was offered.
    pub(crate) slot_seconds: f64,
    /// Whether the request may be dispatched.
    pub(crate) ready: bool,
}

impl Lane {
    /// Creates an empty lane that counts as having received the given service.
    pub(crate) fn new(params: RowParams, weighted_service: f64) -> Self {
        Self {
            params,
            weighted_service,
            queued_work: 0.0,
            entries: BTreeMap::new(),
            positions: BTreeMap::new(),
        }
    }

    /// Adds a request. A request with the same identity is replaced.
    pub(crate) fn add(&mut self, arrival: u64, entry: LaneEntry) {
        let request = entry.queued.head.request;
        self.remove(request);
        let position = (entry.queued.head.deadline, arrival);
        self.queued_work += entry.slot_seconds;
        self.positions.insert(request, position);
        self.entries.insert(position, entry);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, request: Request) -> Option<LaneEntry> {
        let position = self.positions.remove(&request)?;
        let entry = self.entries.remove(&position)?;
        self.queued_work = if self.entries.is_empty() {
            0.0
        } else {
            (self.queued_work - entry.slot_seconds).max(0.0)
        };
        Some(entry)
    }

    /// Marks a request as ready for dispatch and returns whether this lane holds it.
    pub(crate) fn mark_ready(&mut self, request: Request) -> bool {
        let Some(position) = self.positions.get(&request) else { return false };
        let Some(entry) = self.entries.get_mut(position) else { return false };
        entry.ready = true;
        true
    }

    /// Returns the ready request with the earliest deadline.
    pub(crate) fn first_ready(&self) -> Option<&LaneEntry> {
        self.entries.values().find(|entry| entry.ready)
    }

    /// Returns all queued requests in the order of their deadlines.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &LaneEntry> {
        self.entries.values()
    }

    /// Returns the slot seconds of the requests that are due at or before `deadline`.
    pub(crate) fn work_due_before(&self, deadline: Duration) -> f64 {
        self.entries.range(..(deadline, u64::MAX)).map(|(_, entry)| entry.slot_seconds).sum()
    }

    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
