//! What a fleet of hundreds of instances costs its leader, in frames and bytes.

mod net;

use std::time::Duration;

use net::{Network, Traffic, announcement, route_table_with_service};
use verbenaslip_fleet::frame::Request;
use verbenaslip_fleet::registry::Announcement;

const CORES: usize = 6;
const ENTRIES: usize = 300;
const UPSTREAMS: usize = 3_000;
/// Time between two announcements of an upstream.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1_200);
/// The least bytes of one upstream in a list.
const MIN_RECORD_BYTES: usize = 40;
const TICK: Duration = Duration::from_millis(5);

fn announce_request(upstream: usize, sequence: u64) -> Request {
    let [high, low] = u16::try_from(upstream).expect("few").to_be_bytes();
    let address = ([10, 9, high, low], 80).into();
    let named = announcement(&format!("i-{upstream:010x}"), sequence, false);
    Request::Announce(Box::new(Announcement { address, ..named }))
}

/// Has every upstream announce itself once, at the core that it always calls.
fn announce_all(net: &mut Network, sequence: u64) {
    let end = net.now() + ANNOUNCEMENT_INTERVAL;
    let mut next = 0;
    while next < UPSTREAMS {
        let left = (end - net.now()).as_micros() / TICK.as_micros();
        let batch = (UPSTREAMS - next).div_ceil(usize::try_from(left.max(1)).expect("few"));
        for upstream in next..next + batch {
            net.start_call(upstream % CORES, announce_request(upstream, sequence));
        }
        next += batch;
        net.run(TICK);
    }
}

#[test]
fn unchanged_announcements_do_not_reach_the_leader() {
    // Symptom: with 300 entries and 3,000 upstreams the leader has no time left; no edit is taken and no
    // leaving acknowledged. Sequence: every upstream announces itself each 1.2 s. Cause: each announcement is
    // passed on to the leader and answered by it, though nothing in it is new.
    let mut net = Network::new(CORES, ENTRIES);
    net.run(Duration::from_secs(4));
    net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(1))));
    for sequence in 1..4 {
        announce_all(&mut net, sequence);
    }
    net.run(Duration::from_secs(1));
    assert!(net.entries().all(|view| view.upstreams.len() == UPSTREAMS));
    net.count_traffic();
    announce_all(&mut net, 4);
    let leader = net.leaders()[0];
    let Traffic { sent, received, bytes } = net.traffic(leader);
    println!("a leader in 1.2 s: {sent} frames sent, {received} received, {bytes} bytes");
    let reports = ENTRIES * 5;
    // Every report of an entry and its answer: 300 entries, 4 or 5 reports each.
    assert!(sent <= reports + 200, "{sent} frames sent");
    assert!(received <= reports + 200, "{received} frames received");
}

/// Starts a fleet in which every entry knows all upstreams.
fn fleet_with_upstreams() -> Network {
    let mut net = Network::with_voters(CORES, ENTRIES, 5);
    net.run(Duration::from_secs(4));
    net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(1))));
    for sequence in 1..4 {
        announce_all(&mut net, sequence);
    }
    net.run(Duration::from_secs(1));
    net
}

#[test]
fn a_new_leader_sends_instances_only_missing_changes() {
    // Guards against a new leader that sends every instance the whole list, and is late for that with all else.
    let mut net = fleet_with_upstreams();
    let leader = net.leaders()[0];
    net.stop(leader);
    net.count_traffic();
    net.run(Duration::from_secs(4));
    let traffic: Vec<Traffic> = (0..CORES).map(|core| net.traffic(core)).collect();
    let bytes: usize = traffic.iter().map(|it| it.bytes).sum();
    println!("4 s after the leader is lost: {bytes} bytes, {traffic:?}");
    let lists = ENTRIES * UPSTREAMS * MIN_RECORD_BYTES;
    assert!(bytes <= lists / 10, "{bytes} bytes, and whole lists for all are {lists}");
    assert!(net.entries().all(|view| view.upstreams.len() == UPSTREAMS));
}

#[test]
fn restarted_entries_get_the_full_list_from_other_cores() {
    // Guards against a leader that takes a restart of entries for a loss on the way, and tells them all by itself.
    let mut net = fleet_with_upstreams();
    net.count_traffic();
    (0..ENTRIES / 2).for_each(|entry| net.restart_entry(entry));
    net.run(Duration::from_secs(3));
    let bytes = net.traffic(net.leaders()[0]).bytes;
    let lists = ENTRIES / 2 * UPSTREAMS * MIN_RECORD_BYTES;
    println!("a leader after half of the entries have started again: {bytes} bytes");
    assert!(bytes <= lists / 10, "{bytes} bytes, and whole lists for them are {lists}");
    assert!(net.entries().all(|view| view.upstreams.len() == UPSTREAMS));
}

#[test]
fn after_a_full_restart_no_core_serves_all_entries() {
    // Guards against the core that happens to report first to a new leader, and passes all lists on.
    let mut net = fleet_with_upstreams();
    (0..CORES).for_each(|core| net.restart(core));
    (0..ENTRIES).for_each(|entry| net.restart_entry(entry));
    net.count_traffic();
    net.run(Duration::from_secs(4));
    let bytes: Vec<usize> = (0..CORES).map(|core| net.traffic(core).bytes).collect();
    println!("4 s after a start of all: {bytes:?} bytes by core");
    let all: usize = bytes.iter().sum();
    let busiest = bytes.iter().max().copied().unwrap_or(0);
    assert!(busiest <= all / 2, "{bytes:?}");
    assert!(net.entries().all(|view| view.upstreams.len() == UPSTREAMS));
}
