//! Load of the leader in a fleet of hundreds of instances, in frames and bytes.

mod net;

use std::time::Duration;

use net::{Network, Traffic, announcement, route_table_with_service};
use verbenaslip_fleet::frame::Request;
use verbenaslip_fleet::registry::Announcement;

const CORES: usize = 6;
const ENTRIES: usize = 300;
const UPSTREAMS: usize = 3_000;
/// Interval between two announcements of an upstream.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Minimum encoded size of an upstream in a list, in bytes.
const MIN_RECORD_BYTES: usize = 40;
const TICK: Duration = Duration::from_millis(5);

fn announce_request(upstream: usize, sequence: u64) -> Request {
    let [high, low] = u16::try_from(upstream).expect("upstream index fits in u16").to_be_bytes();
    let address = ([10, 9, high, low], 80).into();
    let named = announcement(&format!("i-{upstream:010x}"), sequence, false);
    Request::Announce(Box::new(Announcement { address, ..named }))
}

/// Lets every upstream announce itself once, each at its own fixed core.
fn announce_all(net: &mut Network, sequence: u64) {
    let end = net.now() + ANNOUNCEMENT_INTERVAL;
    let mut next = 0;
    while next < UPSTREAMS {
        let left = (end - net.now()).as_micros() / TICK.as_micros();
        let batch = (UPSTREAMS - next)
            .div_ceil(usize::try_from(left.max(1)).expect("tick count fits in usize"));
        for upstream in next..next + batch {
            net.start_call(upstream % CORES, announce_request(upstream, sequence));
        }
        next += batch;
        net.run(TICK);
    }
}

#[test]
fn unchanged_announcements_do_not_reach_the_leader() {
    // Guards against passing each unchanged announcement on to the leader: with 300 entries, 3,000
    // upstreams and an announcement every 1.2 s, the leader would have no time for edits and
    // departures.
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
    println!("leader in 1.2 s: {sent} frames sent, {received} received, {bytes} bytes");
    let reports = ENTRIES * 5;
    // Each heartbeat of an entry and its answer: 300 entries with 4 or 5 heartbeats each.
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
    // Guards against a new leader that sends every instance the full list, which delays everything
    // else.
    let mut net = fleet_with_upstreams();
    let leader = net.leaders()[0];
    net.stop(leader);
    net.count_traffic();
    net.run(Duration::from_secs(4));
    let traffic: Vec<Traffic> = (0..CORES).map(|core| net.traffic(core)).collect();
    let bytes: usize = traffic.iter().map(|it| it.bytes).sum();
    println!("4 s after the loss of the leader: {bytes} bytes, {traffic:?}");
    let lists = ENTRIES * UPSTREAMS * MIN_RECORD_BYTES;
    assert!(bytes <= lists / 10, "{bytes} bytes; full lists for all entries take {lists}");
    assert!(net.entries().all(|view| view.upstreams.len() == UPSTREAMS));
}

#[test]
fn restarted_entries_get_the_full_list_from_other_cores() {
    // Guards against a leader that takes restarted entries for lost messages and sends them the
    // full list itself.
    let mut net = fleet_with_upstreams();
    net.count_traffic();
    (0..ENTRIES / 2).for_each(|entry| net.restart_entry(entry));
    net.run(Duration::from_secs(3));
    let bytes = net.traffic(net.leaders()[0]).bytes;
    let lists = ENTRIES / 2 * UPSTREAMS * MIN_RECORD_BYTES;
    println!("leader after a restart of half of the entries: {bytes} bytes");
    assert!(bytes <= lists / 10, "{bytes} bytes; full lists for these entries take {lists}");
    assert!(net.entries().all(|view| view.upstreams.len() == UPSTREAMS));
}

#[test]
fn after_a_full_restart_no_core_serves_all_entries() {
    // Guards against the core that first reports to a new leader having to serve all entries.
    let mut net = fleet_with_upstreams();
    (0..CORES).for_each(|core| net.restart(core));
    (0..ENTRIES).for_each(|entry| net.restart_entry(entry));
    net.count_traffic();
    net.run(Duration::from_secs(4));
    let bytes: Vec<usize> = (0..CORES).map(|core| net.traffic(core).bytes).collect();
    println!("4 s after a restart of all instances: {bytes:?} bytes by core");
    let all: usize = bytes.iter().sum();
    let busiest = bytes.iter().max().copied().unwrap_or(0);
    assert!(busiest <= all / 2, "{bytes:?}");
    assert!(net.entries().all(|view| view.upstreams.len() == UPSTREAMS));
}
