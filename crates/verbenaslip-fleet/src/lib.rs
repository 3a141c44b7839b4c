//! Control of a fleet of forwarding entries, as pure state machines.
//!
//! A few instances with a data folder, the *cores*, keep the route table in a replicated log; all
//! other instances, the *entries*, forward requests and hold what they need in memory. Nothing here
//! opens a socket, reads a clock or touches a file: [`Core`] and [`Entry`] take the time and one
//! input and put out what is to be done.
//!
//! The parts follow each other like this:
//!
//! 1. [`sheet`] is the route table: routes, services, teams, limits of callers. [`index`] finds the
//!    route of a request and the team of a key in it.
//! 2. [`ledger`] is what the log holds: the newest route table with the operator's own document,
//!    and the closed windows of usage.
//! 3. [`registry`] holds the upstreams ([`upstream`]) that announce themselves, at the leader of the log;
//!    [`departure`] remembers at every instance which runs of them have said that they go. A core
//!    answers by itself what says nothing new, and vouches for its sender as [`voucher`] says.
//! 4. [`link`] keeps an instance in touch with the leader, or an entry with the core that [`parent`] names: a
//!    [`frame::Heartbeat`] four times a second, answered by a [`frame::Update`]; changes are pushed at once. What an
//!    instance has learnt by them is listed for its log in [`transition`], and a core keeps by which change in `history`.
//! 5. [`hub`] is the other side of that, at the leader and at the cores: who is there, what each has, and the time of
//!    day as the median of all clocks. [`quota`] lends the teams' limits to the entries, and [`limit`] has them share the
//!    limits that upstreams name.
//! 6. [`usage`] counts the requests that began in each window, and [`duty`] gives the cloud the
//!    orders that only one instance may give; [`plan`] says how many upstreams these ask for, by the
//!    [`load`] that the entries report.
//! 7. [`fingerprint`] stands for what a request asks for. Entries tell the leader, in an [`account`], of upstreams that
//!    ended while they ran requests; [`quarantine`] finds the requests that end them, which no entry sends on.
//! 8. [`rollout`] moves the traffic of a service to another version, and back if that one is worse.
//! 9. [`core`] composes a core and [`entry`] an entry.
//!
//! Messages may be lost, late, doubled or overtaken; every one of them can be sent again.

pub mod clock;
pub mod core;
pub mod crash_report;
pub(crate) mod delta_map;
pub mod departure;
pub mod entry;
pub mod fingerprint;
pub mod frame;
pub(crate) mod history;
pub mod hub;
pub mod index;
pub mod limit;
pub mod link;
pub mod load;
pub mod order;
pub mod parent;
pub mod plan;
pub mod quarantine;
pub mod quota;
pub mod registry;
pub mod replicated_state;
pub mod rollout;
pub mod route_table;
pub mod transition;
pub mod upstream;
pub mod usage;
pub mod view;
pub mod voucher;

pub use crate::core::Core;
pub use crate::entry::Entry;
pub use crate::view::View;
