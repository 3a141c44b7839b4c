//! The monotonic clock that all threads of an instance share.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine's start, times of suspension included.
///
/// The usual monotonic clock stands still while a machine is suspended. A lease measured by it would
/// outlive its time, and two instances would both act as the leader.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns what the machine's clock shows, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // A clock before 1970 counts as its beginning; the fleet's agreed time replaces it anyway.
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
