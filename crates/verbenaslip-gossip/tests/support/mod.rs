//! An in-memory datagram network with faults, on which tests step many instances.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::name::{AvailabilityZone, Instance, Model, Region, Upstream};
use verbenaslip_gossip::{
    AnnouncementResult, Body, Frame, Gossip, Input, MAX_LEASE, MemberEvent, Output, Peer, Setup,
    State, Updates, UpstreamEvent,
};

/// The first port of the instances.
const PORT: u16 = 10_000;

/// Returns so many milliseconds.
pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns so many seconds.
pub const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Says what the network does to datagrams.
#[derive(Clone, Copy)]
pub struct Weather {
    /// Lost datagrams in 10,000.
    pub loss: u32,
    /// Doubled datagrams in 10,000.
    pub doubled: u32,
    /// The shortest way, in milliseconds.
    pub fastest: u64,
    /// The longest way, in milliseconds.
    pub slowest: u64,
}

/// A network that does no harm.
pub const FAIR: Weather = Weather { loss: 0, doubled: 0, fastest: 1, slowest: 3 };

/// A network that loses one datagram in a hundred.
pub const LOSSY: Weather = Weather { loss: 100, doubled: 20, fastest: 1, slowest: 8 };

/// One instance and what the test knows of it.
pub struct Node {
    pub peer: Peer,
    pub gossip: Option<Gossip>,
    pub frozen: Option<Duration>,
    pub sent: Traffic,
    pub received: Traffic,
    pub members: Vec<(Duration, MemberEvent)>,
    pub upstreams: Vec<(Duration, UpstreamEvent)>,
    pub isolations: Vec<(Duration, bool)>,
    run: u64,
    wake: Duration,
}

/// Counts datagrams.
#[derive(Clone, Copy, Default, Debug)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// An upstream that announces itself through a random instance once a second.
pub struct Fake {
    pub announcement: Announcement,
    pub alive: bool,
    pub region: Region,
    /// The instances that the balancer picks from; empty for all live ones of the region.
    pub through: Vec<usize>,
    /// Whether its load changes by a step with each announcement.
    pub restless: bool,
    /// When it last announced itself with success, by incarnation and sequence.
    pub announced: Vec<(Duration, u64, u64)>,
}

enum Event {
    Wake(usize),
    Datagram {
        to: usize,
        from: SocketAddr,
        frame: Box<Frame>,
    },
    /// A datagram in the buffer of a frozen process, which dies with the process.
    Buffered {
        run: u64,
        to: usize,
        from: SocketAddr,
        frame: Box<Frame>,
    },
    Announce(usize),
}

type Recorded = (usize, Vec<Letter>);

/// A datagram on its way.
#[derive(Clone)]
pub struct Letter {
    pub to: usize,
    pub from: SocketAddr,
    pub frame: Box<Frame>,
}

/// The network with everything on it.
pub struct Net {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub fakes: Vec<Fake>,
    pub weather: Weather,
    /// Pairs between which nothing passes, in this direction.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Whether every datagram goes through its encoding.
    pub coded: bool,
    /// Whether the parts of news are counted apart.
    pub detailed: bool,
    /// The longest datagram so far.
    pub longest: usize,
    /// Bytes sent by kind of body.
    pub kinds: BTreeMap<&'static str, u64>,
    recorded: Option<Recorded>,
    rng: Pcg64,
    events: BTreeMap<(Duration, u64), Event>,
    serial: u64,
    seed: u64,
}

impl Net {
    /// Starts a network without anybody on it.
    pub fn open(seed: u64) -> Self {
        Self {
            now: s(1_000),
            nodes: Vec::new(),
            fakes: Vec::new(),
            weather: FAIR,
            cuts: BTreeSet::new(),
            coded: true,
            detailed: false,
            longest: 0,
            kinds: BTreeMap::new(),
            recorded: None,
            rng: Pcg64::seed_from_u64(seed),
            events: BTreeMap::new(),
            serial: 0,
            seed,
        }
    }

