//! Requests that wait at an entry for an upstream, over real sockets.
//!
//! The only upstream takes ten requests a second, and the entry holds requests for 500 ms.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::View;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::index::Index;
use verbenaslip_fleet::limit::{Limit, TimeSlot};
use verbenaslip_fleet::measurement::{Figure, RunKey};
use verbenaslip_fleet::registry::{Announcement, Record, Run, Status};
use verbenaslip_fleet::rollout::{Plan, State};
use verbenaslip_fleet::route_table::{RequestKind, Route, RouteTable, Service, Target};
use verbenaslip_relay::Server;
use verbenaslip_relay::dialect::{
    Correlation, Dialect, ForwardedFields, PromptPart, RateLimit, RequestInfo, ResponseInfo,
    TokenCounts, WriteField,
};
use verbenaslip_relay::http::{RequestHead, ResponseHead};
use verbenaslip_relay::monotonic;
use verbenaslip_relay::policy::placement::Sharing;
use verbenaslip_relay::policy::retry::Bounds;
use verbenaslip_relay::server::Config;
use verbenaslip_relay::shared::SharedState;

/// Requests per second that the upstream takes.
const RATE: f64 = 10.0;

/// Identity of a request whose answer the upstream breaks off after the head.
const BROKEN_ID: usize = 2_000;

/// Identity of a request that makes the upstream ask for a cooldown of 20 s.
const COOLDOWN_ID: usize = 4_000;

/// Identity of a request whose caller waits 200 ms for its answer.
const IMPATIENT_ID: usize = 3_000;

/// Each request has a prompt of 700 tokens, and each answer states the rate limit.
struct TestDialect;

impl Dialect for TestDialect {
    fn request_info(&self, head: &RequestHead) -> Option<RequestInfo> {
        let is_impatient = head.text("id")? == IMPATIENT_ID.to_string();
        Some(RequestInfo {
            id: head.text("id")?.into(),
            caller_timeout: is_impatient.then_some(Duration::from_millis(200)),
            token_counts: Some(TokenCounts { prompt: 700, max_output: 10 }),
            prompt_parts: vec![PromptPart { id: head.text("id")?.parse().ok()?, tokens: 700 }],
            ..RequestInfo::default()
        })
    }

    fn is_reserved(&self, _: &str) -> bool {
        false
    }

    fn write_forwarded(&self, _: &ForwardedFields<'_>, _: WriteField<'_>) {}

    fn response_info(&self, _: &ResponseHead, id: &str) -> ResponseInfo {
        let cooldown = (id == COOLDOWN_ID.to_string()).then_some(Duration::from_secs(20));
        ResponseInfo {
            correlation: Correlation::Matching,
            not_run: cooldown.is_some(),
            other_run: false,
            brittle: None,
            unrequested_encoding: false,
            rate_limit: RateLimit::PerSecond(RATE),
            leaving: false,
            cooldown,
        }
    }

    fn write_answer(&self, _: &str, retry_after: Option<Duration>, write: WriteField<'_>) {
        write("Retry-Ms", &retry_after.map_or(0, |it| it.as_millis()).to_string());
    }
}

/// Status and retry time in milliseconds.
type Answer = (u16, Option<u64>);

struct Entry {
    address: SocketAddr,
    shared: Arc<SharedState>,
    _server: Server,
    /// Requests that the upstream has received.
    received: Arc<AtomicUsize>,
}

impl Entry {
    /// Starts an entry that shares measurements, and an upstream with a rate limit.
    fn spawn(figures: bool) -> Self {
        Self::spawn_with(|address| view(address, figures))
    }

