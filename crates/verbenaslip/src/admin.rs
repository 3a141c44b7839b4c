//! Operators, announcements of upstreams, health and metrics over HTTP.
//!
//! A request becomes a typed call ([`Call`]), the control thread gives a typed reply ([`Reply`]),
//! and that becomes JSON. [`read`] does the first, [`write`] the last.

pub mod call;
mod read;
pub mod reply;
mod server;
mod write;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub use crate::admin::call::{Call, Report, Voters};
pub use crate::admin::reply::Reply;
use crate::keys::ring::Ring;
use crossbeam::channel::Sender;

/// Sets up the admin address.
pub struct Setup {
    /// The address; port 0 takes a free one.
    pub address: SocketAddr,
    /// Names operators and upstreams by their keys.
    pub keys: Ring,
    /// How long a call waits for its reply; an edit that waits for all instances gets its own time
    /// on top.
    pub reply_time: Duration,
    /// How long a connection may say nothing.
    pub read_time: Duration,
    /// The most connections at once.
    pub connections: usize,
}

/// Serves the admin address; dropping it makes every call but the health probe fail.
///
/// The library has no way to close its listener: it goes with the process.
pub struct Admin {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
}

impl Admin {
    /// Binds the address and starts to serve it; calls go out on the channel.
    #[expect(clippy::needless_pass_by_value, reason = "handles are given away for good")]
    pub fn spawn(setup: Setup, calls: Sender<Report>) -> io::Result<Self> {
        let closed = Arc::new(AtomicBool::new(false));
        let address = server::spawn(setup, &calls, &closed)?;
        Ok(Self { address, closed })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
    }
}