    /// Starts a region of so many instances, dealt to so many availability zones.
    pub fn region(seed: u64, count: usize, zones: usize) -> Self {
        let mut net = Self::open(seed);
        for index in 0..count {
            net.add(&format!("z{}", index % zones), "r0");
        }
        net
    }

    /// Adds and starts an instance that knows the first three as seeds.
    pub fn add(&mut self, zone: &str, region: &str) -> usize {
        let index = self.nodes.len();
        let peer = Peer {
            instance: Instance::new(format!("i{index}")),
            zone: AvailabilityZone::from(zone),
            region: Region::from(region),
            address: address(index),
            incarnation: 1,
        };
        self.nodes.push(Node {
            peer,
            gossip: None,
            frozen: None,
            sent: Traffic::default(),
            received: Traffic::default(),
            members: Vec::new(),
            upstreams: Vec::new(),
            isolations: Vec::new(),
            run: 0,
            wake: Duration::MAX,
        });
        self.start(index);
        index
    }

    /// Starts an instance that is not running.
    pub fn start(&mut self, index: usize) {
        let seeds = (0..3).map(address).collect();
        let setup = Setup { own: self.nodes[index].peer.clone(), seeds, lease: MAX_LEASE };
        let seed = self.seed.wrapping_mul(1_000_003) + index as u64;
        let gossip = Gossip::new(setup, seed, self.now);
        self.nodes[index].gossip = Some(gossip);
        self.plan(index);
    }

