//! The log line about a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;
use verbenaslip_base::name::{Team, Upstream};
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::rollout::{Cohort, Plan};
use verbenaslip_fleet::route_table::TeamConfig;
use verbenaslip_fleet::view::{Version, View};

use crate::event_log::{self, Kind};
use crate::forward::admission::AdmittedRequest;
use crate::forward::events::Foreign;
use crate::http::Framing;
use crate::monotonic;
use crate::policy::placement::FigureUse;

/// A request has ended; the line states what decided its outcome.
const REQUEST_ENDED: Kind = Kind { number: 901, name: "request_ended" };

/// Collects the contents of the log line.
#[derive(Debug, Default)]
pub struct Trace {
    /// Upstreams that received the request, in order.
    pub attempts: Vec<Attempt>,
    /// Upstreams that could not be reached, in order.
    pub unreached: Vec<Upstream>,
    /// The view by which the request was admitted or its last upstream was chosen.
    pub view_info: ViewInfo,
    /// Why each attempt ended without an answer.
    pub causes: Vec<&'static str>,
    /// Status of the final answer.
    pub status: u16,
    /// Outcome of the request.
    pub outcome: &'static str,
    /// Expected time to the first event, or to the first byte of the body, at the last upstream
    /// tried, in milliseconds after sending.
    pub expected_ms: f64,
    /// How much later than expected recent first events arrived, in milliseconds.
    pub lag_ms: f64,
    /// Figures of the fleet by which the last upstream was chosen.
    pub figures: Option<Box<FigureUse>>,
    /// Requests per second that the last upstream takes from all entries, if it limits them.
    pub rate_limit: Option<f64>,
    /// Fingerprint for which the request was refused or not sent again.
    pub held_by: Option<Fingerprint>,
    /// Whether the request was refused since this entry's places at a brittle service were taken.
    pub brittle: bool,
    /// Share of such requests that the service admits, if the request was refused because of it.
    pub admitted_share: Option<f64>,
    /// Whether the last upstream's body has neither a length nor chunks, so that it ends with its
    /// connection.
    pub ends_with_connection: bool,
    /// Bytes that did not continue the stream, in order of the upstreams that sent them.
    pub foreign: Vec<ForeignEvent>,
    /// When the first piece of the body arrived, after the arrival of the request.
    pub first_piece_after: Option<Duration>,
    /// When the caller may retry.
    pub retry_after: Option<Duration>,
    /// The last upstream's cohort in a rollout, if it runs the candidate version.
    pub cohort: Option<Cohort>,
    /// Version of the last upstream.
    pub version: Option<Arc<str>>,
    /// How the version was found at which the stream began that the request takes up.
    pub origin: Option<OriginUse>,
    /// Longest pause between two pieces of the answer.
    pub longest_pause: Duration,
    /// When the caller may retry by the capacity that becomes available, if that is known.
    pub scheduled_return: Option<Duration>,
    /// How long the request waited for an upstream to accept it, if it did.
    pub queued: Option<Duration>,
    /// Number of requests of the service, as urgent or more, that were waiting when it began to.
    pub queue_position: Option<usize>,
    /// How the request left the queue.
    pub queue_left: Option<&'static str>,
}

/// Describes bytes of an upstream that did not continue the stream.
#[derive(Debug)]
pub struct ForeignEvent {
    /// The upstream.
    pub upstream: Upstream,
    /// How its body was framed.
    pub framing: Framing,
    /// What was wrong, and where.
    pub foreign: Foreign,
}

impl ForeignEvent {
    fn describe(&self) -> Value {
        let Foreign { fault, after, events } = self.foreign;
        json!({
            "upstream": self.upstream.as_str(),
            "framing": self.framing.name(),
            "fault": fault.name(),
            "after": after,
            "events": events,
        })
    }
}

/// Holds one attempt of a request at an upstream.
#[derive(Debug)]
pub struct Attempt {
    /// The upstream.
    pub upstream: Upstream,
    /// When the request was sent, after its arrival.
    pub sent_after: Duration,
    /// Gateway through which it was sent, if not directly.
    pub gateway: Option<SocketAddr>,
}

/// Describes how the version was found at which a stream began.
#[derive(Clone, Copy, Debug)]
pub struct OriginUse {
    /// Where it was found.
    pub source: &'static str,
    /// Time since it was recorded or last certain, if it may have changed.
    pub age: Option<Duration>,
}

/// Describes the view by which a decision was made.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewInfo {
    /// Version of the view.
    version: Version,
    /// Time since the leader was last heard.
    leader_silence: Option<Duration>,
}

