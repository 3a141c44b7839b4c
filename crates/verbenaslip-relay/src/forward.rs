//! Takes one request from its caller to an upstream and back.
//!
//! [`intake`] reads a request if there is memory for its body. [`admission`] determines the team and
//! the route of a request. [`lifecycle`] runs the request: whether it is retried, and what its caller
//! gets. [`queue`] holds it while no upstream accepts it, and [`place`] while this entry has no place
//! at a brittle one, and [`upstream_choice`] selects the upstream. [`origin`] keeps streams that are taken up at the
//! software version that began them.
//! [`upstream_request`] writes the request for an upstream, [`exchange`] sends it over a connection
//! that [`dial`] opens, and reads the head of the answer. [`delivery`] passes the answer on and, for a resumable stream, continues
//! where another upstream broke off. [`failover`] states when a request leaves an unresponsive
//! upstream, and [`crash`] checks whether an upstream that broke off has crashed. [`upstream_log`]
//! logs what an upstream asks for in the head of its answer, and [`path_log`] when paths to
//! upstreams are lost. [`pool`] keeps connections,
//! [`events`] finds the ends of events, [`event_memory`] bounds what is held of them, [`answer`] writes answers that this instance makes itself,
//! and [`request_log`] logs each request.

pub mod admission;
pub mod answer;
pub mod context;
pub(crate) mod crash;
pub mod delivery;
pub(crate) mod dial;
pub mod event_memory;
pub mod events;
pub mod exchange;
pub(crate) mod failover;
pub(crate) mod intake;
pub mod lifecycle;
pub(crate) mod origin;
pub(crate) mod path_log;
pub(crate) mod place;
pub mod pool;
pub(crate) mod queue;
pub mod request_log;
pub(crate) mod upstream_choice;
pub(crate) mod upstream_log;
pub mod upstream_request;

pub use context::Context;
