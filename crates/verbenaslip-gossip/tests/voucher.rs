//! Tests of one instance with a scripted voucher.

mod support;

use std::time::Duration;

use support::{address, announcement, ms, s};
use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::name::{AvailabilityZone, Instance, Region, Upstream};
use verbenaslip_gossip::{
    Age, Body, ContentHash, Delta, DeltaEntry, Departure, ForwardedAnnouncement, Frame,
    FreshnessMark, Gossip, Input, Key, MAX_LEASE, MemberStatus, Output, Peer, Pull, Renewal, Setup,
    State, Updates,
};

/// The instance under test, the current time and the scripted voucher.
struct TestBed {
    gossip: Gossip,
    now: Duration,
    voucher: Peer,
}

impl TestBed {
    /// Starts an instance that knows the voucher as alive, but no upstream.
    fn new() -> Self {
        let peer = |index: usize| Peer {
            instance: Instance::new(format!("i{index}")),
            zone: AvailabilityZone::from("z"),
            region: Region::from("r"),
            address: address(index),
            incarnation: 1,
        };
        let setup = Setup { own: peer(0), seeds: Vec::new(), lease: MAX_LEASE };
        let now = s(50);
        let mut bed = Self { gossip: Gossip::new(setup, 1, now), now, voucher: peer(1) };
        let peer = bed.voucher.clone();
        bed.receive(Body::Join(MemberStatus { peer, refutations: 0, state: State::Alive }));
        bed
    }

    fn receive(&mut self, body: Body) -> Vec<Output> {
        let frame = Box::new(Frame { from: self.voucher.handle(), body });
        self.input(Input::Received { from: self.voucher.address, frame })
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.gossip.step(self.now, input, &mut outputs);
        outputs
    }

    fn receive_updates(&mut self, updates: Updates) -> Vec<Output> {
        self.receive(Body::Updates(updates))
    }

    /// Runs the instance for the given time; the voucher answers each ping.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.gossip.next_wakeup() <= end {
            self.now = self.gossip.next_wakeup().max(self.now);
            for output in self.input(Input::Tick) {
                if let Output::Send { frame, .. } = output
                    && let Body::Ping { probe, .. } = frame.body
                {
                    self.receive(Body::Ack { probe });
                }
            }
        }
        self.now = end;
        self.input(Input::Tick);
    }

    fn usable(&self) -> bool {
        self.gossip.usable(self.now).count() == 1
    }

    fn delta(&self, base: u32, version: u32, latest: u32, entries: &[DeltaEntry]) -> Updates {
        let voucher = self.voucher.handle();
        let delta = Delta { voucher, base, version, latest, entries: entries.to_vec() };
        Updates { deltas: vec![delta], ..Updates::default() }
    }

    fn mark(&self, sequence: u32, version: u32, age: Age) -> Updates {
        let mark = FreshnessMark { voucher: self.voucher.handle(), sequence, version, age };
        Updates { marks: vec![mark], ..Updates::default() }
    }

    /// Sends the upstream's announcement, the voucher's first version and its first mark.
    fn vouch(&mut self) {
        self.receive_updates(announced(1, Age(0)));
        self.receive_updates(self.delta(0, 1, 1, &[entry_for_upstream()]));
        self.receive_updates(self.mark(1, 1, Age(0)));
        assert!(self.usable());
    }
}

fn upstream() -> Announcement {
    Announcement { sequence: 1, ..announcement("u", "z") }
}

fn key() -> Key {
    Key::of(&Upstream::from("u"))
}

fn entry_for_upstream() -> DeltaEntry {
    DeltaEntry { key: key(), content_hash: Some(ContentHash::of(&upstream())), version_offset: 1 }
}

fn announced(sequence: u64, age: Age) -> Updates {
    let announcement = Announcement { sequence, ..upstream() };
    Updates {
        announcements: vec![ForwardedAnnouncement { announcement, age, load_age_ms: 0 }],
        ..Updates::default()
    }
}

type UpdatesSource = fn(&TestBed) -> Vec<Updates>;

/// Updates that a voucher sends long after the upstream's last renewal.
struct Case {
    name: &'static str,
    updates: UpdatesSource,
    usable: bool,
}

