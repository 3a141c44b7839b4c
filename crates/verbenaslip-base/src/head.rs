//! One request as far as decisions need it.

use std::time::Duration;

use crate::attempt::Request;
use crate::data;
use crate::name::{Class, Model, Team};

/// Describes a request without its text.
#[data]
pub struct Head {
    /// The identity shared by all resends of the same idempotency key.
    pub request: Request,
    /// The team whose key the caller showed.
    pub team: Team,
    /// The request class, which selects the table's row.
    pub class: Class,
    /// What the request asks for: a model or a plain service.
    pub model: Model,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Whether the caller gave an idempotency key, so that a resend can be told.
    pub keyed: bool,
    /// When the key was first used, in Unix milliseconds; none for a request without a key.
    pub issued: Option<u64>,
    /// Monotonic time by which the whole answer is due, on the clock of the instance that holds it.
    pub deadline: Duration,
    /// Estimated tokens of the prompt.
    pub prompt: u32,
    /// The most tokens the answer may have.
    pub output: u32,
    /// Hashes of the prompt's blocks from its start, each covering all before it.
    pub prefix: Vec<u64>,
}
