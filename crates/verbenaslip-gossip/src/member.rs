//! Instances as their peers see them.

use std::net::SocketAddr;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_base::{data, hash};

/// The longest name that a peer may give, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Describes one running instance.
#[data(ord, hash)]
pub struct Peer {
    /// Its name, kept across restarts.
    pub instance: Instance,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// The region of that availability zone.
    pub region: Region,
    /// Where it takes datagrams from its peers.
    pub address: SocketAddr,
    /// Rises at each start of the instance.
    pub incarnation: u64,
}

impl Peer {
    /// Returns the short name by which datagrams mean this incarnation.
    pub fn handle(&self) -> Handle {
        let parts = [self.instance.as_str().as_bytes(), &self.incarnation.to_le_bytes()];
        Handle((hash::narrow(&parts) as u32).to_le_bytes())
    }

    /// Checks that the names have a sensible length.
    pub(crate) fn is_valid(&self) -> bool {
        let names = [self.instance.as_str(), self.zone.as_str(), self.region.as_str()];
        names.iter().all(|name| (1..=MAX_NAME_BYTES).contains(&name.len()))
    }
}

/// Stands for one incarnation of an instance in datagrams.
///
/// Two that share a handle are told apart nowhere: the later one's datagrams are ignored, and the
/// other home of each upstream still vouches for it.
#[data(copy, ord, hash)]
pub struct Handle(pub [u8; 4]);

/// Stands for a region in datagrams.
#[data(copy, ord, hash)]
pub struct RegionId(pub [u8; 4]);

impl RegionId {
    /// Derives it from the region's name.
    pub(crate) fn of(region: &Region) -> Self {
        Self((hash::narrow(&[region.as_str().as_bytes()]) as u32).to_le_bytes())
    }
}

/// Says what is believed of a member; a later one overrides an earlier one of equal refutation.
#[data(copy, ord, hash)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, and may still refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It drains and takes no new duties; final for its incarnation.
    Leaving,
    /// It has gone as it meant to; final for its incarnation.
    Left,
}

impl State {
    /// Tells whether datagrams to it make sense.
    pub(crate) fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// Tells what is believed of one instance.
#[data]
pub struct MemberStatus {
    /// The instance.
    pub peer: Peer,
    /// How often this incarnation has refuted a suspicion.
    pub refutations: u32,
    /// What is believed.
    pub state: State,
}

impl MemberStatus {
    /// Tells whether it overrides another one of the same instance.
    pub(crate) fn overrides(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> impl Ord + use<> {
        (self.peer.incarnation, self.refutations, self.state)
    }
}

/// Tells the rest of the instance that a member has changed.
#[data]
pub enum Event {
    /// It is new, restarted, or back from the dead.
    Joined(Peer),
    /// It did not answer.
    Suspected(Instance),
    /// It has refuted a suspicion.
    Cleared(Instance),
    /// It takes no new duties.
    Leaving(Instance),
    /// It is dead, or replaced by its next incarnation.
    Lost(Instance),
    /// It has gone as it meant to.
    Left(Instance),
    /// All members of another availability zone of this region are in doubt or dead at once.
    ZoneLost(AvailabilityZone),
    /// An availability zone that was lost has a live member again.
    ZoneRecovered(AvailabilityZone),
    /// Nothing was heard of another region for a while; its members are not declared dead.
    RegionUnreachable(Region),
    /// Another region is heard again.
    RegionRecovered(Region),
    /// Another process runs under this instance's name with a higher incarnation: stop.
    Replaced {
        /// The higher incarnation.
        incarnation: u64,
    },
}
