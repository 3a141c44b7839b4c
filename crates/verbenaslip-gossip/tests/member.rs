//! Tests of membership under faults.

mod support;

use std::time::Duration;

use support::{LOSSY, LinkConditions, Network, RELIABLE, SentDatagram, ms, s};
use verbenaslip_base::hash;
use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_gossip::{Input, MemberEvent, State};

/// Returns the number of ordered pairs of running instances whose first does not see the second
/// alive.
fn disagreements(net: &Network) -> usize {
    let running: Vec<usize> = net.running().map(|(index, _)| index).collect();
    let pairs = running.iter().flat_map(|at| running.iter().map(move |of| (*at, *of)));
    pairs.filter(|(at, of)| at != of && net.state(*at, *of) != Some(State::Alive)).count()
}

/// Counts the matching events at all instances.
fn events(net: &Network, wanted: impl Fn(&MemberEvent) -> bool) -> usize {
    net.nodes.iter().flat_map(|node| &node.member_events).filter(|(_, event)| wanted(event)).count()
}

#[test]
fn instances_join_through_seeds() {
    for (count, zones) in [(1, 1), (2, 1), (3, 3), (9, 3), (40, 3)] {
        for conditions in [RELIABLE, LOSSY] {
            let mut net = Network::region(1, count, zones);
            net.conditions = conditions;
            net.run(s(8));
            assert_eq!(disagreements(&net), 0, "{count} instances");
        }
    }
}

#[test]
fn a_region_without_faults_loses_no_member() {
    let mut net = Network::region(3, 9, 3);
    net.conditions = LOSSY;
    net.run(s(8));
    for node in &mut net.nodes {
        node.member_events.clear();
    }
    net.run(s(120));
    let lost = events(&net, |event| matches!(event, MemberEvent::Lost(_)));
    assert_eq!(lost, 0);
    assert!(net.nodes.iter().all(|node| node.isolation_events.is_empty()));
}

/// Fault at one instance and the state in which the others must see it afterwards.
struct Case {
    name: &'static str,
    fault: fn(&mut Network),
    after: Duration,
    expected: Option<State>,
}

const CASES: [Case; 12] = [
    Case { name: "killed", fault: |net| net.kill(4), after: s(14), expected: Some(State::Dead) },
    Case {
        name: "restarted at once",
        fault: |net| net.restart(4),
        after: s(6),
        expected: Some(State::Alive),
    },
    Case {
        name: "paused for three seconds",
        fault: |net| net.pause(4, s(3)),
        after: s(8),
        expected: Some(State::Alive),
    },
    Case {
        name: "paused for a minute",
        fault: |net| net.pause(4, s(60)),
        after: s(75),
        expected: Some(State::Alive),
    },
    Case {
        name: "left",
        fault: |net| {
            net.step(4, Input::Stop);
            net.kill(4);
        },
        after: s(3),
        expected: Some(State::Left),
    },
    Case {
        name: "draining",
        fault: |net| {
            net.step(4, Input::Leave);
        },
        after: s(20),
        expected: Some(State::Leaving),
    },
    Case {
        name: "died while draining",
        fault: |net| {
            net.step(4, Input::Leave);
            net.run(s(2));
            net.kill(4);
        },
        after: s(14),
        expected: Some(State::Left),
    },
    Case {
        name: "receives nothing for half a minute",
        fault: |net| {
            net.blocked_links = (0..9).map(|from| (from, 4)).collect();
            net.run(s(30));
            net.blocked_links.clear();
        },
        after: s(12),
        expected: Some(State::Alive),
    },
    Case {
        name: "sends nothing for half a minute",
        fault: |net| {
            net.blocked_links = (0..9).map(|to| (4, to)).collect();
            net.run(s(30));
            net.blocked_links.clear();
        },
        after: s(12),
        expected: Some(State::Alive),
    },
    Case {
        name: "isolated for an hour",
        fault: |net| {
            net.isolate(&[4]);
            net.run(s(3_600));
            net.blocked_links.clear();
        },
        after: s(12),
        expected: Some(State::Alive),
    },
    Case {
        name: "two links blocked in both directions",
        fault: |net| {
            net.blocked_links = [(4, 0), (0, 4), (4, 1), (1, 4)].into();
            net.run(s(20));
        },
        after: s(1),
        expected: Some(State::Alive),
    },
    Case {
        name: "restarted four times in a row",
        fault: |net| {
            for _ in 0..4 {
                net.restart(4);
                net.run(ms(700));
            }
        },
        after: s(6),
        expected: Some(State::Alive),
    },
];

