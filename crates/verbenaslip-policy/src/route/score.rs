//! Computes the expected cost of a run at an upstream, in millionths of the currency unit.

use std::time::Duration;

use verbenaslip_table::Preference;

use crate::row::RowParams;

/// The price of one second of lateness, in seconds of a whole machine at the typical price.
const LATENESS_MACHINE_SECONDS: f64 = 40.0;
/// The typical price of a machine per hour, in millionths of the currency unit, used to price
/// lateness.
const TYPICAL_HOURLY_PRICE: f64 = 2_000_000.0;
/// The price of one second until the complete answer for rows that prefer low latency, in seconds
/// of a whole machine at the typical price.
const LATENCY_MACHINE_SECONDS: f64 = 0.5;
const SECONDS_PER_HOUR: f64 = 3600.0;

/// Holds the prediction for one run at one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prediction {
    /// Seconds to the first token.
    pub(crate) first_token_seconds: f64,
    /// Seconds to the complete answer.
    pub(crate) total_seconds: f64,
    /// Engine seconds that the run itself takes.
    pub(crate) engine_seconds: f64,
    /// Seconds by which the run delays the requests that already run there.
    pub(crate) added_delay_seconds: f64,
    /// Price of the upstream per hour, in millionths of the currency unit.
    pub(crate) hourly_price: f64,
}

impl Prediction {
    /// Returns the cost of the run for a request with `seconds_left` until its deadline that has
    /// already waited for `waited`.
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
