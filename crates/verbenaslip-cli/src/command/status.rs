//! `verbenaslip status`.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Market, Phase};
use verbenaslip_base::name::Instance;
use verbenaslip_gossip::State;
use verbenaslip_node::status::{Load, Log, Standing, Status, Upstream, Voter};

use super::columns::Columns;
use crate::client::{Call, Client};
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// The text for an unknown availability zone.
const UNKNOWN_ZONE: &str = "?";

/// Prints the status of the deployment as one instance reports it.
pub(crate) fn run(client: &mut Client, terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let reply = client.call(&Call::get("/v1/status"))?;
    let text = if terminal.wants_json() { reply.text()? } else { format_status(&reply.json()?) };
    terminal.text(&(text + "\n"))?;
    Ok(Exit::Done)
}

/// Fetches the status from an instance.
pub(super) fn fetch(client: &mut Client) -> Result<Status, Error> {
    client.call(&Call::get("/v1/status"))?.json()
}

fn format_status(status: &Status) -> String {
    let parts = [
        summary(status),
        voters(status),
        outdated_instances(status),
        instances(status),
        upstreams(&status.upstreams),
        load_rows(&status.load),
    ];
    parts.join("\n")
}

fn section(title: &str, lines: &str) -> String {
    let lines: Vec<String> = lines.lines().map(|line| format!("  {line}")).collect();
    format!("{title}\n{}", lines.join("\n"))
}

fn summary(status: &Status) -> String {
    let reasons: Vec<&str> = status.not_ready.iter().map(|reason| &**reason).collect();
    let ready = if reasons.is_empty() {
        "ready".to_owned()
    } else {
        format!("NOT READY: {}", reasons.join(", "))
    };
    let isolated = if status.isolated { ", ISOLATED" } else { "" };
    let lease =
        status.lease.map_or("NO LEASE".into(), |left| format!("lease {}", format_millis(left)));
    let work = &status.work;
    format!(
        "instance  {} in {}, version {}, {ready}{isolated}\ntable     revision {}, {} rows, {lease}\n\
        requests  {} waiting, {} running, {} copies held for others, {} finished answers kept",
        status.instance,
        status.zone,
        status.version,
        status.revision,
        status.rows,
        work.waiting,
        work.running,
        work.copies,
        work.finished
    )
}

/// Formats the leader and the voters, which only voters know.
fn voters(status: &Status) -> String {
    let Some(log) = &status.log else {
        let follows = status.follows.as_ref().map_or("nobody", |instance| instance.as_str());
        return section("voters", &format!("not known here (follows {follows}): ask a voter"));
    };
    let leader = log.leader.as_ref().map_or("NO LEADER", |leader| leader.as_str());
    let change = if log.joint { ", the voters are being changed" } else { "" };
    let head = format!("leader {leader}, term {}, committed to {}{change}", log.term, log.commit);
    let mut columns = Columns::new(&["name", "zone", "vote", "behind", "answered"]);
    for voter in &log.voters {
        columns.push(voter_cells(voter, status, log));
    }
    let mut lines = vec![head, columns.render("none known")];
    lines.extend(quorum_warning(status));
    section("voters", &lines.join("\n"))
}

/// Returns a warning that names each availability zone whose loss would lose the quorum.
///
/// A voter in the wrong availability zone does no harm until that zone is reclaimed. After that
/// nothing can be committed, and all instances log V3004 at once.
pub(super) fn quorum_warning(status: &Status) -> Option<String> {
    let voters = status.log.as_ref()?.voters.iter().filter(|voter| voter.votes);
    let mut zones: BTreeMap<String, usize> = BTreeMap::new();
    for voter in voters {
        *zones.entry(zone_of(&voter.instance, status)).or_default() += 1;
    }
    let count: usize = zones.values().sum();
    // Fewer than 3 voters cannot survive the loss of a zone in any placement.
    if count < 3 {
        return None;
    }
    let quorum = count / 2 + 1;
    let fragile =
        zones.iter().filter(|(zone, held)| *zone != UNKNOWN_ZONE && count - **held < quorum);
    let names: Vec<&str> = fragile.map(|(zone, _)| zone.as_str()).collect();
    let list = names.join(" or ");
    (!names.is_empty()).then(|| format!("WARNING: losing {list} would lose the quorum"))
}

