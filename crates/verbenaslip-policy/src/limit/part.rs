//! Which part of the shared rest an instance holds.

use std::time::Duration;

/// The part of each limit that is split evenly between all known instances.
pub const FLOOR: f64 = 0.25;
/// How long a wanted part is announced before it is used.
pub const HOLD: Duration = Duration::from_millis(2500);

/// The smallest change of a part that is worth a move, relative to it.
const HYSTERESIS: f64 = 0.125;

/// Holds one row's part at this instance: what is in use and what is wanted next.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Part {
    /// The part in use.
    pub(crate) used: f64,
    /// The part announced; at least the part in use.
    pub(crate) announced: f64,
    since: Duration,
}

impl Part {
    /// Moves towards a target, with so much held by others and so little that can't be given up.
    pub(crate) fn step(&mut self, now: Duration, target: f64, others: f64, least: f64) {
        let left = (1.0 - others).max(0.0);
        if self.announced > self.used {
            self.settle(now, left);
            return;
        }
        let near = (target - self.used).abs() <= HYSTERESIS * self.used;
        if near {
            return;
        }
        if target < self.used {
            // What runs now can't be taken back, so it stays announced until it has ended.
            self.used = target.max(least).min(self.used);
            self.announced = self.used;
            return;
        }
        let wanted = target.min(left);
        if wanted > self.used {
            self.announced = wanted;
            self.since = now;
        }
    }

    /// Falls back to none, as when the others can't be heard.
    pub(crate) fn drop_to(&mut self, least: f64) {
        self.used = self.used.min(least);
        self.announced = self.used;
    }

    /// Takes an announced part into use once all others must have heard of it.
    fn settle(&mut self, now: Duration, left: f64) {
        if now.saturating_sub(self.since) < HOLD {
            return;
        }
        // Two that announced at the same time see each other here, and both yield to what is left.
        self.used = self.announced.min(left).max(self.used);
        self.announced = self.used;
    }
}
