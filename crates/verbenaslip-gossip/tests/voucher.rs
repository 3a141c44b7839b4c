//! One instance and a voucher that is made by hand, datagram by datagram.

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

/// The instance under test and the time.
struct Bench {
    gossip: Gossip,
    now: Duration,
    voucher: Peer,
}

impl Bench {
    /// Starts an instance that knows the voucher as alive and one upstream that is not vouched for.
    fn open() -> Self {
        let peer = |index: usize| Peer {
            instance: Instance::new(format!("i{index}")),
            zone: AvailabilityZone::from("z"),
            region: Region::from("r"),
            address: address(index),
            incarnation: 1,
        };
        let setup = Setup { own: peer(0), seeds: Vec::new(), lease: MAX_LEASE };
        let now = s(50);
        let mut bench = Self { gossip: Gossip::new(setup, 1, now), now, voucher: peer(1) };
        let peer = bench.voucher.clone();
        bench.say(Body::Join(MemberStatus { peer, refutations: 0, state: State::Alive }));
        bench
    }

    fn say(&mut self, body: Body) -> Vec<Output> {
        let frame = Box::new(Frame { from: self.voucher.handle(), body });
        self.input(Input::Received { from: self.voucher.address, frame })
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.gossip.step(self.now, input, &mut outputs);
        outputs
    }

    fn spread(&mut self, spread: Updates) -> Vec<Output> {
        self.say(Body::Updates(spread))
    }

    /// Lets time pass; the voucher answers each ping.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.gossip.next_wakeup() <= end {
            self.now = self.gossip.next_wakeup().max(self.now);
            for output in self.input(Input::Tick) {
                if let Output::Send { frame, .. } = output
                    && let Body::Ping { probe, .. } = frame.body
                {
                    self.say(Body::Ack { probe });
                }
            }
        }
        self.now = end;
        self.input(Input::Tick);
    }

    fn usable(&self) -> bool {
        self.gossip.usable(self.now).count() == 1
    }

    fn delta(&self, base: u32, version: u32, head: u32, entries: &[DeltaEntry]) -> Updates {
        let voucher = self.voucher.handle();
        let delta = Delta { voucher, base, version, latest: head, entries: entries.to_vec() };
        Updates { deltas: vec![delta], ..Updates::default() }
    }

    fn mark(&self, tick: u32, version: u32, age: Age) -> Updates {
        let mark = FreshnessMark { voucher: self.voucher.handle(), sequence: tick, version, age };
        Updates { marks: vec![mark], ..Updates::default() }
    }

    /// Makes the upstream known and vouched for, and its first mark.
    fn vouch(&mut self) {
        self.spread(sheet(1, Age(0)));
        self.spread(self.delta(0, 1, 1, &[held()]));
        self.spread(self.mark(1, 1, Age(0)));
        assert!(self.usable());
    }
}

fn upstream() -> Announcement {
    Announcement { sequence: 1, ..announcement("u", "z") }
}

fn key() -> Key {
    Key::of(&Upstream::from("u"))
}

fn held() -> DeltaEntry {
    DeltaEntry { key: key(), content_hash: Some(ContentHash::of(&upstream())), version_offset: 1 }
}

fn sheet(sequence: u64, age: Age) -> Updates {
    let announcement = Announcement { sequence, ..upstream() };
    Updates {
        announcements: vec![ForwardedAnnouncement { announcement, age, load_age_ms: 0 }],
        ..Updates::default()
    }
}

type Said = fn(&Bench) -> Vec<Updates>;

/// One thing that a voucher says long after the upstream's last renewal.
struct Case {
    name: &'static str,
    said: Said,
    usable: bool,
}

