//! What operators and probes ask.

use std::time::Duration;

use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_replica::config::Change;
use verbenaslip_replica::voter::Voter;
use verbenaslip_state::Command;
use verbenaslip_state::command::{Drain, VoterChange, Voters};

use crate::lead::outcome;
use crate::message::{Message, ProposalAnswer, Query};
use crate::node::Node;
use crate::notice::Notice;
use crate::operator::{CallId, OperatorCall, Reply};
use crate::output::Output;
use crate::proposal::{Purpose, Work};
use crate::query::Waiter;

/// How long an operator's change is tried.
pub(crate) const PATIENCE: Duration = Duration::from_secs(5);

/// How long a change of the voter set is tried, in which a new voter catches up.
const VOTING: Duration = Duration::from_secs(60);

impl Node {
    pub(crate) fn called(&mut self, call: CallId, ask: OperatorCall) {
        match ask {
            OperatorCall::Table { revision } => {
                let reply = self.version(revision);
                self.reply(call, reply);
            }
            OperatorCall::Apply(apply) => self.apply(call, &apply),
            OperatorCall::History => {
                self.query(Query::History, Waiter::Operator(call), None, PATIENCE)
            }
            OperatorCall::Audit { since } => {
                self.query(Query::Audit { since }, Waiter::Operator(call), None, PATIENCE);
            }
            OperatorCall::Status => {
                let status = Reply::Status(Box::new(self.status()));
                self.reply(call, status);
            }
            OperatorCall::Ready => {
                let reasons = Reply::Ready(self.readiness_problems());
                self.reply(call, reasons);
            }
            OperatorCall::Drain { instance, operator: by } => self.drain_other(call, instance, by),
            OperatorCall::Voters { change: swap, operator: by } => self.vote(call, swap, by),
        }
    }

    /// Takes what became of an operator's drain.
    pub(crate) fn drained(
        &mut self,
        call: CallId,
        instance: &Instance,
        by: Operator,
        answer: &ProposalAnswer,
    ) {
        if outcome(answer).is_none() {
            return self.reply(call, failure(answer));
        }
        self.note(Notice::DrainOrdered { operator: by.clone(), instance: instance.clone() });
        if *instance == self.setup.instance {
            self.out.push(Output::Drain);
        } else {
            self.send(instance, Message::Drain { operator: by });
        }
        self.reply(call, Reply::Draining);
    }

    /// Takes what became of an operator's change of the voter set.
    pub(crate) fn voted(&mut self, call: CallId, answer: &ProposalAnswer) {
        let reply = if matches!(answer, ProposalAnswer::Changed) {
            Reply::VotersChanged
        } else {
            failure(answer)
        };
        self.reply(call, reply);
    }

    fn drain_other(&mut self, call: CallId, instance: Instance, by: Operator) {
        let known = instance == self.setup.instance || self.gossip.member(&instance).is_some();
        if !known {
            let text = "no such instance is known; see the status for their names";
            return self.reply(call, Reply::Refused(text.into()));
        }
        let drain = Drain { by: by.clone(), instance: instance.clone(), at: self.unix() };
        self.propose(Command::Drain(drain), Purpose::Drain { call, instance, by }, PATIENCE);
    }

    fn vote(&mut self, call: CallId, swap: VoterChange, by: Operator) {
        let (old, new) = match swap {
            VoterChange::Remove(old) => {
                self.note_swap(VoterChange::Remove(old.clone()), by);
                let purpose = Purpose::Voters { call };
                return self.submit(Work::Change(Change::Remove(old)), purpose, VOTING);
            }
            VoterChange::Add(new) => (None, new),
            VoterChange::Replace { old, new } => (Some(old), new),
        };
        if new != self.setup.instance && self.address(&new).is_none() {
            let text = "no such instance is known; see the status for their names";
            return self.reply(call, Reply::Refused(text.into()));
        }
        let waiter = Waiter::Joining { call, old, by };
        self.query(Query::OwnVoter, waiter, Some(new), PATIENCE);
    }

    /// Goes on with a change of the voter set once the new voter's folder is known.
    pub(crate) fn join(
        &mut self,
        call: CallId,
        old: Option<Instance>,
        by: Operator,
        voter: Option<Voter>,
    ) {
        let Some(voter) = voter else {
            let text = "that instance has no data folder; set `data` in its settings";
            return self.reply(call, Reply::Refused(text.into()));
        };
        let new = voter.instance.clone();
        let (swap, change) = match old {
            Some(old) => (
                VoterChange::Replace { old: old.clone(), new },
                Change::Replace { old, new: voter },
            ),
            None => (VoterChange::Add(new), Change::Add(voter)),
        };
        self.note_swap(swap, by);
        self.submit(Work::Change(change), Purpose::Voters { call }, VOTING);
    }

    /// Leaves a note of a change of the voter set in the audit trail.
    fn note_swap(&mut self, change: VoterChange, by: Operator) {
        self.note(Notice::VotersOrdered { operator: by.clone(), change: change.clone() });
        let voters = Voters { by, change, at: self.unix() };
        self.propose(Command::Voters(voters), Purpose::Nobody, PATIENCE);
    }

    /// Replies to a call.
    pub(crate) fn reply(&mut self, call: CallId, reply: Reply) {
        self.out.push(Output::Reply { call, reply });
    }
}

/// Says why a command of an operator came to nothing.
pub(crate) fn failure(answer: &ProposalAnswer) -> Reply {
    match answer {
        ProposalAnswer::NotLeader { .. } => Reply::NoQuorum,
        ProposalAnswer::Refused(text) => Reply::Refused(text.clone()),
        ProposalAnswer::Done(outcome) => Reply::Refused(outcome.to_string().into()),
        ProposalAnswer::Changed | ProposalAnswer::Unknown => Reply::Unknown,
    }
}
