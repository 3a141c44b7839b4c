//! The platform's cloud API and weight store over HTTP.
//!
//! Each call blocks and opens a connection of its own, so that they run on a thread of their own.

mod http;

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

pub use crate::cloud::http::{Http, Weights};

/// Speaks with the cloud API.
pub trait Cloud: Send + Sync {
    /// Reads the prices of the moment.
    fn prices(&self) -> Result<Vec<Price>, Error>;
    /// Reads the reclaim notices since a sequence number.
    fn notices(&self, since: u64) -> Result<Notices, Error>;
    /// Orders a machine; the same order's identity orders it once.
    fn start(&self, order: &Order) -> Result<Started, Error>;
    /// Gives a machine back; a second time does no harm.
    fn stop(&self, name: &str) -> Result<(), Error>;
    /// Lists the machines.
    fn list(&self) -> Result<Vec<Machine>, Error>;
}

/// Speaks with the weight store.
pub trait Store: Send + Sync {
    /// Has a model's weights fetched to an upstream.
    fn fetch(&self, model: &Model, upstream: &Upstream) -> Result<Fetched, Error>;
    /// Reads how much of the rate is used.
    fn budget(&self) -> Result<Budget, Error>;
}

/// Tells the price of one class of machines.
#[data]
pub struct Price {
    /// Where.
    pub zone: AvailabilityZone,
    /// The class of machines.
    pub machine: Arc<str>,
    /// How it is paid for.
    pub market: Market,
    /// Millionths of the currency unit for an hour.
    pub price: u64,
}

/// Holds the notices since a sequence number.
#[data]
pub struct Notices {
    /// The sequence number to ask from next.
    pub next: u64,
    /// The notices.
    pub notices: Vec<Notice>,
}

/// Tells of a machine that will be taken.
#[data]
pub struct Notice {
    /// The sequence number.
    pub sequence: u64,
    /// The instance or upstream.
    pub name: Arc<str>,
    /// How long from now.
    pub deadline: Duration,
}

/// Orders one machine.
#[data]
pub struct Order {
    /// The order's identity, the same for a resend.
    pub request: Arc<str>,
    /// Where.
    pub zone: AvailabilityZone,
    /// The class of machines.
    pub machine: Arc<str>,
    /// How it is paid for.
    pub market: Market,
    /// The model that it is to serve.
    pub model: Model,
}

/// Says what became of an order.
#[data]
pub enum Started {
    /// The machine's name.
    Named(Arc<str>),
    /// The cloud has none of that class.
    Refused(Arc<str>),
}

/// Tells of one machine.
#[data]
pub struct Machine {
    /// Its name.
    pub name: Arc<str>,
    /// Where it is.
    pub zone: AvailabilityZone,
    /// Its class.
    pub machine: Arc<str>,
    /// How it is paid for.
    pub market: Market,
    /// What the cloud says of it.
    pub state: Arc<str>,
}

/// Says what became of a fetch.
#[data]
pub enum Fetched {
    /// It goes on.
    Accepted {
        /// Its identity.
        fetch: Arc<str>,
        /// How much is fetched.
        bytes: u64,
        /// How long it takes.
        time: Duration,
    },
    /// The rate is used up.
    Busy {
        /// When to ask again.
        retry: Duration,
    },
}

/// Tells how much of the weight store's rate is used.
#[data(copy)]
pub struct Budget {
    /// The rate.
    pub bytes_per_s: u64,
    /// How much of it is used.
    pub used: u64,
}

/// Says which call failed at which peer, and why.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {step} at {peer}: no answer ({cause}); check the address and that the service runs
    Unreachable {
        /// The call.
        step: &'static str,
        /// The service.
        peer: std::net::SocketAddr,
        /// What was noticed.
        cause: std::io::Error,
    },
    /// {step} at {peer}: unexpected status {status}
    Status {
        /// The call.
        step: &'static str,
        /// The service.
        peer: std::net::SocketAddr,
        /// The status.
        status: u16,
    },
    /// {step} at {peer}: the answer is not as agreed ({cause})
    Unreadable {
        /// The call.
        step: &'static str,
        /// The service.
        peer: std::net::SocketAddr,
        /// What was noticed.
        cause: String,
    },
}

impl std::error::Error for Error {}
