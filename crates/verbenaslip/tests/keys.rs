//! Files of bearer keys: who is let in, what is refused, and that no key is ever shown.

use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use verbenaslip::keys::Keys;
use verbenaslip::keys::file::{Error, File, word};
use verbenaslip::keys::fixed::Fixed;

const GOOD: &str = "# teams\nowners  key-of-owners-0001\n\ncharterers key-of-charterers-01\n";

/// Writes a file of keys with the given permission bits.
fn write(name: &str, text: &str, mode: u32) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("keys");
    fs::create_dir_all(&folder).expect("the folder can be made");
    let path = folder.join(name);
    fs::write(&path, text).expect("the file can be written");
    fs::set_permissions(&path, Permissions::from_mode(mode)).expect("the mode can be set");
    path
}

#[test]
fn owner_is_found_by_the_whole_key_only() {
    let file = File::open(write("good", GOOD, 0o600)).expect("the file is good");
    let cases = [
        ("key-of-owners-0001", Some("owners")),
        ("key-of-charterers-01", Some("charterers")),
        ("key-of-owners-0002", None),
        ("key-of-owners-000", None),
        ("key-of-owners-00011", None),
        ("KEY-OF-OWNERS-0001", None),
        ("", None),
    ];
    for (key, owner) in cases {
        assert_eq!(file.owner(key).as_deref(), owner, "{key}");
    }
}

/// Symptom: another user of the machine sends requests in a team's name. Sequence: the file is
/// made with the usual mode and the daemon takes it. Cause: nobody looked at the mode.
#[test]
fn file_that_others_may_read_is_refused_with_a_hint() {
    for mode in [0o640, 0o604, 0o644, 0o620, 0o602, 0o610] {
        let path = write(&format!("open-{mode:o}"), GOOD, mode);
        let error = File::open(&path).expect_err("others may read the file");
        assert!(error.to_string().contains(&format!("run `chmod 600 {}`", path.display())));
    }
}

#[test]
fn each_kind_of_bad_line_is_named_without_its_key() {
    let cases = [
        ("no-key", "a key-of-owners-0001\nowners\n", 2),
        ("three-words", "owners key-of-owners-0001 more\n", 1),
        ("short", "owners secret-short\n", 1),
        ("long", &format!("owners {}", "k".repeat(513)), 1),
        ("bad-name", "own/ers key-of-owners-0001\n", 1),
        ("not-ascii", "owners key-of-öwners-0001\n", 1),
        ("twice", "a key-of-owners-0001\nb key-of-owners-0001\n", 2),
    ];
    for (name, text, expected) in cases {
        let error = File::open(write(name, text, 0o600)).expect_err(name);
        let Error::Line { line, .. } = &error else { panic!("{name}: {error}") };
        assert_eq!(*line, expected, "{name}");
        let shown = format!("{error} {error:?}");
        assert!(!shown.contains("key-of") && !shown.contains("secret"), "{name}: {shown}");
    }
    let empty = File::open(write("empty", "# none\n", 0o600)).expect_err("there is no key");
    assert!(matches!(empty, Error::Empty { .. }));
    let missing = File::open("/nowhere/keys").expect_err("there is no file");
    assert!(matches!(missing, Error::Read { .. }));
}

/// Symptom: a key that was taken back still opens, or a slip in an editor locks everybody out.
/// Sequence: the file changes while the daemon runs, first rightly, then wrongly. Cause: keys read
/// once, or replaced by whatever stands in the file.
#[test]
fn changed_file_is_taken_up_and_a_bad_one_keeps_the_keys() {
    let path = write("changing", GOOD, 0o600);
    let file = File::open(&path).expect("the file is good");
    write("changing", "owners another-key-of-owners\n", 0o600);
    file.reload();
    assert_eq!(file.owner("key-of-owners-0001"), None);
    assert_eq!(file.owner("another-key-of-owners").as_deref(), Some("owners"));
    write("changing", "owners\n", 0o600);
    file.reload();
    assert_eq!(file.owner("another-key-of-owners").as_deref(), Some("owners"));
    write("changing", "owners a-third-key-of-owners\n", 0o644);
    file.reload();
    assert_eq!(file.owner("a-third-key-of-owners"), None);
    fs::remove_file(&path).expect("the file can be removed");
    file.reload();
    assert_eq!(file.owner("another-key-of-owners").as_deref(), Some("owners"));
}

#[test]
fn debug_shows_names_only() {
    let file = File::open(write("debug", GOOD, 0o600)).expect("the file is good");
    let fixed = Fixed::new([("owners", "key-of-owners-0001")]);
    let shown = format!("{file:?} {fixed:?}");
    assert!(shown.contains("owners: (hidden)"));
    assert!(!shown.contains("key-of"));
}

#[test]
fn examples_are_good_once_they_are_private() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["teams.keys", "operators.keys", "upstreams.keys"] {
        let text = fs::read_to_string(format!("{folder}/{name}")).expect("it can be read");
        File::open(write(name, &text, 0o600)).expect("it is good");
    }
    let operators = include_str!("../../../examples/operators.keys");
    let operators = File::open(write("operators", operators, 0o600)).expect("it is good");
    let mine = include_str!("../../../examples/operator.key");
    let key = mine.lines().last().expect("it holds a key");
    assert_eq!(operators.owner(key).as_deref(), Some("anna"));
}

#[test]
fn word_is_the_only_line_of_a_private_file() {
    let cases = [
        ("word", "# shared\n  claims-in-gbg \n", 0o600, Some("claims-in-gbg")),
        ("word-open", "claims-in-gbg\n", 0o640, None),
        ("word-two", "claims\nin-gbg\n", 0o600, None),
        ("word-none", "# shared\n", 0o600, None),
    ];
    for (name, text, mode, expected) in cases {
        let word = word(write(name, text, mode)).ok();
        assert_eq!(word.as_deref(), expected, "{name}");
    }
}
