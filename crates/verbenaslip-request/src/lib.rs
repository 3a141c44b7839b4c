//! One request's life: journal, claim, runs, resume, move.
//!
//! [`Requests`] owns every request of one instance and decides alone; it is told what happened
//! ([`input`]) and says what it wants done ([`output`]). A request passes through it in this order:
//!
//! 1. *Lookup.* The homes of a key, two instances in two availability zones, are asked whether they
//!    know it, so that a resend joins the request that already runs.
//! 2. *Admission.* The policy lets it in or not.
//! 3. *Journal.* An instance in another availability zone holds a copy. From here it is accepted.
//! 4. *Claim.* A non-idempotent request needs the quorum's grant ([`claim`]).
//! 5. *Place and run.* The router names an upstream, the traffic threads run it ([`run`]), and the
//!    caller is served ([`caller`]) from the [`answer`] that they assemble.
//! 6. *Recovery.* A run that fails or whose upstream leaves is joined again, moved or resumed; when
//!    the owner is lost or stops, the second holder takes the request over under a higher epoch.
//! 7. *Retention.* The finished answer is kept at both for callers that come back.
//!
//! Instances speak [`message`] with each other. [`setup`] bounds time and memory. Nothing here does
//! input or output, reads a clock or draws a random number.

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
