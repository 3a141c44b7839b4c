//! When connections to upstreams leave their direct path, and when they return.

use std::time::Duration;

use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::registry::Run;
use verbenaslip_relay::policy::path::{Change, Fault, Group, Paths, Probe};

const SECOND: Duration = Duration::from_secs(1);
const CONNECT_TIME: Duration = Duration::from_millis(2);

fn group(service: &str) -> Group {
    Group { service: service.into(), zone: "north".into() }
}

fn run(number: u32) -> Run {
    Run { upstream: Upstream::new(format!("i-{number}")), incarnation: 1 }
}

fn cut(paths: &mut Paths, now: Duration, group: &Group) -> Vec<Change> {
    (0..4).filter_map(|it| paths.record_bypassed(now, group, &run(it), Fault::Hung)).collect()
}

/// Returns the groups of which any run is to be probed.
fn due_groups(paths: &mut Paths, now: Duration) -> Vec<Group> {
    let due = paths.take_due_probes(now).into_iter();
    due.filter(|it| it.run.is_none()).map(|it| it.group).collect()
}

#[test]
fn a_path_is_cut_after_four_bypassed_failures_and_whole_after_four_connections() {
    // Guards against a path that one lost packet cuts, and one that returns at once or never.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    assert!(paths.prefers_direct(&desk, &run(9), 0.99));
    assert_eq!(cut(&mut paths, SECOND, &desk), [Change::Cut]);
    assert!(!paths.prefers_direct(&desk, &run(9), 0.0) && paths.cut_count() == 1);
    let mut shares = Vec::new();
    let mut changes = Vec::new();
    for step in 0..4 {
        shares.push(
            (0..100)
                .filter(|it| paths.prefers_direct(&desk, &run(9), f64::from(*it) / 100.0))
                .count(),
        );
        let now = SECOND * (2 + step);
        changes.extend(paths.record_direct(now, &desk, &run(9), CONNECT_TIME));
    }
    assert_eq!(shares, [0, 25, 50, 75]);
    assert_eq!(changes, [Change::Restored { after: 4 * SECOND }]);
    assert!(paths.prefers_direct(&desk, &run(9), 0.99) && paths.cut_count() == 0);
}

#[test]
fn open_connections_are_trusted_again_only_after_a_hanging_path_is_whole() {
    // Guards against requests on connections that hang.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    paths.record_bypassed(SECOND, &desk, &run(9), Fault::Refused);
    assert!(paths.trusts_open_connections(&desk));
    paths.record_bypassed(SECOND, &desk, &run(9), Fault::Hung);
    assert!(!paths.trusts_open_connections(&desk));
    for _ in 0..2 {
        paths.record_direct(SECOND, &desk, &run(9), CONNECT_TIME);
    }
    assert!(paths.trusts_open_connections(&desk));
}

#[test]
fn a_cut_path_has_the_others_probed_and_is_probed_until_it_is_whole() {
    // Guards against paths whose cut is noticed only by their callers, and against one that stays cut.
    let (mut paths, desk, annex) = (Paths::default(), group("desk"), group("annex"));
    paths.record_direct(SECOND, &annex, &run(8), CONNECT_TIME);
    assert_eq!(paths.next_probe_at(), None);
    cut(&mut paths, SECOND, &desk);
    assert_eq!(due_groups(&mut paths, SECOND), [annex, desk.clone()]);
    assert_eq!(due_groups(&mut paths, SECOND + Duration::from_millis(100)), []);
    for step in 1..=20 {
        assert_eq!(due_groups(&mut paths, SECOND * (1 + step)), std::slice::from_ref(&desk));
    }
    for _ in 0..4 {
        paths.record_direct(30 * SECOND, &desk, &run(9), CONNECT_TIME);
    }
    assert_eq!(paths.next_probe_at(), None);
}

#[test]
fn silence_is_a_reason_to_probe_only_if_nothing_else_arrives() {
    // Guards against probes beside every slow answer.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    let silence = Duration::from_millis(400);
    paths.record_direct(SECOND, &desk, &run(9), CONNECT_TIME);
    paths.record_heard(2 * SECOND, &desk);
    assert!(!paths.record_silence(2 * SECOND + silence / 2, &desk, silence));
    assert!(paths.record_silence(2 * SECOND + silence, &desk, silence));
    assert_eq!(due_groups(&mut paths, 3 * SECOND), std::slice::from_ref(&desk));
    assert!(!paths.record_silence(3 * SECOND + silence, &desk, silence));
}

#[test]
fn a_path_that_loses_one_connection_in_five_stays_nearly_whole() {
    // Guards against traffic that goes back and forth on a lossy link.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    let mut direct = 0;
    for step in 0..1_000_u32 {
        let now = SECOND * step;
        direct += u32::from(paths.prefers_direct(&desk, &run(9), f64::from(step % 10) / 10.0));
        if step % 5 == 0 {
            assert_eq!(
                paths.record_bypassed(now, &desk, &run(1), Fault::Hung),
                None,
                "step {step}"
            );
        } else {
            paths.record_direct(now, &desk, &run(9), CONNECT_TIME);
        }
    }
    assert!(direct > 900, "{direct} of 1000 direct");
}

#[test]
fn a_run_that_alone_is_cut_off_is_detoured_until_its_probe_succeeds() {
    // Guards against requests that wait for a lost upstream of a path that is whole for others.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    paths.record_bypassed(SECOND, &desk, &run(1), Fault::Hung);
    paths.record_direct(SECOND, &desk, &run(2), CONNECT_TIME);
    assert_eq!(paths.next_probe_at(), None, "a run without requests is not probed");
    assert!(!paths.prefers_direct(&desk, &run(1), 0.0) && !paths.may_reach(&desk, &run(1)));
    assert!(paths.prefers_direct(&desk, &run(2), 0.99) && paths.cut_count() == 0);
    let probe = Probe { group: desk.clone(), run: Some(run(1)) };
    assert_eq!(paths.take_due_probes(2 * SECOND), [probe]);
    assert_eq!(paths.take_due_probes(4 * SECOND), [], "no request has used it since");
    paths.record_direct(4 * SECOND, &desk, &run(1), CONNECT_TIME);
    assert!(paths.prefers_direct(&desk, &run(1), 0.99));
}

#[test]
fn a_path_that_no_upstream_uses_any_more_is_forgotten() {
    // Guards against an entry that counts as cut for good once the upstreams behind a cut have left.
    let (mut paths, desk, annex) = (Paths::default(), group("desk"), group("annex"));
    cut(&mut paths, SECOND, &desk);
    paths.record_direct(SECOND, &annex, &run(8), CONNECT_TIME);
    let runs: Vec<Run> = (0..4).map(run).collect();
    paths.forget(&runs, |group| *group == annex);
    assert_eq!(paths.cut_count(), 0);
    assert!(paths.prefers_direct(&desk, &run(1), 0.99));
    paths.take_due_probes(2 * SECOND);
    assert_eq!(paths.next_probe_at(), None);
}
