//! What a replica is told at its start.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

/// Thousandths in one.
const MILLE: u32 = 1000;

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
    pub drift: u32,
    /// How long a new voter may take to catch up.
    pub change: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            election_timeout: Duration::from_secs(1),
            drift: 20,
            change: Duration::from_secs(60),
        }
    }
}

impl Timing {
    /// Returns how long a lease lasts on the leader's clock, from when its round was sent.
    ///
    /// A leader's clock may be slow and a voter's fast; even then the lease ends before the voter
    /// gives its vote to somebody else.
    pub fn lease(&self) -> Duration {
        let drift = self.drift.min(MILLE - 1);
        self.election_timeout * (MILLE - drift) / (MILLE + drift)
    }
}

/// Holds the sizes, in bytes where not said otherwise.
#[data(copy)]
pub struct Limits {
    /// The largest command.
    pub max_command_bytes: usize,
    /// The most that one append or chunk carries.
    pub message: usize,
    /// How many appends may be on the way to one voter.
    pub window: usize,
    /// How many proposals may wait for a quorum,
    pub pending: usize,
    /// and how many bytes they may have together.
    pub max_pending_bytes: usize,
    /// A snapshot is asked for after this many entries,
    pub entries: u64,
    /// or after this many bytes of entries.
    pub bytes: usize,
    /// Entries before a snapshot that are kept for followers that lag,
    pub tail: u64,
    /// and the most bytes that they may have together.
    pub tail_bytes: usize,
    /// The largest snapshot.
    pub snapshot: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_command_bytes: 256 << 10,
            message: 64 << 10,
            window: 4,
            pending: 16 << 10,
            max_pending_bytes: 8 << 20,
            entries: 8 << 10,
            bytes: 8 << 20,
            tail: 1 << 10,
            tail_bytes: 2 << 20,
            snapshot: 64 << 20,
        }
    }
}
