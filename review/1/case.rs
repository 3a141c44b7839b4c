//! A machine of the core is replaced by an empty one. After its successor has had `CatchUpS`, another core loses its
//! disk right after it has acknowledged a configuration.

#[path = "../kit/kit.rs"]
mod kit;

use std::time::{Duration, Instant};

use kit::*;

/// How long after the start of its successor the removed machine counts as lost, and a margin beyond that.
const AFTER_SUCCESSOR_MS: u64 = CATCH_UP_MS + 500;

/// Time for which the configuration is asked for after the last machine is back: `RecoverS` and far more.
const READ_BACK: Duration = Duration::from_millis(RECOVER_MS + 28_000);

fn main() {
    let mut fleet = Fleet::new("review/1");
    let cores: Vec<usize> = (0..3).map(|_| fleet.add("core", true)).collect();
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

    let mut live = cores.clone();
    if trouble() {
        // replace_core: one is gone for good, an empty one comes 1 s later at another address.
        let gone = cores[0];
        fleet.kill(gone);
        record(format!("{} is gone for good", fleet.machines[gone].name));
        live.remove(0);
        sleep_ms(1_000);
        let successor = fleet.add("core", false);
        fleet.set_seeds(successor, &live);
        fleet.start(successor);
        record(format!("{} is the successor, with an empty disk", fleet.machines[successor].name));
        live.push(successor);
        let wait: u64 = std::env::var("AFTER_SUCCESSOR_MS")
            .ok()
            .and_then(|it| it.parse().ok())
            .unwrap_or(AFTER_SUCCESSOR_MS);
        sleep_ms(wait);
        record(format!("the successor started {wait} ms ago; CatchUpS is {CATCH_UP_MS} ms"));
    }
    // One more change; the node that acknowledges it loses its disk right after.
    let acknowledging = live[0];
    let name = fleet.machines[acknowledging].name.clone();
    let mut acknowledged = false;
    for _ in 0..5 {
        let document = document(19, &routes(19));
        acknowledged = put_config(&name, fleet.control(acknowledging), 19, &document) == Some(200);
        if acknowledged {
            break;
        }
        sleep_ms(200);
    }
    if !acknowledged {
        record("version 19 was not acknowledged; version 12 is the newest acknowledged one");
    }
    let newest = if acknowledged { 19 } else { 12 };
    if trouble() {
        // after_ack_wipe: it comes back at its address with an empty disk.
        fleet.kill(acknowledging);
        fleet.wipe(acknowledging);
        sleep_ms(1_000);
        fleet.start(acknowledging);
    }

    // All machines but the one that is gone for good run. The operator reads the configuration back at all of them.
    let back_at = Instant::now();
    let mut read_since: Option<Instant> = None;
    let mut last = Vec::new();
    while back_at.elapsed() < READ_BACK {
        let mut newest_is_read = false;
        last.clear();
        for index in &live {
            let outcome = get_config(fleet.control(*index));
            newest_is_read |= matches!(outcome, Ok((200, Some(version))) if version >= newest);
            last.push(format!("{}: {outcome:?}", fleet.machines[*index].name));
        }
        if newest_is_read {
            let since = read_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= Duration::from_millis(STABLE_WINDOW_MS) {
                break;
            }
        } else {
            read_since = None;
        }
        sleep_ms(250);
    }
    record(format!("last reads: {}", last.join("; ")));
    let running: Vec<bool> = live.iter().map(|index| fleet.runs(*index)).collect();
    record(format!("the processes of these cores run: {running:?}"));
    if read_since.is_some() {
        record(format!("held: version {newest} is read back"));
        fleet.end(HELD);
    }
    let waited = back_at.elapsed().as_secs();
    record(format!(
        "CONFIG broken: version {newest} was acknowledged, and {waited} s after all machines are \
         back no node returns it"
    ));
    let outcome = put_until_acknowledged(&fleet, &live, 31, Duration::from_secs(5));
    record(format!("a further change is acknowledged: {outcome}"));
    fleet.end(BROKEN)
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
