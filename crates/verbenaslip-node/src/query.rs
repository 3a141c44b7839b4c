//! Queries of any instance for data that only voters have.
//!
//! Only a leader that holds its lease answers, so an answer is never older than the query.

use std::time::Duration;

use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_state::audit;

use crate::message::{Message, Query, QueryAnswer};
use crate::node::Node;
use crate::operator::{CallId, Reply};

/// Delay before a query that was not answered is sent to the next instance.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval at which an unanswered query is sent again.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of edits in one answer; the newest are listed.
const MAX_HISTORY_ENTRIES: usize = 512;

/// Holds a query that waits for the answer of another instance.
pub(crate) struct OpenQuery {
    query: Query,
    waiter: Waiter,
    target: Option<Instance>,
    deadline: Duration,
    resend_at: Duration,
    tries: u32,
}

/// Names what waits for the answer to a query.
#[derive(Clone)]
pub(crate) enum Waiter {
    /// Call of an operator.
    Operator(CallId),
    /// Call that waits until its edit is in force everywhere.
    Propagation(CallId),
    /// Change of the voter set that needs the identity of the new voter's data directory.
    VoterChange { call: CallId, old: Option<Instance>, operator: Operator },
}

impl Node {
    /// Answers a query locally, or sends it to an instance that can answer it.
    pub(crate) fn start_query(
        &mut self,
        query: Query,
        waiter: Waiter,
        target: Option<Instance>,
        timeout: Duration,
    ) {
        let here = target.as_ref().is_none_or(|target| *target == self.setup.instance);
        if let Some(answer) = here.then(|| self.answer_locally(&query)).flatten() {
            return self.handle_query_answer(waiter, answer);
        }
        let token = self.tokens.next();
        let (deadline, resend_at) = (self.now + timeout, self.now);
        self.queries
            .insert(token, OpenQuery { query, waiter, target, deadline, resend_at, tries: 0 });
        self.send_query(token);
    }

    /// Handles a query of another instance and answers it if this instance can.
    pub(crate) fn handle_query(&mut self, from: &Instance, token: u64, query: &Query) {
        let answer = self.answer_locally(query);
        let leader = self.leader.clone();
        self.send(from, Message::QueryResult { token, answer, leader });
    }

    /// Handles the answer of another instance to a query.
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

    /// Sends unanswered queries again, and gives up those whose time limit has passed.
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

    /// Returns the answer to a query from local data, or none if this instance can't answer it.
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
            // Only a faulty peer sends an answer of another kind than the query asked for.
            _ => {}
        }
    }
}
