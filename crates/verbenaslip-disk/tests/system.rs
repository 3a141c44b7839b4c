//! The data directory on real files.

use std::sync::Arc;

use verbenaslip_base::name::Instance;
use verbenaslip_disk::DataDirectory;
use verbenaslip_replica::entry::{Entry, Payload, Position};
use verbenaslip_replica::storage::{Error, HardState, Storage, Write};
use verbenaslip_replica::voter::Group;

/// Returns the path of a new data directory.
fn new_directory_path(name: &str) -> std::path::PathBuf {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn a_directory_keeps_its_content_and_identity() {
    let path = new_directory_path("keeps");
    let (mut directory, empty) = DataDirectory::open(&path).expect("a new directory opens");
    let hard_state = HardState { group: Some(Group(3)), term: 4, voted: Some(empty.identity) };
    let command: Arc<[u8]> = vec![5; 200_000].into();
    let entry = |index| Entry {
        position: Position { term: 4, index },
        payload: Payload::Command(command.clone()),
    };
    let writes = [Write::HardState(hard_state), Write::Append((1..=50).map(entry).collect())];
    directory.write(&writes).and_then(|()| directory.sync()).expect("the writes succeed");
    drop(directory);
    let (mut directory, recovered) = DataDirectory::open(&path).expect("the directory opens again");
    assert_eq!(recovered.identity, empty.identity);
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.entries, (1..=50).map(entry).collect::<Vec<_>>());
    assert_eq!(directory.load().expect("the directory can be read again"), recovered);
    let other =
        DataDirectory::open(new_directory_path("other")).expect("another directory opens").1;
    assert_ne!(other.identity, empty.identity);
}

// An operator starts a second process on the same data directory. Guards against two processes that
// write to the same files: the voter could vote twice in a term.
#[test]
fn a_directory_opens_only_once() {
    let path = new_directory_path("once");
    let first = DataDirectory::open(&path).expect("a new directory opens");
    let Err(error) = DataDirectory::open(&path) else { panic!("the directory opened twice") };
    assert!(matches!(error, Error::Locked { .. }), "{error}");
    drop(first);
    DataDirectory::open(&path).expect("the directory opens after the first is dropped");
}

// Guards against a founder that does not know that it is one after a restart.
#[test]
fn a_directory_keeps_the_founders_that_it_was_new_with() {
    let names = |names: &[&str]| names.iter().map(|it| Instance::new(*it)).collect::<Vec<_>>();
    let founders = names(&["a", "b", "c"]);
    let path = new_directory_path("founders");
    let open = |founders| DataDirectory::open_for(&path, founders).expect("it opens").1.founders;
    assert_eq!(open(founders.clone()), founders);
    assert_eq!(open(Vec::new()), founders);
    assert_eq!(open(names(&["d"])), founders);
    let path = new_directory_path("joined");
    let open = |founders| DataDirectory::open_for(&path, founders).expect("it opens").1.founders;
    assert_eq!(open(Vec::new()), []);
    assert_eq!(open(founders), [], "it was not a founder's when it was new");
}
