//! What a replica is told at its start.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

/// Thousandths in one.
const PER_MILLE: u32 = 1000;

/// Sets a replica up.
#[data]
pub struct Setup {
    /// This instance.
    pub instance: Instance,
    /// The instances that form the group at the very first start, this one among them; empty for
    /// an instance that only ever joins.
    pub founders: Vec<Instance>,
    /// Seeds the election timeouts; must differ between instances.
    pub seed: u64,
    /// The times.
    pub timing: Timing,
    /// The sizes.
    pub limits: Limits,
}

impl Setup {
    /// Sets up with the usual times and sizes.
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

/// Holds the times; all voters must have the same.
#[data(copy)]
pub struct Timing {
    /// Between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// The shortest election timeout, the longest being twice that. For this long after hearing a
    /// leader, or after a restart, a voter refuses votes.
    pub election_timeout: Duration,
    /// How far the rate of a clock may be off, in thousandths. The clock must go on while the process
    /// is stopped; one that stands still while a machine is suspended lets a lease outlive its time.
    pub clock_drift_per_mille: u32,
    /// How long a new voter may take to catch up.
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
    /// Returns how long a lease lasts on the leader's clock, from when its round was sent.
    ///
    /// A leader's clock may be slow and a voter's fast; even then the lease ends before the voter
    /// gives its vote to somebody else.
    pub fn lease_duration(&self) -> Duration {
        let drift = self.clock_drift_per_mille.min(PER_MILLE - 1);
        self.election_timeout * (PER_MILLE - drift) / (PER_MILLE + drift)
    }
}

/// Holds the sizes, in bytes where not said otherwise.
#[data(copy)]
pub struct Limits {
    /// The largest command.
    pub max_command_bytes: usize,
    /// The most that one append or chunk carries.
    pub max_message_bytes: usize,
    /// How many appends may be on the way to one voter.
    pub max_in_flight_appends: usize,
    /// How many proposals may wait for a quorum,
    pub max_pending_proposals: usize,
    /// and how many bytes they may have together.
    pub max_pending_bytes: usize,
    /// A snapshot is asked for after this many entries,
    pub snapshot_after_entries: u64,
    /// or after this many bytes of entries.
    pub snapshot_after_bytes: usize,
    /// Entries before a snapshot that are kept for followers that lag,
    pub retained_entries: u64,
    /// and the most bytes that they may have together.
    pub retained_bytes: usize,
    /// The largest snapshot.
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
