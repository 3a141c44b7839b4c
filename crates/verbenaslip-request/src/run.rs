//! Runs at upstreams, as exchanged with the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

use crate::caller::Body;

/// Orders the traffic threads to run a request at an upstream.
#[data]
pub struct Run {
    /// Identity of the run; events of any other attempt are ignored.
    pub attempt: Attempt,
    /// The upstream.
    pub upstream: Upstream,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Kind of back end.
    pub kind: Kind,
    /// Request to send.
    pub body: Arc<Body>,
    /// How the run starts.
    pub start: Start,
    /// Priority of the request at the upstream; a higher one is served first.
    pub priority: i32,
    /// Longest silence before the run counts as stalled.
    pub stall: Duration,
    /// Monotonic time by which the run must have ended.
    pub deadline: Duration,
}

/// Tells how a run starts.
#[data]
pub enum Start {
    /// From the prompt alone.
    Fresh,
    /// From the prompt and the tokens of the local answer.
    Resume,
    /// From a KV cache that is exported at the source and imported first.
    Import {
        /// Run to which the KV cache belongs.
        from: Attempt,
        /// Address of the upstream that exports the cache.
        source: SocketAddr,
    },
    /// Continues the same run on a new connection, after the tokens of the local answer.
    Rejoin,
}

/// Tells what happened to a run.
#[data]
pub enum Event {
    /// The request was written to the upstream and may have run from this point on.
    Sent,
    /// Tokens were added to the answer.
    Tokens {
        /// Last position in the answer.
        position: u32,
    },
    /// The answer is complete, including its end mark.
    Ended {
        /// Number of tokens in the answer; zero for a plain service.
        position: u32,
    },
    /// The run ended without a complete answer.
    Failed(Failure),
}

/// Tells why and at which step a run ended without a complete answer.
#[data]
pub struct Failure {
    /// Step that failed.
    pub step: Step,
    /// Observed cause.
    pub cause: Cause,
    /// Whether the request certainly did not run: nothing was sent, or the upstream said so.
    pub not_run: bool,
}

/// Step of a run.
#[data(copy, ord, hash)]
pub enum Step {
    /// Opening the connection; nothing has been sent.
    Connect,
    /// Writing the request.
    Write,
    /// Waiting for the response head.
    Head,
    /// Reading the answer.
    Read,
    /// Exporting the KV cache at the old upstream.
    Export,
    /// Importing the KV cache at the new upstream.
    Import,
}

/// Observed cause of a failure.
#[data(copy, ord, hash)]
pub enum Cause {
    /// The connection was refused, reset or closed.
    Closed,
    /// Nothing arrived within the stall limit.
    Silent,
    /// The upstream reported that it did not run the request.
    Refused,
    /// The upstream answered with an error.
    Error,
    /// The answer ended without its end mark.
    Cut,
    /// A token position was skipped.
    Gap,
    /// The deadline passed.
    Deadline,
    /// The upstream does not know the run that was to be rejoined.
    Forgotten,
}
