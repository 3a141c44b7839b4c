//! The replicated state: table, claims, orders and audit trail, and how other instances follow it.
//!
//! The log passes every committed [`command::Command`] with its position to [`state::State`], which
//! is the same on every voter: [`history`] keeps the table and its authors, [`claim`] grants each
//! non-idempotent request to one attempt, [`order`] numbers the orders to upstreams, and [`audit`]
//! records who requested what. [`snapshot`] encodes the whole state as bytes and decodes it.
//!
//! Instances without the log follow the table through [`watch::Hub`]: it fetches a snapshot and the
//! changes after it, forwards both to other instances, and holds the table [`lease`] without which
//! an instance accepts no work. [`propagation`] tells the leader whether a revision is in force on
//! all instances. [`order::Dispatcher`] is the leader's side of orders: it sends them to upstreams
//! only where no order of an older leader can arrive after them.
//!
//! Nothing in this crate does I/O, reads a clock or generates random numbers.

pub mod audit;
pub mod claim;
pub mod command;
pub mod history;
pub mod lease;
pub mod order;
pub mod outcome;
pub mod propagation;
pub mod snapshot;
pub mod state;
pub mod watch;

pub use command::Command;
pub use outcome::Outcome;
pub use state::State;
