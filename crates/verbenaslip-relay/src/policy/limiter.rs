//! An entry's part of the rate of requests that an upstream takes from all entries together.

use std::time::Duration;

use verbenaslip_fleet::limit::TimeSlot;

/// How long after its time a turn may still be used, so that a limit isn't lost to an entry that has nothing to send
/// just then. All that is saved up in it may come at once.
const BACKLOG: Duration = Duration::from_millis(1_500);

/// The least and the most requests a second that are taken for a limit. Of one that takes none it must be learnt
/// when that ends.
const RATES: (f64, f64) = (0.25, 10_000.0);

/// Lets an entry send in its turn.
///
/// Time is cut into as many slots a second as requests are allowed, and the slots go round the entries. The agreed
/// time of day numbers them, so that the sum is kept to without a word between entries, however many there are.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    rate: f64,
    turn: Option<TimeSlot>,
    /// The first slot that is not used up.
    next: u64,
}

impl Limiter {
    /// Starts with the slot after the present one.
    pub fn open(rate: f64, turn: Option<TimeSlot>, time: Duration) -> Self {
        let mut limiter = Self { rate: rate.clamp(RATES.0, RATES.1), turn, next: 0 };
        limiter.next = limiter.slot(time) + 1;
        limiter
    }

    /// Returns the rate from all entries together.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes another rate or another place among the entries; slots are counted anew.
    pub fn change(&mut self, rate: f64, turn: Option<TimeSlot>, time: Duration) {
        let rate = rate.clamp(RATES.0, RATES.1);
        // With every change a slot may be another entry's that has used it already.
        if (rate, turn) != (self.rate, self.turn) {
            *self = Self::open(rate, turn, time);
        }
    }

    /// Returns how long it takes until this entry may send; none where its place is not known.
    pub fn wait(&self, time: Duration) -> Option<Duration> {
        let free = self.free(time)?;
        Some(Duration::from_secs_f64(as_f64(free) / self.rate).saturating_sub(time))
    }

    /// Tells whether this entry may send now.
    pub fn is_free(&self, time: Duration) -> bool {
        self.free(time).is_some_and(|free| free <= self.slot(time))
    }

    /// Uses up a turn.
    pub fn take(&mut self, time: Duration) {
        if let Some(free) = self.free(time) {
            self.next = free + 1;
        }
    }

    /// Finds the first slot of this entry that is neither used up nor too old.
    fn free(&self, time: Duration) -> Option<u64> {
        let TimeSlot { index: place, count: of } = self.turn?;
        let (place, of) = (u64::from(place), u64::from(of.max(1)));
        let oldest = self.slot(time.saturating_sub(BACKLOG));
        // Set back by seconds, the time of day would leave the entry without a turn for as long.
        let ahead = self.next > self.slot(time) + of + 1;
        let first = if ahead { oldest } else { self.next.max(oldest) };
        Some(first + (place + of - first % of) % of)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Far below 2^53.
    fn slot(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * self.rate) as u64
    }
}

#[allow(clippy::cast_precision_loss)] // Far below 2^53.
fn as_f64(slot: u64) -> f64 {
    slot as f64
}
