//! Events with which an upstream's departure can be traced.

mod net;

use std::time::Duration;

use net::{Network, announcement, route_table, run, withdraw};
use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::Status;
use verbenaslip_fleet::transition::Transition;

const SECOND: Duration = Duration::from_secs(1);

/// Starts a fleet that knows one upstream.
fn fleet() -> Network {
    let mut net = Network::new(3, 2);
    net.run(SECOND * 4);
    net.call(0, Request::AdoptRouteTable(Box::new(route_table(4))));
    net.call(0, Request::Announce(Box::new(announcement("u", 7, false))));
    net.run(SECOND);
    net.take_events();
    net
}

#[test]
fn a_departure_event_counts_the_instances_that_knew_it() {
    let mut net = fleet();
    assert_eq!(net.call(0, withdraw("u")), Some(Response::Acknowledged));
    let events = net.take_events();
    let found = events.iter().find_map(|(_, event)| match event {
        Event::DepartureAcknowledged { departure, acks, .. } => Some((departure.clone(), *acks)),
        _ => None,
    });
    let (departure, acks) = found.expect("an event about the departure");
    assert_eq!((departure.run, departure.status), (run("u", 0), Status::Gone));
    // The subscribers are two entries and two followers.
    assert_eq!((acks.acknowledged, acks.reachable, acks.silent), (4, 4, 0));
}

#[test]
fn a_new_leader_reports_its_state_and_ignored_announcements() {
    let mut net = fleet();
    net.call(0, withdraw("u"));
    let old = net.leaders()[0];
    net.disconnect_core(old);
    net.run(SECOND * 3);
    let new = *net.leaders().iter().find(|core| **core != old).expect("another core leads");
    net.call(new, Request::Announce(Box::new(announcement("u", 9, false))));
    let events = net.take_events();
    let has_started = events.iter().any(|(core, event)| {
        *core == new
            && matches!(event, Event::LeadershipStarted { departures: 1, upstreams: 0, .. })
    });
    assert!(has_started, "{events:?}");
    let stale = events.iter().find_map(|(core, event)| match event {
        Event::StaleAnnouncement(stale) if *core == new => Some(stale.clone()),
        _ => None,
    });
    let stale = stale.expect("an event about the stale announcement");
    assert_eq!((stale.run, stale.sequence), (run("u", 0), 9));
    assert!(matches!(stale.departed, Some((Status::Gone, age)) if age > SECOND));
}

fn transitions(net: &mut Network) -> Vec<Transition> {
    net.entry_mut(0).take_transitions().changed
}

fn transition(standing: Option<Status>) -> Transition {
    Transition { upstream: "u".into(), standing }
}

#[test]
fn an_entry_lists_upstreams_whose_status_changed() {
    let mut net = fleet();
    assert_eq!(transitions(&mut net), [transition(Some(Status::Ready))]);
    net.call(0, Request::Announce(Box::new(announcement("u", 8, true))));
    assert_eq!(transitions(&mut net), [transition(Some(Status::Leaving))]);
    net.call(0, withdraw("u"));
    assert_eq!(transitions(&mut net), [transition(None)]);
}
