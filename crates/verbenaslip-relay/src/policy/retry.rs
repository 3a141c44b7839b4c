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

/// Holds one budget for each service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: Bounds,
    balances: BTreeMap<Arc<str>, f64>,
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
        let balance = self.balances.entry(service.clone()).or_insert(capacity / 2.0);
        *balance = (*balance + ratio).min(capacity);
    }

    /// Spends one retry; returns whether the budget allows it.
    pub fn try_spend(&mut self, service: &Arc<str>, entries: u32) -> bool {
        let capacity = self.capacity(entries);
        let balance = self.balances.entry(service.clone()).or_insert(capacity / 2.0);
        let allowed = *balance >= 1.0;
        if allowed {
            *balance -= 1.0;
        }
        allowed
    }

    /// Returns the most retries that this entry may save up; at least one, since otherwise nothing
    /// could ever be retried with many entries.
    fn capacity(&self, entries: u32) -> f64 {
        (self.bounds.allowance * USED_FRACTION / f64::from(entries.max(1))).max(1.0)
    }
}
