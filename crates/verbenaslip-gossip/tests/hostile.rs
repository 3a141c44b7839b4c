//! Datagrams that no instance would send.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use support::{Net, address, announcement, s};
use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_gossip::{
    Age, Body, ContentHash, Delta, DeltaEntry, ForwardedAnnouncement, Frame, FreshnessMark, Gossip,
    Handle, Input, Key, MAX_FRAME_BYTES, MemberStatus, Output, Peer, Renewal, State, Updates,
};

/// The most datagrams with which an instance may answer one.
const MOST_ANSWERS: usize = 24;

/// Hands a frame to an instance and checks what follows from it.
fn hand(gossip: &mut Gossip, now: Duration, frame: Frame) {
    let mut outputs = Vec::new();
    let frame = Box::new(frame);
    gossip.step(now, Input::Received { from: address(1), frame }, &mut outputs);
    let mut sent = 0;
    for output in &outputs {
        let Output::Send { frame, .. } = output else { continue };
        assert!(frame.encode().is_some(), "longer than {MAX_FRAME_BYTES} bytes");
        sent += 1;
    }
    assert!(sent <= MOST_ANSWERS, "{sent} answers");
}

#[test]
fn bytes_at_random_do_no_harm() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut net = Net::region(1, 3, 3);
    net.run(s(4));
    let now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("it runs");
    let mut read = 0;
    for _ in 0..200_000 {
        let length = rng.random_range(0..80);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if let Some(kind) = bytes.get_mut(4) {
            *kind %= 12;
        }
        if let Some(frame) = Frame::decode(&bytes) {
            read += 1;
            hand(gossip, now, frame);
        }
    }
    assert!(read > 500, "only {read} were frames");
}

#[test]
fn damaged_frames_do_no_harm() {
    // Symptom: an instance crashes or grows. Sequence: frames from the wire, each with a few bytes
    // changed, arrive by the thousand. Cause: numbers taken at their word.
    let mut net = Net::region(2, 9, 3);
    net.upstreams(40, 3, "r0");
    net.run(s(6));
    let frames: Vec<Vec<u8>> = (1..9)
        .flat_map(|index| net.record(index, s(1)))
        .filter_map(|letter| letter.frame.encode())
        .collect();
    let mut rng = Pcg64::seed_from_u64(2);
    let mut now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("it runs");
    let mut read = 0;
    for bytes in frames.iter().cycle().take(20_000) {
        let mut bytes = bytes.clone();
        for _ in 0..rng.random_range(1..4) {
            let place = rng.random_range(0..bytes.len());
            bytes[place] = if rng.random_bool(0.5) { u8::MAX } else { rng.random() };
        }
        now += Duration::from_micros(300);
        if let Some(frame) = Frame::decode(&bytes) {
            read += 1;
            hand(gossip, now, frame);
        }
    }
    assert!(read > 2_000, "only {read} were frames");
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
    let mut net = Net::region(3, 1, 1);
    let now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("it runs");
    for part in 0..300 {
        let rumors = (part * 20..part * 20 + 20).map(|index| MemberStatus {
            peer: peer(index * 2),
            refutations: 0,
            state: State::Alive,
        });
        let spread = Updates { members: rumors.collect(), ..Updates::default() };
        hand(gossip, now, Frame { from: Handle([1; 4]), body: Body::Updates(spread) });
    }
    assert_eq!(gossip.members().count(), 4_096);
    for part in 0..100 {
        let body = Body::Join(MemberStatus {
            peer: peer(part * 2 + 1),
            refutations: u32::MAX,
            state: State::Alive,
        });
        hand(gossip, now, Frame { from: Handle([1; 4]), body });
    }
    assert!(gossip.members().count() <= 4_096);
}

#[test]
fn extreme_numbers_do_no_harm() {
    let mut net = Net::region(4, 3, 3);
    net.run(s(4));
    let from = net.nodes[1].peer.handle();
    let own = net.nodes[0].peer.clone();
    let now = net.now;
    let gossip = net.nodes[0].gossip.as_mut().expect("it runs");
    let most = u32::MAX;
    let key = Key([0; 6]);
    let entry = DeltaEntry { key, content_hash: Some(ContentHash([0; 3])), version_offset: most };
    let delta =
        |base, version| Delta { voucher: from, base, version, latest: most, entries: vec![entry] };
    let mark = FreshnessMark { voucher: from, sequence: most, version: most, age: Age(0) };
    let mut said = announcement("u", "z0");
    said.incarnation = u64::MAX;
    said.sequence = u64::MAX;
    said.load.age = most;
    let sheet = ForwardedAnnouncement { announcement: said, age: Age(255), load_age_ms: most };
    let rumor = |state| MemberStatus { peer: own.clone(), refutations: most, state };
    let bodies = [
        Body::Updates(Updates {
            deltas: vec![delta(0, most), delta(most, 0)],
            ..Updates::default()
        }),
        Body::Updates(Updates { marks: vec![mark], ..Updates::default() }),
        Body::Updates(Updates { announcements: vec![sheet], ..Updates::default() }),
        Body::Join(rumor(State::Dead)),
        Body::Join(rumor(State::Left)),
        Body::Renewals(vec![Renewal {
            key,
            content_hash: ContentHash([0; 3]),
            sequence: u64::MAX,
            age: Age(0),
        }]),
        Body::Ping { target: own.handle(), probe: most },
        Body::IndirectPing { target: from, probe: most },
        Body::Ack { probe: most },
    ];
    for body in bodies {
        for _ in 0..100 {
            hand(gossip, now, Frame { from, body: body.clone() });
        }
    }
    net.run(s(30));
    assert!(net.gossip(0).records().count() <= 1);
}
