//! What one instance's requests are told.

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

/// Tells of one thing that happened.
#[data]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// Another instance is alive; also after a restart, which a new `boot` shows. One that is known
    /// from the settings but away is told as joined and lost, so that what it may hold is missed.
    Joined(Member),
    /// Another instance does not answer; it may yet.
    Suspected(Instance),
    /// Another instance that was suspected answers.
    Cleared(Instance),
    /// Another instance seems dead, which may be wrong.
    Lost(Instance),
    /// Another instance has stopped for good.
    Left(Instance),
    /// A caller has sent a whole request.
    Arrived(Arrival),
    /// Another instance wants to pass on this instance's answer to its caller.
    Subscribed {
        /// Stands for the other instance's connection, until `PastDeparture`.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// The last position that the caller has.
        after: u32,
    },
    /// A caller's, or subscriber's, connection is closed.
    Gone(Ticket),
    /// The instance that a caller was relayed to does not own the request, or its connection broke.
    RelayLost {
        /// The caller.
        ticket: Ticket,
        /// The last position that the caller has by now.
        after: u32,
    },
    /// The policy lets a request in.
    Admitted(Request),
    /// The policy refuses a request.
    Declined {
        /// The request.
        request: Request,
        /// Why.
        refusal: Refusal,
    },
    /// The quorum has answered a claim.
    Claimed {
        /// The request.
        request: Request,
        /// Its claimant, as it was sent.
        claimant: u128,
        /// The answer.
        ruling: Ruling,
    },
    /// The router has chosen an upstream.
    Placed {
        /// The request.
        request: Request,
        /// Where it goes.
        place: Placement,
    },
    /// The router has found no upstream.
    NoPlace {
        /// The request.
        request: Request,
        /// How long to wait before asking again; none when there is no hope.
        wait: Option<Duration>,
        /// What the caller is told when it is given up and surely did not run.
        refusal: Refusal,
    },
    /// The retry budget has answered.
    Retry {
        /// The request.
        request: Request,
        /// How long to wait before it is placed again; none when it may not be.
        granted: Option<Duration>,
    },
    /// Something became of a run.
    Ran {
        /// The run.
        attempt: Attempt,
        /// What became of it.
        event: run::Event,
    },
    /// The second holder has the answer up to here: told at both ends.
    Mirrored {
        /// The request.
        request: Request,
        /// The last position held at the second holder.
        position: u32,
    },
    /// The second holder also has the end mark, or a plain service's whole answer: told at both
    /// ends.
    MirrorEnded(Request),
    /// An upstream leaves.
    Leaving {
        /// The upstream.
        upstream: Upstream,
        /// Time until it is taken away; none when it ends its streams first.
        notice: Option<Duration>,
    },
    /// An upstream's lease has run out.
    Lapsed(Upstream),
    /// An upstream takes new work again: a new incarnation is ready.
    Ready(Upstream),
    /// Another instance says something.
    Heard {
        /// The instance.
        from: Instance,
        /// What it says.
        message: Message,
    },
    /// This instance stops within the time given.
    Stop {
        /// Time until it must be gone.
        remaining: Duration,
    },
}

/// Describes another instance.
#[data]
pub struct Member {
    /// Its name.
    pub instance: Instance,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Differs between two of its starts; zero when not known.
    pub boot: u64,
}

/// Says where a request goes.
#[data]
pub struct Placement {
    /// The upstream.
    pub upstream: Upstream,
    /// Its address.
    pub address: SocketAddr,
    /// What kind of back end it is.
    pub kind: Kind,
    /// The priority given to the upstream; higher goes first.
    pub priority: i32,
    /// Tokens of the prompt that its cache is thought to hold.
    pub cached: u32,
    /// Whether it can import a KV cache.
    pub imports: bool,
}
