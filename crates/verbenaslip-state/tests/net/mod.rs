//! A simulated network of instances that follow the table.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_base::name::Instance;
use verbenaslip_state::propagation::Propagation;
use verbenaslip_state::watch::{Hub, Input, Message, Output, Peer};
use verbenaslip_table::change::apply;
use verbenaslip_table::{Change, Revision, Row, Table};

/// The duration of one step of the network.
pub const TICK: Duration = Duration::from_millis(20);

/// The bytes of a message besides its encoding: frame length and checksum, TCP and IP headers.
pub const OVERHEAD: usize = 8 + 40;

/// How long the leader's own lease lasts after its last contact with the quorum.
pub const QUORUM_LEASE: Duration = Duration::from_secs(1);

/// One instance with its clock and its message counts.
pub struct Node {
    pub hub: Hub,
    pub name: Instance,
    pub voter: bool,
    /// The rate of the instance's clock, in thousandths.
    clock_rate: u32,
    now: Duration,
    paused: bool,
    inbox: Vec<Input>,
    boots: u64,
    pub counts: Counts,
    /// The last revision that the hub reported, to check that revisions never decrease.
    pub revision: Revision,
}

#[derive(Clone, Copy, Default, Debug)]
pub struct Counts {
    pub messages: usize,
    pub bytes: usize,
}

/// Delivers messages with a delay, and optionally with loss, duplication and partitions.
pub struct Net {
    pub nodes: Vec<Node>,
    pub now: Duration,
    rng: Pcg64,
    in_transit: BTreeMap<(Duration, u64), TransitMessage>,
    sent: u64,
    /// Pairs of sender and receiver between which no message passes.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The rates of lost and of duplicated messages, in thousandths.
    pub loss: u32,
    pub duplicates: u32,
    /// The maximum delay of a message.
    pub delay: Duration,
    pub leader: Option<usize>,
    /// The last committed table.
    pub table: Arc<Table>,
    pub revision: Revision,
    log: Vec<Arc<[Change]>>,
    /// The newest revision that a leader reported as in force everywhere.
    pub in_force: Revision,
}

struct TransitMessage {
    from: usize,
    to: usize,
    message: Message,
}

impl Net {
    /// Creates `count` instances in three availability zones; the first `voters` of them vote.
    pub fn new(count: usize, voters: usize, seed: u64) -> Self {
        let nodes = (0..count).map(|number| Node::new(number, number < voters)).collect();
        let mut net = Self {
            nodes,
            now: Duration::ZERO,
            rng: Pcg64::seed_from_u64(seed),
            in_transit: BTreeMap::new(),
            sent: 0,
            cuts: BTreeSet::new(),
            loss: 0,
            duplicates: 0,
            delay: Duration::from_millis(5),
            leader: None,
            table: Arc::default(),
            revision: Revision(0),
            log: Vec::new(),
            in_force: Revision(0),
        };
        let peers = net.peers();
        for node in &mut net.nodes {
            node.inbox.push(Input::Peers(peers.clone()));
        }
        net
    }

    fn peers(&self) -> Vec<Peer> {
        let peer = |(number, node): (usize, &Node)| Peer {
            instance: node.name.clone(),
            zone: zone(number).into(),
            voter: node.voter,
        };
        self.nodes.iter().enumerate().map(peer).collect()
    }

    /// Makes a voter the leader; the previous leader keeps its lease until it expires.
    pub fn elect(&mut self, leader: usize) {
        self.leader = Some(leader);
        let name = self.nodes[leader].name.clone();
        for node in self.nodes.iter_mut().filter(|node| node.voter) {
            node.inbox.push(Input::Leader(Some(name.clone())));
        }
        self.sync_from_log(leader);
    }

    /// Commits an edit; voters that the leader can reach receive it at once.
    pub fn commit(&mut self, changes: &[Change]) -> Revision {
        let table = apply(&self.table, changes).expect("changes are valid");
        self.table = Arc::new(table);
        self.revision = self.revision.next();
        self.log.push(changes.into());
        let leader = self.leader.expect("there is a leader");
        for voter in 0..self.nodes.len() {
            let reached = !self.cuts.contains(&(leader, voter));
            if self.nodes[voter].voter && reached && !self.nodes[voter].paused {
                self.sync_from_log(voter);
            }
        }
        self.revision
    }

