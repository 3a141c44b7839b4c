//! Forwards callers' requests to upstreams and passes the answers back unchanged.
//!
//! A request is held by one instance only. A caller that retries sends a new request, which any
//! instance may take. "At most once" therefore means that the instance that has read a request
//! sends it to at most one upstream, unless that upstream has certainly not run it.
//!
//! The modules in the order in which a request passes through them:
//!
//! 1. [`http`] reads and writes heads and bodies strictly and refuses anything that two readers
//!    could understand differently.
//! 2. [`dialect`] is the interface that maps a deployment's header names to typed fields.
//! 3. [`shared`] is the state that the control thread and the traffic thread share: the view of
//!    the fleet in one direction, counts in the other.
//! 4. [`policy`] makes the decisions without I/O: what a team may still use, which upstream takes
//!    a request, whether a request is refused at once, and whether it may be retried.
//! 5. [`forward`] takes one request through these steps over pooled connections to the upstreams.
//! 6. [`tunnel`] carries connections to upstreams through another entry, if the path of this one is
//!    cut.
//! 7. [`server`] accepts callers and drains before a stop.
//!
//! Events are written through [`event_log`] as structured lines, and as metrics.

pub mod dialect;
pub mod event_log;
pub mod forward;
pub mod http;
pub mod monotonic;
pub mod policy;
pub mod server;
pub mod shared;
pub mod socket;
pub mod tunnel;

pub use server::Server;
