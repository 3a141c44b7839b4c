//! Upstreams that announce their departure only in an answer to an entry.

mod net;

use std::time::Duration;

use net::{Network, announcement, route_table_with_service, run};
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::{Announcement, Status};

const SECOND: Duration = Duration::from_secs(1);

const ENTRIES: usize = 12;

/// Starts five cores and one upstream that every entry knows.
fn fleet() -> Network {
    let mut net = Network::with_voters(5, ENTRIES, 5);
    net.run(SECOND * 5);
    net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(4))));
    announce(&mut net, announcement("u", 1, false));
    assert_eq!(statuses(&net), [Some(Status::Ready); ENTRIES]);
    net
}

fn announce(net: &mut Network, announcement: Announcement) {
    let core = net.leaders()[0];
    let announced = net.call(core, Request::Announce(Box::new(announcement)));
    assert_eq!(announced, Some(Response::Acknowledged));
    net.run(SECOND);
}

/// Returns the status of the upstream at each entry.
fn statuses(net: &Network) -> Vec<Option<Status>> {
    net.entries().map(|view| view.upstreams.get("u").map(|it| it.status)).collect()
}

#[test]
fn a_departure_observed_by_one_entry_reaches_all_and_is_final() {
    // Guards against an upstream that all entries consider ready except the one that received the
    // answer.
    let mut net = fleet();
    net.observe_departure(3, run("u", 0));
    net.run(SECOND);
    assert_eq!(statuses(&net), [Some(Status::Leaving); ENTRIES]);
    announce(&mut net, announcement("u", 2, false));
    assert_eq!(statuses(&net), [Some(Status::Leaving); ENTRIES]);
}

#[test]
fn an_observed_departure_survives_the_loss_of_the_leader() {
    // Guards against a departure that only the lost leader knew.
    let mut net = fleet();
    net.observe_departure(3, run("u", 0));
    net.run(SECOND);
    let leader = net.leaders()[0];
    net.stop(leader);
    net.run(SECOND * 5);
    announce(&mut net, announcement("u", 2, false));
    assert_eq!(statuses(&net), [Some(Status::Leaving); ENTRIES]);
}

#[test]
fn the_departure_of_an_earlier_run_does_not_end_a_later_one() {
    // Guards against a delayed answer that ends the next run under the same name.
    let mut net = fleet();
    let mut next_run = announcement("u", 1, false);
    next_run.run = run("u", 7);
    announce(&mut net, next_run);
    net.observe_departure(3, run("u", 0));
    net.run(SECOND);
    assert_eq!(statuses(&net), [Some(Status::Ready); ENTRIES]);
}
