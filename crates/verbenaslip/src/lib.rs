//! Adapters, settings, log events and threads around the decisions.

pub mod event;
pub mod keys;
pub mod metric;
pub mod settings;
