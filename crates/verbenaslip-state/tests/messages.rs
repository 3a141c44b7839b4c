//! Messages about the table and its leases from faulty or delayed peers.

mod net;

use std::time::Duration;

use net::weight;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use verbenaslip_base::name::Instance;
use verbenaslip_state::lease::Nonce;
use verbenaslip_state::watch::message::{Fetch, Granted, Offer, Part, Refusal, Renew, Step};
use verbenaslip_state::watch::{Hub, Input, Message, Output, Peer};
use verbenaslip_table::{Revision, Table};

fn runner() -> TestRunner {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Generates numbers near the limits, where arithmetic overflows.
fn boundary_number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, Just(u64::MAX), Just(u64::MAX - 1), any::<u64>()]
}

fn revision() -> impl Strategy<Value = Revision> {
    boundary_number().prop_map(Revision)
}

fn nonce() -> impl Strategy<Value = Nonce> {
    (0..2_u64, prop_oneof![0..9_u32, Just(u32::MAX)])
        .prop_map(|(boot, count)| Nonce { boot, count })
}

fn name() -> impl Strategy<Value = Instance> {
    "[abcz]".prop_map(|name| Instance::new(name.as_str()))
}

fn message() -> impl Strategy<Value = Message> {
    let names = || proptest::collection::vec(name(), 0..9);
    let small = prop_oneof![0..3_u32, Just(u32::MAX)];
    let step = (revision(), 0..1_100_u32).prop_map(|(revision, number)| Step {
        revision,
        changes: [weight("check", number)].into(),
    });
    prop_oneof![
        (nonce(), revision(), revision())
            .prop_map(|(nonce, applied, floor)| Message::Renew(Renew { nonce, applied, floor })),
        (nonce(), revision(), any::<u32>(), names()).prop_map(
            |(nonce, revision, duration_ms, path)| Message::Granted(Granted {
                nonce,
                revision,
                duration_ms,
                path
            })
        ),
        (nonce(), names()).prop_map(|(nonce, others)| Message::Away(Refusal { nonce, others })),
        proptest::collection::vec(step, 0..4).prop_map(Message::Changes),
        (revision(), small.clone())
            .prop_map(|(revision, part)| Message::Fetch(Fetch { revision, part })),
        (revision(), any::<u32>(), any::<u128>()).prop_map(|(revision, bytes, digest)| {
            Message::Offer(Offer { revision, bytes, digest })
        }),
        (revision(), small, proptest::collection::vec(any::<u8>(), 0..9))
            .prop_map(|(revision, part, bytes)| Message::Part(Part { revision, part, bytes })),
    ]
}

/// The sender, the message, and the milliseconds since the previous message.
type Arrival = (Instance, Message, u64);

/// Guards against a panic of the control thread, and against a lease without an end: arithmetic on
/// values from a peer may overflow, and no peer can be trusted.
#[test]
fn no_messages_make_the_hub_panic() {
    let steps = proptest::collection::vec((name(), message(), 0..2_000_u64), 1..60);
    let check = |(leads, steps): (bool, Vec<Arrival>)| {
        let mut hub = Hub::new("z".into(), "arendal".into(), 1);
        let peer =
            |name: &str| Peer { instance: name.into(), zone: "skarvik".into(), voter: name == "a" };
        let peers = ["a", "b", "c", "z"].map(peer).to_vec();
        let mut now = Duration::from_secs(50);
        let mut out = Vec::new();
        hub.step(now, Input::Peers(peers), &mut out);
        if leads {
            hub.step(now, Input::Leading(Some(now + Duration::from_secs(9))), &mut out);
        }
        for (from, message, wait) in steps {
            let before = hub.revision();
            now += Duration::from_millis(wait);
            hub.step(now, Input::Receive { from, message }, &mut out);
            prop_assert!(hub.revision() >= before);
            if !leads {
                let max = now + Duration::from_secs(4);
                prop_assert!(hub.lease().is_none_or(|until| until <= max));
            }
            let sent = out.drain(..).filter(|output| matches!(output, Output::Send { .. })).count();
            prop_assert!(sent < 16, "{sent} messages sent for one received");
        }
        Ok(())
    };
    runner().run(&(any::<bool>(), steps), check).expect("the hub handles any messages");
}

#[test]
fn no_bytes_make_decoding_panic() {
    let random_bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let corrupted =
        (message(), any::<prop::sample::Index>(), any::<u8>()).prop_map(|(message, at, byte)| {
            let mut bytes = postcard::to_stdvec(&message).expect("message is encoded");
            let at = at.index(bytes.len());
            bytes[at] = byte;
            bytes
        });
    let check = |bytes: Vec<u8>| {
        let _ = postcard::from_bytes::<Message>(&bytes);
        let _ = postcard::from_bytes::<Table>(&bytes);
        let _ = postcard::from_bytes::<verbenaslip_state::Command>(&bytes);
        Ok(())
    };
    runner()
        .run(&prop_oneof![random_bytes, corrupted], check)
        .expect("any bytes are decoded or refused");
}

