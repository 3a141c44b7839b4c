//! Membership through faults.

mod support;

use std::time::Duration;

use support::{FAIR, LOSSY, Letter, Net, Weather, ms, s};
use verbenaslip_base::hash;
use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_gossip::{Input, MemberEvent, State};

/// Returns how many pairs of running instances do not believe each other alive.
fn disagreements(net: &Net) -> usize {
    let running: Vec<usize> = net.running().map(|(index, _)| index).collect();
    let pairs = running.iter().flat_map(|at| running.iter().map(move |of| (*at, *of)));
    pairs.filter(|(at, of)| at != of && net.state(*at, *of) != Some(State::Alive)).count()
}

/// Counts events of one kind at all instances.
fn events(net: &Net, wanted: impl Fn(&MemberEvent) -> bool) -> usize {
    net.nodes.iter().flat_map(|node| &node.members).filter(|(_, event)| wanted(event)).count()
}

#[test]
fn instances_join_through_seeds() {
    for (count, zones) in [(1, 1), (2, 1), (3, 3), (9, 3), (40, 3)] {
        for weather in [FAIR, LOSSY] {
            let mut net = Net::region(1, count, zones);
            net.weather = weather;
            net.run(s(8));
            assert_eq!(disagreements(&net), 0, "{count} instances");
        }
    }
}

#[test]
fn calm_has_no_events() {
    let mut net = Net::region(3, 9, 3);
    net.weather = LOSSY;
    net.run(s(8));
    for node in &mut net.nodes {
        node.members.clear();
    }
    net.run(s(120));
    let lost = events(&net, |event| matches!(event, MemberEvent::Lost(_)));
    assert_eq!(lost, 0);
    assert!(net.nodes.iter().all(|node| node.isolations.is_empty()));
}

