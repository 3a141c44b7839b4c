//! What operators and probes ask, and what instances ask voters for them.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_replica::config::Change;
use verbenaslip_replica::voter::Voter;
use verbenaslip_state::command::{Drain, Swap, Voters};
use verbenaslip_state::history::{self, Verdict};
use verbenaslip_state::{Command, Outcome, audit};
use verbenaslip_table::{Edit, Revision, Table, change};

use crate::lead::outcome;
use crate::message::{Answer, Found, Message, Query, Version};
use crate::node::Node;
use crate::notice::{Made, Notice};
use crate::operator::{Apply, Ask, Edited, Id, Reply};
use crate::output::Output;
use crate::proposal::{Purpose, Wait, Work};

/// How many revisions of the table are kept to tell what a resent edit changes.
pub(crate) const TABLES: usize = 32;

/// How long an operator's change is tried.
pub(crate) const PATIENCE: Duration = Duration::from_secs(5);

/// How long a change of the voter set is tried, in which a new voter catches up.
const VOTING: Duration = Duration::from_secs(60);

/// After this an edit that is not in force everywhere is told of: longer than the lease of whoever
/// was cut off at its arrival.
const SLOW: Duration = Duration::from_secs(6);

/// Between two looks whether an edit is in force everywhere.
const POLL: Duration = Duration::from_millis(100);

/// Between two sendings of an unanswered query.
const RESEND: Duration = Duration::from_millis(500);

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
enum Waiter {
    Operator(Id),
    Force(Id),
    Joining { call: Id, old: Option<Instance>, by: Operator },
}

impl Node {
    pub(crate) fn called(&mut self, call: Id, ask: Ask) {
        match ask {
            Ask::Table { revision } => {
                let reply = self.version(revision);
                self.reply(call, reply);
            }
            Ask::Apply(apply) => self.apply(call, &apply),
            Ask::History => self.query(Query::History, Waiter::Operator(call), None, PATIENCE),
            Ask::Audit { since } => {
                self.query(Query::Audit { since }, Waiter::Operator(call), None, PATIENCE);
            }
            Ask::Status => {
                let status = Reply::Status(Box::new(self.status()));
                self.reply(call, status);
            }
            Ask::Ready => {
                let reasons = Reply::Ready(self.unready());
                self.reply(call, reasons);
            }
            Ask::Drain { instance, by } => self.drain_other(call, instance, by),
            Ask::Voters { swap, by } => self.vote(call, swap, by),
        }
    }

    /// Takes what became of an operator's edit.
    pub(crate) fn edited(&mut self, call: Id, made: Made, wait: Duration, answer: &Answer) {
        let Some(Outcome::Edit(verdict)) = outcome(answer) else {
            return self.reply(call, failure(answer));
        };
        let revision = match verdict {
            Verdict::Accepted { revision } | Verdict::Unchanged { revision } => Some(*revision),
            _ => None,
        };
        let since = made.at;
        self.note(Notice::Edit { made, revision, answer: verdict.to_string() });
        let edited = match verdict.clone() {
            Verdict::Accepted { revision } => return self.await_force(call, revision, since, wait),
            Verdict::Unchanged { revision } => Edited::Unchanged(revision),
            Verdict::Stale(newest) => Edited::Stale(newest),
            Verdict::Reused => Edited::Reused,
            Verdict::Bad(problems) => Edited::Bad(problems),
        };
        self.reply(call, Reply::Edited(edited));
    }

    /// Takes what became of an operator's drain.
    pub(crate) fn drained(&mut self, call: Id, instance: &Instance, by: Operator, answer: &Answer) {
        if outcome(answer).is_none() {
            return self.reply(call, failure(answer));
        }
        self.note(Notice::DrainOrdered { by: by.clone(), instance: instance.clone() });
        if *instance == self.setup.instance {
            self.out.push(Output::Drain);
        } else {
            self.send(instance, Message::Drain { by });
        }
        self.reply(call, Reply::Draining);
    }

    /// Takes what became of an operator's change of the voter set.
    pub(crate) fn voted(&mut self, call: Id, answer: &Answer) {
        let reply = if matches!(answer, Answer::Changed) { Reply::Voted } else { failure(answer) };
        self.reply(call, reply);
    }

    /// Answers another instance's query, if this one can.
    pub(crate) fn asked(&mut self, from: &Instance, token: u64, query: &Query) {
        let found = self.find(query);
        let leader = self.leader.clone();
        self.send(from, Message::Told { token, found, leader });
    }

