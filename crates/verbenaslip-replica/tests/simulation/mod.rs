//! Simulates several replicas with an in-memory network, and checks the invariants after every
//! step.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

mod disk;
mod invariants;
mod node;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::name::Instance;
use verbenaslip_replica::Replica;
use verbenaslip_replica::config::Change;
use verbenaslip_replica::input::Input;
use verbenaslip_replica::message::{Body, Message};
use verbenaslip_replica::output::{Answer, Output};
use verbenaslip_replica::setup::{Limits, Setup, Timing};

pub use self::disk::Disk;
pub use self::invariants::InvariantChecker;
pub use self::node::{Clock, Node};

/// Returns a duration in milliseconds.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The behavior of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// The rate of lost messages, in thousandths.
    pub loss_per_mille: u32,
    /// The rate of duplicated messages, in thousandths.
    pub duplicated_per_mille: u32,
    /// The minimum and maximum network delay, in microseconds.
    pub delay_micros: (u64, u64),
    /// The rate of messages with up to a hundred times the delay, in thousandths.
    pub delayed_per_mille: u32,
    /// The minimum and maximum duration of a sync, in microseconds.
    pub sync_micros: (u64, u64),
}

impl Conditions {
    /// No messages are lost, and delays are short.
    pub const RELIABLE: Self = Self {
        loss_per_mille: 0,
        duplicated_per_mille: 0,
        delay_micros: (500, 500),
        delayed_per_mille: 0,
        sync_micros: (200, 200),
    };
}

/// A future event.
#[derive(Debug, PartialEq, Eq)]
enum Event {
    Deliver { from: usize, to: usize, message: Box<Message> },
    Timer { node: usize },
    WritesDurable { node: usize, incarnation: u32, sequence: u64 },
    Snapshot { node: usize, incarnation: u32 },
}

#[derive(Debug, PartialEq, Eq)]
struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Selects messages.
pub type MessageFilter = fn(&Message) -> bool;

/// Counts sent messages and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Holds the replicas, the network between them and the true time.
pub struct Simulation {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub conditions: Conditions,
    pub invariants: InvariantChecker,
    pub traffic: Traffic,
    /// The number of snapshots received from a leader.
    pub received_snapshots: u64,
    /// The size of the largest sent message, in bytes.
    pub largest_message: u64,
    pub random: Pcg64Mcg,
    pub steps: u64,
    pub limits: Limits,
    /// Selects the messages that are held instead of delivered.
    pub hold_filter: Option<MessageFilter>,
    pub held_messages: Vec<(usize, usize, Message)>,
    blocked_links: BTreeSet<(usize, usize)>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    last_token: u64,
    /// The answers to proposals and changes.
    pub answers: BTreeMap<u64, Answer>,
    /// The indices of the confirmed reads, or `None` if a read was rejected.
    pub reads: BTreeMap<u64, Option<u64>>,
    founders: usize,
}

/// Returns the instance name of a node.
pub fn instance(node: usize) -> Instance {
    Instance::from(format!("n{node}").as_str())
}

impl Simulation {
    /// Starts founders with new data directories.
    pub fn new(founders: usize, seed: u64) -> Self {
        let limits = Limits {
            snapshot_after_entries: 40,
            retained_entries: 10,
            max_message_bytes: 512,
            max_in_flight_appends: 3,
            ..Limits::default()
        };
        Self::with_limits(founders, seed, limits)
    }

