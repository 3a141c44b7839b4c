//! What the quorum answers to the claim of a non-idempotent request.

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

/// Asks the quorum for the right to run a non-idempotent request.
#[data]
pub struct Claim {
    /// The request.
    pub request: Request,
    /// Who claims: differs between instances, their starts and their claims, and is the same when
    /// the same claim is sent again.
    pub claimant: u128,
    /// The instance that claims.
    pub owner: Instance,
    /// When the key was first used, in Unix milliseconds.
    pub issued: Option<u64>,
}

/// Answers a claim.
#[data]
pub enum Ruling {
    /// This claimant holds the claim, from now or from an earlier sending.
    Granted,
    /// Another claimant holds it and may be running the request.
    Held {
        /// The instance that holds it, if known.
        owner: Option<Instance>,
    },
    /// It has run and ended.
    Settled,
    /// The key is older than the time for which outcomes are kept.
    Expired,
    /// It was surely not granted, for want of a quorum.
    NoQuorum,
    /// It may or may not have been granted.
    Unknown,
}
