//! Announcements, which upstreams send about themselves.

use std::net::SocketAddr;

use crate::data;
use crate::name::{AvailabilityZone, Model, Upstream};

/// Describes an upstream and its state; a newer announcement replaces all earlier ones.
#[data]
pub struct Announcement {
    /// The upstream's name, kept across restarts.
    pub upstream: Upstream,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: AvailabilityZone,
    /// The kind of back end.
    pub kind: Kind,
    /// The incarnation number, which increases at each start of the upstream.
    pub incarnation: u64,
    /// The sequence number, which increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// The models or plain services that it offers.
    pub models: Vec<Model>,
    /// How its machine is paid for.
    pub market: Market,
    /// The price per hour in millionths of the currency unit.
    pub price: u64,
    /// Whether it rejects an order with an outdated fencing number; false when it did not say.
    pub fenced: bool,
    /// The number of requests that it can run at once.
    pub slots: u32,
    /// Its latest load report.
    pub load: Load,
}

/// Distinguishes model engines from plain services.
#[data(copy, ord, hash)]
pub enum Kind {
    /// Generates tokens and streams them.
    Engine,
    /// Returns each answer in one piece, and may not support resuming or canceling a request.
    Service,
}

/// Tells whether an upstream accepts new requests.
#[data(copy, ord, hash)]
pub enum Phase {
    /// Running, but not yet able to serve requests.
    Warming,
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests for the rest of this incarnation.
    Leaving {
        /// Milliseconds from the announcement until the machine is reclaimed; none when the
        /// upstream stops on its own.
        notice: Option<u32>,
    },
}

/// Tells how the machine of an instance or upstream is paid for.
#[data(copy, ord, hash)]
pub enum Market {
    /// Cheaper, but can be reclaimed by the cloud at any time.
    Reclaimable,
    /// Kept until it is given back.
    OnDemand,
}

/// Reports the load of an upstream as measured shortly before the announcement.
#[data(copy, default)]
pub struct Load {
    /// The number of requests that are running.
    pub running: u32,
    /// The number of requests that are queued in the upstream.
    pub waiting: u32,
    /// The fraction of KV cache memory in use, in thousandths.
    pub memory: u16,
    /// The time between the measurement and the announcement, in milliseconds.
    pub age: u32,
}
