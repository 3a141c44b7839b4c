//! What an instance wants done.

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

/// Wants one thing done; outputs are taken in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a message over the connection to another instance.
    Send {
        /// The instance.
        to: Instance,
        /// Where it is reached.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Sends a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        frame: Box<Frame>,
    },
    /// Writes and syncs; then the mark is given back as `Input::WriteDurable`.
    Store {
        /// Rises by one with each write.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// Tells a caller what it gets; a later one for the same ticket replaces an earlier.
    Verdict {
        /// The caller.
        ticket: Ticket,
        /// What it gets.
        verdict: Verdict,
    },
    /// Tells a subscriber that this instance does not own the request.
    NotOwner(Ticket),
    /// Runs a request at an upstream.
    Run(Run),
    /// Stops a run at its upstream and drops its late tokens.
    Cancel(ActiveRun),
    /// Copies the answer, and all that is added to it, to the second holder; none stops it.
    Mirror {
        /// The request.
        request: Request,
        /// The epoch under which it is copied.
        epoch: u16,
        /// The second holder; its address is among those told.
        to: Option<Instance>,
    },
    /// Makes the answer held here this instance's own, in an epoch.
    TakeOwnership {
        /// The request.
        request: Request,
        /// The epoch.
        epoch: u16,
    },
    /// Frees the answer held here, unless it is of a later epoch by now.
    Forget {
        /// The request.
        request: Request,
        /// The epoch.
        epoch: u16,
    },
    /// Gives an order to an upstream; answered by `Input::Ordered`.
    Order {
        /// Where it is reached.
        address: SocketAddr,
        /// The order; void after its expiry.
        delivery: OrderDelivery,
    },
    /// Asks an upstream for its state; answered by `Input::Read`.
    ReadState {
        /// Where it is reached.
        address: SocketAddr,
        /// The upstream.
        upstream: Upstream,
        /// Comes back in the answer.
        question: u64,
    },
    /// Asks the cloud what it offers and has given; answered by `Input::Surveyed`.
    Survey,
    /// Starts or stops a machine; a start is answered by `Input::Started`.
    Cloud(plan::Order),
    /// Replies to a call.
    Reply {
        /// The call.
        call: operator::CallId,
        /// The reply.
        reply: operator::Reply,
    },
    /// Says where the other instances are reached.
    Addresses(Vec<(Instance, SocketAddr)>),
    /// Tells what happened, for logs and metrics.
    Notice(Notice),
    /// Asks the driver to stop this instance gracefully, as an operator wants it.
    Drain,
    /// Tells that nothing is left here after `Stop`.
    Stopped,
}
