//! What the traffic threads tell the control thread.

use std::time::Duration;

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;
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
    /// Another instance wants to pass on this instance's answer to its caller.
    Subscribed {
        /// Stands for the other instance's connection until it is served or gone.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// The last position that the caller has.
        after: u32,
    },
    /// The second holder holds a copy of an answer up to a position.
    Mirrored {
        /// The request.
        request: Request,
        /// The second holder.
        to: Instance,
        /// The last position it holds.
        position: u32,
        /// Whether it holds the answer's end as well.
        whole: bool,
    },
    /// The second holder can't be reached, or does not take the copy; it is tried again.
    MirrorLost {
        /// The request.
        request: Request,
        /// The second holder.
        to: Instance,
    },
    /// This instance, as second holder, holds a copy of an answer up to a position.
    Copied {
        /// The request.
        request: Request,
        /// The owner's epoch.
        epoch: u16,
        /// The last position held.
        position: u32,
        /// Whether the answer's end is held as well.
        whole: bool,
    },
}
