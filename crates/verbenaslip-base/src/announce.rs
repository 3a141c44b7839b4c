//! What an upstream says about itself.

use std::net::SocketAddr;

use crate::data;
use crate::name::{AvailabilityZone, Model, Upstream};

/// Says what an upstream is, where it is and how it does; the newest one replaces all before it.
#[data]
pub struct Announcement {
    /// The upstream's name, kept across restarts.
    pub upstream: Upstream,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// What kind of back end it is.
    pub kind: Kind,
    /// Rises at each start of the upstream.
    pub incarnation: u64,
    /// Rises at each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it takes new work.
    pub phase: Phase,
    /// The models or services it has loaded.
    pub models: Vec<Model>,
    /// How it is paid for.
    pub market: Market,
    /// Price in millionths of the currency unit for an hour.
    pub price: u64,
    /// Whether it refuses an order with an old fencing number; false when it did not say.
    pub fenced: bool,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Its last load report.
    pub load: Load,
}

/// Tells model engines from plain services.
#[data(copy, ord, hash)]
pub enum Kind {
    /// Generates tokens and streams them.
    Engine,
    /// Answers whole, and may not know how to resume or cancel.
    Service,
}

/// Says whether an upstream takes new work.
#[data(copy, ord, hash)]
pub enum Phase {
    /// Alive but not yet able to serve.
    Warming,
    /// Takes new work.
    Ready,
    /// Takes no new work ever again in this incarnation.
    Leaving {
        /// Milliseconds from the announcement until it is taken away; none when it leaves on its own.
        notice: Option<u32>,
    },
}

/// Says how an instance or upstream is paid for.
#[data(copy, ord, hash)]
pub enum Market {
    /// Cheaper, and may be taken back at any moment.
    Reclaimable,
    /// Kept until given back.
    OnDemand,
}

/// Reports what an upstream was doing a little while ago.
#[data(copy, default)]
pub struct Load {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting in the upstream.
    pub waiting: u32,
    /// Share of KV cache memory in use, in thousandths.
    pub memory: u16,
    /// Milliseconds between the measurement and the announcement.
    pub age: u32,
}