    /// Starts an entry with a view that is built from the address of the upstream.
    fn spawn_with(view: impl FnOnce(SocketAddr) -> View) -> Self {
        let received = Arc::new(AtomicUsize::new(0));
        let shared = Arc::new(SharedState::default());
        let sharing = Sharing { min_slots: 32, min_entries: 1 };
        shared.set_view(view(spawn_upstream(received.clone())));
        // Another process may take a free port before the server does.
        let servers = (0..10).map(|_| {
            let address = free_address();
            let server = Server::spawn(Config {
                tunnel_address: None,
                max_tunnels: 0,
                caller_address: address,
                readiness_address: free_address(),
                zone: AvailabilityZone::from("north"),
                max_connections: 100,
                memory_bytes: 64 << 20,
                retry_bounds: Bounds { ratio: 0.1, allowance: 10.0 },
                sharing,
                usage_window: Duration::from_secs(60),
                shared: shared.clone(),
                dialect: Arc::new(TestDialect),
            });
            Some((address, server.ok()?))
        });
        let (address, server) = servers.flatten().next().expect("a server");
        Self { address, shared, _server: server, received }
    }

    fn send(&self, id: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("a connection");
        let request =
            format!("POST /x/ HTTP/1.1\r\nHost: h\r\nid: {id}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("a request");
        stream
    }

    /// Sends requests at once; returns their answers and when each one arrived.
    fn send_all(&self, count: usize) -> Vec<(Answer, Duration)> {
        let start = Instant::now();
        let streams: Vec<TcpStream> = (0..count).map(|id| self.send(id)).collect();
        let read = |it| (read_answer(it), start.elapsed());
        thread::scope(|scope| {
            let handles: Vec<_> =
                streams.into_iter().map(|it| scope.spawn(move || read(it))).collect();
            handles.into_iter().map(|it| it.join().expect("an answer")).collect()
        })
    }

    /// Lets the rate limit begin, and uses what the entry may send at once.
    fn use_first_slot(&self) {
        while read_answer(self.send(1_000)).0 != 200 {}
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Returns the status and the retry time, in milliseconds, of an answer.
fn read_answer(mut stream: TcpStream) -> Answer {
    let mut bytes = [0; 512];
    let count = stream.read(&mut bytes).expect("an answer");
    let text = String::from_utf8_lossy(&bytes[..count]);
    let status = text.split(' ').nth(1).and_then(|it| it.parse().ok());
    let retry_ms = text.lines().find_map(|it| it.strip_prefix("Retry-Ms: ")?.parse().ok());
    (status.expect("a status"), retry_ms)
}

fn spawn_upstream(received: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = received.clone();
            thread::spawn(move || answer_requests(stream, &received));
        }
    });
    address
}

fn answer_requests(mut stream: TcpStream, received: &AtomicUsize) {
    let mut bytes = [0; 4_096];
    let broken_id = format!("id: {BROKEN_ID}\r\n");
    while let Ok(count) = stream.read(&mut bytes)
        && count > 0
    {
        received.fetch_add(1, Ordering::Relaxed);
        if String::from_utf8_lossy(&bytes[..count]).contains(&broken_id) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
            return;
        }
        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
            return;
        }
    }
}

fn view(address: SocketAddr, figures: bool) -> View {
    let run = Run { upstream: Upstream::new("u1"), incarnation: 0 };
    let announcement = Announcement {
        run: run.clone(),
        service: "pool".into(),
        address,
        zone: AvailabilityZone::from("north"),
        version: "v1".into(),
        slots: 32,
        draining: false,
        warmup_left: Duration::ZERO,
        reclaimable: false,
        leaves_in: None,
        sequence: 1,
    };
    let record = Record { announcement, status: Status::Ready };
    let limit =
        Limit { rate: Some(RATE), reported_at_ms: clock::unix_ms(monotonic::now(), 0).max(1) };
    let figure = Figure {
        stream_rate: Some(60.0),
        wait_ms: 10.0,
        pending_tokens: 0,
        active: 0,
        events_per_s: RATE,
        failure_rate: 0.0,
        measured_at: monotonic::now(),
    };
    View {
        figures: Arc::new(figures.then_some((RunKey::of(&run), figure)).into_iter().collect()),
        routes: Some(Arc::new(Index::new(Arc::new(route_table())))),
        upstreams: Arc::new(BTreeMap::from([(run.upstream.clone(), record)])),
        limits: Arc::new(BTreeMap::from([(run, limit)])),
        time_slot: Some(TimeSlot::single(0, 1)),
        ..View::default()
    }
}

