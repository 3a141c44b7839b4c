//! Cores that answer upstreams by themselves, and pass updates on to entries, as either is lost.

mod net;

use std::time::Duration;

use net::{Network, announcement, route_table_with_service, withdraw};
use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::Status;

const SECOND: Duration = Duration::from_secs(1);
/// Between two announcements of an upstream.
const ROUND: Duration = Duration::from_millis(1_200);
/// So many that updates go by way of other cores, and that more than a dozen hang on one of them.
const ENTRIES: usize = 72;
/// By then after an acknowledgement every entry knows, whatever was lost on the way: a twentieth of the time that an
/// upstream still takes work.
const KNOWN: Duration = Duration::from_millis(100);

fn announce(name: &str, sequence: u64, draining: bool) -> Request {
    Request::Announce(Box::new(announcement(name, sequence, draining)))
}

/// Starts five cores, with one upstream that every entry knows.
fn fleet() -> Network {
    let mut net = Network::with_voters(5, ENTRIES, 5);
    net.run(SECOND * 5);
    net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(4))));
    assert_eq!(net.call(0, announce("u", 1, false)), Some(Response::Acknowledged));
    net.run(SECOND);
    assert!(standings(&net).iter().all(|it| *it == Some(Status::Ready)));
    net
}

/// Returns how each entry takes the upstream to stand.
fn standings(net: &Network) -> Vec<Option<Status>> {
    net.entries().map(|view| view.upstreams.get("u").map(|it| it.status)).collect()
}

fn followers(net: &Network) -> Vec<usize> {
    let leader = net.leaders()[0];
    (0..5).filter(|core| *core != leader).collect()
}

#[test]
fn an_upstream_that_one_core_vouches_for_stays_ready_and_falls_silent_when_it_ends() {
    // Symptom: upstreams that serve are taken for silent by every entry. Sequence: they announce themselves at a
    // core that answers by itself. Cause: the leader never hears of it.
    let mut net = fleet();
    let core = followers(&net)[0];
    for sequence in 2..12 {
        assert_eq!(net.call(core, announce("u", sequence, false)), Some(Response::Acknowledged));
        net.run(ROUND);
        assert!(standings(&net).iter().all(|it| *it == Some(Status::Ready)));
    }
    net.run(ROUND * 6);
    assert!(standings(&net).iter().all(|it| *it == Some(Status::Silent)));
    assert_eq!(net.call(core, announce("u", 12, false)), Some(Response::Acknowledged));
    net.run(SECOND);
    assert!(standings(&net).iter().all(|it| *it == Some(Status::Ready)));
}

#[test]
fn a_core_that_is_cut_off_turns_upstreams_away() {
    // Symptom: an upstream that serves is silent at every entry, and calls on without an error. Sequence: its
    // core is cut off from the others, and still reached by the upstream. Cause: a core that answers by what it
    // knew before.
    let mut net = fleet();
    let core = followers(&net)[0];
    net.disconnect_core(core);
    net.run(SECOND);
    assert_eq!(net.call(core, announce("u", 2, false)), Some(Response::Unavailable));
    net.reconnect_core(core);
    net.run(SECOND);
    assert_eq!(net.call(core, announce("u", 3, false)), Some(Response::Acknowledged));
}

#[test]
fn a_core_that_has_not_heard_of_a_leaving_brings_nothing_back() {
    // Symptom: requests reach an upstream long after its leaving was acknowledged. Sequence: it says to one core
    // that it goes; an announcement of before that was held up reaches another core, which stood still, and
    // wakes. Cause: that core's word makes the upstream ready again at the leader.
    let mut net = fleet();
    let [told, asleep] = [followers(&net)[0], followers(&net)[1]];
    net.pause(asleep);
    assert_eq!(net.call(told, withdraw("u")), Some(Response::Acknowledged));
    let late = net.start_call(asleep, announce("u", 9, false));
    for _ in 0..20 {
        net.run(SECOND / 10);
        net.resume(asleep);
        assert!(standings(&net).iter().all(Option::is_none), "used again");
    }
    // What the late caller is told promises nothing.
    net.take_response(late);
}

#[test]
fn a_leaving_holds_at_every_entry_when_a_core_that_passes_it_on_is_lost() {
    // Symptom: requests reach an upstream long after its leaving was acknowledged, from the entries of one zone.
    // Sequence: the leader has update passed on by another core, which dies, freezes or is cut off with them.
    // Cause: update that count as sent and are not sent again by another way.
    for lost in 0..4 {
        for (delay, kind) in (0..8).flat_map(|delay| (0..3).map(move |kind| (delay * 10, kind))) {
            let mut net = fleet();
            let core = followers(&net)[lost];
            let leader = net.leaders()[0];
            let call = net.start_call(leader, withdraw("u"));
            net.run(Duration::from_millis(delay));
            match kind {
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
                let past = acknowledged.is_some_and(|at| net.now() - at > KNOWN);
                let known = standings(&net).iter().all(Option::is_none);
                assert!(!past || known, "core {core}, after {delay} ms, way {kind}");
            }
            assert!(acknowledged.is_some(), "core {core}, after {delay} ms, way {kind}");
        }
    }
}

