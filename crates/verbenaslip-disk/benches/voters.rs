//! Measures the cost of voters: CPU time when idle and per command, and syncs of a data directory.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use verbenaslip_base::name::Instance;
use verbenaslip_disk::DataDirectory;
use verbenaslip_replica::Replica;
use verbenaslip_replica::entry::{Entry, Payload, Position};
use verbenaslip_replica::input::Input;
use verbenaslip_replica::message::Message;
use verbenaslip_replica::output::Output;
use verbenaslip_replica::setup::Setup;
use verbenaslip_replica::storage::{HardState, Recovered, Storage, Write};
use verbenaslip_replica::voter::Identity;

/// The time between two checks of the timers.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The size of a command, similar to that of a claim or of one edited row.
const COMMAND_BYTES: usize = 200;
const MEASUREMENTS: usize = 5;

struct Group {
    voters: Vec<Replica>,
    now: Duration,
    queue: Vec<(usize, usize, Message)>,
    committed: u64,
}

fn instance(number: usize) -> Instance {
    Instance::from(format!("n{number}").as_str())
}

impl Group {
    fn new(size: usize) -> Self {
        let open = |number: usize| {
            let setup =
                Setup::new(instance(number), (0..size).map(instance).collect(), number as u64);
            let recovered = Recovered::empty(Identity(number as u128 + 1));
            Replica::open(setup, recovered, Duration::ZERO)
        };
        let voters = (0..size).map(open).collect();
        let mut group = Self { voters, now: Duration::ZERO, queue: Vec::new(), committed: 0 };
        group.run(Duration::from_secs(10));
        assert!(group.leader().is_some(), "a group without faults has a leader");
        group
    }

    fn leader(&self) -> Option<usize> {
        self.voters.iter().position(Replica::is_leader)
    }

    fn step(&mut self, number: usize, input: Input) {
        let mut outputs = Vec::new();
        self.voters[number].step(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let to = (0..self.voters.len()).find(|n| instance(*n) == to);
                    self.queue.push((number, to.expect("the receiver is a voter"), message));
                }
                Output::Store { sequence, .. } => self.step(number, Input::Stored { sequence }),
                Output::RequestSnapshot { index } => {
                    let state = Arc::from([0; 100].as_slice());
                    self.step(number, Input::Snapshot { index, state });
                }
                Output::Answer { .. } => self.committed += 1,
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        while !self.queue.is_empty() {
            for (from, to, message) in std::mem::take(&mut self.queue) {
                self.step(to, Input::Message { from: instance(from), message });
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for number in 0..self.voters.len() {
                if self.voters[number].next_tick() <= self.now {
                    self.step(number, Input::Tick);
                }
            }
            self.deliver();
        }
    }

    /// Proposes commands in batches.
    fn propose(&mut self, count: u64, batch_size: u64) {
        let leader = self.leader().expect("the group has a leader");
        let command: Arc<[u8]> = vec![7; COMMAND_BYTES].into();
        for token in 0..count {
            let command = command.clone();
            self.step(leader, Input::Propose { token, command });
            if token % batch_size == batch_size - 1 {
                self.deliver();
            }
        }
        self.deliver();
    }
}

fn main() {
    println!("| what | least | median | most |");
    println!("|---|---|---|---|");
    for size in [3, 5] {
        let mut group = Group::new(size);
        let idle = Duration::from_secs(1_000);
        print_row(&format!("{size} voters, idle: µs a voter and second"), || {
            let started_at = Instant::now();
            group.run(idle);
            elapsed_micros(started_at) / (size as f64 * idle.as_secs_f64())
        });
        for batch_size in [1, 100] {
            print_row(
                &format!("{size} voters, {batch_size} at a time: µs a command and voter"),
                || {
                    let (started_at, committed_before) = (Instant::now(), group.committed);
                    group.propose(20_000, batch_size);
                    assert_eq!(group.committed - committed_before, 20_000);
                    elapsed_micros(started_at) / (size as f64 * 20_000.0)
                },
            );
        }
    }
    let path = directory_path();
    for batch_size in [1, 100] {
        print_row(&format!("folder, {batch_size} at a time: µs a write and sync"), || {
            measure_write_and_sync(&path, batch_size)
        });
    }
    print_row("folder with 10,000 commands: ms to open", || {
        let _ = std::fs::remove_dir_all(&path);
        write_and_sync_batches(&path, 100, 100);
        let started_at = Instant::now();
        DataDirectory::open(&path).expect("the directory opens");
        elapsed_micros(started_at) / 1_000.0
    });
    let _ = std::fs::remove_dir_all(&path);
}

fn directory_path() -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("bench")
}

/// Returns the time of one write and sync of a batch, in microseconds.
fn measure_write_and_sync(path: &Path, batch_size: u64) -> f64 {
    const SYNCS: u64 = 200;
    let _ = std::fs::remove_dir_all(path);
    let started_at = Instant::now();
    write_and_sync_batches(path, SYNCS, batch_size);
    elapsed_micros(started_at) / SYNCS as f64
}

fn write_and_sync_batches(path: &Path, syncs: u64, batch_size: u64) {
    let (mut directory, _) = DataDirectory::open(path).expect("the directory opens");
    directory.write(&[Write::HardState(HardState::default())]).expect("the write succeeds");
    let command: Arc<[u8]> = vec![7; COMMAND_BYTES].into();
    for sync in 0..syncs {
        let entry = |index| Entry {
            position: Position { term: 1, index },
            payload: Payload::Command(command.clone()),
        };
        let first = sync * batch_size + 1;
        let entries = (first..first + batch_size).map(entry).collect();
        directory.write(&[Write::Append(entries)]).expect("the write succeeds");
        directory.sync().expect("the sync succeeds");
    }
}

fn print_row(label: &str, mut measure: impl FnMut() -> f64) {
    let mut measurements: Vec<f64> = (0..MEASUREMENTS).map(|_| measure()).collect();
    measurements.sort_by(f64::total_cmp);
    println!(
        "| {label} | {:.2} | {:.2} | {:.2} |",
        measurements[0],
        measurements[MEASUREMENTS / 2],
        measurements[MEASUREMENTS - 1]
    );
}

fn elapsed_micros(started_at: Instant) -> f64 {
    started_at.elapsed().as_secs_f64() * 1e6
}
