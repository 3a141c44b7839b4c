//! The folder under power loss at every operation, full disks and damage.

mod memory;

use std::sync::Arc;

use verbenaslip_disk::{DataDirectory, Options};
use verbenaslip_replica::config::Config;
use verbenaslip_replica::entry::{Entry, Payload, Position};
use verbenaslip_replica::storage::{Error, HardState, Recovered, Snapshot, Storage, Write};
use verbenaslip_replica::voter::{Group, Identity};

use memory::{Loss, Memory};

/// Log files are small, so that each life fills several.
const FRESH: Options = Options { fresh: Identity(7), segment: 300 };
/// One log file holds it all.
const LARGE: Options = Options { segment: 4 << 20, ..FRESH };

/// What a power loss may leave.
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

fn hard(term: u64) -> Write {
    Write::HardState(HardState { group: Some(Group(1)), term, voted: Some(Identity(term.into())) })
}

fn snapshot(term: u64, index: u64) -> Arc<Snapshot> {
    let position = Position { term, index };
    Arc::new(Snapshot { position, config: Config::default(), state: vec![9; 100].into() })
}

/// A voter's life: batches of writes, each synced before the next.
fn life() -> Vec<Vec<Write>> {
    vec![
        vec![hard(1), append(1, 1..=1)],
        vec![append(1, 2..=5)],
        vec![append(1, 6..=9), append(1, 10..=10)],
        vec![hard(2), Write::Truncate { from: 8 }, append(2, 8..=12)],
        vec![Write::Compact { snapshot: snapshot(2, 9), first: 5 }, append(2, 13..=14)],
        vec![Write::Truncate { from: 13 }],
        vec![hard(3), append(3, 13..=20)],
        vec![Write::Compact { snapshot: snapshot(3, 18), first: 15 }],
        vec![hard(4), Write::Install(snapshot(4, 40))],
        vec![append(4, 41..=45)],
        vec![Write::Truncate { from: 41 }, append(5, 41..=42), hard(5)],
        vec![Write::Install(snapshot(5, 60)), append(5, 61..=63)],
        vec![append(5, 64..=70)],
        vec![hard(6), Write::Install(snapshot(6, 66)), append(6, 67..=68)],
    ]
}

/// What a folder must hold after writes.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard: HardState,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
}

impl Model {
    fn take(&mut self, write: &Write) {
        match write {
            Write::HardState(hard) => self.hard = *hard,
            Write::Append(entries) => self.entries.extend(entries.iter().cloned()),
            Write::Truncate { from } => self.entries.retain(|e| e.position.index < *from),
            Write::Compact { snapshot, .. } => self.snapshot = Some(snapshot.clone()),
            Write::Install(snapshot) => {
                self.entries.clear();
                self.snapshot = Some(snapshot.clone());
            }
        }
    }

    fn end(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index)
    }

    /// Tells whether what was recovered has everything of this model; older entries may remain
    /// before the snapshot, and the beginning may be gone.
    fn is_in(&self, recovered: &Recovered) -> bool {
        let end = self.end();
        let due: Vec<&Entry> = self.entries.iter().filter(|e| e.position.index > end).collect();
        let there: Vec<&Entry> =
            recovered.entries.iter().filter(|e| e.position.index > end).collect();
        recovered.hard_state == self.hard && recovered.snapshot == self.snapshot && there == due
    }
}

/// Runs a life until the power fails; returns what was acknowledged, and every state that the
/// writes after that may have reached.
fn live(files: &Memory) -> (Model, Vec<Model>) {
    let mut acknowledged = Model::default();
    let Ok((mut folder, _)) = DataDirectory::open_on(files.clone(), FRESH) else {
        return (acknowledged, Vec::new());
    };
    for batch in life() {
        let mut reached = vec![acknowledged.clone()];
        let mut model = acknowledged.clone();
        for write in &batch {
            // Entries come and go one by one, the last one first to go; other writes are whole.
            match write {
                Write::Truncate { from } => {
                    while model.entries.last().is_some_and(|last| last.position.index >= *from) {
                        model.entries.pop();
                        reached.push(model.clone());
                    }
                }
                Write::Append(entries) => reached.extend(entries.iter().map(|entry| {
                    model.entries.push(entry.clone());
                    model.clone()
                })),
                _ => {
                    model.take(write);
                    reached.push(model.clone());
                }
            }
        }
        if folder.write(&batch).and_then(|()| folder.sync()).is_err() {
            return (acknowledged, reached);
        }
        acknowledged = model;
    }
    (acknowledged.clone(), vec![acknowledged])
}

