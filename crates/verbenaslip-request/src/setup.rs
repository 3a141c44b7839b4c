//! Settings of the requests of one instance.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance};

/// Configures the requests of one instance.
#[data]
pub struct Setup {
    /// This instance.
    pub instance: Instance,
    /// Availability zone of this instance.
    pub zone: AvailabilityZone,
    /// Number that differs between any two starts of the same instance.
    pub boot: u64,
    /// Where a request must be journaled, besides this instance, before it counts as accepted.
    pub journal: Journal,
    /// Time limits of each step.
    pub timing: Timing,
    /// Memory limits.
    pub limit: Limit,
    /// Expected cost of moving a stream.
    pub estimate: Estimate,
}

impl Setup {
    /// Returns the default settings for an instance with the given identity.
    pub fn new(instance: Instance, zone: AvailabilityZone, boot: u64) -> Self {
        let (timing, limit) = (Timing::default(), Limit::default());
        let (journal, estimate) = (Journal::OtherZone, Estimate::default());
        Self { instance, zone, boot, journal, timing, limit, estimate }
    }
}

/// Tells where a request must be journaled, besides this instance, before it counts as accepted.
#[data(copy)]
pub enum Journal {
    /// At an instance in another availability zone; otherwise the request is refused.
    OtherZone,
    /// In another availability zone if possible, else at any other instance; otherwise the request
    /// is refused.
    OtherInstance,
    /// At the most distant instance available; without any other instance, only here.
    Alone,
}

/// Bounds the time that each step may take.
#[data(copy)]
pub struct Timing {
    /// Time between two transmissions of an unanswered message to a peer.
    pub resend: Duration,
    /// How many times one message is sent to one peer.
    pub tries: u32,
    /// How long the home instances are asked whether they know a key.
    pub lookup: Duration,
    /// How long the home instances' answers are valid. Shorter than the silence after which other
    /// instances may consider this instance dead.
    pub fresh: Duration,
    /// How long an instance is sought that stores the second copy.
    pub journal: Duration,
    /// How long the quorum is asked for a claim.
    pub claim: Duration,
    /// How long an owner must be lost before its requests are taken over.
    pub grace: Duration,
    /// How long a request continues without its caller, if the caller can come back with its key.
    pub absence: Duration,
    /// How long a finished answer is kept.
    pub retention: Duration,
    /// Longest allowed silence of an upstream.
    pub stall: Duration,
    /// Safety margin before the end of a reclaim notice.
    pub margin: Duration,
    /// How long before the end of a shutdown the remaining requests are handed over.
    pub handover: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            resend: Duration::from_millis(100),
            tries: 5,
            lookup: Duration::from_secs(5),
            fresh: Duration::from_millis(250),
            journal: Duration::from_secs(3),
            claim: Duration::from_secs(5),
            grace: Duration::from_millis(500),
            absence: Duration::from_secs(30),
            retention: Duration::from_secs(600),
            stall: Duration::from_secs(2),
            margin: Duration::from_millis(500),
            handover: Duration::from_secs(2),
        }
    }
}

/// Bounds the memory used.
#[data(copy)]
pub struct Limit {
    /// Unfinished owned requests.
    pub owned: usize,
    /// Copies stored for other owners.
    pub copies: usize,
    /// Bytes of request bodies, owned and copied together.
    pub bytes: usize,
    /// Finished answers kept, owned and copied together.
    pub finished: usize,
    /// Tokens in all finished answers kept.
    pub tokens: u64,
    /// Reserved keys.
    pub reservations: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            owned: 4096,
            copies: 8192,
            bytes: 64 << 20,
            finished: 16_384,
            tokens: 4_000_000,
            reservations: 32_768,
        }
    }
}

/// Estimates the cost of moving a stream. Times are those of a single stream.
#[data(copy)]
pub struct Estimate {
    /// Time to generate one token, until the stream itself has shown its rate.
    pub token: Duration,
    /// Time to compute one prompt token.
    pub prefill: Duration,
    /// Fixed time to export and import a KV cache.
    pub transfer: Duration,
    /// Additional time to export and import the KV cache of one token.
    pub transfer_token: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            token: Duration::from_millis(32),
            prefill: Duration::from_micros(250),
            transfer: Duration::from_millis(50),
            transfer_token: Duration::from_micros(20),
        }
    }
}
