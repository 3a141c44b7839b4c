//! Whether an upstream works, as this instance has seen it.

use std::time::Duration;

use verbenaslip_base::data;

/// So many failures in a row make an upstream look down.
const FAILURES: u32 = 2;
/// How long it is left alone first.
const FIRST_REST: Duration = Duration::from_secs(1);
/// How long it is left alone at most.
const LONGEST_REST: Duration = Duration::from_secs(30);

/// Follows an upstream's failures and its way back.
#[data(copy, default)]
pub struct Health {
    failures: u32,
    until: Option<Duration>,
    probing: bool,
}

impl Health {
    /// Notes a run or a first token that went well.
    pub fn worked(&mut self) {
        *self = Self::default();
    }

    /// Notes a run that failed through the upstream.
    pub fn failed(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if self.failures < FAILURES {
            return;
        }
        let doublings = (self.failures - FAILURES).min(8);
        let rest = FIRST_REST.saturating_mul(1 << doublings).min(LONGEST_REST);
        self.until = Some(now.saturating_add(rest));
    }

    /// Notes that a run was sent; after a rest it is the probe.
    pub fn sent(&mut self) {
        self.probing = self.until.is_some();
    }

    /// Returns whether it looks down from here.
    pub fn down(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether it may get work: it looks up, or its rest is over and one run may probe it.
    pub fn may(&self, now: Duration) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }
}
