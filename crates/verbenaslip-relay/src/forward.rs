//! One request from its caller to an upstream and back.
//!
//! [`job`] finds who asks and which route a request takes. [`life`] leads it: whether it
//! is tried again, what its caller gets; [`upstream_choice`] says where it goes. [`forwarded`] writes it for an upstream, [`exchange`] sends it to
//! one upstream and takes the head of the answer; [`delivery`] passes the answer on, and for a resumable
//! stream goes on where another upstream broke off. [`leave`] says when a silent upstream is left, [`crash`]
//! looks whether one that broke off has ended.
//! [`notice`] logs what an upstream asks for in the head of its answer.
//! [`pool`] keeps the connections, [`events`] finds the ends of events, [`answer`] writes answers of
//! this instance's own.

pub mod admission;
pub mod answer;
pub mod context;
pub(crate) mod crash;
pub mod delivery;
pub mod events;
pub mod exchange;
pub(crate) mod failover;
pub mod lifecycle;
pub mod pool;
pub mod request_log;
pub(crate) mod upstream_choice;
pub(crate) mod upstream_log;
pub mod upstream_request;

pub use context::Context;
