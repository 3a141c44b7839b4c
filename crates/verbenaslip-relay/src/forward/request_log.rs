//! What the log says of a request.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;
use verbenaslip_base::name::{Team, Upstream};
use verbenaslip_fleet::rollout::{Cohort, Plan};
use verbenaslip_fleet::route_table::TeamConfig;
use verbenaslip_fleet::view::{Version, View};

use crate::event_log::{self, Kind};
use crate::forward::admission::AdmittedRequest;
use crate::monotonic;

/// One line a request, with what decided it.
const REQUEST_ENDED: Kind = Kind { number: 901, name: "request_ended" };

/// Collects what the log line says of a request.
#[derive(Debug, Default)]
pub struct Trace {
    /// The upstreams that got it, in order.
    pub attempts: Vec<Attempt>,
    /// By whose word it was admitted, or its last upstream chosen.
    pub view_info: ViewInfo,
    /// Why each try ended without an answer.
    pub causes: Vec<&'static str>,
    /// The status of the final answer.
    pub status: u16,
    /// What became of it.
    pub outcome: &'static str,
    /// When the first event, or byte of the body, was expected at the last upstream tried, in
    /// milliseconds from when it was sent there.
    pub expected_ms: f64,
    /// By how much later than that first events came lately, in milliseconds.
    pub lag_ms: f64,
    /// The requests a second that the last upstream takes from all entries, if that is limited.
    pub rate_limit: Option<f64>,
    /// The share of such requests that its service admits, if it was refused by that.
    pub admitted_share: Option<f64>,
    /// When it came, from when the request had arrived.
    pub first_piece_after: Option<Duration>,
    /// When the caller was told to come back.
    pub retry_after: Option<Duration>,
    /// The part of the last upstream in a roll-out, if it is of the candidate version.
    pub cohort: Option<Cohort>,
    /// The version of the last upstream.
    pub version: Option<Arc<str>>,
    /// The longest pause between two pieces of the answer.
    pub longest_pause: Duration,
}

/// Says where a request was sent.
#[derive(Debug)]
pub struct Attempt {
    /// The upstream.
    pub upstream: Upstream,
    /// When, from when the request had arrived.
    pub sent_after: Duration,
}

/// Says by whose word something was decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewInfo {
    /// How new the list of upstreams was.
    version: Version,
    /// How long before the leader had been heard.
    leader_silence: Option<Duration>,
}

impl ViewInfo {
    /// Notes what a decision goes by that is made now.
    pub fn of(view: &View) -> Self {
        let leader_silence =
            view.leader_heard_at.map(|heard| monotonic::now().saturating_sub(heard));
        Self { version: view.version, leader_silence }
    }
}

/// Says in one line how a request ended and what decided it.
pub fn log_request(
    view: &View,
    id: &str,
    request: Option<&AdmittedRequest<'_>>,
    trace: &Trace,
    arrived: Instant,
) {
    let duration = arrived.elapsed();
    let route = request.map_or("", |request| &*request.route.name);
    let outcome = if trace.outcome.is_empty() { "cut" } else { trace.outcome };
    metrics::counter!("verbenaslip_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("verbenaslip_request_seconds", "route" => route.to_owned())
        .record(duration.as_secs_f64());
    let ViewInfo { version, leader_silence } = trace.view_info;
    let team = request.and_then(|request| request.team).map(|team: &TeamConfig| &team.name);
    let sent: Vec<&str> = trace.attempts.iter().map(|attempt| attempt.upstream.as_str()).collect();
    let sent_after: Vec<u128> =
        trace.attempts.iter().map(|attempt| attempt.sent_after.as_millis()).collect();
    let fields = [
        ("id", json!(id)),
        ("route", json!(route)),
        ("team", json!(team.map(Team::as_str))),
        (
            "content",
            json!(request.and_then(|request| request.fingerprint).map(|it| it.to_string())),
        ),
        ("outcome", json!(outcome)),
        ("status", json!(trace.status)),
        ("ms", json!(duration.as_millis())),
        ("upstreams", json!(sent)),
        ("sent_ms", json!(sent_after)),
        ("term", json!(version.term)),
        ("change", json!(version.change)),
        ("causes", json!(trace.causes)),
        ("objective_ms", json!(request.map(|request| request.route.objective.as_millis()))),
        (
            "patience_ms",
            json!(request.and_then(|request| request.info.caller_timeout).map(|it| it.as_millis())),
        ),
        ("rank", json!(request.map(|request| request.rank))),
        ("waited", json!(request.is_some_and(|request| request.returning))),
        ("expected_ms", json!(trace.expected_ms.round())),
        ("lag_ms", json!(trace.lag_ms.round())),
        ("admitted_share", json!(trace.admitted_share)),
        ("limit", json!(trace.rate_limit)),
        ("first_ms", json!(trace.first_piece_after.map(|first| first.as_millis()))),
        ("back_ms", json!(trace.retry_after.map(|back| back.as_millis()))),
        ("pause_ms", json!(trace.longest_pause.as_millis())),
        ("cohort", json!(trace.cohort.map(|it| format!("{it:?}")))),
        ("version", json!(rollout_plan(view, request).and(trace.version.as_ref()))),
        ("revision", json!(view.revision())),
        ("view_age_ms", json!(leader_silence.map(|leader_silence| leader_silence.as_millis()))),
    ];
    event_log::emit(REQUEST_ENDED, fields.into_iter().filter(|(_, value)| is_informative(value)));
}

/// Returns the plan of a roll-out of the request's service, if there is one.
fn rollout_plan<'a>(view: &'a View, request: Option<&AdmittedRequest<'_>>) -> Option<&'a Plan> {
    view.rollout_plans.get(&request?.service)
}

/// Tells whether a value is worth its place in a line.
///
/// There is a line for every request, and log collectors keep a limited number of bytes.
fn is_informative(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => false,
        Value::Array(items) => !items.is_empty(),
        _ => true,
    }
}
