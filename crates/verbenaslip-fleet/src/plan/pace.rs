//! How fast the counts of a service's upstreams change.

use std::time::Duration;

/// Upstreams that are ordered or given up in a second, at most.
const MOST: f64 = 400.0;

/// The least of them, however large the fleet.
const LEAST: f64 = 100.0;

/// Upstreams that change in a second, times the instances that are told of each: a leader that is told more loses
/// its lease.
const TELLINGS: f64 = 45_000.0;

/// The least part of what a second allows that is ordered at a time, where more is wanted.
const PART: f64 = 0.5;

/// Keeps how much may change at once.
#[derive(Debug)]
pub(crate) struct Pace {
    /// What may change in a second.
    rate: f64,
    left: f64,
    at: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { rate: MOST, left: MOST, at: Duration::ZERO }
    }
}

impl Pace {
    /// Takes how many instances are told of each change.
    pub(crate) fn spread(&mut self, instances: usize) {
        let instances = u32::try_from(instances.max(1)).map_or(f64::MAX, f64::from);
        self.rate = (TELLINGS / instances).clamp(LEAST, MOST);
        self.left = self.left.min(self.rate);
    }

    /// Lets time pass.
    pub(crate) fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.left = (self.left + passed * self.rate).min(self.rate);
        self.at = now;
    }

    /// Returns how many may change in a time.
    pub(crate) fn within(&self, time: Duration) -> u32 {
        floor(time.as_secs_f64() * self.rate)
    }

    /// Returns how far a count goes now on its way from one number to another.
    pub(crate) fn step(&mut self, from: u32, to: u32) -> u32 {
        let whole = from.abs_diff(to);
        let part = if f64::from(whole) <= self.left {
            whole
        } else if self.left < self.rate * PART {
            return from;
        } else {
            floor(self.left)
        };
        self.left -= f64::from(part);
        if to > from { from + part } else { from - part }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // It is at most the pace.
fn floor(left: f64) -> u32 {
    left as u32
}
