//! The whole system in one process, over real loopback sockets, for whoever wants to see it at work.
//!
//! [`layout`] lays out keys, table and folders, [`back_ends`] starts the back ends, [`instance`] the entry
//! instances; [`system`] holds them all. [`script`] plays what is to be seen, with [`reader`] for the streamed answer and
//! [`edit`] for the table. [`summary`] writes the table at the end.

pub mod back_end;
pub mod layout;
pub mod system;

mod edit;
mod instance;
mod reader;
mod script;
mod summary;

pub use self::script::run;
