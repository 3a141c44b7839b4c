//! Messages between followers and publishers of the table.

use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance};
use verbenaslip_table::{Change, Revision};

use crate::lease::Nonce;

/// Maximum size of the changes or of the snapshot part in one message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1_024;

/// Maximum size of a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: u32 = 4 << 20;

/// A message between a follower and its publisher.
#[data]
pub enum Message {
    /// Requests a lease and the changes after the applied revision.
    Renew(Renew),
    /// Requests one part of a snapshot; if that snapshot is not kept, a new offer is returned.
    Fetch(Fetch),
    /// Grants a lease.
    Granted(Granted),
    /// Refuses to publish to the follower.
    Away(Refusal),
    /// Carries the changes of consecutive revisions.
    Changes(Vec<Step>),
    /// Offers a snapshot, since the kept changes do not reach back to the follower's revision.
    Offer(Offer),
    /// Carries one part of a snapshot.
    Part(Part),
}

/// Requests a lease.
#[data]
pub struct Renew {
    /// Identifies the request.
    pub nonce: Nonce,
    /// The revision that the follower has applied.
    pub applied: Revision,
    /// The lowest revision by which the follower, or any instance it granted a lease, may serve.
    pub floor: Revision,
}

/// Grants a lease.
#[data]
pub struct Granted {
    /// The request that is answered.
    pub nonce: Nonce,
    /// The revision that the follower must have applied for the lease to count.
    pub revision: Revision,
    /// The lease duration from when the request was sent, in milliseconds.
    pub duration_ms: u32,
    /// The instances through which the lease was granted, from the leader to the publisher.
    pub path: Vec<Instance>,
}

/// Refuses to publish to a follower.
#[data]
pub struct Refusal {
    /// The request that is answered.
    pub nonce: Nonce,
    /// Instances to ask instead; empty if the publisher has no lease itself.
    pub others: Vec<Instance>,
}

/// Holds the changes of one revision, which apply atomically.
#[data]
pub struct Step {
    /// The revision that the changes create.
    pub revision: Revision,
    /// The changes.
    pub changes: Arc<[Change]>,
}

/// Requests one part of a snapshot.
#[data(copy)]
pub struct Fetch {
    /// The snapshot's revision.
    pub revision: Revision,
    /// The index of the part, from 0.
    pub part: u32,
}

/// Offers a snapshot.
#[data(copy)]
pub struct Offer {
    /// The snapshot's revision.
    pub revision: Revision,
    /// The snapshot's length, in bytes.
    pub bytes: u32,
    /// The hash of the snapshot's bytes.
    pub digest: u128,
}

/// Carries one part of a snapshot.
#[data]
pub struct Part {
    /// The snapshot's revision.
    pub revision: Revision,
    /// The index of the part, from 0.
    pub part: u32,
    /// The bytes of the part: [`MAX_MESSAGE_BYTES`], or fewer in the last part.
    pub bytes: Vec<u8>,
}

/// Describes another instance.
#[data]
pub struct Peer {
    /// The instance's name.
    pub instance: Instance,
    /// The instance's availability zone.
    pub zone: AvailabilityZone,
    /// Whether the instance is a voter and so has the table from the log.
    pub voter: bool,
}
