//! `verbenaslip status`.

use std::collections::BTreeMap;

use serde_json::Value;

use super::columns::Columns;
use crate::answer::Status;
use crate::client::{Call, Client};
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Shows what one instance knows of the deployment.
pub(crate) fn run(client: &mut Client, terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let reply = client.call(&Call::get("/v1/status"))?;
    if terminal.wants_json() {
        terminal.result(&reply.json::<Value>()?, "")?;
        return Ok(Exit::Done);
    }
    let status: Status = reply.json()?;
    terminal.text(&show(&status))?;
    Ok(Exit::Done)
}

/// Fetches the status.
pub(super) fn fetch(client: &mut Client) -> Result<Status, Error> {
    client.call(&Call::get("/v1/status"))?.json()
}

fn show(status: &Status) -> String {
    let parts = [
        head(status),
        part("voters", &voters(status)),
        part("instances", &members(status)),
        part("upstreams", &upstreams(status)),
        part("rows (at this instance)", &rows(status)),
    ];
    parts.join("\n") + "\n"
}

fn part(title: &str, lines: &str) -> String {
    let lines: Vec<String> = lines.lines().map(|line| format!("  {line}")).collect();
    format!("{title}\n{}", lines.join("\n"))
}

fn head(status: &Status) -> String {
    let own = &status.instance;
    let ready =
        if own.ready { "ready".into() } else { format!("NOT READY: {}", own.because.join(", ")) };
    let table = &status.table;
    let behind = table.newest.saturating_sub(table.revision);
    let behind = if behind > 0 { format!(", {behind} BEHIND") } else { String::new() };
    let confirmed = table
        .confirmed_ms
        .map_or("never confirmed".into(), |age| format!("confirmed {age} ms ago"));
    format!(
        "instance  {} in {}, version {}, {ready}\ntable     revision {}{behind}, {confirmed}\nleader    {}",
        own.name, own.zone, own.version, table.revision, status.leader
    )
}

fn voters(status: &Status) -> String {
    let mut columns = Columns::new(&["name", "state", "behind"]);
    for voter in &status.voters {
        let state = if voter.alive { "heard" } else { "SILENT" };
        let behind = voter.behind.map_or("?".into(), |entries| format!("{entries} entries"));
        columns.push([voter.name.clone(), state.into(), behind]);
    }
    columns.show("none known")
}

fn members(status: &Status) -> String {
    let mut columns = Columns::new(&["name", "zone", "state", "table", "behind"]);
    for member in &status.members {
        let state = match member.state.as_str() {
            "alive" | "left" => member.state.clone(),
            other => other.to_uppercase(),
        };
        let revision = member.revision.map_or("?".into(), |revision| revision.to_string());
        let behind = member.revision.map(|revision| status.table.newest.saturating_sub(revision));
        let behind = match behind {
            Some(0) => String::new(),
            Some(behind) => format!("{behind} revisions"),
            None => "?".into(),
        };
        columns.push([member.name.clone(), member.zone.clone(), state, revision, behind]);
    }
    columns.show("none known")
}

fn upstreams(status: &Status) -> String {
    let names =
        ["name", "zone", "phase", "running", "slots", "market", "price/h", "seen", "models"];
    let mut columns = Columns::new(&names);
    for upstream in &status.upstreams {
        columns.push([
            upstream.name.clone(),
            upstream.zone.clone(),
            upstream.phase.clone(),
            upstream.running.to_string(),
            upstream.slots.to_string(),
            upstream.market.clone(),
            price(upstream.price),
            format!("{} ms ago", upstream.age_ms),
            upstream.models.join(" "),
        ]);
    }
    let mut phases: BTreeMap<&str, usize> = BTreeMap::new();
    for upstream in &status.upstreams {
        *phases.entry(&upstream.phase).or_default() += 1;
    }
    let counts: Vec<String> = phases.iter().map(|(phase, n)| format!("{n} {phase}")).collect();
    let lines = columns.show("none has announced itself");
    if counts.is_empty() { lines } else { format!("{lines}\n({})", counts.join(", ")) }
}

fn rows(status: &Status) -> String {
    let mut columns = Columns::new(&["team", "class", "waiting", "in progress"]);
    for row in &status.rows {
        let counts = [row.waiting.to_string(), row.running.to_string()];
        columns.push([row.team.clone(), row.class.clone()].into_iter().chain(counts));
    }
    columns.show("the table has none")
}

/// Shows millionths of the currency unit.
fn price(millionths: u64) -> String {
    format!("{}.{:02}", millionths / 1_000_000, millionths % 1_000_000 / 10_000)
}
