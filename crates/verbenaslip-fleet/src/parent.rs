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
    sites: &[ParentCore],
    entry: SocketAddr,
    zone: &AvailabilityZone,
) -> Option<SocketAddr> {
    let is_near = |site: &&ParentCore| site.zone == *zone;
    let none_near = !sites.iter().any(|site| is_near(&site));
    let entry = number(entry);
    let weight = |site: &&ParentCore| hash::mix(number(site.address) ^ hash::mix(entry));
    let near = sites.iter().filter(|site| none_near || is_near(site));
    near.max_by_key(weight).map(|site| site.address)
}

/// Returns a number that stands for an address.
fn number(address: SocketAddr) -> u64 {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()) << 16 | u64::from(address.port()),
        IpAddr::V6(ip) => hash::narrow(&[&ip.octets(), &address.port().to_le_bytes()]),
    }
}
