//! Inputs of an instance.

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

/// Describes one event for an instance.
#[derive(Clone, Debug)]
pub enum Input {
    /// Reports that time has passed.
    Tick,
    /// Sets the wall-clock time, in Unix milliseconds.
    Clock(u64),
    /// Delivers a message of another instance.
    Peer {
        /// Sender of the message.
        from: Instance,
        /// Content of the message.
        message: Message,
    },
    /// Delivers a datagram.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Decoded content of the datagram.
        frame: Box<Frame>,
    },
    /// Delivers a complete request of a caller.
    Arrived {
        /// Request; its deadline is ignored.
        arrival: Arrival,
        /// Time after arrival within which the caller wants the whole answer; none uses the row's.
        timeout: Option<Duration>,
    },
    /// Reports that the connection of a caller or subscriber was closed, or that its answer ended.
    ConnectionClosed(Ticket),
    /// Reports that another instance wants to relay this instance's answer to its caller.
    Subscribed {
        /// Ticket of the connection of the other instance.
        ticket: Ticket,
        /// Request whose answer is relayed.
        request: Request,
        /// Last position that the caller has received.
        after: u32,
    },
    /// Reports that the instance from which an answer is relayed is not the owner or unreachable.
    RelayLost {
        /// Ticket of the caller.
        ticket: Ticket,
        /// Last position that the caller has received so far.
        after: u32,
    },
    /// Reports an event of a run.
    RunEvent {
        /// Attempt to which the run belongs.
        attempt: Attempt,
        /// Event of the run.
        event: run::Event,
    },
    /// Reports how much of an answer the second holder has; the owner and the holder both get it.
    Mirrored {
        /// Request whose answer is copied.
        request: Request,
        /// Last position that the second holder has.
        position: u32,
        /// Whether the second holder also has the end of the answer.
        complete: bool,
    },
    /// Delivers the announcement of an upstream, which is answered by a reply.
    Announced {
        /// Identifies the call in the reply.
        call: operator::CallId,
        /// Content of the announcement.
        announcement: Box<Announcement>,
    },
    /// Delivers a call of an operator or a probe, which is answered by a reply.
    Called {
        /// Identifies the call in the reply.
        call: operator::CallId,
        /// Content of the call.
        request: operator::OperatorCall,
    },
    /// Reports that the cloud reclaims an upstream.
    Reclaimed {
        /// Upstream that is reclaimed.
        upstream: Upstream,
        /// Time until the upstream is gone.
        notice: Duration,
    },
    /// Reports that all writes up to a sequence number are durable.
    WriteDurable {
        /// Sequence number of the last durable write.
        sequence: u64,
    },
    /// Reports an upstream's answer to an order, or that no answer came.
    OrderAnswered {
        /// Upstream that received the order.
        upstream: Upstream,
        /// Fence number of the order.
        fence: Fence,
        /// Answer of the upstream.
        answer: order::dispatcher::Answer,
    },
    /// Reports the state that an upstream was asked for.
    StateRead {
        /// Upstream that answered.
        upstream: Upstream,
        /// Number of the question that is answered.
        question: u64,
        /// State of the upstream.
        state: order::dispatcher::UpstreamState,
    },
    /// Reports the offers of the cloud and the machines it has started.
    Surveyed(Survey),
    /// Reports the cloud's answer to a start order.
    Started {
        /// Identifier of the start order.
        request: u128,
        /// Name of the machine; none if the order was refused.
        name: Option<Upstream>,
    },
    /// Reports changes of an engine's prefix cache.
    CacheEvents {
        /// Engine whose cache changed.
        upstream: Upstream,
        /// Changes of the cache.
        batch: CacheBatch,
    },
    /// Starts a planned stop of this instance.
    Stop {
        /// Time until the instance must have stopped.
        remaining: Duration,
    },
}
