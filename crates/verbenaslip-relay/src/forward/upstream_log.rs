//! What the log says when an upstream asks for something in the head of its answer.

use std::time::Duration;

use serde_json::json;
use verbenaslip_fleet::limit::Limit;
use verbenaslip_fleet::registry::Run;

use crate::event_log::{self, Kind};

/// An upstream names another limit than before, or none any more.
const LIMIT: Kind = Kind { number: 943, name: "upstream_limit" };

/// An upstream has turned a request away and wants nothing from this entry for a while, or takes requests again.
const COOLDOWN: Kind = Kind { number: 945, name: "upstream_rest" };

/// Says in one line that an upstream asks for rest, by the answer to the request named, or takes requests again.
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

/// An upstream says in an answer that it is about to go.
const LEAVING: Kind = Kind { number: 946, name: "upstream_leaves" };

/// Says in one line that an upstream is about to go, by the answer to the request named.
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

/// Says in one line that a limit has changed, by the answer to the request named or by the leader's word.
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
