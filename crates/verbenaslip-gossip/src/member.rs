//! Identity and state of instances.

use std::net::SocketAddr;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_base::{data, hash};

/// Maximum length of a name of a peer, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Identifies one running instance.
#[data(ord, hash)]
pub struct Peer {
    /// Name of the instance, kept across restarts.
    pub instance: Instance,
    /// Availability zone in which the instance runs.
    pub zone: AvailabilityZone,
    /// Region of the availability zone.
    pub region: Region,
    /// Address at which the instance receives datagrams from its peers.
    pub address: SocketAddr,
    /// Number that is increased at each start of the instance.
    pub incarnation: u64,
}

impl Peer {
    /// Returns the handle that represents this incarnation in datagrams.
    pub fn handle(&self) -> Handle {
        let parts = [self.instance.as_str().as_bytes(), &self.incarnation.to_le_bytes()];
        Handle((hash::narrow(&parts) as u32).to_le_bytes())
    }

    /// Returns whether all names have a valid length.
    pub(crate) fn is_valid(&self) -> bool {
        let names = [self.instance.as_str(), self.zone.as_str(), self.region.as_str()];
        names.iter().all(|name| (1..=MAX_NAME_BYTES).contains(&name.len()))
    }
}

/// Short hash that represents one incarnation of an instance in datagrams.
///
/// When two incarnations have the same handle, it keeps referring to the one that was known first.
/// Upstreams that have the other incarnation as a home are still vouched for by their second home.
#[data(copy, ord, hash)]
pub struct Handle(pub [u8; 4]);

/// Short hash that represents a region in datagrams.
#[data(copy, ord, hash)]
pub struct RegionId(pub [u8; 4]);

impl RegionId {
    /// Returns the identifier of a region, derived from its name.
    pub(crate) fn of(region: &Region) -> Self {
        Self((hash::narrow(&[region.as_str().as_bytes()]) as u32).to_le_bytes())
    }
}

/// State of a member.
///
/// Between statuses with the same refutation count, the later variant overrides the earlier one.
#[data(copy, ord, hash)]
pub enum State {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and can still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member drains and takes no new duties; final for its incarnation.
    Leaving,
    /// The member has stopped as intended; final for its incarnation.
    Left,
}

impl State {
    /// Returns whether a member in this state can receive datagrams.
    pub(crate) fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// Identity and state of an instance, as sent between instances.
#[data]
pub struct MemberStatus {
    /// Identity of the instance.
    pub peer: Peer,
    /// Number of suspicions that this incarnation has refuted.
    pub refutations: u32,
    /// State of the instance.
    pub state: State,
}

impl MemberStatus {
    /// Returns whether this status overrides another one of the same instance.
    pub(crate) fn overrides(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> impl Ord + use<> {
        (self.peer.incarnation, self.refutations, self.state)
    }
}

/// Change of a member.
#[data]
pub enum Event {
    /// The instance is new, has restarted, or is alive again after it was declared dead.
    Joined(Peer),
    /// The instance did not answer a probe.
    Suspected(Instance),
    /// The instance has refuted a suspicion.
    Cleared(Instance),
    /// The instance drains and takes no new duties.
    Leaving(Instance),
    /// The instance is dead, or replaced by its next incarnation.
    Lost(Instance),
    /// The instance has stopped as intended.
    Left(Instance),
    /// All members of another availability zone of this region are suspect or dead.
    ZoneLost(AvailabilityZone),
    /// An availability zone that was lost has a live member again.
    ZoneRecovered(AvailabilityZone),
    /// No datagram of another region has arrived for a while; its members are not declared dead.
    RegionUnreachable(Region),
    /// Datagrams of another region arrive again.
    RegionRecovered(Region),
    /// Another process runs under this instance's name with a higher incarnation; this one must
    /// stop.
    Replaced {
        /// Incarnation of the other process.
        incarnation: u64,
    },
}
