//! One instance as a single state machine.
//!
//! [`Node`] combines the components of an instance and passes the outputs of each to the others. A
//! driver gives it the time and an [`input::Input`] and carries out its [`output::Output`]s. The
//! driver can be a daemon or a test that steps several instances by hand.
//!
//! The modules have these tasks:
//!
//! - `members` reports instances and upstreams to the request, policy and watch components.
//! - `lead` commits the commands of every instance (`proposal`) through the replicated log
//!   (`voter`) and lets the watch component publish the resulting table.
//! - `serve` takes a request through admission, journal, claim, routing, retries and moves.
//! - `orders` sends the leader's orders to upstreams, and `capacity` plans for the next hour.
//! - `calls` answers operators, `edits` follows an edit until it is in force everywhere, `query`
//!   asks voters for data that only they have, and `status` is the status for operators.
//! - `stop` stops the instance without interrupting requests.
//! - `report` is the report that an instance sends to the others once per second.

pub mod capacity;
pub mod input;
pub mod message;
pub mod notice;
pub mod operator;
pub mod output;
pub mod setup;
pub mod status;

mod calls;
mod edits;
mod lead;
mod members;
mod millis;
mod node;
mod orders;
mod proposal;
mod query;
mod report;
mod serve;
mod stop;
mod voter;

pub use input::Input;
pub use message::Message;
pub use node::Node;
pub use output::Output;
pub use setup::Setup;
