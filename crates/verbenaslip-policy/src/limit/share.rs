//! Which part of the shared rest an instance holds.

use std::time::Duration;

/// The part of each limit that is split evenly between all known instances.
pub const BASE_FRACTION: f64 = 0.25;
/// How long a wanted part is announced before it is used.
pub const ANNOUNCE_DELAY: Duration = Duration::from_millis(2500);

/// The smallest change of a part that is worth a move, relative to it.
const MIN_RELATIVE_CHANGE: f64 = 0.125;

/// Holds one row's part at this instance: what is in use and what is wanted next.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Share {
    /// The part in use.
    pub(crate) in_use: f64,
    /// The part announced; at least the part in use.
    pub(crate) announced: f64,
    announced_at: Duration,
}

impl Share {
    /// Moves towards what demand gives it.
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
            // What runs now can't be taken back, so it stays announced until it has ended.
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

    /// Falls back to none, as when the others can't be heard.
    pub(crate) fn reduce_to(&mut self, minimum: f64) {
        self.in_use = self.in_use.min(minimum);
        self.announced = self.in_use;
    }

    /// Takes an announced part into use once all others must have heard of it.
    fn activate(&mut self, now: Duration, available: f64) {
        if now.saturating_sub(self.announced_at) < ANNOUNCE_DELAY {
            return;
        }
        // Two that announced at the same time see each other here, and both yield to what is left.
        self.in_use = self.announced.min(available).max(self.in_use);
        self.announced = self.in_use;
    }
}

/// Says where a part should move, and what bounds the move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareGoal {
    /// The part that demand gives to this instance.
    pub(crate) target: f64,
    /// What may be held in all: 1, and a little for the rounding of few whole slots.
    pub(crate) total: f64,
    /// What all others hold.
    pub(crate) held_by_others: f64,
    /// What all others lack beside their own targets.
    pub(crate) others_shortfall: f64,
    /// What can't be given up, because it runs.
    pub(crate) minimum: f64,
}

impl ShareGoal {
    /// Returns how much to announce above the part in use, out of what is left.
    ///
    /// All who lack something see the same rest. If each announced it whole, each would find the
    /// others' announcements when it looks again, and none would get anything.
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
