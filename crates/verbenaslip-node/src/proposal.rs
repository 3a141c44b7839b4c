//! Proposals of any instance on their way to the leader.
//!
//! A command is sent again until it is answered or its time limit has passed. This is safe because
//! every command is idempotent: an edit by its identifier, a claim by its claimant, the others by
//! their content. A command that was sent and not answered may still be committed later, so its
//! result is reported as unknown and never as not done.

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

/// Interval at which an unanswered proposal is sent again.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before a proposal that was not accepted is sent to the next voter.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Holds the content of a proposal.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    /// Command for the replicated state.
    Command(Box<Command>),
    /// Change of the voter set.
    Change(Change),
}

/// Names the component or call that waits for the answer.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// Edit of an operator.
    Edit { call: operator::CallId, edit: Box<SubmittedEdit>, wait: Duration },
    /// Claim of a non-idempotent request, as proposed.
    Claim { request: Request, claimant: u128, claim: Box<claim::Claim> },
    /// Drain of an instance, requested by an operator.
    Drain { call: operator::CallId, instance: Instance, operator: Operator },
    /// Change of the voter set, requested by an operator.
    Voters { call: operator::CallId },
    /// Order that waits for its fence number.
    OrderNumber { order: Box<Order> },
    /// End of an order.
    OrderEnd { upstream: Upstream, fence: Fence },
    /// Proposal of another instance.
    Forwarded { from: Instance, token: u64 },
    /// Proposal whose answer nobody needs.
    Unattended,
}

/// Holds a proposal that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) content: Content,
    pub(crate) purpose: Purpose,
    /// Time at which the proposal is given up.
    pub(crate) deadline: Duration,
    /// Time at which the proposal is sent again.
    pub(crate) resend_at: Duration,
    /// Whether the proposal was sent and has not been answered yet.
    pub(crate) sent: bool,
    /// Whether a voter may have accepted the proposal without answering.
    pub(crate) maybe_accepted: bool,
    /// Number of attempts to reach a voter.
    pub(crate) tries: u32,
}

/// Number of low bits of a token that count within one millisecond of the incarnation.
const COUNT_BITS: u32 = 20;

/// Generates the tokens that match the answers of other instances to proposals and queries.
///
/// An answer may arrive after the sender has restarted or has given up waiting. If the token had
/// been reused, an operator could be told that an edit is accepted although it is in no table, or a
/// request could run under the claim of another one. Therefore no token is used twice, neither in
/// one incarnation nor in the next one, which has a greater number.
#[derive(Debug)]
pub(crate) struct Tokens {
    last: u64,
}

impl Tokens {
    /// Starts after all tokens of earlier incarnations; the incarnation is in Unix milliseconds.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self { last: incarnation.wrapping_shl(COUNT_BITS) }
    }

    /// Returns a token that was never used before.
    pub(crate) fn next(&mut self) -> u64 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}

/// Holds the unanswered proposals by token.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    by_token: BTreeMap<u64, Proposal>,
}

impl Proposals {
    /// Adds a proposal under its token.
    pub(crate) fn insert(&mut self, token: u64, proposal: Proposal) {
        self.by_token.insert(token, proposal);
    }

    /// Returns the proposal with a token.
    pub(crate) fn get_mut(&mut self, token: u64) -> Option<&mut Proposal> {
        self.by_token.get_mut(&token)
    }

    /// Removes the proposal with a token.
    pub(crate) fn remove(&mut self, token: u64) -> Option<Proposal> {
        self.by_token.remove(&token)
    }

    /// Returns the tokens of the proposals that must be sent again or given up.
    pub(crate) fn due_tokens(&self, now: Duration) -> Vec<u64> {
        let due = |proposal: &Proposal| proposal.resend_at.min(proposal.deadline) <= now;
        self.by_token.iter().filter(|(_, it)| due(it)).map(|(token, _)| *token).collect()
    }

    /// Returns the earliest time at which a proposal must be sent again or given up.
    pub(crate) fn next_wakeup(&self) -> Option<Duration> {
        self.by_token.values().map(|proposal| proposal.resend_at.min(proposal.deadline)).min()
    }

    /// Returns the number of unanswered proposals.
    pub(crate) fn len(&self) -> usize {
        self.by_token.len()
    }
}

/// Holds a call that waits until an accepted edit is in force everywhere.
#[derive(Clone, Debug)]
pub(crate) struct EditWait {
    pub(crate) call: operator::CallId,
    pub(crate) revision: Revision,
    /// Time at which the edit arrived.
    pub(crate) arrived_at: Duration,
    /// Latest time of the reply to the operator.
    pub(crate) deadline: Duration,
    /// Whether the reply was sent.
    pub(crate) replied: bool,
    pub(crate) next_poll: Duration,
    pub(crate) awaited: Vec<Instance>,
}
