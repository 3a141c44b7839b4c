//! Forming the group while a founder is killed.

use std::collections::VecDeque;
use std::time::Duration;

use verbenaslip_base::name::Instance;
use verbenaslip_replica::Replica;
use verbenaslip_replica::input::Input;
use verbenaslip_replica::message::Message;
use verbenaslip_replica::output::Output;
use verbenaslip_replica::setup::Setup;
use verbenaslip_replica::storage::{Recovered, Write};
use verbenaslip_replica::voter::Identity;

const FOUNDER_COUNT: usize = 3;

/// Time between two steps of all founders, and of each message on its way.
const STEP: Duration = Duration::from_millis(10);

/// Time after the kill by which the group must have a leader.
const FORMING_TIMEOUT: Duration = Duration::from_secs(10);

/// Founders with disks and a network, which loses nothing while both ends run.
struct Founders {
    now: Duration,
    replicas: Vec<Option<Replica>>,
    disks: Vec<Recovered>,
    messages: VecDeque<(usize, usize, Message)>,
    identity_count: u128,
}

impl Founders {
    fn new() -> Self {
        let mut founders = Self {
            now: Duration::ZERO,
            replicas: (0..FOUNDER_COUNT).map(|_| None).collect(),
            disks: Vec::new(),
            messages: VecDeque::new(),
            identity_count: 0,
        };
        for _ in 0..FOUNDER_COUNT {
            let disk = founders.new_disk();
            founders.disks.push(Recovered { founders: names(), ..disk });
        }
        founders
    }

    fn new_disk(&mut self) -> Recovered {
        self.identity_count += 1;
        Recovered::empty(Identity(self.identity_count))
    }

    fn start(&mut self, node: usize) {
        let setup = Setup::new(names()[node].clone(), Vec::new(), node as u64 + 1);
        self.replicas[node] = Some(Replica::open(setup, self.disks[node].clone(), self.now));
    }

    fn step(&mut self, node: usize, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(replica) = &mut self.replicas[node] else { return };
            let mut outputs = Vec::new();
            replica.step(self.now, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { to, message } => {
                        let to = names().iter().position(|it| *it == to).expect("a founder");
                        self.messages.push_back((node, to, message));
                    }
                    Output::Store { sequence, write } => {
                        store(&mut self.disks[node], write);
                        inputs.push_back(Input::Stored { sequence });
                    }
                    _ => {}
                }
            }
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            for (from, to, message) in std::mem::take(&mut self.messages) {
                self.step(to, Input::Message { from: names()[from].clone(), message });
            }
            (0..FOUNDER_COUNT).for_each(|node| self.step(node, Input::Tick));
        }
    }

    fn has_leader(&self) -> bool {
        let mut running = self.replicas.iter().flatten();
        running.any(|it| it.lease_until(self.now).is_some())
    }

    fn group_count(&self) -> usize {
        let groups = self.replicas.iter().flatten().filter_map(Replica::group);
        let mut groups: Vec<u128> = groups.map(|it| it.0).collect();
        groups.sort_unstable();
        groups.dedup();
        groups.len()
    }
}

fn names() -> Vec<Instance> {
    (0..FOUNDER_COUNT).map(|node| Instance::new(format!("core-{node}"))).collect()
}

fn store(disk: &mut Recovered, write: Write) {
    match write {
        Write::HardState(hard_state) => disk.hard_state = hard_state,
        Write::Append(entries) => disk.entries.extend(entries),
        Write::Truncate { from } => disk.entries.retain(|it| it.position.index < from),
        Write::Compact { .. } | Write::Install(_) => {}
    }
}

/// Plays one kill of each founder at every 50 ms of the first 3 s; returns those after which there is
/// no leader, or more than one group.
fn failed_kills(wipes: bool, starts_ms: [u64; FOUNDER_COUNT]) -> Vec<String> {
    let mut failed = Vec::new();
    for killed in 0..FOUNDER_COUNT {
        for at_ms in (0..3_000).step_by(50).map(|it| it + starts_ms[killed]) {
            let mut founders = Founders::new();
            let mut events: Vec<(u64, usize)> =
                (0..).zip(starts_ms).map(|it| (it.1, it.0)).collect();
            events.extend([(at_ms, killed), (at_ms + 300, killed)]);
            events.sort_by_key(|(at_ms, _)| *at_ms);
            let mut start_count = 0;
            for (event_ms, node) in events {
                founders.run_until(Duration::from_millis(event_ms));
                let is_kill = node == killed && start_count == 1;
                start_count += usize::from(node == killed);
                if !is_kill {
                    founders.start(node);
                    continue;
                }
                founders.replicas[node] = None;
                if wipes {
                    founders.disks[node] = founders.new_disk();
                }
            }
            founders.run_until(Duration::from_millis(at_ms) + FORMING_TIMEOUT);
            if !founders.has_leader() || founders.group_count() != 1 {
                failed.push(format!("founder {killed} at {at_ms} ms"));
            }
        }
    }
    failed
}

// Guards against a founder that is forgotten by all if it restarts before the group is formed.
#[test]
fn the_group_is_formed_although_a_founder_is_killed_before() {
    for starts_ms in [[0, 0, 0], [0, 100, 200], [200, 100, 0]] {
        assert_eq!(failed_kills(false, starts_ms), Vec::<String>::new(), "{starts_ms:?}");
    }
}

// Guards against a founder that has lost its disk, and that the others wait for.
#[test]
fn the_group_is_formed_although_a_founder_loses_its_disk_before() {
    for starts_ms in [[0, 0, 0], [0, 100, 200], [200, 100, 0]] {
        assert_eq!(failed_kills(true, starts_ms), Vec::<String>::new(), "{starts_ms:?}");
    }
}
