//! Who calls, how often, and what for.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

/// Plans the calls of one run.
#[data(float)]
pub struct Plan {
    /// The instances' callers' addresses, picked from like a balancer does.
    pub entries: Vec<SocketAddr>,
    /// Draws arrivals, prompts, keys and picks.
    pub seed: u64,
    /// For how long requests arrive.
    pub time: Duration,
    /// Mean arrivals in a second.
    pub rate: f64,
    /// The length of an hour, scaled down.
    pub hour: Duration,
    /// How many times the mean rate arrives at the top of the hour.
    pub burst: f64,
    /// What is called for.
    pub works: Vec<Work>,
    /// How long a caller bears silence before it comes back through another instance.
    pub patience: Duration,
    /// How long a caller tries in all.
    pub limit: Duration,
    /// How often a caller comes back.
    pub tries: u32,
    /// Threads that call.
    pub threads: u32,
}

/// Describes one kind of request.
#[data(float)]
pub struct Work {
    /// Its name in the report.
    pub name: String,
    /// Its share of all requests, beside the other shares.
    pub share: f64,
    /// The team's key.
    pub key: String,
    /// The request class.
    pub class: String,
    /// The model or plain service.
    pub model: String,
    /// Whether it calls a plain service.
    pub service: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it has an idempotency key.
    pub keyed: bool,
    /// Bytes of prompt that are shared within a thread.
    pub shared: u32,
    /// How many threads there are.
    pub threads: u32,
    /// Bytes of prompt of its own.
    pub own: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// The deadline asked for.
    pub deadline: Option<Duration>,
    /// The tokens after which the caller leaves for good; none to stay to the end.
    pub leave: Option<u32>,
    /// How long the caller rests after each token of a stream.
    pub rest: Duration,
}

impl Work {
    /// Describes a short streamed request of a team.
    pub fn new(name: &str, key: &str, model: &str) -> Self {
        Self {
            name: name.to_owned(),
            share: 1.0,
            key: key.to_owned(),
            class: "default".to_owned(),
            model: model.to_owned(),
            service: false,
            stream: true,
            idempotent: true,
            keyed: true,
            shared: 512,
            threads: 8,
            own: 128,
            output: 24,
            deadline: None,
            leave: None,
            rest: Duration::ZERO,
        }
    }
}

impl Plan {
    /// Plans a few seconds of short requests.
    pub fn new(entries: Vec<SocketAddr>, works: Vec<Work>) -> Self {
        Self {
            entries,
            seed: 1,
            time: Duration::from_secs(5),
            rate: 20.0,
            hour: Duration::from_secs(5),
            burst: 4.0,
            works,
            patience: Duration::from_secs(4),
            limit: Duration::from_secs(30),
            tries: 8,
            threads: 1,
        }
    }
}
