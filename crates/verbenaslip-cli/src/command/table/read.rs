//! Commands that do not change the deployment's table.

use serde_json::json;

use verbenaslip_table::Table;
use verbenaslip_table::change::{Change, Difference, diff as changes};

use super::super::columns::Columns;
use super::super::time;
use super::file;
use crate::answer::History;
use crate::args::{Check, Diff, Show};
use crate::client::{Call, Client};
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Holds a fetched table, its revision and its CSV text.
pub(super) struct FetchedTable {
    pub(super) revision: u64,
    pub(super) table: Table,
    pub(super) text: String,
}

/// Fetches a revision of the table, or the newest if none is given.
pub(super) fn fetch(client: &mut Client, revision: Option<u64>) -> Result<FetchedTable, Error> {
    let query = revision.map(|revision| format!("?revision={revision}")).unwrap_or_default();
    let reply = client.call(&Call::get(format!("/v1/table{query}")))?;
    let revision = reply.revision.ok_or_else(|| reply.invalid_response("without a revision"))?;
    let text = reply.text()?;
    let table = Table::parse(text.as_bytes())
        .map_err(|error| reply.invalid_response(&error.to_string()))?;
    Ok(FetchedTable { revision, table, text })
}

/// Returns the differences between two tables, row by row.
pub(super) fn differences(old: &Table, new: &Table) -> Vec<Difference> {
    changes(old, new).iter().map(|change: &Change| change.difference(old)).collect()
}

/// Formats differences, one per line.
pub(super) fn format_differences(differences: &[Difference]) -> String {
    let lines: Vec<String> = differences.iter().map(Difference::to_string).collect();
    lines.join("\n")
}

/// Fetches the table and prints it or writes it to a file.
pub(super) fn show(
    args: &Show,
    client: &mut Client,
    terminal: &mut Terminal<'_>,
) -> Result<Exit, Error> {
    let fetched = fetch(client, args.revision)?;
    let revision = fetched.revision;
    if let Some(path) = &args.to {
        file::write(path, &fetched.text, revision)?;
        let text = format!("revision {revision} written to {}", path.display());
        terminal.result(&json!({ "revision": revision, "file": path }), &text)?;
    } else if terminal.wants_json() {
        terminal.result(&json!({ "revision": revision, "rows": fetched.table.rows() }), "")?;
    } else {
        terminal.remark(&format!("revision {revision}"));
        terminal.text(&fetched.text)?;
    }
    Ok(Exit::Done)
}

/// Validates a table file.
pub(super) fn check(args: &Check, terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let table = file::read(&args.file)?;
    let rows = table.rows().len();
    let text = format!("{}: good, {rows} rows", args.file.display());
    terminal.result(&json!({ "file": args.file, "rows": rows }), &text)?;
    Ok(Exit::Done)
}

/// Compares a table file with a revision.
pub(super) fn diff(
    args: &Diff,
    client: &mut Client,
    terminal: &mut Terminal<'_>,
) -> Result<Exit, Error> {
    let new = file::read(&args.file)?;
    let old = fetch(client, args.base)?;
    let differences = differences(&old.table, &new);
    let text = if differences.is_empty() {
        format!("no difference to revision {}", old.revision)
    } else {
        format!("compared with revision {}:\n{}", old.revision, format_differences(&differences))
    };
    terminal.result(&json!({ "base": old.revision, "differences": differences }), &text)?;
    let differs = args.exit_code && !differences.is_empty();
    Ok(if differs { Exit::Refused } else { Exit::Done })
}

/// Prints the accepted edits.
pub(super) fn history(client: &mut Client, terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let reply = client.call(&Call::get("/v1/history"))?;
    if terminal.wants_json() {
        terminal.text(&(reply.text()? + "\n"))?;
        return Ok(Exit::Done);
    }
    let mut columns = Columns::new(&["revision", "at", "by", "base", "rows", "edit"]);
    for edit in reply.json::<History>()?.edits {
        let (at, rows) = (time::format_utc(edit.at), edit.rows.to_string());
        columns.push([
            edit.revision.to_string(),
            at,
            edit.by,
            edit.base.to_string(),
            rows,
            edit.edit,
        ]);
    }
    terminal.text(&(columns.render("no edit yet") + "\n"))?;
    Ok(Exit::Done)
}
