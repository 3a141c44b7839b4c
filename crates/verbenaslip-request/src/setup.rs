//! What one instance's requests are set up with.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance};

/// Sets up the requests of one instance.
#[data]
pub struct Setup {
    /// This instance.
    pub instance: Instance,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Any number that differs between two starts of the same instance.
    pub boot: u64,
    /// Where a request must be journalled before it counts as accepted.
    pub journal: Journal,
    /// How long each step may take.
    pub timing: Timing,
    /// How much is held.
    pub limit: Limit,
    /// What moving a stream is expected to cost.
    pub estimate: Estimate,
}

impl Setup {
    /// Takes the defaults for all but the identity of the instance.
    pub fn new(instance: Instance, zone: AvailabilityZone, boot: u64) -> Self {
        let (timing, limit) = (Timing::default(), Limit::default());
        let (journal, estimate) = (Journal::OtherZone, Estimate::default());
        Self { instance, zone, boot, journal, timing, limit, estimate }
    }
}

/// Says where a request must be journalled, beside here, before it counts as accepted.
#[data(copy)]
pub enum Journal {
    /// At an instance in another availability zone, or it is refused.
    OtherZone,
    /// In another availability zone, else at another instance, or it is refused.
    OtherInstance,
    /// As far away as there is anyone; alone when there is nobody.
    Alone,
}

/// Bounds each step in time.
#[data(copy)]
pub struct Timing {
    /// Between two sendings of an unanswered message to a peer.
    pub resend: Duration,
    /// How often one message is sent to one peer.
    pub tries: u32,
    /// How long the homes are asked whether they know a key.
    pub lookup: Duration,
    /// How long the homes' answers stand; shorter than the silence after which others may believe
    /// this instance dead.
    pub fresh: Duration,
    /// How long a second holder is looked for.
    pub journal: Duration,
    /// How long the quorum is asked for a claim.
    pub claim: Duration,
    /// How long an owner must be lost before its requests are taken over.
    pub grace: Duration,
    /// How long a request runs on without its caller, when the caller can come back by its key.
    pub absence: Duration,
    /// How long a finished answer is kept.
    pub retention: Duration,
    /// The longest silence of an upstream.
    pub stall: Duration,
    /// What is left unused of a notice.
    pub margin: Duration,
    /// How long before the end of a stop what still runs is handed over.
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

/// Bounds what is held in memory.
#[data(copy)]
pub struct Limit {
    /// Requests owned and not finished.
    pub owned: usize,
    /// Copies held for other owners.
    pub copies: usize,
    /// Bytes of bodies, owned and copied together.
    pub bytes: usize,
    /// Finished answers kept, owned and copied together.
    pub finished: usize,
    /// Tokens in all finished answers kept.
    pub tokens: u64,
    /// Keys known only by their owner.
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

/// Estimates what moving a stream costs; times are those of one stream.
#[data(copy)]
pub struct Estimate {
    /// To generate one token, until the stream itself shows better.
    pub token: Duration,
    /// To compute one token of a prompt.
    pub prefill: Duration,
    /// To begin an export and import of a KV cache.
    pub transfer: Duration,
    /// To export and import one token's KV cache.
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
