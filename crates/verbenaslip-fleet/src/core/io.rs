//! What a core takes, and what it wants done.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_replica::setup::Timing as LogTiming;
use verbenaslip_replica::storage::{Recovered, Write};

use crate::core::event::Event;
use crate::frame::{Frame, Peer, Request, Response};
use crate::order::{self, Order, Outcome};
use crate::quarantine::QuarantinePolicy;

/// Sets a core up.
pub struct Setup {
    /// This instance; its voter is that of the folder.
    pub local_peer: Peer,
    /// Addresses of some cores to join through.
    pub seeds: Vec<SocketAddr>,
    /// The cores that form the log at the very first start of all; empty at any other.
    pub founders: Vec<SocketAddr>,
    /// What the data folder holds.
    pub recovered: Recovered,
    /// How many voters are wanted: twice the disks that may be lost at once, and one.
    pub target_voter_count: usize,
    /// Time between two announcements of an upstream.
    pub announce_interval: Duration,
    /// The times of the log.
    pub log_timing: LogTiming,
    /// The times of orders to the cloud; none when there is none.
    pub order_timing: Option<order::Timing>,
    /// When requests are held back that end upstreams.
    pub quarantine_policy: QuarantinePolicy,
    /// By what fingerprints of requests are made that nobody can foresee, if this core is the first to lead.
    pub fingerprint_secret: u128,
    /// Seeds every random choice.
    pub seed: u64,
    /// What this machine's clock shows, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Tells a core what happened.
#[derive(Debug)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// The machine's clock shows this, in Unix milliseconds.
    WallClock(u64),
    /// A frame has come.
    Frame(Box<Frame>),
    /// Somebody outside asks for something; answered once, with the same identity.
    Call {
        /// Names the call in its answer.
        id: u64,
        /// What is asked.
        request: Request,
    },
    /// All writes up to a mark are durable.
    Stored(u64),
    /// The cloud has answered an order.
    OrderFinished {
        /// The order.
        id: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// The settings name other addresses to join through.
    Seeds(Vec<SocketAddr>),
    /// The settings say something else of requests that end upstreams.
    QuarantinePolicy(QuarantinePolicy),
    /// This instance is about to stop.
    Stop,
}

/// Wants something done; outputs are taken in order.
#[derive(Debug)]
pub enum Output {
    /// Sends a frame.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        frame: Frame,
    },
    /// Sends the same frame to several instances.
    Multicast {
        /// Where to.
        to: Vec<SocketAddr>,
        /// What it says.
        frame: Frame,
    },
    /// Writes and syncs; the mark comes back as [`Input::Stored`].
    Store {
        /// Rises with each write.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// Answers a call.
    Reply {
        /// The call.
        id: u64,
        /// The answer.
        response: Response,
    },
    /// Gives the cloud an order.
    Order(Order),
    /// Tells what this instance now believes, for the logs.
    Event(Event),
}
