//! The data directory under power loss at every operation, with full disks and with damage.

mod memory;

use std::sync::Arc;

use verbenaslip_disk::{DataDirectory, Options};
use verbenaslip_replica::config::Config;
use verbenaslip_replica::entry::{Entry, Payload, Position};
use verbenaslip_replica::storage::{Error, HardState, Recovered, Snapshot, Storage, Write};
use verbenaslip_replica::voter::{Group, Identity};

use memory::{Loss, MemoryFiles};

/// Uses small log files, so that the test writes several of them.
const SMALL_SEGMENTS: Options = Options { new_identity: Identity(7), segment_bytes: 300 };
/// Uses a single log file.
const ONE_SEGMENT: Options = Options { segment_bytes: 4 << 20, ..SMALL_SEGMENTS };

/// The tested kinds of power loss.
const LOSSES: [Loss; 9] = [
    Loss::All,
    Loss::Contents,
    Loss::Names,
    Loss::Part(1),
    Loss::Part(15),
    Loss::Part(70),
    Loss::Part(400),
    Loss::Zeros,
    Loss::Nothing,
];

fn entry(term: u64, index: u64) -> Entry {
    let size = 10 + (index as usize * 37) % 90;
    let command: Arc<[u8]> = vec![term as u8; size].into();
    Entry { position: Position { term, index }, payload: Payload::Command(command) }
}

fn append(term: u64, indices: std::ops::RangeInclusive<u64>) -> Write {
    Write::Append(indices.map(|index| entry(term, index)).collect())
}

fn hard_state(term: u64) -> Write {
    Write::HardState(HardState { group: Some(Group(1)), term, voted: Some(Identity(term.into())) })
}

fn snapshot(term: u64, index: u64) -> Arc<Snapshot> {
    let position = Position { term, index };
    Arc::new(Snapshot { position, config: Config::default(), state: vec![9; 100].into() })
}

/// Returns batches of writes, each of which is synced before the next.
fn write_batches() -> Vec<Vec<Write>> {
    vec![
        vec![hard_state(1), append(1, 1..=1)],
        vec![append(1, 2..=5)],
        vec![append(1, 6..=9), append(1, 10..=10)],
        vec![hard_state(2), Write::Truncate { from: 8 }, append(2, 8..=12)],
        vec![Write::Compact { snapshot: snapshot(2, 9), first: 5 }, append(2, 13..=14)],
        vec![Write::Truncate { from: 13 }],
        vec![hard_state(3), append(3, 13..=20)],
        vec![Write::Compact { snapshot: snapshot(3, 18), first: 15 }],
        vec![hard_state(4), Write::Install(snapshot(4, 40))],
        vec![append(4, 41..=45)],
        vec![Write::Truncate { from: 41 }, append(5, 41..=42), hard_state(5)],
        vec![Write::Install(snapshot(5, 60)), append(5, 61..=63)],
        vec![append(5, 64..=70)],
        vec![hard_state(6), Write::Install(snapshot(6, 66)), append(6, 67..=68)],
    ]
}

/// The expected content of a data directory.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
}

impl Model {
    fn apply(&mut self, write: &Write) {
        match write {
            Write::HardState(hard_state) => self.hard_state = *hard_state,
            Write::Append(entries) => self.entries.extend(entries.iter().cloned()),
            Write::Truncate { from } => self.entries.retain(|e| e.position.index < *from),
            Write::Compact { snapshot, .. } => self.snapshot = Some(snapshot.clone()),
            Write::Install(snapshot) => {
                self.entries.clear();
                self.snapshot = Some(snapshot.clone());
            }
        }
    }

    fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index)
    }

    /// Returns whether the recovered content has everything in this model. Entries before the end
    /// of the snapshot are not compared.
    fn matches(&self, recovered: &Recovered) -> bool {
        let snapshot_index = self.snapshot_index();
        let expected: Vec<&Entry> =
            self.entries.iter().filter(|e| e.position.index > snapshot_index).collect();
        let found: Vec<&Entry> =
            recovered.entries.iter().filter(|e| e.position.index > snapshot_index).collect();
        recovered.hard_state == self.hard_state
            && recovered.snapshot == self.snapshot
            && found == expected
    }
}

/// Writes the batches until the power fails. Returns the acknowledged content, and every state that
/// the unacknowledged writes may have reached.
fn run_until_failure(files: &MemoryFiles) -> (Model, Vec<Model>) {
    let mut acknowledged = Model::default();
    let Ok((mut directory, _)) = DataDirectory::open_on(files.clone(), SMALL_SEGMENTS) else {
        return (acknowledged, Vec::new());
    };
    for batch in write_batches() {
        let mut intermediate_states = vec![acknowledged.clone()];
        let mut model = acknowledged.clone();
        for write in &batch {
            // Entries are added and removed one by one, the last one first; other writes are
            // atomic.
            match write {
                Write::Truncate { from } => {
                    while model.entries.last().is_some_and(|last| last.position.index >= *from) {
                        model.entries.pop();
                        intermediate_states.push(model.clone());
                    }
                }
                Write::Append(entries) => intermediate_states.extend(entries.iter().map(|entry| {
                    model.entries.push(entry.clone());
                    model.clone()
                })),
                _ => {
                    model.apply(write);
                    intermediate_states.push(model.clone());
                }
            }
        }
        if directory.write(&batch).and_then(|()| directory.sync()).is_err() {
            return (acknowledged, intermediate_states);
        }
        acknowledged = model;
    }
    (acknowledged.clone(), vec![acknowledged])
}