/// Returns the availability zone of an instance, or [`UNKNOWN_ZONE`].
fn zone_of(instance: &Instance, status: &Status) -> String {
    if *instance == status.instance {
        return status.zone.to_string();
    }
    let peer = status.peers.iter().find(|peer| peer.instance == *instance);
    peer.map_or(UNKNOWN_ZONE.to_owned(), |peer| peer.zone.to_string())
}

fn voter_cells(voter: &Voter, status: &Status, log: &Log) -> [String; 5] {
    let vote = if voter.votes { "yes" } else { "not yet" };
    let name = voter.instance.to_string();
    let zone = zone_of(&voter.instance, status);
    if voter.instance == status.instance {
        return [name, zone, vote.into(), "-".into(), "this one".into()];
    }
    let behind = match voter.matched.map(|matched| log.last.saturating_sub(matched)) {
        Some(0) => "-".into(),
        Some(entries) => format!("{entries} entries"),
        None => "?".into(),
    };
    let silent = voter.silent.map_or("?".into(), |silent| format!("{} ago", format_millis(silent)));
    [name, zone, vote.into(), behind, silent]
}

/// Formats the instances that may still use an older table, which only the leader knows.
fn outdated_instances(status: &Status) -> String {
    let text = match &status.behind {
        None => "not known here: ask the leader".to_owned(),
        Some(names) if names.is_empty() => "nobody".to_owned(),
        Some(names) => names.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "),
    };
    section("behind the newest table", &text)
}

fn instances(status: &Status) -> String {
    let mut columns = Columns::new(&["name", "zone", "state"]);
    columns.push([status.instance.to_string(), status.zone.to_string(), "this one".into()]);
    for peer in &status.peers {
        let state = match peer.state {
            State::Alive => "alive",
            State::Suspect => "SUSPECTED",
            State::Dead => "LOST",
            State::Leaving => "draining",
            State::Left => "left",
        };
        columns.push([peer.instance.to_string(), peer.zone.to_string(), state.into()]);
    }
    section("instances", &columns.render("none known"))
}

/// Formats the requests on this instance by table row, and its share of the row's limits.
fn load_rows(load: &[Load]) -> String {
    let mut columns = Columns::new(&["team", "class", "waiting", "running", "at once", "a second"]);
    for row in load {
        columns.push([
            row.team.to_string(),
            row.class.to_string(),
            row.waiting.to_string(),
            row.running.to_string(),
            row.concurrency.map_or("no part yet".into(), |most| most.to_string()),
            row.rate.map_or("-".into(), |rate| format!("{rate:.1}")),
        ]);
    }
    section("rows, and the part of their limits here", &columns.render("no table yet"))
}

fn upstreams(upstreams: &[Upstream]) -> String {
    let names = ["name", "zone", "phase", "running", "slots", "market", "price/h", "models"];
    let mut columns = Columns::new(&names);
    for upstream in upstreams {
        columns.push(upstream_cells(&upstream.announcement, upstream.standing));
    }
    section("upstreams", &columns.render("none has announced itself"))
}

fn upstream_cells(announcement: &Announcement, standing: Standing) -> [String; 8] {
    let phase = match (standing, announcement.phase) {
        (Standing::Lapsed, _) => "LAPSED".into(),
        (Standing::Doubtful, _) => "IN DOUBT".into(),
        (_, Phase::Warming) => "warming".into(),
        (_, Phase::Ready) => "ready".into(),
        (_, Phase::Leaving { notice: None }) => "leaving".into(),
        (_, Phase::Leaving { notice: Some(millis) }) => format!("leaving in {millis} ms"),
    };
    let market = match announcement.market {
        Market::Reclaimable => "reclaimable",
        Market::OnDemand => "on demand",
    };
    let models: Vec<&str> = announcement.models.iter().map(|model| model.as_str()).collect();
    [
        announcement.upstream.to_string(),
        announcement.zone.to_string(),
        phase,
        announcement.load.running.to_string(),
        announcement.slots.to_string(),
        market.into(),
        format_price(announcement.price),
        models.join(" "),
    ]
}

fn format_millis(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}

/// Formats a price, given in millionths of the currency unit, with two decimals.
fn format_price(millionths: u64) -> String {
    format!("{}.{:02}", millionths / 1_000_000, millionths % 1_000_000 / 10_000)
}
