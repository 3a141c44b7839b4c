//! Idle connections that entries keep.

use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::registry::Run;
use verbenaslip_relay::forward::pool::{IdleLimit, Pool, Purpose, idle_share};
use verbenaslip_relay::http::Connection;

const START: Duration = Duration::from_secs(100);
const ONCE: Purpose<'_> = Purpose { id: "next", run_once: true };
const REPEATABLE: Purpose<'_> = Purpose { id: "next", run_once: false };

fn run() -> Run {
    Run { upstream: Upstream::new("i-1"), incarnation: 1 }
}

/// Returns a connection, and the upstream's end of it.
async fn connect() -> (Connection, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let stream = TcpStream::connect(address).await.expect("the listener accepts");
    let (upstream, _) = listener.accept().await.expect("a connection");
    (Connection::new(stream), upstream)
}

/// Returns a pool with a connection that answered the request `last` at [`START`], and the upstream's end of it.
async fn pool() -> (Pool, TcpStream) {
    let mut pool = Pool::default();
    let (connection, upstream) = connect().await;
    pool.put(START, &run(), (connection, "last"), None, 4);
    (pool, upstream)
}

fn takes(pool: &mut Pool, after: Duration, purpose: Purpose<'_>) -> bool {
    pool.take(START + after, &run(), purpose, |_| true).is_some()
}

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

// Guards against a run-once request that reads bytes which its upstream sends right after another answer.
#[tokio::test]
async fn run_once_request_uses_no_connection_that_has_just_answered() {
    let (mut used, _upstream) = pool().await;
    assert!(!takes(&mut used, Duration::ZERO, ONCE));
    assert!(!takes(&mut used, Duration::from_millis(4), ONCE));
    assert!(takes(&mut used, Duration::from_millis(6), ONCE));
    let (mut used, _upstream) = pool().await;
    assert!(takes(&mut used, Duration::ZERO, REPEATABLE));
    let (connection, _upstream) = connect().await;
    let mut unused = Pool::default();
    unused.put_first(START, &run(), connection);
    assert!(takes(&mut unused, Duration::ZERO, ONCE));
}

// Guards against a second answer to a request being taken for the one to its repeat.
#[tokio::test]
async fn connection_serves_no_two_requests_of_one_identity() {
    let (mut pool, _upstream) = pool().await;
    let after = Duration::from_millis(50);
    assert!(!takes(&mut pool, after, Purpose { id: "last", run_once: false }));
    assert!(takes(&mut pool, after, REPEATABLE));
}

// Guards against bytes that have arrived, and of which the runtime does not know yet.
#[tokio::test]
async fn connection_on_which_bytes_have_arrived_serves_no_request() {
    let (mut pool, mut upstream) = pool().await;
    let (other, _other_upstream) = connect().await;
    pool.put(START - Duration::from_millis(1), &run(), (other, "earlier"), None, 4);
    let (connection, _new_upstream) = connect().await;
    upstream.write_all(b"x").await.expect("the entry is there");
    let after = Duration::from_millis(50);
    assert!(takes(&mut pool, after, REPEATABLE), "the other connection is kept last");
    assert!(!takes(&mut pool, after, REPEATABLE));
    pool.put(START + after, &run(), (connection, "last"), None, 4);
    assert!(!takes(&mut pool, after * 2, REPEATABLE), "none is kept for a while");
    let (connection, _new_upstream) = connect().await;
    let later = Duration::from_secs(11);
    pool.put(START + later, &run(), (connection, "last"), None, 4);
    assert!(takes(&mut pool, later, REPEATABLE));
}

// Guards against stray bytes on one idle connection that leave the others of the same upstream in use.
#[tokio::test]
async fn stray_bytes_end_all_idle_connections_of_their_upstream() {
    let (mut pool, mut upstream) = pool().await;
    let (other, _other_upstream) = connect().await;
    pool.put(START, &run(), (other, "last"), None, 4);
    upstream.write_all(b"x").await.expect("the entry is there");
    pool.remove_expired(START + Duration::from_millis(1));
    assert!(!takes(&mut pool, Duration::from_millis(50), REPEATABLE));
}

// Guards against a time that an upstream states and that no connection lasts for.
#[test]
fn absurd_keep_alive_is_limited() {
    let limit = IdleLimit::from_keep_alive(Some(Duration::from_secs(u64::MAX)));
    assert!(limit.repeatable < Duration::from_secs(600), "{limit:?}");
    let none = IdleLimit::from_keep_alive(Some(Duration::ZERO));
    assert_eq!((none.repeatable, none.run_once), (Duration::ZERO, Duration::ZERO));
}
