//! Chooses an upstream for each request.
//!
//! A [`Router`] tracks for each upstream its newest announcement, the requests that this instance
//! has sent since, its measured speed ([`Latency`]), and the prompt blocks that it probably has
//! cached ([`CacheIndex`]). A score adds up the price of the engine time, the price of lateness and
//! the price of computing tokens that are not cached. The choice is made randomly among the best
//! upstreams, so that instances that see the same load reports do not all choose the same upstream.

mod cache;
mod engine;
mod health;
mod latency;
mod router;
mod score;

pub use self::cache::{CacheBatch, CacheEvent, CacheIndex};
pub use self::health::Health;
pub use self::latency::Latency;
pub use self::router::{Choice, Loss, RouteQuery, Router};
