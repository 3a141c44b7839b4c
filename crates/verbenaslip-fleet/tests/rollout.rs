//! Orders of roll-outs at any core, and that their state survives what a route table survives.

mod net;

use std::sync::Arc;
use std::time::Duration;

use net::{Network, announcement, route_table_with_service};
use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::Announcement;
use verbenaslip_fleet::replicated_state::{Command, ReplicatedState};
use verbenaslip_fleet::rollout::report::{Counts, Group, Report, Totals};
use verbenaslip_fleet::rollout::{Admission, Cohort, Order, Rollout, State};

const SECOND: Duration = Duration::from_secs(1);

fn order(version: &str, seconds: u64) -> Order {
    let duration = Duration::from_secs(seconds);
    Order { service: "pool".into(), version: version.into(), time_limit: duration }
}

fn start(version: &str, seconds: u64) -> Request {
    Request::StartRollout(order(version, seconds))
}

fn read(net: &mut Network, core: usize) -> Option<Rollout> {
    match net.call(core, Request::ReadRollout("pool".into())) {
        Some(Response::Rollout(rollout)) => rollout,
        other => panic!("no state of a roll-out: {other:?}"),
    }
}

fn founded(cores: usize, entries: usize, voters: usize) -> Network {
    let mut net = Network::with_voters(cores, entries, voters);
    net.run(SECOND * 6);
    assert!(net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(1)))).is_some());
    net
}

#[test]
fn an_order_is_acknowledged_at_any_core_and_again() {
    let mut net = founded(3, 2, 3);
    assert_eq!(read(&mut net, 1), None);
    for core in [0, 1, 2, 0] {
        assert_eq!(net.call(core, start("v2", 20)), Some(Response::Acknowledged));
    }
    let rollout = read(&mut net, 2).expect("it was ordered");
    assert_eq!((rollout.id, rollout.state, &*rollout.order.version), (1, State::Serving, "v2"));
    assert_eq!(net.call(1, start("v3", 20)), Some(Response::Conflict("v2".into())));
    let unknown = Order { service: "none".into(), ..order("v2", 20) };
    let unknown = net.call(1, Request::StartRollout(unknown));
    assert_eq!(unknown, Some(Response::UnknownService("none".into())));
}

#[test]
fn an_order_survives_lost_disks_while_all_others_lose_power() {
    for (cores, voters, lost) in [(3, 3, 1), (6, 5, 2)] {
        let mut net = founded(cores, 2, voters);
        net.run(SECOND * 3);
        assert_eq!(net.call(1, start("v2", 60)), Some(Response::Acknowledged));
        for core in 0..cores {
            if core < lost { net.restart_with_empty_disk(core) } else { net.restart(core) }
        }
        net.run(SECOND * 10);
        let rollout = read(&mut net, 0).expect("it was acknowledged");
        assert_eq!((&*rollout.order.version, rollout.state), ("v2", State::Serving));
    }
}

#[test]
fn a_verdict_is_final_under_a_later_leader_and_known_to_all_entries() {
    let mut net = founded(3, 2, 3);
    assert_eq!(net.call(0, start("v2", 1)), Some(Response::Acknowledged));
    net.run(SECOND * 4);
    // No upstream of the candidate ever came.
    assert_eq!(read(&mut net, 0).map(|it| it.state), Some(State::RolledBack));
    let leader = net.leaders()[0];
    net.stop(leader);
    net.run(SECOND * 5);
    let other = (leader + 1) % 3;
    assert_eq!(read(&mut net, other).map(|it| it.state), Some(State::RolledBack));
    for view in net.entries() {
        assert_eq!(view.rollout_plans["pool"].cohort(&"u".into(), "v2"), Cohort::Rejected);
        assert_eq!(view.rollout_plans["pool"].cohort(&"u".into(), "v1"), Cohort::Stable);
    }
    let decided = net.take_events().into_iter();
    let decided = decided.filter(|(_, note)| matches!(note, Event::RolloutDecided { .. }));
    assert_eq!(decided.count(), 1);
}

#[test]
fn entries_know_of_an_order_before_its_candidates_come() {
    let mut net = founded(3, 3, 3);
    assert_eq!(net.call(0, start("v2", 30)), Some(Response::Acknowledged));
    for view in net.entries() {
        assert!(
            view.rollout_plans.contains_key("pool"),
            "it is acknowledged as known to all entries"
        );
    }
    let candidate = Announcement {
        address: ([10, 9, 0, 2], 80).into(),
        version: "v2".into(),
        ..announcement("c", 1, false)
    };
    net.call(1, Request::Announce(Box::new(announcement("u", 1, false))));
    net.call(2, Request::Announce(Box::new(candidate)));
    net.run(SECOND);
    for view in net.entries() {
        let plan = &view.rollout_plans["pool"];
        assert_eq!(plan.cohort(&"u".into(), "v1"), Cohort::Stable);
        assert_eq!(plan.cohort(&"c".into(), "v2"), Cohort::Canary);
    }
}

#[test]
fn an_order_that_is_resent_after_its_verdict_begins_nothing_new() {
    let mut ledger = ReplicatedState::default();
    let apply = |ledger: &mut ReplicatedState, unix| {
        ledger.apply(Command::StartRollout { order: order("v2", 10), unix });
    };
    apply(&mut ledger, 1_000);
    ledger.apply(Command::DecideRollout { id: 1, state: State::RolledBack, unix: 9_000 });
    ledger.apply(Command::DecideRollout { id: 1, state: State::Completed, unix: 9_001 });
    apply(&mut ledger, 12_000);
    let rollout = ledger.rollouts().get("pool").expect("it is there");
    assert_eq!((rollout.id, rollout.state), (1, State::RolledBack), "the first verdict stays");
    assert!(ledger.rollouts().rejected("pool").contains("v2"));
    assert_eq!(ledger.rollouts().admission(&order("v3", 10), 12_000), Admission::New);
    // Much later an operator tries the same version again.
    apply(&mut ledger, 60_000);
    let rollout = ledger.rollouts().get("pool").expect("it is there");
    assert_eq!((rollout.id, rollout.state), (2, State::Serving));
    assert!(!ledger.rollouts().rejected("pool").contains("v2"));
    let restored = ReplicatedState::restore(&ledger.snapshot()).expect("it can be read");
    assert_eq!(restored, ledger);
}

#[test]
fn reports_that_are_doubled_late_or_from_a_restarted_entry_are_counted_once() {
    let report = |sent: u64| {
        let counts = Counts { sent, ended: sent, ..Counts::default() };
        let rows = vec![((Arc::from("r"), Group::Candidate), counts)];
        Report { id: 1, step: 0, stable_active: 0, halted: false, rows }
    };
    let entry = ([10, 2, 0, 1], 7_000).into();
    let mut totals = Totals::default();
    for (incarnation, number, sent) in [(1, 1, 5), (1, 3, 9), (1, 2, 7), (1, 3, 9), (2, 1, 2)] {
        totals.add_report(entry, incarnation, number, &report(sent));
    }
    assert_eq!(totals.exposure(), (11, 11));
}