const CASES: [Case; 12] = [
    Case { name: "nothing", said: |_| Vec::new(), usable: false },
    Case { name: "a new mark", said: |it| vec![it.mark(2, 1, Age(9))], usable: true },
    Case { name: "the old mark again", said: |it| vec![it.mark(1, 1, Age(9))], usable: false },
    Case {
        name: "a new mark that is too old",
        said: |it| vec![it.mark(2, 1, Age(255))],
        usable: false,
    },
    Case {
        name: "an old mark after a new one that is too old",
        said: |it| vec![it.mark(3, 1, Age(255)), it.mark(2, 1, Age(1))],
        usable: false,
    },
    Case {
        name: "a mark of a version that withdraws it",
        said: |it| {
            vec![
                it.delta(1, 2, 2, &[DeltaEntry { content_hash: None, ..held() }]),
                it.mark(2, 2, Age(1)),
            ]
        },
        usable: false,
    },
    Case {
        name: "a mark ahead of its change",
        said: |it| vec![it.mark(2, 2, Age(1)), it.delta(1, 2, 2, &[])],
        usable: true,
    },
    Case {
        name: "a mark of a version that is not held",
        said: |it| vec![it.mark(2, 2, Age(1))],
        usable: false,
    },
    Case {
        // The change that withdrew it is left out, because a later one overrides it.
        name: "a mark of a version on the way to a newer one",
        said: |it| vec![it.delta(1, 5, 9, &[]), it.mark(2, 5, Age(1))],
        usable: false,
    },
    Case {
        name: "vouched for again, not yet marked",
        said: |it| {
            let entry = |check| DeltaEntry { content_hash: check, ..held() };
            vec![
                it.delta(1, 2, 2, &[entry(None)]),
                it.mark(2, 2, Age(1)),
                it.delta(2, 3, 3, &[entry(Some(ContentHash::of(&upstream())))]),
            ]
        },
        usable: false,
    },
    Case { name: "the announcement again", said: |_| vec![sheet(1, Age(0))], usable: false },
    Case { name: "a newer announcement", said: |_| vec![sheet(2, Age(0))], usable: true },
];

#[test]
fn only_new_evidence_renews() {
    // Symptom: an upstream that nobody renews is used again. Sequence: it was vouched for and its
    // lease ran out; then a datagram comes. Cause: evidence that is old, doubled, early, or about a
    // set of upstreams that is not the one held.
    for Case { name, said, usable } in CASES {
        let mut bench = Bench::open();
        bench.vouch();
        bench.run(MAX_LEASE + ms(500));
        assert!(!bench.usable(), "{name}: the lease has run out");
        for spread in said(&bench) {
            bench.spread(spread);
        }
        assert_eq!(bench.usable(), usable, "{name}");
        bench.run(MAX_LEASE + ms(500));
        assert!(!bench.usable(), "{name}: not for ever");
    }
}

#[test]
fn a_late_renewal_is_no_evidence() {
    // Symptom: a home vouches for a dead upstream. Sequence: a renewal is delayed by the network
    // beyond the lease, or doubled; it says a small age. Cause: ages do not count the way.
    let renewal = |sequence| {
        let check = ContentHash::of(&upstream());
        Body::Renewals(vec![Renewal { key: key(), content_hash: check, sequence, age: Age(1) }])
    };
    for (name, sequence, usable) in [("doubled", 1, false), ("older", 0, false), ("new", 2, true)] {
        let mut bench = Bench::open();
        bench.vouch();
        bench.run(MAX_LEASE + s(1));
        bench.say(renewal(sequence));
        assert_eq!(bench.usable(), usable, "{name}");
    }
}

#[test]
fn what_the_dead_vouch_for_expires() {
    // Symptom: upstreams of a dead voucher stay usable. Sequence: it is declared dead; its marks go
    // round further. Cause: marks of an incarnation that is over.
    for state in [State::Dead, State::Left] {
        let mut bench = Bench::open();
        bench.vouch();
        bench.run(s(4));
        bench.spread(bench.mark(2, 1, Age(0)));
        let peer = bench.voucher.clone();
        let rumor = MemberStatus { peer, refutations: 0, state };
        bench.spread(Updates { members: vec![rumor], ..Updates::default() });
        bench.run(s(4));
        assert!(bench.usable(), "what was proved stays proved");
        bench.spread(bench.mark(3, 1, Age(0)));
        bench.run(s(3));
        assert!(!bench.usable(), "{state:?}");
    }
}