    /// Starts founders with new data directories and the given limits.
    pub fn with_limits(founders: usize, seed: u64, limits: Limits) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            conditions: Conditions::RELIABLE,
            invariants: InvariantChecker::default(),
            traffic: Traffic::default(),
            received_snapshots: 0,
            largest_message: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            steps: 0,
            limits,
            hold_filter: None,
            held_messages: Vec::new(),
            blocked_links: BTreeSet::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            last_token: 0,
            answers: BTreeMap::new(),
            reads: BTreeMap::new(),
            founders,
        };
        for _ in 0..founders {
            simulation.join();
        }
        simulation
    }

    /// Starts founders and waits until one of them is a leader with a lease.
    pub fn with_leader(founders: usize, seed: u64) -> Self {
        let mut simulation = Self::new(founders, seed);
        simulation.wait_for_leader();
        simulation
    }

    /// Adds a node with a new data directory and returns its number.
    pub fn join(&mut self) -> usize {
        let node = self.nodes.len();
        let identity = self.random.random();
        self.nodes.push(Node::new(
            identity,
            Clock { offset: ms(node as u64 * 977), rate_per_mille: 1000 },
        ));
        self.start(node);
        node
    }

    /// Sets a node's clock rate in thousandths of the true rate.
    pub fn set_rate(&mut self, node: usize, rate: u32) {
        // The offset compensates for the new rate, so that the local time does not jump.
        let local_time = self.nodes[node].clock.local_time(self.now);
        let scaled = self.now * rate / 1000;
        self.nodes[node].clock =
            Clock { offset: local_time.saturating_sub(scaled), rate_per_mille: rate };
    }

    /// Runs for a duration.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.next_event_at().is_some_and(|at| at <= end) {
            self.run_next_event();
        }
        self.now = end;
        self.check_invariants();
    }

    /// Runs until a condition holds; returns false if it does not hold within the limit.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        loop {
            if done(self) {
                return true;
            }
            if self.next_event_at().is_none_or(|at| at > end) {
                self.now = end;
                return done(self);
            }
            self.run_next_event();
        }
    }

    /// Waits for a leader with a lease and returns its node.
    pub fn wait_for_leader(&mut self) -> usize {
        let has_leader =
            self.run_until(ms(30_000), |simulation| simulation.leaseholder().is_some());
        assert!(has_leader, "no leader with a lease within 30 s: {:?}", self.summary());
        self.leaseholder().expect("a leaseholder was just found")
    }

    /// Returns the node that holds a valid lease.
    pub fn leaseholder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|&node| self.holds_lease(node) && !self.nodes[node].paused)
    }

    /// Returns whether a node holds a lease that is valid by its own clock.
    pub fn holds_lease(&self, node: usize) -> bool {
        let Some(replica) = &self.nodes[node].replica else { return false };
        replica.lease_until(self.nodes[node].clock.local_time(self.now)).is_some()
    }

    /// Returns the replica of a running node.
    pub fn replica(&self, node: usize) -> &Replica {
        self.nodes[node].replica.as_ref().expect("the node runs")
    }

    /// Proposes a command of the given size on a node, and returns the token.
    pub fn propose_sized(&mut self, node: usize, size: usize) -> u64 {
        let token = self.new_token();
        let mut command = token.to_le_bytes().to_vec();
        command.resize(size.max(8), 7);
        self.invariants.proposed(token);
        self.step(node, Input::Propose { token, command: command.into() });
        token
    }

    /// Proposes a small command on a node, and returns the token.
    pub fn propose(&mut self, node: usize) -> u64 {
        self.propose_sized(node, 8)
    }

    /// Requests a read index from a node, and returns the token.
    pub fn request_read(&mut self, node: usize) -> u64 {
        let token = self.new_token();
        self.invariants.read_requested(token);
        self.step(node, Input::ReadIndex { token });
        token
    }

    /// Requests a voter change from a node, and returns the token.
    pub fn change(&mut self, node: usize, change: Change) -> u64 {
        let token = self.new_token();
        self.step(node, Input::ChangeVoters { token, change });
        token
    }

    /// Tells a node to transfer its leadership.
    pub fn transfer(&mut self, node: usize) {
        self.step(node, Input::TransferLeadership);
    }

    /// Proposes commands to the current leader until one is committed, and returns its index.
    pub fn commit_one(&mut self) -> u64 {
        for _ in 0..20 {
            let leader = self.wait_for_leader();
            let token = self.propose(leader);
            self.run_until(ms(5_000), |simulation| simulation.answers.contains_key(&token));
            if let Some(Answer::Committed(position)) = self.answers.get(&token) {
                return position.index;
            }
        }
        panic!("no command was committed: {:?}", self.summary());
    }

    /// Commits several commands and returns the index of the last one.
    pub fn commit_many(&mut self, count: usize) -> u64 {
        (0..count).map(|_| self.commit_one()).last().expect("the count is at least one")
    }

    /// Drops all messages from one node to another.
    pub fn disconnect_one_way(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Drops all messages between a node and all others.
    pub fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.disconnect_one_way(node, other);
            self.disconnect_one_way(other, node);
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Pauses a node's process while its clock advances.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Resumes a paused node, which first handles the inputs received in the meantime.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        for input in std::mem::take(&mut self.nodes[node].inbox) {
            self.step(node, input);
        }
        self.step(node, Input::Tick);
    }

    /// Fails a node's power: a random number of its pending writes become durable.
    pub fn crash(&mut self, node: usize) {
        let kept = self.random.random_range(0..=self.nodes[node].pending.len());
        self.crash_after_writes(node, kept);
    }

    /// Fails a node's power after a number of its pending writes became durable.
    pub fn crash_after_writes(&mut self, node: usize, kept: usize) {
        self.nodes[node].crash(kept);
    }

    /// Restarts a node on its data directory.
    pub fn restart(&mut self, node: usize) {
        if self.nodes[node].replica.is_none() {
            self.start(node);
        }
    }

    /// Loses a node's disk and restarts the node with a new data directory.
    pub fn lose_disk(&mut self, node: usize) {
        self.nodes[node].crash(0);
        let identity = self.random.random();
        self.nodes[node].disk = Disk::new(identity);
        self.start(node);
    }

    /// Passes an input to a node and performs its outputs.
    pub fn step(&mut self, node: usize, input: Input) {
        if self.nodes[node].paused {
            self.nodes[node].inbox.push(input);
            return;
        }
        let local_time = self.nodes[node].clock.local_time(self.now);
        let Some(replica) = &mut self.nodes[node].replica else { return };
        let mut outputs = Vec::new();
        replica.step(local_time, input, &mut outputs);
        self.steps += 1;
        for output in outputs {
            self.perform(node, output);
        }
        self.schedule_timer(node);
        self.check_invariants();
    }

    /// Delivers the held messages.
    pub fn release_held(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.held_messages) {
            self.schedule_event(ms(1), Event::Deliver { from, to, message: Box::new(message) });
        }
    }

    /// Describes each node in one line.
    pub fn summary(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.summary(self.now)).collect()
    }

    fn new_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn start(&mut self, node: usize) {
        let founders = (0..self.founders).map(instance).collect();
        let mut setup = Setup::new(instance(node), founders, self.random.random());
        setup.limits = self.limits;
        setup.timing = Timing { catch_up_timeout: ms(20_000), ..Timing::default() };
        let now = self.now;
        self.nodes[node].start(setup, now);
        self.invariants.node_started(node);
        self.step(node, Input::Tick);
    }

    fn next_event_at(&self) -> Option<Duration> {
        self.events.peek().map(|scheduled| scheduled.0.at)
    }

    /// Runs the next event.
    pub fn run_next_event(&mut self) {
        let Some(Reverse(scheduled)) = self.events.pop() else { return };
        self.now = self.now.max(scheduled.at);
        match scheduled.event {
            Event::Deliver { from, to, message } => {
                if !self.blocked_links.contains(&(from, to)) {
                    self.step(to, Input::Message { from: instance(from), message: *message });
                }
            }
            Event::Timer { node } => {
                self.nodes[node].timer = None;
                if !self.nodes[node].paused {
                    self.step(node, Input::Tick);
                }
            }
            Event::WritesDurable { node, incarnation, sequence } => {
                if self.nodes[node].incarnation == incarnation {
                    self.nodes[node].sync(sequence);
                    self.step(node, Input::Stored { sequence });
                }
            }
            Event::Snapshot { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    let input = self.nodes[node].snapshot();
                    self.step(node, input);
                }
            }
        }
    }

    fn perform(&mut self, node: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(node, &to, message),
            Output::Store { sequence, write } => {
                self.nodes[node].pending.push((sequence, write));
                let delay = self.random_delay(self.conditions.sync_micros);
                let incarnation = self.nodes[node].incarnation;
                self.schedule_event(delay, Event::WritesDurable { node, incarnation, sequence });
            }
            Output::Apply { position, command } => {
                self.nodes[node].apply(position, &command);
                let state_hash = self.nodes[node].state_hash;
                self.invariants.check_applied(node, position, &command, state_hash);
            }
            Output::Install(snapshot) => {
                let stored_snapshot = self.nodes[node].disk.content.snapshot.as_ref();
                self.received_snapshots += u64::from(stored_snapshot != Some(&snapshot));
                self.nodes[node].install(&snapshot);
                let state_hash = self.nodes[node].state_hash;
                self.invariants.check_installed(node, snapshot.position, state_hash);
            }
            Output::RequestSnapshot { .. } => {
                let incarnation = self.nodes[node].incarnation;
                self.schedule_event(ms(1), Event::Snapshot { node, incarnation });
            }
            Output::Answer { token, answer } => {
                self.invariants.check_answer(token, &answer);
                let before = self.answers.insert(token, answer);
                assert_eq!(before, None, "proposal {token} was answered twice");
            }
            Output::ReadIndex { token, index } => {
                self.invariants.check_read(token, index);
                assert_eq!(
                    self.reads.insert(token, Some(index)),
                    None,
                    "a read was answered twice"
                );
            }
            Output::ReadRejected { token, .. } => {
                assert_eq!(self.reads.insert(token, None), None, "a read was answered twice");
            }
            Output::RoleChanged(role) => self.nodes[node].roles.push(role),
            Output::IdentityChanged(voter) => self.nodes[node].changed_identities.push(voter),
        }
    }

    fn send(&mut self, from: usize, to: &Instance, message: Message) {
        let Some(to) = (0..self.nodes.len()).find(|&node| instance(node) == *to) else { return };
        let bytes = postcard::to_stdvec(&message).expect("messages can be encoded").len() as u64;
        self.traffic.messages += 1;
        self.traffic.bytes += bytes;
        self.largest_message = self.largest_message.max(bytes);
        if self.hold_filter.is_some_and(|filter| filter(&message)) {
            self.held_messages.push((from, to, message));
            return;
        }
        let conditions = self.conditions;
        if self.blocked_links.contains(&(from, to)) || self.chance(conditions.loss_per_mille) {
            return;
        }
        let copies = 1 + u32::from(self.chance(conditions.duplicated_per_mille));
        for _ in 0..copies {
            let mut delay = self.random_delay(conditions.delay_micros);
            if self.chance(conditions.delayed_per_mille) {
                delay *= self.random.random_range(1..100);
            }
            self.schedule_event(
                delay,
                Event::Deliver { from, to, message: Box::new(message.clone()) },
            );
        }
    }

    /// Schedules the next tick of a node.
    fn schedule_timer(&mut self, node: usize) {
        let Some(replica) = &self.nodes[node].replica else { return };
        let at = self.nodes[node].clock.true_time(replica.next_tick()).max(self.now);
        if self.nodes[node].timer.is_none_or(|timer| at < timer) {
            self.nodes[node].timer = Some(at);
            self.schedule_event(at - self.now, Event::Timer { node });
        }
    }

    fn schedule_event(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + delay;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    /// Returns true with a probability given in thousandths.
    pub fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.random.random_range(0..1000) < per_mille
    }

    fn random_delay(&mut self, (min, max): (u64, u64)) -> Duration {
        Duration::from_micros(self.random.random_range(min..=max))
    }

    /// Checks the invariants.
    fn check_invariants(&mut self) {
        let mut leases = 0;
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            let Some(replica) = &node.replica else { continue };
            self.invariants.check_replica(number, replica);
            leases += u32::from(self.holds_lease(number));
        }
        assert!(leases <= 1, "{leases} valid leases at the same time: {:?}", self.summary());
    }
}

