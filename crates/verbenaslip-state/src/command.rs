//! The commands in the replicated log.

use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_table::{Change, Edit, Key};

use crate::claim::{Claim, Release, SKEW_MS, Settle};
use crate::order::{Order, OrderEnd};

/// Changes the replicated state.
///
/// Each command carries the time at which it was proposed, in Unix milliseconds. The leader
/// proposes only commands that satisfy [`has_valid_time`](Self::has_valid_time) by its own clock.
/// Otherwise one wrong clock would push the state's clock, which never goes backward, far ahead,
/// and every key would count as expired.
#[data]
pub enum Command {
    /// Changes the table.
    Edit(Edit),
    /// Requests the exclusive right to run a non-idempotent request.
    Claim(Claim),
    /// Reports how a claimed run ended.
    Settle(Settle),
    /// Releases a claim before anything was sent.
    Release(Release),
    /// Assigns a fence number to an order to an upstream.
    Order(Order),
    /// Reports the result of an order.
    Ordered(OrderEnd),
    /// Stops an instance gracefully.
    Drain(Drain),
    /// Records a change of the voter set.
    Voters(Voters),
}

impl Command {
    /// Returns the time at which the command was proposed, in Unix milliseconds.
    pub fn proposed_at_ms(&self) -> u64 {
        match self {
            Self::Edit(edit) => edit.unix_ms,
            Self::Claim(claim) => claim.at,
            Self::Settle(settle) => settle.at,
            Self::Release(release) => release.at,
            Self::Order(order) => order.at,
            Self::Ordered(ordered) => ordered.at,
            Self::Drain(drain) => drain.at,
            Self::Voters(voters) => voters.at,
        }
    }

    /// Returns whether the command's time is within [`SKEW_MS`] of `now`, the leader's Unix time in
    /// milliseconds.
    pub fn has_valid_time(&self, now: u64) -> bool {
        self.proposed_at_ms().abs_diff(now) <= SKEW_MS
    }

    /// Returns the name of the first field that is too long to be stored.
    pub(crate) fn overlong_field(&self) -> Option<&'static str> {
        let fields: &[(&'static str, &str)] = match self {
            Self::Edit(edit) => return overlong_edit_field(edit),
            Self::Claim(claim) => &claim.name_fields(),
            Self::Release(release) => &release.claim.name_fields(),
            Self::Settle(settle) => &[("instance", settle.by.as_str())],
            Self::Order(order) => &order.name_fields(),
            Self::Ordered(ordered) => {
                &[("instance", ordered.by.as_str()), ("upstream", ordered.upstream.as_str())]
            }
            Self::Drain(drain) => {
                &[("operator", drain.by.as_str()), ("instance", drain.instance.as_str())]
            }
            Self::Voters(voters) => return voters.overlong_field(),
        };
        first_overlong_field(fields)
    }
}

/// Requests an instance to stop gracefully.
#[data]
pub struct Drain {
    /// The operator that requested it.
    pub by: Operator,
    /// The instance to stop.
    pub instance: Instance,
    /// The time at which the command was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Records a change of the voter set, which the log itself carries out.
#[data]
pub struct Voters {
    /// The operator that requested it.
    pub by: Operator,
    /// The change.
    pub change: VoterChange,
    /// The time at which the command was proposed, in Unix milliseconds.
    pub at: u64,
}

impl Voters {
    fn overlong_field(&self) -> Option<&'static str> {
        let by = ("operator", self.by.as_str());
        match &self.change {
            VoterChange::Add(new) => first_overlong_field(&[by, ("instance", new.as_str())]),
            VoterChange::Remove(old) => first_overlong_field(&[by, ("instance", old.as_str())]),
            VoterChange::Replace { old, new } => {
                first_overlong_field(&[by, ("instance", old.as_str()), ("instance", new.as_str())])
            }
        }
    }
}

/// Describes a change of the voter set.
#[data]
pub enum VoterChange {
    /// Adds a voter.
    Add(Instance),
    /// Removes a voter.
    Remove(Instance),
    /// Replaces one voter by another.
    Replace {
        /// The voter to remove.
        old: Instance,
        /// The voter to add.
        new: Instance,
    },
}

/// Maximum length of every name in a command, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Checks the row keys too, since the history and the audit trail store them even if the edit is
/// refused.
fn overlong_edit_field(edit: &Edit) -> Option<&'static str> {
    let keys = edit.changes.iter().map(Change::key);
    let overlong = |key: Key| {
        first_overlong_field(&[("team", key.team.as_str()), ("class", key.class.as_str())])
    };
    let fields = [("operator", edit.operator.as_str()), ("edit id", edit.id.as_str())];
    first_overlong_field(&fields).or_else(|| keys.into_iter().find_map(overlong))
}

fn first_overlong_field(fields: &[(&'static str, &str)]) -> Option<&'static str> {
    fields.iter().find(|(_, name)| name.len() > MAX_NAME_BYTES).map(|(field, _)| *field)
}
