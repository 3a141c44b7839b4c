//! Tests of the order in which a core handles incoming messages.

use std::time::Duration;

use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_fleet::frame::{Frame, Request, Response};
use verbenaslip_instance::control::Call;
use verbenaslip_instance::priority_inbox::PriorityInbox;
use verbenaslip_replica::entry::Position;
use verbenaslip_replica::message::{Body, Message};
use verbenaslip_replica::voter::Identity;

const REPORTS: u64 = 500;

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().build().expect("a runtime")
}

fn report(token: u64) -> Frame {
    Frame::Response { token, response: Response::Acknowledged }
}

fn vote() -> Frame {
    let body = Body::Vote { last_position: Position::default(), transfer: false };
    let message = Message { group: None, sender: Identity(1), target: None, term: 4, body };
    Frame::Log { from: Instance::new("core"), message: Box::new(message) }
}

#[test]
fn a_vote_overtakes_reports_that_arrived_before_it() {
    // Guards against a vote that waits behind reports for longer than its sender waits for the answer. After a power
    // loss of all cores, hundreds of entries ask each core who leads; if votes queued behind their reports, elections
    // would fail again and again, and no core would lead for seconds.
    let runtime = runtime();
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut queue = PriorityInbox::open(receiver);
    (0..REPORTS).for_each(|token| sender.send(report(token)).expect("the channel is open"));
    runtime.block_on(queue.next()).expect("a report");
    sender.send(vote()).expect("the channel is open");
    let next = runtime.block_on(queue.next());
    assert!(matches!(next, Some(Frame::Log { .. })), "{next:?}");
    for expected in 1..REPORTS {
        let next = runtime.block_on(queue.next());
        let Some(Frame::Response { token, .. }) = next else { panic!("{next:?}") };
        assert_eq!(token, expected, "normal messages keep their order");
    }
    drop(sender);
    assert!(runtime.block_on(queue.next()).is_none());
}

#[test]
fn edits_and_departures_overtake_announcements() {
    // Guards against calls that are answered strictly in the order of their arrival. When thousands of upstreams call
    // a core that has just become reachable, an operator's edit would time out at its sender, and a departure would
    // be acknowledged only after seconds, while renewals are answered.
    let runtime = runtime();
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut queue = PriorityInbox::open(receiver);
    let call = |id, request| Call { id, request, received_at: Duration::ZERO };
    let renewal = |id| call(id, Request::Announce(Box::new(announcement(false))));
    (0..REPORTS).for_each(|id| sender.send(renewal(id)).expect("the channel is open"));
    let departure = Request::Withdraw { upstream: Upstream::new("u"), incarnation: None };
    let urgent =
        [Request::ReadRouteTable, Request::Announce(Box::new(announcement(true))), departure];
    for (id, request) in (REPORTS..).zip(urgent) {
        sender.send(call(id, request)).expect("the channel is open");
    }
    let ids: Vec<u64> =
        (0..4).map(|_| runtime.block_on(queue.next()).expect("a call").id).collect();
    assert_eq!(ids, [REPORTS, REPORTS + 1, REPORTS + 2, 0]);
}

fn announcement(draining: bool) -> verbenaslip_fleet::registry::Announcement {
    verbenaslip_fleet::registry::Announcement {
        run: verbenaslip_fleet::registry::Run { upstream: Upstream::new("u"), incarnation: 0 },
        service: "pool".into(),
        address: ([10, 9, 0, 1], 80).into(),
        zone: verbenaslip_base::name::AvailabilityZone::new("north"),
        version: "v1".into(),
        slots: 4,
        draining,
        warmup_left: std::time::Duration::ZERO,
        reclaimable: false,
        leaves_in: None,
        sequence: 1,
    }
}

#[test]
fn a_call_is_stale_once_its_sender_has_given_up() {
    // Guards against an overloaded core that answers every call too late.
    let call =
        Call { id: 1, request: Request::ReadRouteTable, received_at: Duration::from_secs(5) };
    assert!(!call.is_stale(Duration::from_millis(5_900)));
    assert!(call.is_stale(Duration::from_millis(6_100)));
}
