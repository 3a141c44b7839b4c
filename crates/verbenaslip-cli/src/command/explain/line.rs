//! A line of an instance's event log.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde_json::{Value, json};

use crate::command::time;

/// The event number for the end of a request.
const REQUEST_ENDED: u64 = 901;

/// The event numbers for request contents under which upstreams crash.
const CRASH_EVENTS: RangeInclusive<u64> = 936..=940;

/// The event numbers for limits, cooldowns and departures that upstreams announce.
const UPSTREAM_LIMIT_EVENTS: RangeInclusive<u64> = 943..=946;

/// The event numbers for lost and restored paths to upstreams.
const PATH_EVENTS: RangeInclusive<u64> = 953..=954;

/// The request outcomes and attempt causes that result from these events.
const LIMITED_OUTCOMES: [&str; 2] = ["limited", "resting"];

/// The maximum time from such an event to a request that it explains, in milliseconds.
const MAX_LEAD_MS: u64 = 60_000;

/// Holds a log line and the file that it comes from.
pub(super) struct Line {
    /// When the line was written, in Unix milliseconds.
    pub(super) at: u64,
    file: String,
    fields: Value,
}

/// Describes the end of a request.
#[derive(Debug, Deserialize)]
pub(super) struct RequestEnded {
    /// When the request ended, in Unix milliseconds.
    pub(super) at: u64,
    pub(super) route: String,
    #[serde(default)]
    pub(super) team: Option<String>,
    pub(super) outcome: String,
    pub(super) status: u16,
    /// Why attempts failed to get an answer.
    #[serde(default)]
    pub(super) causes: Vec<String>,
    #[serde(default)]
    first_ms: Option<u64>,
    #[serde(default)]
    objective_ms: Option<u64>,
    /// Whether the caller had been refused before.
    #[serde(default)]
    waited: bool,
}

/// Classifies what the caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallerResult {
    /// An answer within the latency objective.
    OnTime,
    /// An answer after the latency objective.
    Late,
    /// A refusal: the request was not executed and may be retried later.
    Refused,
    /// No answer, or a failure.
    Lost,
    /// Nothing, since the caller disconnected before the answer.
    Left,
    /// A client error: the request is not allowed.
    Denied,
}

impl Line {
    /// Parses a line and ignores any prefix before its opening brace, as log collectors add.
    pub(super) fn parse(raw: &str, file: &str) -> Option<Self> {
        let fields: Value = serde_json::from_str(&raw[raw.find('{')?..]).ok()?;
        let at = fields.get("at")?.as_u64()?;
        Some(Self { at, file: file.to_owned(), fields })
    }

    /// Returns whether the line names the request, or one that takes up its stream.
    pub(super) fn mentions(&self, id: &str) -> bool {
        let is_id = |value: &Value| value.as_str() == Some(id);
        let array = |name| self.fields.get(name).and_then(Value::as_array).into_iter().flatten();
        ["id", "resumes"].iter().any(|name| self.fields.get(*name).is_some_and(is_id))
            || array("ids").any(is_id)
    }

    /// Returns the request that began the stream which the line's request takes up.
    pub(super) fn resumes(&self) -> Option<&str> {
        self.fields.get("resumes").and_then(Value::as_str)
    }

    /// Returns the content identifier of the request that the line is about.
    fn content(&self) -> Option<&str> {
        self.fields.get("content").and_then(Value::as_str)
    }

    /// Returns the identifiers of the request's content, and of what it was held back for.
    pub(super) fn contents(&self) -> impl Iterator<Item = &str> {
        let held_by = self.fields.get("held_by").and_then(Value::as_str);
        self.content().into_iter().chain(held_by)
    }

    /// Returns whether the line reports upstream crashes under a content or a prompt part, or
    /// decisions about it.
    pub(super) fn is_about_content(&self, content: &str) -> bool {
        let number = self.fields.get("event").and_then(Value::as_u64);
        let array = |name| self.fields.get(name).and_then(Value::as_array).into_iter().flatten();
        let listed = array("contents").chain(array("parts"));
        let is_listed = listed.into_iter().any(|value| value.as_str() == Some(content));
        number.is_some_and(|number| CRASH_EVENTS.contains(&number))
            && (is_listed || self.content() == Some(content))
    }

