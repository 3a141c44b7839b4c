//! Two machines of the core are replaced by empty ones at other addresses, one after the other: each time the new one
//! comes first, and the old one gets SIGTERM once the new one has had `CatchUpS`. `PAUSE_MS` sets the time between the
//! two replacements.
//!
//! With `VARIANT=wipe`, one machine is replaced without notice, and then, `AFTER_SUCCESSOR_MS` after the start of its
//! successor, another one loses its disk right after it has acknowledged a configuration.

#[path = "../kit/kit.rs"]
mod kit;

use std::time::{Duration, Instant};

use kit::*;

/// Time from the start of a successor to the SIGTERM of the old machine, or to the next loss: `CatchUpS` and a margin
/// beyond that.
const AFTER_SUCCESSOR_MS: u64 = CATCH_UP_MS + 500;

/// Time between the loss of a machine and the start of its successor, or its own next start.
const RETURN_MS: u64 = 1_000;

/// `GraceS`: a process that runs on is killed then.
const GRACE: Duration = Duration::from_secs(8);

/// Time for which the configuration is asked for after the last machine is back: `RecoverS` and far more.
const READ_BACK: Duration = Duration::from_millis(RECOVER_MS + 28_000);

fn main() {
    let mut fleet = Fleet::new("review/1");
    let mut cores: Vec<usize> = (0..3).map(|_| fleet.add("core", true)).collect();
    let entries: Vec<usize> = (0..3).map(|_| fleet.add("entry", true)).collect();
    for index in cores.iter().chain(&entries) {
        fleet.set_seeds(*index, &cores);
        fleet.start(*index);
    }
    let runner_address = fleet.stand_in_address(8_080);
    let control = cores.iter().map(|core| fleet.control(*core)).collect();
    let answer = std::sync::Arc::new(|_: u64, _: u64, message: &Message, id: &str| {
        regular_answer(message, id, "confirmed")
    });
    let _runner = Runner::start("i-0bd818ced3", runner_address, "arendal", control, answer);

    // The first configurations, sent again until they are accepted.
    for version in [7, 12] {
        if !put_until_acknowledged(&fleet, &cores, version, Duration::from_secs(15)) {
            record(format!("version {version} was not acknowledged before any disruption"));
            fleet.end(COULD_NOT_RUN);
        }
    }
    fleet.end_bootstrap();
    sleep_ms(STABLE_WINDOW_MS + 1_000);

    let wipes = std::env::var("VARIANT").is_ok_and(|it| it == "wipe");
    if trouble() && wipes {
        replace_suddenly(&mut fleet, &mut cores);
    } else if trouble() {
        replace_planned(&mut fleet, &mut cores);
    }
    // Ordinary changes between the two.
    let acknowledging = cores[0];
    let name = fleet.machines[acknowledging].name.clone();
    for version in [15, 19] {
        if !put_until_acknowledged(&fleet, &[acknowledging], version, Duration::from_secs(3)) {
            record(format!("version {version} was not acknowledged before the second disruption"));
            fleet.end(COULD_NOT_RUN);
        }
    }
    if trouble() && wipes {
        // after_ack_wipe: it comes back at its address with an empty disk.
        fleet.kill(acknowledging);
        fleet.wipe(acknowledging);
        sleep_ms(RETURN_MS);
        fleet.start(acknowledging);
    } else if trouble() {
        sleep_ms(setting("PAUSE_MS", 0));
        replace_planned(&mut fleet, &mut cores);
    }

    // Three cores run. The operator reads the configuration back at all of them.
    let names: Vec<&str> = cores.iter().map(|core| fleet.machines[*core].name.as_str()).collect();
    record(format!(
        "after the last disruption the core is {}; {name} has acknowledged version 19",
        names.join(", ")
    ));
    let back_at = Instant::now();
    let mut read_since: Option<Instant> = None;
    let mut last = Vec::new();
    while back_at.elapsed() < READ_BACK {
        let mut newest_is_read = false;
        last.clear();
        for index in &cores {
            let outcome = get_config(fleet.control(*index));
            newest_is_read |= matches!(outcome, Ok((200, Some(version))) if version >= 19);
            last.push(format!("{}: {outcome:?}", fleet.machines[*index].name));
        }
        if newest_is_read {
            let since = read_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= ms(STABLE_WINDOW_MS) {
                break;
            }
        } else {
            read_since = None;
        }
        sleep_ms(250);
    }
    record(format!("last reads: {}", last.join("; ")));
    let running: Vec<bool> = cores.iter().map(|index| fleet.runs(*index)).collect();
    record(format!("the processes of these cores run: {running:?}"));
    if read_since.is_some() {
        record("held: version 19 is read back");
        fleet.end(HELD);
    }
    let waited = back_at.elapsed().as_secs();
    record(format!(
        "CONFIG broken: version 19 was acknowledged, and {waited} s after the last disruption no \
         node returns it"
    ));
    let outcome = put_until_acknowledged(&fleet, &cores, 31, Duration::from_secs(5));
    record(format!("a further change is acknowledged: {outcome}"));
    fleet.end(BROKEN)
}

