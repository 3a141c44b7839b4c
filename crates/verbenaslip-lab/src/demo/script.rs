//! What is to be seen in a demo, in its order.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::back_end::{BackEnds, MODEL, SERVICE};
use super::layout::{OTHER_KEY, TEAM_KEY};
use super::reader::Answer;
use super::system::System;
use super::{edit, instance, summary};
use crate::load;
use crate::load::plan::{Plan, Work};
use crate::load::report::Report;
use crate::load::verdict::Verdict;

/// How long requests arrive.
const CALLING: Duration = Duration::from_secs(6);

/// The notice of the reclaim.
const NOTICE: Duration = Duration::from_millis(1_500);

/// Tokens of the streamed answer.
const TOKENS: u32 = 120;

/// Words of the streamed answer on one line.
const WORDS: u32 = 15;

/// The row that is edited, before and after.
const EDIT: (&str, &str) = ("charterers,check,100,7,", "charterers,check,250,7,");

/// Plays the demo; says whether every point holds that can be seen from outside.
///
/// # Errors
///
/// Fails when something can't be started or does not get ready.
pub fn run() -> io::Result<bool> {
    println!("verbenaslip demo: 3 entry instances, 4 model upstreams in 3 availability zones,");
    println!("1 plain service and 1 cloud, over loopback sockets in this process.");
    let start = Instant::now();
    let system = System::open()?;
    println!("Ready after {} ms.", start.elapsed().as_millis());
    let (back_ends, entries) = (system.back_ends(), system.entries());

    println!("\nCallers wake: requests arrive for {} s.", CALLING.as_secs());
    let plan = plan(entries.clone());
    let callers = thread::spawn(move || load::run(plan));
    let answer = stream(back_ends, &entries)?;
    let editing = Instant::now();
    let edited = edit::row(system.admins()[0], EDIT.0, EDIT.1)?;
    println!(
        "\nEdited the weight of charterers/check: revision {}, {} after {} ms.",
        edited.revision,
        if edited.in_force { "in force everywhere" } else { "not yet in force everywhere" },
        editing.elapsed().as_millis()
    );
    let report = callers.join().map_err(|_| io::Error::other("the callers panicked"))??;
    finish(system, &report, &answer)
}

fn plan(entries: Vec<SocketAddr>) -> Plan {
    let check =
        Work { class: "check".to_owned(), share: 6.0, ..Work::new("check", TEAM_KEY, MODEL) };
    let draft = Work { output: 60, shared: 2_048, ..Work::new("draft", TEAM_KEY, MODEL) };
    let explain = Work { stream: false, share: 2.0, ..Work::new("explain", OTHER_KEY, MODEL) };
    let order = Work {
        service: true,
        stream: false,
        idempotent: false,
        share: 2.0,
        ..Work::new("order", OTHER_KEY, SERVICE)
    };
    let leaver = Work { leave: Some(5), ..Work::new("leaver", OTHER_KEY, MODEL) };
    Plan {
        time: CALLING,
        hour: CALLING,
        rate: 15.0,
        ..Plan::new(entries, vec![check, draft, explain, order, leaver])
    }
}

/// Streams one answer to the terminal; half-way the cloud takes back the engine that runs it.
fn stream(back_ends: &BackEnds, entries: &[SocketAddr]) -> io::Result<Answer> {
    println!("One answer, streamed through entry-1 ({TOKENS} tokens):\n");
    let mut answer = Answer::new("Draft the claim letter for this laytime dossier.", TOKENS);
    let mut reclaimed = None;
    answer.read(entries, |so_far, word| {
        print!("{word}");
        if so_far.tokens.is_multiple_of(WORDS) {
            println!("  {}%", 100 * so_far.tokens / TOKENS);
        }
        if so_far.tokens == TOKENS / 2 && reclaimed.is_none() {
            reclaimed = reclaim(back_ends, so_far.seed);
        }
        io::stdout().flush().ok();
    })?;
    let runs = back_ends.truths();
    let runs = runs.iter().flat_map(|truth| &truth.runs).filter(|run| run.seed == answer.seed);
    println!(
        "\nThe answer is {}, in {} runs.",
        if answer.is_whole() { "whole" } else { "NOT WHOLE" },
        runs.count()
    );
    Ok(answer)
}

/// Takes back the engine that runs a request; returns its name.
fn reclaim(back_ends: &BackEnds, seed: u64) -> Option<String> {
    let truths = back_ends.truths();
    let runs = |truth: &&crate::engine::truth::Truth| {
        truth.runs.iter().any(|run| run.seed == seed && run.end.is_none())
    };
    let name = truths.iter().find(runs)?.name.clone();
    back_ends.cloud.reclaim(&name, NOTICE);
    println!("\n  ... the cloud takes back {name} in {} ms ...", NOTICE.as_millis());
    Some(name)
}

fn finish(system: System, report: &Report, answer: &Answer) -> io::Result<bool> {
    let mut revisions = Vec::new();
    for (index, admin) in system.admins().iter().enumerate() {
        revisions.push((instance::name(index), edit::in_force(*admin)?.to_string()));
    }
    let verdict = Verdict::new(report, &system.back_ends().truths());
    summary::print(report, &verdict, &revisions);
    let graceful = system.stop()?;
    println!("{:<34}{:>10}", "all instances stopped gracefully", yes(graceful));
    Ok(verdict.holds_announced() && answer.is_whole() && graceful)
}

fn yes(holds: bool) -> &'static str {
    if holds { "yes" } else { "NO" }
}