#[test]
fn others_agree_on_the_state_of_a_faulty_instance() {
    // Guards against a dead instance that keeps its duties or a healthy one that loses them,
    // because a probe is unanswered, a farewell is lost or a suspicion is not refuted. The fault
    // happens at instance 4, and all others get time to learn of it.
    for case in CASES {
        let mut net = Network::region(7, 9, 3);
        net.conditions = LOSSY;
        net.run(s(8));
        (case.fault)(&mut net);
        net.run(case.after);
        for at in (0..9).filter(|at| *at != 4) {
            assert_eq!(net.state(at, 4), case.expected, "{} at {at}", case.name);
            for of in (0..9).filter(|of| *of != 4 && *of != at) {
                assert_eq!(net.state(at, of), Some(State::Alive), "{}: {of} at {at}", case.name);
            }
        }
        let alone = net.nodes[4].gossip.is_some() && case.expected == Some(State::Alive);
        assert!(!alone || disagreements(&net) == 0, "{}: instance 4 disagrees", case.name);
    }
}

#[test]
fn an_isolated_instance_declares_nobody_dead() {
    // Guards against an instance that declares all others dead after it was cut off. All its links
    // are blocked for a long time, in one or both directions. It must attribute the silence to its
    // own links.
    type Cut = fn(usize) -> Vec<(usize, usize)>;
    let cases: [(&str, Cut); 3] = [
        ("both ways", |count| (1..count).flat_map(|other| [(0, other), (other, 0)]).collect()),
        ("outgoing", |count| (1..count).map(|other| (0, other)).collect()),
        ("incoming", |count| (1..count).map(|other| (other, 0)).collect()),
    ];
    for (name, cut) in cases {
        for count in [3, 9, 40] {
            let mut net = Network::region(5, count, 3);
            net.conditions = LOSSY;
            net.run(s(8));
            net.blocked_links = cut(count).into_iter().collect();
            net.run(s(60));
            assert!(net.gossip(0).isolated(), "{name}, {count}");
            let lost = |(_, event): &&_| matches!(event, MemberEvent::Lost(_));
            let lost = net.nodes[0].member_events.iter().filter(lost).count();
            assert_eq!(lost, 0, "{name}, {count}");
            let others = (1..count).filter(|other| net.gossip(*other).isolated()).count();
            assert_eq!(others, 0, "{name}, {count}: others count as isolated");
            net.blocked_links.clear();
            net.run(s(12));
            assert!(!net.gossip(0).isolated(), "{name}, {count} after");
            assert_eq!(disagreements(&net), 0, "{name}, {count} after");
        }
    }
}

#[test]
fn a_lost_zone_is_one_event() {
    // Guards against the loss of an availability zone being reported as unrelated deaths. All of
    // its instances die at once, as in one event of the platform, and are restarted later.
    let mut net = Network::region(11, 40, 3);
    net.conditions = LOSSY;
    net.run(s(8));
    let zone: Vec<usize> = (0..40).filter(|index| index % 3 == 1).collect();
    for index in &zone {
        net.kill(*index);
    }
    net.run(s(15));
    let name = AvailabilityZone::from("z1");
    for (index, gossip) in net.running() {
        let is_zone_loss = |event: &MemberEvent| *event == MemberEvent::ZoneLost(name.clone());
        let zone_losses =
            net.nodes[index].member_events.iter().filter(|(_, event)| is_zone_loss(event)).count();
        assert_eq!(zone_losses, 1, "instance {index}");
        assert!(!gossip.isolated(), "instance {index} counts as isolated");
        assert_eq!(gossip.alive_in(&name).count(), 0);
    }
    for index in &zone {
        net.restart(*index);
    }
    net.run(s(10));
    assert_eq!(disagreements(&net), 0);
    let back = events(&net, |event| *event == MemberEvent::ZoneRecovered(name.clone()));
    assert_eq!(back, 40 - zone.len());
}

