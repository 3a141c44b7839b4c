//! What an operator does when a quorum of the voters' disks is lost for good.

use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::entry::{Entry, Payload, Position};
use crate::storage::{HardState, Recovered, Write};
use crate::voter::{Group, Voter};

/// Makes one folder the only voter of a new group, with everything that it holds.
///
/// This gives up the promise that nothing committed is lost: what only the lost folders held is gone,
/// and what was never answered as committed may become so. It is for an operator alone, with the
/// instance stopped, on the folder of all that are left whose [`Recovered::newest`] is greatest. The
/// new group, whose identity is drawn by the caller, keeps voters of the old one out if they return;
/// their folders must be moved away before they are added.
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
