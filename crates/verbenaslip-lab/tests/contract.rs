//! Runs each interface's table of cases against its stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_lab::cloud::{self, Cloud};
use verbenaslip_lab::contract;
use verbenaslip_lab::contract::case::{self, Case};
use verbenaslip_lab::engine::Engine;
use verbenaslip_lab::engine::fault::Fault;
use verbenaslip_lab::engine::setup::Setup;
use verbenaslip_lab::service::{self, Service};
use verbenaslip_lab::weights::{self, Store};

fn holds(address: SocketAddr, cases: &[Case]) {
    let broken = case::run(address, cases).expect("a runtime starts");
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn engine_holds_to_its_interface() {
    for fenced in [true, false] {
        let setup = Setup { fenced, ..Setup::new("engine-1", "north") };
        let engine = Engine::spawn(setup).expect("the engine starts");
        holds(engine.address(), &contract::engine::cases(fenced));
    }
}

#[test]
fn service_holds_to_its_interface() {
    let service = Service::spawn(service::Setup::new("service-1", "north")).expect("it starts");
    service.fault(Fault::Refuse { count: 1 });
    holds(service.address(), &contract::service::cases());
    let truth = service.truth();
    assert_eq!((truth.runs.len(), truth.refused), (2, 1));
}

#[test]
fn cloud_holds_to_its_interface() {
    let mut setup = cloud::Setup::new(&["north"]);
    setup.offers.iter_mut().for_each(|offer| offer.capacity = 1);
    let cloud = Cloud::spawn(setup).expect("the cloud starts");
    cloud.adopt("entry-1", "south", None);
    assert_eq!(cloud.reclaim("entry-1", Duration::from_secs(60)), ["entry-1"]);
    holds(cloud.address(), &contract::cloud::cases());
}

#[test]
fn weight_store_holds_to_its_interface() {
    let setup = weights::Setup { bytes_per_s: 1_000, size: 60_000, ..weights::Setup::default() };
    let store = Store::spawn(setup).expect("the store starts");
    holds(store.address(), &contract::weights::cases());
}
