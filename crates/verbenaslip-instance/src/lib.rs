//! Runs one instance of a fleet: settings, sockets, storage and threads.
//!
//! [`settings`] reads the settings file. [`Instance::open`] reads the settings of an instance, and
//! [`Instance::run`] starts it in the configured role: an [`entry`] forwards requests, and a [`core`] votes on the
//! replicated log and answers operators and upstreams. Each role runs its state machine on one control thread and
//! exchanges frames with other instances over [`links`]. A core handles incoming messages in the order of
//! [`priority_inbox`]. The traffic of an entry and the storage of a core ([`disk`]) have threads of their own.
//! [`stop`] computes the phases of an entry's planned stop.
//!
//! Names and formats of a deployment are supplied by adapters: the relay's `Dialect` for requests,
//! [`control::Codec`] for calls of operators and upstreams, and [`cloud::Codec`] for orders to the cloud.

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
