//! How entries learn of others that open connections for them.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_fleet::frame::Frame;
use verbenaslip_fleet::gateway::{Directory, Gateway, Membership, Registration};

const SECOND: Duration = Duration::from_secs(1);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn registration(host: u8, zone: &str, carries: bool) -> Registration {
    let gateway = carries.then(|| address(host));
    Registration { from: address(host), zone: zone.into(), gateway }
}

fn hosts(gateways: &[Gateway]) -> Vec<u8> {
    let mut hosts: Vec<u8> =
        (1..=250).filter(|host| gateways.iter().any(|it| it.address == address(*host))).collect();
    hosts.sort_unstable();
    hosts
}

#[test]
fn an_entry_learns_of_near_and_far_gateways_but_not_of_those_that_are_cut() {
    // Guards against helpers that need help themselves, and against a zone that knows only itself.
    let mut directory = Directory::default();
    for host in 1..=20 {
        let zone = if host <= 10 { "north" } else { "south" };
        directory.register(SECOND, registration(host, zone, host % 2 == 0));
    }
    let named = directory.register(SECOND, registration(1, "north", false));
    let near = named.iter().filter(|it| it.zone == "north".into()).count();
    assert_eq!((near, named.len()), (4, 8));
    assert!(hosts(&named).iter().all(|host| host % 2 == 0), "{named:?}");
    let others = directory.register(SECOND, registration(2, "north", true));
    assert!(!hosts(&others).contains(&2), "an entry is its own gateway");
}

#[test]
fn repeated_questions_bring_other_gateways() {
    // Guards against a whole zone that leans on the same few entries.
    let mut directory = Directory::default();
    for host in 1..=40 {
        directory.register(SECOND, registration(host, "south", true));
    }
    let mut seen = Vec::new();
    for _ in 0..30 {
        seen.extend(directory.register(SECOND, registration(50, "north", false)));
    }
    assert!(hosts(&seen).len() > 30, "{:?}", hosts(&seen));
}

#[test]
fn entries_that_stop_or_fall_silent_are_forgotten() {
    // Guards against gateways that are gone.
    let mut directory = Directory::default();
    directory.register(SECOND, registration(1, "north", true));
    directory.register(SECOND, registration(2, "north", true));
    directory.remove(address(2));
    assert_eq!(hosts(&directory.register(2 * SECOND, registration(3, "north", true))), [1]);
    assert_eq!(hosts(&directory.register(80 * SECOND, registration(3, "north", true))), []);
}

#[test]
fn an_entry_registers_at_once_when_its_paths_are_lost_or_found() {
    // Guards against cores that name an entry as a gateway while it is cut.
    let mut membership = Membership::new(registration(1, "north", true));
    let offered = |frame: Option<Frame>| match frame {
        Some(Frame::RegisterGateway(registration)) => Some(registration.gateway),
        _ => None,
    };
    assert_eq!(offered(membership.next_registration(SECOND)), Some(Some(address(1))));
    let known = (2..=4).map(|host| Gateway { address: address(host), zone: "north".into() });
    assert_eq!(membership.learn(known.collect()).len(), 3);
    assert_eq!(offered(membership.next_registration(2 * SECOND)), Some(Some(address(1))));
    assert_eq!(offered(membership.next_registration(20 * SECOND)), None);
    membership.set_carries(21 * SECOND, false);
    assert_eq!(offered(membership.next_registration(21 * SECOND)), Some(None));
    assert_eq!(offered(membership.next_registration(22 * SECOND)), Some(None));
    membership.set_carries(23 * SECOND, true);
    assert_eq!(offered(membership.next_registration(23 * SECOND)), Some(Some(address(1))));
}
