//! Handles calls of operators and of readiness probes.

use std::time::Duration;

use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_replica::config::Change;
use verbenaslip_replica::voter::Voter;
use verbenaslip_state::Command;
use verbenaslip_state::command::{Drain, VoterChange, Voters};

use crate::lead::committed_outcome;
use crate::message::{Message, ProposalAnswer, Query};
use crate::node::Node;
use crate::notice::Notice;
use crate::operator::{CallId, OperatorCall, Reply};
use crate::output::Output;
use crate::proposal::{Content, Purpose};
use crate::query::Waiter;

/// Time limit for committing a change that an operator requested.
pub(crate) const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a change of the voter set, which includes the time a new voter needs to catch up.
const VOTER_CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

impl Node {
    pub(crate) fn handle_call(&mut self, call: CallId, ask: OperatorCall) {
        match ask {
            OperatorCall::Table { revision } => {
                let reply = self.table_reply(revision);
                self.reply(call, reply);
            }
            OperatorCall::Apply(apply) => self.propose_edit(call, &apply),
            OperatorCall::History => {
                self.start_query(Query::History, Waiter::Operator(call), None, CHANGE_TIMEOUT)
            }
            OperatorCall::Audit { since } => {
                self.start_query(
                    Query::Audit { since },
                    Waiter::Operator(call),
                    None,
                    CHANGE_TIMEOUT,
                );
            }
            OperatorCall::Status => {
                let status = Reply::Status(Box::new(self.status()));
                self.reply(call, status);
            }
            OperatorCall::Ready => {
                let reasons = Reply::Ready(self.readiness_problems());
                self.reply(call, reasons);
            }
            OperatorCall::Drain { instance, operator } => {
                self.drain_instance(call, instance, operator)
            }
            OperatorCall::Voters { change, operator } => self.change_voters(call, change, operator),
        }
    }

    /// Handles the result of a proposed drain and replies to the operator.
    pub(crate) fn handle_drain_answer(
        &mut self,
        call: CallId,
        instance: &Instance,
        operator: Operator,
        answer: &ProposalAnswer,
    ) {
        if committed_outcome(answer).is_none() {
            return self.reply(call, failure_reply(answer));
        }
        self.notify(Notice::DrainOrdered {
            operator: operator.clone(),
            instance: instance.clone(),
        });
        if *instance == self.setup.instance {
            self.out.push(Output::Drain);
        } else {
            self.send(instance, Message::Drain { operator });
        }
        self.reply(call, Reply::Draining);
    }

    /// Handles the result of a proposed change of the voter set and replies to the operator.
    pub(crate) fn handle_voter_change_answer(&mut self, call: CallId, answer: &ProposalAnswer) {
        let reply = if matches!(answer, ProposalAnswer::Changed) {
            Reply::VotersChanged
        } else {
            failure_reply(answer)
        };
        self.reply(call, reply);
    }

    fn drain_instance(&mut self, call: CallId, instance: Instance, operator: Operator) {
        let known = instance == self.setup.instance || self.gossip.member(&instance).is_some();
        if !known {
            let text = "no such instance is known; see the status for their names";
            return self.reply(call, Reply::Refused(text.into()));
        }
        let drain = Drain { by: operator.clone(), instance: instance.clone(), at: self.unix_ms() };
        self.propose(
            Command::Drain(drain),
            Purpose::Drain { call, instance, operator },
            CHANGE_TIMEOUT,
        );
    }

    fn change_voters(&mut self, call: CallId, change: VoterChange, operator: Operator) {
        let (old, new) = match change {
            VoterChange::Remove(old) => {
                self.record_voter_change(VoterChange::Remove(old.clone()), operator);
                let purpose = Purpose::Voters { call };
                return self.submit(
                    Content::Change(Change::Remove(old)),
                    purpose,
                    VOTER_CHANGE_TIMEOUT,
                );
            }
            VoterChange::Add(new) => (None, new),
            VoterChange::Replace { old, new } => (Some(old), new),
        };
        if new != self.setup.instance && self.address(&new).is_none() {
            let text = "no such instance is known; see the status for their names";
            return self.reply(call, Reply::Refused(text.into()));
        }
        let waiter = Waiter::VoterChange { call, old, operator };
        self.start_query(Query::OwnVoter, waiter, Some(new), CHANGE_TIMEOUT);
    }

    /// Continues a change of the voter set once the identity of the new voter's data directory is
    /// known.
    pub(crate) fn continue_voter_change(
        &mut self,
        call: CallId,
        old: Option<Instance>,
        operator: Operator,
        voter: Option<Voter>,
    ) {
        let Some(voter) = voter else {
            let text = "that instance has no data folder; set `data` in its settings";
            return self.reply(call, Reply::Refused(text.into()));
        };
        let new = voter.instance.clone();
        let (audited, change) = match old {
            Some(old) => (
                VoterChange::Replace { old: old.clone(), new },
                Change::Replace { old, new: voter },
            ),
            None => (VoterChange::Add(new), Change::Add(voter)),
        };
        self.record_voter_change(audited, operator);
        self.submit(Content::Change(change), Purpose::Voters { call }, VOTER_CHANGE_TIMEOUT);
    }

    /// Records a change of the voter set in the audit trail.
    fn record_voter_change(&mut self, change: VoterChange, operator: Operator) {
        self.notify(Notice::VotersOrdered { operator: operator.clone(), change: change.clone() });
        let voters = Voters { by: operator, change, at: self.unix_ms() };
        self.propose(Command::Voters(voters), Purpose::Unattended, CHANGE_TIMEOUT);
    }

    /// Sends the reply to a call.
    pub(crate) fn reply(&mut self, call: CallId, reply: Reply) {
        self.out.push(Output::Reply { call, reply });
    }
}

/// Returns the reply for a command that was not carried out.
pub(crate) fn failure_reply(answer: &ProposalAnswer) -> Reply {
    match answer {
        ProposalAnswer::NotLeader { .. } => Reply::NoQuorum,
        ProposalAnswer::Refused(text) => Reply::Refused(text.clone()),
        ProposalAnswer::Done(outcome) => Reply::Refused(outcome.to_string().into()),
        ProposalAnswer::Changed | ProposalAnswer::Unknown => Reply::Unknown,
    }
}
