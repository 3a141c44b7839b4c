//! What an instance must know to take part.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

use crate::member::Peer;

/// How long an upstream stays usable without a renewal, unless set otherwise.
pub const MAX_LEASE: Duration = Duration::from_secs(6);

/// Configures one instance.
#[data]
pub struct Setup {
    /// This instance.
    pub own: Peer,
    /// Addresses of instances to join through; may hold its own.
    pub seeds: Vec<SocketAddr>,
    /// How long an upstream stays usable without a renewal; at most 6 s, which ages can tell.
    pub lease: Duration,
}
