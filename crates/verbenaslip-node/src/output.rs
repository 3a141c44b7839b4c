//! Actions that an instance requests from its driver.

use std::net::SocketAddr;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_gossip::Frame;
use verbenaslip_policy::plan;
use verbenaslip_replica::storage::Write;
use verbenaslip_request::caller::{Ticket, Verdict};
use verbenaslip_request::message::ActiveRun;
use verbenaslip_request::run::Run;
use verbenaslip_state::order::dispatcher::OrderDelivery;

use crate::message::Message;
use crate::notice::Notice;
use crate::operator;

/// Describes one action; the driver carries the actions out in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a message over the connection to another instance.
    Send {
        /// Receiver of the message.
        to: Instance,
        /// Address of the receiver.
        address: SocketAddr,
        /// Content of the message.
        message: Message,
    },
    /// Sends a datagram.
    Datagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content of the datagram.
        frame: Box<Frame>,
    },
    /// Writes to storage and syncs, then reports the sequence number by `Input::WriteDurable`.
    Store {
        /// Sequence number, which rises by one with each write.
        sequence: u64,
        /// Content of the write.
        write: Write,
    },
    /// Tells a caller the result of its request; a later verdict for a ticket replaces an earlier
    /// one.
    Verdict {
        /// Ticket of the caller.
        ticket: Ticket,
        /// Result for the caller.
        verdict: Verdict,
    },
    /// Tells a subscriber that this instance does not own the request.
    NotOwner(Ticket),
    /// Runs a request on an upstream.
    Run(Run),
    /// Stops a run on its upstream and drops tokens that arrive later.
    Cancel(ActiveRun),
    /// Copies the answer and everything appended to it to the second holder; none ends the copying.
    Mirror {
        /// Request whose answer is copied.
        request: Request,
        /// Epoch of the owner that copies the answer.
        epoch: u16,
        /// Second holder, whose address is in the last `Output::Addresses`.
        to: Option<Instance>,
    },
    /// Makes this instance the owner of an answer that it holds a copy of.
    TakeOwnership {
        /// Request whose answer is taken over.
        request: Request,
        /// Epoch of the ownership.
        epoch: u16,
    },
    /// Discards the answer held here, unless it belongs to a later epoch by now.
    Forget {
        /// Request whose answer is discarded.
        request: Request,
        /// Latest epoch that is discarded.
        epoch: u16,
    },
    /// Sends an order to an upstream, which is answered by `Input::OrderAnswered`.
    Order {
        /// Address of the upstream.
        address: SocketAddr,
        /// Order, which is void after its expiry.
        delivery: OrderDelivery,
    },
    /// Asks an upstream for its state, which is answered by `Input::StateRead`.
    ReadState {
        /// Address of the upstream.
        address: SocketAddr,
        /// Upstream that is asked.
        upstream: Upstream,
        /// Number that is repeated in the answer.
        question: u64,
    },
    /// Asks the cloud for its offers and machines, which is answered by `Input::Surveyed`.
    Survey,
    /// Starts or stops a machine; a start is answered by `Input::Started`.
    Cloud(plan::Order),
    /// Replies to a call.
    Reply {
        /// Identifier of the call.
        call: operator::CallId,
        /// Content of the reply.
        reply: operator::Reply,
    },
    /// Lists the addresses of the other instances.
    Addresses(Vec<(Instance, SocketAddr)>),
    /// Reports an event for logs and metrics.
    Notice(Notice),
    /// Asks the driver to start a planned stop of this instance.
    Drain,
    /// Reports that a planned stop has ended and nothing is left to do.
    Stopped,
}
