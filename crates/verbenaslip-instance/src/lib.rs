//! One instance of a fleet as a running whole: settings, sockets, disk, threads.
//!
//! [`settings`] says who the instance is. [`Instance::open`] starts what it is set to be: an
//! [`entry`] forwards requests, a [`core`] votes on the replicated log and answers operators and
//! upstreams. Both own their decisions on one control thread and speak with the other instances
//! over [`links`]; a core takes what has come in the order of [`priority_inbox`]; an entry's traffic has a thread of its own, a core's disk too ([`disk`]). [`stop`]
//! says how far an entry's planned stop is.
//!
//! Whatever knows a deployment's names and formats comes in through ports: the relay's
//! `Dialect` for requests, [`control::Codec`] for calls of operators and upstreams, [`cloud::Codec`]
//! for orders to the cloud.

pub mod cloud;
pub mod control;
pub mod core;
pub mod disk;
pub mod entry;
mod event;
pub mod instance;
pub mod links;
mod load;
pub mod logging;
pub mod metric;
pub mod priority_inbox;
pub mod settings;
pub mod signal;
pub mod stop;

pub use instance::Instance;
pub use settings::Settings;
