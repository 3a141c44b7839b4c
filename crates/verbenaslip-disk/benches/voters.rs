//! Prints what voters cost: processor time idle and for each command, and the syncs of a folder.

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

/// Time between two looks at the timers.
const TICK: Duration = Duration::from_millis(10);
/// Bytes of a command, about those of a claim or of one edited row.
const COMMAND: usize = 200;
const ROUNDS: usize = 5;

struct Group {
    voters: Vec<Replica>,
    now: Duration,
    queue: Vec<(usize, usize, Message)>,
    committed: u64,
}

fn name(number: usize) -> Instance {
    Instance::from(format!("n{number}").as_str())
}

impl Group {
    fn new(size: usize) -> Self {
        let open = |number: usize| {
            let setup = Setup::new(name(number), (0..size).map(name).collect(), number as u64);
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
        let mut out = Vec::new();
        self.voters[number].step(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let to = (0..self.voters.len()).find(|n| name(*n) == to);
                    self.queue.push((number, to.expect("a known voter"), message));
                }
                Output::Store { sequence: mark, .. } => {
                    self.step(number, Input::Stored { sequence: mark })
                }
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
                self.step(to, Input::Message { from: name(from), message });
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for number in 0..self.voters.len() {
                if self.voters[number].next_tick() <= self.now {
                    self.step(number, Input::Tick);
                }
            }
            self.deliver();
        }
    }

    /// Proposes commands, so many at a time.
    fn propose(&mut self, count: u64, batch: u64) {
        let leader = self.leader().expect("the group has a leader");
        let command: Arc<[u8]> = vec![7; COMMAND].into();
        for token in 0..count {
            let command = command.clone();
            self.step(leader, Input::Propose { token, command });
            if token % batch == batch - 1 {
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
        print(&format!("{size} voters, idle: µs a voter and second"), || {
            let begun = Instant::now();
            group.run(idle);
            micros(begun) / (size as f64 * idle.as_secs_f64())
        });
        for batch in [1, 100] {
            print(&format!("{size} voters, {batch} at a time: µs a command and voter"), || {
                let (begun, before) = (Instant::now(), group.committed);
                group.propose(20_000, batch);
                assert_eq!(group.committed - before, 20_000);
                micros(begun) / (size as f64 * 20_000.0)
            });
        }
    }
    let path = folder();
    for batch in [1, 100] {
        print(&format!("folder, {batch} at a time: µs a write and sync"), || store(&path, batch));
    }
    print("folder with 10,000 commands: ms to open", || {
        let _ = std::fs::remove_dir_all(&path);
        store_many(&path, 100, 100);
        let begun = Instant::now();
        DataDirectory::open(&path).expect("the folder opens");
        micros(begun) / 1_000.0
    });
    let _ = std::fs::remove_dir_all(&path);
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("bench")
}

/// Measures one write and sync of a batch.
fn store(path: &Path, batch: u64) -> f64 {
    const SYNCS: u64 = 200;
    let _ = std::fs::remove_dir_all(path);
    let begun = Instant::now();
    store_many(path, SYNCS, batch);
    micros(begun) / SYNCS as f64
}

fn store_many(path: &Path, syncs: u64, batch: u64) {
    let (mut folder, _) = DataDirectory::open(path).expect("the folder opens");
    folder.write(&[Write::HardState(HardState::default())]).expect("the folder takes the term");
    let command: Arc<[u8]> = vec![7; COMMAND].into();
    for sync in 0..syncs {
        let entry = |index| Entry {
            position: Position { term: 1, index },
            payload: Payload::Command(command.clone()),
        };
        let first = sync * batch + 1;
        let entries = (first..first + batch).map(entry).collect();
        folder.write(&[Write::Append(entries)]).expect("the folder takes entries");
        folder.sync().expect("the folder syncs");
    }
}

fn print(what: &str, mut measure: impl FnMut() -> f64) {
    let mut found: Vec<f64> = (0..ROUNDS).map(|_| measure()).collect();
    found.sort_by(f64::total_cmp);
    println!("| {what} | {:.2} | {:.2} | {:.2} |", found[0], found[ROUNDS / 2], found[ROUNDS - 1]);
}

fn micros(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6
}
