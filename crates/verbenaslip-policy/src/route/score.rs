//! What a run at an upstream is expected to cost, in millionths of the currency unit.

use std::time::Duration;

use verbenaslip_table::Preference;

use crate::row::RowParams;

/// The price of one second of lateness, in seconds of a whole machine at a usual price.
const LATENESS_MACHINE_SECONDS: f64 = 40.0;
/// The usual price of a machine for an hour, in millionths, by which lateness is priced.
const TYPICAL_HOURLY_PRICE: f64 = 2_000_000.0;
/// The price of a second of time to the answer for rows that spare time, likewise.
const LATENCY_MACHINE_SECONDS: f64 = 0.5;
/// Seconds in an hour.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// Predicts one run at one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prediction {
    /// Seconds to the first token.
    pub(crate) first_token_seconds: f64,
    /// Seconds to the whole answer.
    pub(crate) total_seconds: f64,
    /// Seconds of the engine that it takes by itself.
    pub(crate) engine_seconds: f64,
    /// Seconds by which it delays what runs there already.
    pub(crate) added_delay_seconds: f64,
    /// Price of the upstream for an hour.
    pub(crate) hourly_price: f64,
}

impl Prediction {
    /// Returns the cost for a request with so many seconds left and these terms.
    pub(crate) fn cost(&self, seconds_left: f64, waited: Duration, params: &RowParams) -> f64 {
        let first_token_left = (params.first_token_deadline.saturating_sub(waited)).as_secs_f64();
        let late_seconds = (self.total_seconds - seconds_left).max(0.0)
            + (self.first_token_seconds - first_token_left).max(0.0);
        let latency_weight = match params.prefer {
            Preference::Cost => LATENCY_MACHINE_SECONDS / 8.0,
            Preference::Latency => LATENCY_MACHINE_SECONDS,
        };
        let engine_cost =
            self.hourly_price * (self.engine_seconds + self.added_delay_seconds) / SECONDS_PER_HOUR;
        engine_cost
            + TYPICAL_HOURLY_PRICE / SECONDS_PER_HOUR
                * (late_seconds * LATENESS_MACHINE_SECONDS + self.total_seconds * latency_weight)
    }
}
