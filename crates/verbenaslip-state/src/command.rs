//! What the replicated log carries.

use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_table::{Change, Edit, Key};

use crate::claim::{Claim, Release, SKEW_MS, Settle};
use crate::order::{Order, OrderEnd};

/// Changes the replicated state.
///
/// Each carries `at`, the Unix milliseconds at which it was proposed. The leader proposes only what
/// is [`has_valid_time`](Self::in_time) by its own clock: one wrong clock would otherwise push the state's
/// clock, which never falls, far ahead, and every key would count as expired.
#[data]
pub enum Command {
    /// Changes the table.
    Edit(Edit),
    /// Asks to be the one run of a non-idempotent request.
    Claim(Claim),
    /// Tells how a claimed run ended.
    Settle(Settle),
    /// Gives a claim back before anything was sent.
    Release(Release),
    /// Numbers an order to an upstream.
    Order(Order),
    /// Tells what became of an order.
    Ordered(OrderEnd),
    /// Stops an instance gracefully.
    Drain(Drain),
    /// Notes a change of the voter set.
    Voters(Voters),
}

impl Command {
    /// Returns when the command was proposed, in Unix milliseconds.
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

    /// Says whether the command's time is near enough to the leader's own, in Unix milliseconds.
    pub fn has_valid_time(&self, now: u64) -> bool {
        self.proposed_at_ms().abs_diff(now) <= SKEW_MS
    }

    /// Names the first text that is too long to be kept.
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

/// Asks an instance to stop gracefully.
#[data]
pub struct Drain {
    /// Who asks.
    pub by: Operator,
    /// Which instance.
    pub instance: Instance,
    /// When, in Unix milliseconds.
    pub at: u64,
}

/// Notes a change of the voter set, which the log itself carries out.
#[data]
pub struct Voters {
    /// Who asks.
    pub by: Operator,
    /// What is changed.
    pub change: VoterChange,
    /// When, in Unix milliseconds.
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

/// Says which voter comes and which goes.
#[data]
pub enum VoterChange {
    /// A voter comes.
    Add(Instance),
    /// A voter goes.
    Remove(Instance),
    /// A voter takes another's place.
    Replace {
        /// The voter that goes.
        old: Instance,
        /// The voter that comes.
        new: Instance,
    },
}

/// Bounds every name in a command, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Looks at the keys too, which the history and the audit trail keep also of refused edits.
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
