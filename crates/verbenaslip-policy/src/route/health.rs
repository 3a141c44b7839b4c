//! Whether an upstream works, as this instance has seen it.

use std::time::Duration;

use verbenaslip_base::data;

/// So many failures in a row make an upstream look down.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// How long it is left alone first.
const FIRST_COOLDOWN: Duration = Duration::from_secs(1);
/// How long it is left alone at most.
const MAX_COOLDOWN: Duration = Duration::from_secs(30);

/// Follows an upstream's failures and its way back.
#[data(copy, default)]
pub struct Health {
    consecutive_failures: u32,
    cooldown_end: Option<Duration>,
    probing: bool,
}

impl Health {
    /// Notes a run or a first token that went well.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a run that failed through the upstream.
    pub fn record_failure(&mut self, now: Duration) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.probing = false;
        if self.consecutive_failures < FAILURES_UNTIL_DOWN {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURES_UNTIL_DOWN).min(8);
        let cooldown = FIRST_COOLDOWN.saturating_mul(1 << doublings).min(MAX_COOLDOWN);
        self.cooldown_end = Some(now.saturating_add(cooldown));
    }

    /// Notes that a run was sent; after a rest it is the probe.
    pub fn record_sent(&mut self) {
        self.probing = self.cooldown_end.is_some();
    }

    /// Returns whether it looks down from here.
    pub fn is_down(&self) -> bool {
        self.cooldown_end.is_some()
    }

    /// Returns whether it may get work: it looks up, or its rest is over and one run may probe it.
    pub fn accepts_work(&self, now: Duration) -> bool {
        match self.cooldown_end {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }
}
