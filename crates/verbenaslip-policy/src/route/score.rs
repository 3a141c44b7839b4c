//! What a run at an upstream is expected to cost, in millionths of the currency unit.

use std::time::Duration;

use verbenaslip_table::Preference;

use crate::row::Terms;

/// The price of one second of lateness, in seconds of a whole machine at a usual price.
const LATE: f64 = 40.0;
/// The usual price of a machine for an hour, in millionths, by which lateness is priced.
const USUAL: f64 = 2_000_000.0;
/// The price of a second of time to the answer for rows that spare time, likewise.
const TIME: f64 = 0.5;
/// Seconds in an hour.
const HOUR: f64 = 3600.0;

/// Predicts one run at one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prediction {
    /// Seconds to the first token.
    pub(crate) first: f64,
    /// Seconds to the whole answer.
    pub(crate) whole: f64,
    /// Seconds of the engine that it takes by itself.
    pub(crate) work: f64,
    /// Seconds by which it delays what runs there already.
    pub(crate) delay: f64,
    /// Price of the upstream for an hour.
    pub(crate) price: f64,
}

impl Prediction {
    /// Returns the cost for a request with so many seconds left and these terms.
    pub(crate) fn cost(&self, left: f64, waited: Duration, terms: &Terms) -> f64 {
        let aimed = (terms.first_token.saturating_sub(waited)).as_secs_f64();
        let late = (self.whole - left).max(0.0) + (self.first - aimed).max(0.0);
        let time = match terms.prefer {
            Preference::Cost => TIME / 8.0,
            Preference::Latency => TIME,
        };
        let engine = self.price * (self.work + self.delay) / HOUR;
        engine + USUAL / HOUR * (late * LATE + self.whole * time)
    }
}
