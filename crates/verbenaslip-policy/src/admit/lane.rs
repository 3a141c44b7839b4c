//! The waiting requests of one row.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::attempt::Request;

use crate::admit::Item;
use crate::row::Terms;

/// Orders the requests of a lane: by deadline, then by arrival.
type Order = (Duration, u64);

/// Holds one row's waiting requests by deadline, and how much service the row has had.
#[derive(Debug)]
pub(crate) struct Lane {
    /// The row's terms as of the last request offered.
    pub(crate) terms: Terms,
    /// Service received, divided by weight; the lane with the least goes next.
    pub(crate) served: f64,
    /// Slot seconds of all waiting requests.
    pub(crate) work: f64,
    waiting: BTreeMap<Order, Waiting>,
    orders: BTreeMap<Request, Order>,
}

/// Holds a waiting request with its cost.
#[derive(Debug)]
pub(crate) struct Waiting {
    /// The request.
    pub(crate) item: Item,
    /// Slot seconds that it was expected to take when it was offered.
    pub(crate) cost: f64,
    /// Whether it may be dispatched.
    pub(crate) ready: bool,
}

impl Lane {
    /// Opens an empty lane that has had as much service as those that are busy.
    pub(crate) fn new(terms: Terms, served: f64) -> Self {
        Self { terms, served, work: 0.0, waiting: BTreeMap::new(), orders: BTreeMap::new() }
    }

    /// Adds a request; a second one with the same identity replaces the first.
    pub(crate) fn add(&mut self, order: u64, waiting: Waiting) {
        let request = waiting.item.head.request;
        self.remove(request);
        let order = (waiting.item.head.deadline, order);
        self.work += waiting.cost;
        self.orders.insert(request, order);
        self.waiting.insert(order, waiting);
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, request: Request) -> Option<Waiting> {
        let order = self.orders.remove(&request)?;
        let waiting = self.waiting.remove(&order)?;
        self.work = if self.waiting.is_empty() { 0.0 } else { (self.work - waiting.cost).max(0.0) };
        Some(waiting)
    }

    /// Allows a request to be dispatched; returns whether it waits here.
    pub(crate) fn ready(&mut self, request: Request) -> bool {
        let Some(order) = self.orders.get(&request) else { return false };
        let Some(waiting) = self.waiting.get_mut(order) else { return false };
        waiting.ready = true;
        true
    }

    /// Returns the request with the earliest deadline that may be dispatched.
    pub(crate) fn first(&self) -> Option<&Waiting> {
        self.waiting.values().find(|waiting| waiting.ready)
    }

    /// Returns all waiting requests by deadline.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// Returns the slot seconds of the requests that are due before a time.
    pub(crate) fn work_before(&self, deadline: Duration) -> f64 {
        self.waiting.range(..(deadline, u64::MAX)).map(|(_, waiting)| waiting.cost).sum()
    }

    /// Returns how many wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
