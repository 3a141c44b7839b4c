//! The adapters against the stand-ins that the interfaces' tables of cases hold to account.

#[path = "traffic/bench.rs"]
#[expect(dead_code, reason = "the traffic threads' tests use the rest")]
mod bench;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::unbounded;
use verbenaslip::admin::{self, Admin, Call, Reply};
use verbenaslip::cloud::{
    Budget, Cloud as _, Error, Fetched, Http as CloudClient, Order as MachineOrder, Started,
    Store as _, Weights,
};
use verbenaslip::keys::fixed::Fixed;
use verbenaslip::keys::ring::Ring;
use verbenaslip::traffic::engine::{Engine as _, Http, Op, Order, Ordered, Role};
use verbenaslip_base::announce::{Kind, Market};
use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};
use verbenaslip_lab::cloud::{self, Cloud};
use verbenaslip_lab::contract;
use verbenaslip_lab::contract::case;
use verbenaslip_lab::engine::Engine;
use verbenaslip_lab::engine::fault::{Fault, Flaw};
use verbenaslip_lab::engine::setup::{Cache, Setup};
use verbenaslip_lab::engine::truth::Start as TruthStart;
use verbenaslip_lab::service::{self, Service};
use verbenaslip_lab::text;
use verbenaslip_lab::weights::{self, Store};
use verbenaslip_request::run::{Cause, Event, Failure, Start, Step};

use crate::bench::{Bench, PATIENCE, live, read_all, read_until, run};

const ASKED: &str = r#"{"model":"assistant","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"a long question about a dossier that fills more than one block of text"}]}"#;
const PROMPT: &str =
    "user\na long question about a dossier that fills more than one block of text\n";

fn engine(name: &str) -> Engine {
    let mut setup = Setup::new(name, "north");
    setup.pace.prefill = Duration::ZERO;
    setup.cache = Cache { delay: Duration::ZERO, ..Cache::default() };
    Engine::spawn(setup).expect("the engine starts")
}

fn wait<T>(call: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(call)
}

/// Returns the text that a caller was sent.
fn told(answer: &str) -> String {
    let data = answer.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    let text = chunks.filter_map(|chunk| {
        let content = chunk.pointer("/choices/0/delta/content")?.as_str()?;
        Some(content.to_owned())
    });
    text.collect()
}

fn reached(bench: &Bench, attempt: Attempt, position: u32) {
    until("the position", || bench.traffic.position(attempt.request).unwrap_or(0) >= position);
}

