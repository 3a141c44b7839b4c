//! What the traffic threads tell the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::data;
use verbenaslip_request::caller::{Arrival, Ticket};
use verbenaslip_request::run::Event;

/// Tells the control thread what happened at callers, upstreams and other instances.
#[data]
pub enum Report {
    /// A caller has sent a request whole and waits for a verdict.
    Arrived {
        /// The request; its deadline is `Duration::MAX` when the caller gave none.
        arrival: Arrival,
        /// How long after arrival the caller wants the whole answer; none leaves it to the row.
        due: Option<Duration>,
    },
    /// A caller's connection closed before its answer ended.
    Gone {
        /// The connection.
        ticket: Ticket,
    },
    /// A caller was given the end of its answer, a refusal or an unknown outcome.
    Served {
        /// The connection.
        ticket: Ticket,
    },
    /// Something happened to a run.
    Run {
        /// The run.
        attempt: Attempt,
        /// What happened.
        event: Event,
    },
    /// The instance whose answer was passed on can't be read any more; the caller waits on.
    RelayLost {
        /// The caller's connection, which needs a new verdict.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// The last position that was fetched.
        after: u32,
    },
    /// Another instance holds a copy of an answer up to a position.
    Mirrored {
        /// The request.
        request: Request,
        /// The other instance's peer address.
        to: SocketAddr,
        /// The last position it holds.
        position: u32,
        /// Whether it holds the answer's end as well.
        whole: bool,
    },
    /// The copying of an answer to another instance has ended before the answer's end.
    MirrorLost {
        /// The request.
        request: Request,
        /// The other instance's peer address.
        to: SocketAddr,
    },
}
