//! What a model engine stand-in is and how fast it is.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

/// Describes one model engine.
#[data]
pub struct Setup {
    /// Its name.
    pub upstream: Upstream,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// How it is paid for.
    pub market: Market,
    /// Price in millionths of the currency unit for an hour.
    pub price: u64,
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The models it has loaded at its start.
    pub models: Vec<Model>,
    /// Whether it refuses an order with an old fencing number.
    pub fenced: bool,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How long it warms up before it is ready.
    pub warm: Duration,
    /// How long a run goes on when nobody reads it.
    pub grace: Duration,
    /// How long an ended run can be read again.
    pub keep: Duration,
    /// Tokens of an answer whose request names no limit.
    pub output: u32,
    /// How fast it is.
    pub pace: Pace,
    /// Its prefix cache and what it tells of it.
    pub cache: Cache,
    /// Where and how it announces itself.
    pub announce: Announce,
    /// The weight store that it fetches models from.
    pub weights: Option<SocketAddr>,
}

/// Says how fast an engine is.
#[data(copy)]
pub struct Pace {
    /// Time between tokens when one request runs.
    pub token: Duration,
    /// What each further running request adds to the time between tokens.
    pub batch: Duration,
    /// Time to compute one prompt token that is not cached.
    pub prefill: Duration,
    /// Time to export or import one token of KV cache.
    pub transfer: Duration,
    /// Time to load a model when no weight store is set.
    pub load: Duration,
    /// How old the load reports are.
    pub lag: Duration,
}

/// Describes the prefix cache.
#[data(copy)]
pub struct Cache {
    /// The most blocks that it holds; 0 switches it off.
    pub blocks: u32,
    /// How late its events are published.
    pub delay: Duration,
    /// Loses every so-manieth event; 0 loses none.
    pub gap: u32,
    /// How many events can be read again.
    pub events: u32,
}

/// Says where and how an engine announces itself.
#[data]
pub struct Announce {
    /// The admin addresses, of which each announcement picks one.
    pub admins: Vec<SocketAddr>,
    /// The upstreams' key.
    pub key: String,
    /// Time between announcements.
    pub every: Duration,
    /// Picks the addresses.
    pub seed: u64,
}

/// Bytes of KV cache that a token takes.
pub(crate) const KV_BYTES: u64 = 131_072;

impl Setup {
    /// Describes a quick engine that announces itself nowhere.
    pub fn new(upstream: impl Into<Upstream>, zone: impl Into<AvailabilityZone>) -> Self {
        Self {
            upstream: upstream.into(),
            zone: zone.into(),
            market: Market::Reclaimable,
            price: 1_000_000,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: vec![Model::from("assistant")],
            fenced: true,
            slots: 8,
            warm: Duration::ZERO,
            grace: Duration::from_secs(10),
            keep: Duration::from_secs(60),
            output: 32,
            pace: Pace::default(),
            cache: Cache::default(),
            announce: Announce::default(),
            weights: None,
        }
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            token: Duration::from_millis(10),
            batch: Duration::from_micros(500),
            prefill: Duration::from_micros(50),
            transfer: Duration::from_micros(5),
            load: Duration::from_millis(500),
            lag: Duration::from_millis(500),
        }
    }
}

impl Default for Cache {
    fn default() -> Self {
        Self { blocks: 4096, delay: Duration::from_millis(500), gap: 0, events: 4096 }
    }
}

impl Default for Announce {
    fn default() -> Self {
        Self { admins: Vec::new(), key: String::new(), every: Duration::from_secs(1), seed: 1 }
    }
}
