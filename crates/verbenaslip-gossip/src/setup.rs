//! Configuration of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

use crate::member::Peer;

/// Default and longest time for which an upstream stays usable without a renewal.
pub const MAX_LEASE: Duration = Duration::from_secs(6);

/// Configures one instance.
#[data]
pub struct Setup {
    /// Identity of this instance.
    pub own: Peer,
    /// Addresses of instances to join through; may include this instance's own address.
    pub seeds: Vec<SocketAddr>,
    /// Time for which an upstream stays usable without a renewal.
    ///
    /// Values above 6 s ([`MAX_LEASE`]) are lowered to 6 s, because an [`Age`](crate::Age) cannot
    /// express much more.
    pub lease: Duration,
}
