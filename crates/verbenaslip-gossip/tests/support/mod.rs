//! Simulated datagram network with faults, in which tests run many instances.
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

/// Port of the first instance.
const PORT: u16 = 10_000;

/// Returns a duration in milliseconds.
pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a duration in seconds.
pub const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Loss, duplication and delay of datagrams.
#[derive(Clone, Copy)]
pub struct LinkConditions {
    /// Number of lost datagrams per 10,000.
    pub loss_per_10_000: u32,
    /// Number of duplicated datagrams per 10,000.
    pub duplicates_per_10_000: u32,
    /// Minimum delay of a datagram, in milliseconds.
    pub min_delay_ms: u64,
    /// Maximum delay of a datagram, in milliseconds.
    pub max_delay_ms: u64,
}

/// Conditions without loss and duplicates.
pub const RELIABLE: LinkConditions = LinkConditions {
    loss_per_10_000: 0,
    duplicates_per_10_000: 0,
    min_delay_ms: 1,
    max_delay_ms: 3,
};

/// Conditions with a loss of one datagram in a hundred.
pub const LOSSY: LinkConditions = LinkConditions {
    loss_per_10_000: 100,
    duplicates_per_10_000: 20,
    min_delay_ms: 1,
    max_delay_ms: 8,
};

/// One instance, its state in the simulation and its events.
pub struct Node {
    pub peer: Peer,
    pub gossip: Option<Gossip>,
    pub paused_until: Option<Duration>,
    pub sent: Traffic,
    pub received: Traffic,
    pub member_events: Vec<(Duration, MemberEvent)>,
    pub upstream_events: Vec<(Duration, UpstreamEvent)>,
    pub isolation_events: Vec<(Duration, bool)>,
    process_run: u64,
    next_wakeup: Duration,
}

/// Number and size of datagrams.
#[derive(Clone, Copy, Default, Debug)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Upstream that announces itself through a random instance once a second.
pub struct SimulatedUpstream {
    pub announcement: Announcement,
    pub alive: bool,
    pub region: Region,
    /// Instances that it announces itself through; empty for all running ones of its region.
    pub entry_points: Vec<usize>,
    /// Whether its load changes noticeably with each announcement.
    pub varies_load: bool,
    /// Times, incarnations and sequence numbers of its accepted announcements.
    pub accepted: Vec<(Duration, u64, u64)>,
}

enum Event {
    Wakeup(usize),
    Datagram {
        to: usize,
        from: SocketAddr,
        frame: Box<Frame>,
    },
    /// Datagram in the socket buffer of a paused process, which is lost if the process dies.
    Buffered {
        run: u64,
        to: usize,
        from: SocketAddr,
        frame: Box<Frame>,
    },
    Announce(usize),
}

type Recording = (usize, Vec<SentDatagram>);

/// Datagram that was sent to an instance.
#[derive(Clone)]
pub struct SentDatagram {
    pub to: usize,
    pub from: SocketAddr,
    pub frame: Box<Frame>,
}

/// Network with its instances and upstreams.
pub struct Network {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub upstreams: Vec<SimulatedUpstream>,
    pub conditions: LinkConditions,
    /// Pairs of sender and receiver between which all datagrams are dropped.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Whether every datagram is encoded and decoded.
    pub encode_frames: bool,
    /// Whether the bytes of the parts of updates are counted separately.
    pub count_parts: bool,
    /// Size of the longest datagram so far, in bytes.
    pub longest_frame: usize,
    /// Number of bytes sent by kind of body.
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    recording: Option<Recording>,
    rng: Pcg64,
    events: BTreeMap<(Duration, u64), Event>,
    event_number: u64,
    seed: u64,
}

impl Network {
    /// Creates a network without instances.
    pub fn new(seed: u64) -> Self {
        Self {
            now: s(1_000),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            conditions: RELIABLE,
            blocked_links: BTreeSet::new(),
            encode_frames: true,
            count_parts: false,
            longest_frame: 0,
            bytes_by_kind: BTreeMap::new(),
            recording: None,
            rng: Pcg64::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_number: 0,
            seed,
        }
    }

    /// Creates a network with one region of `count` instances, distributed over `zones` zones.
    pub fn region(seed: u64, count: usize, zones: usize) -> Self {
        let mut net = Self::new(seed);
        for index in 0..count {
            net.add(&format!("z{}", index % zones), "r0");
        }
        net
    }

