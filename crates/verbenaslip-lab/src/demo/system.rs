//! A whole system in this process: three entry instances and their back ends.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use verbenaslip::Server;
use verbenaslip::server::Ended;

use super::back_end::BackEnds;
use super::layout::Layout;
use super::{edit, instance};

/// How long the instances may take until they serve.
const READY: Duration = Duration::from_secs(15);

/// Time between two looks whether they do.
const LOOK: Duration = Duration::from_millis(50);

/// Runs a whole system, which dies with it.
pub struct System {
    // Dropped first, so that no instance sees its back ends die.
    servers: Vec<Server>,
    back_ends: BackEnds,
    layout: Layout,
}

impl System {
    /// Starts back ends and instances and waits until they serve.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started or does not get ready.
    pub fn open() -> io::Result<Self> {
        let layout = Layout::open()?;
        let admins: Vec<SocketAddr> = layout.ports.iter().map(|ports| ports.admin).collect();
        let back_ends = BackEnds::open(&admins)?;
        let servers = instance::open(&layout, back_ends.cloud.address())?;
        let system = Self { servers, back_ends, layout };
        system.wait()?;
        Ok(system)
    }

    /// Returns where callers reach the instances.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.layout.ports.iter().map(|ports| ports.callers).collect()
    }

    /// Returns where operators and upstreams reach the instances.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.layout.ports.iter().map(|ports| ports.admin).collect()
    }

    /// Returns the back ends.
    pub fn back_ends(&self) -> &BackEnds {
        &self.back_ends
    }

    /// Stops all instances gracefully; says whether none had to cut anything off.
    ///
    /// # Errors
    ///
    /// Fails when an instance panicked.
    pub fn stop(mut self) -> io::Result<bool> {
        let servers = std::mem::take(&mut self.servers);
        // All stop at once, as operators stop a whole deployment.
        let stops: Vec<_> =
            servers.into_iter().map(|server| thread::spawn(move || server.stop())).collect();
        let mut graceful = true;
        for stop in stops {
            let ended = stop.join().map_err(|_| io::Error::other("an instance panicked"))?;
            graceful &= ended == Ended::Drained;
        }
        Ok(graceful)
    }

    fn wait(&self) -> io::Result<()> {
        let start = Instant::now();
        let back_ends = self.back_ends.names();
        while !self.admins().iter().all(|admin| edit::serves(*admin, &back_ends)) {
            if start.elapsed() > READY {
                return Err(io::Error::other("the instances did not get ready"));
            }
            thread::sleep(LOOK);
        }
        Ok(())
    }
}
