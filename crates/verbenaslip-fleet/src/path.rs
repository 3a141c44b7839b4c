//! By which core each instance gets the leader's updates.
//!
//! In a fleet of hundreds, writing to each entry and reading its confirmation takes a leader
//! more time than all else together. So the other cores pass updates on to the entries near them. They hold
//! nothing: updates that are lost on that path are sent again by the leader itself.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use verbenaslip_base::hash;

use crate::frame::Peer;

/// Up to so many instances the leader tells by itself: the way by another core takes some milliseconds more, and
/// saves a leader of so few nothing to speak of.
const FEW: usize = 12;

/// Holds the instances that get updates by the same path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    /// The core that passes them on; none for those that the leader tells by itself.
    pub via: Option<SocketAddr>,
    /// The instances.
    pub to: Vec<SocketAddr>,
}

/// Chooses the ways to instances: by a core in their own availability zone, where there is one besides the
/// leader, since bytes between zones cost.
pub fn plan<'a>(cores: &[&Peer], to: impl ExactSizeIterator<Item = &'a Peer>) -> Vec<Path> {
    let few = to.len() <= FEW;
    let mut paths: BTreeMap<Option<SocketAddr>, Vec<SocketAddr>> = BTreeMap::new();
    for peer in to {
        let via = if few { None } else { relay(cores, peer) };
        paths.entry(via).or_default().push(peer.address);
    }
    paths.into_iter().map(|(via, to)| Path { via, to }).collect()
}

/// Returns the core that passes updates on to an instance; none for another core, or without any.
fn relay(cores: &[&Peer], to: &Peer) -> Option<SocketAddr> {
    if to.voter.is_some() {
        return None;
    }
    let near: Vec<&Peer> = cores.iter().copied().filter(|core| core.zone == to.zone).collect();
    let choice = if near.is_empty() { cores } else { &near };
    // By hash, so that an entry keeps its core, and the connection to it, for as long as the cores stay.
    let to = number(to.address);
    let weight = |core: &&&Peer| hash::mix(number(core.address) ^ hash::mix(to));
    choice.iter().max_by_key(weight).map(|core| core.address)
}

/// Returns a number that stands for an address.
fn number(address: SocketAddr) -> u64 {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()) << 16 | u64::from(address.port()),
        IpAddr::V6(ip) => hash::narrow(&[&ip.octets(), &address.port().to_le_bytes()]),
    }
}
