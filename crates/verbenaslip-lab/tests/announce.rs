//! What back ends say about themselves, and what the cloud starts and takes.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{eventually, post};
use serde_json::{Value, json};
use verbenaslip_lab::cloud::{self, Cloud};
use verbenaslip_lab::contract::announce::announcement;
use verbenaslip_lab::engine::Engine;
use verbenaslip_lab::engine::fault::Fault;
use verbenaslip_lab::engine::setup::{Announce, Setup};
use verbenaslip_lab::service::{self, Service};

type Heard = Arc<Mutex<Vec<Value>>>;

/// Listens for announcements as an instance does.
fn admin() -> (SocketAddr, Heard) {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a port is free");
    let address = server.server_addr().to_ip().expect("it listens on IP");
    let heard = Heard::default();
    let kept = heard.clone();
    thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let key = request.headers().iter().find(|header| header.field.equiv("authorization"));
            assert_eq!(key.map(|key| key.value.as_str()), Some("Bearer upstream-key"));
            assert_eq!(request.url(), "/v1/upstreams");
            let body: Value = serde_json::from_reader(request.as_reader()).expect("JSON");
            kept.lock().expect("no holder panics").push(body);
            request.respond(tiny_http::Response::from_string("{\"lease_ms\":3000}")).ok();
        }
    });
    (address, heard)
}

fn announce(admins: Vec<SocketAddr>) -> Announce {
    let key = "upstream-key".to_owned();
    Announce { admins, key, every: Duration::from_millis(10), seed: 1 }
}

fn keys(value: &Value) -> Vec<&String> {
    value.as_object().map(|fields| fields.keys().collect()).unwrap_or_default()
}

fn last(heard: &Heard) -> Option<Value> {
    heard.lock().expect("no holder panics").last().cloned()
}

#[test]
fn engine_announces_all_that_the_interface_names() {
    let (address, heard) = admin();
    let nobody: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let setup = Setup {
        announce: announce(vec![nobody, address]),
        warm: Duration::from_millis(50),
        ..Setup::new("engine-1", "north")
    };
    let engine = Engine::spawn(setup).expect("the engine starts");
    eventually("it is ready", || last(&heard).is_some_and(|said| said["phase"] == "ready"));
    engine.reclaim(Duration::from_secs(60));
    eventually("it leaves", || last(&heard).is_some_and(|said| said["phase"] == "leaving"));

    let heard = heard.lock().expect("no holder panics").clone();
    let example = announcement(1, 1, "ready");
    assert!(heard.iter().all(|said| keys(said) == keys(&example)), "{:?}", heard[0]);
    assert!(heard.iter().all(|said| keys(&said["load"]) == keys(&example["load"])));
    assert_eq!(heard[0]["phase"], "warming");
    assert_eq!(heard[0]["address"], engine.address().to_string());
    assert!(heard.iter().all(|said| said["incarnation"] == heard[0]["incarnation"]));
    let sequences: Vec<_> = heard.iter().filter_map(|said| said["sequence"].as_u64()).collect();
    assert!(sequences.is_sorted_by(|a, b| a < b), "{sequences:?}");
    let notice = heard.last().and_then(|said| said["notice"].as_u64()).expect("a notice");
    assert!((1..=60_000).contains(&notice));
}

#[test]
fn frozen_engine_says_nothing() {
    // Symptom: work goes to an engine that does nothing. Sequence: it freezes while it is listed as
    // ready. Cause: only the age of its last announcement shows it.
    let (address, heard) = admin();
    let setup = Setup { announce: announce(vec![address]), ..Setup::new("engine-1", "north") };
    let engine = Engine::spawn(setup).expect("the engine starts");
    eventually("it is heard", || last(&heard).is_some());
    engine.fault(Fault::Freeze { ms: 60_000 });
    let count = || heard.lock().expect("no holder panics").len();
    // One announcement may be under way when the engine freezes.
    thread::sleep(Duration::from_millis(50));
    let before = count();
    thread::sleep(Duration::from_millis(100));
    assert_eq!(count(), before);
}

#[test]
fn service_announces_itself_and_leaves() {
    let (address, heard) = admin();
    let setup = service::Setup {
        announce: announce(vec![address]),
        ..service::Setup::new("service-1", "north")
    };
    let service = Service::spawn(setup).expect("the service starts");
    eventually("it is ready", || last(&heard).is_some_and(|said| said["phase"] == "ready"));
    let said = last(&heard).expect("it was heard");
    assert_eq!(keys(&said), keys(&announcement(1, 1, "ready")));
    assert_eq!((&said["kind"], &said["models"]), (&json!("service"), &json!(["orders"])));
    service.reclaim(Duration::from_millis(50));
    assert!(service.wait(common::PATIENCE));
    eventually("it left", || last(&heard).is_some_and(|said| said["phase"] == "leaving"));
}

#[test]
fn cloud_starts_engines_and_takes_a_whole_zone() {
    // Symptom: a zone's machines vanish at once. Sequence: the cloud reclaims the zone, also what it
    // did not start itself. Cause: capacity is taken back by zone.
    let (address, heard) = admin();
    let mut setup = cloud::Setup::new(&["north", "south"]);
    setup.start = Duration::from_millis(20);
    setup.engine.announce = announce(vec![address]);
    let cloud = Cloud::spawn(setup).expect("the cloud starts");
    let own = Engine::spawn(Setup::new("engine-1", "north")).expect("the engine starts");
    cloud.adopt("engine-1", "north", Some(own.address()));
    for (request, zone) in [(1, "north"), (2, "south")] {
        let order = json!({
            "request": request, "zone": zone, "machine": "standard",
            "market": "reclaimable", "model": "assistant",
        });
        post(cloud.address(), "/v1/machines", &order);
    }
    let ready = |name: &str| {
        let heard = heard.lock().expect("no holder panics");
        heard.iter().any(|said| said["upstream"] == name && said["phase"] == "ready")
    };
    eventually("both are ready", || ready("north-standard-1") && ready("south-standard-2"));

    let taken = post(cloud.address(), "/lab/reclaim", &json!({"zone": "north", "notice_ms": 80}));
    assert_eq!(taken, json!({"reclaimed": ["engine-1", "north-standard-1"]}));
    assert!(own.wait(common::PATIENCE));
    let state = |index: usize| {
        common::get(cloud.address(), "/v1/machines")["machines"][index]["state"].clone()
    };
    eventually("its own is gone", || state(1) == "gone");
    assert_eq!(state(2), "running");
    let leaving = |name: &str| {
        let heard = heard.lock().expect("no holder panics");
        heard.iter().any(|said| said["upstream"] == name && said["phase"] == "leaving")
    };
    assert!(leaving("north-standard-1"));
    assert!(!leaving("south-standard-2"));
}

#[test]
fn cloud_refuses_starts_when_it_is_told_to() {
    let cloud = Cloud::spawn(cloud::Setup::new(&["north"])).expect("the cloud starts");
    let order = json!({
        "request": 1, "zone": "north", "machine": "standard",
        "market": "reclaimable", "model": "assistant",
    });
    cloud.refuse(true);
    assert_eq!(post(cloud.address(), "/v1/machines", &order), json!({"refused": "capacity"}));
    cloud.refuse(false);
    assert_eq!(post(cloud.address(), "/v1/machines", &order)["name"], "north-standard-1");
}
