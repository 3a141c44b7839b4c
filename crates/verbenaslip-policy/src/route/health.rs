//! Tracks whether an upstream works, as seen by this instance.

use std::time::Duration;

use verbenaslip_base::data;

/// The number of consecutive failures after which an upstream counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// The first cooldown of an upstream that is down.
const FIRST_COOLDOWN: Duration = Duration::from_secs(1);
/// The longest cooldown of an upstream that is down.
const MAX_COOLDOWN: Duration = Duration::from_secs(30);

/// Tracks the failures and the recovery of an upstream.
#[data(copy, default)]
pub struct Health {
    consecutive_failures: u32,
    cooldown_end: Option<Duration>,
    probing: bool,
}

impl Health {
    /// Records a successful run or a first token.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a run that failed because of the upstream.
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

    /// Records that a run was sent. After a cooldown this run is the probe.
    pub fn record_sent(&mut self) {
        self.probing = self.cooldown_end.is_some();
    }

    /// Returns whether the upstream counts as down at this instance.
    pub fn is_down(&self) -> bool {
        self.cooldown_end.is_some()
    }

    /// Returns whether the upstream may get work: it is not down, or its cooldown is over and no
    /// probe is running.
    pub fn accepts_work(&self, now: Duration) -> bool {
        match self.cooldown_end {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }
}
