//! The waiting requests of one row.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::attempt::Request;

use crate::admit::QueuedRequest;
use crate::row::RowParams;

/// Orders the requests of a lane: by deadline, then by arrival.
type Position = (Duration, u64);

/// Holds one row's waiting requests by deadline, and how much service the row has had.
#[derive(Debug)]
pub(crate) struct Lane {
    /// The row's terms as of the last request offered.
    pub(crate) params: RowParams,
    /// Service received, divided by weight; the lane with the least goes next.
    pub(crate) weighted_service: f64,
    /// Slot seconds of all waiting requests.
    pub(crate) queued_work: f64,
    entries: BTreeMap<Position, LaneEntry>,
    positions: BTreeMap<Request, Position>,
}

/// Holds a waiting request with its cost.
#[derive(Debug)]
pub(crate) struct LaneEntry {
    /// The request.
    pub(crate) queued: QueuedRequest,
    /// Slot seconds that it was expected to take when it was offered.
    pub(crate) slot_seconds: f64,
    /// Whether it may be dispatched.
    pub(crate) ready: bool,
}

impl Lane {
    /// Opens an empty lane that has had as much service as those that are busy.
    pub(crate) fn new(params: RowParams, weighted_service: f64) -> Self {
        Self {
            params,
            weighted_service,
            queued_work: 0.0,
            entries: BTreeMap::new(),
            positions: BTreeMap::new(),
        }
    }

    /// Adds a request; a second one with the same identity replaces the first.
    pub(crate) fn add(&mut self, arrival: u64, entry: LaneEntry) {
        let request = entry.queued.head.request;
        self.remove(request);
        let position = (entry.queued.head.deadline, arrival);
        self.queued_work += entry.slot_seconds;
        self.positions.insert(request, position);
        self.entries.insert(position, entry);
    }

    /// Takes a request out.
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

    /// Allows a request to be dispatched; returns whether it waits here.
    pub(crate) fn mark_ready(&mut self, request: Request) -> bool {
        let Some(position) = self.positions.get(&request) else { return false };
        let Some(entry) = self.entries.get_mut(position) else { return false };
        entry.ready = true;
        true
    }

    /// Returns the request with the earliest deadline that may be dispatched.
    pub(crate) fn first_ready(&self) -> Option<&LaneEntry> {
        self.entries.values().find(|entry| entry.ready)
    }

    /// Returns all waiting requests by deadline.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &LaneEntry> {
        self.entries.values()
    }

    /// Returns the slot seconds of the requests that are due before a time.
    pub(crate) fn work_due_before(&self, deadline: Duration) -> f64 {
        self.entries.range(..(deadline, u64::MAX)).map(|(_, entry)| entry.slot_seconds).sum()
    }

    /// Returns how many wait.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