// Symptom: a voter forgets a vote or acknowledged entries, or can't be opened, after a power loss.
// Sequence: the power fails at one operation on the files; unsynced contents and names are lost, kept
// or torn. Cause: an order of writes, renames and syncs with a hole in it.
#[test]
fn power_loss_at_every_operation_keeps_what_was_acknowledged() {
    let whole = Memory::default();
    live(&whole);
    let operations = whole.operations();
    assert!(operations > 100, "{operations} operations");
    for operation in 0..=operations {
        for loss in LOSSES {
            let files = Memory::default();
            files.fail_at(operation);
            let (acknowledged, reached) = live(&files);
            let after = files.lose(loss);
            let opened = DataDirectory::open_on(after.clone(), FRESH);
            let (folder, recovered) = opened.unwrap_or_else(|error| {
                panic!("operation {operation}, {loss:?}: {error}, files {:?}", after.names())
            });
            let is_kept = acknowledged.is_in(&recovered)
                || reached.iter().any(|model| is_between(&acknowledged, model, &recovered));
            let places: Vec<Position> = recovered.entries.iter().map(|e| e.position).collect();
            assert!(
                is_kept,
                "operation {operation}, {loss:?}: {:?} {places:?}",
                recovered.hard_state
            );
            assert!(fits(&recovered), "operation {operation}, {loss:?}: {places:?}");
            goes_on(folder, &recovered, &after);
        }
    }
    println!("{operations} operations, {} losses each", LOSSES.len());
}

/// Tells whether the entries are those that the snapshot was made from or is followed by.
fn fits(recovered: &Recovered) -> bool {
    let end = recovered.snapshot.as_ref().map(|snapshot| snapshot.position).unwrap_or_default();
    let first = recovered.entries.first().map(|entry| entry.position.index);
    let follows = first.is_none_or(|first| first == end.index + 1);
    follows || recovered.entries.iter().any(|entry| entry.position == end)
}

/// Tells whether a folder holds a state that the writes after the last acknowledgement passed.
fn is_between(acknowledged: &Model, model: &Model, recovered: &Recovered) -> bool {
    // The term and snapshot files are durable at once, the log's records only with the sync.
    let hard = [acknowledged.hard, model.hard].contains(&recovered.hard_state);
    let same = Model { hard: recovered.hard_state, ..model.clone() };
    hard && (same.is_in(recovered) || holds_committed(acknowledged, model, recovered))
}

/// Tells whether a newer snapshot is there while the records after it were lost: the log then ends
/// before it or was made for it, and everything acknowledged is in one of the two.
fn holds_committed(acknowledged: &Model, model: &Model, recovered: &Recovered) -> bool {
    if recovered.snapshot != model.snapshot {
        return false;
    }
    let end = model.end();
    let due = |e: &&Entry| e.position.index > end && model.entries.contains(e);
    acknowledged.entries.iter().filter(due).all(|e| recovered.entries.contains(e))
        && recovered.entries.iter().all(|e| e.position.index <= end || model.entries.contains(e))
}

/// Checks that a recovered folder takes more, and keeps it.
fn goes_on(mut folder: DataDirectory, recovered: &Recovered, files: &Memory) {
    let end = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
    let last = recovered.entries.last().map_or(end, |entry| entry.position.index);
    let writes = [hard(9), append(9, last + 1..=last + 3)];
    folder.write(&writes).and_then(|()| folder.sync()).expect("a recovered folder takes writes");
    let (_, again) =
        DataDirectory::open_on(files.lose(Loss::All), FRESH).expect("what was synced can be read");
    assert_eq!(
        again.entries.last().map(|e| e.position),
        Some(Position { term: 9, index: last + 3 })
    );
    assert_eq!(again.identity, recovered.identity);
}

