//! Log lines about what an upstream asks for in the head of its answer.

use std::time::Duration;

use serde_json::json;
use verbenaslip_fleet::limit::Limit;
use verbenaslip_fleet::registry::Run;

use crate::event_log::{self, Kind};

/// An upstream states a different rate limit than before, or none any more.
const LIMIT: Kind = Kind { number: 943, name: "upstream_limit" };

/// An upstream has refused a request and wants no requests from this entry for a while, or it
/// takes requests again.
const COOLDOWN: Kind = Kind { number: 945, name: "upstream_rest" };

/// Logs that an upstream asks for a cooldown, in its answer to the request `id`, or that it takes
/// requests again.
pub fn log_cooldown(run: &Run, cooldown: Option<Duration>, id: &str) {
    if cooldown.is_some() {
        metrics::counter!("verbenaslip_upstream_rests_total").increment(1);
    }
    event_log::emit(
        COOLDOWN,
        [
            ("upstream", json!(run.upstream.as_str())),
            ("incarnation", json!(run.incarnation)),
            ("rest_ms", json!(cooldown.map(|cooldown| cooldown.as_millis()))),
            ("id", json!(id)),
        ],
    );
}

/// An upstream announces its departure in an answer.
const LEAVING: Kind = Kind { number: 946, name: "upstream_leaves" };

/// Logs that an upstream has announced its departure in its answer to the request `id`.
pub fn log_departure(run: &Run, id: &str) {
    event_log::emit(
        LEAVING,
        [
            ("upstream", json!(run.upstream.as_str())),
            ("incarnation", json!(run.incarnation)),
            ("id", json!(id)),
        ],
    );
}

/// Logs that a rate limit has changed: through the answer to the request `id`, or through the
/// leader if there is no `id`.
pub fn log_limit(run: &Run, limit: Limit, id: Option<&str>) {
    let source = if id.is_some() { "answer" } else { "leader" };
    metrics::counter!("verbenaslip_upstream_limits_total", "source" => source).increment(1);
    event_log::emit(
        LIMIT,
        [
            ("upstream", json!(run.upstream.as_str())),
            ("incarnation", json!(run.incarnation)),
            ("per_second", json!(limit.rate)),
            ("answered", json!(limit.reported_at_ms)),
            ("source", json!(source)),
            ("id", json!(id)),
        ],
    );
}

/// The upstreams of a service have become brittle, or are no longer.
const BRITTLE: Kind = Kind { number: 956, name: "service_brittle" };

/// Logs that an upstream has stated in its answer to the request `id` that it crashes if it refuses
/// more than `limit` requests in a second, or that it has not stated so any more.
pub fn log_brittle(service: &str, run: &Run, limit: Option<u32>, id: &str) {
    if limit.is_some() {
        metrics::counter!("verbenaslip_services_brittle_total").increment(1);
    }
    event_log::emit(
        BRITTLE,
        [
            ("service", json!(service)),
            ("upstream", json!(run.upstream.as_str())),
            ("refusals_per_second", json!(limit)),
            ("id", json!(id)),
        ],
    );
}
