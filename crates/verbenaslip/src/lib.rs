//! Adapters, settings, log events and threads around the decisions.

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
