//! The error object that callers get, with its status and headers.

use std::time::Duration;

use hyper::Response;
use hyper::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use serde::Serialize;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::traffic::payload::Payload;

/// The header that says whether a request may have run.
pub(crate) const OUTCOME: &str = "verbenaslip-outcome";

/// The value of the outcome header for a request that was surely not run.
pub(crate) const NOT_RUN: &str = "not-run";

/// The header with the exact time after which to come back.
pub(crate) const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Names the types of error that a caller can tell apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The request was not understood.
    Invalid,
    /// The key belongs to another body.
    Conflict,
    /// The key is older than the retention.
    Expired,
    /// It was surely not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Holds one error as a caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    /// The status.
    pub status: u16,
    /// The type.
    pub kind: Kind,
    /// The reason in one word.
    pub code: &'static str,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
    /// When to come back.
    pub retry: Option<Duration>,
    /// Whether the connection ends with it, because the rest of the request was not read.
    pub close: bool,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Object<'a>,
}

#[derive(Serialize)]
struct Object<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    hint: &'a str,
}

impl Kind {
    /// Returns the type's name.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid_request_error",
            Self::Conflict => "idempotency_conflict",
            Self::Expired => "key_expired",
            Self::NotRun => "not_run",
            Self::Unknown => "outcome_unknown",
        }
    }
}

impl Problem {
    /// Makes an error for a request that was not understood.
    pub(crate) fn invalid(
        status: u16,
        code: &'static str,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self {
            status,
            kind: Kind::Invalid,
            code,
            message: message.into(),
            hint: hint.into(),
            retry: None,
            close: false,
        }
    }

    /// Ends the connection with the error.
    pub(crate) fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// Makes the error for a refused request.
    pub(crate) fn refused(refusal: &Refusal) -> Self {
        let (code, message, hint) = reason(refusal.reason);
        let (status, kind) = match refusal.reason {
            Reason::Limit => (429, Kind::NotRun),
            Reason::KeyExpired => (410, Kind::Expired),
            _ => (503, Kind::NotRun),
        };
        let (message, hint) = (message.into(), hint.into());
        Self { status, kind, code, message, hint, retry: refusal.retry, close: false }
    }

    /// Makes the error for a request that may have run.
    pub(crate) fn unknown(unknown: Unknown) -> Self {
        let (code, message) = match unknown {
            Unknown::UpstreamLost => ("upstream_lost", "The upstream was lost while it ran this."),
            Unknown::InstanceLost => ("instance_lost", "The instance that ran this was lost."),
            Unknown::Deadline => ("deadline", "The answer was not whole by its deadline."),
            Unknown::Unreachable => ("unreachable", "Those who know the outcome can't be asked."),
        };
        Self {
            status: 504,
            kind: Kind::Unknown,
            code,
            message: format!("{message} It may have run."),
            hint:
                "Ask again with the same Idempotency-Key to learn the outcome; a new key may run \
                   it twice."
                    .into(),
            retry: None,
            close: false,
        }
    }

    /// Makes the error for a key that belongs to another body.
    pub(crate) fn conflict() -> Self {
        Self {
            status: 409,
            kind: Kind::Conflict,
            code: "idempotency_conflict",
            message: "This Idempotency-Key was used with another body.".into(),
            hint: "Use a new key for a new request, and send a resend with the same bytes.".into(),
            retry: None,
            close: false,
        }
    }

    /// Makes the error for a resumption that does not begin between two events of the answer.
    pub(crate) fn misaligned(after: u32) -> Self {
        Self::invalid(
            400,
            "last_event_id",
            format!("Last-Event-ID {after} is not the id of an event of this answer."),
            "Leave Last-Event-ID out to get the answer from its start.",
        )
    }

    /// Returns the error object as JSON.
    pub(crate) fn json(&self) -> String {
        let object = Object {
            message: &self.message,
            r#type: self.kind.name(),
            code: self.code,
            hint: &self.hint,
        };
        serde_json::to_string(&Envelope { error: object }).unwrap_or_default()
    }

    /// Returns the headers other than content type and length.
    pub(crate) fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = Vec::new();
        match self.kind {
            Kind::NotRun => headers.push((OUTCOME, NOT_RUN.to_owned())),
            Kind::Unknown => headers.push((OUTCOME, "unknown".to_owned())),
            _ => {}
        }
        if let Some(retry) = self.retry {
            let millis = retry.as_millis();
            headers.push((RETRY_AFTER.as_str(), millis.div_ceil(1000).to_string()));
            headers.push((RETRY_AFTER_MS, millis.to_string()));
        }
        match self.status {
            401 => headers.push(("www-authenticate", "Bearer".to_owned())),
            405 => headers.push(("allow", "POST".to_owned())),
            _ => {}
        }
        if self.close {
            headers.push((CONNECTION.as_str(), "close".to_owned()));
        }
        headers
    }

    /// Returns the whole answer to the caller.
    pub(crate) fn response(&self) -> Response<Payload> {
        let mut response =
            Response::builder().status(self.status).header(CONTENT_TYPE, "application/json");
        for (name, value) in self.headers() {
            response = response.header(name, value);
        }
        let body = Payload::whole(self.json());
        response.body(body).unwrap_or_else(|_| Response::new(Payload::whole("")))
    }

    /// Returns the whole answer as it goes over a connection that no library serves.
    pub(crate) fn raw(&self, phrase: &str) -> Vec<u8> {
        let json = self.json();
        let mut text =
            format!("HTTP/1.1 {} {phrase}\r\ncontent-type: application/json\r\n", self.status);
        for (name, value) in self.headers() {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n{json}", json.len()));
        text.into_bytes()
    }
}

/// Returns code, message and hint of a reason.
fn reason(reason: Reason) -> (&'static str, &'static str, &'static str) {
    const LATER: &str = "Come back after Retry-After with the same key.";
    match reason {
        Reason::NoRow => (
            "no_row",
            "The table has no row for this team and request class. It was not run.",
            "Ask the operators for a row, or use a class that has one.",
        ),
        Reason::Limit => ("limit", "The row's limit is used up. It was not run.", LATER),
        Reason::Deadline => (
            "deadline",
            "The answer can't be whole before its deadline. It was not run.",
            "Come back after Retry-After, or allow more time.",
        ),
        Reason::Overload => ("overload", "Too much work waits. It was not run.", LATER),
        Reason::NoUpstream => {
            ("no_upstream", "No upstream offers this model now. It was not run.", LATER)
        }
        Reason::NoLease => (
            "no_lease",
            "This instance can't confirm the table in force. It was not run.",
            "Try again; the balancer picks another instance.",
        ),
        Reason::NotHeld => (
            "not_held",
            "No second instance could hold the request. It was not run.",
            "Try again with the same key.",
        ),
        Reason::Stopping => (
            "stopping",
            "This instance is stopping. It was not run.",
            "Try again; the balancer picks another instance.",
        ),
        Reason::KeyExpired => (
            "key_expired",
            "This key is older than the time for which outcomes are kept. It was not run by this call.",
            "Find out what the first use led to, then use a new key.",
        ),
        Reason::Upstream => ("upstream", "The upstream did not run it.", LATER),
    }
}
