//! Which core an entry reports to.
//!
//! In a fleet of hundreds, a leader that heard and told each entry by itself would have time for nothing else. So
//! entries report to a core in their own availability zone, which tells them what it hears from the leader and passes on
//! what they report, merged into one report of its own.

use std::net::{IpAddr, SocketAddr};

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_base::name::AvailabilityZone;

/// Up to so many entries the leader hears by itself: the way by another core takes some milliseconds more, and
/// saves a leader of so few nothing to speak of.
pub const MAX_DIRECT_ENTRIES: usize = 12;

/// Names a core that entries may report to.
#[data]
pub struct ParentCore {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: AvailabilityZone,
}

/// Chooses the core for an entry: one in its own availability zone, where there is one, since bytes between zones cost.
///
/// By hash, so that an entry keeps its core, and the connection to it, for as long as the cores stay.
pub fn choose(
    cores: &[ParentCore],
    entry_key: SocketAddr,
    zone: &AvailabilityZone,
) -> Option<SocketAddr> {
    let is_in_zone = |core: &&ParentCore| core.zone == *zone;
    let none_in_zone = !cores.iter().any(|core| is_in_zone(&core));
    let entry_key = address_key(entry_key);
    let weight = |core: &&ParentCore| hash::mix(address_key(core.address) ^ hash::mix(entry_key));
    let candidates = cores.iter().filter(|core| none_in_zone || is_in_zone(core));
    candidates.max_by_key(weight).map(|core| core.address)
}

/// Returns a number that stands for an address.
fn address_key(address: SocketAddr) -> u64 {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()) << 16 | u64::from(address.port()),
        IpAddr::V6(ip) => hash::narrow(&[&ip.octets(), &address.port().to_le_bytes()]),
    }
}
