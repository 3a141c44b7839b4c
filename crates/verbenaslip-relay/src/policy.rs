//! Decisions of one entry, without I/O.
//!
//! [`allowance`] decides what a team may still use at this entry, [`retry`] whether a request may
//! be sent to another upstream, [`switching`] when it leaves a slow one, and [`placement`] which
//! upstream takes a request or whether it is refused at once. [`path`] tells which upstreams this
//! entry reaches only through other entries, and [`gateways`] chooses among those. `placement` uses the following
//! modules. [`upstream_state`] holds what is known of one upstream, with [`cache`], [`speed`] and
//! [`measured`], which the fleet shares; [`pace`] shows how fast an upstream is. [`restriction`]
//! holds what upstreams ask for in their answers: [`limiter`] keeps to an entry's share of an
//! upstream's rate limit, and [`cooldown`] to the time in which an upstream wants no requests.
//! [`brittleness`] divides the places of upstreams that must not refuse requests among the entries.
//! [`load_shedding`] refuses a share of a service's requests. [`returning`] tells callers that
//! retry from new ones. [`versions`] chooses the version of a service during a rollout, and
//! [`quarantine`] holds back poison requests. [`builds`] tells when all streams of a service are at
//! one software version, and [`reservation`] keeps room for those of a version that is replaced. [`waiting`] orders the requests that wait for an
//! upstream, and [`return_schedule`] tells refused callers when to retry. [`overload`] tells when an
//! entry has more connections than it can serve, [`body_memory`] whether a request's body fits, and [`demand`] when it gets more requests than usual.

pub mod allowance;
pub mod body_memory;
pub mod brittleness;
pub mod builds;
pub mod cache;
pub mod cooldown;
pub mod demand;
pub mod gateways;
pub mod limiter;
pub(crate) mod load_shedding;
pub(crate) mod measured;
pub mod overload;
pub mod pace;
pub mod path;
pub mod placement;
pub mod quarantine;
pub mod reservation;
pub mod restriction;
pub mod retry;
pub mod return_schedule;
pub mod returning;
pub mod speed;
pub mod switching;
pub mod upstream_state;
pub mod versions;
pub mod waiting;
