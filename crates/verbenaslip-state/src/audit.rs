//! The audit trail: who requested each command, when, from which base revision, and the answer.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_table::edit::Id;
use verbenaslip_table::{Key, Revision};

use crate::claim::Ending;
use crate::command::{Command, VoterChange};
use crate::history::{MAX_LISTED_ROWS, keep_newest};
use crate::order::{Result, Task};
use crate::outcome::Outcome;

/// Maximum number of entries kept for edits, orders, drains and voter changes together.
pub const MAX_ENTRIES: usize = 4_096;

/// Maximum number of entries kept for claims.
///
/// Claims have their own bound because they are frequent and would push out all other entries.
pub const MAX_CLAIM_ENTRIES: usize = 512;

/// Maximum number of entries in one page.
pub const MAX_PAGE: usize = 256;

/// Records one command and its answer.
#[data]
pub struct Entry {
    /// The entry's number, counted from 1.
    pub number: u64,
    /// The command's position in the log.
    pub position: Fence,
    /// The time at which the command was proposed, in Unix milliseconds.
    pub at: u64,
    /// The operator or instance that requested it.
    pub by: Arc<str>,
    /// The requested action.
    pub action: Action,
    /// The revision on which an edit was based; `None` for other actions.
    pub base: Option<Revision>,
    /// Whether the command was accepted.
    pub accepted: bool,
    /// The answer; a refusal states the reason.
    pub answer: Arc<str>,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}: {}", self.number, self.at, self.by, self.action)?;
        if let Some(base) = self.base {
            write!(f, " from revision {base}")?;
        }
        let word = if self.accepted { "accepted" } else { "refused" };
        write!(f, "; {word}: {}", self.answer)
    }
}

/// Describes the requested action.
#[data]
pub enum Action {
    /// A change of the table.
    Edit {
        /// The edit's identifier.
        id: Id,
        /// The keys of the changed rows, at most the first [`MAX_LISTED_ROWS`].
        rows: Vec<Key>,
    },
    /// A claim for a non-idempotent request.
    Claim(Attempt),
    /// The end of a claimed run.
    Settle(Attempt, Ending),
    /// The release of a claim before anything was sent.
    Release(Attempt),
    /// An order to an upstream.
    Order(Upstream, Task),
    /// The result of an order.
    Ordered(Upstream, Fence, Result),
    /// A graceful stop of an instance.
    Drain(Instance),
    /// A change of the voter set.
    Voters(VoterChange),
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Edit { id, rows } => {
                let rows: Vec<String> = rows.iter().map(Key::to_string).collect();
                write!(f, "edit {id} of {}", rows.join(", "))
            }
            Self::Claim(attempt) => write!(f, "claim {} {}", attempt.request, attempt.number),
            Self::Settle(attempt, ending) => {
                let ending = match ending {
                    Ending::Done { .. } => "done",
                    Ending::NotRun => "not run",
                    Ending::Unknown(_) => "unknown",
                };
                write!(f, "settle {} {} as {ending}", attempt.request, attempt.number)
            }
            Self::Release(attempt) => write!(f, "release {} {}", attempt.request, attempt.number),
            Self::Order(upstream, task) => write!(f, "order {upstream} to {task}"),
            Self::Ordered(upstream, fence, result) => {
                write!(f, "order {}.{} to {upstream} ended: {result}", fence.term, fence.index)
            }
            Self::Drain(instance) => write!(f, "drain {instance}"),
            Self::Voters(VoterChange::Add(new)) => write!(f, "add voter {new}"),
            Self::Voters(VoterChange::Remove(old)) => write!(f, "remove voter {old}"),
            Self::Voters(VoterChange::Replace { old, new }) => {
                write!(f, "replace voter {old} by {new}")
            }
        }
    }
}

/// Holds consecutive entries and the number from which the next page starts.
#[data]
pub struct Page {
    /// The number from which the next page starts.
    pub next: u64,
    /// The entries in order; entries that are no longer kept are left out.
    pub entries: Vec<Entry>,
}

