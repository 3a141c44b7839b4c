//! What instances say to each other about the table.

use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance};
use verbenaslip_table::{Change, Revision};

use crate::lease::Nonce;

/// Bounds the bytes of changes or of a snapshot in one message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1_024;

/// Bounds the bytes of a snapshot.
pub const MAX_SNAPSHOT_BYTES: u32 = 4 << 20;

/// Travels between a follower and its publisher.
#[data]
pub enum Message {
    /// Asks for a lease and for the changes after the applied revision.
    Renew(Renew),
    /// Asks for one part of a snapshot; for another than the offered one, asks for a new offer.
    Fetch(Fetch),
    /// Grants a lease.
    Granted(Granted),
    /// Refuses to publish to the follower.
    Away(Refusal),
    /// Carries changes, one revision after the other.
    Changes(Vec<Step>),
    /// Offers a snapshot, because the changes no longer reach back to what the follower has.
    Offer(Offer),
    /// Carries one part of a snapshot.
    Part(Part),
}

/// Asks for a lease.
#[data]
pub struct Renew {
    /// Identifies the request.
    pub nonce: Nonce,
    /// The revision that the follower has applied.
    pub applied: Revision,
    /// The lowest revision by which the follower, or any that it passed a lease on to, may serve.
    pub floor: Revision,
}

/// Grants a lease.
#[data]
pub struct Granted {
    /// The request that is answered.
    pub nonce: Nonce,
    /// The revision from which on the lease counts.
    pub revision: Revision,
    /// How long it lasts from when the request was sent, in milliseconds.
    pub duration_ms: u32,
    /// The instances through which the lease came, the leader first and the publisher last.
    pub path: Vec<Instance>,
}

/// Refuses to publish.
#[data]
pub struct Refusal {
    /// The request that is answered.
    pub nonce: Nonce,
    /// Instances that the follower may ask instead; empty when the publisher has no lease itself.
    pub others: Vec<Instance>,
}

/// Holds the changes of one revision, which apply all at once.
#[data]
pub struct Step {
    /// The revision that they make of the one before.
    pub revision: Revision,
    /// The changes.
    pub changes: Arc<[Change]>,
}

/// Asks for one part of a snapshot.
#[data(copy)]
pub struct Fetch {
    /// The snapshot's revision.
    pub revision: Revision,
    /// Which part, from 0.
    pub part: u32,
}

/// Offers a snapshot.
#[data(copy)]
pub struct Offer {
    /// Its revision.
    pub revision: Revision,
    /// Its length in bytes.
    pub bytes: u32,
    /// The hash of its bytes.
    pub digest: u128,
}

/// Carries one part of a snapshot.
#[data]
pub struct Part {
    /// The snapshot's revision.
    pub revision: Revision,
    /// Which part, from 0.
    pub part: u32,
    /// [`MAX_BYTES`] of the snapshot, or what is left of it.
    pub bytes: Vec<u8>,
}

/// Describes another instance as far as the watch needs it.
#[data]
pub struct Peer {
    /// Its name.
    pub instance: Instance,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Whether it votes, and so has the table from the log.
    pub voter: bool,
}
