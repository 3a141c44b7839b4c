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
const NEXT: Duration = Duration::from_millis(100);

/// Between two sendings of an unanswered query.
pub(crate) const RESEND: Duration = Duration::from_millis(500);

/// The newest edits that one answer lists.
const HISTORY: usize = 512;

/// Holds a query that other instances answer.
pub(crate) struct Open {
    query: Query,
    purpose: Waiter,
    target: Option<Instance>,
    deadline: Duration,
    due: Duration,
    tries: u32,
}

/// Says who waits for a query's answer.
#[derive(Clone)]
pub(crate) enum Waiter {
    /// An operator's call.
    Operator(CallId),
    /// An edit's call that waits until the edit is in force everywhere.
    Force(CallId),
    /// A change of the voter set that needs the new voter's folder.
    Joining { call: CallId, old: Option<Instance>, by: Operator },
}

impl Node {
    /// Answers a query here, or asks the instance that can.
    pub(crate) fn query(
        &mut self,
        query: Query,
        purpose: Waiter,
        target: Option<Instance>,
        patience: Duration,
    ) {
        let here = target.as_ref().is_none_or(|target| *target == self.setup.instance);
        if let Some(found) = here.then(|| self.find(&query)).flatten() {
            return self.found(purpose, found);
        }
        let token = self.tokens.draw();
        let (deadline, due) = (self.now + patience, self.now);
        self.queries.insert(token, Open { query, purpose, target, deadline, due, tries: 0 });
        self.send_query(token);
    }

    /// Answers another instance's query, if this one can.
    pub(crate) fn asked(&mut self, from: &Instance, token: u64, query: &Query) {
        let found = self.find(query);
        let leader = self.leader.clone();
        self.send(from, Message::QueryResult { token, answer: found, leader });
    }

    /// Takes the answer to a query.
    pub(crate) fn told(
        &mut self,
        token: u64,
        found: Option<QueryAnswer>,
        leader: Option<Instance>,
    ) {
        let now = self.now;
        let Some(open) = self.queries.get_mut(&token) else { return };
        let Some(found) = found else {
            open.due = now + NEXT;
            open.tries += 1;
            self.leader = leader.or(self.leader.take());
            return;
        };
        let Some(open) = self.queries.remove(&token) else { return };
        self.found(open.purpose, found);
    }

    /// Sends unanswered queries again, or gives them up.
    pub(crate) fn poll_queries(&mut self) {
        let now = self.now;
        let due = |open: &Open| open.due.min(open.deadline) <= now;
        let tokens: Vec<u64> =
            self.queries.iter().filter(|(_, open)| due(open)).map(|(token, _)| *token).collect();
        for token in tokens {
            let given_up = self.queries.get(&token).is_some_and(|open| open.deadline <= now);
            if !given_up {
                self.send_query(token);
                continue;
            }
            let Some(open) = self.queries.remove(&token) else { continue };
            match open.purpose {
                Waiter::Operator(call) => self.reply(call, Reply::NoQuorum),
                Waiter::Joining { call, .. } => {
                    let text = "the new voter's instance can't be reached, or has no data folder";
                    self.reply(call, Reply::Refused(text.into()));
                }
                Waiter::Force(_) => {}
            }
        }
    }

    fn send_query(&mut self, token: u64) {
        let now = self.now;
        let Some(open) = self.queries.get_mut(&token) else { return };
        open.due = now + RESEND;
        open.tries += 1;
        let (query, tries) = (open.query.clone(), open.tries - 1);
        let target = open.target.clone().or_else(|| self.likely_leader(tries));
        if let Some(target) = target {
            self.send(&target, Message::Query { token, query });
        }
    }

    /// Answers a query from what is held here.
    pub(crate) fn find(&self, query: &Query) -> Option<QueryAnswer> {
        if let Query::OwnVoter = query {
            return Some(QueryAnswer::OwnVoter(self.voter.as_ref().map(|it| it.replica().voter())));
        }
        let voter = self.voter.as_ref().filter(|_| self.leads())?;
        match query {
            Query::Propagation(revision) => {
                let force = self.hub.propagation(self.now, *revision)?;
                let everywhere = force.is_complete();
                Some(QueryAnswer::Propagation { complete: everywhere, awaited: force.awaited })
            }
            Query::History => {
                let entries: Vec<_> = voter.state().history().cloned().collect();
                let skip = entries.len().saturating_sub(HISTORY);
                Some(QueryAnswer::History(entries.into_iter().skip(skip).collect()))
            }
            Query::Audit { since } => {
                Some(QueryAnswer::Audit(voter.state().audit(*since, audit::MAX_PAGE)))
            }
            Query::OwnVoter => None,
        }
    }

    fn found(&mut self, waiter: Waiter, found: QueryAnswer) {
        match (waiter, found) {
            (Waiter::Operator(call), QueryAnswer::History(entries)) => {
                self.reply(call, Reply::History(entries));
            }
            (Waiter::Operator(call), QueryAnswer::Audit(page)) => {
                self.reply(call, Reply::Audit(page))
            }
            (Waiter::Joining { call, old, by }, QueryAnswer::OwnVoter(voter)) => {
                self.join(call, old, by, voter);
            }
            (Waiter::Force(call), QueryAnswer::Propagation { complete: everywhere, awaited }) => {
                let Some(at) = self.waits.iter().position(|wait| wait.call == call) else { return };
                if everywhere {
                    let wait = self.waits.remove(at);
                    self.settle_wait(&wait);
                } else if let Some(wait) = self.waits.get_mut(at) {
                    wait.awaited = awaited;
                }
            }
            // Another answer than was asked for comes only from a faulty peer.
            _ => {}
        }
    }
}
