//! What a caller knows at the end of its request.

use verbenaslip_base::data;

/// Holds all that one caller saw.
#[data]
pub struct Outcome {
    /// The request's number in the run.
    pub id: u64,
    /// The kind of request.
    pub work: String,
    /// Stands for its prompt or body in the back ends' truth.
    pub seed: u64,
    /// Whether it calls a plain service.
    pub service: bool,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it has an idempotency key, with which its caller can come back.
    pub keyed: bool,
    /// Microseconds from the run's start to its arrival.
    pub at_us: u64,
    /// How it ended.
    pub end: End,
    /// What the last error said.
    pub code: Option<String>,
    /// The callers' address that gave the last answer.
    pub entry: Option<String>,
    /// Times it was sent.
    pub sent: u32,
    /// Times that it was told not run.
    pub refused: u32,
    /// Times that the connection broke, went silent or ended early after it was sent.
    pub broken: u32,
    /// Times that an answer had begun and did not go on to its end mark.
    pub cut: u32,
    /// Events that came again.
    pub doubled: u32,
    /// Whether text came that is not this request's, or not in its order.
    pub mixed: bool,
    /// Tokens received.
    pub tokens: u32,
    /// Microseconds from arrival to the first token; none for an answer that was not streamed.
    pub first_us: Option<u64>,
    /// Microseconds from arrival to the end.
    pub whole_us: u64,
    /// Microseconds between tokens.
    pub gaps_us: Vec<u32>,
}

/// Says how a request ended for its caller.
#[data(copy, ord)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The answer was whole.
    Whole,
    /// It was said not to have run.
    Refused,
    /// It was said that it may have run.
    Unknown,
    /// Another error was answered.
    Error,
    /// The answer had begun and never became whole.
    Cut,
    /// No answer came.
    Lost,
    /// The caller left before the end, as planned.
    Left,
}
