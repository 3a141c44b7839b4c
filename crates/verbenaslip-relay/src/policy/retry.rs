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
const USED: f64 = 0.6;

/// Keeps one budget for each service.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    left: BTreeMap<Arc<str>, f64>,
}

impl Budget {
    /// Starts with a part of the allowance, since an entry may have been restarted after it had
    /// spent it all.
    pub fn open(bounds: Bounds) -> Self {
        Self { bounds, left: BTreeMap::new() }
    }

    /// Counts a request that callers made.
    pub fn earn(&mut self, service: &Arc<str>, entries: u32) {
        let most = self.most(entries);
        let ratio = self.bounds.ratio * USED;
        let left = self.left.entry(service.clone()).or_insert(most / 2.0);
        *left = (*left + ratio).min(most);
    }

    /// Takes one further arrival, if the budget allows it.
    pub fn spend(&mut self, service: &Arc<str>, entries: u32) -> bool {
        let most = self.most(entries);
        let left = self.left.entry(service.clone()).or_insert(most / 2.0);
        let may = *left >= 1.0;
        if may {
            *left -= 1.0;
        }
        may
    }

    /// Returns the most that may be saved up at this entry; at least one, or nothing could ever be
    /// tried again where entries are many.
    fn most(&self, entries: u32) -> f64 {
        (self.bounds.allowance * USED / f64::from(entries.max(1))).max(1.0)
    }
}
