//! The properties of a request on which decisions are based.

use std::time::Duration;

use crate::attempt::Request;
use crate::data;
use crate::name::{Class, Model, Team};

/// Describes a request without its text.
#[data]
pub struct Head {
    /// The identifier, shared by all resends with the same idempotency key.
    pub request: Request,
    /// The team to which the caller's API key belongs.
    pub team: Team,
    /// The request class, which together with the team selects the row of the table.
    pub class: Class,
    /// The requested model or plain service.
    pub model: Model,
    /// Whether a second run is harmless.
    pub idempotent: bool,
    /// Whether the caller sent an idempotency key, by which a resend is recognized.
    pub keyed: bool,
    /// The first use of the idempotency key, in Unix milliseconds; none without a key.
    pub issued: Option<u64>,
    /// The deadline of the whole answer, as monotonic time on the instance that holds the request.
    pub deadline: Duration,
    /// The estimated number of tokens in the prompt.
    pub prompt: u32,
    /// The maximum number of tokens in the answer.
    pub output: u32,
    /// The hashes of the prompt's blocks in order; each covers its block and all earlier ones.
    pub prefix: Vec<u64>,
}
