//! Inputs and outputs of a core.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_replica::setup::Timing as LogTiming;
use verbenaslip_replica::storage::{Recovered, Write};

use crate::core::event::Event;
use crate::frame::{Frame, Peer, Request, Response};
use crate::order::{self, Order, Outcome};
use crate::quarantine::QuarantinePolicy;

/// Configures a core.
pub struct Setup {
    /// Identity of this instance; its voter is the one in the data directory.
    pub local_peer: Peer,
    /// Addresses of cores through which the instance joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Cores that form the log at the first start of the fleet; empty at any later start.
    pub founders: Vec<SocketAddr>,
    /// Contents recovered from the data directory.
    pub recovered: Recovered,
    /// Wanted number of voters: twice the number of disks that may be lost at once, plus one.
    pub target_voter_count: usize,
    /// Interval between two announcements of an upstream.
    pub announce_interval: Duration,
    /// Timing of the replicated log.
    pub log_timing: LogTiming,
    /// Timing of orders to the cloud; `None` without a cloud.
    pub order_timing: Option<order::Timing>,
    /// When a poison request is quarantined.
    pub quarantine_policy: QuarantinePolicy,
    /// Secret that makes request fingerprints unpredictable; used if this core is the first to
    /// lead.
    pub fingerprint_secret: u128,
    /// Seed of all random choices, which must differ between any two starts of any instances.
    pub seed: u64,
    /// The machine's clock, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Describes what has happened.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The machine's clock, in Unix milliseconds.
    WallClock(u64),
    /// A frame has arrived.
    Frame(Box<Frame>),
    /// An operator or upstream has sent a call; it is answered once, with the same identifier.
    Call {
        /// Identifies the call in its answer.
        id: u64,
        /// The call.
        request: Request,
    },
    /// All writes up to this sequence number are durable.
    Stored(u64),
    /// The cloud has answered an order.
    OrderFinished {
        /// Identifier of the order.
        id: u64,
        /// Outcome of the order.
        outcome: Outcome,
    },
    /// The settings contain new seed addresses.
    Seeds(Vec<SocketAddr>),
    /// The settings contain a new quarantine policy.
    QuarantinePolicy(QuarantinePolicy),
    /// The instance is shutting down.
    Stop,
}

/// Describes an action for the driver; outputs must be carried out in order.
#[derive(Debug)]
pub enum Output {
    /// Sends a frame to one instance.
    Send {
        /// Receiver of the frame.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Sends the same frame to several instances.
    Multicast {
        /// Receivers of the frame.
        to: Vec<SocketAddr>,
        /// The frame.
        frame: Frame,
    },
    /// Writes and syncs; the sequence number is returned in [`Input::WriteDurable`].
    Store {
        /// Sequence number, which rises with each write.
        sequence: u64,
        /// The write.
        write: Write,
    },
    /// Answers a call.
    Reply {
        /// Identifier of the call.
        id: u64,
        /// The answer.
        response: Response,
    },
    /// Gives an order to the cloud.
    Order(Order),
    /// Reports a decision or change for the event log.
    Event(Event),
}
