//! Cores that acknowledge announcements by themselves and pass updates on to entries, while cores
//! or entries fail.

mod net;

use std::time::Duration;

use net::{Network, announcement, route_table_with_service, withdraw};
use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::Status;

const SECOND: Duration = Duration::from_secs(1);
/// Time between two announcements of an upstream.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1_200);
/// Number of entries, large enough that updates are passed on by other cores, and that more than a
/// dozen entries report to one of them.
const ENTRIES: usize = 72;
/// Time after an acknowledgment by which every entry must know, whatever was lost on the way: a
/// twentieth of the time for which an upstream still accepts requests.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(100);

fn announce(name: &str, sequence: u64, draining: bool) -> Request {
    Request::Announce(Box::new(announcement(name, sequence, draining)))
}

/// Starts five cores with one upstream that every entry knows.
fn start_fleet() -> Network {
    let mut net = Network::with_voters(5, ENTRIES, 5);
    net.run(SECOND * 5);
    net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(4))));
    assert_eq!(net.call(0, announce("u", 1, false)), Some(Response::Acknowledged));
    net.run(SECOND);
    assert!(statuses(&net).iter().all(|it| *it == Some(Status::Ready)));
    net
}

/// Returns the status of the upstream at each entry.
fn statuses(net: &Network) -> Vec<Option<Status>> {
    net.entries().map(|view| view.upstreams.get("u").map(|it| it.status)).collect()
}

fn followers(net: &Network) -> Vec<usize> {
    let leader = net.leaders()[0];
    (0..5).filter(|core| *core != leader).collect()
}

#[test]
fn a_vouched_upstream_stays_ready_and_becomes_silent_when_it_ends() {
    // Guards against serving upstreams that count as silent at every entry: they announce
    // themselves at a core that acknowledges by itself, and the leader never learns of it.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    for sequence in 2..12 {
        assert_eq!(net.call(core, announce("u", sequence, false)), Some(Response::Acknowledged));
        net.run(ANNOUNCEMENT_PERIOD);
        assert!(statuses(&net).iter().all(|it| *it == Some(Status::Ready)));
    }
    net.run(ANNOUNCEMENT_PERIOD * 6);
    assert!(statuses(&net).iter().all(|it| *it == Some(Status::Silent)));
    assert_eq!(net.call(core, announce("u", 12, false)), Some(Response::Acknowledged));
    net.run(SECOND);
    assert!(statuses(&net).iter().all(|it| *it == Some(Status::Ready)));
}

#[test]
fn an_isolated_core_does_not_acknowledge_announcements() {
    // Guards against a serving upstream that is silent at every entry and receives no error: its
    // core is cut off from the others but still reachable for the upstream, and acknowledges by
    // what it knew before.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    net.disconnect_core(core);
    net.run(SECOND);
    assert_eq!(net.call(core, announce("u", 2, false)), Some(Response::Unavailable));
    net.reconnect_core(core);
    net.run(SECOND);
    assert_eq!(net.call(core, announce("u", 3, false)), Some(Response::Acknowledged));
}

#[test]
fn a_core_unaware_of_a_departure_restores_no_upstream() {
    // Guards against requests to an upstream long after its departure was acknowledged: it
    // announces its departure to one core, and a delayed earlier announcement reaches another core
    // that was paused and resumes. That core's mark must not make the upstream ready again at the
    // leader.
    let mut net = start_fleet();
    let [informed, paused] = [followers(&net)[0], followers(&net)[1]];
    net.pause(paused);
    assert_eq!(net.call(informed, withdraw("u")), Some(Response::Acknowledged));
    let delayed_call = net.start_call(paused, announce("u", 9, false));
    for _ in 0..20 {
        net.run(SECOND / 10);
        net.resume(paused);
        assert!(statuses(&net).iter().all(Option::is_none), "the upstream is in use again");
    }
    // The acknowledgment of the delayed announcement promises nothing.
    net.take_response(delayed_call);
}