/// Replaces the first machine of the core: the new one comes first; once it has had its time, the old one gets SIGTERM and
/// leaves for good.
fn replace_planned(fleet: &mut Fleet, cores: &mut Vec<usize>) {
    let old = cores.remove(0);
    let successor = add_successor(fleet, cores, &[old]);
    sleep_ms(AFTER_SUCCESSOR_MS);
    fleet.signal(old, SIGTERM);
    let name = fleet.machines[old].name.clone();
    record(format!(
        "SIGTERM to {name}; its successor started {AFTER_SUCCESSOR_MS} ms ago, and CatchUpS is {CATCH_UP_MS} ms"
    ));
    let since = Instant::now();
    while fleet.runs(old) && since.elapsed() < GRACE {
        sleep_ms(20);
    }
    if fleet.runs(old) {
        fleet.kill(old);
    }
    record(format!(
        "{name} has ended after {} ms and is gone for good",
        since.elapsed().as_millis()
    ));
    cores.push(successor);
}

/// Replaces the first machine of the core without notice: it is gone for good, and an empty one comes 1 s later.
fn replace_suddenly(fleet: &mut Fleet, cores: &mut Vec<usize>) {
    let old = cores.remove(0);
    fleet.kill(old);
    record(format!("{} is gone for good", fleet.machines[old].name));
    sleep_ms(RETURN_MS);
    let successor = add_successor(fleet, cores, &[]);
    cores.push(successor);
    let wait = setting("AFTER_SUCCESSOR_MS", AFTER_SUCCESSOR_MS);
    sleep_ms(wait);
    record(format!("the successor started {wait} ms ago, and CatchUpS is {CATCH_UP_MS} ms"));
}

/// Returns a number from the environment.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Starts an empty machine at another address, whose seeds are the machines of the core.
fn add_successor(fleet: &mut Fleet, cores: &[usize], leaving: &[usize]) -> usize {
    let successor = fleet.add("core", false);
    let seeds: Vec<usize> = leaving.iter().chain(cores).copied().collect();
    fleet.set_seeds(successor, &seeds);
    fleet.start(successor);
    record(format!("{} is new, with an empty disk", fleet.machines[successor].name));
    successor
}

fn routes(version: u64) -> Vec<Route<'static>> {
    vec![Route {
        name: "r-28m82th",
        prefix: "/pufi791/",
        kind: "unsafe",
        timeout_ms: 1_200 + version,
    }]
}

/// Sends a configuration to one node after the other until one acknowledges it.
fn put_until_acknowledged(fleet: &Fleet, nodes: &[usize], version: u64, limit: Duration) -> bool {
    let since = Instant::now();
    let document = document(version, &routes(version));
    for index in nodes.iter().cycle() {
        if since.elapsed() > limit {
            return false;
        }
        let name = &fleet.machines[*index].name;
        if put_config(name, fleet.control(*index), version, &document) == Some(200) {
            return true;
        }
        sleep_ms(300);
    }
    false
}