#[test]
fn leaving_comes_before_everything() {
    // Symptom: an upstream that is leaving is used where its announcement comes later. Sequence:
    // the news of its end overtakes all else, in any order. Cause: nothing kept of the unknown.
    let end = |incarnation| {
        let leaving = Departure { key: key(), incarnation, sequence: 5, notice: Some(1_000) };
        Updates { departures: vec![leaving], ..Updates::default() }
    };
    let mut bench = Bench::open();
    bench.spread(end(1));
    bench.spread(sheet(9, Age(0)));
    assert!(!bench.usable());
    bench.input(Input::Announced(Box::new(Announcement { sequence: 10, ..upstream() })));
    assert!(!bench.usable());
    let next = Announcement { incarnation: 2, ..upstream() };
    bench.input(Input::Announced(Box::new(next.clone())));
    assert!(bench.usable(), "the next incarnation is another matter");
    bench.spread(end(1));
    assert!(bench.usable(), "the end of the last one changes nothing");
    bench.spread(end(2));
    assert!(!bench.usable());
    bench.input(Input::Announced(Box::new(Announcement { sequence: 11, ..next })));
    assert!(!bench.usable());
}

#[test]
fn a_freeze_ages_what_waited() {
    // Symptom: after a freeze a dead upstream is used. Sequence: the process stands still; the
    // datagrams that waited say ages from before. Cause: nobody counted the wait.
    for (freeze, usable) in [(ms(900), true), (s(7), false), (s(3_600), false)] {
        let mut bench = Bench::open();
        bench.vouch();
        bench.now += freeze;
        bench.spread(bench.mark(2, 1, Age(0)));
        bench.spread(sheet(2, Age(0)));
        let again = Announcement { sequence: 3, phase: Phase::Ready, ..upstream() };
        bench.input(Input::Announced(Box::new(again)));
        assert_eq!(bench.usable(), usable, "{freeze:?}");
        bench.run(s(1));
        bench.spread(bench.mark(3, 1, Age(0)));
        assert!(bench.usable(), "{freeze:?}: what comes later counts");
    }
}

#[test]
fn a_clock_that_falls_stands_still() {
    let mut bench = Bench::open();
    bench.vouch();
    bench.now = s(10);
    bench.input(Input::Tick);
    bench.spread(bench.mark(2, 1, Age(0)));
    bench.now = s(50) + MAX_LEASE + s(1);
    bench.input(Input::Tick);
    assert!(!bench.usable());
}

#[test]
fn strangers_vouch_for_nothing() {
    let mut bench = Bench::open();
    bench.spread(sheet(1, Age(0)));
    let mut delta = bench.delta(0, 1, 1, &[held()]);
    let mut mark = bench.mark(1, 1, Age(0));
    let stranger = Peer { incarnation: 9, ..bench.voucher.clone() }.handle();
    delta.deltas[0].voucher = stranger;
    mark.marks[0].voucher = stranger;
    bench.run(MAX_LEASE + s(1));
    bench.spread(delta);
    bench.spread(mark);
    assert!(!bench.usable());
}

#[test]
fn answers_fit_datagrams() {
    // Symptom: an answer is lost for good. Sequence: an instance asks for a stream of thousands of
    // upstreams. Cause: a frame beyond the size of a datagram.
    let mut bench = Bench::open();
    let entry = |index: u32| {
        let key = Key::of(&Upstream::new(format!("u{index}")));
        DeltaEntry { key, ..held() }
    };
    for part in 0..50 {
        let entries: Vec<DeltaEntry> = (part * 40..part * 40 + 40).map(entry).collect();
        bench.spread(bench.delta(part, part + 1, part + 1, &entries));
    }
    let since = verbenaslip_gossip::StreamPosition { voucher: bench.voucher.handle(), version: 0 };
    let outputs = bench.say(Body::Pull(Pull { streams: vec![since], ..Pull::default() }));
    let mut found = 0;
    for output in outputs {
        let Output::Send { frame, .. } = output else { continue };
        assert!(frame.encode().is_some(), "too long");
        if let Body::PullResponse(spread) = frame.body {
            found += spread.deltas.iter().map(|delta| delta.entries.len()).sum::<usize>();
        }
    }
    assert_eq!(found, 2_000);
}

