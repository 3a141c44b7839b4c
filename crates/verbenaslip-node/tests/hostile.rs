//! Instances that receive messages no healthy peer sends: damaged, forged, absurd or repeated.
//!
//! A process that has the deployment's secret is trusted not to forge votes. Still, no message may
//! stop an instance or fill its memory, and a late, repeated or foreign message changes nothing.

mod world;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_gossip::Frame;
use verbenaslip_node::message::{ProposalAnswer, Query};
use verbenaslip_node::operator::{OperatorCall, Reply};
use verbenaslip_node::{Input, Message};
use verbenaslip_replica::entry::Position;
use verbenaslip_replica::message as log;
use verbenaslip_replica::voter::{Group, Identity};
use verbenaslip_request::message as request;
use verbenaslip_state::command::{Command, Drain};
use verbenaslip_state::watch;
use verbenaslip_table::Revision;

use crate::world::{End, MS, SentMessage, World, upstream};

/// Number of cases with arbitrary bytes, few of which decode to a message.
const ARBITRARY_CASES: u32 = 20_000;
/// Number of cases with damaged messages.
const DAMAGED_CASES: u32 = 2_000;
/// Smallest number of cases that must decode for the test to be meaningful.
const MIN_DECODED: usize = 100;
/// Upper bound on what an instance keeps because of messages from others during such a test.
const MAX_KEPT: usize = 2_000;

fn ready_world(seed: u64) -> World {
    let mut world = World::open(6, 3, seed);
    world.wait_until_ready();
    for sequence in 1..3 {
        renew(&mut world, sequence);
        world.run(MS(1_000));
    }
    world
}

fn renew(world: &mut World, sequence: u64) {
    for number in 0..3 {
        let engine = upstream(&format!("engine-{number}"), Kind::Engine, sequence);
        world.announce((number + sequence as usize) % 3, &engine);
    }
    world.announce(sequence as usize % 3, &upstream("service", Kind::Service, sequence));
}

/// Records the messages of instances while they serve requests, claims and edits.
fn recorded(seed: u64) -> (World, Vec<SentMessage>) {
    let mut world = ready_world(seed);
    world.recording = Some(Vec::new());
    for number in 0..6 {
        world.send_request(number, &format!("chat-{number}"), true);
        world.send_request(number, &format!("order-{number}"), false);
        world.apply(
            number,
            number as u64 + 1,
            &format!("edit-{number}"),
            200 + number as u32,
            MS(0),
        );
        world.run(MS(400));
    }
    renew(&mut world, 3);
    world.run(MS(1_000));
    let recording = world.recording.take().expect("a recording");
    (world, recording)
}

fn test_runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn peer(number: usize) -> Instance {
    Instance::new(format!("entry-{number:03}"))
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7400).into()
}

/// Delivers bytes as a message and as a datagram if they decode.
///
/// Returns how many of the two decoded.
fn deliver_bytes(world: &mut World, to: usize, from: usize, bytes: &[u8]) -> usize {
    let message = postcard::from_bytes::<Message>(bytes).ok();
    let frame = Frame::decode(bytes).map(Box::new);
    let decoded = usize::from(message.is_some()) + usize::from(frame.is_some());
    if let Some(message) = message {
        world.step(to, Input::Peer { from: peer(from), message });
    }
    if let Some(frame) = frame {
        world.step(to, Input::Datagram { from: address(from), frame });
    }
    decoded
}

/// Checks that messages of others did not make any instance keep more than the bound.
fn assert_bounded(world: &mut World) {
    for number in 0..world.instances.len() {
        let call = world.call(number, OperatorCall::Status);
        let Some(Reply::Status(status)) = world.replies.get(&call) else { panic!("no status") };
        let work = &status.work;
        let kept = [work.owned, work.copies, work.finished, work.claims, work.proposals];
        assert!(kept.iter().all(|count| *count < MAX_KEPT), "{number}: {work:?}");
        let known = status.peers.len() + status.upstreams.len();
        assert!(known < MAX_KEPT, "{number}: knows {known}");
    }
}