/// Returns a view in which all slots of the upstream are in use.
fn full_view(address: SocketAddr) -> View {
    let view = view(address, true);
    let full = |(key, figure): (&RunKey, &Figure)| (*key, Figure { active: 32, ..*figure });
    View {
        figures: Arc::new(view.figures.iter().map(full).collect()),
        limits: Arc::default(),
        ..view
    }
}

/// Returns a view in which the slots of the old version are in use and another upstream has the
/// version that a rollout shifts the traffic to.
fn rollout_view(address: SocketAddr) -> View {
    let view = full_view(address);
    let mut upstreams = (*view.upstreams).clone();
    let mut record = upstreams.values().next().expect("an upstream").clone();
    let run = Run { upstream: Upstream::new("u2"), incarnation: 0 };
    record.announcement.run = run.clone();
    record.announcement.version = "v2".into();
    upstreams.insert(run.upstream.clone(), record);
    let mut figures = (*view.figures).clone();
    let figure = *figures.values().next().expect("a figure");
    figures.insert(RunKey::of(&run), Figure { active: 0, ..figure });
    let plan = Plan {
        id: 1,
        step: 1,
        version: "v2".into(),
        rejected: BTreeSet::new(),
        state: State::Serving,
        share: 0.95,
        route_shares: BTreeMap::new(),
        canaries: None,
        shifting: true,
        slow_ms: BTreeMap::new(),
    };
    View {
        upstreams: Arc::new(upstreams),
        figures: Arc::new(figures),
        rollout_plans: Arc::new(BTreeMap::from([("pool".into(), plan)])),
        ..view
    }
}

fn route_table() -> RouteTable {
    let route = Route {
        name: "x".into(),
        host: "h".into(),
        prefix: "/x/".into(),
        kind: RequestKind::Repeatable,
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(4),
        max_event_gap: Duration::from_secs(1),
        priority: 0,
        targets: vec![Target { service: "pool".into(), weight: 1 }],
        max_attempts: 2,
        public: true,
    };
    let service = Service {
        name: "pool".into(),
        health_path: "/".into(),
        max_connections: 100,
        engine: None,
        scaling: None,
    };
    RouteTable { routes: vec![route], services: vec![service], ..RouteTable::default() }
}

/// Guards against refusals of requests that an upstream would accept a moment later, against
/// holding others for longer than an eighth of their objective, and against refused callers that
/// return together. Load: twelve requests at once, of which the upstream takes five in that time.
#[test]
fn requests_wait_no_longer_than_the_holding_time_and_then_return_one_after_the_other() {
    let entry = Entry::spawn(true);
    entry.use_first_slot();
    let answers = entry.send_all(12);
    assert!(answers.iter().all(|(_, elapsed)| *elapsed < Duration::from_secs(1)), "{answers:?}");
    let refused = answers.iter().filter(|((status, _), _)| *status == 503);
    let mut hints: Vec<u64> = refused.filter_map(|((_, retry_ms), _)| *retry_ms).collect();
    hints.sort_unstable();
    assert!((1..=8).contains(&hints.len()), "{answers:?}");
    assert!(hints.iter().all(|it| (300..=3_000).contains(it)), "{hints:?}");
    // Each prompt of 700 tokens takes 11.7 ms at 60 tokens a millisecond; the callers were refused
    // within a few milliseconds.
    let work_ms = 11 * (hints.len() as u64 - 1);
    assert!(hints[hints.len() - 1] - hints[0] + 10 >= work_ms, "{hints:?}");
}

