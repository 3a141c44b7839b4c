//! The whole system in one process, over real loopback sockets, for whoever wants to see it at work.
//!
//! [`place`] lays out keys, table and folders, [`cast`] starts the back ends, [`instance`] the entry
//! instances. [`scene`] plays what is to be seen, with [`reader`] for the streamed answer and
//! [`edit`] for the table. [`summary`] writes the table at the end.

mod cast;
mod edit;
mod instance;
mod place;
mod reader;
mod scene;
mod summary;

pub use self::scene::run;
