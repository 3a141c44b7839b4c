//! What the replicated log holds: table, claims, orders, audit trail, and how others follow it.
//!
//! The log hands every committed [`command::Command`] with its position to [`state::State`], which
//! is the same on every voter: [`history`] keeps the table and who edited it, [`claim`] grants each
//! non-idempotent request to one attempt, [`order`] numbers what upstreams are told, and [`audit`]
//! notes who did what. [`snapshot`] writes the whole state as bytes and reads it back.
//!
//! Instances without the log follow the table through [`watch::Hub`]: it fetches a snapshot and the
//! changes after it, passes both on to other instances, and holds the table [`lease`] without which
//! an instance takes no work. [`force`] tells the leader whether a revision is in force everywhere.
//! [`order::Dispatcher`] is the leader's side of orders: it gives them to upstreams only where no
//! older leader's order can arrive after them.
//!
//! Nothing here does input or output, reads a clock or draws a random number.

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
