//! `verbenaslip table apply`.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use verbenaslip_base::hash;
use verbenaslip_table::edit::Id;
use verbenaslip_table::{Problems, Table};

use super::file;
use super::read::{differences, fetch, format_differences};
use crate::answer::{Applied, Conflict, InvalidTable};
use crate::args::Apply;
use crate::client::{Call, Client, RETRY_PAUSE, Reply, percent_encode};
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// How long the instance may wait on the first call before it reports which instances it waits for.
const FIRST_WAIT: Duration = Duration::from_secs(1);
/// How long the instance may wait on each later call; each one is recorded in the audit trail.
const RESEND_WAIT: Duration = Duration::from_secs(8);
/// Advice to the operator after a lost answer.
const LOST_ANSWER_HINT: &str =
    "\nRun the same command again: it is the same edit and is made once.";
/// HTTP statuses for an edit that was rejected: conflict and invalid table.
const DECISION_STATUSES: &[u16] = &[409, 422];

/// Applies a table file.
pub(super) fn run(
    args: &Apply,
    client: &mut Client,
    terminal: &mut Terminal<'_>,
) -> Result<Exit, Error> {
    let table = file::read(&args.file)?;
    let end = Instant::now() + args.timeout;
    let newest = fetch(client, None)?;
    let same = newest.table == table;
    if same && !args.wait {
        let applied = Applied {
            revision: newest.revision,
            unchanged: true,
            in_force: false,
            waiting: vec![],
        };
        return report(args, &applied, terminal);
    }
    let base = match args.base.map_or_else(|| file::base(&args.file), |base| Ok(Some(base)))? {
        Some(base) => base,
        None => {
            terminal.remark(&format!("base is the newest revision, {}", newest.revision));
            newest.revision
        }
    };
    let edit = Edit::new(args, base, &table)?;
    if base == newest.revision {
        let differences = differences(&newest.table, &table);
        terminal.remark(&format!(
            "edit {} on base {base}:\n{}",
            edit.id,
            format_differences(&differences)
        ));
    } else {
        terminal.remark(&format!("edit {} on base {base}; newest is {}", edit.id, newest.revision));
    }
    let applied = edit.send(args, end, client, terminal)?;
    report(args, &applied, terminal)
}

/// Holds the content of the call, which is the same when it is sent again after a lost answer.
struct Edit {
    id: Id,
    base: u64,
    csv: String,
}

impl Edit {
    fn new(args: &Apply, base: u64, table: &Table) -> Result<Self, Error> {
        let csv = table.to_csv();
        let id = match &args.edit {
            Some(id) => Id::new(id),
            // The identifier depends only on base and content. After a lost answer, another run of
            // the command therefore sends the same edit.
            None => {
                Id::new(&format!("{:032x}", hash::wide(&[&base.to_le_bytes(), csv.as_bytes()])))
            }
        };
        let invalid_id = || Error::Usage("--edit must be 1 to 64 visible ASCII characters".into());
        Ok(Self { id: id.ok_or_else(invalid_id)?, base, csv })
    }

    /// Sends the edit until it is accepted or rejected, and with `--wait` until it is in force or
    /// `end` is reached.
    fn send(
        &self,
        args: &Apply,
        end: Instant,
        client: &mut Client,
        terminal: &mut Terminal<'_>,
    ) -> Result<Applied, Error> {
        let mut applied = self.send_once(args, FIRST_WAIT, end, client)?;
        let mut reported = Vec::new();
        while args.wait && !args.dry && !applied.in_force && Instant::now() < end {
            if applied.waiting != reported {
                let names = applied.waiting.join(", ");
                terminal.remark(&format!("revision {}: waiting for {names}", applied.revision));
                reported = applied.waiting.clone();
            }
            thread::sleep(RETRY_PAUSE.min(end.saturating_duration_since(Instant::now())));
            match self.send_once(args, RESEND_WAIT, end, client) {
                Ok(newer) => applied = newer,
                // The edit remains accepted; only whether it is in force is unknown.
                Err(error) => {
                    terminal.remark(&error.to_string());
                    break;
                }
            }
        }
        Ok(applied)
    }

    /// Makes one call with the edit, which the client sends again if the answer is lost.
    fn send_once(
        &self,
        args: &Apply,
        wait: Duration,
        end: Instant,
        client: &mut Client,
    ) -> Result<Applied, Error> {
        let left = end.saturating_duration_since(Instant::now());
        let wait = if args.wait { wait.min(left) } else { Duration::ZERO };
        let (id, millis) = (percent_encode(self.id.as_str()), wait.as_millis());
        let dry = if args.dry { "&dry=true" } else { "" };
        let path = format!("/v1/table?base={}&edit={id}&wait_ms={millis}{dry}", self.base);
        let call =
            Call::post(path, self.csv.clone().into_bytes(), LOST_ANSWER_HINT).with_csv_body();
        let call =
            call.resend_for(left).with_server_wait(wait).with_expected_statuses(DECISION_STATUSES);
        let reply = client.call(&call)?;
        match reply.status {
            409 => Err(self.conflict(&reply)),
            422 => Err(invalid_table(args, &reply)),
            _ => reply.json(),
        }
    }

    fn conflict(&self, reply: &Reply) -> Error {
        let Ok(conflict) = reply.json::<Conflict>() else { return reply.refusal() };
        Error::Conflict {
            base: self.base,
            newest: conflict.newest,
            by: conflict.by.unwrap_or_else(|| "somebody".into()),
            differs: conflict.differs.join(", "),
        }
    }
}

fn invalid_table(args: &Apply, reply: &Reply) -> Error {
    match reply.json::<InvalidTable>() {
        Ok(InvalidTable { problems }) => {
            let file = args.file.display().to_string();
            Error::Table { file, problems: Problems(problems) }
        }
        Err(error) => error,
    }
}

/// Prints the result of the edit and returns the exit code.
fn report(args: &Apply, applied: &Applied, terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let Applied { revision, unchanged, in_force, waiting } = applied;
    let names = waiting.join(", ");
    let what = match (args.dry, unchanged) {
        (true, _) => format!("would be accepted after revision {revision}"),
        (false, true) => format!("no edit: revision {revision} is the same table"),
        (false, false) => format!("accepted as revision {revision}"),
    };
    let force = match (args.wait && !args.dry, in_force) {
        (_, true) => ", in force everywhere".into(),
        (true, false) => format!(", NOT YET in force at {names}"),
        (false, false) if waiting.is_empty() => String::new(),
        (false, false) => format!(", not yet confirmed by {names}"),
    };
    if !args.dry {
        file::advance(&args.file, *revision)?;
    }
    let object = json!({
        "revision": revision, "unchanged": unchanged, "in_force": in_force, "waiting": waiting,
        "dry": args.dry,
    });
    terminal.result(&object, &(what + &force))?;
    let not_in_force = args.wait && !args.dry && !in_force;
    Ok(if not_in_force { Exit::NotInForce } else { Exit::Done })
}
