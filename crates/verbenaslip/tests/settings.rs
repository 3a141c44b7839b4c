//! Settings files: what is read, and a clear error for each kind of bad input.

use std::time::Duration;

use verbenaslip::settings::Settings;
use verbenaslip::settings::value::Size;

/// A settings file of an initial voter with nothing wrong.
const GOOD: &str = "
[instance]
name = entry-1
zone = arendal
region = gbg
callers = 127.0.0.1:7000
admin = 127.0.0.1:7001
peers = 127.0.0.1:7002
data = data

[cluster]
name = claims
seeds = 127.0.0.1:7012, 127.0.0.1:7022
voters = entry-1@127.0.0.1:7002, entry-2@127.0.0.1:7012, entry-3@127.0.0.1:7022

[files]
team_keys = teams.keys
operator_keys = /etc/verbenaslip/operators.keys
upstream_keys = upstreams.keys
initial_table = table.csv
";

fn problems(text: &str) -> String {
    let invalid = Settings::parse(text, "/etc/v/a.ini").expect_err("the text has a problem");
    invalid.to_string()
}

fn with(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "the good file holds `{from}`");
    GOOD.replace(from, to)
}

#[test]
fn good_file_is_read_with_defaults_and_paths_from_its_folder() {
    let settings = Settings::parse(GOOD, "/etc/v/a.ini").expect("the file is good");
    assert_eq!(settings.instance.name.as_str(), "entry-1");
    assert_eq!(settings.instance.data.as_deref(), Some("/etc/v/data".as_ref()));
    assert_eq!(settings.cluster.voters.len(), 3);
    assert_eq!(settings.files.team_keys.as_deref(), Some("/etc/v/teams.keys".as_ref()));
    let operators = "/etc/verbenaslip/operators.keys".as_ref();
    assert_eq!(settings.files.operator_keys.as_deref(), Some(operators));
    assert_eq!(settings.timing, Settings::default().timing);
    assert!(settings.cloud.is_none());
}

#[test]
fn units_are_read() {
    let text = format!("{GOOD}[timing]\nstall = 750ms\ndrain = 2 min\n[limits]\nbody = 64KB\n");
    let settings = Settings::parse(&text, "a.ini").expect("the units are good");
    assert_eq!(settings.timing.stall, Duration::from_millis(750));
    assert_eq!(settings.timing.drain, Duration::from_secs(120));
    assert_eq!(settings.limits.body, Size(64 << 10));
}

/// Symptom: an instance starts with another value than the operator meant, or stops later with an
/// error that names no place. Sequence: a file with one slip is read. Cause: a parser that skips
/// what it does not know or falls back to a default.
#[test]
fn each_kind_of_bad_file_names_its_place_and_what_is_allowed() {
    let tail = |text: &str| format!("{GOOD}{text}");
    let cases = [
        ("unknown section", tail("[timings]\nstall = 1s\n")),
        ("unknown key", tail("[timing]\nstal = 1s\n")),
        ("section twice", tail("[timing]\nstall = 1s\n[timing]\ndrain = 9s\n")),
        ("key twice", tail("[timing]\nstall = 1s\nstall = 2s\n")),
        ("key twice over two sections", tail("[limits]\nbody = 1MB\n[limits]\nbody = 2MB\n")),
        ("key before any section", format!("zone = a\n{GOOD}")),
        ("missing value", with("zone = arendal", "zone =")),
        ("missing key", with("zone = arendal", "")),
        ("missing section", "[cluster]\nname = claims\nseeds = 10.0.0.1:7000\n".into()),
        ("no unit", tail("[timing]\nstall = 3\n")),
        ("bad unit", tail("[timing]\nstall = 3sec\n")),
        ("fraction", tail("[timing]\nstall = 0.5s\n")),
        ("negative", tail("[timing]\nstall = -3s\n")),
        ("number too large for its type", tail("[timing]\nstall = 99999999999999999999h\n")),
        ("size without unit", tail("[limits]\nbody = 1024\n")),
        ("size out of bounds", tail("[limits]\nbody = 2GB\n")),
        ("time out of bounds", tail("[timing]\nupstream_lease = 1h\n")),
        ("count out of bounds", tail("[limits]\nconnections = 0\n")),
        ("name with a space", with("entry-1\n", "entry 1\n")),
        ("host name for an IP number", with("127.0.0.1:7000", "localhost:7000")),
        ("address without port", with("127.0.0.1:7001", "127.0.0.1")),
        ("inline comment", with("region = gbg", "region = gbg ; here")),
        ("line without equals sign", with("region = gbg", "region")),
        ("last line without equals sign", tail("[timing]\nstall")),
        ("section without end", tail("[timing\nstall = 1s\n")),
        ("second holder", with("name = claims", "name = claims\nsecond_holder = anywhere")),
        ("level", tail("[log]\nlevel = loud\nformat = xml\n")),
        ("cloud without address", tail("[cloud]\npoll = 1s\n")),
        ("byte order and control bytes", tail("[timing]\n\u{0}stall = 1s\n")),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        report += &format!("# {name}\n{}\n\n", problems(&text));
    }
    insta::assert_snapshot!(report);
}

