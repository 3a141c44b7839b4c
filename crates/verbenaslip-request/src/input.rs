//! Events that the requests of one instance handle.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance, Upstream};
use verbenaslip_base::refusal::Refusal;

use crate::caller::{Arrival, Ticket};
use crate::claim::Ruling;
use crate::message::Message;
use crate::run;

/// One event for [`Requests::step`](crate::Requests::step).
#[data]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// Another instance is alive. Also sent after its restart, which a new `boot` shows. An
    /// instance known from the settings that is unreachable is reported as joined and then lost, so
    /// that the state it may hold counts as missing.
    Joined(Member),
    /// Another instance does not respond at the moment.
    Suspected(Instance),
    /// A suspected instance responds again.
    Cleared(Instance),
    /// Another instance is considered dead, possibly wrongly.
    Lost(Instance),
    /// Another instance has stopped permanently.
    Left(Instance),
    /// A caller has sent a complete request.
    Arrived(Arrival),
    /// Another instance wants to relay this instance's answer to its caller.
    Subscribed {
        /// Identifies the other instance's connection until `Gone`.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// Last token position that the caller has.
        after: u32,
    },
    /// The connection of a caller or subscriber is closed.
    Gone(Ticket),
    /// The instance to which a caller was relayed does not own the request, or the connection to
    /// it broke.
    RelayLost {
        /// The caller.
        ticket: Ticket,
        /// Last token position that the caller has by now.
        after: u32,
    },
    /// The policy admits a request.
    Admitted(Request),
    /// The policy refuses a request.
    Declined {
        /// The request.
        request: Request,
        /// Why the request is refused.
        refusal: Refusal,
    },
    /// The quorum has answered a claim.
    Claimed {
        /// The request.
        request: Request,
        /// Claimant of the claim that was sent.
        claimant: u128,
        /// Answer of the quorum.
        ruling: Ruling,
    },
    /// The router has chosen an upstream.
    Placed {
        /// The request.
        request: Request,
        /// Upstream that was chosen.
        place: Placement,
    },
    /// The router has found no upstream.
    NoPlace {
        /// The request.
        request: Request,
        /// How long to wait before asking again; `None` if asking again is pointless.
        wait: Option<Duration>,
        /// Refusal for the caller, if the request is given up and certainly did not run.
        refusal: Refusal,
    },
    /// The retry budget has answered.
    Retry {
        /// The request.
        request: Request,
        /// How long to wait before the next placement; `None` if a retry is not allowed.
        granted: Option<Duration>,
    },
    /// The state of a run has changed.
    Ran {
        /// The run.
        attempt: Attempt,
        /// What happened to the run.
        event: run::Event,
    },
    /// The second holder has the answer up to a position. Reported at both instances.
    Mirrored {
        /// The request.
        request: Request,
        /// Last position that the second holder has.
        position: u32,
    },
    /// The second holder also has the end mark, or the complete response of a plain service.
    /// Reported at both instances.
    MirrorEnded(Request),
    /// An upstream leaves.
    Leaving {
        /// The upstream.
        upstream: Upstream,
        /// Time until the upstream is removed; `None` if it finishes its streams first.
        notice: Option<Duration>,
    },
    /// The lease of an upstream has expired.
    Lapsed(Upstream),
    /// A new incarnation of an upstream is ready for work.
    Ready(Upstream),
    /// A message from another instance has arrived.
    Heard {
        /// Sender.
        from: Instance,
        /// Content.
        message: Message,
    },
    /// This instance shuts down within the given time.
    Stop {
        /// Time until this instance must have stopped.
        remaining: Duration,
    },
}

/// Describes another instance.
#[data]
pub struct Member {
    /// Name.
    pub instance: Instance,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Number that differs between any two starts of the instance; zero if unknown.
    pub boot: u64,
}

/// Describes the upstream chosen for a request.
#[data]
pub struct Placement {
    /// The upstream.
    pub upstream: Upstream,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Kind of back end.
    pub kind: Kind,
    /// Priority of the request at the upstream; a higher one is served first.
    pub priority: i32,
    /// Estimated number of prompt tokens in the upstream's cache.
    pub cached: u32,
    /// Whether the upstream can import a KV cache.
    pub imports: bool,
}