    /// Returns whether the line reports an upstream limit, cooldown or departure, or a lost or
    /// restored path, that explains the request end in another line of the same file.
    pub(super) fn explains(&self, ended: &Self) -> bool {
        let number = self.fields.get("event").and_then(Value::as_u64);
        let is_cause = |number: u64| {
            ended.is_limited() && UPSTREAM_LIMIT_EVENTS.contains(&number)
                || ended.lacked_path() && PATH_EVENTS.contains(&number)
        };
        self.file == ended.file
            && self.at <= ended.at
            && ended.at - self.at <= MAX_LEAD_MS
            && number.is_some_and(is_cause)
    }

    /// Returns whether the request was sent through another entry or reached no upstream.
    fn lacked_path(&self) -> bool {
        ["gateways", "unreached"].iter().any(|name| self.fields.get(*name).is_some())
    }

    /// Returns whether the request was affected by limits or cooldowns of upstreams.
    fn is_limited(&self) -> bool {
        let is_limited_value =
            |value: &Value| value.as_str().is_some_and(|it| LIMITED_OUTCOMES.contains(&it));
        let causes = self.fields.get("causes").and_then(Value::as_array);
        self.fields.get("outcome").is_some_and(is_limited_value)
            || causes.into_iter().flatten().any(is_limited_value)
    }

    /// Returns the end of a request if the line reports one.
    pub(super) fn ended(&self) -> Option<RequestEnded> {
        let number = self.fields.get("event").and_then(Value::as_u64);
        if number != Some(REQUEST_ENDED) {
            return None;
        }
        serde_json::from_value(self.fields.clone()).ok()
    }

    pub(super) fn to_json(&self) -> Value {
        json!({ "file": self.file, "line": self.fields })
    }

    /// Formats the line as text for operators.
    pub(super) fn format(&self) -> String {
        let text = |name: &str| self.fields.get(name).and_then(Value::as_str).unwrap_or("");
        let fields = self.fields.as_object().into_iter().flatten();
        let rest = fields.filter(|(name, _)| !["at", "event", "what", "id"].contains(&&***name));
        let rest: Vec<String> = rest.map(|(name, value)| format!("{name}={value}")).collect();
        let millis = self.at % 1_000;
        format!(
            "{} +{millis:03} ms  {}  {}  {}",
            time::format_utc(self.at),
            self.file,
            text("what"),
            rest.join(" ")
        )
    }
}

impl RequestEnded {
    /// Returns what the caller received.
    pub(super) fn caller_result(&self) -> CallerResult {
        match (self.outcome.as_str(), self.status) {
            ("caller_gone", _) => CallerResult::Left,
            ("answered", 200..400) if self.is_late() => CallerResult::Late,
            ("answered", 200..400) => CallerResult::OnTime,
            (_, 408 | 421 | 429 | 503) => CallerResult::Refused,
            (_, 400..500) => CallerResult::Denied,
            _ => CallerResult::Lost,
        }
    }

    /// Returns the outcome and the causes of failed attempts, as written in the log.
    pub(super) fn cause(&self) -> String {
        let causes = self.causes.join(",");
        if causes.is_empty() { self.outcome.clone() } else { format!("{}: {causes}", self.outcome) }
    }

    fn is_late(&self) -> bool {
        let exceeded = self
            .first_ms
            .zip(self.objective_ms)
            .is_some_and(|(first, objective)| first > objective);
        self.waited || exceeded
    }
}

impl CallerResult {
    /// All results, from best to worst.
    pub(super) const ALL: [Self; 6] =
        [Self::OnTime, Self::Late, Self::Refused, Self::Lost, Self::Left, Self::Denied];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Lost => "lost",
            Self::Left => "left",
            Self::Denied => "denied",
        }
    }
}