#[test]
fn a_zone_rejoins_after_a_long_partition() {
    let mut net = Network::region(13, 9, 3);
    net.conditions = LOSSY;
    net.run(s(8));
    let zone: Vec<usize> = (0..9).filter(|index| index % 3 == 2).collect();
    net.isolate(&zone);
    net.run(s(900));
    for index in &zone {
        assert!(
            net.gossip(*index).isolated(),
            "instance {index} of the minority does not count as isolated"
        );
    }
    assert!(!net.gossip(0).isolated(), "the majority counts as isolated");
    net.blocked_links.clear();
    net.run(s(15));
    assert_eq!(disagreements(&net), 0);
}

#[test]
fn two_partitioned_zones_rejoin() {
    // Guards against two partitioned availability zones that stay separate after the partition,
    // because no instance contacts dead ones. The partition lasts until each half considers the
    // other dead, and the seeds may be gone for good.
    for seeds_live in [true, false] {
        let mut net = Network::region(17, 40, 2);
        net.conditions = LOSSY;
        net.run(s(8));
        for seed in (0..3).filter(|_| !seeds_live) {
            net.kill(seed);
        }
        net.run(s(10));
        let zone: Vec<usize> = (0..40).filter(|index| index % 2 == 0).collect();
        net.isolate(&zone);
        net.run(s(180));
        assert!(net.running().all(|(_, gossip)| !gossip.isolated()), "a half counts as isolated");
        net.blocked_links.clear();
        net.run(s(25));
        assert_eq!(disagreements(&net), 0, "seeds live: {seeds_live}");
    }
}

#[test]
fn replayed_datagrams_revive_no_instance() {
    // Guards against a dead instance that becomes alive again because a status older than the
    // stored one is accepted. Datagrams recorded before its death are replayed much later.
    let mut net = Network::region(19, 9, 3);
    net.run(s(8));
    let before = net.step(4, Input::Stop);
    drop(before);
    net.kill(4);
    net.run(s(3));
    let mut old = Network::region(19, 9, 3);
    old.run(s(8));
    let recorded = old.record_sent(4, s(2));
    for _ in 0..3 {
        for SentDatagram { to, from, frame } in recorded.clone() {
            net.step(to, Input::Received { from, frame });
        }
        net.run(s(2));
    }
    for at in (0..9).filter(|at| *at != 4) {
        assert_eq!(net.state(at, 4), Some(State::Left));
    }
}

#[test]
fn a_replaced_incarnation_is_told_to_stop() {
    // Guards against two processes under one name. An instance is paused, the platform starts it
    // again elsewhere, and the old process resumes without knowing of the new one.
    let mut net = Network::region(23, 3, 3);
    net.run(s(5));
    net.kill(2);
    net.nodes[2].peer.incarnation = 7;
    net.start(2);
    net.run(s(5));
    net.kill(2);
    net.nodes[2].peer.incarnation = 1;
    net.start(2);
    net.run(s(3));
    let replaced = MemberEvent::Replaced { incarnation: 7 };
    assert!(net.nodes[2].member_events.iter().any(|(_, event)| *event == replaced));
}

