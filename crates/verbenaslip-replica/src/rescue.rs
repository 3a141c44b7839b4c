//! Recovery by an operator after a quorum of the voters' disks was lost permanently.

use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::entry::{Entry, Payload, Position};
use crate::storage::{HardState, Recovered, Write};
use crate::voter::{Group, Voter};

/// Returns the writes that make one data directory the only voter of a new group, with all its
/// content.
///
/// This gives up durability: entries that only the lost disks held are gone, and entries that were
/// never answered as committed may become committed. Only an operator may use it, while the
/// instance is stopped, on the remaining data directory with the greatest
/// [`Recovered::last_position`].
///
/// The caller chooses the new group's identity at random. It keeps voters of the old group out if
/// they return; their data directories must be moved away before they are added.
pub fn force_single_voter(
    recovered: &Recovered,
    instance: impl Into<Instance>,
    group: Group,
) -> Vec<Write> {
    let last = recovered.last_position();
    let voter = Voter { instance: instance.into(), identity: recovered.identity };
    let term = recovered.hard_state.term.max(last.term) + 1;
    let hard_state = HardState { group: Some(group), term, voted: Some(recovered.identity) };
    let position = Position { term, index: last.index + 1 };
    let payload = Payload::Config(Config::new(vec![voter]));
    vec![Write::HardState(hard_state), Write::Append(vec![Entry { position, payload }])]
}
