//! Callers' connections, runs at upstreams and the answers between them.
//!
//! [`server`] takes callers' connections. A request is read whole ([`parse`], [`body`]) and told to
//! the control thread as an arrival, under a [`ticket`]. The control thread answers with verdicts for
//! the caller and with runs at upstreams. A run ([`client`]) adds pieces to the request's [`shelf`];
//! a [`reader`] follows its caller's verdicts through the shelves that they name, and [`stream`]
//! writes what it reads. [`relay`] reads a shelf of another instance and [`mirror`] copies one there;
//! [`plane`] is the other end of both. Token text stays here: the control thread sees counts only.
//! Nothing here decides where or whether a request runs.

mod body;
mod chunk;
mod client;
mod dial;
pub mod engine;
mod error;
mod limit;
mod mirror;
mod pace;
mod parse;
mod payload;
mod plane;
mod prefix;
mod reader;
mod relay;
mod report;
mod server;
mod shared;
mod shelf;
mod shelves;
mod sse;
mod steady;
mod stream;
mod ticket;
mod token;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;
use verbenaslip_request::caller::{Ticket, Verdict};
use verbenaslip_request::message::ActiveRun;
use verbenaslip_request::run::Run;

use crate::keys::Keys;
pub use crate::traffic::limit::Limits;
pub use crate::traffic::prefix::blocks;
pub use crate::traffic::report::Report;
use crate::traffic::shared::Shared;
use crate::traffic::ticket::Word;

/// Sets up the traffic threads.
pub struct Setup {
    /// The address callers connect to; port 0 takes a free one.
    pub address: SocketAddr,
    /// How many threads carry traffic; at least one.
    pub threads: usize,
    /// Names the team of a caller's key.
    pub keys: Arc<dyn Keys>,
    /// What a caller may use up.
    pub limits: Limits,
    /// The origin of the monotonic clock that deadlines are given on.
    pub origin: Instant,
    /// A number that no other start of any instance uses; identities of unkeyed requests come from it.
    pub seed: u64,
    /// Who this instance is towards other instances.
    pub identity: crate::peers::Identity,
}

/// Counts what the traffic threads hold and did.
#[data(copy, default)]
pub struct Stats {
    /// Open callers' connections.
    pub connections: u64,
    /// Callers that wait for an answer or read one.
    pub callers: u64,
    /// Runs in progress.
    pub runs: u64,
    /// Answers held.
    pub answers: u64,
    /// Bytes of text in the answers held.
    pub bytes: u64,
    /// Inputs refused as malformed, too large, too slow or unauthenticated.
    pub rejected: u64,
    /// Events of an upstream dropped as late, repeated or of another attempt.
    pub dropped: u64,
    /// Connections ended because the caller read too slowly.
    pub stuck: u64,
}

/// Runs the traffic threads; dropping it ends them and every connection.
pub struct Traffic {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: tokio::sync::watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Binds the callers' address and starts the threads.
    ///
    /// The events channel must be unbounded: a traffic thread must not wait for the control thread.
    /// What is in it is bounded by the limits on connections.
    pub fn spawn(setup: Setup, events: Sender<Report>) -> io::Result<Self> {
        server::spawn(setup, events)
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives a waiting caller its verdict, or a new one in place of an earlier one.
    pub fn verdict(&self, ticket: Ticket, verdict: Verdict) {
        self.shared.tickets.give(ticket, Word::Verdict(verdict));
    }

    /// Tells another instance that asked for an answer that this one does not own it.
    pub fn absent(&self, ticket: Ticket) {
        self.shared.tickets.give(ticket, Word::Absent);
    }

    /// Starts a run; its events come as reports.
    pub fn run(&self, run: Run) {
        client::start(&self.shared, run);
    }

    /// Ends a run and tells its upstream; no more events of it come from here on.
    pub fn cancel(&self, live: &ActiveRun) {
        client::cancel(&self.shared, live);
    }

    /// Makes a request's answer this instance's own in an epoch; copies of earlier ones are late.
    pub fn own(&self, request: Request, epoch: u16) {
        self.shared.shelves.of(request, epoch).own(epoch);
    }

    /// Drops a request's answer and what still feeds it, unless it is of a later epoch.
    pub fn forget(&self, request: Request, epoch: u16) {
        self.shared.forget(request, epoch);
    }

    /// Copies a request's answer to the second holder as it grows, until it is whole; none ends it.
    ///
    /// While there is a second holder, callers get only what it has. A lost connection is made
    /// again; reports say how far the copy is.
    pub fn mirror(&self, request: Request, epoch: u16, to: Option<Instance>) {
        mirror::set(&self.shared, request, epoch, to);
    }

    /// Says where other instances take frames, so that answers can be fetched from them.
    pub fn peers(&self, addresses: BTreeMap<Instance, SocketAddr>) {
        *shared::lock(&self.shared.addresses) = addresses;
    }

    /// Takes over a connection of another instance that asks for or brings answers.
    pub fn adopt(&self, stream: TcpStream) {
        plane::adopt(&self.shared, stream);
    }

    /// Returns the last position held of a request's answer; none when there is no answer.
    pub fn position(&self, request: Request) -> Option<u32> {
        self.shared.shelves.find(request).map(|shelf| shelf.position())
    }

    /// Closes the callers' listener; open connections go on.
    pub fn stop_accepting(&self) {
        self.shared.accepting.store(false, Ordering::Release);
        self.shared.closing.notify_waiters();
    }

    /// Counts what the traffic threads hold and did.
    pub fn stats(&self) -> Stats {
        self.shared.stats()
    }

    /// Returns the monotonic time that deadlines are given on.
    pub fn now(&self) -> Duration {
        self.shared.now()
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop_accepting();
        self.stop.send_replace(true);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