/// Checks that the deployment still serves requests and edits under the same leader.
fn assert_undisturbed(world: &mut World, leader: Option<usize>, case: &str) {
    assert_eq!(world.leader(), leader, "{case}: the leader's lease");
    let ready =
        |instance: &world::TestInstance| instance.node.as_ref().is_some_and(|node| node.is_ready());
    assert!(world.instances.iter().all(ready), "{case}: all take callers");
    let base = world.instances[0].node.as_ref().map_or(0, |node| node.revision().0);
    let edit = world.apply(4, base, &format!("after-{base}"), 500 + base as u32, MS(6_000));
    let call = world.send_request(5, &format!("after-{base}"), false);
    let limit = Duration::from_secs(6);
    world.run_until(limit, case, |world| world.accepted_revision(edit).is_some());
    assert_eq!(
        world.accepted_revision(edit),
        Some((base + 1, true)),
        "{case}: an edit is accepted"
    );
    world.run_until(limit, case, |world| world.ended.contains_key(&call));
    assert_eq!(world.ended[&call].0, End::Completed, "{case}: a request is answered");
}

#[test]
fn arbitrary_bytes_stop_no_instance() {
    // Failure: one unusual message ends a process. Arbitrary bytes decode to a message, and a
    // number or length in it is trusted.
    let (world, decoded) = (RefCell::new(ready_world(1)), Cell::new(0));
    world.borrow_mut().check_invariants = false;
    let small = || vec(proptest::prop_oneof![0_u8..12, any::<u8>()], 0..160);
    let case = (0_usize..6, 0_usize..8, small());
    let outcome = test_runner(ARBITRARY_CASES).run(&case, |(to, from, bytes)| {
        let found = deliver_bytes(&mut world.borrow_mut(), to, from, &bytes);
        decoded.set(decoded.get() + found);
        if found > 0 {
            world.borrow_mut().run(MS(2));
        }
        Ok(())
    });
    outcome.expect("no panic");
    println!("{} decoded", decoded.get());
    assert!(decoded.get() >= MIN_DECODED, "only {} decoded", decoded.get());
    assert_bounded(&mut world.borrow_mut());
}

#[test]
fn damaged_messages_stop_no_instance() {
    // Failure and cause are the same as for arbitrary bytes. Recorded messages are delivered with
    // some bytes changed, from any instance to any other.
    let (mut world, recording) = recorded(2);
    world.check_invariants = false;
    let bytes: Vec<Vec<u8>> = recording.iter().map(|sent| encoded(&sent.input)).collect();
    let (world, decoded) = (RefCell::new(world), Cell::new(0));
    let damage = vec((any::<proptest::sample::Index>(), extreme_bytes()), 1..4);
    let which = any::<proptest::sample::Index>();
    let case = (which, damage, 0_usize..6, 0_usize..8);
    let outcome = test_runner(DAMAGED_CASES).run(&case, |(which, damage, to, from)| {
        let mut bytes = which.get(&bytes).clone();
        for (at, value) in damage {
            let at = at.index(bytes.len());
            bytes.splice(at..=at, value);
        }
        let found = deliver_bytes(&mut world.borrow_mut(), to, from, &bytes);
        decoded.set(decoded.get() + found);
        if found > 0 {
            world.borrow_mut().run(MS(2));
        }
        Ok(())
    });
    outcome.expect("no panic");
    println!("{} decoded", decoded.get());
    assert!(decoded.get() >= MIN_DECODED, "only {} decoded", decoded.get());
    world.borrow_mut().run(MS(2_000));
    assert_bounded(&mut world.borrow_mut());
}

