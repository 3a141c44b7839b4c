//! Rollout orders at any core, and the durability of their state.

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

fn start_rollout(version: &str, seconds: u64) -> Request {
    Request::StartRollout(order(version, seconds))
}

fn read_rollout(net: &mut Network, core: usize) -> Option<Rollout> {
    match net.call(core, Request::ReadRollout("pool".into())) {
        Some(Response::Rollout(rollout)) => rollout,
        other => panic!("not the state of a rollout: {other:?}"),
    }
}

fn start_fleet(cores: usize, entries: usize, voters: usize) -> Network {
    let mut net = Network::with_voters(cores, entries, voters);
    net.run(SECOND * 6);
    assert!(net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(1)))).is_some());
    net
}

#[test]
fn any_core_acknowledges_an_order_and_its_repetition() {
    let mut net = start_fleet(3, 2, 3);
    assert_eq!(read_rollout(&mut net, 1), None);
    for core in [0, 1, 2, 0] {
        assert_eq!(net.call(core, start_rollout("v2", 20)), Some(Response::Acknowledged));
    }
    let rollout = read_rollout(&mut net, 2).expect("the rollout was ordered");
    assert_eq!((rollout.id, rollout.state, &*rollout.order.version), (1, State::Serving, "v2"));
    assert_eq!(net.call(1, start_rollout("v3", 20)), Some(Response::Conflict("v2".into())));
    let unknown = Order { service: "none".into(), ..order("v2", 20) };
    let unknown = net.call(1, Request::StartRollout(unknown));
    assert_eq!(unknown, Some(Response::UnknownService("none".into())));
}

#[test]
fn an_order_survives_lost_disks_and_a_power_loss() {
    for (cores, voters, lost) in [(3, 3, 1), (6, 5, 2)] {
        let mut net = start_fleet(cores, 2, voters);
        net.run(SECOND * 3);
        assert_eq!(net.call(1, start_rollout("v2", 60)), Some(Response::Acknowledged));
        for core in 0..cores {
            if core < lost { net.restart_with_empty_disk(core) } else { net.restart(core) }
        }
        net.run(SECOND * 10);
        let rollout = read_rollout(&mut net, 0).expect("the order was acknowledged");
        assert_eq!((&*rollout.order.version, rollout.state), ("v2", State::Serving));
    }
}

#[test]
fn a_verdict_is_final_under_a_later_leader_and_known_to_all_entries() {
    let mut net = start_fleet(3, 2, 3);
    assert_eq!(net.call(0, start_rollout("v2", 1)), Some(Response::Acknowledged));
    net.run(SECOND * 4);
    // No upstream of the candidate has registered.
    assert_eq!(read_rollout(&mut net, 0).map(|it| it.state), Some(State::RolledBack));
    let leader = net.leaders()[0];
    net.stop(leader);
    net.run(SECOND * 5);
    let other = (leader + 1) % 3;
    assert_eq!(read_rollout(&mut net, other).map(|it| it.state), Some(State::RolledBack));
    for view in net.entries() {
        assert_eq!(view.rollout_plans["pool"].cohort(&"u".into(), "v2"), Cohort::Rejected);
        assert_eq!(view.rollout_plans["pool"].cohort(&"u".into(), "v1"), Cohort::Stable);
    }
    let decided = net.take_events().into_iter();
    let decided = decided.filter(|(_, note)| matches!(note, Event::RolloutDecided { .. }));
    assert_eq!(decided.count(), 1);
}

#[test]
fn entries_know_an_order_before_its_candidates_register() {
    let mut net = start_fleet(3, 3, 3);
    assert_eq!(net.call(0, start_rollout("v2", 30)), Some(Response::Acknowledged));
    for view in net.entries() {
        assert!(
            view.rollout_plans.contains_key("pool"),
            "an acknowledged order is known to all entries"
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
fn an_order_resent_after_its_verdict_starts_no_rollout() {
    let mut replicated = ReplicatedState::default();
    let apply_order = |replicated: &mut ReplicatedState, unix| {
        replicated.apply(Command::StartRollout { order: order("v2", 10), unix });
    };
    apply_order(&mut replicated, 1_000);
    replicated.apply(Command::DecideRollout { id: 1, state: State::RolledBack, unix: 9_000 });
    replicated.apply(Command::DecideRollout { id: 1, state: State::Completed, unix: 9_001 });
    apply_order(&mut replicated, 12_000);
    let rollout = replicated.rollouts().get("pool").expect("the rollout is recorded");
    assert_eq!((rollout.id, rollout.state), (1, State::RolledBack), "the first verdict stays");
    assert!(replicated.rollouts().rejected("pool").contains("v2"));
    assert_eq!(replicated.rollouts().admission(&order("v3", 10), 12_000), Admission::New);
    // Much later, an operator orders the same version again.
    apply_order(&mut replicated, 60_000);
    let rollout = replicated.rollouts().get("pool").expect("the rollout is recorded");
    assert_eq!((rollout.id, rollout.state), (2, State::Serving));
    assert!(!replicated.rollouts().rejected("pool").contains("v2"));
    let restored =
        ReplicatedState::restore(&replicated.snapshot()).expect("the snapshot can be decoded");
    assert_eq!(restored, replicated);
}

#[test]
fn duplicate_stale_and_restarted_reports_are_counted_once() {
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