/// Waits until a condition holds.
fn until(what: &str, holds: impl Fn() -> bool) {
    let end = std::time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(std::time::Instant::now() < end, "{what} did not come");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A run begins in each way that there is, and the caller reads the text that the prompt has.
#[test]
fn each_start_of_a_run_gives_the_same_text() {
    let (one, two) = (engine("one"), engine("two"));
    for start in ["fresh", "resume", "import", "rejoin"] {
        let bench = bench::bench();
        // The engines outlive the bench, so that each request needs a name of its own.
        let headers = format!("connection: close\r\nidempotency-key: {start}\r\n");
        let mut caller = bench.post(&headers, ASKED);
        let arrival = bench.arrival();
        bench.serve(&arrival);
        let first = bench.run(&arrival, 1, one.address(), Start::Fresh);
        match start {
            "resume" => {
                reached(&bench, first, 3);
                bench.traffic.cancel(&live(first, one.address()));
                bench.run(&arrival, 2, two.address(), Start::Resume);
            }
            "import" => {
                reached(&bench, first, 3);
                let import = Start::Import { from: first, source: one.address() };
                bench.run(&arrival, 2, two.address(), import);
            }
            "rejoin" => {
                reached(&bench, first, 3);
                bench.run(&arrival, 1, one.address(), Start::Rejoin);
            }
            _ => {}
        }
        let answer = read_all(&mut caller);
        assert!(answer.contains("[DONE]"), "{start}: {answer}");
        assert_eq!(told(&answer), text::expect(PROMPT, 12), "{start}");
    }
    let truth = two.truth();
    assert_eq!(truth.runs.len(), 2, "{truth:?}");
    assert!(truth.runs.iter().all(|run| run.matches), "{truth:?}");
    let import = truth.runs.iter().find(|run| run.start == TruthStart::Import);
    let import = import.expect("one run began from an imported cache");
    assert_eq!(import.replayed, 0, "the imported cache was not used: {truth:?}");
    // One run each for fresh, resume, import and rejoin: a rejoin is no new run.
    assert_eq!(one.truth().runs.len(), 4);
}

/// Symptom: a failure of an engine is taken for a whole answer, or for another failure.
/// Sequence: each fault of the stand-in, one run each.
/// Cause: the adapter and the stand-in understand the interface in two ways.
#[test]
fn each_fault_of_an_engine_is_named() {
    let failed = |step, cause, not_run| Event::Failed(Failure { step, cause, not_run });
    let flaw = |flaw| Fault::Flaw { count: 1, flaw };
    let cases = [
        (Fault::Refuse { count: 1 }, failed(Step::Head, Cause::Refused, true)),
        (Fault::Error { count: 1, run: false }, failed(Step::Head, Cause::Error, false)),
        (Fault::Error { count: 1, run: true }, failed(Step::Head, Cause::Error, false)),
        (Fault::Mute { count: 1 }, failed(Step::Head, Cause::Silent, false)),
        (flaw(Flaw::Cut { after: 2 }), failed(Step::Read, Cause::Cut, false)),
        (flaw(Flaw::Reset { after: 2 }), failed(Step::Read, Cause::Cut, false)),
        (flaw(Flaw::Skip { at: 3 }), failed(Step::Read, Cause::Gap, false)),
        (flaw(Flaw::Stall { after: 2 }), failed(Step::Read, Cause::Silent, false)),
        (flaw(Flaw::Repeat { at: 3, count: 2 }), Event::Ended { position: 12 }),
    ];
    let engine = engine("one");
    for (at, (fault, expected)) in cases.into_iter().enumerate() {
        engine.fault(fault);
        let bench = bench::bench();
        let _caller = bench.post(&format!("idempotency-key: {at}\r\n"), ASKED);
        let arrival = bench.arrival();
        let mut run = run(&arrival, 1, engine.address(), Start::Fresh);
        run.stall = Duration::from_millis(500);
        bench.traffic.run(run);
        assert_eq!(bench.ended(), expected, "{fault:?}");
    }
}

/// A cancel reaches the engine, which stops; a caller's priority reaches it as well.
#[test]
fn a_cancelled_run_stops_at_the_engine() {
    let engine = engine("one");
    let bench = bench::bench();
    let mut caller = bench.post("", &ASKED.replace("12", "100000"));
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = bench.run(&arrival, 1, engine.address(), Start::Fresh);
    read_until(&mut caller, "id: 1\n");
    bench.traffic.cancel(&live(attempt, engine.address()));
    until("the engine's end", || engine.truth().runs.iter().all(|run| run.end.is_some()));
    let again = wait(Http::new(engine.address(), PATIENCE).cancel(attempt));
    assert_eq!(again, Ok(false), "cancelling again is no error");
}

/// The engine's other calls are read as they are answered.
#[test]
fn the_engines_other_calls_are_understood() {
    let engine = engine("one");
    let client = Http::new(engine.address(), PATIENCE);
    let load = wait(client.load()).expect("the load is read");
    assert_eq!((load.running, load.waiting), (0, 0));

    let bench = bench::bench();
    let mut caller = bench.post("connection: close\r\n", ASKED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    bench.run(&arrival, 1, engine.address(), Start::Fresh);
    read_all(&mut caller);
    let cache = wait(client.cache(0)).expect("the events are read");
    let stored: Vec<_> = cache.events.iter().filter(|change| change.op == Op::Stored).collect();
    let blocks = &arrival.head.prefix;
    assert!(!blocks.is_empty());
    assert!(blocks.iter().all(|block| stored.iter().any(|change| change.block == *block)));
    let rest = wait(client.cache(cache.next)).expect("the rest is read");
    assert_eq!((rest.events.len(), rest.gap), (0, false));

    let fence = |index| Fence { term: 2, index };
    let order = |index, order| wait(client.order(fence(index), Duration::from_secs(60), order));
    assert_eq!(order(5, Order::Role(Role::Both)), Ok(Ordered::Applied));
    assert_eq!(order(4, Order::Role(Role::Decode)), Ok(Ordered::Fenced(fence(5))));
    let late = wait(client.order(fence(6), Duration::ZERO, Order::Load("x".into())));
    assert_eq!(late, Ok(Ordered::Expired));
    let held = wait(client.orders()).expect("the orders are read");
    assert_eq!((held.held, held.role), (fence(5), Role::Both));
    assert_eq!(held.models, [Model::from("assistant")]);
    let unknown = Attempt { number: 77, ..live_attempt(&arrival) };
    assert_eq!(wait(client.export(unknown)).err(), Some(Cause::Forgotten));
}

fn live_attempt(arrival: &verbenaslip_request::caller::Arrival) -> Attempt {
    Attempt { request: arrival.head.request, number: 1 }
}

/// A plain service's answer and refusal are understood, and each call runs once.
#[test]
fn a_plain_service_is_understood() {
    let service = Service::spawn(service::Setup::new("orders-1", "north")).expect("it starts");
    let ask = "POST /v1/services/orders/confirm HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
               authorization: Bearer secret\r\ncontent-length: 3\r\n\r\nabc";
    let refused = Failure { step: Step::Head, cause: Cause::Refused, not_run: true };
    for (refuse, expected) in [(0, Event::Ended { position: 0 }), (1, Event::Failed(refused))] {
        service.fault(Fault::Refuse { count: refuse });
        let bench = bench::bench();
        let mut caller = bench.send(ask);
        let arrival = bench.arrival();
        bench.serve(&arrival);
        let mut run = run(&arrival, 1, service.address(), Start::Fresh);
        run.kind = Kind::Service;
        bench.traffic.run(run);
        assert_eq!(bench.ended(), expected);
        if refuse == 0 {
            let answer = read_all(&mut caller);
            assert!(answer.contains(&text::reply(b"abc")), "{answer}");
        }
    }
    assert_eq!((service.truth().runs.len(), service.truth().refused), (1, 1));
}

/// The cloud's prices, notices, starts, stops and lists are understood.
#[test]
fn the_cloud_is_understood() {
    let mut setup = cloud::Setup::new(&["north"]);
    setup.offers.iter_mut().for_each(|offer| offer.capacity = 1);
    let cloud = Cloud::spawn(setup).expect("the cloud starts");
    cloud.adopt("entry-1", "south", None);
    cloud.reclaim("entry-1", Duration::from_secs(60));
    let client = CloudClient::new(cloud.address(), PATIENCE);

    let prices = client.prices().expect("the prices are read");
    let markets: Vec<_> = prices.iter().map(|price| price.market).collect();
    assert_eq!(markets, [Market::Reclaimable, Market::OnDemand]);
    let notices = client.notices(0).expect("the notices are read");
    assert_eq!(&*notices.notices[0].name, "entry-1");
    assert!(notices.notices[0].deadline <= Duration::from_secs(60));
    assert!(client.notices(notices.next).expect("the rest is read").notices.is_empty());

    let order = |request: &str| MachineOrder {
        request: request.into(),
        zone: AvailabilityZone::from("north"),
        machine: prices[0].machine.clone(),
        market: Market::Reclaimable,
        model: Model::from("assistant"),
    };
    let Started::Named(name) = client.start(&order("a")).expect("it is started") else {
        panic!("the first order is refused");
    };
    let again = client.start(&order("a")).expect("the resend is answered");
    assert_eq!(again, Started::Named(name.clone()));
    let refused = client.start(&order("b")).expect("the refusal is read");
    assert_eq!(refused, Started::Refused("capacity".into()));
    let machines = client.list().expect("the list is read");
    assert!(machines.iter().any(|machine| machine.name == name));
    client.stop(&name).expect("it is given back");
    client.stop(&name).expect("giving back again is no error");
}

/// The weight store's fetches and budget are understood.
#[test]
fn the_weight_store_is_understood() {
    let setup = weights::Setup { bytes_per_s: 1_000, size: 60_000, ..weights::Setup::default() };
    let store = Store::spawn(setup).expect("the store starts");
    let client = Weights::new(store.address(), PATIENCE);
    let budget = client.budget().expect("the budget is read");
    assert!(matches!(budget, Budget { bytes_per_s: 1_000, .. }));
    let (model, upstream) = (Model::from("m"), Upstream::from("u"));
    let fetched = client.fetch(&model, &upstream).expect("the fetch is answered");
    assert!(
        matches!(fetched, Fetched::Accepted { bytes: 60_000, time, .. } if time == Duration::from_secs(60)),
        "{fetched:?}"
    );
    let busy = client.fetch(&model, &Upstream::from("v")).expect("the next one is answered");
    assert!(matches!(busy, Fetched::Busy { retry } if retry > Duration::ZERO), "{busy:?}");
}

/// Symptom: an operator sees that something failed, and not where.
/// Sequence: a service that is not there.
/// Cause: an error that does not carry the call and the peer.
#[test]
fn an_unreachable_service_is_named() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let error = CloudClient::new(address, PATIENCE).prices().expect_err("nobody listens");
    assert!(matches!(error, Error::Unreachable { .. }));
    let shown = error.to_string();
    assert!(shown.starts_with(&format!("read prices at {address}: ")), "{shown}");
}

/// Announcements hold to their table of cases, with the newest kept as the decisions do.
#[test]
fn announcements_hold_to_their_interface() {
    let (sender, calls) = unbounded::<admin::Report>();
    let none: Arc<Fixed> = Arc::new(Fixed::new([]));
    let upstreams = Arc::new(Fixed::new([("upstreams", "up-key")]));
    let setup = admin::Setup {
        address: "127.0.0.1:0".parse().expect("it is well-formed"),
        keys: Ring { teams: none.clone(), operators: none, upstreams },
        reply_time: PATIENCE,
        read_time: PATIENCE,
        connections: 8,
    };
    let admin = Admin::spawn(setup, sender).expect("a port is free");
    std::thread::spawn(move || {
        let mut newest = (0, 0);
        for report in calls {
            let Call::Announce(announcement) = report.call else { continue };
            let came = (announcement.incarnation, announcement.sequence);
            let reply = if came > newest {
                newest = came;
                Reply::Announced { lease: Duration::from_secs(3) }
            } else {
                Reply::Stale { incarnation: newest.0, sequence: newest.1 }
            };
            let _ = report.reply.send(reply);
        }
    });
    let broken = case::run(admin.address(), &contract::announce::cases("up-key"));
    assert_eq!(broken.expect("a runtime starts"), []);
}
