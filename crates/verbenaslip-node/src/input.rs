//! What an instance is told.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::announce::Announcement;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_gossip::Frame;
use verbenaslip_policy::route::CacheBatch;
use verbenaslip_request::caller::{Arrival, Ticket};
use verbenaslip_request::run;
use verbenaslip_state::order;

use crate::capacity::Survey;
use crate::message::Message;
use crate::operator;

/// Tells of one thing that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// The wall clock shows this, in Unix milliseconds.
    Clock(u64),
    /// Another instance's message has come.
    Peer {
        /// The instance.
        from: Instance,
        /// The message.
        message: Message,
    },
    /// A datagram has come.
    Datagram {
        /// The address it came from.
        from: SocketAddr,
        /// What it says.
        frame: Box<Frame>,
    },
    /// A caller has sent a whole request.
    Arrived {
        /// The request; its deadline is not looked at.
        arrival: Arrival,
        /// How long after arrival the caller wants the whole answer; none leaves it to the row.
        timeout: Option<Duration>,
    },
    /// A caller's, or subscriber's, connection is closed or its answer ended.
    ConnectionClosed(Ticket),
    /// Another instance wants to pass on this instance's answer to its caller.
    Subscribed {
        /// Stands for the other instance's connection.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// The last position that the caller has.
        after: u32,
    },
    /// The instance that a caller was relayed to does not own the request, or can't be reached.
    RelayLost {
        /// The caller.
        ticket: Ticket,
        /// The last position that the caller has by now.
        after: u32,
    },
    /// Something became of a run.
    RunEvent {
        /// The run.
        attempt: Attempt,
        /// What became of it.
        event: run::Event,
    },
    /// The second holder has the answer up to here: told at both ends.
    Mirrored {
        /// The request.
        request: Request,
        /// The last position held there.
        position: u32,
        /// Whether the end is held there as well.
        complete: bool,
    },
    /// An upstream has announced itself here; answered by a reply.
    Announced {
        /// Names the call in the reply.
        call: operator::CallId,
        /// What it says.
        announcement: Box<Announcement>,
    },
    /// An operator or a probe asks for something; answered by a reply.
    Called {
        /// Names the call in the reply.
        call: operator::CallId,
        /// What is asked.
        request: operator::OperatorCall,
    },
    /// The cloud takes an upstream away.
    Reclaimed {
        /// The upstream.
        upstream: Upstream,
        /// In how long.
        notice: Duration,
    },
    /// All writes up to a mark are durable.
    WriteDurable {
        /// The mark of the last one.
        sequence: u64,
    },
    /// An upstream has answered an order, or did not.
    OrderAnswered {
        /// The upstream.
        upstream: Upstream,
        /// The order's number.
        fence: Fence,
        /// What it answered.
        answer: order::dispatcher::Answer,
    },
    /// An upstream has told its state.
    StateRead {
        /// The upstream.
        upstream: Upstream,
        /// The question that it answers.
        question: u64,
        /// The state.
        state: order::dispatcher::UpstreamState,
    },
    /// The cloud has told what it offers and has given.
    Surveyed(Survey),
    /// The cloud has answered a start.
    Started {
        /// The start's identity.
        request: u128,
        /// The machine's name; none when it was refused.
        name: Option<Upstream>,
    },
    /// An engine has told what became of its prefix cache.
    CacheEvents {
        /// The engine.
        upstream: Upstream,
        /// What became of it.
        batch: CacheBatch,
    },
    /// This instance stops within the time given.
    Stop {
        /// Time until it must be gone.
        remaining: Duration,
    },
}
