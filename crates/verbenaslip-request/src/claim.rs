//! Claims of non-idempotent requests, and the quorum's answers.

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

/// Asks the quorum for the right to run a non-idempotent request.
#[data]
pub struct Claim {
    /// The request.
    pub request: Request,
    /// Identifies the claim: differs between instances, their starts and their claims, and is the
    /// same when a claim is sent again.
    pub claimant: u128,
    /// Instance that claims the request.
    pub owner: Instance,
    /// When the key was first used, in Unix milliseconds.
    pub issued: Option<u64>,
}

/// Answer of the quorum to a claim.
#[data]
pub enum Ruling {
    /// This claimant holds the claim, from now on or from an earlier transmission.
    Granted,
    /// Another claimant holds the claim and may be running the request.
    Held {
        /// Instance that holds the claim, if known.
        owner: Option<Instance>,
    },
    /// The request has run and ended.
    Settled,
    /// The key is older than the time for which outcomes are kept.
    Expired,
    /// The claim was certainly not granted, because there was no quorum.
    NoQuorum,
    /// The claim may or may not have been granted.
    Unknown,
}
