//! The voter set and its changes.

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;

use crate::voter::{Identity, Voter};

/// The most voters that a group may have.
pub const MAX_VOTERS: usize = 7;

/// Holds the voter set; while `outgoing` is not empty, both sets must agree (joint consensus).
#[data(default)]
pub struct Config {
    /// The voters, sorted by instance.
    pub voters: Vec<Voter>,
    /// The set that is being left; empty outside a change.
    pub outgoing: Vec<Voter>,
}

impl Config {
    /// Makes a configuration of one set, sorted by instance.
    pub fn new(mut voters: Vec<Voter>) -> Self {
        voters.sort();
        Self { voters, outgoing: Vec::new() }
    }

    /// Tells whether a change is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Tells whether an identity's votes count in either set.
    pub fn contains(&self, identity: Identity) -> bool {
        self.members().any(|voter| voter.identity == identity)
    }

    /// Lists the voters of both sets; one that is in both comes twice.
    pub fn members(&self) -> impl Iterator<Item = &Voter> {
        self.voters.iter().chain(&self.outgoing)
    }

    /// Returns the greatest value that a quorum of each set has reached; zero without voters.
    pub(crate) fn quorum_value(&self, value: impl Fn(Identity) -> u64) -> u64 {
        let incoming = majority_value(&self.voters, &value);
        if self.outgoing.is_empty() {
            return incoming;
        }
        incoming.min(majority_value(&self.outgoing, &value))
    }

    /// Returns the joint configuration that leads from this one to the given set.
    pub(crate) fn joint_with(&self, voters: Vec<Voter>) -> Self {
        Self { outgoing: self.voters.clone(), ..Self::new(voters) }
    }

    /// Returns the configuration after a joint one.
    pub(crate) fn after_joint(&self) -> Self {
        Self { voters: self.voters.clone(), outgoing: Vec::new() }
    }
}

/// Returns the greatest value that a majority of one set has reached.
fn majority_value(voters: &[Voter], value: &impl Fn(Identity) -> u64) -> u64 {
    let mut values: Vec<u64> = voters.iter().map(|voter| value(voter.identity)).collect();
    values.sort_unstable();
    // Sorted upwards, a majority has at least the value in the lower middle.
    values.len().checked_sub(1).and_then(|last| values.get(last / 2)).copied().unwrap_or(0)
}

/// Asks for another voter set.
#[data]
pub enum Change {
    /// Adds a voter.
    Add(Voter),
    /// Removes the voter that an instance runs.
    Remove(Instance),
    /// Replaces the voter that an instance runs, in one change, for example after its disk was lost.
    Replace {
        /// The instance whose voter leaves.
        old: Instance,
        /// The voter that takes its place; it may run on the same instance.
        new: Voter,
    },
}

impl Change {
    /// Returns the voter that the change brings in.
    pub fn added_voter(&self) -> Option<&Voter> {
        match self {
            Self::Add(voter) | Self::Replace { new: voter, .. } => Some(voter),
            Self::Remove(_) => None,
        }
    }

    /// Returns the set after the change, none when it does not fit the present set.
    pub(crate) fn apply_to(&self, voters: &[Voter]) -> Option<Vec<Voter>> {
        let leaving = match self {
            Self::Add(_) => None,
            Self::Remove(instance) | Self::Replace { old: instance, .. } => Some(instance),
        };
        if leaving.is_some_and(|instance| !voters.iter().any(|voter| voter.instance == *instance)) {
            return None;
        }
        let mut next: Vec<Voter> =
            voters.iter().filter(|voter| Some(&voter.instance) != leaving).cloned().collect();
        if let Some(new) = self.added_voter() {
            let taken = next
                .iter()
                .any(|voter| voter.instance == new.instance || voter.identity == new.identity);
            if taken {
                return None;
            }
            next.push(new.clone());
        }
        next.sort();
        (1..=MAX_VOTERS).contains(&next.len()).then_some(next)
    }

    /// Tells whether the set already is what the change asks for, as for a resend.
    pub(crate) fn is_satisfied_by(&self, voters: &[Voter]) -> bool {
        let holds = |instance: &Instance| voters.iter().any(|voter| voter.instance == *instance);
        match self {
            Self::Add(voter) => voters.contains(voter),
            Self::Remove(instance) => !holds(instance),
            Self::Replace { old, new } => {
                voters.contains(new) && (*old == new.instance || !holds(old))
            }
        }
    }
}
