//! Decisions under load: admission, limits, retries, routing, capacity.
//!
//! A request that arrives is held against its row's part of the limits ([`limit::Limiter`]) and
//! offered to the queue of its model ([`admit::Queue`]), which refuses at once what can't be on
//! time. When a slot is free the queue gives the next request, and [`route::Router`] chooses the
//! upstream by cost, lateness and cached prefix. A run that failed asks [`retry::Retries`] whether
//! it may run again; [`wave::Wave`] tells a reclaimed zone from single losses. [`plan::Planner`]
//! decides, on the leader only, which machines to start and to give back before the hour.
//! [`dispatch::Dispatcher`] puts all but the plan together for one instance.
//!
//! Everything here is a deterministic state machine: the time and a seeded generator are handed
//! in, nothing does input or output, and no input makes it panic.

pub mod admit;
pub mod dispatch;
pub mod estimate;
pub mod limit;
pub mod plan;
pub mod pool;
pub mod retry;
pub mod route;
pub mod row;
pub mod service_time;
pub mod zone_loss;
