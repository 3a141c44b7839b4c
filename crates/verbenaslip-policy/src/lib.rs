//! Decides under load about admission, limits, retries, routing and capacity.
//!
//! A new request is checked against this instance's share of its row's limits ([`limit::Limiter`])
//! and offered to the queue of its model ([`admit::Queue`]). The queue refuses at once a request
//! that cannot meet its deadline. When a slot is free, the queue returns the next request, and
//! [`route::Router`] chooses the upstream by engine cost, lateness and cached prefix. After a
//! failed run, [`retry::RetryBudgets`] decides whether the request may run again, and
//! [`zone_loss::ZoneLosses`] distinguishes the loss of a whole zone from single losses.
//! [`plan::Planner`] runs on the leader only and decides which machines to start before the peak of
//! the hour and which to stop. [`dispatch::Dispatcher`] combines everything except the planner for
//! one instance.
//!
//! All types are deterministic state machines: the caller passes in the time and a seeded random
//! generator, nothing performs input or output, and no input causes a panic.

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