#[test]
fn a_voucher_may_restart_for_ever() {
    // Symptom: after weeks the upstreams of restarted instances are not confirmed any more.
    // Sequence: instances restart a thousand times, each time as another voucher. Cause: what the
    // incarnations that are over vouched for is kept, up to the cap.
    let mut bench = Bench::open();
    for incarnation in 2..1_200 {
        bench.voucher.incarnation = incarnation;
        let peer = bench.voucher.clone();
        bench.say(Body::Join(MemberStatus { peer, refutations: 0, state: State::Alive }));
        bench.spread(bench.delta(0, 1, 1, &[held()]));
    }
    bench.spread(sheet(1, Age(0)));
    bench.run(MAX_LEASE + s(1));
    assert!(!bench.usable());
    bench.spread(bench.mark(1, 1, Age(0)));
    assert!(bench.usable());
}

#[test]
fn loads_take_turns() {
    // Symptom: the loads of some upstreams are never told. Sequence: more loads change than fit
    // the datagrams, all the time. Cause: those with the lowest keys always go first.
    let mut bench = Bench::open();
    let mut told = std::collections::BTreeSet::new();
    for round in 0..25_u32 {
        for index in 0..200 {
            let mut said = announcement(&format!("u{index}"), "z");
            said.sequence = u64::from(round) + 1;
            said.load.running = (round * 7 + index) % 33;
            bench.input(Input::Announced(Box::new(said)));
        }
        let end = bench.now + s(1);
        while bench.gossip.next_wakeup() <= end {
            bench.now = bench.gossip.next_wakeup().max(bench.now);
            for output in bench.input(Input::Tick) {
                let Output::Send { frame, .. } = output else { continue };
                match frame.body {
                    Body::Updates(spread) => told.extend(spread.loads.iter().map(|it| it.key)),
                    Body::Ping { probe, .. } => drop(bench.say(Body::Ack { probe })),
                    _ => {}
                }
            }
        }
        bench.now = end;
    }
    assert_eq!(told.len(), 200);
}

#[test]
fn a_ping_for_another_incarnation_is_not_answered() {
    // Symptom: an incarnation that is over counts as alive. Sequence: the instance restarts at the
    // same address; probes of the one before arrive. Cause: an answer by whoever lives there now.
    let mut bench = Bench::open();
    let own = bench.gossip.own().clone();
    let before = Peer { incarnation: 0, ..own.clone() };
    for (target, acked) in [(own.handle(), true), (before.handle(), false)] {
        let outputs = bench.say(Body::Ping { target, probe: 7 });
        let answers = outputs.iter().filter_map(|output| match output {
            Output::Send { frame, .. } => Some(&frame.body),
            _ => None,
        });
        let ack = |body: &&Body| matches!(body, Body::Ack { probe: 7 });
        let (acks, others): (Vec<_>, Vec<_>) = answers.partition(ack);
        assert_eq!(acks.len(), usize::from(acked));
        let introduced = others.iter().any(|body| matches!(body, Body::Join(_)));
        assert_eq!(introduced, !acked);
    }
}

#[test]
fn one_that_is_held_dead_is_told_so() {
    // Symptom: an instance that is back waits for its turn to be searched for. Sequence: it was
    // declared dead while it was cut off; it speaks. Cause: nobody tells it what to refute.
    let mut bench = Bench::open();
    let peer = bench.voucher.clone();
    let dead = MemberStatus { peer: peer.clone(), refutations: 0, state: State::Dead };
    bench.spread(Updates { members: vec![dead.clone()], ..Updates::default() });
    let told = bench.say(Body::Report(verbenaslip_gossip::Report {
        version: 1,
        age: Age(0),
        bytes: Vec::new(),
    }));
    let tells = |output: &Output| {
        matches!(output, Output::Send { to, frame } if *to == peer.address
            && matches!(&frame.body, Body::Updates(it) if it.members.contains(&dead)))
    };
    assert!(told.iter().any(tells));
    bench.say(Body::Join(MemberStatus { refutations: 1, state: State::Alive, ..dead }));
    let state = bench.gossip.member(&peer.instance).map(|member| member.state());
    assert_eq!(state, Some(State::Alive));
}
