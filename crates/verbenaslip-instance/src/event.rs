//! Kinds of log lines that an instance writes beside those of requests; the catalogue is docs/EVENTS.md.

use verbenaslip_relay::event_log::Kind;

/// The process has read its settings and begins to work.
pub(crate) const STARTED: Kind = Kind { number: 900, name: "started" };
/// The settings file was read again.
pub(crate) const RELOADED: Kind = Kind { number: 902, name: "settings_reloaded" };
/// A planned stop has begun.
pub(crate) const STOPPING: Kind = Kind { number: 903, name: "stopping" };
/// An entry ends; what is still active is cut off.
pub(crate) const DRAINED: Kind = Kind { number: 904, name: "drained" };
/// An entry has newer routes or upstreams.
pub(crate) const VIEW_CHANGED: Kind = Kind { number: 905, name: "view_changed" };
/// An entry has not heard the leader for a while.
pub(crate) const LEADER_LOST: Kind = Kind { number: 906, name: "leader_lost" };
/// An entry hears a leader again.
pub(crate) const LEADER_FOUND: Kind = Kind { number: 907, name: "leader_back" };
/// Metrics can't be served; the process works on without them.
pub(crate) const METRICS_UNAVAILABLE: Kind = Kind { number: 908, name: "no_metrics" };
/// The process ends.
pub(crate) const STOPPED: Kind = Kind { number: 909, name: "stopped" };
/// A core follows, stands for election, or leads.
pub(crate) const ROLE: Kind = Kind { number: 910, name: "log_role" };
/// A route table is committed.
pub(crate) const ROUTE_TABLE_COMMITTED: Kind = Kind { number: 911, name: "routes_in_force" };
/// What the leader knows of an upstream has changed.
pub(crate) const UPSTREAM_CHANGED: Kind = Kind { number: 912, name: "upstream_changed" };
/// An upstream said that it goes.
pub(crate) const UPSTREAM_WITHDRAWN: Kind = Kind { number: 913, name: "upstream_withdrawn" };
/// An announcement was passed over, since what is known is newer.
pub(crate) const STALE_ANNOUNCEMENT: Kind = Kind { number: 931, name: "announcement_late" };
/// That an upstream goes was acknowledged.
pub(crate) const DEPARTURE_ACKNOWLEDGED: Kind = Kind { number: 932, name: "leaving_acknowledged" };
/// A core begins to lead, with what it knows of upstreams.
pub(crate) const LEADERSHIP_STARTED: Kind = Kind { number: 933, name: "lead_begun" };
/// The lease by which a core led has lapsed.
pub(crate) const LEASE_LOST: Kind = Kind { number: 934, name: "lead_lapsed" };
/// A core has the lease of the same term again.
pub(crate) const LEADERSHIP_RESUMED: Kind = Kind { number: 935, name: "lead_resumed" };
/// Upstreams have ended under a request, one after the other; entries watch for answers to it.
pub(crate) const REQUEST_SUSPECTED: Kind = Kind { number: 937, name: "request_suspected" };
/// A request that ends upstreams is held back.
pub(crate) const REQUEST_QUARANTINED: Kind = Kind { number: 938, name: "request_held_back" };
/// A request is no longer suspected or held back.
pub(crate) const QUARANTINE_CLEARED: Kind = Kind { number: 939, name: "request_cleared" };
/// An entry may let one request through again.
pub(crate) const TRIAL_OFFERED: Kind = Kind { number: 940, name: "request_let_through" };
/// The candidate of a roll-out gets another part of the requests.
pub(crate) const ROLLOUT_STAGE: Kind = Kind { number: 941, name: "rollout_stage" };
/// A roll-out was decided.
pub(crate) const ROLLOUT_DECIDED: Kind = Kind { number: 942, name: "rollout_decided" };
/// The leader has learnt of another limit that an upstream names.
pub(crate) const LIMIT_CHANGED: Kind = Kind { number: 944, name: "limit_shared" };
/// What the leader had to do in a second.
pub(crate) const LEADER_LOAD: Kind = Kind { number: 947, name: "lead_load" };
/// The voters are changed.
pub(crate) const VOTERS_CHANGED: Kind = Kind { number: 914, name: "voters_changing" };
/// The counts of a window are final.
pub(crate) const WINDOW_CLOSED: Kind = Kind { number: 915, name: "usage_closed" };
/// A call had no sure answer in time.
pub(crate) const CALL_TIMED_OUT: Kind = Kind { number: 916, name: "call_unsure" };
/// The log holds what this version can't read.
pub(crate) const LOG_UNREADABLE: Kind = Kind { number: 917, name: "log_unreadable" };
/// An announcement names a service that no route table knows, in the place of an upstream that serves.
pub(crate) const UNKNOWN_SERVICE: Kind = Kind { number: 918, name: "announcement_foreign" };
/// A call of an operator or an upstream can't be read.
pub(crate) const CALL_REFUSED: Kind = Kind { number: 919, name: "call_refused" };
/// A write failed.
pub(crate) const DISK_FAILED: Kind = Kind { number: 920, name: "disk_failed" };
/// The folder is open again.
pub(crate) const DISK_REOPENED: Kind = Kind { number: 921, name: "disk_opened" };
/// Other counts of a service's upstreams are ordered; the orders follow.
pub(crate) const SCALING_PLANNED: Kind = Kind { number: 929, name: "upstreams_planned" };
/// An order was given to the cloud, or was void before it was.
pub(crate) const CLOUD_ORDERED: Kind = Kind { number: 930, name: "cloud_ordered" };
