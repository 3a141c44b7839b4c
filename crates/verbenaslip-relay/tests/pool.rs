//! How many idle connections entries keep.

use std::time::Duration;

use verbenaslip_relay::forward::pool::{IdleLimit, idle_share};

#[test]
fn all_entries_together_leave_half_of_an_upstreams_connections_to_requests() {
    // Symptom: requests are reset under way at upstreams that are well. Sequence: many entries each
    // keep some idle connections to an upstream; their sum reaches what it accepts; the next
    // connection with a request on it is reset. Cause: a bound at each entry alone.
    for (connections, entries) in [(630, 9), (510, 63), (610, 80), (96, 6)] {
        let all = idle_share(connections, entries) * entries as usize;
        assert!(all <= connections as usize / 2, "{entries} entries keep {all} of {connections}");
    }
    assert_eq!(idle_share(10, 100), 1, "one is always of use");
    assert_eq!(idle_share(u32::MAX, 1), 16);
}

#[test]
fn a_connection_serves_a_request_that_runs_once_only_far_from_its_end() {
    // Symptom: a request that must run once fails, and nobody knows whether it ran. Sequence: it is sent on
    // a kept connection just when the upstream closes that for having been idle. Cause: a connection used
    // up to the end of the time that the upstream keeps it.
    let unsaid = IdleLimit::from_keep_alive(None);
    assert_eq!(unsaid.run_once, Duration::from_millis(400));
    for seconds in [1, 2, 10, 60] {
        let stated = Duration::from_secs(seconds);
        let keep = IdleLimit::from_keep_alive(Some(stated));
        assert!(keep.run_once * 2 <= stated && keep.repeatable < stated, "{keep:?}");
    }
}
