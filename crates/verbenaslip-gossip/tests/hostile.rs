//! Tests with datagrams that no correct instance would send.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use support::{Network, address, announcement, s};
use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_gossip::{
    Age, Body, ContentHash, Delta, DeltaEntry, ForwardedAnnouncement, Frame, FreshnessMark, Gossip,
    Handle, Input, Key, MAX_FRAME_BYTES, MemberStatus, Output, Peer, Renewal, State, Updates,
};

/// Maximum number of datagrams that an instance may send in response to one.
const MAX_ANSWERS: usize = 24;

/// Delivers a frame to an instance and checks the datagrams that it sends.
fn deliver(gossip: &mut Gossip, now: Duration, frame: Frame) {
    let mut outputs = Vec::new();
    let frame = Box::new(frame);
    gossip.step(now, Input::Received { from: address(1), frame }, &mut outputs);
    let mut sent = 0;
    for output in &outputs {
        let Output::Send { frame, .. } = output else { continue };
        assert!(frame.encode().is_some(), "longer than {MAX_FRAME_BYTES} bytes");
        sent += 1;
    }
    assert!(sent <= MAX_ANSWERS, "{sent} answers");
}

#[test]
fn random_bytes_do_no_harm() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut net = Network::region(1, 3, 3);
    net.run(s(4));
    let now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("the instance runs");
    let mut decoded = 0;
    for _ in 0..200_000 {
        let length = rng.random_range(0..80);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if let Some(kind) = bytes.get_mut(4) {
            *kind %= 12;
        }
        if let Some(frame) = Frame::decode(&bytes) {
            decoded += 1;
            deliver(gossip, now, frame);
        }
    }
    assert!(decoded > 500, "only {decoded} were frames");
}

#[test]
fn damaged_frames_do_no_harm() {
    // Guards against crashes and unbounded memory when numbers in frames are not checked. Thousands
    // of recorded frames arrive, each with a few bytes changed.
    let mut net = Network::region(2, 9, 3);
    net.add_upstreams(40, 3, "r0");
    net.run(s(6));
    let frames: Vec<Vec<u8>> = (1..9)
        .flat_map(|index| net.record_sent(index, s(1)))
        .filter_map(|datagram| datagram.frame.encode())
        .collect();
    let mut rng = Pcg64::seed_from_u64(2);
    let mut now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("the instance runs");
    let mut decoded = 0;
    for bytes in frames.iter().cycle().take(20_000) {
        let mut bytes = bytes.clone();
        for _ in 0..rng.random_range(1..4) {
            let position = rng.random_range(0..bytes.len());
            bytes[position] = if rng.random_bool(0.5) { u8::MAX } else { rng.random() };
        }
        now += Duration::from_micros(300);
        if let Some(frame) = Frame::decode(&bytes) {
            decoded += 1;
            deliver(gossip, now, frame);
        }
    }
    assert!(decoded > 2_000, "only {decoded} were frames");
    assert!(gossip.members().count() <= 4_096);
    assert!(gossip.records().count() <= 8_192);
}

fn peer(index: u32) -> Peer {
    Peer {
        instance: Instance::new(format!("x{index}")),
        zone: AvailabilityZone::new(format!("z{}", index % 50)),
        region: Region::new(if index.is_multiple_of(2) {
            "r0".into()
        } else {
            format!("r{index}")
        }),
        address: address(1),
        incarnation: 1,
    }
}

#[test]
fn invented_members_are_capped() {
    let mut net = Network::region(3, 1, 1);
    let now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("the instance runs");
    for batch in 0..300 {
        let statuses = (batch * 20..batch * 20 + 20).map(|index| MemberStatus {
            peer: peer(index * 2),
            refutations: 0,
            state: State::Alive,
        });
        let updates = Updates { members: statuses.collect(), ..Updates::default() };
        deliver(gossip, now, Frame { from: Handle([1; 4]), body: Body::Updates(updates) });
    }
    assert_eq!(gossip.members().count(), 4_096);
    for batch in 0..100 {
        let body = Body::Join(MemberStatus {
            peer: peer(batch * 2 + 1),
            refutations: u32::MAX,
            state: State::Alive,
        });
        deliver(gossip, now, Frame { from: Handle([1; 4]), body });
    }
    assert!(gossip.members().count() <= 4_096);
}

#[test]
fn extreme_numbers_do_no_harm() {
    let mut net = Network::region(4, 3, 3);
    net.run(s(4));
    let from = net.nodes[1].peer.handle();
    let own = net.nodes[0].peer.clone();
    let now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("the instance runs");
    let max = u32::MAX;
    let key = Key([0; 6]);
    let entry = DeltaEntry { key, content_hash: Some(ContentHash([0; 3])), version_offset: max };
    let delta =
        |base, version| Delta { voucher: from, base, version, latest: max, entries: vec![entry] };
    let mark = FreshnessMark { voucher: from, sequence: max, version: max, age: Age(0) };
    let mut announced = announcement("u", "z0");
    announced.incarnation = u64::MAX;
    announced.sequence = u64::MAX;
    announced.load.age = max;
    let forwarded =
        ForwardedAnnouncement { announcement: announced, age: Age(255), load_age_ms: max };
    let status = |state| MemberStatus { peer: own.clone(), refutations: max, state };
    let bodies = [
        Body::Updates(Updates { deltas: vec![delta(0, max), delta(max, 0)], ..Updates::default() }),
        Body::Updates(Updates { marks: vec![mark], ..Updates::default() }),
        Body::Updates(Updates { announcements: vec![forwarded], ..Updates::default() }),
        Body::Join(status(State::Dead)),
        Body::Join(status(State::Left)),
        Body::Renewals(vec![Renewal {
            key,
            content_hash: ContentHash([0; 3]),
            sequence: u64::MAX,
            age: Age(0),
        }]),
        Body::Ping { target: own.handle(), probe: max },
        Body::IndirectPing { target: from, probe: max },
        Body::Ack { probe: max },
    ];
    for body in bodies {
        for _ in 0..100 {
            deliver(gossip, now, Frame { from, body: body.clone() });
        }
    }
    net.run(s(30));
    assert!(net.gossip(0).records().count() <= 1);
}
