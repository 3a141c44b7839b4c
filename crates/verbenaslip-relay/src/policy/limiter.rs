//! An entry's share of the request rate that an upstream takes from all entries together.

use std::time::Duration;

use verbenaslip_fleet::limit::TimeSlot;

/// Time for which a past time slot may still be used, so that a limit is not lost to an entry that
/// had nothing to send just then. All slots saved up in this time may be used at once.
const MAX_SLOT_AGE: Duration = Duration::from_millis(1_500);

/// Lowest and highest requests per second that count as a limit. An upstream that takes no
/// requests still gets the lowest rate, since its answers tell when the limit ends.
const RATE_RANGE: (f64, f64) = (0.25, 10_000.0);

/// Lets an entry send in its own time slots.
///
/// Time is divided into as many slots per second as requests are allowed, and the slots are
/// assigned to the entries in rotation. The agreed time of day numbers the slots. The sum
/// therefore stays within the limit without communication between entries, regardless of their
/// number. The rotation goes through the slots in steps, so that those of an entry with several
/// are spread over time.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    rate: f64,
    time_slot: Option<TimeSlot>,
    /// Step of the rotation; has no divisor in common with the number of slots.
    step: u64,
    /// First slot that has not been used.
    next_slot: u64,
}

impl Limiter {
    /// Creates a limiter that starts with the slot after the present one.
    pub fn new(rate: f64, time_slot: Option<TimeSlot>, time: Duration) -> Self {
        let step = time_slot.map_or(1, |slot| rotation_step(slot.count.into()));
        let mut limiter =
            Self { rate: rate.clamp(RATE_RANGE.0, RATE_RANGE.1), time_slot, step, next_slot: 0 };
        limiter.next_slot = limiter.slot_at(time) + 1;
        limiter
    }

    /// Returns the rate limit for all entries together, in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Updates the rate or the position among the entries, and restarts the numbering of slots.
    pub fn update(&mut self, rate: f64, time_slot: Option<TimeSlot>, time: Duration) {
        let rate = rate.clamp(RATE_RANGE.0, RATE_RANGE.1);
        // After any change a slot may belong to another entry that has already used it.
        if (rate, time_slot) != (self.rate, self.time_slot) {
            *self = Self::new(rate, time_slot, time);
        }
    }

    /// Returns the time until this entry may send; `None` if its position is not known.
    pub fn time_until_free(&self, time: Duration) -> Option<Duration> {
        let slot = self.first_free_slot(time)?;
        Some(Duration::from_secs_f64(as_f64(slot) / self.rate).saturating_sub(time))
    }

    /// Returns whether this entry may send now.
    pub fn is_free(&self, time: Duration) -> bool {
        self.first_free_slot(time).is_some_and(|slot| slot <= self.slot_at(time))
    }

    /// Uses one slot.
    pub fn use_slot(&mut self, time: Duration) {
        if let Some(slot) = self.first_free_slot(time) {
            self.next_slot = slot + 1;
        }
    }

    /// Returns the first slot of this entry that is neither used nor too old.
    fn first_free_slot(&self, time: Duration) -> Option<u64> {
        let TimeSlot { index, count, width } = self.time_slot?;
        let (index, count) = (u64::from(index), u64::from(count.max(1)));
        let oldest = self.slot_at(time.saturating_sub(MAX_SLOT_AGE));
        // If the time of day were set back by seconds, the entry would otherwise have no slot for
        // as long.
        let is_ahead = self.next_slot > self.slot_at(time) + count + 1;
        let first = if is_ahead { oldest } else { self.next_slot.max(oldest) };
        let is_own = |slot: &u64| {
            let position = slot % count * self.step % count;
            (position + count - index % count) % count < u64::from(width)
        };
        (first..first + count).find(is_own)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Far below 2^53.
    fn slot_at(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * self.rate) as u64
    }
}

/// Returns the step of the rotation through so many slots: near the golden ratio, which spreads
/// consecutive positions best.
fn rotation_step(count: u64) -> u64 {
    let gcd = |mut one: u64, mut other: u64| {
        while other > 0 {
            (one, other) = (other, one % other);
        }
        one
    };
    let nearest = count * 618 / 1_000;
    (1..=nearest).rev().find(|step| gcd(*step, count) == 1).unwrap_or(1)
}

#[allow(clippy::cast_precision_loss)] // Far below 2^53.
fn as_f64(slot: u64) -> f64 {
    slot as f64
}