/// Guards against waiting where the figures of the fleet are missing. Load: twelve requests at
/// once, of which the upstream takes none yet.
#[test]
fn without_figures_requests_are_refused_at_once() {
    let entry = Entry::spawn(false);
    while read_answer(entry.send(1_000)).0 != 200 {}
    let answers = entry.send_all(12);
    let refused = answers.iter().filter(|((status, _), _)| *status != 200);
    let refused: Vec<_> = refused.collect();
    assert!(refused.len() >= 10, "{answers:?}");
    for ((_, retry_ms), elapsed) in refused {
        assert!(*elapsed < Duration::from_millis(100), "{elapsed:?}");
        // 300 ms, spread by a quarter.
        assert!(retry_ms.is_some_and(|it| (225..=375).contains(&it)), "{retry_ms:?}");
    }
}

/// Guards against callers that have left the queue but use the turns of others. Load: four callers,
/// of which three leave before their turn; with their turns, the fourth would wait 400 ms.
#[test]
fn callers_that_leave_the_queue_do_not_use_the_turns_of_others() {
    let entry = Entry::spawn(true);
    entry.use_first_slot();
    let before = entry.received.load(Ordering::Relaxed);
    let start = Instant::now();
    let leaving: Vec<TcpStream> = (0..3).map(|id| entry.send(id)).collect();
    thread::sleep(Duration::from_millis(20));
    let waiting = entry.send(3);
    drop(leaving);
    assert_eq!(read_answer(waiting).0, 200);
    assert!(start.elapsed() < Duration::from_millis(290), "{:?}", start.elapsed());
    let sent = entry.received.load(Ordering::Relaxed) - before;
    assert!(sent <= 2, "{sent} requests were sent");
}

/// Guards against requests that wait at an entry that stops. Load: six waiting requests.
#[test]
fn waiting_requests_are_refused_once_the_entry_stops() {
    let entry = Entry::spawn(true);
    entry.use_first_slot();
    let shared = entry.shared.clone();
    let stop = thread::spawn(move || {
        thread::sleep(Duration::from_millis(30));
        shared.stop_admitting();
    });
    let answers = entry.send_all(6);
    stop.join().expect("the stop");
    let refused = answers.iter().filter(|((status, _), _)| *status == 503);
    assert!(refused.count() >= 5, "{answers:?}");
    assert!(answers.iter().all(|(_, elapsed)| *elapsed < Duration::from_millis(200)));
}

/// Guards against requests that wait for the old version, and are then refused, although a rollout
/// sends them to the new one.
#[test]
fn requests_do_not_wait_for_a_version_that_they_need_not_go_to() {
    let entry = Entry::spawn_with(rollout_view);
    assert_eq!(read_answer(entry.send(0)).0, 200);
}

/// Guards against requests that wait longer than their callers do.
#[test]
fn a_request_does_not_wait_beyond_its_deadline() {
    let entry = Entry::spawn_with(full_view);
    let attempts = (0..5).map(|_| {
        let start = Instant::now();
        assert_eq!(read_answer(entry.send(IMPATIENT_ID)).0, 503);
        start.elapsed()
    });
    // The fastest one, since a busy machine delays some.
    let elapsed = attempts.min().expect("an attempt");
    assert!(elapsed > Duration::from_millis(100), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(200), "{elapsed:?}");
}

/// Guards against prompts that count as pending for ever, here and in the figures of the fleet, if
/// their answer ends before the first event.
#[test]
fn no_prompt_is_pending_after_an_answer_that_breaks_off_before_its_first_event() {
    let entry = Entry::spawn(true);
    read_answer(entry.send(BROKEN_ID));
    let start = Instant::now();
    loop {
        let measurements = entry.shared.take_report().measurements;
        assert_eq!(measurements.len(), 1);
        if measurements[0].active == 0 {
            assert_eq!(measurements[0].pending_tokens, 0);
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(2), "{measurements:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against callers that are told to return while all upstreams still take no requests.
#[test]
fn callers_return_no_earlier_than_a_long_cooldown_ends() {
    let entry = Entry::spawn(true);
    assert_eq!(read_answer(entry.send(COOLDOWN_ID)).0, 503);
    let (status, retry_ms) = read_answer(entry.send(0));
    assert_eq!(status, 503);
    // At least 20 s, spread by a quarter.
    assert!(retry_ms.is_some_and(|it| it >= 14_900), "{retry_ms:?}");
}
