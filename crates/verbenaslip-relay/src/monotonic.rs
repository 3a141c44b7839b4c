//! Clocks that all threads of an instance share.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including time in suspension.
///
/// The usual monotonic clock stands still while a machine is suspended. A lease measured by that
/// clock would outlive its time, and two instances would both act as the leader.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the machine's wall-clock time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // A clock before 1970 counts as 1970; the agreed time of the fleet replaces this value anyway.
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
