//! What the traffic threads and the decisions say to each other about runs at upstreams.

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
    /// The run's identity; events of any other attempt are dropped.
    pub attempt: Attempt,
    /// The upstream.
    pub upstream: Upstream,
    /// Its address.
    pub address: SocketAddr,
    /// What kind of back end it is.
    pub kind: Kind,
    /// What is sent.
    pub body: Arc<Body>,
    /// How the run begins.
    pub start: Start,
    /// The priority given to the upstream; higher goes first.
    pub priority: i32,
    /// The longest silence before the run counts as stalled.
    pub stall: Duration,
    /// Monotonic time by which the run must have ended.
    pub deadline: Duration,
}

/// Says how a run begins.
#[data]
pub enum Start {
    /// From the prompt alone.
    Fresh,
    /// From the prompt and the tokens that the local answer already holds.
    Resume,
    /// From a KV cache exported at the source, imported first.
    Import {
        /// The run whose cache it is.
        from: Attempt,
        /// The upstream that exports.
        source: SocketAddr,
    },
    /// The same run on a new connection, after the tokens that the local answer already holds.
    Rejoin,
}

/// Tells what became of a run.
#[data]
pub enum Event {
    /// The request was written to the upstream, so from here it may have run.
    Sent,
    /// Tokens were assembled; counts, never text.
    Tokens {
        /// The last position assembled.
        position: u32,
    },
    /// The answer is whole, with its end mark.
    Ended {
        /// Tokens in the whole answer; zero for a plain service.
        position: u32,
    },
    /// The run ended without a whole answer.
    Failed(Failure),
}

/// Says why and at which step a run ended without a whole answer.
#[data]
pub struct Failure {
    /// The step at which it failed.
    pub step: Step,
    /// What was noticed.
    pub cause: Cause,
    /// Whether the request surely did not run: nothing was sent, or the upstream said so.
    pub not_run: bool,
}

/// Names the steps of a run.
#[data(copy, ord, hash)]
pub enum Step {
    /// Opening the connection; nothing has been sent.
    Connect,
    /// Writing the request.
    Write,
    /// Waiting for the answer's head.
    Head,
    /// Reading the answer.
    Read,
    /// Exporting the KV cache at the old upstream.
    Export,
    /// Importing the KV cache at the new upstream.
    Import,
}

/// Names what was noticed.
#[data(copy, ord, hash)]
pub enum Cause {
    /// The connection was refused, reset or closed.
    Closed,
    /// Nothing came for the stall limit.
    Silent,
    /// The upstream said that it did not run it.
    Refused,
    /// The upstream answered with an error.
    Error,
    /// The answer ended without its end mark.
    Cut,
    /// A position was skipped.
    Gap,
    /// The deadline passed.
    Deadline,
    /// It does not know the run asked for again.
    Forgotten,
}