/// Generates the replacement of one byte: another byte, the longest integer, or nothing.
fn extreme_bytes() -> impl Strategy<Value = Vec<u8>> {
    let mut longest = vec![0xff; 9];
    longest.push(0x01);
    proptest::prop_oneof![
        any::<u8>().prop_map(|byte| vec![byte]),
        (0_u8..4).prop_map(|byte| vec![byte]),
        proptest::strategy::Just(longest),
        proptest::strategy::Just(Vec::new()),
    ]
}

fn encoded(input: &Input) -> Vec<u8> {
    match input {
        Input::Peer { message, .. } => postcard::to_stdvec(message).expect("it can be written"),
        Input::Datagram { frame, .. } => frame.encode().expect("it fits"),
        _ => Vec::new(),
    }
}

#[test]
fn repeated_and_reordered_messages_change_nothing() {
    // Failure: an order runs twice, or a table returns to an older revision. All recorded messages
    // arrive again in any order, some of them several times, and are treated as new.
    for seed in 0..4 {
        let (mut world, mut recording) = recorded(10 + seed);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        recording.shuffle(&mut rng);
        let (leader, revision) = (world.leader(), revisions(&world));
        let runs = world.upstreams.recorded_runs.len();
        for (number, SentMessage { to, input }) in recording.into_iter().enumerate() {
            for _ in 0..rng.random_range(1..4) {
                world.step(to, input.clone());
            }
            if number % 20 == 0 {
                world.run(MS(2));
            }
            if number % 4_000 == 0 {
                renew(&mut world, 10 + number as u64);
            }
        }
        renew(&mut world, 100_000);
        world.run(MS(2_000));
        renew(&mut world, 100_001);
        assert_eq!(revisions(&world), revision, "seed {seed}");
        assert_eq!(world.upstreams.recorded_runs.len(), runs, "seed {seed}: nothing ran again");
        assert_undisturbed(&mut world, leader, &format!("seed {seed}"));
        assert_bounded(&mut world);
    }
}

fn revisions(world: &World) -> Vec<u64> {
    let revision =
        |instance: &world::TestInstance| instance.node.as_ref().map_or(0, |it| it.revision().0);
    world.instances.iter().map(revision).collect()
}

fn wrap(group: Option<Group>, term: u64, body: log::Body) -> Message {
    let sender = Identity(u128::MAX);
    Message::Log(log::Message { group, sender, target: None, term, body })
}