// Symptom: acknowledged entries are gone after a process died and then the power failed. Sequence:
// entries are written, the process dies before the sync, a new one reads and acknowledges them, the
// power fails. Cause: what can be read is taken for durable.
#[test]
fn what_is_read_at_opening_is_durable() {
    let files = Memory::default();
    let (mut folder, _) = DataDirectory::open_on(files.clone(), FRESH).expect("a new folder opens");
    folder.write(&[hard(1), append(1, 1..=3)]).expect("the writes are taken");
    drop(folder);
    let files = files.end();
    let (_, seen) = DataDirectory::open_on(files.clone(), FRESH).expect("the folder opens again");
    let (_, kept) =
        DataDirectory::open_on(files.lose(Loss::All), FRESH).expect("and after a power loss");
    assert_eq!(seen.entries.len(), 3);
    assert_eq!(kept.entries, seen.entries);
}

// Symptom: a voter acknowledges entries that are not on its disk. Sequence: the disk fills up in the
// middle of a record. Cause: going on after a failed write.
#[test]
fn a_full_disk_stops_the_folder_and_corrupts_nothing() {
    for room in 0..300 {
        let files = Memory::default();
        let (mut folder, _) =
            DataDirectory::open_on(files.clone(), FRESH).expect("a new folder opens");
        let first = [hard(1), append(1, 1..=3)];
        folder.write(&first).and_then(|()| folder.sync()).expect("there is room");
        files.leave_room(Some(room));
        let more = [append(1, 4..=6), hard(2)];
        let Err(error) = folder.write(&more).and_then(|()| folder.sync()) else { continue };
        assert!(matches!(error, Error::Full { .. }), "{error}");
        files.leave_room(None);
        assert_eq!(folder.write(&[hard(3)]), Err(Error::Stopped), "it goes on after a failure");
        assert_eq!(folder.sync(), Err(Error::Stopped));
        let (_, recovered) = DataDirectory::open_on(files.end(), FRESH).expect("it opens again");
        assert!(recovered.entries.len() >= 3, "room {room}: acknowledged entries are gone");
        assert!(recovered.hard_state.term <= 2);
    }
}

// Symptom: committed edits are silently gone after a disk decayed. Sequence: one bit flips somewhere
// in a file that was durable. Cause: damage taken for a torn tail and cut off.
#[test]
fn a_flipped_bit_anywhere_is_an_error_that_names_the_place() {
    let files = Memory::default();
    let (mut folder, _) = DataDirectory::open_on(files.clone(), LARGE).expect("a new folder opens");
    let compact = Write::Compact { snapshot: snapshot(1, 4), first: 1 };
    for batch in [vec![hard(1), append(1, 1..=5)], vec![append(1, 6..=9)], vec![compact]] {
        folder.write(&batch).and_then(|()| folder.sync()).expect("the writes are taken");
    }
    drop(folder);
    let log = files.names().into_iter().find(|name| name.starts_with("log-")).expect("a log file");
    let seal = 12;
    for name in files.names() {
        // The last seal guards the records before it, and nothing guards the seal itself.
        let guarded = files.size(&name) - if name == log { seal } else { 0 };
        for offset in 0..guarded {
            let files = files.end();
            files.flip(&name, offset);
            let Err(error) = DataDirectory::open_on(files, LARGE) else {
                panic!("{name} is damaged at {offset} and opens");
            };
            assert!(matches!(&error, Error::Damaged { file, .. } if **file == name), "{error}");
            assert!(error.to_string().contains("replace it in the voter set"), "{error}");
        }
    }
}

#[test]
fn missing_files_are_errors() {
    for missing in ["identity", "hard", "log-00000000000000000001"] {
        let files = Memory::default();
        let (mut folder, _) =
            DataDirectory::open_on(files.clone(), LARGE).expect("a new folder opens");
        let large: Arc<[u8]> = vec![1; 250_000].into();
        for index in 1..=20 {
            let position = Position { term: 1, index };
            let payload = Payload::Command(large.clone());
            let writes = [hard(1), Write::Append(vec![Entry { position, payload }])];
            folder.write(&writes).and_then(|()| folder.sync()).expect("the writes are taken");
        }
        let mut files = files.end();
        verbenaslip_disk::files::Files::remove(&mut files, missing).expect("the file was there");
        let Err(error) = DataDirectory::open_on(files, LARGE) else {
            panic!("opens without {missing}")
        };
        assert!(matches!(error, Error::Damaged { .. }), "{missing}: {error}");
    }
}
