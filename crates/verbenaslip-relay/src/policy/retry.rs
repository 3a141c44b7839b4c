//! The budget for sending requests to another upstream.
//!
//! When upstreams fail, each retry adds load to the remaining ones. The budget limits the retries
//! for a service to a bounded share of its requests over all entries; each entry keeps to an equal
//! part of it.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Limits the deliveries to a service beyond the first of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Additional deliveries per request in the long run.
    pub ratio: f64,
    /// Additional deliveries at once, over all entries.
    pub allowance: f64,
}

/// Fraction of the limits that is used; the rest covers retries still under way while entries join
/// and leave.
const USED_FRACTION: f64 = 0.6;

/// Fraction of the budget that requests may use to leave upstreams that are only slow. The rest
/// stays for requests whose upstream has failed and that have no other way to an answer.
const EARLY_FRACTION: f64 = 1.0 / 3.0;

/// Holds one budget for each service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: Bounds,
    balances: BTreeMap<Arc<str>, Balance>,
}

/// Holds what is left of the budget of one service.
#[derive(Clone, Copy, Debug)]
struct Balance {
    /// Retries for any reason.
    retries: f64,
    /// How many of them may be used for early failover.
    early: f64,
}

impl RetryBudget {
    /// Creates the budgets; each starts with a part of the allowance, since an entry may have
    /// restarted after it had spent all of it.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, balances: BTreeMap::new() }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, service: &Arc<str>, entries: u32) {
        let capacity = self.capacity(entries);
        let ratio = self.bounds.ratio * USED_FRACTION;
        let balance = self.balance(service, capacity);
        balance.retries = (balance.retries + ratio).min(capacity);
        balance.early = (balance.early + ratio * EARLY_FRACTION).min(early_capacity(capacity));
    }

    /// Spends one retry; returns whether the budget allows it.
    pub fn try_spend(&mut self, service: &Arc<str>, entries: u32) -> bool {
        let capacity = self.capacity(entries);
        let balance = self.balance(service, capacity);
        let allowed = balance.retries >= 1.0;
        if allowed {
            balance.retries -= 1.0;
        }
        allowed
    }

    /// Spends one retry on leaving a slow upstream early; returns whether the budget and its part
    /// for early failover allow it.
    pub fn try_spend_early(&mut self, service: &Arc<str>, entries: u32) -> bool {
        let capacity = self.capacity(entries);
        let balance = self.balance(service, capacity);
        let allowed = balance.retries >= 1.0 && balance.early >= 1.0;
        if allowed {
            balance.retries -= 1.0;
            balance.early -= 1.0;
        }
        allowed
    }

    fn balance(&mut self, service: &Arc<str>, capacity: f64) -> &mut Balance {
        let initial = || Balance { retries: capacity / 2.0, early: early_capacity(capacity) / 2.0 };
        self.balances.entry(service.clone()).or_insert_with(initial)
    }

    /// Returns the most retries that this entry may save up; at least one, since otherwise nothing
    /// could ever be retried with many entries.
    fn capacity(&self, entries: u32) -> f64 {
        (self.bounds.allowance * USED_FRACTION / f64::from(entries.max(1))).max(1.0)
    }
}

/// Returns the most early failovers that an entry may save up, given the capacity of its budget; at
/// least one, for the same reason. With a capacity below three, the fraction then holds for the
/// long run only: the allowance for early failover still grows at a third of the rate.
fn early_capacity(capacity: f64) -> f64 {
    (capacity * EARLY_FRACTION).max(1.0)
}