/// Returns whether a message is sent by a leader to a follower.
pub fn is_from_leader(message: &Message) -> bool {
    matches!(message.body, Body::Append { .. } | Body::SnapshotChunk { .. })
}

impl Simulation {
    /// Returns all nodes except one.
    pub fn others(&self, node: usize) -> Vec<usize> {
        (0..self.nodes.len()).filter(|other| *other != node).collect()
    }

    /// Drops all messages between two nodes.
    pub fn disconnect(&mut self, one: usize, other: usize) {
        self.disconnect_one_way(one, other);
        self.disconnect_one_way(other, one);
    }

    /// Replaces the voter of a node that lost its disk by its new data directory.
    pub fn replace_lost_voter(&mut self, node: usize) {
        let new = self.replica(node).voter();
        let change = Change::Replace { old: new.instance.clone(), new };
        let leader = self.wait_for_leader();
        let token = self.change(leader, change);
        assert!(self.run_until(ms(20_000), |simulation| simulation.answers.contains_key(&token)));
        let answer = &self.answers[&token];
        assert!(matches!(answer, Answer::Committed(_)), "the replacement ended with {answer:?}");
    }

    /// Ends all faults, commits once more, and checks that every voter has applied everything.
    pub fn recover_and_verify(&mut self) {
        self.heal();
        self.hold_filter = None;
        self.conditions = Conditions::RELIABLE;
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused {
                self.resume(node);
            }
            self.restart(node);
        }
        self.run(ms(5_000));
        let index = self.commit_one();
        self.run(ms(5_000));
        let leader = self.wait_for_leader();
        let config = self.replica(leader).voters().clone();
        for node in 0..self.nodes.len() {
            let replica = self.replica(node);
            let is_behind = config.contains(replica.identity()) && replica.applied_index() < index;
            assert!(!is_behind, "node {node} has not applied {index}: {:?}", self.summary());
        }
    }
}