const CASES: [Case; 12] = [
    Case { name: "nothing", updates: |_| Vec::new(), usable: false },
    Case { name: "a new mark", updates: |it| vec![it.mark(2, 1, Age(9))], usable: true },
    Case { name: "the old mark again", updates: |it| vec![it.mark(1, 1, Age(9))], usable: false },
    Case {
        name: "a new mark that is too old",
        updates: |it| vec![it.mark(2, 1, Age(255))],
        usable: false,
    },
    Case {
        name: "an old mark after a new one that is too old",
        updates: |it| vec![it.mark(3, 1, Age(255)), it.mark(2, 1, Age(1))],
        usable: false,
    },
    Case {
        name: "a mark of a version that withdraws the upstream",
        updates: |it| {
            vec![
                it.delta(1, 2, 2, &[DeltaEntry { content_hash: None, ..entry_for_upstream() }]),
                it.mark(2, 2, Age(1)),
            ]
        },
        usable: false,
    },
    Case {
        name: "a mark ahead of its change",
        updates: |it| vec![it.mark(2, 2, Age(1)), it.delta(1, 2, 2, &[])],
        usable: true,
    },
    Case {
        name: "a mark of a version that is not stored",
        updates: |it| vec![it.mark(2, 2, Age(1))],
        usable: false,
    },
    Case {
        // The delta omits the change that withdrew the upstream, because a later one overrides it.
        name: "a mark of a version before the latest known one",
        updates: |it| vec![it.delta(1, 5, 9, &[]), it.mark(2, 5, Age(1))],
        usable: false,
    },
    Case {
        name: "vouched for again, not yet marked",
        updates: |it| {
            let entry = |content_hash| DeltaEntry { content_hash, ..entry_for_upstream() };
            vec![
                it.delta(1, 2, 2, &[entry(None)]),
                it.mark(2, 2, Age(1)),
                it.delta(2, 3, 3, &[entry(Some(ContentHash::of(&upstream())))]),
            ]
        },
        usable: false,
    },
    Case { name: "the announcement again", updates: |_| vec![announced(1, Age(0))], usable: false },
    Case { name: "a newer announcement", updates: |_| vec![announced(2, Age(0))], usable: true },
];

#[test]
fn only_new_evidence_renews() {
    // Guards against the use of an upstream that nobody renews. Its lease runs out, and then
    // evidence arrives that is old, duplicated, early, or about a set of upstreams other than the
    // stored one.
    for Case { name, updates: source, usable } in CASES {
        let mut bed = TestBed::new();
        bed.vouch();
        bed.run(MAX_LEASE + ms(500));
        assert!(!bed.usable(), "{name}: usable after the lease");
        for updates in source(&bed) {
            bed.receive_updates(updates);
        }
        assert_eq!(bed.usable(), usable, "{name}");
        bed.run(MAX_LEASE + ms(500));
        assert!(!bed.usable(), "{name}: still usable after another lease");
    }
}

#[test]
fn a_delayed_renewal_is_no_evidence() {
    // Guards against a home that vouches for a dead upstream, because ages do not include the
    // network delay. A renewal with a low age is duplicated, or delayed beyond the lease.
    let renewal = |sequence| {
        let content_hash = ContentHash::of(&upstream());
        Body::Renewals(vec![Renewal { key: key(), content_hash, sequence, age: Age(1) }])
    };
    for (name, sequence, usable) in
        [("duplicated", 1, false), ("older", 0, false), ("new", 2, true)]
    {
        let mut bed = TestBed::new();
        bed.vouch();
        bed.run(MAX_LEASE + s(1));
        bed.receive(renewal(sequence));
        assert_eq!(bed.usable(), usable, "{name}");
    }
}

#[test]
fn upstreams_of_a_dead_voucher_expire() {
    // Guards against upstreams that stay usable through marks of an ended incarnation. The voucher
    // is declared dead while its marks are still being sent on.
    for state in [State::Dead, State::Left] {
        let mut bed = TestBed::new();
        bed.vouch();
        bed.run(s(4));
        bed.receive_updates(bed.mark(2, 1, Age(0)));
        let peer = bed.voucher.clone();
        let status = MemberStatus { peer, refutations: 0, state };
        bed.receive_updates(Updates { members: vec![status], ..Updates::default() });
        bed.run(s(4));
        assert!(bed.usable(), "earlier evidence was lost");
        bed.receive_updates(bed.mark(3, 1, Age(0)));
        bed.run(s(3));
        assert!(!bed.usable(), "{state:?}");
    }
}

