//! Commands on their way to the leader and back, from any instance.
//!
//! A command is sent again until it is answered or its patience ends. That is safe because every
//! command is idempotent: an edit by its identity, a claim by its claimant, the rest by what they
//! say. A command that was ever sent without an answer may be committed later, so it is then given
//! up as unknown and never as not done.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Instance, Operator, Upstream};
use verbenaslip_replica::config::Change;
use verbenaslip_state::order::Order;
use verbenaslip_state::{Command, claim};
use verbenaslip_table::Revision;

use crate::notice::SubmittedEdit;
use crate::operator;

/// Between two sendings of an unanswered proposal.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Before a proposal goes to the next voter after one that does not lead.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Says what is proposed.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    /// A command of the replicated state.
    Command(Box<Command>),
    /// Another voter set.
    Change(Change),
}

/// Says who waits for the answer.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// An operator's edit.
    Edit { call: operator::CallId, edit: Box<SubmittedEdit>, wait: Duration },
    /// The claim of a non-idempotent request, as it was proposed.
    Claim { request: Request, claimant: u128, claim: Box<claim::Claim> },
    /// An operator's drain of an instance.
    Drain { call: operator::CallId, instance: Instance, operator: Operator },
    /// An operator's change of the voter set.
    Voters { call: operator::CallId },
    /// An order that waits for its number.
    OrderNumber { order: Box<Order> },
    /// The end of an order.
    OrderEnd { upstream: Upstream, fence: Fence },
    /// Another instance's proposal.
    Forwarded { from: Instance, token: u64 },
    /// Nobody; it matters only that it is done.
    Unattended,
}

/// Holds one proposal on its way.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) content: Content,
    pub(crate) purpose: Purpose,
    /// When it is given up.
    pub(crate) deadline: Duration,
    /// When it is sent again.
    pub(crate) resend_at: Duration,
    /// Whether it was sent and not answered yet.
    pub(crate) sent: bool,
    /// Whether a voter may have taken it without answering.
    pub(crate) maybe_accepted: bool,
    /// How many voters were tried.
    pub(crate) tries: u32,
}

/// Bits of a token that count within a millisecond of an instance's life.
const COUNT_BITS: u32 = 20;

/// Draws the tokens by which answers of other instances find what was asked.
///
/// An answer may arrive after the asker was restarted, or after it has given the question up. If it
/// found another question under its token, an operator would be told that an edit is accepted which
/// no table has, or a request would run on the claim of another. So no token is used twice: not in
/// one life, and not in the next, which begins with a greater incarnation.
#[derive(Debug)]
pub(crate) struct Tokens {
    last: u64,
}

impl Tokens {
    /// Begins after all tokens of earlier lives; an incarnation is in Unix milliseconds.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self { last: incarnation.wrapping_shl(COUNT_BITS) }
    }

    /// Returns a token that was never used before.
    pub(crate) fn next(&mut self) -> u64 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}

/// Holds the proposals on their way.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    by_token: BTreeMap<u64, Proposal>,
}

impl Proposals {
    /// Takes a proposal under its token.
    pub(crate) fn insert(&mut self, token: u64, proposal: Proposal) {
        self.by_token.insert(token, proposal);
    }

    /// Finds a proposal.
    pub(crate) fn get_mut(&mut self, token: u64) -> Option<&mut Proposal> {
        self.by_token.get_mut(&token)
    }

    /// Ends a proposal.
    pub(crate) fn remove(&mut self, token: u64) -> Option<Proposal> {
        self.by_token.remove(&token)
    }

    /// Returns the proposals that are due to be sent again or given up.
    pub(crate) fn due_tokens(&self, now: Duration) -> Vec<u64> {
        let due = |proposal: &Proposal| proposal.resend_at.min(proposal.deadline) <= now;
        self.by_token.iter().filter(|(_, it)| due(it)).map(|(token, _)| *token).collect()
    }

    /// Returns when the next one is due.
    pub(crate) fn next_wakeup(&self) -> Option<Duration> {
        self.by_token.values().map(|proposal| proposal.resend_at.min(proposal.deadline)).min()
    }

    /// Returns how many wait.
    pub(crate) fn len(&self) -> usize {
        self.by_token.len()
    }
}

/// Waits until an accepted edit is in force everywhere.
#[derive(Clone, Debug)]
pub(crate) struct EditWait {
    pub(crate) call: operator::CallId,
    pub(crate) revision: Revision,
    /// When the edit arrived.
    pub(crate) arrived_at: Duration,
    /// When the operator is told at the latest.
    pub(crate) deadline: Duration,
    /// Whether the operator was told.
    pub(crate) replied: bool,
    pub(crate) next_poll: Duration,
    pub(crate) awaited: Vec<Instance>,
}
