//! How many time slots an entry asks for under upstreams' rate limits.
//!
//! All entries get about the same part of the requests, and one slot each. A load balancer may hand
//! one of them most of the requests for some seconds; with a single slot it would refuse them while
//! the slots of the others go unused.

use std::time::Duration;

use verbenaslip_fleet::limit::MAX_SLOTS;

/// Time over which the present rate of requests is averaged.
const PRESENT: Duration = Duration::from_millis(800);

/// Time over which the usual rate of requests is averaged.
const USUAL: Duration = Duration::from_secs(60);

/// Time after the first request in which the usual rate is not known.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Ratio of the present to the usual rate from which an entry asks for more slots, and below which
/// it no longer does.
const RATIOS: (f64, f64) = (1.6, 1.1);

/// How many times as large as the usual deviation the difference must be. Each change renumbers the
/// slots of all entries, so it must not follow from chance.
const MIN_DEVIATIONS: f64 = 3.0;

/// Smallest difference, in requests per second; at low rates, single requests deviate by more.
const MIN_DIFFERENCE: f64 = 5.0;

/// Lowest usual rate, in requests per second; below it, single requests look like a rush.
const MIN_USUAL_RATE: f64 = 1.0;

/// Compares the rate of requests at an entry with its usual rate.
#[derive(Debug, Default)]
pub struct Demand {
    began_at: Option<Duration>,
    updated_at: Duration,
    present_rate: f64,
    usual_rate: f64,
    slots: u32,
}

impl Demand {
    /// Records the requests since the last call.
    pub fn record(&mut self, now: Duration, requests: u64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed <= 0.0 || (self.began_at.is_none() && requests == 0) {
            return;
        }
        self.updated_at = now;
        let Some(began_at) = self.began_at else {
            // The time before the first requests says nothing about their rate.
            self.began_at = Some(now);
            return;
        };
        let rate = as_f64(requests) / elapsed;
        let weight = |time: Duration| 1.0 - (-elapsed / time.as_secs_f64()).exp();
        self.present_rate += weight(PRESENT) * (rate - self.present_rate);
        // At first, the average of the time so far.
        let age = now.saturating_sub(began_at);
        let usual_weight = if age < LEARNING_TIME {
            (elapsed / age.as_secs_f64()).min(1.0)
        } else {
            weight(USUAL)
        };
        self.usual_rate += usual_weight * (rate - self.usual_rate);
        self.update_slots(now);
    }

    /// Returns the present and the usual rate, in requests per second.
    pub fn rates(&self) -> (f64, f64) {
        (self.present_rate, self.usual_rate)
    }

    /// Returns the number of slots that this entry asks for: one, or a power of two near the ratio
    /// of its present to its usual rate.
    pub fn slots(&self) -> u32 {
        self.slots.max(1)
    }

    /// Decides on the number of slots after a report.
    fn update_slots(&mut self, now: Duration) {
        let is_known =
            self.began_at.is_some_and(|began_at| now.saturating_sub(began_at) >= LEARNING_TIME);
        let ratio = self.present_rate / self.usual_rate.max(MIN_USUAL_RATE);
        // Requests that arrive independently deviate by the square root of their number. An
        // exponential average looks back twice its time.
        let span = 2.0 * PRESENT.as_secs_f64();
        let deviation = (self.usual_rate.max(MIN_USUAL_RATE) / span).sqrt();
        let is_unusual = is_known
            && ratio >= RATIOS.0
            && self.present_rate - self.usual_rate >= MIN_DEVIATIONS * deviation + MIN_DIFFERENCE;
        let mut nearest = 1;
        while f64::from(nearest) < ratio && nearest < MAX_SLOTS {
            nearest *= 2;
        }
        if is_unusual && nearest > self.slots {
            self.slots = nearest;
        } else if !is_known || ratio < RATIOS.1 {
            self.slots = 1;
        } else if ratio * 3.0 < f64::from(self.slots) {
            // The usual rate rises during a rush, and the ratio falls.
            self.slots = nearest;
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Far below 2^53.
fn as_f64(requests: u64) -> f64 {
    requests as f64
}