/// Keeps the newest entries, with separate bounds for claims and for everything else.
#[data(default)]
pub(crate) struct Trail {
    count: u64,
    claims: VecDeque<Entry>,
    others: VecDeque<Entry>,
}

impl Trail {
    /// Records a command and its answer.
    pub(crate) fn record(&mut self, position: Fence, command: &Command, outcome: &Outcome) {
        self.count = self.count.saturating_add(1);
        let mut answer = outcome.to_string();
        if answer.len() > MAX_ANSWER_BYTES {
            let cut = (0..=MAX_ANSWER_BYTES).rev().find(|at| answer.is_char_boundary(*at));
            answer.truncate(cut.unwrap_or_default());
            answer.push('…');
        }
        let entry = Entry {
            number: self.count,
            position,
            at: command.proposed_at_ms(),
            by: requester(command),
            action: action(command),
            base: base_revision(command),
            accepted: outcome.accepted(),
            answer: answer.into(),
        };
        let (entries, max_entries) = match command {
            Command::Claim(_) | Command::Settle(_) | Command::Release(_) => {
                (&mut self.claims, MAX_CLAIM_ENTRIES)
            }
            _ => (&mut self.others, MAX_ENTRIES),
        };
        entries.push_back(entry);
        keep_newest(entries, max_entries);
    }

    /// Returns entries starting at the given number, at most [`MAX_PAGE`].
    pub(crate) fn page(&self, since: u64, limit: usize) -> Page {
        let from = |entries: &VecDeque<Entry>| {
            let start = entries.partition_point(|entry| entry.number < since);
            entries.iter().skip(start).take(MAX_PAGE).cloned().collect::<Vec<_>>()
        };
        let mut entries = from(&self.claims);
        entries.extend(from(&self.others));
        entries.sort_by_key(|entry| entry.number);
        entries.truncate(limit.min(MAX_PAGE));
        let next = entries.last().map_or(since.max(1), |entry| entry.number.saturating_add(1));
        Page { next, entries }
    }

    pub(crate) fn is_consistent(&self) -> bool {
        let ascending = |entries: &VecDeque<Entry>| {
            let mut pairs = entries.iter().zip(entries.iter().skip(1));
            let counted = entries.back().is_none_or(|entry| entry.number <= self.count);
            counted && pairs.all(|(older, newer)| older.number < newer.number)
        };
        let bounded = self.claims.len() <= MAX_CLAIM_ENTRIES && self.others.len() <= MAX_ENTRIES;
        bounded && ascending(&self.claims) && ascending(&self.others)
    }
}

/// Maximum length of an answer's text, in bytes.
const MAX_ANSWER_BYTES: usize = 400;

fn requester(command: &Command) -> Arc<str> {
    match command {
        Command::Edit(edit) => edit.operator.as_str(),
        Command::Claim(claim) => claim.instance.as_str(),
        Command::Settle(settle) => settle.by.as_str(),
        Command::Release(release) => release.claim.instance.as_str(),
        Command::Order(order) => order.by.as_str(),
        Command::Ordered(ordered) => ordered.by.as_str(),
        Command::Drain(drain) => drain.by.as_str(),
        Command::Voters(voters) => voters.by.as_str(),
    }
    .into()
}

fn base_revision(command: &Command) -> Option<Revision> {
    let Command::Edit(edit) = command else { return None };
    Some(edit.base)
}

fn action(command: &Command) -> Action {
    match command {
        Command::Edit(edit) => Action::Edit {
            id: edit.id.clone(),
            rows: edit.changes.iter().map(|change| change.key()).take(MAX_LISTED_ROWS).collect(),
        },
        Command::Claim(claim) => Action::Claim(claim.attempt),
        Command::Settle(settle) => Action::Settle(settle.attempt, settle.ending.clone()),
        Command::Release(release) => Action::Release(release.claim.attempt),
        Command::Order(order) => Action::Order(order.upstream.clone(), order.task.clone()),
        Command::Ordered(ordered) => {
            Action::Ordered(ordered.upstream.clone(), ordered.fence, ordered.result)
        }
        Command::Drain(drain) => Action::Drain(drain.instance.clone()),
        Command::Voters(voters) => Action::Voters(voters.change.clone()),
    }
}
