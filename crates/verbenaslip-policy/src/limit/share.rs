//! Tracks which share of a row's limits an instance holds by demand.

use std::time::Duration;

/// The fraction of each limit that is split evenly between all known instances.
pub const BASE_FRACTION: f64 = 0.25;
/// How long a wanted share is announced before it is used.
pub const ANNOUNCE_DELAY: Duration = Duration::from_millis(2500);

/// The smallest relative change of a share that is applied.
const MIN_RELATIVE_CHANGE: f64 = 0.125;

/// Holds this instance's share of one row: what is in use and what is announced.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Share {
    /// The share in use.
    pub(crate) in_use: f64,
    /// The announced share, which is never less than the share in use.
    pub(crate) announced: f64,
    announced_at: Duration,
}

impl Share {
    /// Moves the share towards its goal.
    pub(crate) fn update(&mut self, now: Duration, goal: &ShareGoal) {
        let available = (goal.total - goal.held_by_others).max(0.0);
        if self.announced > self.in_use {
            self.activate(now, available);
            return;
        }
        if (goal.target - self.in_use).abs() <= MIN_RELATIVE_CHANGE * self.in_use {
            return;
        }
        if goal.target < self.in_use {
            // Running requests cannot be stopped, so their share stays announced until they have
            // ended.
            self.in_use = goal.target.max(goal.minimum).min(self.in_use);
            self.announced = self.in_use;
            return;
        }
        let increase = goal.increase(self.in_use, (available - self.in_use).max(0.0));
        if increase > 0.0 {
            self.announced = self.in_use + increase;
            self.announced_at = now;
        }
    }

    /// Reduces the share to at most `minimum`, for example when the other instances cannot be
    /// heard.
    pub(crate) fn reduce_to(&mut self, minimum: f64) {
        self.in_use = self.in_use.min(minimum);
        self.announced = self.in_use;
    }

    /// Starts using an announced share once all other instances must have received the
    /// announcement.
    fn activate(&mut self, now: Duration, available: f64) {
        if now.saturating_sub(self.announced_at) < ANNOUNCE_DELAY {
            return;
        }
        // Two instances that announced at the same time see each other's announcements here, and
        // both are limited to the available share.
        self.in_use = self.announced.min(available).max(self.in_use);
        self.announced = self.in_use;
    }
}

/// Describes the share that an instance should reach and the bounds of the change.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareGoal {
    /// The share that this instance should have according to demand.
    pub(crate) target: f64,
    /// The maximum sum of all shares: 1, plus slack for rounding when there are few whole slots.
    pub(crate) total: f64,
    /// The sum of the shares of all other instances.
    pub(crate) held_by_others: f64,
    /// The sum of what all other instances are missing to reach their targets.
    pub(crate) others_shortfall: f64,
    /// The share that cannot be given up, because running requests use it.
    pub(crate) minimum: f64,
}

impl ShareGoal {
    /// Returns how much to announce in addition to the share in use, limited by the available
    /// share.
    ///
    /// All instances with a shortfall see the same available share. If each announced all of it,
    /// each would find the others' announcements at its next check, and none would get anything.
    fn increase(&self, in_use: f64, available: f64) -> f64 {
        let shortfall = self.target - in_use;
        let total_shortfall = shortfall + self.others_shortfall;
        if total_shortfall <= available {
            shortfall
        } else {
            available * shortfall / total_shortfall
        }
    }
}
