//! The forwarding face: passes callers' requests on to upstreams and their answers back, byte for
//! byte.
//!
//! One request lives on one instance and is held nowhere else: a caller that tries again sends a new
//! request, which any instance may take. So at most once means here that the one instance that has
//! read a request sends it to one upstream at most, unless that upstream surely has not run it.
//!
//! The parts follow each other like this:
//!
//! 1. [`http`] reads and writes heads and bodies, strictly: what two readers could understand
//!    differently is refused.
//! 2. [`dialect`] is the port through which a deployment's header names become typed fields.
//! 3. [`board`] is what the control thread and the traffic thread share: the view of the fleet one
//!    way, counts the other.
//! 4. [`policy`] decides, without any I/O: what a team may still ask for, which upstream takes a
//!    request, whether it is better refused at once, and whether it may be tried again.
//! 5. [`forward`] leads one request through all of this, over kept connections to the upstreams.
//! 6. [`server`] accepts callers and drains before a stop.
//!
//! What happened goes out through [`journal`] as structured lines, and as metrics.

pub mod dialect;
pub mod event_log;
pub mod forward;
pub mod http;
pub mod monotonic;
pub mod policy;
pub mod server;
pub mod shared;
pub mod socket;

pub use server::Server;