    /// Takes the answer to a query.
    pub(crate) fn told(&mut self, token: u64, found: Option<Found>, leader: Option<Instance>) {
        let now = self.now;
        let Some(open) = self.queries.get_mut(&token) else { return };
        let Some(found) = found else {
            open.due = now + POLL;
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

    /// Looks whether awaited edits are in force everywhere.
    pub(crate) fn poll_waits(&mut self) {
        let now = self.now;
        for mut wait in std::mem::take(&mut self.waits) {
            if wait.deadline <= now && !wait.told {
                wait.told = true;
                self.tell_force(&wait, false);
            }
            if wait.told && wait.since + SLOW <= now {
                let (revision, awaited) = (wait.revision, wait.awaited);
                self.note(Notice::Slow { revision, awaited });
                continue;
            }
            if wait.due > now {
                self.waits.push(wait);
                continue;
            }
            wait.due = now + POLL;
            match self.find(&Query::Force(wait.revision)) {
                Some(Found::Force { everywhere: true, .. }) => self.settle_wait(&wait),
                Some(Found::Force { awaited, .. }) => self.waits.push(Wait { awaited, ..wait }),
                _ => {
                    let query = Query::Force(wait.revision);
                    let waiter = Waiter::Force(wait.call);
                    self.waits.push(wait);
                    self.query(query, waiter, None, RESEND);
                }
            }
        }
    }

    fn apply(&mut self, call: Id, apply: &Apply) {
        let table = match Table::parse(apply.csv.as_bytes()) {
            Ok(table) => table,
            Err(problems) => return self.reply(call, Reply::Edited(Edited::Bad(problems))),
        };
        let changes = change::diff(&self.base(apply.base), &table);
        let newest = self.hub.revision();
        if apply.base == newest && changes.is_empty() {
            return self.reply(call, Reply::Edited(Edited::Unchanged(newest)));
        }
        if apply.dry {
            let edited = if apply.base == newest {
                Edited::Fits(newest)
            } else {
                Edited::Stale(self.newest(apply.base))
            };
            return self.reply(call, Reply::Edited(edited));
        }
        let edit = Edit {
            id: apply.id.clone(),
            base: apply.base,
            by: apply.by.clone(),
            at: self.unix(),
            changes,
        };
        let made = Made {
            id: apply.id.clone(),
            by: apply.by.clone(),
            base: apply.base,
            rows: edit.changes.len(),
            at: self.now,
        };
        let purpose = Purpose::Edit { call, made: Box::new(made), wait: apply.wait };
        self.propose(Command::Edit(edit), purpose, PATIENCE);
    }

    /// Returns the newest table, or the one at a revision as far as it is kept.
    fn version(&self, revision: Option<Revision>) -> Reply {
        let newest = self.hub.revision();
        let revision = revision.unwrap_or(newest);
        if revision == newest {
            return Reply::Table(Version { revision, table: self.hub.table().clone() });
        }
        let kept = self.tables.iter().find(|kept| kept.revision == revision);
        kept.map_or_else(
            || Reply::Missing { oldest: self.oldest(), newest },
            |kept| Reply::Table(kept.clone()),
        )
    }

    /// Returns the oldest revision of the table that is kept.
    fn oldest(&self) -> Revision {
        self.tables.iter().map(|kept| kept.revision).min().unwrap_or(self.hub.revision())
    }

    /// Returns the table at a revision; one that is too old to be kept leads to a stale edit, so
    /// that it matters little that the newest stands in for it.
    fn base(&self, revision: Revision) -> Arc<Table> {
        if revision == Revision::default() {
            return Arc::default();
        }
        let kept = self.tables.iter().find(|kept| kept.revision == revision);
        kept.map_or_else(|| self.hub.table().clone(), |kept| kept.table.clone())
    }

    /// Returns what differs here from a base, for an edit that is only checked.
    fn newest(&self, base: Revision) -> history::Newest {
        let changes = change::diff(&self.base(base), self.hub.table());
        history::Newest {
            revision: self.hub.revision(),
            by: None,
            differs: changes.iter().map(change::Change::key).take(history::MAX_NAMED).collect(),
            more: changes.len() > history::MAX_NAMED,
        }
    }

    fn await_force(&mut self, call: Id, revision: Revision, since: Duration, wait: Duration) {
        let (deadline, due) = (self.now + wait, self.now);
        let (told, awaited) = (false, Vec::new());
        self.waits.push(Wait { call, revision, since, deadline, told, due, awaited });
    }

    /// Ends the wait for an edit that is in force everywhere.
    fn settle_wait(&mut self, wait: &Wait) {
        let took = self.now.saturating_sub(wait.since);
        self.note(Notice::InForce { revision: wait.revision, took });
        if !wait.told {
            self.tell_force(wait, true);
        }
    }

    fn tell_force(&mut self, wait: &Wait, in_force: bool) {
        let awaited = if in_force { Vec::new() } else { wait.awaited.clone() };
        let edited = Edited::Accepted { revision: wait.revision, in_force, awaited };
        self.reply(wait.call, Reply::Edited(edited));
    }

    fn drain_other(&mut self, call: Id, instance: Instance, by: Operator) {
        let known = instance == self.setup.instance || self.gossip.member(&instance).is_some();
        if !known {
            let text = "no such instance is known; see the status for their names";
            return self.reply(call, Reply::Refused(text.into()));
        }
        let drain = Drain { by: by.clone(), instance: instance.clone(), at: self.unix() };
        self.propose(Command::Drain(drain), Purpose::Drain { call, instance, by }, PATIENCE);
    }

    fn vote(&mut self, call: Id, swap: Swap, by: Operator) {
        let (old, new) = match swap {
            Swap::Remove(old) => {
                self.note_swap(Swap::Remove(old.clone()), by);
                let purpose = Purpose::Voters { call };
                return self.submit(Work::Change(Change::Remove(old)), purpose, VOTING);
            }
            Swap::Add(new) => (None, new),
            Swap::Replace { old, new } => (Some(old), new),
        };
        if new != self.setup.instance && self.address(&new).is_none() {
            let text = "no such instance is known; see the status for their names";
            return self.reply(call, Reply::Refused(text.into()));
        }
        let waiter = Waiter::Joining { call, old, by };
        self.query(Query::Folder, waiter, Some(new), PATIENCE);
    }

    /// Goes on with a change of the voter set once the new voter's folder is known.
    fn join(&mut self, call: Id, old: Option<Instance>, by: Operator, voter: Option<Voter>) {
        let Some(voter) = voter else {
            let text = "that instance has no data folder; set `data` in its settings";
            return self.reply(call, Reply::Refused(text.into()));
        };
        let new = voter.instance.clone();
        let (swap, change) = match old {
            Some(old) => {
                (Swap::Replace { old: old.clone(), new }, Change::Replace { old, new: voter })
            }
            None => (Swap::Add(new), Change::Add(voter)),
        };
        self.note_swap(swap, by);
        self.submit(Work::Change(change), Purpose::Voters { call }, VOTING);
    }

    /// Leaves a note of a change of the voter set in the audit trail.
    fn note_swap(&mut self, change: Swap, by: Operator) {
        self.note(Notice::VotersOrdered { by: by.clone(), change: change.clone() });
        let voters = Voters { by, change, at: self.unix() };
        self.propose(Command::Voters(voters), Purpose::Nobody, PATIENCE);
    }

    fn query(
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

    fn send_query(&mut self, token: u64) {
        let now = self.now;
        let Some(open) = self.queries.get_mut(&token) else { return };
        open.due = now + RESEND;
        open.tries += 1;
        let (query, tries) = (open.query.clone(), open.tries - 1);
        let target = open.target.clone().or_else(|| self.likely_leader(tries));
        if let Some(target) = target {
            self.send(&target, Message::Ask { token, query });
        }
    }

    /// Answers a query from what is held here.
    fn find(&self, query: &Query) -> Option<Found> {
        if let Query::Folder = query {
            return Some(Found::Folder(self.voter.as_ref().map(|it| it.replica().voter())));
        }
        let voter = self.voter.as_ref().filter(|_| self.leads())?;
        match query {
            Query::Force(revision) => {
                let force = self.hub.force(self.now, *revision)?;
                let everywhere = force.everywhere();
                Some(Found::Force { everywhere, awaited: force.awaited })
            }
            Query::History => {
                let entries: Vec<_> = voter.state().history().cloned().collect();
                let skip = entries.len().saturating_sub(HISTORY);
                Some(Found::History(entries.into_iter().skip(skip).collect()))
            }
            Query::Audit { since } => {
                Some(Found::Audit(voter.state().audit(*since, audit::MAX_PAGE)))
            }
            Query::Folder => None,
        }
    }

    fn found(&mut self, waiter: Waiter, found: Found) {
        match (waiter, found) {
            (Waiter::Operator(call), Found::History(entries)) => {
                self.reply(call, Reply::History(entries));
            }
            (Waiter::Operator(call), Found::Audit(page)) => self.reply(call, Reply::Audit(page)),
            (Waiter::Joining { call, old, by }, Found::Folder(voter)) => {
                self.join(call, old, by, voter);
            }
            (Waiter::Force(call), Found::Force { everywhere, awaited }) => {
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

    fn reply(&mut self, call: Id, reply: Reply) {
        self.out.push(Output::Reply { call, reply });
    }
}

/// Says why a command of an operator came to nothing.
fn failure(answer: &Answer) -> Reply {
    match answer {
        Answer::Elsewhere { .. } => Reply::NoQuorum,
        Answer::Refused(text) => Reply::Refused(text.clone()),
        Answer::Done(outcome) => Reply::Refused(outcome.to_string().into()),
        Answer::Changed | Answer::Unknown => Reply::Unknown,
    }
}
