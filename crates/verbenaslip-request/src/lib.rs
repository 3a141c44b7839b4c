//! Life of one request on an instance: journal, claim, runs, resumption, relocation.
//!
//! [`Requests`] is a state machine that owns every request of one instance. It takes events
//! ([`input`]) and returns actions ([`output`]). A request passes through these steps:
//!
//! 1. *Lookup.* The home instances of the key, two instances in two availability zones, are asked
//!    whether they know the key, so that a resend joins the request that already runs.
//! 2. *Admission.* The policy admits or refuses the request.
//! 3. *Journal.* An instance in another availability zone stores a copy. The request is accepted
//!    from this point on.
//! 4. *Claim.* A non-idempotent request needs a grant from the quorum ([`claim`]).
//! 5. *Placement and run.* The router chooses an upstream, the traffic threads run the request
//!    there ([`run`]), and the caller is served ([`caller`]) from the [`answer`] that the threads
//!    assemble.
//! 6. *Recovery.* When a run fails or its upstream leaves, the run is rejoined, moved or resumed.
//!    When the owner is lost or stops, the second holder takes the request over under a higher
//!    epoch.
//! 7. *Retention.* Both instances keep the finished answer for callers that come back.
//!
//! Instances exchange [`message`]s. [`setup`] bounds time and memory. Nothing in this crate
//! performs input or output, reads a clock or generates random numbers.

pub mod answer;
pub mod caller;
pub mod claim;
pub mod input;
pub mod message;
pub mod output;
pub mod run;
pub mod setup;

mod arrival;
mod copies;
mod drain;
mod finish;
mod journal;
mod lookup;
mod membership;
mod owned;
mod relocate;
mod requests;
mod run_event;
mod start;
mod takeover;
mod timer;

pub use requests::{Counts, Requests};
