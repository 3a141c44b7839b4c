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
use crate::forward::admission::Job;
use crate::monotonic;

/// One line a request, with what decided it.
const ENDED: Kind = Kind { number: 901, name: "request_ended" };

/// Collects what the log line says of a request.
#[derive(Debug, Default)]
pub struct Trace {
    /// The upstreams that got it, in order.
    pub sent: Vec<Sent>,
    /// By whose word it was admitted, or its last upstream chosen.
    pub basis: Basis,
    /// Why each try ended without an answer.
    pub causes: Vec<&'static str>,
    /// The status of the final answer.
    pub status: u16,
    /// What became of it.
    pub outcome: &'static str,
    /// When the first event, or byte of the body, was expected at the last upstream tried, in
    /// milliseconds from when it was sent there.
    pub expected: f64,
    /// By how much later than that first events came lately, in milliseconds.
    pub lag: f64,
    /// The requests a second that the last upstream takes from all entries, if that is limited.
    pub limit: Option<f64>,
    /// The share of such requests that its service admits, if it was refused by that.
    pub share: Option<f64>,
    /// When it came, from when the request had arrived.
    pub first: Option<Duration>,
    /// When the caller was told to come back.
    pub back: Option<Duration>,
    /// The part of the last upstream in a roll-out, if it is of the candidate version.
    pub cohort: Option<Cohort>,
    /// The version of the last upstream.
    pub version: Option<Arc<str>>,
    /// The longest pause between two pieces of the answer.
    pub pause: Duration,
}

/// Says where a request was sent.
#[derive(Debug)]
pub struct Sent {
    /// The upstream.
    pub upstream: Upstream,
    /// When, from when the request had arrived.
    pub after: Duration,
}

/// Says by whose word something was decided.
#[derive(Clone, Copy, Debug, Default)]
pub struct Basis {
    /// How new the list of upstreams was.
    stamp: Version,
    /// How long before the leader had been heard.
    age: Option<Duration>,
}

impl Basis {
    /// Notes what a decision goes by that is made now.
    pub fn of(view: &View) -> Self {
        let age = view.leader_heard_at.map(|heard| monotonic::now().saturating_sub(heard));
        Self { stamp: view.version, age }
    }
}

/// Says in one line how a request ended and what decided it.
pub fn say(view: &View, id: &str, job: Option<&Job<'_>>, trace: &Trace, arrived: Instant) {
    let took = arrived.elapsed();
    let route = job.map_or("", |job| &*job.route.name);
    let outcome = if trace.outcome.is_empty() { "cut" } else { trace.outcome };
    metrics::counter!("verbenaslip_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("verbenaslip_request_seconds", "route" => route.to_owned())
        .record(took.as_secs_f64());
    let Basis { stamp, age } = trace.basis;
    let team = job.and_then(|job| job.team).map(|team: &TeamConfig| &team.name);
    let sent: Vec<&str> = trace.sent.iter().map(|sent| sent.upstream.as_str()).collect();
    let after: Vec<u128> = trace.sent.iter().map(|sent| sent.after.as_millis()).collect();
    let fields = [
        ("id", json!(id)),
        ("route", json!(route)),
        ("team", json!(team.map(Team::as_str))),
        ("content", json!(job.and_then(|job| job.fingerprint).map(|it| it.to_string()))),
        ("outcome", json!(outcome)),
        ("status", json!(trace.status)),
        ("ms", json!(took.as_millis())),
        ("upstreams", json!(sent)),
        ("sent_ms", json!(after)),
        ("term", json!(stamp.term)),
        ("change", json!(stamp.change)),
        ("causes", json!(trace.causes)),
        ("objective_ms", json!(job.map(|job| job.route.objective.as_millis()))),
        (
            "patience_ms",
            json!(job.and_then(|job| job.call.caller_timeout).map(|it| it.as_millis())),
        ),
        ("rank", json!(job.map(|job| job.rank))),
        ("waited", json!(job.is_some_and(|job| job.waited))),
        ("expected_ms", json!(trace.expected.round())),
        ("lag_ms", json!(trace.lag.round())),
        ("admitted_share", json!(trace.share)),
        ("limit", json!(trace.limit)),
        ("first_ms", json!(trace.first.map(|first| first.as_millis()))),
        ("back_ms", json!(trace.back.map(|back| back.as_millis()))),
        ("pause_ms", json!(trace.pause.as_millis())),
        ("cohort", json!(trace.cohort.map(|it| format!("{it:?}")))),
        ("version", json!(rolled_out(view, job).and(trace.version.as_ref()))),
        ("revision", json!(view.revision())),
        ("view_age_ms", json!(age.map(|age| age.as_millis()))),
    ];
    event_log::emit(ENDED, fields.into_iter().filter(|(_, value)| says_something(value)));
}

/// Returns the plan of a roll-out of the request's service, if there is one.
fn rolled_out<'a>(view: &'a View, job: Option<&Job<'_>>) -> Option<&'a Plan> {
    view.rollout_plans.get(&job?.service)
}

/// Tells whether a value is worth its place in a line.
///
/// There is a line for every request, and log collectors keep a limited number of bytes.
fn says_something(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => false,
        Value::Array(items) => !items.is_empty(),
        _ => true,
    }
}
