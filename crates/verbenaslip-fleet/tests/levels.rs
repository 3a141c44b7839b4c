//! Entries that report to parent cores: traffic, and behavior while cores are lost.

mod net;

use std::collections::BTreeMap;
use std::time::Duration;

use net::{Network, announcement, route_table_with_service, run, withdraw};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::order;

const SECOND: Duration = Duration::from_secs(1);
const CORES: usize = 9;
const LOSSES: usize = 2;

/// Usage window shorter than in production, so that many of them end during a test.
const TIMING: order::Timing = order::Timing {
    window_length: Duration::from_secs(2),
    count_timeout: Duration::from_secs(6),
    report_deadline: Duration::from_secs(10),
    takeover_wait: Duration::from_secs(3),
};

fn fleet(entries: usize) -> Network {
    let mut net = Network::with_usage(CORES, entries, LOSSES * 2 + 1, Some(TIMING));
    net.run(SECOND * 6);
    assert_eq!(
        net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(1)))),
        Some(Response::RouteTableAdopted { revision: 1 })
    );
    net.run(SECOND * 2);
    net
}

/// Returns the bytes per second of the leader and of the busiest other core.
fn bytes_per_second(net: &mut Network, mut act: impl FnMut(&mut Network)) -> (usize, usize) {
    net.count_traffic();
    let begin = net.now();
    while net.now() - begin < SECOND * 2 {
        act(net);
        net.run(SECOND / 10);
    }
    let leader = net.leaders()[0];
    let others = (0..CORES).filter(|core| *core != leader);
    let busiest = others.map(|core| net.traffic(core).bytes).max().unwrap_or(0);
    (net.traffic(leader).bytes / 2, busiest / 2)
}

#[test]
fn idle_traffic_of_the_leader_does_not_depend_on_the_entry_count() {
    // Guards against a leader without time for the log in a fleet of a thousand entries.
    let [small, large] = [250, 1_000].map(|entries| {
        let (leader, busiest) = bytes_per_second(&mut fleet(entries), |_| {});
        println!("{entries} entries: {leader} bytes/s at the leader, {busiest} at a core");
        assert!(busiest <= 300_000, "{busiest} bytes/s at a core of {entries} entries");
        leader
    });
    assert!(large * 10 <= small * 11, "{large} bytes/s with 1,000 entries, {small} with 250");
}

#[test]
fn request_traffic_of_the_leader_does_not_depend_on_the_entry_count() {
    // Guards against usage counts that every heartbeat repeats.
    let [small, large] = [250, 1_000].map(|entries| {
        let mut net = fleet(entries);
        let mut rng = Pcg64::seed_from_u64(5);
        let (leader, busiest) = bytes_per_second(&mut net, |net| {
            for _ in 0..100 {
                let team = format!("team-{}", rng.random_range(0..333));
                net.begin_request(rng.random_range(0..entries), &team);
            }
        });
        println!("{entries} entries, 1,000 requests/s: {leader} bytes/s, {busiest} at a core");
        assert!(leader <= 1_000_000, "{leader} bytes/s at the leader of {entries} entries");
        leader
    });
    assert!(large * 10 <= small * 11, "{large} bytes/s with 1,000 entries, {small} with 250");
}

#[test]
fn an_acknowledged_edit_and_departure_are_known_to_a_thousand_entries() {
    // Guards against acknowledgements that do not wait for the second of two hops to an entry.
    let mut net = fleet(1_000);
    net.call(0, Request::Announce(Box::new(announcement("u", 1, false))));
    net.run(SECOND);
    let began = net.now();
    assert_eq!(net.call(1, withdraw("u")), Some(Response::Acknowledged));
    let took = net.now() - began;
    assert!(net.entries().all(|view| !view.upstreams.contains_key("u")));
    assert!(took <= SECOND / 2, "the departure took {took:?}");
    let began = net.now();
    let response = net.call(2, Request::AdoptRouteTable(Box::new(route_table_with_service(2))));
    assert_eq!(response, Some(Response::RouteTableAdopted { revision: 2 }));
    let took = net.now() - began;
    assert!(net.entries().all(|view| view.revision() == 2));
    assert!(took <= SECOND, "the edit took {took:?}");
}

