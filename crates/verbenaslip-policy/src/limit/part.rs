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
    /// Moves towards what demand gives it.
    pub(crate) fn step(&mut self, now: Duration, aim: &Aim) {
        let left = (aim.whole - aim.others).max(0.0);
        if self.announced > self.used {
            self.settle(now, left);
            return;
        }
        if (aim.target - self.used).abs() <= HYSTERESIS * self.used {
            return;
        }
        if aim.target < self.used {
            // What runs now can't be taken back, so it stays announced until it has ended.
            self.used = aim.target.max(aim.least).min(self.used);
            self.announced = self.used;
            return;
        }
        let raise = aim.raise(self.used, (left - self.used).max(0.0));
        if raise > 0.0 {
            self.announced = self.used + raise;
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

/// Says where a part should move, and what bounds the move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Aim {
    /// The part that demand gives to this instance.
    pub(crate) target: f64,
    /// What may be held in all: 1, and a little for the rounding of few whole slots.
    pub(crate) whole: f64,
    /// What all others hold.
    pub(crate) others: f64,
    /// What all others lack beside their own targets.
    pub(crate) lacking: f64,
    /// What can't be given up, because it runs.
    pub(crate) least: f64,
}

impl Aim {
    /// Returns how much to announce above the part in use, out of what is left.
    ///
    /// All who lack something see the same rest. If each announced it whole, each would find the
    /// others' announcements when it looks again, and none would get anything.
    fn raise(&self, used: f64, left: f64) -> f64 {
        let lack = self.target - used;
        let all = lack + self.lacking;
        if all <= left { lack } else { left * lack / all }
    }
}
