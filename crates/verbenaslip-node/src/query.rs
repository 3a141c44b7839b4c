//! What instances ask voters, because only voters hold it.
//!
//! Only the leader under its lease answers, so an answer is never older than the question.

use std::time::Duration;

use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_state::audit;

use crate::message::{Message, Query, QueryAnswer};
use crate::node::Node;
use crate::operator::{CallId, Reply};

/// Before a query goes to the next instance after one that could not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Between two sendings of an unanswered query.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// The newest edits that one answer lists.
const MAX_HISTORY_ENTRIES: usize = 512;

/// Holds a query that other instances answer.
pub(crate) struct OpenQuery {
    query: Query,
    waiter: Waiter,
    target: Option<Instance>,
    deadline: Duration,
    resend_at: Duration,
    tries: u32,
}

/// Says who waits for a query's answer.
#[derive(Clone)]
pub(crate) enum Waiter {
    /// An operator's call.
    Operator(CallId),
    /// An edit's call that waits until the edit is in force everywhere.
    Propagation(CallId),
    /// A change of the voter set that needs the new voter's folder.
    VoterChange { call: CallId, old: Option<Instance>, operator: Operator },
}

impl Node {
    /// Answers a query here, or asks the instance that can.
    pub(crate) fn start_query(
        &mut self,
        query: Query,
        waiter: Waiter,
        target: Option<Instance>,
        patience: Duration,
    ) {
        let here = target.as_ref().is_none_or(|target| *target == self.setup.instance);
        if let Some(answer) = here.then(|| self.answer_locally(&query)).flatten() {
            return self.handle_query_answer(waiter, answer);
        }
        let token = self.tokens.next();
        let (deadline, resend_at) = (self.now + patience, self.now);
        self.queries
            .insert(token, OpenQuery { query, waiter, target, deadline, resend_at, tries: 0 });
        self.send_query(token);
    }

    /// Answers another instance's query, if this one can.
    pub(crate) fn handle_query(&mut self, from: &Instance, token: u64, query: &Query) {
        let answer = self.answer_locally(query);
        let leader = self.leader.clone();
        self.send(from, Message::QueryResult { token, answer, leader });
    }

    /// Takes the answer to a query.
    pub(crate) fn handle_query_result(
        &mut self,
        token: u64,
        answer: Option<QueryAnswer>,
        leader: Option<Instance>,
    ) {
        let now = self.now;
        let Some(open) = self.queries.get_mut(&token) else { return };
        let Some(answer) = answer else {
            open.resend_at = now + RETRY_DELAY;
            open.tries += 1;
            self.leader = leader.or(self.leader.take());
            return;
        };
        let Some(open) = self.queries.remove(&token) else { return };
        self.handle_query_answer(open.waiter, answer);
    }

    /// Sends unanswered queries again, or gives them up.
    pub(crate) fn poll_queries(&mut self) {
        let now = self.now;
        let due = |open: &OpenQuery| open.resend_at.min(open.deadline) <= now;
        let tokens: Vec<u64> =
            self.queries.iter().filter(|(_, open)| due(open)).map(|(token, _)| *token).collect();
        for token in tokens {
            let given_up = self.queries.get(&token).is_some_and(|open| open.deadline <= now);
            if !given_up {
                self.send_query(token);
                continue;
            }
            let Some(open) = self.queries.remove(&token) else { continue };
            match open.waiter {
                Waiter::Operator(call) => self.reply(call, Reply::NoQuorum),
                Waiter::VoterChange { call, .. } => {
                    let text = "the new voter's instance can't be reached, or has no data folder";
                    self.reply(call, Reply::Refused(text.into()));
                }
                Waiter::Propagation(_) => {}
            }
        }
    }

    fn send_query(&mut self, token: u64) {
        let now = self.now;
        let Some(open) = self.queries.get_mut(&token) else { return };
        open.resend_at = now + RESEND_INTERVAL;
        open.tries += 1;
        let (query, tries) = (open.query.clone(), open.tries - 1);
        let target = open.target.clone().or_else(|| self.likely_leader(tries));
        if let Some(target) = target {
            self.send(&target, Message::Query { token, query });
        }
    }

    /// Answers a query from what is held here.
    pub(crate) fn answer_locally(&self, query: &Query) -> Option<QueryAnswer> {
        if let Query::OwnVoter = query {
            return Some(QueryAnswer::OwnVoter(self.voter.as_ref().map(|it| it.replica().voter())));
        }
        let voter = self.voter.as_ref().filter(|_| self.leads())?;
        match query {
            Query::Propagation(revision) => {
                let force = self.hub.propagation(self.now, *revision)?;
                let complete = force.is_complete();
                Some(QueryAnswer::Propagation { complete, awaited: force.awaited })
            }
            Query::History => {
                let entries: Vec<_> = voter.state().history().cloned().collect();
                let skip = entries.len().saturating_sub(MAX_HISTORY_ENTRIES);
                Some(QueryAnswer::History(entries.into_iter().skip(skip).collect()))
            }
            Query::Audit { since } => {
                Some(QueryAnswer::Audit(voter.state().audit(*since, audit::MAX_PAGE)))
            }
            Query::OwnVoter => None,
        }
    }

    fn handle_query_answer(&mut self, waiter: Waiter, answer: QueryAnswer) {
        match (waiter, answer) {
            (Waiter::Operator(call), QueryAnswer::History(entries)) => {
                self.reply(call, Reply::History(entries));
            }
            (Waiter::Operator(call), QueryAnswer::Audit(page)) => {
                self.reply(call, Reply::Audit(page))
            }
            (Waiter::VoterChange { call, old, operator }, QueryAnswer::OwnVoter(voter)) => {
                self.continue_voter_change(call, old, operator, voter);
            }
            (Waiter::Propagation(call), QueryAnswer::Propagation { complete, awaited }) => {
                let Some(at) = self.edit_waits.iter().position(|wait| wait.call == call) else {
                    return;
                };
                if complete {
                    let wait = self.edit_waits.remove(at);
                    self.finish_wait(&wait);
                } else if let Some(wait) = self.edit_waits.get_mut(at) {
                    wait.awaited = awaited;
                }
            }
            // Another answer than was asked for comes only from a faulty peer.
            _ => {}
        }
    }
}
