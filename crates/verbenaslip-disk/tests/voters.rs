//! Voters with data directories that repeatedly lose power.

mod memory;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::name::Instance;
use verbenaslip_disk::{DataDirectory, Options};
use verbenaslip_replica::Replica;
use verbenaslip_replica::input::Input;
use verbenaslip_replica::message::Message;
use verbenaslip_replica::output::{Answer, Output};
use verbenaslip_replica::setup::{Limits, Setup};
use verbenaslip_replica::storage::{Storage, Write};
use verbenaslip_replica::voter::Identity;

use memory::{Loss, MemoryFiles};

const VOTERS: usize = 3;
/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const LOSSES: [Loss; 6] =
    [Loss::All, Loss::Contents, Loss::Names, Loss::Part(40), Loss::Zeros, Loss::Nothing];

struct Voter {
    replica: Replica,
    directory: DataDirectory,
    files: MemoryFiles,
    /// The writes that were not passed to the data directory yet.
    writes: Vec<Write>,
    last_sequence: u64,
    applied: u64,
}

struct Group {
    voters: Vec<Voter>,
    now: Duration,
    queue: Vec<(usize, usize, Message)>,
    random: Pcg64Mcg,
    /// The command that was first applied at each index.
    history: BTreeMap<u64, Arc<[u8]>>,
    committed: u64,
    installs: u64,
}

fn instance(number: usize) -> Instance {
    Instance::from(format!("n{number}").as_str())
}

fn open_voter(number: usize, files: MemoryFiles, now: Duration, seed: u64) -> Voter {
    let options = Options { new_identity: Identity(number as u128 + 1), segment_bytes: 600 };
    let (directory, recovered) = DataDirectory::open_on(files.clone(), options)
        .unwrap_or_else(|error| panic!("voter {number}: {error}, {:?}", files.names()));
    let mut setup = Setup::new(instance(number), (0..VOTERS).map(instance).collect(), seed);
    setup.limits = Limits { snapshot_after_entries: 20, retained_entries: 5, ..Limits::default() };
    let applied = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
    let replica = Replica::open(setup, recovered, now);
    Voter { replica, directory, files, writes: Vec::new(), last_sequence: 0, applied }
}

impl Group {
    fn new(seed: u64) -> Self {
        let voters = (0..VOTERS)
            .map(|n| open_voter(n, MemoryFiles::default(), Duration::ZERO, seed + n as u64));
        Self {
            voters: voters.collect(),
            now: Duration::ZERO,
            queue: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            history: BTreeMap::new(),
            committed: 0,
            installs: 0,
        }
    }

    fn step(&mut self, number: usize, input: Input) {
        let mut outputs = Vec::new();
        self.voters[number].replica.step(self.now, input, &mut outputs);
        for output in outputs {
            self.perform(number, output);
        }
    }

    fn perform(&mut self, number: usize, output: Output) {
        let voter = &mut self.voters[number];
        match output {
            Output::Send { to, message } => {
                let to = (0..VOTERS).find(|n| instance(*n) == to).expect("the receiver is a voter");
                self.queue.push((number, to, message));
            }
            Output::Store { sequence, write } => {
                voter.writes.push(write);
                voter.last_sequence = sequence;
            }
            Output::Apply { position, command } => {
                voter.applied = position.index;
                let first_command =
                    self.history.entry(position.index).or_insert_with(|| command.clone());
                assert_eq!(*first_command, command, "voter {number} applied another command");
            }
            Output::Install(snapshot) => {
                voter.applied = snapshot.position.index;
                self.installs += 1;
            }
            Output::RequestSnapshot { index } => {
                let state = Arc::from(index.to_le_bytes().as_slice());
                self.step(number, Input::Snapshot { index, state });
            }
            Output::Answer { answer: Answer::Committed(position), .. } => {
                self.committed = self.committed.max(position.index);
            }
            _ => {}
        }
    }

    /// Passes the writes to the data directory, and syncs them most of the time.
    fn write_and_sync(&mut self, number: usize) {
        let should_sync = self.random.random_range(0..4) > 0;
        let voter = &mut self.voters[number];
        let writes = std::mem::take(&mut voter.writes);
        voter.directory.write(&writes).expect("the directory accepts every write");
        if should_sync {
            voter.directory.sync().expect("the directory syncs");
            let sequence = voter.last_sequence;
            self.step(number, Input::Stored { sequence });
        }
    }

    fn run_round(&mut self) {
        self.now += TICK_INTERVAL;
        for (from, to, message) in std::mem::take(&mut self.queue) {
            if self.random.random_range(0..20) > 0 {
                self.step(to, Input::Message { from: instance(from), message });
            }
        }
        for number in 0..VOTERS {
            self.step(number, Input::Tick);
            if self.voters[number].replica.is_leader() {
                let token = self.random.random();
                let command = Arc::from(vec![7; self.random.random_range(1..90)]);
                self.step(number, Input::Propose { token, command });
            }
            self.write_and_sync(number);
        }
    }

    fn lose_power(&mut self, number: usize) {
        let loss = LOSSES[self.random.random_range(0..LOSSES.len())];
        let files = self.voters[number].files.after_power_loss(loss);
        let seed = self.random.random();
        self.voters[number] = open_voter(number, files, self.now, seed);
    }
}

// Three voters commit commands, compact their logs, catch up from snapshots, and lose power at any
// time, one by one or all at once, with none or some of the unsynced writes durable. Guards against
// an order of writes that the data directory does not expect, and against writes that are treated
// as durable too early: a voter could not start, or committed commands would be lost.
#[test]
fn voters_lose_nothing_committed_over_power_losses() {
    let mut installs = 0;
    for seed in 0..20 {
        let mut group = Group::new(seed);
        for round in 0..1_500 {
            group.run_round();
            if group.random.random_range(0..60) == 0 {
                let number = group.random.random_range(0..VOTERS);
                group.lose_power(number);
            }
            if round % 400 == 399 {
                (0..VOTERS).for_each(|number| group.lose_power(number));
            }
        }
        let committed = group.committed;
        assert!(committed > 100, "seed {seed}: only {committed} committed");
        (0..500).for_each(|_| group.run_round());
        for (number, voter) in group.voters.iter().enumerate() {
            assert!(
                voter.applied >= committed,
                "seed {seed}: voter {number} has not applied {committed}"
            );
        }
        installs += group.installs;
    }
    assert!(installs > 100, "only {installs} snapshots were installed");
}
