//! Operators' calls and their replies, between the admin address and the decisions.

use verbenaslip_gossip::{AnnouncementResult, Rejection as AnnouncementFault};
use verbenaslip_node::Input;
use verbenaslip_node::operator::{Apply, CallId, EditResult, OperatorCall, Reply as Told};
use verbenaslip_state::command::VoterChange;
use verbenaslip_state::history;
use verbenaslip_table::{Problems, Revision, edit};

use crate::admin::reply::{Applied, Conflict, Edit, Fault, Json};
use crate::admin::{Call, Reply, Report, Voters};
use crate::control::Running;

/// The most calls whose replies are awaited; older ones have long been given up by their callers.
const CALLS: usize = 4_096;

impl Running {
    pub(super) fn call(&mut self, report: Report) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        let input = match report.call {
            Call::Metrics => {
                self.look();
                let _ = report.reply.try_send(Reply::Metrics(self.control.metric.render()));
                return;
            }
            Call::Announce(announcement) => {
                Input::Announced { call: id, announcement: Box::new(announcement) }
            }
            call => match ask(call) {
                Ok(ask) => Input::Called { call: id, request: ask },
                Err(reply) => {
                    let _ = report.reply.try_send(reply);
                    return;
                }
            },
        };
        self.calls.insert(id, report.reply);
        while self.calls.len() > CALLS {
            self.calls.pop_first();
        }
        self.step(input);
    }
}

fn ask(call: Call) -> Result<OperatorCall, Reply> {
    Ok(match call {
        Call::Table { revision } => OperatorCall::Table { revision: revision.map(Revision) },
        Call::Apply { base, edit, csv, wait, dry, operator } => {
            let Some(id) = edit::Id::new(&edit) else {
                return Err(Reply::Refused {
                    message: "`edit` must be 1 to 64 visible ASCII characters.".into(),
                    hint: "Use a commit hash or a UUID.".into(),
                });
            };
            OperatorCall::Apply(Apply {
                base: Revision(base),
                id,
                csv,
                wait,
                dry_run: dry,
                operator,
            })
        }
        Call::History => OperatorCall::History,
        Call::Audit { since } => OperatorCall::Audit { since },
        Call::Drain { instance, operator } => OperatorCall::Drain { instance, operator },
        Call::Voters { change, operator } => {
            OperatorCall::Voters { change: swap(change), operator }
        }
        Call::Ready => OperatorCall::Ready,
        Call::Status | Call::Announce(_) | Call::Metrics => OperatorCall::Status,
    })
}

fn swap(voters: Voters) -> VoterChange {
    match voters {
        Voters::Add(new) => VoterChange::Add(new),
        Voters::Remove(old) => VoterChange::Remove(old),
        Voters::Replace { old, new } => VoterChange::Replace { old, new },
    }
}

/// Translates a reply of the decisions.
pub(super) fn reply(told: Told) -> Reply {
    match told {
        Told::Announced(answer) => announced(&answer),
        Told::Table(version) => {
            Reply::Table { revision: version.revision.0, csv: version.table.to_csv() }
        }
        Told::TableNotKept { oldest, newest } => {
            Reply::Missing { oldest: oldest.0, newest: newest.0 }
        }
        Told::Edited(edited) => edited_reply(edited),
        Told::History(entries) => Reply::History(entries.iter().map(listed).collect()),
        Told::Audit(page) => {
            Reply::Audit { next: page.next, entries: page.entries.iter().map(Json::of).collect() }
        }
        Told::Status(status) => Reply::Status(Json::of(&status)),
        Told::Ready(because) => Reply::Ready { because },
        Told::Draining => Reply::Draining,
        Told::VotersChanged => Reply::Voted,
        Told::Refused(message) => {
            Reply::Refused { message: message.to_string(), hint: "Nothing was changed.".into() }
        }
        Told::NoQuorum => Reply::Unconfirmed { not_applied: true },
        Told::Unknown => Reply::Unconfirmed { not_applied: false },
    }
}

fn announced(answer: &AnnouncementResult) -> Reply {
    match answer {
        AnnouncementResult::Accepted { lease } => Reply::Announced { lease: *lease },
        AnnouncementResult::Stale { incarnation, sequence } => {
            Reply::Stale { incarnation: *incarnation, sequence: *sequence }
        }
        AnnouncementResult::Rejected(fault) => {
            let hint = match fault {
                AnnouncementFault::InvalidSize => "Shorten the names, or offer fewer models.",
                AnnouncementFault::KeyCollision => {
                    "Another upstream's name is too like this one: rename it."
                }
                AnnouncementFault::RegistryFull => {
                    "Look for upstreams whose names change at each start."
                }
            };
            let message = "The announcement can't be taken.".into();
            Reply::Refused { message, hint: hint.into() }
        }
    }
}

fn edited_reply(edited: EditResult) -> Reply {
    match edited {
        EditResult::Accepted { revision, in_force, awaited } => Reply::Applied(Applied {
            revision: revision.0,
            unchanged: false,
            in_force,
            waiting: awaited,
        }),
        EditResult::Unchanged(revision) | EditResult::Valid(revision) => Reply::Applied(Applied {
            revision: revision.0,
            unchanged: matches!(edited, EditResult::Unchanged(_)),
            in_force: matches!(edited, EditResult::Unchanged(_)),
            waiting: Vec::new(),
        }),
        EditResult::Stale(newest) => Reply::Conflict(conflict(&newest)),
        EditResult::Invalid(problems) => Reply::Faulty(faults(&problems)),
        EditResult::Reused => Reply::Refused {
            message: "This edit's identity was used for another edit before.".into(),
            hint: "Draw a new identity, and make the edit from the newest revision.".into(),
        },
    }
}

fn conflict(newest: &history::Newest) -> Conflict {
    Conflict {
        newest: newest.revision.0,
        by: newest.by.clone().unwrap_or_else(|| "nobody".into()),
        differs: newest.differs.iter().map(ToString::to_string).collect(),
    }
}

fn faults(problems: &Problems) -> Vec<Fault> {
    let fault = |problem: &verbenaslip_table::Problem| Fault {
        row: u64::from(problem.row),
        column: problem.column.to_string(),
        value: problem.value.to_string(),
        allowed: problem.allowed.to_string(),
    };
    problems.0.iter().map(fault).collect()
}

fn listed(entry: &history::Entry) -> Edit {
    Edit {
        revision: entry.revision.0,
        edit: entry.edit.as_str().into(),
        by: entry.by.clone(),
        at: entry.at,
        base: entry.base.0,
        rows: u64::from(entry.count),
    }
}