#[test]
fn a_departure_reaches_every_entry_when_a_relaying_core_fails() {
    // Guards against requests to an upstream long after its departure was acknowledged, from the
    // entries of one zone: the leader has updates passed on by another core, which dies, is paused
    // or is cut off with them. Such updates must not count as sent, and must be sent again another
    // way.
    for lost in 0..4 {
        for (delay, failure) in
            (0..8).flat_map(|delay| (0..3).map(move |failure| (delay * 10, failure)))
        {
            let mut net = start_fleet();
            let core = followers(&net)[lost];
            let leader = net.leaders()[0];
            let call = net.start_call(leader, withdraw("u"));
            net.run(Duration::from_millis(delay));
            match failure {
                0 => net.stop(core),
                1 => net.pause(core),
                _ => net.disconnect_core(core),
            }
            let mut acknowledged = None;
            for _ in 0..150 {
                net.run(SECOND / 50);
                if net.take_response(call) == Some(Response::Acknowledged) {
                    acknowledged = Some(net.now());
                }
                let is_overdue =
                    acknowledged.is_some_and(|at| net.now() - at > MAX_PROPAGATION_TIME);
                let all_know = statuses(&net).iter().all(Option::is_none);
                assert!(
                    !is_overdue || all_know,
                    "core {core}, after {delay} ms, failure {failure}"
                );
            }
            assert!(acknowledged.is_some(), "core {core}, after {delay} ms, failure {failure}");
        }
    }
}

#[test]
fn a_leader_resumes_with_its_state_after_its_lease_lapsed() {
    // Guards against a leader of thousands of upstreams that starts over several times a second
    // within one term, so that nobody is answered: it is overloaded, misses rounds of the log, and
    // has the lease again a moment later. If the lapse counted as the end of its leadership, every
    // instance would be sent everything each time.
    let mut net = start_fleet();
    let leader = net.leaders()[0];
    net.take_events();
    net.count_traffic();
    for _ in 0..3 {
        followers(&net).into_iter().for_each(|core| net.pause(core));
        // Longer than a lease, and shorter than the time after which another core starts an
        // election.
        net.run(Duration::from_millis(1_080));
        assert!(net.leaders().is_empty());
        (0..5).for_each(|core| net.resume(core));
        net.run(SECOND / 2);
        assert_eq!(net.leaders(), [leader]);
        net.run(SECOND);
    }
    let notes = net.take_events();
    let began =
        notes.iter().filter(|(_, note)| matches!(note, Event::LeadershipStarted { .. })).count();
    let resumed =
        notes.iter().filter(|(_, note)| matches!(note, Event::LeadershipResumed { .. })).count();
    assert_eq!((began, resumed), (0, 3));
    assert_eq!(net.call(leader, withdraw("u")), Some(Response::Acknowledged));
    assert!(statuses(&net).iter().all(Option::is_none), "acknowledged before all entries knew");
}

#[test]
fn a_repeated_departure_is_acknowledged_by_the_same_core() {
    // Guards against an overloaded leader while the upstreams of a fleet are replaced: thousands
    // drain for some seconds, and each repeats its departure every 1.2 s. The leader must not be
    // asked each time, since all instances know.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    assert_eq!(net.call(core, announce("u", 2, true)), Some(Response::Acknowledged));
    assert!(statuses(&net).iter().all(|it| *it == Some(Status::Leaving)));
    net.count_traffic();
    for sequence in 3..6 {
        assert_eq!(net.call(core, announce("u", sequence, true)), Some(Response::Acknowledged));
    }
    let frames_sent = net.traffic(core).sent;
    assert!(frames_sent <= 2, "{frames_sent} frames sent for a known answer");
    // A departure that this core has not acknowledged yet is acknowledged only once all instances
    // know it and the log holds it.
    assert_eq!(net.call(core, withdraw("u")), Some(Response::Acknowledged));
    assert!(statuses(&net).iter().all(Option::is_none));
}

