//! Control plane of a fleet of request forwarders, written as pure state machines.
//!
//! A few instances with a data directory, the *cores*, keep the route table in a replicated log.
//! All other instances, the *entries*, forward requests and keep their state in memory. The crate
//! opens no socket, reads no clock and touches no file: [`Core`] and [`Entry`] take the current
//! time and one input, and return the outputs that the driver must carry out.
//!
//! The modules build on each other in this order:
//!
//! 1. [`route_table`] defines routes, services, teams and their limits. [`index`] finds the route
//!    of a request and the team of an API key.
//! 2. [`replicated_state`] is the state machine that the log drives: the current route table with
//!    the operator's document, and the closed usage windows.
//! 3. [`registry`] holds the announced upstreams ([`upstream`]) at the leader. [`departure`]
//!    remembers at every instance which runs have announced their departure. A core answers
//!    unchanged announcements itself and vouches for their senders, as [`voucher`] describes.
//! 4. [`link`] connects an instance to the leader, or an entry to the parent core that [`parent`]
//!    chooses. It sends a [`frame::Heartbeat`] four times a second and receives a
//!    [`frame::Update`]; changes are also pushed immediately. [`transition`] lists the resulting
//!    status changes for the event log, and `history` records with which change a core learned of
//!    each upstream.
//! 5. [`hub`] is the other side of `link`, at the leader and at the cores: it tracks what each
//!    subscriber has acknowledged, and takes the median of all clocks as the time of day.
//!    [`quota`] grants loans on the teams' rate limits, and [`limit`] shares the rate limits that
//!    upstreams request.
//! 6. [`usage`] counts requests per window. [`order`] issues the orders that only one instance may
//!    give to the cloud. [`plan`] calculates how many upstreams to order from the [`load`] that
//!    entries report.
//! 7. [`fingerprint`] identifies the content of a request. Entries send a [`crash_report`] to the
//!    leader when upstreams crash during requests. [`quarantine`] finds the poison requests, which
//!    entries then no longer forward.
//! 8. [`rollout`] moves the traffic of a service to a new version, and back if that version is
//!    worse.
//! 9. [`measurement`] holds what all entries together have measured at the upstreams.
//! 10. [`gateway`] tells entries through which others they reach upstreams if their own paths are
//!     cut.
//! 11. [`origin`] remembers at which software version streams began.
//! 12. [`version_history`] tells when each software version of each service came and left.
//! 13. [`core`] and [`entry`] compose these parts.
//!
//! Messages may be lost, delayed, duplicated or reordered; each of them can be sent again.

pub mod clock;
pub mod core;
pub mod crash_report;
pub(crate) mod delta_map;
pub mod departure;
pub mod entry;
pub mod fingerprint;
pub mod frame;
pub mod gateway;
pub(crate) mod history;
pub mod hub;
pub mod index;
pub mod limit;
pub mod link;
pub mod load;
pub mod measurement;
pub mod order;
pub mod origin;
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
pub mod version_history;
pub mod view;
pub mod voucher;

pub use crate::core::Core;
pub use crate::entry::Entry;
pub use crate::view::View;