/// One fault at an instance, and what the others believe of it afterwards.
struct Case {
    name: &'static str,
    fault: fn(&mut Net),
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
        name: "frozen for three seconds",
        fault: |net| net.freeze(4, s(3)),
        after: s(8),
        expected: Some(State::Alive),
    },
    Case {
        name: "frozen for a minute",
        fault: |net| net.freeze(4, s(60)),
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
        name: "hears nobody for half a minute",
        fault: |net| {
            net.cuts = (0..9).map(|from| (from, 4)).collect();
            net.run(s(30));
            net.cuts.clear();
        },
        after: s(12),
        expected: Some(State::Alive),
    },
    Case {
        name: "is heard by nobody for half a minute",
        fault: |net| {
            net.cuts = (0..9).map(|to| (4, to)).collect();
            net.run(s(30));
            net.cuts.clear();
        },
        after: s(12),
        expected: Some(State::Alive),
    },
    Case {
        name: "cut off for an hour",
        fault: |net| {
            net.isolate(&[4]);
            net.run(s(3_600));
            net.cuts.clear();
        },
        after: s(12),
        expected: Some(State::Alive),
    },
    Case {
        name: "one path cut both ways",
        fault: |net| {
            net.cuts = [(4, 0), (0, 4), (4, 1), (1, 4)].into();
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
fn others_learn_what_became_of_an_instance() {
    // Symptom: a dead instance keeps its duties, or a healthy one loses them. Sequence: the fault
    // at instance 4, then time for everybody to learn of it. Cause: a probe unanswered, a farewell
    // lost, a suspicion not refuted.
    for case in CASES {
        let mut net = Net::region(7, 9, 3);
        net.weather = LOSSY;
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
    // Symptom: an instance that was cut off comes back with everybody declared dead. Sequence: all
    // its paths are cut, in one or both directions, for long. Cause: silence of all others is the
    // silence of its own links.
    type Cut = fn(usize) -> Vec<(usize, usize)>;
    let cases: [(&str, Cut); 3] = [
        ("both ways", |count| (1..count).flat_map(|other| [(0, other), (other, 0)]).collect()),
        ("outgoing", |count| (1..count).map(|other| (0, other)).collect()),
        ("incoming", |count| (1..count).map(|other| (other, 0)).collect()),
    ];
    for (name, cut) in cases {
        for count in [3, 9, 40] {
            let mut net = Net::region(5, count, 3);
            net.weather = LOSSY;
            net.run(s(8));
            net.cuts = cut(count).into_iter().collect();
            net.run(s(60));
            assert!(net.gossip(0).isolated(), "{name}, {count}");
            let lost = |(_, event): &&_| matches!(event, MemberEvent::Lost(_));
            let lost = net.nodes[0].members.iter().filter(lost).count();
            assert_eq!(lost, 0, "{name}, {count}");
            let others = (1..count).filter(|other| net.gossip(*other).isolated()).count();
            assert_eq!(others, 0, "{name}, {count}: others doubt themselves");
            net.cuts.clear();
            net.run(s(12));
            assert!(!net.gossip(0).isolated(), "{name}, {count} after");
            assert_eq!(disagreements(&net), 0, "{name}, {count} after");
        }
    }
}

#[test]
fn a_lost_zone_is_one_event() {
    // Symptom: the loss of an availability zone looks like many unrelated deaths. Sequence: all of
    // its instances die at once, and come back later. Cause: one event of the platform.
    let mut net = Net::region(11, 40, 3);
    net.weather = LOSSY;
    net.run(s(8));
    let zone: Vec<usize> = (0..40).filter(|index| index % 3 == 1).collect();
    for index in &zone {
        net.kill(*index);
    }
    net.run(s(15));
    let name = AvailabilityZone::from("z1");
    for (index, gossip) in net.running() {
        let told = |event: &MemberEvent| *event == MemberEvent::ZoneLost(name.clone());
        let told = net.nodes[index].members.iter().filter(|(_, event)| told(event)).count();
        assert_eq!(told, 1, "instance {index}");
        assert!(!gossip.isolated(), "instance {index} doubts itself");
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
fn a_zone_cut_off_for_long_comes_back() {
    let mut net = Net::region(13, 9, 3);
    net.weather = LOSSY;
    net.run(s(8));
    let zone: Vec<usize> = (0..9).filter(|index| index % 3 == 2).collect();
    net.isolate(&zone);
    net.run(s(900));
    for index in &zone {
        assert!(net.gossip(*index).isolated(), "the minority {index} doubts itself");
    }
    assert!(!net.gossip(0).isolated(), "the majority goes on");
    net.cuts.clear();
    net.run(s(15));
    assert_eq!(disagreements(&net), 0);
}

#[test]
fn halves_of_two_zones_go_on_and_come_back() {
    // Symptom: after a cut between two availability zones each goes on as if the other were gone.
    // Sequence: the cut lasts until each half holds the other dead; the seeds may be gone for good.
    // Cause: nobody talks to the dead.
    for seeds_live in [true, false] {
        let mut net = Net::region(17, 40, 2);
        net.weather = LOSSY;
        net.run(s(8));
        for seed in (0..3).filter(|_| !seeds_live) {
            net.kill(seed);
        }
        net.run(s(10));
        let zone: Vec<usize> = (0..40).filter(|index| index % 2 == 0).collect();
        net.isolate(&zone);
        net.run(s(180));
        assert!(net.running().all(|(_, gossip)| !gossip.isolated()), "each half works on");
        net.cuts.clear();
        net.run(s(25));
        assert_eq!(disagreements(&net), 0, "seeds live: {seeds_live}");
    }
}

#[test]
fn stale_rumors_revive_nobody() {
    // Symptom: a dead instance is alive again at some. Sequence: it dies; datagrams from before,
    // recorded from the wire, arrive much later. Cause: a rumor that is older than what is held.
    let mut net = Net::region(19, 9, 3);
    net.run(s(8));
    let before = net.step(4, Input::Stop);
    drop(before);
    net.kill(4);
    net.run(s(3));
    let mut old = Net::region(19, 9, 3);
    old.run(s(8));
    let recorded = old.record(4, s(2));
    for _ in 0..3 {
        for Letter { to, from, frame } in recorded.clone() {
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
    // Symptom: two processes run under one name. Sequence: an instance freezes, the platform starts
    // it again elsewhere, the first one wakes. Cause: the old one does not know of the new one.
    let mut net = Net::region(23, 3, 3);
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
    assert!(net.nodes[2].members.iter().any(|(_, event)| *event == replaced));
}

#[test]
fn ranks_agree_and_move_little() {
    let mut net = Net::region(29, 12, 3);
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
fn a_frozen_instance_accuses_nobody() {
    // Symptom: an instance wakes from a freeze and declares others dead. Sequence: it freezes right
    // after a probe, and in the middle of a suspicion. Cause: its clock jumped, not their answers.
    for freeze in [2, 6, 30, 600] {
        let mut net = Net::region(31, 3, 3);
        net.run(s(6));
        net.freeze(1, s(freeze));
        net.run(s(freeze) + s(8));
        let lost = |(_, event): &&_| matches!(event, MemberEvent::Lost(_));
        let lost = net.nodes[1].members.iter().filter(lost).count();
        assert_eq!(lost, 0, "{freeze} s");
        assert_eq!(disagreements(&net), 0, "{freeze} s");
    }
}

#[test]
fn regions_hear_of_each_other() {
    // Symptom: a region that lost another for minutes believes it dead, or never again alive.
    // Sequence: two regions are cut, both change meanwhile, the cut heals. Cause: only a region's
    // own instances may declare its members dead.
    let mut net = Net::open(37);
    for region in ["r0", "r1", "r2"] {
        for index in 0..6 {
            net.add(&format!("{region}z{}", index % 2), region);
        }
    }
    net.weather = Weather { fastest: 20, slowest: 60, ..LOSSY };
    net.run(s(25));
    assert_eq!(disagreements(&net), 0);
    net.isolate(&[6, 7, 8, 9, 10, 11]);
    net.run(s(120));
    for at in 0..6 {
        assert_eq!(net.state(at, 7), Some(State::Alive), "nobody of r1 is declared dead at {at}");
        let silent = |event: &MemberEvent| matches!(event, MemberEvent::RegionUnreachable(_));
        assert!(net.nodes[at].members.iter().any(|(_, event)| silent(event)), "at {at}");
    }
    net.kill(8);
    net.restart(9);
    net.run(s(60));
    net.cuts.clear();
    net.run(s(30));
    for at in 0..6 {
        assert_eq!(net.state(at, 8), Some(State::Dead), "at {at}");
        let back = |event: &MemberEvent| matches!(event, MemberEvent::RegionRecovered(_));
        assert!(net.nodes[at].members.iter().any(|(_, event)| back(event)), "at {at}");
    }
    assert_eq!(disagreements(&net), 0);
}

#[test]
fn only_its_own_region_declares_an_instance_dead() {
    // Symptom: an instance is dead for another region and alive in its own. Sequence: its region
    // suspects it, tells another region so, and is cut off before it refutes. Cause: a verdict by
    // those who can't probe it.
    let mut net = Net::open(43);
    for region in ["r0", "r1"] {
        for index in 0..6 {
            net.add(&format!("{region}z{}", index % 2), region);
        }
    }
    net.run(s(20));
    net.freeze(9, s(9));
    for _ in 0..160 {
        net.run(ms(50));
        if net.state(0, 9) == Some(State::Suspect) {
            break;
        }
    }
    assert_eq!(net.state(0, 9), Some(State::Suspect), "the other region was told");
    net.isolate(&[6, 7, 8, 9, 10, 11]);
    net.run(s(60));
    assert_eq!(net.state(0, 9), Some(State::Suspect));
    net.cuts.clear();
    net.run(s(40));
    assert_eq!(disagreements(&net), 0);
}
