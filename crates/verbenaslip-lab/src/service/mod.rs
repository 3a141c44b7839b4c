//! A plain service that counts every run of every request.

mod serve;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use self::serve::Core;
use crate::engine::fault::Fault;
use crate::engine::setup::Announce;
use crate::engine::truth::Truth;
use crate::http::host::Host;
use crate::http::server;

/// Describes one plain service.
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
    /// The services that it offers.
    pub services: Vec<Model>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How long one run takes.
    pub time: Duration,
    /// Where and how it announces itself.
    pub announce: Announce,
}

impl Setup {
    /// Describes a quick service that announces itself nowhere.
    pub fn new(upstream: impl Into<Upstream>, zone: impl Into<AvailabilityZone>) -> Self {
        Self {
            upstream: upstream.into(),
            zone: zone.into(),
            market: Market::OnDemand,
            price: 500_000,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            services: vec![Model::from("orders")],
            slots: 16,
            time: Duration::from_millis(5),
            announce: Announce::default(),
        }
    }
}

/// Runs one plain service stand-in; it dies hard when dropped.
pub struct Service {
    host: Host,
    core: Arc<Core>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be bound or no thread can be started.
    pub fn spawn(setup: Setup) -> io::Result<Self> {
        let (sender, receiver) = std::sync::mpsc::channel();
        let name = setup.upstream.to_string();
        let host = Host::spawn(&name, setup.listen, move |listener, end| async move {
            let Ok(address) = listener.local_addr() else { return };
            let core = Arc::new(Core::new(setup, address, end));
            if sender.send(core.clone()).is_err() {
                return;
            }
            tokio::join!(
                server::serve(listener, core.silencer.clone(), core.clone()),
                core.announce(),
            );
        })?;
        let core = receiver.recv().map_err(io::Error::other)?;
        Ok(Self { host, core })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets a fault; flaws of streams and the cache do not concern it.
    pub fn fault(&self, fault: Fault) {
        self.core.fault(fault);
    }

    /// Announces that it will be taken after the notice, and dies hard then.
    pub fn reclaim(&self, notice: Duration) {
        self.core.leave(Some(notice));
    }

    /// Leaves gracefully: announces it, refuses new work, and ends once its runs have ended.
    pub fn leave(&self) {
        self.core.leave(None);
    }

    /// Dies at once, without a word.
    pub fn kill(&self) {
        self.host.kill();
    }

    /// Tells what it did, also after its death.
    pub fn truth(&self) -> Truth {
        self.core.truth()
    }

    /// Says whether it has ended.
    pub fn ended(&self) -> bool {
        self.host.ended()
    }

    /// Waits until it has ended, for at most `limit`; says whether it did.
    pub fn wait(&self, limit: Duration) -> bool {
        self.host.wait(limit)
    }
}