// The power fails at each operation on the files; unsynced contents and names are lost, kept or
// torn. Guards against a wrong order of writes, renames and syncs, after which a voter forgets a
// vote or acknowledged entries, or can't be opened.
#[test]
fn power_loss_at_every_operation_keeps_what_was_acknowledged() {
    let files = MemoryFiles::default();
    run_until_failure(&files);
    let operations = files.operations();
    assert!(operations > 100, "{operations} operations");
    for operation in 0..=operations {
        for loss in LOSSES {
            let files = MemoryFiles::default();
            files.fail_at(operation);
            let (acknowledged, intermediate_states) = run_until_failure(&files);
            let remaining_files = files.after_power_loss(loss);
            let result = DataDirectory::open_on(remaining_files.clone(), SMALL_SEGMENTS);
            let (directory, recovered) = result.unwrap_or_else(|error| {
                panic!(
                    "operation {operation}, {loss:?}: {error}, files {:?}",
                    remaining_files.names()
                )
            });
            let is_kept = acknowledged.matches(&recovered)
                || intermediate_states
                    .iter()
                    .any(|model| is_intermediate_state(&acknowledged, model, &recovered));
            let positions: Vec<Position> = recovered.entries.iter().map(|e| e.position).collect();
            assert!(
                is_kept,
                "operation {operation}, {loss:?}: {:?} {positions:?}",
                recovered.hard_state
            );
            assert!(is_consistent(&recovered), "operation {operation}, {loss:?}: {positions:?}");
            check_accepts_writes(directory, &recovered, &remaining_files);
        }
    }
    println!("{operations} operations, {} losses each", LOSSES.len());
}

/// Returns whether the entries contain the snapshot's position or directly follow it.
fn is_consistent(recovered: &Recovered) -> bool {
    let snapshot_position =
        recovered.snapshot.as_ref().map(|snapshot| snapshot.position).unwrap_or_default();
    let first_index = recovered.entries.first().map(|entry| entry.position.index);
    let follows = first_index.is_none_or(|first_index| first_index == snapshot_position.index + 1);
    follows || recovered.entries.iter().any(|entry| entry.position == snapshot_position)
}

/// Returns whether the recovered content is a state between the last acknowledgement and `model`.
fn is_intermediate_state(acknowledged: &Model, model: &Model, recovered: &Recovered) -> bool {
    // The hard state and snapshots are durable at once, log records only after a sync.
    let is_known_hard_state =
        [acknowledged.hard_state, model.hard_state].contains(&recovered.hard_state);
    let with_recovered_hard_state = Model { hard_state: recovered.hard_state, ..model.clone() };
    is_known_hard_state
        && (with_recovered_hard_state.matches(recovered)
            || holds_committed(acknowledged, model, recovered))
}

/// Returns whether the recovered content has the newer snapshot of `model`, and every acknowledged
/// entry of `model` after it. Unsynced records after the snapshot may be lost.
fn holds_committed(acknowledged: &Model, model: &Model, recovered: &Recovered) -> bool {
    if recovered.snapshot != model.snapshot {
        return false;
    }
    let snapshot_index = model.snapshot_index();
    let expected = |e: &&Entry| e.position.index > snapshot_index && model.entries.contains(e);
    acknowledged.entries.iter().filter(expected).all(|e| recovered.entries.contains(e))
        && recovered
            .entries
            .iter()
            .all(|e| e.position.index <= snapshot_index || model.entries.contains(e))
}

/// Checks that a recovered data directory accepts and stores more writes.
fn check_accepts_writes(mut directory: DataDirectory, recovered: &Recovered, files: &MemoryFiles) {
    let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
    let last = recovered.entries.last().map_or(snapshot_index, |entry| entry.position.index);
    let writes = [hard_state(9), append(9, last + 1..=last + 3)];
    directory
        .write(&writes)
        .and_then(|()| directory.sync())
        .expect("a recovered directory accepts writes");
    let (_, reopened) = DataDirectory::open_on(files.after_power_loss(Loss::All), SMALL_SEGMENTS)
        .expect("synced content can be read");
    assert_eq!(
        reopened.entries.last().map(|e| e.position),
        Some(Position { term: 9, index: last + 3 })
    );
    assert_eq!(reopened.identity, recovered.identity);
}

