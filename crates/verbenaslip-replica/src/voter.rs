//! Who votes: an instance together with the identity of its data folder.

use std::fmt;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

/// Identifies one data folder: drawn at random when the folder is created, and lost with it.
#[data(copy, ord, hash)]
pub struct Identity(pub u128);

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies a group of voters: the identity of the folder that founded it.
#[data(copy, ord, hash)]
pub struct Group(pub u128);

/// Names a member of the voter set.
///
/// The instance says where to send; the identity says whose votes and acknowledgements count.
#[data(ord, hash)]
pub struct Voter {
    /// The instance.
    pub instance: Instance,
    /// The identity of its data folder.
    pub identity: Identity,
}
