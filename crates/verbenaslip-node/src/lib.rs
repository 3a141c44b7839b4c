//! All decisions of one instance, composed to one state machine.
//!
//! [`Node`] holds the parts and hands on what one says to the others; it is the single public face
//! of the decisions. A driver gives it the time and an [`input::Input`] and carries out its
//! [`output::Output`]s; any driver will do, a daemon or a test that steps several instances by hand.
//!
//! The parts follow each other like this:
//!
//! - `members` has the membership and the registry of upstreams tell requests, policy and watch who
//!   is there.
//! - `lead` has the replicated log (`voter`) commit commands of every instance (`proposal`), and
//!   the watch publish the table that they lead to.
//! - `serve` leads one request through admission, journal, claim, routing, retries and moves.
//! - `orders` gives upstreams the leader's orders, and `capacity` plans for the hour to come.
//! - `calls` answers operators, `edits` follows an edit until it is in force everywhere, `query` asks
//!   voters for what only they hold, and `status` is what operators are shown.
//! - `stop` ends the instance without cutting off anything.
//! - `report` is what an instance tells its neighbours once a second.

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
