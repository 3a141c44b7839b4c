//! Replies and errors of the admin address as HTTP answers.

use serde::Serialize;
use serde_json::json;
use verbenaslip_base::name::Instance;

use crate::admin::reply::{Applied, Conflict, Edit, Fault, Reply};

const JSON: &str = "application/json";
const CSV: &str = "text/csv";
const TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Holds one HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    /// The status.
    pub status: u16,
    /// The content type.
    pub content: &'static str,
    /// The revision for its header.
    pub revision: Option<u64>,
    /// The body.
    pub body: String,
}

/// Holds one error in the callers' shape.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    status: u16,
    kind: &'static str,
    code: &'static str,
    message: String,
    hint: String,
}

#[derive(Serialize)]
struct Object<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    hint: &'a str,
}

impl Problem {
    /// Makes the error for a value that is missing or not allowed.
    pub(crate) fn field(name: &'static str, allowed: impl AsRef<str>) -> Self {
        let message = format!("`{name}` must be {}.", allowed.as_ref());
        Self::invalid(400, name, message, "Correct it and send again.")
    }

    /// Makes the error for an unknown path.
    pub(crate) fn missing() -> Self {
        let hint = "The admin address takes /v1/upstreams, /v1/table, /v1/history, /v1/audit, \
                    /v1/status, /v1/drain, /v1/voters, /healthz, /readyz and /metrics.";
        Self::invalid(404, "path", "There is nothing at this path.", hint)
    }

    /// Makes the error for a wrong method.
    pub(crate) fn method(method: &str) -> Self {
        let hint = format!("Use {method}.");
        Self::invalid(405, "method", "This path does not take the method.", hint)
    }

    /// Makes the error for a wrong key.
    pub(crate) fn key(whose: &str) -> Self {
        let hint = format!("Send `Authorization: Bearer KEY` with {whose} key.");
        Self::invalid(401, "key", "The bearer key is missing or not the one needed here.", hint)
    }

    /// Makes the error for a body that is too large.
    pub(crate) fn large(limit: u64) -> Self {
        let message = format!("The body is larger than {limit} bytes.");
        Self::invalid(413, "body", message, "Send a shorter body.")
    }

    /// Makes the error for a body that can't be read.
    pub(crate) fn unreadable() -> Self {
        Self::invalid(400, "body", "The body ended before its end.", "Send it whole.")
    }

    /// Makes the error for a call whose reply did not come.
    pub(crate) fn unanswered(changes: bool) -> Self {
        let (status, kind, message, hint) = if changes {
            (
                504,
                "outcome_unknown",
                "The reply did not come in time; the change may have been made.",
                "Send the same edit again: it is applied once.",
            )
        } else {
            (503, "not_run", "The instance did not reply in time.", "Ask again, or ask another.")
        };
        let (message, hint) = (message.into(), hint.into());
        Self { status, kind, code: "timeout", message, hint }
    }

    fn invalid(
        status: u16,
        code: &'static str,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        let (message, hint) = (message.into(), hint.into());
        Self { status, kind: "invalid_request_error", code, message, hint }
    }

    /// Returns the answer.
    pub(crate) fn answer(&self) -> Answer {
        answer(self.status, &json!({ "error": self.object() }))
    }

    /// Returns what it is about, for the log.
    pub(crate) fn shown(&self) -> String {
        format!("{} {}: {}", self.status, self.code, self.message)
    }

    fn object(&self) -> Object<'_> {
        let Self { kind, code, message, hint, .. } = self;
        Object { message, r#type: kind, code, hint }
    }
}

/// Returns the answer that says that the process runs.
pub(crate) fn healthy() -> Answer {
    answer(200, &json!({ "healthy": true }))
}