    /// Commits `count` edits of one row at once.
    pub fn commit_many(&mut self, count: u32) {
        for number in 0..count {
            self.commit(&[weight("check", number % 999 + 1)]);
        }
    }

    /// Gives a voter the committed changes that it lacks.
    pub fn sync_from_log(&mut self, voter: usize) {
        let node = &mut self.nodes[voter];
        let restored = Input::Restored { revision: self.revision, table: self.table.clone() };
        let last = self.log.last().filter(|_| node.revision.next() == self.revision);
        let input = match last {
            Some(changes) => Input::Committed {
                revision: self.revision,
                changes: changes.clone(),
                table: self.table.clone(),
            },
            None => restored,
        };
        self.step_node(voter, input);
    }

    /// Advances the time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.renew_leader_lease();
            self.deliver();
            self.tick();
            self.check_invariants();
        }
    }

    /// Advances the time until a condition holds; returns how long that took.
    pub fn until(&mut self, max: Duration, condition: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + max {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(TICK);
        }
        None
    }

    /// Restarts an instance, which keeps nothing but what voters store on disk.
    pub fn restart(&mut self, number: usize) {
        let peers = self.peers();
        let node = &mut self.nodes[number];
        node.boots += 1;
        let boot = node.boots * 1_000 + number as u64;
        node.hub = Hub::new(node.name.clone(), zone(number).into(), boot);
        node.inbox = vec![Input::Peers(peers)];
        node.revision = Revision(0);
        node.paused = false;
        let voter = node.voter;
        let leader = self.leader.map(|leader| self.nodes[leader].name.clone());
        self.nodes[number].inbox.push(Input::Leader(leader));
        if voter {
            self.sync_from_log(number);
        }
    }

    /// Pauses an instance; its messages wait and its clock continues.
    pub fn pause(&mut self, number: usize) {
        self.nodes[number].paused = true;
    }

    pub fn resume(&mut self, number: usize) {
        self.nodes[number].paused = false;
    }

    /// Sets the rate of an instance's clock, in thousandths.
    pub fn set_clock_rate(&mut self, number: usize, clock_rate: u32) {
        self.nodes[number].clock_rate = clock_rate;
    }

    /// Isolates an instance in both directions.
    pub fn isolate(&mut self, number: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != number) {
            self.cuts.insert((number, other));
            self.cuts.insert((other, number));
        }
    }

    /// Partitions the instances into two groups.
    pub fn partition(&mut self, inside: impl Fn(usize) -> bool) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if inside(from) != inside(to) {
                    self.cuts.insert((from, to));
                }
            }
        }
    }

    pub fn ready(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        !node.paused && node.hub.ready(node.now)
    }

    pub fn all_ready(&self) -> bool {
        (0..self.nodes.len()).all(|number| self.ready(number))
    }

    /// Returns what the leader knows about the newest revision.
    pub fn propagation(&self) -> Option<Propagation> {
        let leader = &self.nodes[self.leader?];
        leader.hub.propagation(leader.now, self.revision)
    }

    pub fn is_in_force(&self) -> bool {
        self.propagation().is_some_and(|propagation| propagation.is_complete())
    }

    pub fn number(&self, name: &Instance) -> usize {
        self.nodes.iter().position(|node| node.name == *name).expect("the name is known")
    }

    /// Returns an instance that has followers and is not a voter.
    pub fn relay(&self) -> usize {
        let followed = self.nodes.iter().filter_map(|node| node.hub.followed_publisher());
        let mut relays = followed.map(|name| self.number(name));
        relays.find(|number| !self.nodes[*number].voter).expect("there is a relay")
    }

    pub fn reset_counts(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.counts = Counts::default());
    }

    /// Renews the leader's own lease while it reaches a majority of the voters.
    fn renew_leader_lease(&mut self) {
        let Some(leader) = self.leader else { return };
        let voters: Vec<usize> =
            (0..self.nodes.len()).filter(|number| self.nodes[*number].voter).collect();
        let reached = voters.iter().filter(|voter| {
            let cut =
                self.cuts.contains(&(leader, **voter)) || self.cuts.contains(&(**voter, leader));
            **voter == leader || !(cut || self.nodes[**voter].paused)
        });
        if reached.count() * 2 > voters.len() && !self.nodes[leader].paused {
            let until = self.nodes[leader].now + QUORUM_LEASE;
            self.nodes[leader].inbox.push(Input::Leading(Some(until)));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry()
            && entry.key().0 <= self.now
        {
            let TransitMessage { from, to, message } = entry.remove();
            let from = self.nodes[from].name.clone();
            self.nodes[to].inbox.push(Input::Receive { from, message });
        }
    }

    fn tick(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            node.now += TICK * node.clock_rate / 1_000;
            if node.paused {
                continue;
            }
            for input in std::mem::take(&mut node.inbox) {
                self.step_node(number, input);
            }
            self.step_node(number, Input::Tick);
        }
    }

    fn step_node(&mut self, number: usize, input: Input) {
        let mut out = Vec::new();
        let node = &mut self.nodes[number];
        node.hub.step(node.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => self.send(number, &to, &message),
                Output::Table { revision, .. } => {
                    let node = &mut self.nodes[number];
                    assert!(revision > node.revision, "{} went back to {revision}", node.name);
                    node.revision = revision;
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &Instance, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("message is encoded").len() + OVERHEAD;
        assert!(bytes < 9 * 1_024, "message of {bytes} bytes");
        let to = self.number(to);
        for number in [from, to] {
            self.nodes[number].counts.messages += 1;
            self.nodes[number].counts.bytes += bytes;
        }
        if self.cuts.contains(&(from, to)) || self.rng.random_range(0..1_000) < self.loss {
            return;
        }
        let copies = if self.rng.random_range(0..1_000) < self.duplicates { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay.as_millis() as u64;
            let delay = Duration::from_millis(self.rng.random_range(1..=delay));
            self.sent += 1;
            let transit_message = TransitMessage { from, to, message: message.clone() };
            self.in_transit.insert((self.now + delay, self.sent), transit_message);
        }
    }

    /// Checks the invariants: every instance that accepts work has all revisions that any leader
    /// reported as in force everywhere, and its table is the committed one.
    fn check_invariants(&mut self) {
        if self.is_in_force() {
            self.in_force = self.revision;
        }
        for node in self.nodes.iter().filter(|node| !node.paused && node.hub.ready(node.now)) {
            let (revision, in_force) = (node.hub.revision(), self.in_force);
            let lagging = format!("{} serves by {revision}, {in_force} is in force", node.name);
            assert!(revision >= in_force, "{lagging} at {:?}", self.now);
            if revision == self.revision {
                assert_eq!(node.hub.table(), &self.table, "{}", node.name);
            }
        }
    }
}

impl Node {
    fn new(number: usize, voter: bool) -> Self {
        let name = Instance::new(format!("entry-{number}"));
        Self {
            hub: Hub::new(name.clone(), zone(number).into(), number as u64),
            name,
            voter,
            clock_rate: 1_000,
            // Clocks of different instances share nothing but their rate.
            now: Duration::from_secs(100 + number as u64 * 17),
            paused: false,
            inbox: Vec::new(),
            boots: 0,
            counts: Counts::default(),
            revision: Revision(0),
        }
    }
}

fn zone(number: usize) -> &'static str {
    ["arendal", "skarvik", "torshamn"][number % 3]
}

pub fn weight(class: &str, weight: u32) -> Change {
    let mut row = Row::new("agents", class);
    row.weight = weight;
    Change::Put(row)
}

/// Returns changes that put `count` rows.
pub fn rows(count: usize) -> Vec<Change> {
    (0..count).map(|number| weight(&format!("class-{number}"), 5)).collect()
}
