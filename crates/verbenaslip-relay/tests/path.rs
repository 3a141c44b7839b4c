//! When connections to upstreams leave their direct path, and when they return.

use std::time::Duration;

use verbenaslip_relay::policy::path::{Change, Fault, Group, Paths};

const SECOND: Duration = Duration::from_secs(1);
const CONNECT_TIME: Duration = Duration::from_millis(2);

fn group(service: &str) -> Group {
    Group { service: service.into(), zone: "north".into() }
}

fn cut(paths: &mut Paths, now: Duration, group: &Group) -> Vec<Change> {
    (0..4).filter_map(|_| paths.record_bypassed(now, group, Fault::Hung)).collect()
}

#[test]
fn a_path_is_cut_after_four_bypassed_failures_and_whole_after_four_connections() {
    // Guards against a path that one lost packet cuts, and one that returns at once or never.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    assert!(paths.prefers_direct(&desk, 0.99));
    assert_eq!(cut(&mut paths, SECOND, &desk), [Change::Cut]);
    assert!(!paths.prefers_direct(&desk, 0.0) && paths.is_cut(&desk));
    let mut shares = Vec::new();
    let mut changes = Vec::new();
    for step in 0..4 {
        shares.push(
            (0..100).filter(|it| paths.prefers_direct(&desk, f64::from(*it) / 100.0)).count(),
        );
        let now = SECOND * (2 + step);
        changes.extend(paths.record_direct(now, &desk, CONNECT_TIME));
    }
    assert_eq!(shares, [0, 25, 50, 75]);
    assert_eq!(changes, [Change::Restored { after: 4 * SECOND }]);
    assert!(paths.prefers_direct(&desk, 0.99) && !paths.has_cut());
}

#[test]
fn open_connections_are_trusted_again_only_after_a_hanging_path_is_whole() {
    // Guards against requests on connections that hang.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    paths.record_bypassed(SECOND, &desk, Fault::Refused);
    assert!(paths.trusts_open_connections(&desk));
    paths.record_bypassed(SECOND, &desk, Fault::Hung);
    assert!(!paths.trusts_open_connections(&desk));
    for _ in 0..2 {
        paths.record_direct(SECOND, &desk, CONNECT_TIME);
    }
    assert!(paths.trusts_open_connections(&desk));
}

#[test]
fn a_cut_path_has_the_others_probed_and_is_probed_until_it_is_whole() {
    // Guards against paths whose cut is noticed only by their callers, and against one that stays cut.
    let (mut paths, desk, annex) = (Paths::default(), group("desk"), group("annex"));
    paths.record_direct(SECOND, &annex, CONNECT_TIME);
    assert_eq!(paths.next_probe_at(), None);
    cut(&mut paths, SECOND, &desk);
    assert_eq!(paths.take_due_probes(SECOND), [annex, desk.clone()]);
    assert_eq!(paths.take_due_probes(SECOND + Duration::from_millis(100)), []);
    for step in 1..=20 {
        assert_eq!(paths.take_due_probes(SECOND * (1 + step)), std::slice::from_ref(&desk));
    }
    for _ in 0..4 {
        paths.record_direct(30 * SECOND, &desk, CONNECT_TIME);
    }
    assert_eq!(paths.next_probe_at(), None);
}

#[test]
fn silence_is_a_reason_to_probe_only_if_nothing_else_arrives() {
    // Guards against probes beside every slow answer.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    let silence = Duration::from_millis(400);
    paths.record_direct(SECOND, &desk, CONNECT_TIME);
    paths.record_heard(2 * SECOND, &desk);
    assert!(!paths.record_silence(2 * SECOND + silence / 2, &desk, silence));
    assert!(paths.record_silence(2 * SECOND + silence, &desk, silence));
    assert_eq!(paths.take_due_probes(3 * SECOND), std::slice::from_ref(&desk));
    assert!(!paths.record_silence(3 * SECOND + silence, &desk, silence));
}

#[test]
fn a_path_that_loses_one_connection_in_five_stays_nearly_whole() {
    // Guards against traffic that goes back and forth on a lossy link.
    let (mut paths, desk) = (Paths::default(), group("desk"));
    let mut direct = 0;
    for step in 0..1_000_u32 {
        let now = SECOND * step;
        direct += u32::from(paths.prefers_direct(&desk, f64::from(step % 10) / 10.0));
        if step % 5 == 0 {
            assert_eq!(paths.record_bypassed(now, &desk, Fault::Hung), None, "step {step}");
        } else {
            paths.record_direct(now, &desk, CONNECT_TIME);
        }
    }
    assert!(direct > 900, "{direct} of 1000 direct");
}