/// Turns a reply into an answer.
pub(crate) fn reply(reply: Reply) -> Answer {
    match reply {
        Reply::Announced { lease } => {
            let millis = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
            answer(200, &json!({ "lease_ms": millis }))
        }
        Reply::Stale { incarnation, sequence } => stale(incarnation, sequence),
        Reply::Table { revision, csv } => {
            Answer { status: 200, content: CSV, revision: Some(revision), body: csv }
        }
        Reply::Missing { oldest, newest } => missing(oldest, newest),
        Reply::Applied(applied) => self::applied(&applied),
        Reply::Conflict(conflict) => self::conflict(&conflict),
        Reply::Faulty(faults) => faulty(&faults),
        Reply::Unconfirmed { not_applied } => unconfirmed(not_applied),
        Reply::History(edits) => history(&edits),
        Reply::Audit { next, entries } => {
            let entries: Vec<_> = entries.iter().map(|entry| entry.as_str()).collect();
            text(200, JSON, format!(r#"{{"next":{next},"entries":[{}]}}"#, entries.join(",")))
        }
        Reply::Status(status) => text(200, JSON, status.as_str().to_owned()),
        Reply::Draining => answer(202, &json!({ "draining": true })),
        Reply::Voted => answer(200, &json!({ "committed": true })),
        Reply::Refused { message, hint } => Problem::invalid(409, "state", message, hint).answer(),
        Reply::Ready { because } => {
            let status = if because.is_empty() { 200 } else { 503 };
            answer(status, &json!({ "ready": because.is_empty(), "because": because }))
        }
        Reply::Metrics(metrics) => text(200, TEXT, metrics),
    }
}

fn stale(incarnation: u64, sequence: u64) -> Answer {
    let message = "A newer announcement of this upstream is held.";
    let hint = "Raise the sequence with each announcement and the incarnation with each start.";
    let problem = Problem::invalid(409, "stale", message, hint);
    let held = json!({ "incarnation": incarnation, "sequence": sequence });
    answer(409, &json!({ "error": problem.object(), "held": held }))
}

fn missing(oldest: u64, newest: u64) -> Answer {
    let message =
        format!("This revision is not kept here; the oldest is {oldest}, the newest is {newest}.");
    let hint = "Leave `revision` out for the newest. Another instance may keep older ones.";
    Problem::invalid(404, "revision", message, hint).answer()
}

fn applied(applied: &Applied) -> Answer {
    let Applied { revision, unchanged, in_force, waiting } = applied;
    let waiting: Vec<_> = waiting.iter().map(Instance::as_str).collect();
    let body = json!({
        "revision": revision, "unchanged": unchanged, "in_force": in_force, "waiting": waiting,
    });
    answer(200, &body)
}

fn conflict(conflict: &Conflict) -> Answer {
    let Conflict { newest, by, differs } = conflict;
    let message = format!("{by} has made revision {newest} since. The edit was not applied.");
    let problem = Problem {
        status: 409,
        kind: "edit_conflict",
        code: "stale_base",
        message,
        hint: "Read the newest table, make the edit there and send it with a new id.".into(),
    };
    let body = json!({
        "error": problem.object(), "newest": newest, "by": by.as_str(), "differs": differs,
    });
    answer(409, &body)
}

fn faulty(faults: &[Fault]) -> Answer {
    let message = "The table has values that are not allowed. The edit was not applied.";
    let hint = "Correct the named rows and columns and send again.";
    let problem = Problem::invalid(422, "table", message, hint);
    answer(422, &json!({ "error": problem.object(), "problems": faults }))
}

fn unconfirmed(not_applied: bool) -> Answer {
    let (kind, message, hint) = if not_applied {
        ("not_run", "There is no quorum. The change was not made.", "Send it again later.")
    } else {
        (
            "outcome_unknown",
            "There is no quorum. Whether the change was made is unknown.",
            "Send the same edit again: it is applied once.",
        )
    };
    let (message, hint) = (message.into(), hint.into());
    Problem { status: 503, kind, code: "no_quorum", message, hint }.answer()
}

fn history(edits: &[Edit]) -> Answer {
    answer(200, &json!({ "edits": edits }))
}

fn answer(status: u16, body: &impl Serialize) -> Answer {
    text(status, JSON, serde_json::to_string(body).unwrap_or_default())
}

fn text(status: u16, content: &'static str, body: String) -> Answer {
    Answer { status, content, revision: None, body }
}
