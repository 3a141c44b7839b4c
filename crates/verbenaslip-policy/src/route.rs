//! The choice of an upstream for a request.
//!
//! A [`Router`] keeps for each upstream its newest announcement, what this instance has sent there
//! since, how fast it was ([`Latency`]), and which prompt blocks it is thought to have cached
//! ([`Cache`]). A score sums the price of the engine time, the price of being late, and the price
//! of computing cached tokens again; the choice is drawn between two of the best, so that
//! instances that see the same old reports do not all pick the same upstream.

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