#[test]
fn an_edit_is_acknowledged_once_in_force_at_every_responsive_entry() {
    // Guards against callers that are refused on a route three seconds after the edit that added it
    // was acknowledged: the log holds the edit, but the core that passes it on to some entries is
    // paused or overloaded.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    let leader = net.leaders()[0];
    net.pause(core);
    let mut response = None;
    // The sender repeats the request while the result is uncertain.
    for _ in 0..4 {
        response =
            net.call(leader, Request::AdoptRouteTable(Box::new(route_table_with_service(8))));
        if response != Some(Response::Unavailable) {
            break;
        }
    }
    assert_eq!(response, Some(Response::RouteTableAdopted { revision: 8 }));
    assert!(net.entries().all(|view| view.revision() == 8), "acknowledged before it was in force");
}

#[test]
fn an_entry_that_receives_no_edit_delays_it_for_two_seconds_at_most() {
    // Guards against edits that are never acknowledged: an entry's reports arrive but nothing that
    // is sent to it does, and the acknowledgment waits for the entry forever.
    let mut net = start_fleet();
    net.drop_frames_to_entry(3);
    let leader = net.leaders()[0];
    let began = net.now();
    while net.call(leader, Request::AdoptRouteTable(Box::new(route_table_with_service(8))))
        != Some(Response::RouteTableAdopted { revision: 8 })
    {
        assert!(net.now() - began < SECOND * 4, "never acknowledged");
    }
    assert_eq!(net.entries().filter(|view| view.revision() != 8).count(), 1);
}

#[test]
fn the_leader_logs_a_delayed_announcement() {
    // Guards against operators who do not learn that announcements are delayed: a stale one arrives
    // at a core that acknowledges by itself what is not new, and a lower sequence number is not
    // new.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    assert_eq!(net.call(core, announce("u", 5, false)), Some(Response::Acknowledged));
    net.run(ANNOUNCEMENT_PERIOD);
    net.take_events();
    assert_eq!(net.call(core, announce("u", 1, false)), Some(Response::Acknowledged));
    net.run(SECOND);
    assert!(net.take_events().iter().any(|(_, note)| matches!(note, Event::StaleAnnouncement(_))));
}

#[test]
fn a_silent_upstream_is_ready_with_its_first_announcement() {
    // Guards against returning upstreams that receive nothing for another quarter of a second: a
    // silent one announces itself at a core that vouches, and its mark waits for the core's next
    // heartbeat.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    for sequence in [2, 3] {
        net.run(ANNOUNCEMENT_PERIOD * 6);
        assert!(statuses(&net).iter().all(|it| *it == Some(Status::Silent)));
        let call = net.start_call(core, announce("u", sequence, false));
        net.run(SECOND / 10);
        assert!(statuses(&net).iter().all(|it| *it == Some(Status::Ready)), "{sequence}");
        assert_eq!(net.take_response(call), Some(Response::Acknowledged));
    }
}

#[test]
fn an_upstream_that_drains_for_minutes_does_not_count_as_gone() {
    // Guards against dropped records of upstreams that still drain: one repeats its departure every
    // 1.2 s for 80 s at the core that acknowledged it. If that core only repeats its
    // acknowledgment, the leader hears nothing for over a minute.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    for sequence in 2..70 {
        assert_eq!(net.call(core, announce("u", sequence, true)), Some(Response::Acknowledged));
        net.run(ANNOUNCEMENT_PERIOD);
        assert!(statuses(&net).iter().all(|it| *it == Some(Status::Leaving)), "{sequence}");
    }
}

#[test]
fn a_paused_core_sends_no_old_marks() {
    // Guards against an ended upstream that stays in use for several seconds more: it announces
    // itself at a core that is paused at once, and ends. When the core resumes, its old mark must
    // not be sent as a new one.
    let mut net = start_fleet();
    let core = followers(&net)[0];
    net.run(ANNOUNCEMENT_PERIOD * 3);
    net.start_call(core, announce("u", 2, false));
    net.pause(core);
    net.run(ANNOUNCEMENT_PERIOD * 2);
    net.resume(core);
    net.run(ANNOUNCEMENT_PERIOD / 2);
    let silent_count = statuses(&net).iter().filter(|it| **it == Some(Status::Silent)).count();
    assert_eq!(silent_count, ENTRIES, "last heard five announcements ago");
}
