//! What upstreams of one model could take now, as one instance sees it.

use verbenaslip_base::data;

use crate::service_time::ServiceTimes;

/// Sums up the upstreams that offer one model and take new work.
#[data(copy, float, default)]
pub struct Pool {
    /// Upstreams that take new work.
    pub upstreams: u32,
    /// Requests that they run at once.
    pub slots: u32,
    /// Slots free now, after correction for the age of the load reports.
    pub free_slots: u32,
    /// Slots that this instance may expect to fill when all instances want them.
    pub slot_share: f64,
    /// Requests running on an upstream on average.
    pub mean_running: f64,
    /// The live service times.
    pub service_times: ServiceTimes,
}
