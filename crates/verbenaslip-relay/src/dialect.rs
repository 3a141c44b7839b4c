//! Interface that maps a deployment's header names to typed fields.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{Team, Upstream};

use crate::http::{RequestHead, ResponseHead};

/// Holds what the header fields of a request say beyond HTTP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Identity of the request.
    pub id: Arc<str>,
    /// API key of the caller.
    pub api_key: Option<Arc<str>>,
    /// Time that the caller waits for the whole answer.
    pub caller_timeout: Option<Duration>,
    /// Prompt tokens and maximum output tokens, if the request states them.
    pub token_counts: Option<TokenCounts>,
    /// The caller's estimate of the output tokens.
    pub output_estimate: Option<u64>,
    /// Parts of the prompt in order; the first ones may be shared with other requests.
    pub prompt_parts: Vec<PromptPart>,
    /// Identity of the last event of the answer that the caller has received.
    pub last_event_id: Option<u64>,
    /// Identity of the request whose answer brought the first event of the stream that this one
    /// takes up.
    pub resumes: Option<Arc<str>>,
}

/// Holds the size of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum tokens of the answer.
    pub max_output: u64,
}

/// Identifies one part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Tokens in the part.
    pub tokens: u32,
}

/// Holds the fields that the system adds to a request for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedFields<'a> {
    /// Run of the upstream that must take the request; any other run must refuse it.
    pub upstream: &'a Upstream,
    /// Team of the caller.
    pub team: Option<&'a Team>,
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// Identity of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// Priority among the upstream's requests; zero is the most urgent.
    pub rank: Option<u8>,
}

/// States whether an upstream limits its request rate, according to the head of its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// Requests per second that the upstream takes from all instances together.
    PerSecond(f64),
    /// The answer names a limit that cannot be parsed.
    Unreadable,
}

/// States which request a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Correlation {
    /// The request with the given identity.
    Matching,
    /// Another request.
    Other,
    /// No request.
    Missing,
}

/// Holds what the header fields of a response say beyond HTTP.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseInfo {
    /// Whether the response answers the request with the given identity.
    pub correlation: Correlation,
    /// Whether the upstream states that it has not run the request and never will.
    pub not_run: bool,
    /// Whether a different run than the intended one has answered, so that the intended one is no
    /// longer at this address.
    pub other_run: bool,
    /// Whether the body has a content encoding that the caller did not ask for.
    pub unrequested_encoding: bool,
    /// Rate limit that the upstream states.
    pub rate_limit: RateLimit,
    /// Whether the upstream announces its departure.
    pub leaving: bool,
    /// Number of refusals in a second, from all instances together, beyond which the upstream
    /// crashes; `None` if it is not brittle.
    pub brittle: Option<u32>,
    /// Time for which the upstream wants no requests from this instance, if it has refused the
    /// request and states one.
    pub cooldown: Option<Duration>,
}

/// Callback that takes the name and value of a header field to be written.
pub type WriteField<'a> = &'a mut dyn FnMut(&str, &str);

/// Maps a deployment's header names to typed fields; makes no decisions.
pub trait Dialect: Send + Sync {
    /// Reads the fields of a request; returns `None` if the request has no identity.
    fn request_info(&self, head: &RequestHead) -> Option<RequestInfo>;

    /// Returns whether only this system may set a field, so that the caller's own is not
    /// forwarded.
    fn is_reserved(&self, name: &str) -> bool;

    /// Writes the fields that this system sets for an upstream.
    fn write_forwarded(&self, fields: &ForwardedFields<'_>, write_field: WriteField<'_>);

    /// Reads the fields of a response to the request with the identity `id`.
    fn response_info(&self, head: &ResponseHead, id: &str) -> ResponseInfo;

    /// Writes the fields of an answer that this instance makes itself; `retry_after` is when the caller
    /// may retry.
    fn write_answer(&self, id: &str, retry_after: Option<Duration>, write_field: WriteField<'_>);
}