#[test]
fn homes_agree_and_move_little() {
    let mut net = Network::region(29, 12, 3);
    net.run(s(8));
    let keys: Vec<u128> = (0..600u64).map(|key| hash::wide(&[&key.to_le_bytes()])).collect();
    let before: Vec<_> = keys.iter().map(|key| net.gossip(0).homes(*key)).collect();
    for (at, gossip) in net.running() {
        for (key, homes) in keys.iter().zip(&before) {
            assert_eq!(gossip.homes(*key), *homes, "at {at}");
        }
    }
    let zone = |name: &verbenaslip_base::name::Instance| {
        net.nodes.iter().find(|node| node.peer.instance == *name).map(|node| &node.peer.zone)
    };
    for homes in &before {
        let names: Vec<_> = homes.iter().collect();
        assert_ne!(zone(names[0]), zone(names[1]));
    }
    let gone = net.nodes[5].peer.instance.clone();
    net.kill(5);
    net.run(s(12));
    for (key, homes) in keys.iter().zip(&before) {
        let after = net.gossip(0).homes(*key);
        let mut kept = homes.iter().filter(|name| **name != gone);
        assert!(kept.all(|name| after.iter().any(|it| it == name)), "a home moved");
        assert!(after.iter().all(|name| *name != gone));
    }
    let mut counts = std::collections::BTreeMap::new();
    for name in before.iter().flat_map(|homes| homes.iter()) {
        *counts.entry(name.clone()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| (60..=150).contains(count)), "{counts:?}");
}

#[test]
fn a_paused_instance_declares_nobody_dead() {
    // Guards against an instance that declares others dead after a pause, although only its own
    // clock has jumped. It is paused right after a probe, and during a suspicion.
    for pause in [2, 6, 30, 600] {
        let mut net = Network::region(31, 3, 3);
        net.run(s(6));
        net.pause(1, s(pause));
        net.run(s(pause) + s(8));
        let lost = |(_, event): &&_| matches!(event, MemberEvent::Lost(_));
        let lost = net.nodes[1].member_events.iter().filter(lost).count();
        assert_eq!(lost, 0, "{pause} s");
        assert_eq!(disagreements(&net), 0, "{pause} s");
    }
}

#[test]
fn regions_recover_from_a_partition() {
    // Guards against a region that considers another one dead during a partition, or never alive
    // again after it. Both regions change during the partition. Only a region's own instances may
    // declare its members dead.
    let mut net = Network::new(37);
    for region in ["r0", "r1", "r2"] {
        for index in 0..6 {
            net.add(&format!("{region}z{}", index % 2), region);
        }
    }
    net.conditions = LinkConditions { min_delay_ms: 20, max_delay_ms: 60, ..LOSSY };
    net.run(s(25));
    assert_eq!(disagreements(&net), 0);
    net.isolate(&[6, 7, 8, 9, 10, 11]);
    net.run(s(120));
    for at in 0..6 {
        assert_eq!(net.state(at, 7), Some(State::Alive), "a member of r1 is declared dead at {at}");
        let silent = |event: &MemberEvent| matches!(event, MemberEvent::RegionUnreachable(_));
        assert!(net.nodes[at].member_events.iter().any(|(_, event)| silent(event)), "at {at}");
    }
    net.kill(8);
    net.restart(9);
    net.run(s(60));
    net.blocked_links.clear();
    net.run(s(30));
    for at in 0..6 {
        assert_eq!(net.state(at, 8), Some(State::Dead), "at {at}");
        let back = |event: &MemberEvent| matches!(event, MemberEvent::RegionRecovered(_));
        assert!(net.nodes[at].member_events.iter().any(|(_, event)| back(event)), "at {at}");
    }
    assert_eq!(disagreements(&net), 0);
}

#[test]
fn only_its_own_region_declares_an_instance_dead() {
    // Guards against an instance that is dead in another region and alive in its own, because
    // instances that cannot probe it have declared it dead. Its region suspects it, tells another
    // region, and is partitioned from that region before the instance refutes the suspicion.
    let mut net = Network::new(43);
    for region in ["r0", "r1"] {
        for index in 0..6 {
            net.add(&format!("{region}z{}", index % 2), region);
        }
    }
    net.run(s(20));
    net.pause(9, s(9));
    for _ in 0..160 {
        net.run(ms(50));
        if net.state(0, 9) == Some(State::Suspect) {
            break;
        }
    }
    assert_eq!(
        net.state(0, 9),
        Some(State::Suspect),
        "the other region has not received the suspicion"
    );
    net.isolate(&[6, 7, 8, 9, 10, 11]);
    net.run(s(60));
    assert_eq!(net.state(0, 9), Some(State::Suspect));
    net.blocked_links.clear();
    net.run(s(40));
    assert_eq!(disagreements(&net), 0);
}
