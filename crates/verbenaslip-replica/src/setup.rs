//! Settings that a replica receives at its start.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

/// Denominator of a rate in thousandths.
const PER_MILLE: u32 = 1000;

/// Holds the settings of a replica.
#[data]
pub struct Setup {
    /// This instance.
    pub instance: Instance,
    /// The instances that form the group at its first start, including this one. Empty for an
    /// instance that only joins an existing group, or whose data directory names them.
    pub founders: Vec<Instance>,
    /// The seed for the random election timeouts; must differ between instances.
    pub seed: u64,
    /// The timeouts and intervals.
    pub timing: Timing,
    /// The size limits.
    pub limits: Limits,
}

impl Setup {
    /// Returns settings with the default timing and limits.
    pub fn new(instance: impl Into<Instance>, founders: Vec<Instance>, seed: u64) -> Self {
        Self {
            instance: instance.into(),
            founders,
            seed,
            timing: Timing::default(),
            limits: Limits::default(),
        }
    }
}

/// Holds timeouts and intervals, which must be the same on all voters.
#[data(copy)]
pub struct Timing {
    /// The time between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// The shortest election timeout; the longest is twice this value. A voter refuses votes for
    /// this time after it heard a leader and after a restart.
    pub election_timeout: Duration,
    /// The allowed error of a clock's rate, in thousandths. The clock must also advance while the
    /// process is paused: if a clock stops while its machine is suspended, a lease is valid for too
    /// long.
    pub clock_drift_per_mille: u32,
    /// The time within which a new voter must catch up.
    pub catch_up_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            election_timeout: Duration::from_secs(1),
            clock_drift_per_mille: 20,
            catch_up_timeout: Duration::from_secs(60),
        }
    }
}

impl Timing {
    /// Returns the duration of a lease on the leader's clock, measured from when its round was
    /// sent.
    ///
    /// The lease ends before a voter can vote for another candidate, even if the leader's clock is
    /// slow and the voter's clock is fast.
    pub fn lease_duration(&self) -> Duration {
        let drift = self.clock_drift_per_mille.min(PER_MILLE - 1);
        self.election_timeout * (PER_MILLE - drift) / (PER_MILLE + drift)
    }

    /// Returns the silence after which a new voter that has not caught up is given up. A voter that
    /// installs a large snapshot does not answer for a while.
    pub(crate) fn catch_up_silence(&self) -> Duration {
        self.election_timeout * 4
    }
}

/// Holds limits on sizes and counts.
#[data(copy)]
pub struct Limits {
    /// The largest command, in bytes.
    pub max_command_bytes: usize,
    /// The maximum payload of one append or snapshot chunk, in bytes.
    pub max_message_bytes: usize,
    /// The maximum number of unacknowledged appends to one follower.
    pub max_in_flight_appends: usize,
    /// The maximum number of proposals that wait for a quorum.
    pub max_pending_proposals: usize,
    /// The maximum total size of the proposals that wait for a quorum, in bytes.
    pub max_pending_bytes: usize,
    /// The number of applied log entries after which a snapshot is requested.
    pub snapshot_after_entries: u64,
    /// The size of applied log entries after which a snapshot is requested, in bytes.
    pub snapshot_after_bytes: usize,
    /// The maximum number of log entries before a snapshot that are kept for followers that lag.
    pub retained_entries: u64,
    /// The maximum total size of the log entries that are kept before a snapshot, in bytes.
    pub retained_bytes: usize,
    /// The largest snapshot that a follower accepts, in bytes.
    pub max_snapshot_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_command_bytes: 256 << 10,
            max_message_bytes: 64 << 10,
            max_in_flight_appends: 4,
            max_pending_proposals: 16 << 10,
            max_pending_bytes: 8 << 20,
            snapshot_after_entries: 8 << 10,
            snapshot_after_bytes: 8 << 20,
            retained_entries: 1 << 10,
            retained_bytes: 2 << 20,
            max_snapshot_bytes: 64 << 20,
        }
    }
}