impl ViewInfo {
    /// Describes the view for a decision that is made now.
    pub fn of(view: &View) -> Self {
        let leader_silence =
            view.leader_heard_at.map(|heard| monotonic::now().saturating_sub(heard));
        Self { version: view.version, leader_silence }
    }
}

/// Logs how a request ended and what decided that.
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
    if trace.origin.is_some() {
        metrics::counter!("verbenaslip_resumes_total", "outcome" => outcome).increment(1);
    }
    metrics::histogram!("verbenaslip_request_seconds", "route" => route.to_owned())
        .record(duration.as_secs_f64());
    let ViewInfo { version, leader_silence } = trace.view_info;
    let figures = trace.figures.as_deref();
    let team = request.and_then(|request| request.team).map(|team: &TeamConfig| &team.name);
    let sent: Vec<&str> = trace.attempts.iter().map(|attempt| attempt.upstream.as_str()).collect();
    let unreached: Vec<&str> = trace.unreached.iter().map(Upstream::as_str).collect();
    let gateways: Vec<String> =
        trace.attempts.iter().filter_map(|it| it.gateway).map(|it| it.to_string()).collect();
    let sent_after: Vec<u128> =
        trace.attempts.iter().map(|attempt| attempt.sent_after.as_millis()).collect();
    let foreign: Vec<Value> = trace.foreign.iter().map(ForeignEvent::describe).collect();
    // Most requests are answered, and need not be traced to what they share with others.
    let parts = request.filter(|_| outcome != "answered").map(|it| &*it.part_fingerprints);
    let parts: Vec<String> = parts.unwrap_or_default().iter().map(ToString::to_string).collect();
    let resumes = request.and_then(|request| request.info.resumes.as_deref());
    let names_version =
        rollout_plan(view, request).is_some() || resumes.is_some() || trace.attempts.len() > 1;
    let fields = [
        ("id", json!(id)),
        ("route", json!(route)),
        ("team", json!(team.map(Team::as_str))),
        (
            "content",
            json!(request.and_then(|request| request.fingerprint).map(|it| it.to_string())),
        ),
        ("parts", json!(parts)),
        ("held_by", json!(trace.held_by.map(|it| it.to_string()))),
        ("outcome", json!(outcome)),
        ("status", json!(trace.status)),
        ("ms", json!(duration.as_millis())),
        ("upstreams", json!(sent)),
        ("sent_ms", json!(sent_after)),
        ("gateways", json!(gateways)),
        ("unreached", json!(unreached)),
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
        ("figure_age_ms", json!(figures.and_then(|it| it.figure_age).map(|age| age.as_millis()))),
        ("wait_ms", json!(figures.map(|it| it.wait_ms.round()))),
        ("home", json!(figures.map(|it| it.is_home))),
        ("speed", json!(figures.map(|it| it.relative_speed))),
        ("admitted_share", json!(trace.admitted_share)),
        ("limit", json!(trace.rate_limit)),
        ("brittle", json!(trace.brittle)),
        ("ends_with_connection", json!(trace.ends_with_connection)),
        ("foreign", json!(foreign)),
        ("first_ms", json!(trace.first_piece_after.map(|first| first.as_millis()))),
        ("back_ms", json!(trace.retry_after.map(|retry_after| retry_after.as_millis()))),
        ("pause_ms", json!(trace.longest_pause.as_millis())),
        ("queued_ms", json!(trace.queued.map(|queued| queued.as_millis()))),
        ("queue_position", json!(trace.queue_position)),
        ("queue_left", json!(trace.queue_left)),
        ("cohort", json!(trace.cohort.map(|it| format!("{it:?}")))),
        ("resumes", json!(resumes)),
        ("origin", json!(trace.origin.map(|origin| origin.source))),
        (
            "origin_age_ms",
            json!(trace.origin.and_then(|origin| origin.age).map(|age| age.as_millis())),
        ),
        ("version", json!(trace.version.as_ref().filter(|_| names_version))),
        ("revision", json!(view.revision())),
        ("view_age_ms", json!(leader_silence.map(|leader_silence| leader_silence.as_millis()))),
    ];
    event_log::emit(REQUEST_ENDED, fields.into_iter().filter(|(_, value)| is_informative(value)));
}

/// Returns the rollout plan of the request's service, if there is one.
fn rollout_plan<'a>(view: &'a View, request: Option<&AdmittedRequest<'_>>) -> Option<&'a Plan> {
    view.rollout_plans.get(&request?.service)
}

/// Returns whether a value is worth its place in a line.
///
/// There is a line for every request, and log collectors keep a limited number of bytes.
fn is_informative(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => false,
        Value::Array(items) => !items.is_empty(),
        _ => true,
    }
}
