//! An entry's part of the rate of requests that an upstream takes from all entries together.

use std::time::Duration;

use verbenaslip_fleet::limit::TimeSlot;

/// How long after its time a turn may still be used, so that a limit isn't lost to an entry that has nothing to send
/// just then. All that is saved up in it may come at once.
const MAX_SLOT_AGE: Duration = Duration::from_millis(1_500);

/// The least and the most requests a second that are taken for a limit. Of one that takes none it must be learnt
/// when that ends.
const RATE_RANGE: (f64, f64) = (0.25, 10_000.0);

/// Lets an entry send in its turn.
///
/// Time is cut into as many slots a second as requests are allowed, and the slots go round the entries. The agreed
/// time of day numbers them, so that the sum is kept to without a word between entries, however many there are.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    rate: f64,
    time_slot: Option<TimeSlot>,
    /// The first slot that is not used up.
    next_slot: u64,
}

impl Limiter {
    /// Starts with the slot after the present one.
    pub fn new(rate: f64, time_slot: Option<TimeSlot>, time: Duration) -> Self {
        let mut limiter =
            Self { rate: rate.clamp(RATE_RANGE.0, RATE_RANGE.1), time_slot, next_slot: 0 };
        limiter.next_slot = limiter.slot_at(time) + 1;
        limiter
    }

    /// Returns the rate from all entries together.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes another rate or another place among the entries; slots are counted anew.
    pub fn update(&mut self, rate: f64, time_slot: Option<TimeSlot>, time: Duration) {
        let rate = rate.clamp(RATE_RANGE.0, RATE_RANGE.1);
        // With every change a slot may be another entry's that has used it already.
        if (rate, time_slot) != (self.rate, self.time_slot) {
            *self = Self::new(rate, time_slot, time);
        }
    }

    /// Returns how long it takes until this entry may send; none where its place is not known.
    pub fn time_until_free(&self, time: Duration) -> Option<Duration> {
        let slot = self.first_free_slot(time)?;
        Some(Duration::from_secs_f64(as_f64(slot) / self.rate).saturating_sub(time))
    }

    /// Tells whether this entry may send now.
    pub fn is_free(&self, time: Duration) -> bool {
        self.first_free_slot(time).is_some_and(|slot| slot <= self.slot_at(time))
    }

    /// Uses up a turn.
    pub fn use_slot(&mut self, time: Duration) {
        if let Some(slot) = self.first_free_slot(time) {
            self.next_slot = slot + 1;
        }
    }

    /// Finds the first slot of this entry that is neither used up nor too old.
    fn first_free_slot(&self, time: Duration) -> Option<u64> {
        let TimeSlot { index, count } = self.time_slot?;
        let (index, count) = (u64::from(index), u64::from(count.max(1)));
        let oldest = self.slot_at(time.saturating_sub(MAX_SLOT_AGE));
        // Set back by seconds, the time of day would leave the entry without a turn for as long.
        let is_ahead = self.next_slot > self.slot_at(time) + count + 1;
        let first = if is_ahead { oldest } else { self.next_slot.max(oldest) };
        Some(first + (index + count - first % count) % count)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Far below 2^53.
    fn slot_at(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * self.rate) as u64
    }
}

#[allow(clippy::cast_precision_loss)] // Far below 2^53.
fn as_f64(slot: u64) -> f64 {
    slot as f64
}
