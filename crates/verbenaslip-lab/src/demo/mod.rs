//! The whole system in one process, over real loopback sockets, for whoever wants to see it at work.
//!
//! [`place`] lays out keys, table and folders, [`cast`] starts the back ends, [`instance`] the entry
//! instances; [`stage`] holds them all. [`scene`] plays what is to be seen, with [`reader`] for the streamed answer and
//! [`edit`] for the table. [`summary`] writes the table at the end.

pub mod cast;
pub mod place;
pub mod stage;

mod edit;
mod instance;
mod reader;
mod scene;
mod summary;

pub use self::scene::run;