const NOW: Duration = Duration::from_secs(50);

/// Starts instance z, which follows a; returns its hub and the nonce of its first request.
fn following() -> (Hub, Nonce) {
    let mut hub = Hub::new("z".into(), "arendal".into(), 7);
    let peer =
        |name: &str| Peer { instance: name.into(), zone: "arendal".into(), voter: name == "a" };
    let mut out = Vec::new();
    hub.step(NOW, Input::Peers(["a", "b", "c", "z"].map(peer).to_vec()), &mut out);
    match out.as_slice() {
        [Output::Send { to, message: Message::Renew(renew) }] if to.as_str() == "a" => {
            (hub, renew.nonce)
        }
        other => panic!("asked for something else: {other:?}"),
    }
}

fn receive(hub: &mut Hub, now: Duration, from: &str, message: Message) -> Vec<Output> {
    let mut out = Vec::new();
    hub.step(now, Input::Receive { from: from.into(), message }, &mut out);
    out
}

fn granted(nonce: Nonce, revision: u64, path: &[&str]) -> Message {
    let path = path.iter().map(|name| (*name).into()).collect();
    Message::Granted(Granted { nonce, revision: Revision(revision), duration_ms: 4_000, path })
}

/// Guards against two instances that renew each other's lease after all others are lost: an
/// instance loses its publisher and asks one of its own followers. The path of a lease prevents it.
#[test]
fn a_lease_is_not_passed_back_to_where_it_came_from() {
    let (mut hub, nonce) = following();
    receive(&mut hub, NOW, "a", granted(nonce, 0, &["c", "a"]));
    assert!(hub.ready(NOW));
    let ask = |boot| {
        let (applied, floor) = (Revision(0), Revision(0));
        Message::Renew(Renew { nonce: Nonce { boot, count: 1 }, applied, floor })
    };
    let now = NOW + Duration::from_millis(1_500);
    for (from, grants) in [("a", false), ("c", false), ("b", true)] {
        let out = receive(&mut hub, now, from, ask(3));
        let answer = out.iter().find_map(|output| match output {
            Output::Send { to, message: Message::Granted(granted) } if to.as_str() == from => {
                Some(granted)
            }
            _ => None,
        });
        assert_eq!(answer.is_some(), grants, "{from}");
        if let Some(granted) = answer {
            assert_eq!(granted.duration_ms, 2_500, "the rest of its own lease");
        }
    }
}

/// Guards against an instance that accepts work without a valid lease: a grant is duplicated,
/// answers an earlier process lifetime, precedes the revision that it names, or arrives after it
/// expired.
#[test]
fn only_requested_and_unexpired_grants_count() {
    let (mut hub, nonce) = following();
    let earlier = Nonce { boot: 6, ..nonce };
    receive(&mut hub, NOW, "a", granted(earlier, 0, &["a"]));
    assert!(!hub.ready(NOW), "a grant to an earlier process lifetime");

    receive(&mut hub, NOW, "a", granted(nonce, 1, &["a"]));
    assert!(!hub.ready(NOW), "a grant of a revision that is not applied yet");
    let step = Step { revision: Revision(1), changes: [weight("check", 1)].into() };
    receive(&mut hub, NOW, "a", Message::Changes(vec![step]));
    assert!(hub.ready(NOW));
    let end = NOW + Duration::from_secs(4);
    let late = end - Duration::from_millis(1);
    receive(&mut hub, late, "a", granted(nonce, 1, &["a"]));
    assert!(hub.ready(late));
    assert!(!hub.ready(end), "a duplicate grant does not extend the lease");
}

/// Guards against an accepted edit that is reverted by a snapshot of an older revision, from a
/// voter's disk or from a lagging publisher.
#[test]
fn revisions_never_fall() {
    let mut hub = Hub::new("a".into(), "arendal".into(), 7);
    let mut out = Vec::new();
    let table = std::sync::Arc::<Table>::default();
    for revision in [5, 3, 5, 4, 6] {
        let table = table.clone();
        hub.step(NOW, Input::Restored { revision: Revision(revision), table }, &mut out);
    }
    for revision in [2, 6, 5, 7] {
        let (table, changes) = (table.clone(), [].into());
        let input = Input::Committed { revision: Revision(revision), changes, table };
        hub.step(NOW, input, &mut out);
    }
    let revisions = out.iter().filter_map(|output| match output {
        Output::Table { revision, .. } => Some(revision.0),
        Output::Send { .. } => None,
    });
    assert_eq!(revisions.collect::<Vec<_>>(), [5, 6, 7]);
    assert_eq!(hub.revision(), Revision(7));
}