#[test]
fn a_departure_overrides_announcements() {
    // Guards against the use of a leaving upstream where its departure arrives before its
    // announcement, because departures of unknown upstreams are not stored. The departure arrives
    // in any order.
    let departure_of = |incarnation| {
        let departure = Departure { key: key(), incarnation, sequence: 5, notice: Some(1_000) };
        Updates { departures: vec![departure], ..Updates::default() }
    };
    let mut bed = TestBed::new();
    bed.receive_updates(departure_of(1));
    bed.receive_updates(announced(9, Age(0)));
    assert!(!bed.usable());
    bed.input(Input::Announced(Box::new(Announcement { sequence: 10, ..upstream() })));
    assert!(!bed.usable());
    let next = Announcement { incarnation: 2, ..upstream() };
    bed.input(Input::Announced(Box::new(next.clone())));
    assert!(bed.usable(), "the next incarnation is not usable");
    bed.receive_updates(departure_of(1));
    assert!(bed.usable(), "the departure of the previous incarnation has an effect");
    bed.receive_updates(departure_of(2));
    assert!(!bed.usable());
    bed.input(Input::Announced(Box::new(Announcement { sequence: 11, ..next })));
    assert!(!bed.usable());
}

#[test]
fn a_pause_ages_buffered_datagrams() {
    // Guards against the use of a dead upstream after a pause, because the time that datagrams
    // waited in the buffer is not counted. Their ages date from before the pause.
    for (pause, usable) in [(ms(900), true), (s(7), false), (s(3_600), false)] {
        let mut bed = TestBed::new();
        bed.vouch();
        bed.now += pause;
        bed.receive_updates(bed.mark(2, 1, Age(0)));
        bed.receive_updates(announced(2, Age(0)));
        let again = Announcement { sequence: 3, phase: Phase::Ready, ..upstream() };
        bed.input(Input::Announced(Box::new(again)));
        assert_eq!(bed.usable(), usable, "{pause:?}");
        bed.run(s(1));
        bed.receive_updates(bed.mark(3, 1, Age(0)));
        assert!(bed.usable(), "{pause:?}: later evidence does not count");
    }
}

#[test]
fn a_clock_that_goes_back_stands_still() {
    let mut bed = TestBed::new();
    bed.vouch();
    bed.now = s(10);
    bed.input(Input::Tick);
    bed.receive_updates(bed.mark(2, 1, Age(0)));
    bed.now = s(50) + MAX_LEASE + s(1);
    bed.input(Input::Tick);
    assert!(!bed.usable());
}

#[test]
fn unknown_incarnations_vouch_for_nothing() {
    let mut bed = TestBed::new();
    bed.receive_updates(announced(1, Age(0)));
    let mut delta = bed.delta(0, 1, 1, &[entry_for_upstream()]);
    let mut mark = bed.mark(1, 1, Age(0));
    let unknown = Peer { incarnation: 9, ..bed.voucher.clone() }.handle();
    delta.deltas[0].voucher = unknown;
    mark.marks[0].voucher = unknown;
    bed.run(MAX_LEASE + s(1));
    bed.receive_updates(delta);
    bed.receive_updates(mark);
    assert!(!bed.usable());
}

#[test]
fn pull_responses_fit_datagrams() {
    // Guards against a response that is longer than a datagram and therefore never arrives. An
    // instance requests a stream of thousands of upstreams.
    let mut bed = TestBed::new();
    let entry = |index: u32| {
        let key = Key::of(&Upstream::new(format!("u{index}")));
        DeltaEntry { key, ..entry_for_upstream() }
    };
    for part in 0..50 {
        let entries: Vec<DeltaEntry> = (part * 40..part * 40 + 40).map(entry).collect();
        bed.receive_updates(bed.delta(part, part + 1, part + 1, &entries));
    }
    let position = verbenaslip_gossip::StreamPosition { voucher: bed.voucher.handle(), version: 0 };
    let outputs = bed.receive(Body::Pull(Pull { streams: vec![position], ..Pull::default() }));
    let mut found = 0;
    for output in outputs {
        let Output::Send { frame, .. } = output else { continue };
        assert!(frame.encode().is_some(), "the frame is too long");
        if let Body::PullResponse(updates) = frame.body {
            found += updates.deltas.iter().map(|delta| delta.entries.len()).sum::<usize>();
        }
    }
    assert_eq!(found, 2_000);
}

