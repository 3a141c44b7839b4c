//! A core and an entry are killed at the same moment, right after an operator sent a change to that core. The core is
//! back at once, and another operator sends it the next change. With `ONLY_CORE=1` the entry is left alone.

#[path = "../kit/kit.rs"]
mod kit;

use std::time::{Duration, Instant};

use kit::*;

/// Time between the sending of the change and the kill.
const KILL_AFTER_MS: u64 = 25;

/// Delay after which a killed process is restarted.
const RESTART_AFTER_MS: u64 = 100;

/// Delay after which the killed entry is restarted.
const ENTRY_RESTART_AFTER_MS: u64 = 400;

fn main() {
    let mut fleet = Fleet::new("review/2");
    let cores: Vec<usize> = (0..3).map(|_| fleet.add("core", true)).collect();
    let entries: Vec<usize> = (0..3).map(|_| fleet.add("entry", true)).collect();
    for index in cores.iter().chain(&entries) {
        fleet.set_seeds(*index, &cores);
        fleet.start(*index);
    }
    let since = Instant::now();
    let Some(leader) = wait_for_leader(&fleet, &cores) else {
        record("the cores have no leader");
        fleet.end(COULD_NOT_RUN);
    };
    let follower = *cores.iter().find(|core| **core != leader).expect("a follower");
    let third = *cores.iter().find(|core| **core != leader && **core != follower).expect("a third");
    record(format!("{} seems to lead", fleet.machines[leader].name));
    let runner_address = fleet.stand_in_address(8_080);
    let control = vec![fleet.control(leader), fleet.control(third)];
    let answer = std::sync::Arc::new(|_: u64, _: u64, message: &Message, id: &str| {
        regular_answer(message, id, "confirmed")
    });
    let _runner = Runner::start("i-0bd818ced3", runner_address, "arendal", control, answer);
    while put(&fleet, leader, 7) != Some(200) {
        if since.elapsed() > Duration::from_secs(15) {
            record("the first configuration was not acknowledged");
            fleet.end(COULD_NOT_RUN);
        }
        sleep_ms(300);
    }
    fleet.end_bootstrap();
    sleep_ms(STABLE_WINDOW_MS + 1_000);

    // The first operator sends a change to a core that doesn't lead.
    let (name, address) = (fleet.machines[follower].name.clone(), fleet.control(follower));
    let first = std::thread::spawn({
        let name = name.clone();
        move || put_config(&name, address, 12, &document(12, &routes(12)))
    });
    let mut newest = 0;
    if trouble() {
        // herd_kill: a core and an entry are killed at the same moment.
        let kill_after_ms = std::env::var("KILL_AFTER_MS").ok().and_then(|it| it.parse().ok());
        sleep_ms(kill_after_ms.unwrap_or(KILL_AFTER_MS));
        let killed_at = Instant::now();
        let only_core = std::env::var("ONLY_CORE").is_ok_and(|it| it == "1");
        if !only_core {
            fleet.signal(entries[0], SIGKILL);
        }
        fleet.kill(follower);
        if !only_core {
            fleet.kill(entries[0]);
        }
        sleep_ms(RESTART_AFTER_MS);
        fleet.start(follower);
        let second = std::thread::spawn(move || second_operator(&name, address));
        let passed = u64::try_from(killed_at.elapsed().as_millis()).unwrap_or(0);
        sleep_ms(ENTRY_RESTART_AFTER_MS.saturating_sub(passed));
        if !only_core {
            fleet.start(entries[0]);
        }
        // The first operator got no clear response, and sends the same change to another node.
        let status = first.join().ok().flatten();
        if status == Some(200) || put(&fleet, leader, 12) == Some(200) {
            newest = 12;
        }
        if second.join().is_ok_and(|acknowledged| acknowledged) {
            newest = 19;
        }
    } else {
        if first.join().ok().flatten() == Some(200) {
            newest = 12;
        }
        if second_operator(&name, address) {
            newest = 19;
        }
    }
    if newest == 0 {
        record("no change was acknowledged");
        fleet.end(COULD_NOT_RUN);
    }
    record(format!("version {newest} is the newest acknowledged one"));

    // Later than ConfigApplyMs after the ack, and after RecoverS, all nodes are asked for the configuration.
    sleep_ms(CONFIG_APPLY_MS + 500);
    let early = reads(&fleet, &cores, newest);
    sleep_ms(RECOVER_MS);
    let late = reads(&fleet, &cores, newest);
    if early.older == 0 && late.older == 0 && late.current > 0 {
        record(format!("held: version {newest} is read back"));
        fleet.end(HELD);
    }
    record(format!(
        "CONFIG broken: version {newest} was acknowledged; {} reads more than {CONFIG_APPLY_MS} ms \
         later and {} reads after {RECOVER_MS} ms more return an older version",
        early.older, late.older
    ));
    fleet.end(BROKEN)
}

/// The second operator sends its change to the core that is back; calls that are refused or not answered are repeated
/// there until one is answered. Returns whether it was acknowledged.
fn second_operator(name: &str, address: std::net::SocketAddr) -> bool {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(3) {
        if std::net::TcpStream::connect(address).is_err() {
            sleep_ms(10);
            continue;
        }
        match put_config(name, address, 19, &document(19, &routes(19))) {
            Some(200) => return true,
            _ => sleep_ms(200),
        }
    }
    false
}

#[derive(Default)]
struct Reads {
    older: usize,
    current: usize,
}

fn reads(fleet: &Fleet, cores: &[usize], newest: u64) -> Reads {
    let mut reads = Reads::default();
    for core in cores {
        let outcome = get_config(fleet.control(*core));
        record(format!("operator: GET /config at {}: {outcome:?}", fleet.machines[*core].name));
        match outcome {
            Ok((200, Some(version))) if version >= newest => reads.current += 1,
            Ok((200, _)) => reads.older += 1,
            _ => {}
        }
    }
    reads
}

fn put(fleet: &Fleet, node: usize, version: u64) -> Option<u16> {
    let name = &fleet.machines[node].name;
    put_config(name, fleet.control(node), version, &document(version, &routes(version)))
}

fn routes(version: u64) -> Vec<Route<'static>> {
    vec![Route {
        name: "r-28m82th",
        prefix: "/pufi791/",
        kind: "unsafe",
        timeout_ms: 1_200 + version,
    }]
}

/// Returns the core whose log says last that it leads; the other choice decides nothing but where the calls go.
fn wait_for_leader(fleet: &Fleet, cores: &[usize]) -> Option<usize> {
    for _ in 0..100 {
        for core in cores {
            let log = fleet.log(*core);
            let last = log.lines().rev().find(|line| line.contains("\"what\":\"log_role\""));
            if last.is_some_and(|line| line.contains("\"role\":\"Leader\"")) {
                return Some(*core);
            }
        }
        sleep_ms(100);
    }
    None
}
