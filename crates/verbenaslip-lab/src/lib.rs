//! Stand-ins for engines, services, cloud and weight store, and the callers' load tool.
//!
//! [`text`] makes the answers, known in advance to whoever knows the prompt. [`engine`] is a model
//! engine, [`service`] a plain service, [`cloud`] the cloud that starts and takes machines,
//! [`weights`] the weight store. Each runs on a thread of its own, takes faults while it runs and
//! tells what it really did. [`load`] calls verbenaslip as many callers would and compares every
//! answer with the expected text, and with the back ends' truth. [`contract`] holds the cases
//! that each interface must meet. [`demo`] shows all of it at work, [`port`] names ports for it,
//! and [`command`] is the command line.

pub mod cloud;
pub mod command;
pub mod contract;
pub mod demo;
pub mod engine;
pub mod load;
pub mod port;
pub mod service;
pub mod text;
pub mod weights;

pub(crate) mod http;