#[test]
fn a_voucher_may_restart_without_limit() {
    // Guards against streams of ended incarnations that fill the cap, so that upstreams of
    // restarted instances are not confirmed any more after weeks. The voucher restarts a thousand
    // times, each time as another incarnation.
    let mut bed = TestBed::new();
    for incarnation in 2..1_200 {
        bed.voucher.incarnation = incarnation;
        let peer = bed.voucher.clone();
        bed.receive(Body::Join(MemberStatus { peer, refutations: 0, state: State::Alive }));
        bed.receive_updates(bed.delta(0, 1, 1, &[entry_for_upstream()]));
    }
    bed.receive_updates(announced(1, Age(0)));
    bed.run(MAX_LEASE + s(1));
    assert!(!bed.usable());
    bed.receive_updates(bed.mark(1, 1, Age(0)));
    assert!(bed.usable());
}

#[test]
fn loads_take_turns() {
    // Guards against loads that are never sent because those with the lowest keys always go first.
    // More loads change than fit in the datagrams, all the time.
    let mut bed = TestBed::new();
    let mut sent = std::collections::BTreeSet::new();
    for round in 0..25_u32 {
        for index in 0..200 {
            let mut announcement = support::announcement(&format!("u{index}"), "z");
            announcement.sequence = u64::from(round) + 1;
            announcement.load.running = (round * 7 + index) % 33;
            bed.input(Input::Announced(Box::new(announcement)));
        }
        let end = bed.now + s(1);
        while bed.gossip.next_wakeup() <= end {
            bed.now = bed.gossip.next_wakeup().max(bed.now);
            for output in bed.input(Input::Tick) {
                let Output::Send { frame, .. } = output else { continue };
                match frame.body {
                    Body::Updates(updates) => sent.extend(updates.loads.iter().map(|it| it.key)),
                    Body::Ping { probe, .. } => drop(bed.receive(Body::Ack { probe })),
                    _ => {}
                }
            }
        }
        bed.now = end;
    }
    assert_eq!(sent.len(), 200);
}

#[test]
fn a_ping_for_another_incarnation_is_not_answered() {
    // Guards against an ended incarnation that counts as alive, because the instance that now has
    // its address answers for it. The instance restarts at the same address, and old probes arrive.
    let mut bed = TestBed::new();
    let own = bed.gossip.own().clone();
    let previous = Peer { incarnation: 0, ..own.clone() };
    for (target, answered) in [(own.handle(), true), (previous.handle(), false)] {
        let outputs = bed.receive(Body::Ping { target, probe: 7 });
        let answers = outputs.iter().filter_map(|output| match output {
            Output::Send { frame, .. } => Some(&frame.body),
            _ => None,
        });
        let ack = |body: &&Body| matches!(body, Body::Ack { probe: 7 });
        let (acks, others): (Vec<_>, Vec<_>) = answers.partition(ack);
        assert_eq!(acks.len(), usize::from(answered));
        let introduced = others.iter().any(|body| matches!(body, Body::Join(_)));
        assert_eq!(introduced, !answered);
    }
}

#[test]
fn an_instance_considered_dead_is_notified() {
    // Guards against a long wait until an instance that is back refutes its death. It was declared
    // dead while it was cut off, and must be told so as soon as it sends a datagram.
    let mut bed = TestBed::new();
    let peer = bed.voucher.clone();
    let dead = MemberStatus { peer: peer.clone(), refutations: 0, state: State::Dead };
    bed.receive_updates(Updates { members: vec![dead.clone()], ..Updates::default() });
    let sent = bed.receive(Body::Report(verbenaslip_gossip::Report {
        version: 1,
        age: Age(0),
        bytes: Vec::new(),
    }));
    let is_notice = |output: &Output| {
        matches!(output, Output::Send { to, frame } if *to == peer.address
            && matches!(&frame.body, Body::Updates(updates) if updates.members.contains(&dead)))
    };
    assert!(sent.iter().any(is_notice));
    bed.receive(Body::Join(MemberStatus { refutations: 1, state: State::Alive, ..dead }));
    let state = bed.gossip.member(&peer.instance).map(|member| member.state());
    assert_eq!(state, Some(State::Alive));
}
