//! The whole path over real sockets: callers, three instances, engines and a service, and faults.
//!
//! Each test runs the same kinds of requests while something happens, and compares what callers
//! were told with what engines and service counted themselves.

mod cluster;

use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::Duration;

use verbenaslip::server::Ended;
use verbenaslip_lab::engine::fault::Fault;
use verbenaslip_lab::load::report::Report;
use verbenaslip_lab::load::verdict::Verdict;

use crate::cluster::Cluster;

/// Lets one deployment run at a time, so that one test's load is not another one's fault.
static TURN: Mutex<()> = Mutex::new(());

/// Holds one thing that happens while requests are served.
struct Case {
    name: &'static str,
    happen: fn(&mut Cluster),
}

/// Runs a case and checks what must hold of every one: nothing lost, doubled, cut off or mixed up,
/// nothing idempotent left unknown, "not run" true, non-idempotent at most once.
fn run(case: &Case) -> (Report, Verdict) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut cluster = Cluster::open();
    let plan = cluster.plan(7);
    let (report, verdict) = cluster.run(plan, case.happen);
    let shown = format!("{}: {verdict:#?}\n{:?}", case.name, report.codes);
    println!("{}: first {:?}\nbetween {:?}\n{shown}", case.name, report.first, report.between);
    assert!(verdict.holds(), "{shown}");
    assert_eq!(verdict.lost + verdict.cut + verdict.errors, 0, "{shown}");
    assert_eq!(verdict.unknown_idempotent, 0, "{shown}");
    assert!(verdict.runs_max_once <= 1, "{shown}");
    assert!(verdict.whole > 0, "{shown}");
    (report, verdict)
}

/// Waits until requests are under way.
fn midway() {
    sleep(Duration::from_millis(1_500));
}

#[test]
fn nothing_fails() {
    let (report, verdict) = run(&Case { name: "calm", happen: |_| {} });
    assert_eq!(verdict.whole, verdict.requests, "{:?}", report.codes);
    assert_eq!(verdict.tokens.again, 0);
}

#[test]
fn an_upstream_is_reclaimed() {
    // Symptom: answers stop midway, or start over. Sequence: a notice, new work still sent there,
    // or streams left to die with it. Cause: no move within the notice.
    const NOTICES: [(&str, u64); 3] = [("no notice", 0), ("2 s", 2_000), ("30 s", 30_000)];
    for (name, millis) in NOTICES {
        match millis {
            0 => run(&Case { name, happen: |cluster| reclaim(cluster, 0) }),
            2_000 => run(&Case { name, happen: |cluster| reclaim(cluster, 2_000) }),
            _ => run(&Case { name, happen: |cluster| reclaim(cluster, 30_000) }),
        };
    }
}

fn reclaim(cluster: &mut Cluster, millis: u64) {
    midway();
    cluster.engines[0].reclaim(Duration::from_millis(millis));
}

#[test]
fn an_upstream_dies() {
    // Symptom: answers are cut off. Sequence: the engine's process is gone between two tokens.
    // Cause: nobody resumes elsewhere from what was received.
    run(&Case {
        name: "killed",
        happen: |cluster| {
            midway();
            cluster.engines[0].kill();
        },
    });
}

#[test]
fn a_zone_is_reclaimed_at_once() {
    // Symptom: moved streams are lost again. Sequence: two engines of a zone die one after the
    // other, the second while it takes over from the first. Cause: a move counts as the last one.
    run(&Case {
        name: "wave",
        happen: |cluster| {
            midway();
            cluster.engines[0].reclaim(Duration::from_millis(500));
            sleep(Duration::from_millis(300));
            cluster.engines[3].kill();
        },
    });
}

#[test]
fn connections_to_an_upstream_go_silent() {
    // Symptom: streams hang until their deadline. Sequence: what stands between forgets the
    // connections, new ones work. Cause: silence is not noticed, or answered by computing anew.
    run(&Case {
        name: "silent",
        happen: |cluster| {
            midway();
            cluster.engines[1].fault(Fault::Silence);
        },
    });
}

#[test]
fn an_instance_stops_as_planned() {
    // Symptom: callers' streams are cut off by a restart. Sequence: the process is told to stop
    // while it serves. Cause: it exits before its streams ended or were handed over.
    run(&Case {
        name: "stop",
        happen: |cluster| {
            midway();
            let server = cluster.servers.remove(&1).expect("it runs");
            assert_eq!(server.stop(), Ended::Drained);
        },
    });
}

#[test]
fn an_instance_is_lost() {
    // Symptom: accepted requests get no answer. Sequence: the instance that holds the callers'
    // connections is gone; they come back elsewhere with their keys. Cause: only it knew them.
    run(&Case {
        name: "lost instance",
        happen: |cluster| {
            midway();
            drop(cluster.servers.remove(&2));
        },
    });
}

#[test]
fn an_instance_is_lost_and_comes_back() {
    // Symptom: a restarted instance runs what it had forgotten a second time. Sequence: lost,
    // taken over by the second holder, back under the same name. Cause: it is taken for the owner.
    run(&Case {
        name: "restart",
        happen: |cluster| {
            midway();
            drop(cluster.servers.remove(&0));
            sleep(Duration::from_millis(700));
            cluster.restart(0);
        },
    });
}