    /// Kills an instance without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].gossip = None;
        self.nodes[index].frozen = None;
        self.nodes[index].run += 1;
        self.nodes[index].wake = Duration::MAX;
    }

    /// Kills an instance and starts it with the next incarnation.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        self.nodes[index].peer.incarnation += 1;
        self.start(index);
    }

    /// Stops an instance for a while; what it is sent waits in its buffer.
    pub fn freeze(&mut self, index: usize, time: Duration) {
        let frozen = &mut self.nodes[index].frozen;
        *frozen = Some(self.now + time).max(*frozen);
    }

    /// Cuts a group of instances off from all others, both ways.
    pub fn isolate(&mut self, group: &[usize]) {
        for inside in group {
            for outside in (0..self.nodes.len()).filter(|index| !group.contains(index)) {
                self.cuts.insert((*inside, outside));
                self.cuts.insert((outside, *inside));
            }
        }
    }

    /// Adds upstreams of a region that announce themselves from now on.
    pub fn upstreams(&mut self, count: usize, zones: usize, region: &str) -> usize {
        let first = self.fakes.len();
        for index in first..first + count {
            let zone = format!("z{}", index % zones);
            self.fakes.push(Fake {
                announcement: announcement(&format!("{region}-u{index}"), &zone),
                alive: true,
                region: Region::from(region),
                through: Vec::new(),
                restless: false,
                announced: Vec::new(),
            });
            let at = self.now + ms(self.rng.random_range(0..1_000));
            self.schedule(at, Event::Announce(index));
        }
        first
    }

    /// Lets an upstream announce itself now, through an instance; returns the answer.
    pub fn announce(&mut self, fake: usize, through: usize) -> Option<AnnouncementResult> {
        let announcement = self.fakes[fake].announcement.clone();
        let answer = self.announce_as(&announcement, through);
        if matches!(answer, Some(AnnouncementResult::Accepted { .. })) {
            let Announcement { incarnation, sequence, .. } = announcement;
            self.fakes[fake].announced.push((self.now, incarnation, sequence));
        }
        answer
    }

    /// Hands an instance any announcement.
    pub fn announce_as(
        &mut self,
        announcement: &Announcement,
        through: usize,
    ) -> Option<AnnouncementResult> {
        let mut answer = None;
        for output in self.step(through, Input::Announced(Box::new(announcement.clone()))) {
            if let Output::AnnouncementResult(given) = output {
                answer = Some(given);
            }
        }
        answer
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        self.run_checked(time, |_| {});
    }

    /// Lets time pass and checks after every event.
    pub fn run_checked(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let (at, _) = *entry.key();
            let event = entry.remove();
            self.now = self.now.max(at);
            self.happen(event);
            check(self);
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake(index) if self.nodes[index].wake > self.now => {}
            Event::Wake(index) => {
                self.nodes[index].wake = Duration::MAX;
                if let Some(until) = self.thawing(index) {
                    self.nodes[index].wake = until;
                    self.schedule(until, Event::Wake(index));
                    return;
                }
                self.step(index, Input::Tick);
            }
            Event::Datagram { to, from, frame } => {
                if let Some(until) = self.thawing(to) {
                    let run = self.nodes[to].run;
                    self.schedule(until, Event::Buffered { run, to, from, frame });
                    return;
                }
                self.deliver(to, from, frame);
            }
            Event::Buffered { run, to, from, frame } => {
                if self.nodes[to].run == run {
                    self.happen(Event::Datagram { to, from, frame });
                }
            }
            Event::Announce(index) => self.announce_next(index),
        }
    }

    fn thawing(&self, index: usize) -> Option<Duration> {
        self.nodes[index].frozen.filter(|until| *until > self.now)
    }

    fn announce_next(&mut self, index: usize) {
        let jitter = self.rng.random_range(950..1_050);
        self.schedule(self.now + ms(jitter), Event::Announce(index));
        if !self.fakes[index].alive {
            return;
        }
        let able = |node: usize| self.nodes[node].gossip.is_some() && self.thawing(node).is_none();
        let near = |node: &usize| self.nodes[*node].peer.region == self.fakes[index].region;
        let through = &self.fakes[index].through;
        let picks: Vec<usize> = if through.is_empty() {
            (0..self.nodes.len()).filter(near).filter(|node| able(*node)).collect()
        } else {
            through.iter().copied().filter(|node| able(*node)).collect()
        };
        if picks.is_empty() {
            return;
        }
        let through = picks[self.rng.random_range(0..picks.len())];
        let fake = &mut self.fakes[index];
        fake.announcement.sequence += 1;
        if fake.restless {
            let slots = u64::from(fake.announcement.slots);
            fake.announcement.load.running = (fake.announcement.sequence * 3 % (slots + 1)) as u32;
        }
        self.announce(index, through);
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, frame: Box<Frame>) {
        if self.nodes[to].gossip.is_none() {
            return;
        }
        self.step(to, Input::Received { from, frame });
    }

    /// Lets time pass and returns what one instance sent meanwhile, as it reached the others.
    pub fn record(&mut self, index: usize, time: Duration) -> Vec<Letter> {
        self.recorded = Some((index, Vec::new()));
        self.run(time);
        self.recorded.take().map_or(Vec::new(), |(_, frames)| frames)
    }

    /// Steps one instance; what it sends goes onto the network.
    pub fn step(&mut self, index: usize, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let now = self.now;
        let Some(gossip) = self.nodes[index].gossip.as_mut() else { return outputs };
        gossip.step(now, input, &mut outputs);
        for output in &outputs {
            match output {
                Output::Send { to, frame } => self.send(index, *to, frame),
                Output::Member(event) => self.nodes[index].members.push((now, event.clone())),
                Output::Upstream(event) => self.nodes[index].upstreams.push((now, event.clone())),
                Output::Isolated(it) => self.nodes[index].isolations.push((now, *it)),
                Output::AnnouncementResult(_) | Output::ReportReceived(_) => {}
            }
        }
        self.plan(index);
        outputs
    }

    fn plan(&mut self, index: usize) {
        let Some(gossip) = &self.nodes[index].gossip else { return };
        let wake = gossip.next_wakeup().max(self.now);
        if wake < self.nodes[index].wake {
            self.nodes[index].wake = wake;
            self.schedule(wake, Event::Wake(index));
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, frame: &Frame) {
        let bytes = frame.encode().expect("every frame fits a datagram");
        self.longest = self.longest.max(bytes.len());
        count(&mut self.nodes[index].sent, bytes.len());
        *self.kinds.entry(kind(&frame.body)).or_default() += bytes.len() as u64;
        if let Body::Updates(spread) = &frame.body
            && self.detailed
        {
            self.count_parts(spread);
        }
        let to = usize::from(to.port() - PORT);
        let lost = self.rng.random_range(0..10_000) < self.weather.loss;
        if to >= self.nodes.len() || lost || self.cuts.contains(&(index, to)) {
            return;
        }
        if let Some((from, frames)) = &mut self.recorded
            && *from == index
        {
            let frame = Box::new(frame.clone());
            frames.push(Letter { to, from: address(index), frame });
        }
        let copies = 1 + u32::from(self.rng.random_range(0..10_000) < self.weather.doubled);
        for _ in 0..copies {
            count(&mut self.nodes[to].received, bytes.len());
            let way = self.rng.random_range(self.weather.fastest..=self.weather.slowest);
            let frame = if self.coded {
                Frame::decode(&bytes).expect("what was encoded can be decoded")
            } else {
                frame.clone()
            };
            let frame = Box::new(frame);
            let event = Event::Datagram { to, from: address(index), frame };
            self.schedule(self.now + ms(way), event);
        }
    }

    fn count_parts(&mut self, spread: &Updates) {
        let parts = [
            ("spread: deltas", encoded(&spread.deltas)),
            ("spread: leaving", encoded(&spread.departures)),
            ("spread: loads", encoded(&spread.loads)),
            ("spread: marks", encoded(&spread.marks)),
            ("spread: members", encoded(&spread.members)),
            ("spread: sheets", encoded(&spread.announcements)),
        ];
        for (name, size) in parts {
            *self.kinds.entry(name).or_default() += size;
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// Returns a running instance.
    pub fn gossip(&self, index: usize) -> &Gossip {
        self.nodes[index].gossip.as_ref().expect("the instance runs")
    }

    /// Goes through the running instances.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Gossip)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(index, node)| Some((index, node.gossip.as_ref()?)))
    }

    /// Returns what one instance believes of another.
    pub fn state(&self, at: usize, of: usize) -> Option<State> {
        let name = &self.nodes[of].peer.instance;
        self.gossip(at).member(name).map(|member| member.state())
    }

    /// Tells whether an instance would give an upstream new work now.
    pub fn usable(&self, at: usize, fake: usize) -> bool {
        let name = &self.fakes[fake].announcement.upstream;
        let now = self.now;
        self.gossip(at).usable(now).any(|it| it.announcement().upstream == *name)
    }

    /// Counts the upstreams to which an instance would give new work now.
    pub fn usable_count(&self, at: usize) -> usize {
        self.gossip(at).usable(self.now).count()
    }

    /// Forgets the traffic so far.
    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.sent = Traffic::default();
            node.received = Traffic::default();
        }
        self.kinds.clear();
    }
}

