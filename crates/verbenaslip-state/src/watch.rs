//! Distribution of the table and of leases to every instance.
//!
//! The voters have the table from the log. Every other instance requests a lease from a
//! [`publisher`] once a second and receives, with the grant, the changes that it lacks. Its
//! [`follower`] chooses the publisher, fetches a snapshot if the changes no longer reach back far
//! enough, and applies the changes in order. An instance that holds a lease also publishes, to a
//! bounded number of followers, so the leader and the voters serve only a few instances directly.
//! The instances form a tree whose inner nodes grant what remains of their own lease. [`window`]
//! holds the table and its newest changes, and [`hub`] combines the parts of one instance.

pub mod follower;
pub mod hub;
pub mod message;
pub mod publisher;
pub mod window;

pub use follower::Follower;
pub use hub::{Hub, Input, Output};
pub use message::{Message, Peer};
pub use publisher::Publisher;
pub use window::Window;