// A process crashes before a sync. The next process reads its entries and acknowledges them, and
// then the power fails. Guards against treating readable content as durable: acknowledged entries
// would be lost.
#[test]
fn loaded_content_is_durable() {
    let files = MemoryFiles::default();
    let (mut directory, _) =
        DataDirectory::open_on(files.clone(), SMALL_SEGMENTS).expect("a new directory opens");
    directory.write(&[hard_state(1), append(1, 1..=3)]).expect("the writes succeed");
    drop(directory);
    let files = files.after_process_exit();
    let (_, reopened) =
        DataDirectory::open_on(files.clone(), SMALL_SEGMENTS).expect("the directory opens again");
    let (_, after_power_loss) =
        DataDirectory::open_on(files.after_power_loss(Loss::All), SMALL_SEGMENTS)
            .expect("the directory opens after a power loss");
    assert_eq!(reopened.entries.len(), 3);
    assert_eq!(after_power_loss.entries, reopened.entries);
}

// The disk becomes full in the middle of a record. Guards against accepting writes after a failed
// one: a voter would acknowledge entries that are not stored.
#[test]
fn a_full_disk_stops_writes_and_corrupts_nothing() {
    for free_bytes in 0..300 {
        let files = MemoryFiles::default();
        let (mut directory, _) =
            DataDirectory::open_on(files.clone(), SMALL_SEGMENTS).expect("a new directory opens");
        let first_batch = [hard_state(1), append(1, 1..=3)];
        directory
            .write(&first_batch)
            .and_then(|()| directory.sync())
            .expect("there is enough space");
        files.set_free_bytes(Some(free_bytes));
        let second_batch = [append(1, 4..=6), hard_state(2)];
        let Err(error) = directory.write(&second_batch).and_then(|()| directory.sync()) else {
            continue;
        };
        assert!(matches!(error, Error::Full { .. }), "{error}");
        files.set_free_bytes(None);
        assert_eq!(
            directory.write(&[hard_state(3)]),
            Err(Error::Stopped),
            "a write succeeded after a failure"
        );
        assert_eq!(directory.sync(), Err(Error::Stopped));
        let (_, recovered) = DataDirectory::open_on(files.after_process_exit(), SMALL_SEGMENTS)
            .expect("the directory opens again");
        assert!(
            recovered.entries.len() >= 3,
            "{free_bytes} free bytes: acknowledged entries are missing"
        );
        assert!(recovered.hard_state.term <= 2);
    }
}

// One bit flips in a durable file. Guards against damage that is mistaken for a torn tail and
// removed: committed commands would be lost silently.
#[test]
fn a_flipped_bit_is_an_error_that_names_the_file() {
    let files = MemoryFiles::default();
    let (mut directory, _) =
        DataDirectory::open_on(files.clone(), ONE_SEGMENT).expect("a new directory opens");
    let compact = Write::Compact { snapshot: snapshot(1, 4), first: 1 };
    for batch in [vec![hard_state(1), append(1, 1..=5)], vec![append(1, 6..=9)], vec![compact]] {
        directory.write(&batch).and_then(|()| directory.sync()).expect("the writes succeed");
    }
    drop(directory);
    let log = files
        .names()
        .into_iter()
        .find(|name| name.starts_with("log-"))
        .expect("there is a log file");
    let seal = 12;
    for name in files.names() {
        // The last seal protects the records before it, but nothing protects the seal itself.
        let checked_bytes = files.size(&name) - if name == log { seal } else { 0 };
        for offset in 0..checked_bytes {
            let files = files.after_process_exit();
            files.flip_bit(&name, offset);
            let Err(error) = DataDirectory::open_on(files, ONE_SEGMENT) else {
                panic!("{name} is damaged at {offset}, but the directory opens");
            };
            assert!(matches!(&error, Error::Damaged { file, .. } if **file == name), "{error}");
            assert!(error.to_string().contains("replace it in the voter set"), "{error}");
        }
    }
}

#[test]
fn missing_files_are_errors() {
    for missing in ["identity", "hard", "log-00000000000000000001"] {
        let files = MemoryFiles::default();
        let (mut directory, _) =
            DataDirectory::open_on(files.clone(), ONE_SEGMENT).expect("a new directory opens");
        let large: Arc<[u8]> = vec![1; 250_000].into();
        for index in 1..=20 {
            let position = Position { term: 1, index };
            let payload = Payload::Command(large.clone());
            let writes = [hard_state(1), Write::Append(vec![Entry { position, payload }])];
            directory.write(&writes).and_then(|()| directory.sync()).expect("the writes succeed");
        }
        let mut files = files.after_process_exit();
        verbenaslip_disk::files::Files::remove(&mut files, missing).expect("the file exists");
        let Err(error) = DataDirectory::open_on(files, ONE_SEGMENT) else {
            panic!("the directory opens without {missing}")
        };
        assert!(matches!(error, Error::Damaged { .. }), "{missing}: {error}");
    }
}
