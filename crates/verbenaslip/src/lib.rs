//! Adapters, settings, log events and threads around the decisions.
//!
//! [`Server`] runs one instance. It reads [`settings`] and [`keys`], opens the data folder, binds the
//! three addresses and starts the threads; the control thread (`control`) owns the decisions,
//! [`verbenaslip_node::Node`], and carries between them and all others:
//!
//! - [`traffic`] serves callers and runs requests at upstreams. Token text stays there; the control
//!   thread sees starts, ends, stalls and counts.
//! - [`peers`] carries messages between instances: datagrams, and frames over kept connections.
//! - [`admin`] takes operators' calls, upstreams' announcements and probes.
//! - [`cloud`] speaks with the platform and the weight store.
//!
//! What happened goes out as numbered log events ([`event`]) and metrics ([`metric`]).
//!
//! An adapter translates between a protocol and typed messages and decides nothing: whether, where
//! and how often a request runs is decided by the node alone, so that a test can step it by hand.

pub mod admin;
pub mod cloud;
mod control;
pub mod event;
pub mod keys;
pub mod metric;
pub mod peers;
pub mod server;
pub mod settings;
pub mod traffic;

pub use server::Server;
