//! Summarizes the capacity of the upstreams of one model, as seen by one instance.

use verbenaslip_base::data;

use crate::service_time::ServiceTimes;

/// Sums up the upstreams that serve one model and accept new work.
#[data(copy, float, default)]
pub struct Pool {
    /// The number of upstreams that accept new work.
    pub upstreams: u32,
    /// The number of requests that these upstreams run at once.
    pub slots: u32,
    /// The number of free slots, corrected for the age of the load reports.
    pub free_slots: u32,
    /// The number of slots that this instance can expect to use when all instances need slots.
    pub slot_share: f64,
    /// The average number of requests running on an upstream.
    pub mean_running: f64,
    /// The measured service times of the model.
    pub service_times: ServiceTimes,
}
