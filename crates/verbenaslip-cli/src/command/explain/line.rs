//! One line of an instance's log.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde_json::{Value, json};

use crate::command::time;

/// The number of the line that says how a request ended.
const REQUEST_ENDED: u64 = 901;

/// The numbers of the lines about contents under which upstreams end.
const CRASH_EVENTS: RangeInclusive<u64> = 936..=940;

/// The numbers of the lines about what upstreams ask for in their answers.
const UPSTREAM_LIMIT_EVENTS: RangeInclusive<u64> = 943..=946;

/// Outcomes of requests, and causes of their tries, that follow from that.
const LIMITED_OUTCOMES: [&str; 2] = ["limited", "resting"];

/// How long before such a request an upstream may have asked for it, in milliseconds.
const MAX_LEAD_MS: u64 = 60_000;

/// Holds one line with where it stands.
pub(super) struct Line {
    /// When it was written, in Unix milliseconds.
    pub(super) at: u64,
    origin: String,
    fields: Value,
}

/// Says how one request ended.
#[derive(Debug, Deserialize)]
pub(super) struct RequestEnded {
    /// When, in Unix milliseconds.
    pub(super) at: u64,
    pub(super) route: String,
    #[serde(default)]
    pub(super) team: Option<String>,
    pub(super) outcome: String,
    pub(super) status: u16,
    /// Why tries ended without an answer.
    #[serde(default)]
    pub(super) causes: Vec<String>,
    #[serde(default)]
    first_ms: Option<u64>,
    #[serde(default)]
    objective_ms: Option<u64>,
    /// Whether its caller had been refused before.
    #[serde(default)]
    waited: bool,
}

/// Says what a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallerResult {
    /// An answer within the objective.
    OnTime,
    /// An answer after it.
    Late,
    /// The word that it has not run, and when to come back.
    Refused,
    /// No answer, or a failure.
    Lost,
    /// It left before there was an answer.
    Left,
    /// A refusal of what is not allowed.
    Denied,
}

impl Line {
    /// Reads a line; what stands before its opening brace, as collectors put there, is passed over.
    pub(super) fn parse(raw: &str, origin: &str) -> Option<Self> {
        let fields: Value = serde_json::from_str(&raw[raw.find('{')?..]).ok()?;
        let at = fields.get("at")?.as_u64()?;
        Some(Self { at, origin: origin.to_owned(), fields })
    }

    /// Tells whether it is about a request.
    pub(super) fn mentions(&self, id: &str) -> bool {
        let is_id = |value: &Value| value.as_str() == Some(id);
        let among = |name| self.fields.get(name).and_then(Value::as_array).into_iter().flatten();
        self.fields.get("id").is_some_and(is_id) || among("ids").any(is_id)
    }

    /// Returns the content of the request that it is about.
    pub(super) fn content(&self) -> Option<&str> {
        self.fields.get("content").and_then(Value::as_str)
    }

    /// Tells whether it says of a content that upstreams ended under it, or what was decided about that.
    pub(super) fn is_about_content(&self, content: &str) -> bool {
        let number = self.fields.get("event").and_then(Value::as_u64);
        let listed = self.fields.get("contents").and_then(Value::as_array);
        let among = listed.into_iter().flatten().any(|it| it.as_str() == Some(content));
        number.is_some_and(|number| CRASH_EVENTS.contains(&number))
            && (among || self.content() == Some(content))
    }

    /// Tells whether it reports a limit, rest or departure that decided about the request of another line.
    pub(super) fn explains(&self, ended: &Self) -> bool {
        let number = self.fields.get("event").and_then(Value::as_u64);
        self.origin == ended.origin
            && self.at <= ended.at
            && ended.at - self.at <= MAX_LEAD_MS
            && ended.is_limited()
            && number.is_some_and(|number| UPSTREAM_LIMIT_EVENTS.contains(&number))
    }

    /// Tells whether a request met upstreams that had asked for less.
    fn is_limited(&self) -> bool {
        let is_limited_value =
            |value: &Value| value.as_str().is_some_and(|it| LIMITED_OUTCOMES.contains(&it));
        let causes = self.fields.get("causes").and_then(Value::as_array);
        self.fields.get("outcome").is_some_and(is_limited_value)
            || causes.into_iter().flatten().any(is_limited_value)
    }

    /// Returns how a request ended, if it says that.
    pub(super) fn ended(&self) -> Option<RequestEnded> {
        let number = self.fields.get("event").and_then(Value::as_u64);
        if number != Some(REQUEST_ENDED) {
            return None;
        }
        serde_json::from_value(self.fields.clone()).ok()
    }

    pub(super) fn to_json(&self) -> Value {
        json!({ "file": self.origin, "line": self.fields })
    }

    /// Shows it for people.
    pub(super) fn format(&self) -> String {
        let text = |name: &str| self.fields.get(name).and_then(Value::as_str).unwrap_or("");
        let fields = self.fields.as_object().into_iter().flatten();
        let rest = fields.filter(|(name, _)| !["at", "event", "what", "id"].contains(&&***name));
        let rest: Vec<String> = rest.map(|(name, value)| format!("{name}={value}")).collect();
        let millis = self.at % 1_000;
        format!(
            "{} +{millis:03} ms  {}  {}  {}",
            time::show(self.at),
            self.origin,
            text("what"),
            rest.join(" ")
        )
    }
}

impl RequestEnded {
    /// Returns what the caller got.
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

    /// Returns why, in the words of the log.
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
    /// All of them, the best first.
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
