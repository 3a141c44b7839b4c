//! Voters: an instance together with the identity of its data directory.

use std::fmt;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

/// Identifies a data directory: chosen at random when it is created, and lost with it.
#[data(copy, ord, hash)]
pub struct Identity(pub u128);

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies a group of voters by the identity of the data directory that formed it.
#[data(copy, ord, hash)]
pub struct Group(pub u128);

/// A member of the voter set.
///
/// Messages are sent to the instance. Votes and acknowledgements are counted by the identity.
#[data(ord, hash)]
pub struct Voter {
    /// The instance of the voter.
    pub instance: Instance,
    /// The identity of the voter's data directory.
    pub identity: Identity,
}
