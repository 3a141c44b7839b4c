//! Time of day that the fleet agrees on.
//!
//! A machine's clock may jump by seconds. With it, usage would be counted into the wrong window,
//! and one window could get two different counts. Therefore every instance reports its clock to the
//! leader, the leader takes the median, and all instances follow that by their steady clocks.

use std::time::Duration;

/// Converts the time of a steady clock to the time of day by an agreed offset.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset_ms: i64,
    agreed: bool,
}

impl Clock {
    /// Creates a clock from this machine's time of day, in Unix milliseconds.
    pub fn new(now: Duration, unix_ms: u64) -> Self {
        Self { offset_ms: offset_ms(now, unix_ms), agreed: false }
    }

    /// Follows this machine's time of day until the fleet has agreed on one.
    pub fn follow_local(&mut self, now: Duration, unix_ms: u64) {
        if !self.agreed {
            self.offset_ms = offset_ms(now, unix_ms);
        }
    }

    /// Sets the time that the fleet agreed on, in Unix milliseconds.
    pub fn set_agreed(&mut self, now: Duration, unix_ms: u64) {
        self.offset_ms = offset_ms(now, unix_ms);
        self.agreed = true;
    }

    /// Returns whether the fleet has agreed on a time.
    pub fn is_agreed(&self) -> bool {
        self.agreed
    }

    /// Returns the time of day in Unix milliseconds.
    pub fn unix_ms(&self, now: Duration) -> u64 {
        unix_ms(now, self.offset_ms)
    }
}

/// Returns the time of day in Unix milliseconds, from a steady clock and its offset.
pub fn unix_ms(now: Duration, offset_ms: i64) -> u64 {
    u64::try_from(millis(now).saturating_add(offset_ms)).unwrap_or(0)
}

/// Returns the median of clock offsets that are relative to the same steady clock, or `None` if
/// there are none.
pub fn median(mut offsets: Vec<i64>) -> Option<i64> {
    offsets.sort_unstable();
    offsets.get(offsets.len().checked_sub(1)? / 2).copied()
}

/// Returns the offset of a time of day from a steady clock, in milliseconds.
pub fn offset_ms(now: Duration, unix_ms: u64) -> i64 {
    i64::try_from(unix_ms).unwrap_or(i64::MAX).saturating_sub(millis(now))
}

fn millis(now: Duration) -> i64 {
    i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
}
