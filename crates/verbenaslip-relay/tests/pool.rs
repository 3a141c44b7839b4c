//! Idle connections that entries keep.

use std::time::Duration;

use verbenaslip_relay::forward::pool::{IdleLimit, idle_share};

#[test]
fn idle_connections_leave_half_of_an_upstreams_connections() {
    // Guards against a limit per entry alone. Many entries each keep some idle connections to an
    // upstream; once their sum reaches what the upstream accepts, it resets the next connection
    // that carries a request.
    for (connections, entries) in [(630, 9), (510, 63), (610, 80), (96, 6)] {
        let total = idle_share(connections, entries) * entries as usize;
        assert!(
            total <= connections as usize / 2,
            "{entries} entries keep {total} of {connections}"
        );
    }
    assert_eq!(idle_share(10, 100), 1, "at least one connection is kept");
    assert_eq!(idle_share(u32::MAX, 1), 16);
}

#[test]
fn run_once_request_uses_only_recently_active_connections() {
    // Guards against using a connection up to the end of its idle time. If the upstream closes the
    // connection just as a request is sent on it, nobody knows whether the request ran, and one
    // that must run at most once fails.
    let default_limit = IdleLimit::from_keep_alive(None);
    assert_eq!(default_limit.run_once, Duration::from_millis(400));
    for seconds in [1, 2, 10, 60] {
        let keep_alive = Duration::from_secs(seconds);
        let limit = IdleLimit::from_keep_alive(Some(keep_alive));
        assert!(limit.run_once * 2 <= keep_alive && limit.repeatable < keep_alive, "{limit:?}");
    }
}
