//! Kinds of events that an instance writes to its log in addition to those of requests; docs/EVENTS.md lists all
//! kinds.

use verbenaslip_relay::event_log::Kind;

/// The process has read its settings and starts to work.
pub(crate) const STARTED: Kind = Kind { number: 900, name: "started" };
/// The settings file has been read again.
pub(crate) const RELOADED: Kind = Kind { number: 902, name: "settings_reloaded" };
/// A planned stop has begun.
pub(crate) const STOPPING: Kind = Kind { number: 903, name: "stopping" };
/// An entry ends its planned stop; requests that are still active are aborted.
pub(crate) const DRAINED: Kind = Kind { number: 904, name: "drained" };
/// An entry has received newer routes or upstreams.
pub(crate) const VIEW_CHANGED: Kind = Kind { number: 905, name: "view_changed" };
/// An entry has received nothing from the leader for some time.
pub(crate) const LEADER_LOST: Kind = Kind { number: 906, name: "leader_lost" };
/// An entry receives updates from a leader again.
pub(crate) const LEADER_FOUND: Kind = Kind { number: 907, name: "leader_back" };
/// Metrics can't be served; the process continues without them.
pub(crate) const METRICS_UNAVAILABLE: Kind = Kind { number: 908, name: "no_metrics" };
/// The process ends.
pub(crate) const STOPPED: Kind = Kind { number: 909, name: "stopped" };
/// A core has become follower, candidate or leader.
pub(crate) const ROLE: Kind = Kind { number: 910, name: "log_role" };
/// A route table has been committed.
pub(crate) const ROUTE_TABLE_COMMITTED: Kind = Kind { number: 911, name: "routes_in_force" };
/// The caller of an edit has been told that a route table is in force.
pub(crate) const EDIT_ANSWERED: Kind = Kind { number: 960, name: "edit_answered" };
/// The leader's record of an upstream has changed.
pub(crate) const UPSTREAM_CHANGED: Kind = Kind { number: 912, name: "upstream_changed" };
/// An upstream has announced its departure.
pub(crate) const UPSTREAM_WITHDRAWN: Kind = Kind { number: 913, name: "upstream_withdrawn" };
/// An announcement has been ignored, since a newer one is known.
pub(crate) const STALE_ANNOUNCEMENT: Kind = Kind { number: 931, name: "announcement_late" };
/// The departure of an upstream has been acknowledged.
pub(crate) const DEPARTURE_ACKNOWLEDGED: Kind = Kind { number: 932, name: "leaving_acknowledged" };
/// A core has become leader, with the upstreams that it knows.
pub(crate) const LEADERSHIP_STARTED: Kind = Kind { number: 933, name: "lead_begun" };
/// The lease of a leader has expired.
pub(crate) const LEASE_LOST: Kind = Kind { number: 934, name: "lead_lapsed" };
/// A leader has regained its lease in the same term.
pub(crate) const LEADERSHIP_RESUMED: Kind = Kind { number: 935, name: "lead_resumed" };
/// Several upstreams in a row have crashed under a request; entries report answers to it.
pub(crate) const REQUEST_SUSPECTED: Kind = Kind { number: 937, name: "request_suspected" };
/// A request that crashes upstreams has been quarantined.
pub(crate) const REQUEST_QUARANTINED: Kind = Kind { number: 938, name: "request_held_back" };
/// A request is no longer suspected or quarantined.
pub(crate) const QUARANTINE_CLEARED: Kind = Kind { number: 939, name: "request_cleared" };
/// An entry has been allowed to try a quarantined request once.
pub(crate) const TRIAL_OFFERED: Kind = Kind { number: 940, name: "request_let_through" };
/// The share of requests that the candidate version of a rollout gets has changed.
pub(crate) const ROLLOUT_STAGE: Kind = Kind { number: 941, name: "rollout_stage" };
/// A rollout has been decided.
pub(crate) const ROLLOUT_DECIDED: Kind = Kind { number: 942, name: "rollout_decided" };
/// The leader has learned of a changed rate limit of an upstream.
pub(crate) const LIMIT_CHANGED: Kind = Kind { number: 944, name: "limit_shared" };
/// The work of the leader during one second.
pub(crate) const LEADER_LOAD: Kind = Kind { number: 947, name: "lead_load" };
/// What all entries together measure at the upstreams of a service.
pub(crate) const UPSTREAM_FIGURES: Kind = Kind { number: 951, name: "upstream_figures" };
/// The set of voters is being changed.
pub(crate) const VOTERS_CHANGED: Kind = Kind { number: 914, name: "voters_changing" };
/// The counts of a usage window are final.
pub(crate) const WINDOW_CLOSED: Kind = Kind { number: 915, name: "usage_closed" };
/// A call got no definite answer in time.
pub(crate) const CALL_TIMED_OUT: Kind = Kind { number: 916, name: "call_unsure" };
/// The log contains a log entry that this version can't read.
pub(crate) const LOG_UNREADABLE: Kind = Kind { number: 917, name: "log_unreadable" };
/// An announcement of an upstream that is in service names a service that is in no route table.
pub(crate) const UNKNOWN_SERVICE: Kind = Kind { number: 918, name: "announcement_foreign" };
/// A call of an operator or an upstream can't be read.
pub(crate) const CALL_REFUSED: Kind = Kind { number: 919, name: "call_refused" };
/// A write to the data directory, or reopening it, has failed.
pub(crate) const DISK_FAILED: Kind = Kind { number: 920, name: "disk_failed" };
/// The data directory has been reopened.
pub(crate) const DISK_REOPENED: Kind = Kind { number: 921, name: "disk_opened" };
/// A different number of upstreams has been planned for a service; the orders follow.
pub(crate) const SCALING_PLANNED: Kind = Kind { number: 929, name: "upstreams_planned" };
/// A core has no room for the origins of streams; taking up these streams fails.
pub(crate) const ORIGINS_LOST: Kind = Kind { number: 957, name: "origins_lost" };
/// A core that has started has copied what others know of the origins of streams, or could not.
pub(crate) const ORIGINS_COPIED: Kind = Kind { number: 962, name: "origins_copied" };
/// An order has been sent to the cloud, or had expired before it could be sent.
pub(crate) const CLOUD_ORDERED: Kind = Kind { number: 930, name: "cloud_ordered" };
