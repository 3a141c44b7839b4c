//! Entries that report to cores near them: what that costs, and what holds while cores are lost.

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

/// A window of usage that is shorter than any customer's, so that many of them end in a play.
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

/// Returns the bytes of the leader and of the busiest other core, a second.
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
    // Guards against a leader that has no time left for the log in a fleet of a thousand entries.
    let [small, large] = [250, 1_000].map(|entries| {
        let (leader, busiest) = bytes_per_second(&mut fleet(entries), |_| {});
        println!("{entries} entries: {leader} bytes a second at the leader, {busiest} at a core");
        assert!(busiest <= 300_000, "{busiest} bytes at a core of {entries} entries");
        leader
    });
    assert!(large * 10 <= small * 11, "{large} bytes at 1,000 entries, {small} at 250");
}

#[test]
fn request_traffic_of_the_leader_does_not_depend_on_the_entry_count() {
    // Guards against counts of usage that are told again with every report.
    let [small, large] = [250, 1_000].map(|entries| {
        let mut net = fleet(entries);
        let mut rng = Pcg64::seed_from_u64(5);
        let (leader, busiest) = bytes_per_second(&mut net, |net| {
            for _ in 0..100 {
                let team = format!("team-{}", rng.random_range(0..333));
                net.begin_request(rng.random_range(0..entries), &team);
            }
        });
        println!("{entries} entries, 1,000 requests a second: {leader} bytes a second, {busiest}");
        assert!(leader <= 1_000_000, "{leader} bytes at the leader of {entries} entries");
        leader
    });
    assert!(large * 10 <= small * 11, "{large} bytes at 1,000 entries, {small} at 250");
}

#[test]
fn an_acknowledged_edit_and_departure_are_known_to_a_thousand_entries() {
    // Guards against acknowledgements that come before the last of two steps on the way to an entry.
    let mut net = fleet(1_000);
    net.call(0, Request::Announce(Box::new(announcement("u", 1, false))));
    net.run(SECOND);
    let began = net.now();
    assert_eq!(net.call(1, withdraw("u")), Some(Response::Acknowledged));
    let took = net.now() - began;
    assert!(net.entries().all(|view| !view.upstreams.contains_key("u")));
    assert!(took <= SECOND / 2, "a leaving took {took:?}");
    let began = net.now();
    let response = net.call(2, Request::AdoptRouteTable(Box::new(route_table_with_service(2))));
    assert_eq!(response, Some(Response::RouteTableAdopted { revision: 2 }));
    let took = net.now() - began;
    assert!(net.entries().all(|view| view.revision() == 2));
    assert!(took <= SECOND, "an edit took {took:?}");
}

#[test]
fn an_edit_after_a_core_was_killed_is_acknowledged_when_all_entries_have_it() {
    // Guards against a leader that waits for the entries of a lost core longer than they take to find another.
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
        println!("a core killed, leader: {is_leader}: {took:?}");
        assert!(is_leader || took <= SECOND, "a follower was killed: {took:?}");
        assert!(net.entries().all(|view| view.revision() == 2), "it is in force everywhere");
    }
}

#[test]
fn every_request_is_counted_once_while_entries_change_parent_cores() {
    // Guards against counts that are lost or doubled on their way by two cores.
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
            // The first window has begun before the play.
            assert!(
                window == first || counted == requests,
                "seed {seed}: {counted} of {requests} in {window}"
            );
        }
    }
}

#[test]
fn a_limit_observed_by_one_entry_reaches_the_entries_of_all_cores() {
    // Guards against sightings that a core keeps to itself, and turns that two entries take at once.
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
    assert_eq!(slots, all, "each entry has a turn of its own");
}

#[test]
fn entries_return_to_a_restarted_core() {
    // Guards against a core that has the entries of two for ever, once the other one was lost.
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