    /// Adds and starts an instance that has the first three instances as seeds.
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
            paused_until: None,
            sent: Traffic::default(),
            received: Traffic::default(),
            member_events: Vec::new(),
            upstream_events: Vec::new(),
            isolation_events: Vec::new(),
            process_run: 0,
            next_wakeup: Duration::MAX,
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
        self.schedule_wakeup(index);
    }

    /// Kills an instance without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].gossip = None;
        self.nodes[index].paused_until = None;
        self.nodes[index].process_run += 1;
        self.nodes[index].next_wakeup = Duration::MAX;
    }

    /// Kills an instance and starts its next incarnation.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        self.nodes[index].peer.incarnation += 1;
        self.start(index);
    }

    /// Pauses an instance; datagrams to it wait in its buffer.
    pub fn pause(&mut self, index: usize, time: Duration) {
        let paused_until = &mut self.nodes[index].paused_until;
        *paused_until = Some(self.now + time).max(*paused_until);
    }

    /// Blocks all links between a group of instances and all others, in both directions.
    pub fn isolate(&mut self, group: &[usize]) {
        for inside in group {
            for outside in (0..self.nodes.len()).filter(|index| !group.contains(index)) {
                self.blocked_links.insert((*inside, outside));
                self.blocked_links.insert((outside, *inside));
            }
        }
    }

    /// Adds upstreams of a region that announce themselves from now on, and returns the first
    /// index.
    pub fn add_upstreams(&mut self, count: usize, zones: usize, region: &str) -> usize {
        let first = self.upstreams.len();
        for index in first..first + count {
            let zone = format!("z{}", index % zones);
            self.upstreams.push(SimulatedUpstream {
                announcement: announcement(&format!("{region}-u{index}"), &zone),
                alive: true,
                region: Region::from(region),
                entry_points: Vec::new(),
                varies_load: false,
                accepted: Vec::new(),
            });
            let at = self.now + ms(self.rng.random_range(0..1_000));
            self.schedule(at, Event::Announce(index));
        }
        first
    }

    /// Announces an upstream through an instance now, and returns the result.
    pub fn announce(
        &mut self,
        upstream_index: usize,
        through: usize,
    ) -> Option<AnnouncementResult> {
        let announcement = self.upstreams[upstream_index].announcement.clone();
        let answer = self.announce_as(&announcement, through);
        if matches!(answer, Some(AnnouncementResult::Accepted { .. })) {
            let Announcement { incarnation, sequence, .. } = announcement;
            self.upstreams[upstream_index].accepted.push((self.now, incarnation, sequence));
        }
        answer
    }

    /// Announces any announcement through an instance, and returns the result.
    pub fn announce_as(
        &mut self,
        announcement: &Announcement,
        through: usize,
    ) -> Option<AnnouncementResult> {
        let mut answer = None;
        for output in self.step(through, Input::Announced(Box::new(announcement.clone()))) {
            if let Output::AnnouncementResult(result) = output {
                answer = Some(result);
            }
        }
        answer
    }

    /// Runs the simulation for the given time.
    pub fn run(&mut self, time: Duration) {
        self.run_checked(time, |_| {});
    }

    /// Runs the simulation for the given time, and calls `check` after every event.
    pub fn run_checked(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let (at, _) = *entry.key();
            let event = entry.remove();
            self.now = self.now.max(at);
            self.handle_event(event);
            check(self);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wakeup(index) if self.nodes[index].next_wakeup > self.now => {}
            Event::Wakeup(index) => {
                self.nodes[index].next_wakeup = Duration::MAX;
                if let Some(until) = self.paused_until(index) {
                    self.nodes[index].next_wakeup = until;
                    self.schedule(until, Event::Wakeup(index));
                    return;
                }
                self.step(index, Input::Tick);
            }
            Event::Datagram { to, from, frame } => {
                if let Some(until) = self.paused_until(to) {
                    let run = self.nodes[to].process_run;
                    self.schedule(until, Event::Buffered { run, to, from, frame });
                    return;
                }
                self.deliver(to, from, frame);
            }
            Event::Buffered { run, to, from, frame } => {
                if self.nodes[to].process_run == run {
                    self.handle_event(Event::Datagram { to, from, frame });
                }
            }
            Event::Announce(index) => self.announce_next(index),
        }
    }

    fn paused_until(&self, index: usize) -> Option<Duration> {
        self.nodes[index].paused_until.filter(|until| *until > self.now)
    }

    fn announce_next(&mut self, index: usize) {
        let jitter = self.rng.random_range(950..1_050);
        self.schedule(self.now + ms(jitter), Event::Announce(index));
        if !self.upstreams[index].alive {
            return;
        }
        let is_available =
            |node: usize| self.nodes[node].gossip.is_some() && self.paused_until(node).is_none();
        let in_region =
            |node: &usize| self.nodes[*node].peer.region == self.upstreams[index].region;
        let through = &self.upstreams[index].entry_points;
        let candidates: Vec<usize> = if through.is_empty() {
            (0..self.nodes.len()).filter(in_region).filter(|node| is_available(*node)).collect()
        } else {
            through.iter().copied().filter(|node| is_available(*node)).collect()
        };
        if candidates.is_empty() {
            return;
        }
        let through = candidates[self.rng.random_range(0..candidates.len())];
        let upstream = &mut self.upstreams[index];
        upstream.announcement.sequence += 1;
        if upstream.varies_load {
            let slots = u64::from(upstream.announcement.slots);
            upstream.announcement.load.running =
                (upstream.announcement.sequence * 3 % (slots + 1)) as u32;
        }
        self.announce(index, through);
    }

    fn deliver(&mut self, to: usize, from: SocketAddr, frame: Box<Frame>) {
        if self.nodes[to].gossip.is_none() {
            return;
        }
        self.step(to, Input::Received { from, frame });
    }

    /// Runs the simulation and returns the datagrams of one instance that were not lost.
    pub fn record_sent(&mut self, index: usize, time: Duration) -> Vec<SentDatagram> {
        self.recording = Some((index, Vec::new()));
        self.run(time);
        self.recording.take().map_or(Vec::new(), |(_, frames)| frames)
    }

    /// Steps one instance and sends its datagrams over the network.
    pub fn step(&mut self, index: usize, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let now = self.now;
        let Some(gossip) = self.nodes[index].gossip.as_mut() else { return outputs };
        gossip.step(now, input, &mut outputs);
        for output in &outputs {
            match output {
                Output::Send { to, frame } => self.send(index, *to, frame),
                Output::Member(event) => self.nodes[index].member_events.push((now, event.clone())),
                Output::Upstream(event) => {
                    self.nodes[index].upstream_events.push((now, event.clone()))
                }
                Output::Isolated(it) => self.nodes[index].isolation_events.push((now, *it)),
                Output::AnnouncementResult(_) | Output::ReportReceived(_) => {}
            }
        }
        self.schedule_wakeup(index);
        outputs
    }

    fn schedule_wakeup(&mut self, index: usize) {
        let Some(gossip) = &self.nodes[index].gossip else { return };
        let wake = gossip.next_wakeup().max(self.now);
        if wake < self.nodes[index].next_wakeup {
            self.nodes[index].next_wakeup = wake;
            self.schedule(wake, Event::Wakeup(index));
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, frame: &Frame) {
        let bytes = frame.encode().expect("every frame fits a datagram");
        self.longest_frame = self.longest_frame.max(bytes.len());
        count(&mut self.nodes[index].sent, bytes.len());
        *self.bytes_by_kind.entry(kind(&frame.body)).or_default() += bytes.len() as u64;
        if let Body::Updates(spread) = &frame.body
            && self.count_parts
        {
            self.count_parts(spread);
        }
        let to = usize::from(to.port() - PORT);
        let lost = self.rng.random_range(0..10_000) < self.conditions.loss_per_10_000;
        if to >= self.nodes.len() || lost || self.blocked_links.contains(&(index, to)) {
            return;
        }
        if let Some((from, frames)) = &mut self.recording
            && *from == index
        {
            let frame = Box::new(frame.clone());
            frames.push(SentDatagram { to, from: address(index), frame });
        }
        let copies =
            1 + u32::from(self.rng.random_range(0..10_000) < self.conditions.duplicates_per_10_000);
        for _ in 0..copies {
            count(&mut self.nodes[to].received, bytes.len());
            let delay_ms =
                self.rng.random_range(self.conditions.min_delay_ms..=self.conditions.max_delay_ms);
            let frame = if self.encode_frames {
                Frame::decode(&bytes).expect("an encoded frame can be decoded")
            } else {
                frame.clone()
            };
            let frame = Box::new(frame);
            let event = Event::Datagram { to, from: address(index), frame };
            self.schedule(self.now + ms(delay_ms), event);
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
            *self.bytes_by_kind.entry(name).or_default() += size;
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_number += 1;
        self.events.insert((at, self.event_number), event);
    }

    /// Returns an instance, which must be running.
    pub fn gossip(&self, index: usize) -> &Gossip {
        self.nodes[index].gossip.as_ref().expect("the instance runs")
    }

    /// Iterates over the running instances.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Gossip)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(index, node)| Some((index, node.gossip.as_ref()?)))
    }

    /// Returns the state of the instance `of` as known at the instance `at`.
    pub fn state(&self, at: usize, of: usize) -> Option<State> {
        let name = &self.nodes[of].peer.instance;
        self.gossip(at).member(name).map(|member| member.state())
    }

    /// Returns whether an upstream may get new work from an instance now.
    pub fn usable(&self, at: usize, upstream_index: usize) -> bool {
        let name = &self.upstreams[upstream_index].announcement.upstream;
        let now = self.now;
        self.gossip(at).usable(now).any(|it| it.announcement().upstream == *name)
    }

    /// Returns the number of upstreams that may get new work from an instance now.
    pub fn usable_count(&self, at: usize) -> usize {
        self.gossip(at).usable(self.now).count()
    }

    /// Resets all traffic counters.
    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.sent = Traffic::default();
            node.received = Traffic::default();
        }
        self.bytes_by_kind.clear();
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

/// Returns the encoded size of a part of the updates, in bytes.
fn encoded(part: &impl Serialize) -> u64 {
    postcard::to_stdvec(part).expect("updates can be encoded").len() as u64
}

/// Returns the name of a kind of body.
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
