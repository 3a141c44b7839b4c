//! One table of cases for each interface, to be run against whatever listens for it.
//!
//! The same table runs against the stand-in and against the adapter, so that neither drifts from the
//! interface. [`case`] holds the cases' form and runs them one after the other in their order.

pub mod announce;
pub mod callers;
pub mod case;
pub mod cloud;
pub mod engine;
pub mod service;
pub mod weights;
