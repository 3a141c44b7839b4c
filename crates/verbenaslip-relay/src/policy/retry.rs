//! The budget for sending requests to another upstream.
//!
//! When upstreams fail, every request that is tried again adds load to those that are left. The
//! budget lets a service get a bounded part more than its callers ask for, over all entries: each
//! keeps to an equal part of it.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Bounds the arrivals at a service beyond the first of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Further arrivals for each request, in the long run.
    pub ratio: f64,
    /// Further arrivals at once, over all entries.
    pub allowance: f64,
}

/// The part of the bounds that is used; the rest is for what may still be on its way while entries
/// come and go.
const USED_FRACTION: f64 = 0.6;

/// Keeps one budget for each service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: Bounds,
    balances: BTreeMap<Arc<str>, f64>,
}

impl RetryBudget {
    /// Starts with a part of the allowance, since an entry may have been restarted after it had
    /// spent it all.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, balances: BTreeMap::new() }
    }

    /// Counts a request that callers made.
    pub fn record_request(&mut self, service: &Arc<str>, entries: u32) {
        let capacity = self.capacity(entries);
        let ratio = self.bounds.ratio * USED_FRACTION;
        let balance = self.balances.entry(service.clone()).or_insert(capacity / 2.0);
        *balance = (*balance + ratio).min(capacity);
    }

    /// Takes one further arrival, if the budget allows it.
    pub fn try_spend(&mut self, service: &Arc<str>, entries: u32) -> bool {
        let capacity = self.capacity(entries);
        let balance = self.balances.entry(service.clone()).or_insert(capacity / 2.0);
        let allowed = *balance >= 1.0;
        if allowed {
            *balance -= 1.0;
        }
        allowed
    }

    /// Returns the most that may be saved up at this entry; at least one, or nothing could ever be
    /// tried again where entries are many.
    fn capacity(&self, entries: u32) -> f64 {
        (self.bounds.allowance * USED_FRACTION / f64::from(entries.max(1))).max(1.0)
    }
}