fn absurd_messages() -> Vec<(&'static str, Message)> {
    let last = Position { term: u64::MAX, index: u64::MAX };
    let append = |entries| log::Body::Append {
        previous: last,
        entries,
        commit_index: u64::MAX,
        round: u64::MAX,
    };
    let reserve = request::Reserve {
        request: Request(u128::MAX),
        digest: u128::MAX,
        boot: u64::MAX,
        epoch: u16::MAX,
        remaining: Duration::MAX,
    };
    let note = request::Progress {
        request: Request(7),
        epoch: u16::MAX,
        sequence: u32::MAX,
        live: None,
        number: u32::MAX,
        ran: true,
        crashes: u8::MAX,
        complete: true,
        lineage: u64::MAX,
        outcome: None,
    };
    let operator = || Operator::from("mallory");
    let drain = |at| Command::Drain(Drain { by: operator(), instance: peer(0), at });
    let nothing = Revision(u64::MAX);
    vec![
        (
            "a vote of no group",
            wrap(None, u64::MAX, log::Body::Vote { last_position: last, transfer: true }),
        ),
        ("a vote of another group", {
            let body = log::Body::Vote { last_position: last, transfer: true };
            wrap(Some(Group(3)), u64::MAX, body)
        }),
        ("a pre-vote", wrap(Some(Group(3)), u64::MAX, log::Body::PreVote { last_position: last })),
        ("a heartbeat", wrap(Some(Group(3)), u64::MAX, append(Vec::new()))),
        ("a heartbeat of no group", wrap(None, u64::MAX, append(Vec::new()))),
        ("a call to campaign", wrap(Some(Group(3)), u64::MAX, log::Body::Campaign)),
        ("an end of time", Message::Propose { token: u64::MAX, command: drain(u64::MAX).into() }),
        ("a start of time", Message::Propose { token: 0, command: drain(0).into() }),
        (
            "an unasked answer",
            Message::ProposalResult { token: u64::MAX, answer: ProposalAnswer::Unknown },
        ),
        (
            "an unasked change",
            Message::ProposalResult { token: 1, answer: ProposalAnswer::Changed },
        ),
        (
            "an unasked leader",
            Message::QueryResult { token: 1, answer: None, leader: Some(peer(9)) },
        ),
        ("a far revision", Message::Query { token: 1, query: Query::Propagation(nothing) }),
        ("a far audit", Message::Query { token: 1, query: Query::Audit { since: u64::MAX } }),
        ("a far part", {
            let fetch = watch::message::Fetch { revision: nothing, part: u32::MAX };
            Message::Watch(watch::Message::Fetch(fetch))
        }),
        ("a far offer", {
            let offer = watch::message::Offer { revision: nothing, bytes: u32::MAX, digest: 0 };
            Message::Watch(watch::Message::Offer(offer))
        }),
        ("an unasked part", {
            let part = watch::message::Part { revision: nothing, part: 0, bytes: vec![0; 1 << 20] };
            Message::Watch(watch::Message::Part(part))
        }),
        ("no changes", Message::Watch(watch::Message::Changes(Vec::new()))),
        ("an endless reservation", Message::Request(request::Message::Reserve(reserve))),
        ("a note of nothing", Message::Request(request::Message::Note(note.clone()))),
        ("a handover of nothing", Message::Request(request::Message::HandOver(note))),
        ("a drop of nothing", {
            let request = Request(9);
            Message::Request(request::Message::Drop { request, epoch: u16::MAX, key: true })
        }),
        ("a drain", Message::Drain { operator: operator() }),
    ]
}

#[test]
fn absurd_messages_disturb_nobody() {
    // Failure: a process of another deployment, or a peer with corrupted memory, stops elections,
    // edits or requests. Each absurd message is sent to all instances by a stranger, a follower and
    // a voter, and the largest term, index, revision, epoch or duration is trusted.
    for (what, message) in absurd_messages() {
        let mut world = ready_world(30);
        let leader = world.leader();
        for from in [9, 4, 1] {
            for to in (0..6).filter(|to| *to != from) {
                let message = message.clone();
                world.step(to, Input::Peer { from: peer(from), message });
            }
            world.run(MS(300));
        }
        assert_undisturbed(&mut world, leader, what);
        assert_bounded(&mut world);
    }
}

#[test]
fn a_flood_of_reservations_fills_no_memory() {
    // Failure: an instance grows until it is killed. A peer reserves one key after another without
    // end, and the number of entries kept for others is not bounded.
    let mut world = ready_world(40);
    let leader = world.leader();
    let limit = world.instances[2].setup.limits.reservations;
    world.recording = Some(Vec::new());
    for number in 0..limit as u128 + 1_000 {
        let reserve = request::Reserve {
            request: Request(number),
            digest: 1,
            boot: 1,
            epoch: 0,
            remaining: Duration::MAX,
        };
        let message = Message::Request(request::Message::Reserve(reserve));
        world.step(2, Input::Peer { from: peer(4), message });
    }
    let full = |sent: &&SentMessage| {
        use request::KeyStatus::Full;
        let Input::Peer { message: Message::Request(message), .. } = &sent.input else {
            return false;
        };
        matches!(message, request::Message::Reserved { found: Full, .. })
    };
    let recording = world.recording.take().expect("a recording");
    assert!(recording.iter().filter(full).count() >= 1_000, "what is beyond the bound is not kept");
    world.run(MS(500));
    assert_undisturbed(&mut world, leader, "flood");
    assert_bounded(&mut world);
}