fn count(traffic: &mut Traffic, bytes: usize) {
    traffic.messages += 1;
    traffic.bytes += bytes as u64;
}

/// Returns the address of an instance.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, PORT + index as u16))
}

/// Returns an announcement of a ready model engine.
pub fn announcement(name: &str, zone: &str) -> Announcement {
    Announcement {
        upstream: Upstream::from(name),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        zone: AvailabilityZone::from(zone),
        kind: Kind::Engine,
        incarnation: 1,
        sequence: 0,
        phase: Phase::Ready,
        models: vec![Model::from("assistant")],
        market: Market::Reclaimable,
        price: 1_000_000,
        fenced: false,
        slots: 32,
        load: Load::default(),
    }
}

/// Returns how many bytes a part of the news takes.
fn encoded(part: &impl Serialize) -> u64 {
    postcard::to_stdvec(part).expect("news can be encoded").len() as u64
}

/// Names the kind of a body.
fn kind(body: &Body) -> &'static str {
    match body {
        Body::Join(_) => "join",
        Body::Ping { .. } | Body::Ack { .. } | Body::IndirectPing { .. } => "probe",
        Body::Updates(_) => "spread",
        Body::PullResponse(_) => "answer",
        Body::Digest(_) => "sync",
        Body::MemberList(_) => "roster",
        Body::Pull(_) => "pull",
        Body::Renewals(_) => "renewals",
        Body::Report(_) => "report",
    }
}
