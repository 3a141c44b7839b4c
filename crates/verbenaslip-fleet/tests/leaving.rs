//! Upstreams that say that they go in an answer to an entry, and to no core.

mod net;

use std::time::Duration;

use net::{Network, announcement, route_table_with_service, run};
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::{Announcement, Status};

const SECOND: Duration = Duration::from_secs(1);

const ENTRIES: usize = 12;

/// Starts five cores, with one upstream that every entry knows.
fn fleet() -> Network {
    let mut net = Network::with_voters(5, ENTRIES, 5);
    net.run(SECOND * 5);
    net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(4))));
    announce(&mut net, announcement("u", 1, false));
    assert_eq!(standings(&net), [Some(Status::Ready); ENTRIES]);
    net
}

fn announce(net: &mut Network, announcement: Announcement) {
    let core = net.leaders()[0];
    let announced = net.call(core, Request::Announce(Box::new(announcement)));
    assert_eq!(announced, Some(Response::Acknowledged));
    net.run(SECOND);
}

/// Returns how each entry takes the upstream to stand.
fn standings(net: &Network) -> Vec<Option<Status>> {
    net.entries().map(|view| view.upstreams.get("u").map(|it| it.status)).collect()
}

#[test]
fn what_one_entry_was_told_all_know_and_later_announcements_do_not_undo_it() {
    // Guards against an upstream that is taken for ready by all entries but the one that it has answered.
    let mut net = fleet();
    net.observe_departure(3, run("u", 0));
    net.run(SECOND);
    assert_eq!(standings(&net), [Some(Status::Leaving); ENTRIES]);
    announce(&mut net, announcement("u", 2, false));
    assert_eq!(standings(&net), [Some(Status::Leaving); ENTRIES]);
}

#[test]
fn it_outlives_the_leader_that_was_told() {
    // Guards against a departure that only the lost leader knew.
    let mut net = fleet();
    net.observe_departure(3, run("u", 0));
    net.run(SECOND);
    let leader = net.leaders()[0];
    net.stop(leader);
    net.run(SECOND * 5);
    announce(&mut net, announcement("u", 2, false));
    assert_eq!(standings(&net), [Some(Status::Leaving); ENTRIES]);
}

#[test]
fn the_word_of_an_earlier_run_takes_out_no_later_one() {
    // Guards against a delayed answer by which the run that follows under the same name is lost.
    let mut net = fleet();
    let mut reborn = announcement("u", 1, false);
    reborn.run = run("u", 7);
    announce(&mut net, reborn);
    net.observe_departure(3, run("u", 0));
    net.run(SECOND);
    assert_eq!(standings(&net), [Some(Status::Ready); ENTRIES]);
}
