//! Answers that this instance makes itself, and the heads of forwarded answers.

use std::time::Duration;

use crate::dialect::Dialect;
use crate::http::{Framing, MessageError, ResponseHead, head};

/// Describes why a request is not forwarded, or gets no upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is malformed.
    Malformed,
    /// The API key is missing or belongs to no team.
    UnknownKey,
    /// No route matches the request.
    NoRoute,
    /// The request did not arrive in time.
    RequestTimeout,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The team has exceeded its limit; the request was not run.
    QuotaExceeded,
    /// This instance is about to stop; the request was not run.
    Stopping,
    /// This instance has no route table yet; the request was not run.
    NoRouteTable,
    /// No upstream can take the request now; it was not run.
    NoUpstream,
    /// The body of the request does not fit into this instance's memory; the request was not run.
    OutOfMemory,
    /// All upstreams are busy; the request was not run.
    Busy,
    /// All upstreams limit their request rate; the request was not run.
    RateLimited,
    /// All upstreams have asked this instance for a cooldown; the request was not run.
    CoolingDown,
    /// Upstreams have crashed during such a request; this one was not run.
    Quarantined,
    /// The request takes up a stream that began at an unknown software version; it was not run.
    UnknownVersion,
    /// Every upstream that received the request stated that it did not run it.
    NotRun,
    /// An upstream failed; the request may have run.
    Failed,
    /// The time ran out after the request was sent; it may have run.
    TimedOut,
    /// The time ran out before the request was sent; it was not run.
    DeadlineExpired,
}

impl Refusal {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::RequestTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::QuotaExceeded => 429,
            Self::HeadTooLarge => 431,
            Self::Failed => 502,
            Self::NoRouteTable
            | Self::NoUpstream
            | Self::OutOfMemory
            | Self::Busy
            | Self::RateLimited
            | Self::CoolingDown
            | Self::Quarantined
            | Self::NotRun
            | Self::UnknownVersion
            | Self::Stopping
            | Self::DeadlineExpired => 503,
            Self::TimedOut => 504,
        }
    }

    /// Returns the name for logs, metrics and the body of the answer.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::RequestTimeout => "slow_caller",
            Self::BodyTooLarge => "too_large",
            Self::HeadTooLarge => "long_head",
            Self::QuotaExceeded => "beyond_limit",
            Self::Stopping => "stopping",
            Self::NoRouteTable => "no_table",
            Self::NoUpstream => "no_upstream",
            Self::OutOfMemory => "no_memory",
            Self::Busy => "busy",
            Self::RateLimited => "limited",
            Self::CoolingDown => "resting",
            Self::Quarantined => "held_back",
            Self::UnknownVersion => "unknown_version",
            Self::NotRun => "turned_away",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::DeadlineExpired => "expired",
        }
    }

    fn reason_phrase(self) -> &'static str {
        match self.status() {
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            504 => "Gateway Timeout",
            _ => "Service Unavailable",
        }
    }
}

impl From<MessageError> for Refusal {
    fn from(fault: MessageError) -> Self {
        match fault {
            MessageError::HeadTooLong => Self::HeadTooLarge,
            MessageError::BodyTooLarge => Self::BodyTooLarge,
            MessageError::OutOfMemory => Self::OutOfMemory,
            MessageError::Timeout => Self::RequestTimeout,
            _ => Self::Malformed,
        }
    }
}

/// Describes a request that this instance answers itself.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'a> {
    /// Identity of the request, or empty.
    pub id: &'a str,
    /// Method of the request, or empty if it is not known.
    pub method: &'a str,
    /// Whether the connection is closed after the answer.
    pub closes_connection: bool,
}

/// Writes an answer that this instance makes itself; `retry_after` is when the caller may retry.
pub fn write_refusal(
    dialect: &dyn Dialect,
    request: RefusedRequest<'_>,
    refusal: Refusal,
    retry_after: Option<Duration>,
) -> Vec<u8> {
    let RefusedRequest { id, method, closes_connection } = request;
    let body = format!("{{\"error\":\"{}\"}}\n", refusal.name());
    let mut out = Vec::with_capacity(256);
    let line = format!("HTTP/1.1 {} {}\r\n", refusal.status(), refusal.reason_phrase());
    out.extend_from_slice(line.as_bytes());
    dialect.write_answer(id, retry_after, &mut |name, value| {
        write_field(&mut out, name, value.as_bytes())
    });
    write_field(&mut out, "Content-Type", b"application/json");
    write_field(&mut out, "Content-Length", body.len().to_string().as_bytes());
    if closes_connection {
        write_field(&mut out, "Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    if method != "HEAD" {
        out.extend_from_slice(body.as_bytes());
    }
    out
}

/// Writes the head of an upstream's answer for the caller; only the fields about the connection
/// differ.
pub fn write_head(response: &ResponseHead, framing: Framing, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    let line = format!("HTTP/1.1 {} {}\r\n", response.status, response.reason);
    out.extend_from_slice(line.as_bytes());
    for field in &response.fields {
        let is_length = field.name.eq_ignore_ascii_case("content-length");
        if !head::is_hop_by_hop(&response.fields, &field.name) && !is_length {
            write_field(&mut out, &field.name, &field.value);
        }
    }
    match framing {
        Framing::Empty => {
            // An answer without a body may still state its length.
            if let Some(is_length) = response.text("content-length") {
                write_field(&mut out, "Content-Length", is_length.as_bytes());
            }
        }
        Framing::Length(is_length) => {
            write_field(&mut out, "Content-Length", is_length.to_string().as_bytes());
        }
        Framing::Chunked => write_field(&mut out, "Transfer-Encoding", b"chunked"),
        Framing::UntilClose => {}
    }
    if close {
        write_field(&mut out, "Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Writes one header field.
pub fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
