//! How the table reaches every instance and how leases pass along the same ways.
//!
//! The voters have the table from the log. Every other instance asks a [`publisher`] for a lease
//! once a second and receives, with it, the changes that it lacks: it is the [`follower`]'s job to
//! choose the publisher, fetch a snapshot where changes no longer reach, and apply the rest in
//! order. An instance that holds a lease publishes too, to a fixed number of others, so that the
//! leader and the voters serve a few instances however many there are: a tree grows, whose inner
//! instances pass on the rest of their own lease. [`window`] holds the table with the newest
//! changes, and [`hub`] puts the parts of one instance together.

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
