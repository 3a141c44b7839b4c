//! The port through which a deployment's header names become typed fields.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{Team, Upstream};

use crate::http::{RequestHead, ResponseHead};

/// Holds what a request says of itself beyond HTTP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The request's own identity.
    pub id: Arc<str>,
    /// The caller's key.
    pub api_key: Option<Arc<str>>,
    /// How long the caller waits for the whole answer.
    pub caller_timeout: Option<Duration>,
    /// The tokens of the prompt and the most tokens of the answer, when it says so.
    pub token_counts: Option<TokenCounts>,
    /// The caller's estimate of the tokens of the answer.
    pub output_estimate: Option<u64>,
    /// The parts of the prompt in order; requests share the first ones.
    pub prompt_parts: Vec<PromptPart>,
    /// The last event of the answer that the caller has.
    pub last_event_id: Option<u64>,
}

/// Says how large a generation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens of the answer.
    pub max_output: u64,
}

/// Names one part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Holds what is told to the upstream beside the caller's own words.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedFields<'a> {
    /// The run of the upstream that is meant; any other must not take the request.
    pub upstream: &'a Upstream,
    /// The caller's team.
    pub team: Option<&'a Team>,
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// The rank among the upstream's requests; zero is the most urgent.
    pub rank: Option<u8>,
}

/// Says whether an upstream limits the rate of requests, by the head of its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// It names no limit.
    #[default]
    Unlimited,
    /// The requests a second that it takes from all instances together.
    PerSecond(f64),
    /// It names a limit that can't be read.
    Unreadable,
}

/// Holds what a response says beyond HTTP.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseInfo {
    /// Whether it answers the request with the given identity.
    pub matches_request: bool,
    /// Whether the upstream says that it has not run the request and never will.
    pub not_run: bool,
    /// Whether another run than the one that is meant has answered, which no longer is at this address.
    pub other_run: bool,
    /// Whether its body is encoded in a way that the caller did not ask for.
    pub unrequested_encoding: bool,
    /// The limit that the upstream names.
    pub rate_limit: RateLimit,
    /// Whether the upstream says that it is about to go.
    pub leaving: bool,
    /// How long the upstream wants nothing from this instance, if it has turned the request away and says so.
    pub cooldown: Option<Duration>,
}

/// Takes the name and value of a header field that is to be written.
pub type WriteField<'a> = &'a mut dyn FnMut(&str, &str);

/// Knows a deployment's names of header fields; decides nothing.
pub trait Dialect: Send + Sync {
    /// Reads what a request says of itself; none when it has no identity.
    fn request_info(&self, head: &RequestHead) -> Option<RequestInfo>;

    /// Tells whether a field is set by this system alone, so that a caller's is not passed on.
    fn is_reserved(&self, name: &str) -> bool;

    /// Writes the fields that this system sets towards an upstream.
    fn write_forwarded(&self, fields: &ForwardedFields<'_>, write_field: WriteField<'_>);

    /// Reads what a response says.
    fn response_info(&self, head: &ResponseHead, id: &str) -> ResponseInfo;

    /// Writes the fields of an answer of this instance's own.
    fn write_answer(&self, id: &str, retry_after: Option<Duration>, write_field: WriteField<'_>);
}
