//! A cloud that sells machines, refuses to, and takes them back with notice.
//!
//! [`state`] decides what is started, refused and taken; the paths are in [`serve`]. A machine that
//! it starts is a model engine stand-in in the same process.

mod serve;
mod state;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::AvailabilityZone;

use self::serve::Core;
use crate::engine;
use crate::engine::truth::Truth;
use crate::http::host::Host;
use crate::http::server;

/// Describes a cloud.
#[data]
pub struct Setup {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// What it sells.
    pub offers: Vec<Offer>,
    /// How long a machine takes to start.
    pub start: Duration,
    /// What a started machine is; name, zone, market, price and model come from its order.
    pub engine: engine::setup::Setup,
}

/// Describes one machine class in one availability zone and market.
#[data]
pub struct Offer {
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// The machine class.
    pub machine: String,
    /// How it is paid for.
    pub market: Market,
    /// Price in millionths of the currency unit for an hour.
    pub price: u64,
    /// How many there are; a start beyond that is refused.
    pub capacity: u32,
}

impl Setup {
    /// Describes a cloud that sells one machine class in both markets of the zones.
    pub fn new(zones: &[&str]) -> Self {
        let offer = |zone: &str, market, price| Offer {
            zone: zone.into(),
            machine: "standard".to_owned(),
            market,
            price,
            capacity: 4,
        };
        let offers = zones.iter().zip(0..).flat_map(|(zone, rank)| {
            [
                offer(zone, Market::Reclaimable, 1_000_000 + rank * 100_000),
                offer(zone, Market::OnDemand, 3_000_000 + rank * 100_000),
            ]
        });
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            offers: offers.collect(),
            start: Duration::from_secs(1),
            engine: engine::setup::Setup::new("machine", "zone"),
        }
    }
}

/// Runs a cloud stand-in; it and its machines die hard when dropped.
pub struct Cloud {
    host: Host,
    core: Arc<Core>,
}

impl Cloud {
    /// Starts a cloud.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be bound or no thread can be started.
    pub fn spawn(setup: Setup) -> io::Result<Self> {
        let listen = setup.listen;
        let core = Arc::new(Core::new(setup));
        let (served, kept) = (core.clone(), core.clone());
        let host = Host::spawn("cloud", listen, move |listener, _| async move {
            tokio::join!(server::serve(listener, Arc::default(), served), kept.run());
        })?;
        Ok(Self { host, core })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Makes known an instance or upstream that runs already; where an address is given, its reclaim
    /// is also told there.
    pub fn adopt(&self, name: &str, zone: &str, address: Option<SocketAddr>) {
        self.core.adopt(name, zone, address);
    }

    /// Takes back everything of a name or in an availability zone after a notice; returns the names.
    pub fn reclaim(&self, target: &str, notice: Duration) -> Vec<String> {
        self.core.reclaim(target, notice)
    }

    /// Refuses all starts from now on, or no longer.
    pub fn refuse(&self, refuse: bool) {
        self.core.refuse(refuse);
    }

    /// Tells what the engines did that it started.
    pub fn truths(&self) -> Vec<Truth> {
        self.core.truths()
    }
}