#[test]
fn an_edit_after_a_core_was_killed_is_acknowledged_when_all_entries_have_it() {
    // Guards against a leader that waits for the entries of a lost core longer than they need to
    // find another parent core.
    for is_leader in [false, true] {
        let mut net = fleet(200);
        let leader = net.leaders()[0];
        let lost = if is_leader { leader } else { (leader + 1) % CORES };
        net.stop(lost);
        let (began, ask) =
            (net.now(), || Request::AdoptRouteTable(Box::new(route_table_with_service(2))));
        let core = (leader + 2) % CORES;
        let mut response = None;
        while response != Some(Response::RouteTableAdopted { revision: 2 }) {
            response = net.call(core, ask());
            assert!(net.now() - began <= SECOND * 5, "not acknowledged after 5 s");
        }
        let took = net.now() - began;
        println!("core killed, is leader: {is_leader}, acknowledged after {took:?}");
        assert!(is_leader || took <= SECOND, "acknowledged {took:?} after a follower was killed");
        assert!(
            net.entries().all(|view| view.revision() == 2),
            "acknowledged before it was in force at all entries"
        );
    }
}

#[test]
fn every_request_is_counted_once_while_entries_change_parent_cores() {
    // Guards against counts that are lost or counted twice on their way through two cores.
    for seed in 0..6 {
        let mut net = fleet(60);
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut expected: BTreeMap<u64, u64> = BTreeMap::new();
        net.take_events();
        let mut lost: Option<usize> = None;
        for step in 0..120 {
            for _ in 0..20 {
                let window = net.begin_request(rng.random_range(0..60), "red");
                *expected.entry(window).or_default() += 1;
            }
            net.run(SECOND / 10);
            match (lost, step % 30) {
                (None, 5) => {
                    let core = rng.random_range(0..CORES);
                    match rng.random_range(0..3) {
                        0 => net.stop(core),
                        1 => net.disconnect_core(core),
                        _ => net.pause(core),
                    }
                    lost = Some(core);
                }
                (Some(core), 20) => {
                    net.reconnect_core(core);
                    net.restart(core);
                    lost = None;
                }
                _ => {}
            }
        }
        net.run(SECOND * 12);
        let mut closed = BTreeMap::new();
        for (_, event) in net.take_events() {
            if let Event::WindowClosed { window, requests } = event {
                closed.insert(window, requests);
            }
        }
        let first = expected.keys().next().copied().unwrap_or_default();
        for (window, requests) in expected {
            let counted = closed.get(&window).copied().unwrap_or_default();
            // The first window began before the simulation.
            assert!(
                window == first || counted == requests,
                "seed {seed}: counted {counted} of {requests} requests in window {window}"
            );
        }
    }
}

#[test]
fn a_limit_observed_by_one_entry_reaches_the_entries_of_all_cores() {
    // Guards against a parent core that does not forward observed limits, and against time slots
    // that two entries share.
    let mut net = fleet(60);
    net.call(0, Request::Announce(Box::new(announcement("u", 1, false))));
    net.run(SECOND);
    net.observe_limit(7, run("u", 0), Some(2.0));
    net.run(SECOND);
    assert!(net.entries().all(|view| view.limits.contains_key(&run("u", 0))));
    let mut slots: Vec<(u32, u32)> = net
        .entries()
        .filter_map(|view| view.time_slot.map(|slot| (slot.index, slot.count)))
        .collect();
    slots.sort_unstable();
    let all: Vec<(u32, u32)> = (0..60).map(|index| (index, 60)).collect();
    assert_eq!(slots, all, "each entry must have its own time slot");
}

#[test]
fn entries_return_to_a_restarted_core() {
    // Guards against a parent core that keeps the entries of a lost core after that core has
    // returned.
    let mut net = fleet(200);
    let leader = net.leaders()[0];
    let core = (leader + 1) % CORES;
    net.stop(core);
    net.run(SECOND * 3);
    net.restart(core);
    net.run(SECOND * 6);
    net.count_traffic();
    net.run(SECOND * 2);
    assert!(net.traffic(core).received > 100, "{:?}", net.traffic(core));
}
