//! The voter set and its changes.

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::voter::{Identity, Voter};

/// The maximum number of voters in a group.
pub const MAX_VOTERS: usize = 7;

/// Holds a voter set. While `outgoing` is not empty, both sets must agree (joint consensus).
#[data(default)]
pub struct Config {
    /// The voters, sorted by instance.
    pub voters: Vec<Voter>,
    /// The previous voter set during a change; otherwise empty.
    pub outgoing: Vec<Voter>,
}

impl Config {
    /// Returns a configuration with one voter set, sorted by instance.
    pub fn new(mut voters: Vec<Voter>) -> Self {
        voters.sort();
        Self { voters, outgoing: Vec::new() }
    }

    /// Returns whether this is a joint configuration.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns whether an identity is a voter in either set.
    pub fn contains(&self, identity: Identity) -> bool {
        self.members().any(|voter| voter.identity == identity)
    }

    /// Iterates over the voters of both sets; a voter in both sets appears twice.
    pub fn members(&self) -> impl Iterator<Item = &Voter> {
        self.voters.iter().chain(&self.outgoing)
    }

    /// Returns the greatest value that a quorum of each set has reached, or zero without voters.
    pub(crate) fn quorum_value(&self, value: impl Fn(Identity) -> u64) -> u64 {
        let incoming = majority_value(&self.voters, &value);
        if self.outgoing.is_empty() {
            return incoming;
        }
        incoming.min(majority_value(&self.outgoing, &value))
    }

    /// Returns the joint configuration for the change from this configuration to the given voter
    /// set.
    pub(crate) fn joint_with(&self, voters: Vec<Voter>) -> Self {
        Self { outgoing: self.voters.clone(), ..Self::new(voters) }
    }

    /// Returns the configuration that follows this joint configuration.
    pub(crate) fn after_joint(&self) -> Self {
        Self { voters: self.voters.clone(), outgoing: Vec::new() }
    }
}

/// Returns the greatest value that a majority of one voter set has reached.
fn majority_value(voters: &[Voter], value: &impl Fn(Identity) -> u64) -> u64 {
    let mut values: Vec<u64> = voters.iter().map(|voter| value(voter.identity)).collect();
    values.sort_unstable();
    // With the values in ascending order, a majority has at least the lower median.
    values.len().checked_sub(1).and_then(|last| values.get(last / 2)).copied().unwrap_or(0)
}

/// Requests a change of the voter set.
#[data]
pub enum Change {
    /// Adds a voter.
    Add(Voter),
    /// Removes the voter on an instance.
    Remove(Instance),
    /// Replaces the voter on an instance in a single change, for example after its disk was lost.
    Replace {
        /// The instance whose voter is removed.
        old: Instance,
        /// The new voter, which may be on the same instance.
        new: Voter,
    },
}

impl Change {
    /// Returns the voter that the change adds, if any.
    pub fn added_voter(&self) -> Option<&Voter> {
        match self {
            Self::Add(voter) | Self::Replace { new: voter, .. } => Some(voter),
            Self::Remove(_) => None,
        }
    }

    /// Returns the voter set after the change, or `None` if the change is not valid for the given
    /// set.
    pub(crate) fn apply_to(&self, voters: &[Voter]) -> Option<Vec<Voter>> {
        let removed_instance = match self {
            Self::Add(_) => None,
            Self::Remove(instance) | Self::Replace { old: instance, .. } => Some(instance),
        };
        if removed_instance
            .is_some_and(|instance| !voters.iter().any(|voter| voter.instance == *instance))
        {
            return None;
        }
        let mut new_voters: Vec<Voter> = voters
            .iter()
            .filter(|voter| Some(&voter.instance) != removed_instance)
            .cloned()
            .collect();
        if let Some(new) = self.added_voter() {
            let is_taken = new_voters
                .iter()
                .any(|voter| voter.instance == new.instance || voter.identity == new.identity);
            if is_taken {
                return None;
            }
            new_voters.push(new.clone());
        }
        new_voters.sort();
        (1..=MAX_VOTERS).contains(&new_voters.len()).then_some(new_voters)
    }

    /// Returns whether the voter set already is what the change requests, as after a resent
    /// request.
    pub(crate) fn is_satisfied_by(&self, voters: &[Voter]) -> bool {
        let has_voter =
            |instance: &Instance| voters.iter().any(|voter| voter.instance == *instance);
        match self {
            Self::Add(voter) => voters.contains(voter),
            Self::Remove(instance) => !has_voter(instance),
            Self::Replace { old, new } => {
                voters.contains(new) && (*old == new.instance || !has_voter(old))
            }
        }
    }
}