#[test]
fn a_leader_whose_lease_lapses_goes_on_by_what_it_knows() {
    // Symptom: with thousands of upstreams, a leader begins anew several times a second under one term, and
    // nobody is answered. Sequence: it has too much to do, misses rounds of the log, and has the lease again
    // a moment later; each time every instance is told everything. Cause: a lapse taken for the end of a reign.
    let mut net = fleet();
    let leader = net.leaders()[0];
    net.take_events();
    net.count_traffic();
    for _ in 0..3 {
        followers(&net).into_iter().for_each(|core| net.pause(core));
        // Longer than a lease, shorter than the time after which another core stands for election.
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
    assert!(standings(&net).iter().all(Option::is_none), "acknowledged before all knew");
}

#[test]
fn a_leaving_that_is_said_again_is_answered_where_it_was_acknowledged() {
    // Symptom: a leader has no time left while a fleet's upstreams are exchanged. Sequence: thousands drain for some
    // seconds, and each says so again every 1.2 s. Cause: each time the leader is asked, though all know it.
    let mut net = fleet();
    let core = followers(&net)[0];
    assert_eq!(net.call(core, announce("u", 2, true)), Some(Response::Acknowledged));
    assert!(standings(&net).iter().all(|it| *it == Some(Status::Leaving)));
    net.count_traffic();
    for sequence in 3..6 {
        assert_eq!(net.call(core, announce("u", sequence, true)), Some(Response::Acknowledged));
    }
    let asked = net.traffic(core).sent;
    assert!(asked <= 2, "{asked} frames sent for an answer that is known");
    // What has not been acknowledged here is, as before, only once all know it and the log holds it.
    assert_eq!(net.call(core, withdraw("u")), Some(Response::Acknowledged));
    assert!(standings(&net).iter().all(Option::is_none));
}

#[test]
fn an_edit_is_acknowledged_when_it_is_in_force_at_every_entry_that_answers() {
    // Symptom: callers are refused on a route three seconds after the edit that made it was acknowledged. Sequence:
    // the log holds the edit; the core that passes it on to some entries stands still, or has too much to do.
    // Cause: an acknowledgement of what is only in the log.
    let mut net = fleet();
    let core = followers(&net)[0];
    let leader = net.leaders()[0];
    net.pause(core);
    let mut told = None;
    // Its sender asks again while nobody is sure.
    for _ in 0..4 {
        told = net.call(leader, Request::AdoptRouteTable(Box::new(route_table_with_service(8))));
        if told != Some(Response::Unavailable) {
            break;
        }
    }
    assert_eq!(told, Some(Response::RouteTableAdopted { revision: 8 }));
    assert!(net.entries().all(|view| view.revision() == 8), "acknowledged before it was in force");
}

#[test]
fn an_entry_that_answers_and_takes_no_edit_holds_it_up_for_two_seconds_at_most() {
    // Symptom: no edit is acknowledged any more. Sequence: an entry's reports come through, what it is sent does
    // not. Cause: an acknowledgement that waits for it for ever.
    let mut net = fleet();
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
fn an_announcement_that_was_held_up_is_told_of_by_the_leader() {
    // Symptom: nothing tells an operator that announcements are held up on their way. Sequence: a late one comes to
    // a core that answers what is not new by itself. Cause: an earlier number taken for nothing new.
    let mut net = fleet();
    let core = followers(&net)[0];
    assert_eq!(net.call(core, announce("u", 5, false)), Some(Response::Acknowledged));
    net.run(ROUND);
    net.take_events();
    assert_eq!(net.call(core, announce("u", 1, false)), Some(Response::Acknowledged));
    net.run(SECOND);
    assert!(net.take_events().iter().any(|(_, note)| matches!(note, Event::StaleAnnouncement(_))));
}

#[test]
fn an_upstream_that_was_silent_is_ready_with_the_first_word_of_it() {
    // Symptom: upstreams that are back get nothing for a quarter of a second more. Sequence: one was silent and
    // announces itself at a core that vouches. Cause: its word waits for the core's next report.
    let mut net = fleet();
    let core = followers(&net)[0];
    for sequence in [2, 3] {
        net.run(ROUND * 6);
        assert!(standings(&net).iter().all(|it| *it == Some(Status::Silent)));
        let call = net.start_call(core, announce("u", sequence, false));
        net.run(SECOND / 10);
        assert!(standings(&net).iter().all(|it| *it == Some(Status::Ready)), "{sequence}");
        assert_eq!(net.take_response(call), Some(Response::Acknowledged));
    }
}

#[test]
fn an_upstream_that_drains_for_minutes_is_not_taken_for_gone() {
    // Symptom: the records of upstreams that still drain are dropped. Sequence: one says every 1.2 s for 80 s, at
    // the core that acknowledged it, that it drains. Cause: that core repeats its answer, and the leader hears
    // nothing for over a minute.
    let mut net = fleet();
    let core = followers(&net)[0];
    for sequence in 2..70 {
        assert_eq!(net.call(core, announce("u", sequence, true)), Some(Response::Acknowledged));
        net.run(ROUND);
        assert!(standings(&net).iter().all(|it| *it == Some(Status::Leaving)), "{sequence}");
    }
}

#[test]
fn a_core_that_stood_still_vouches_for_nobody_by_what_it_heard_before() {
    // Symptom: an upstream that has ended stays in use for seconds more. Sequence: it announces itself at a core,
    // which stands still at once, and ends; the core wakes and reports. Cause: the mark of before told as new.
    let mut net = fleet();
    let core = followers(&net)[0];
    net.run(ROUND * 3);
    net.start_call(core, announce("u", 2, false));
    net.pause(core);
    net.run(ROUND * 2);
    net.resume(core);
    net.run(ROUND / 2);
    let silent = standings(&net).iter().filter(|it| **it == Some(Status::Silent)).count();
    assert_eq!(silent, ENTRIES, "heard last five announcements ago");
}
