//! Choice of the core that an entry reports to.
//!
//! In a fleet of hundreds, a leader that served each entry directly would have no time left for
//! other work. Entries therefore report to a parent core in their availability zone, which forwards
//! the leader's updates and merges their reports into its own.

use std::net::{IpAddr, SocketAddr};

use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_base::name::AvailabilityZone;

/// Maximum number of entries that the leader serves directly. A parent core adds some milliseconds
/// of delay, and saves a leader of so few entries little work.
pub const MAX_DIRECT_ENTRIES: usize = 12;

/// Describes a core that entries may report to.
#[data]
pub struct ParentCore {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
}

/// Chooses the parent core of an entry; prefers its own availability zone, since traffic between
/// zones is charged.
///
/// The choice is a hash, so an entry keeps its parent core and the connection to it as long as the
/// set of cores does not change.
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

/// Returns a number that identifies an address.
fn address_key(address: SocketAddr) -> u64 {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()) << 16 | u64::from(address.port()),
        IpAddr::V6(ip) => hash::narrow(&[&ip.octets(), &address.port().to_le_bytes()]),
    }
}