/// Symptom: instances answer beside each other, flap, or can't be reached. Sequence: each value is
/// allowed alone, but two of them contradict each other. Cause: relations that nobody checked.
#[test]
fn values_that_contradict_each_other_are_refused() {
    let tail = |text: &str| format!("{GOOD}{text}");
    let cases = [
        ("election too near heartbeat", tail("[timing]\nheartbeat = 500ms\n")),
        ("election not under half the table lease", tail("[timing]\nelection = 2s\n")),
        (
            "callers on the admin address",
            with("callers = 127.0.0.1:7000", "callers = 127.0.0.1:7001"),
        ),
        ("peers on all addresses", with("peers = 127.0.0.1:7002", "peers = 0.0.0.0:7002")),
        ("seed without a port", with("seeds = 127.0.0.1:7012", "seeds = 127.0.0.1:0")),
        ("two voters", with(", entry-3@127.0.0.1:7022", "")),
        ("voter twice", with("entry-3@", "entry-2@")),
        ("voter's address twice", with("entry-3@127.0.0.1:7022", "entry-3@127.0.0.1:7012")),
        ("voter elsewhere", with("entry-1@127.0.0.1:7002", "entry-1@127.0.0.1:7003")),
        ("voter without folder", with("data = data", "")),
        ("voter without table", with("initial_table = table.csv", "")),
        (
            "table without voters",
            with(
                "voters = entry-1@127.0.0.1:7002, entry-2@127.0.0.1:7012, entry-3@127.0.0.1:7022",
                "",
            ),
        ),
        ("journal under body", tail("[limits]\nbody = 64MB\njournal = 1MB\n")),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        report += &format!("# {name}\n{}\n\n", problems(&text));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn all_problems_come_at_once() {
    let text = "[instance]\nname = a b\nzone = z\n[timing]\nstall = 3\n[nonsense]\n";
    let invalid = Settings::parse(text, "a.ini").expect_err("the text has problems");
    assert_eq!(invalid.problems.len(), 11);
}

#[test]
fn unreadable_file_is_named() {
    let invalid = Settings::read("/nowhere/a.ini").expect_err("there is no such file");
    assert!(invalid.to_string().starts_with("/nowhere/a.ini: it can't be read: "));
}

/// Returns the keys of a section, which the error for an unknown one lists.
fn keys_of(section: &str) -> Vec<String> {
    let text = format!("[{section}]\nunknown-key = 1\n");
    let invalid = Settings::parse(&text, "a.ini").expect_err("the key is unknown");
    let unknown = invalid.problems.iter().find(|p| p.key.as_deref() == Some("unknown-key"));
    let allowed = &unknown.expect("the key is named").allowed;
    let (_, keys) = allowed.split_once("there are ").expect("the keys are listed");
    keys.split(", ").map(str::to_owned).collect()
}

#[test]
fn docs_explain_each_key() {
    let docs = include_str!("../../../docs/OPERATIONS.md");
    let sections = ["instance", "cluster", "files", "log", "limits", "timing", "cloud", "weights"];
    for section in sections {
        let head = format!("| key of `[{section}]` |");
        let (_, table) = docs.split_once(&head).expect("the section has a table");
        let table = table.split("\n\n").next().unwrap_or_default();
        let rows = table.lines().filter_map(|line| line.strip_prefix("| `"));
        let mut documented: Vec<&str> = rows.filter_map(|row| row.split('`').next()).collect();
        documented.sort_unstable();
        assert_eq!(documented, keys_of(section), "[{section}]");
    }
}

#[test]
fn examples_are_good() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let mut voters = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3", "entry-4"] {
        let settings = Settings::read(format!("{folder}/{name}.ini")).expect("it is good");
        assert_eq!(settings.instance.name.as_str(), name);
        voters.push(settings.cluster.voters);
    }
    assert!(voters[0].len() == 3 && voters[0] == voters[1] && voters[1] == voters[2]);
    let table = std::fs::read(format!("{folder}/table.csv")).expect("it can be read");
    let table = verbenaslip_table::Table::parse(&table).expect("it is good");
    assert!(table.rows().len() > 5);
}
