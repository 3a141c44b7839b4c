//! What the replicated state holds of upstreams and requests, and its snapshots.

mod net;

use net::{announcement, route_table, run};
use verbenaslip_fleet::departure::{Departure, RETENTION};
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::frame::Trailing;
use verbenaslip_fleet::quarantine::{Block, PersistedState};
use verbenaslip_fleet::registry::{Announcement, Record, Status};
use verbenaslip_fleet::replicated_state::{Command, ReplicatedState, VersionNews};

fn record(name: &str, port: u16) -> Record {
    let address = ([10, 9, 0, 1], port).into();
    let announcement =
        verbenaslip_fleet::registry::Announcement { address, ..announcement(name, 1, false) };
    Record { announcement, status: Status::Ready }
}

fn departure_of(name: &str, unix: u64) -> Command {
    let departure = Departure { run: run(name, 0), status: Status::Gone };
    Command::AddDepartures { departures: vec![departure], unix }
}

fn joined(records: Vec<Record>, unix: u64) -> Command {
    let versions = VersionNews { unix, is_complete: true, ..VersionNews::default() };
    Command::AddUpstreams { records, versions: Trailing(versions) }
}

#[test]
fn a_snapshot_restores_registered_and_departed_upstreams() {
    let mut state = ReplicatedState::default();
    state.apply(Command::SetRouteTable(Box::new(route_table(3))));
    state.apply(joined(vec![record("u", 1), record("v", 2)], 500));
    state.apply(departure_of("v", 1_000));
    let restored =
        ReplicatedState::restore(&state.snapshot()).expect("the snapshot can be decoded");
    assert_eq!(restored, state);
    assert!(restored.contains_run(&run("u", 0)) && !restored.contains_run(&run("v", 0)));
    assert!(restored.has_departed(&run("v", 0), Status::Gone));
}

#[test]
fn a_snapshot_without_departures_can_be_decoded() {
    // Guards against a core that no longer votes after an upgrade: the snapshot in its data
    // directory was written by the previous version, and ends where the newer version expects more.
    let mut state = ReplicatedState::default();
    state.apply(Command::SetRouteTable(Box::new(route_table(3))));
    let before = postcard::to_stdvec(&state).expect("the state can be encoded");
    assert_eq!(ReplicatedState::restore(&before), Ok(state));
}

#[test]
fn departures_expire_when_no_announcement_can_still_arrive() {
    let mut state = ReplicatedState::default();
    state.apply(departure_of("u", 1_000));
    let later = 1_001 + u64::try_from(RETENTION.as_millis()).expect("the retention fits");
    state.apply(departure_of("v", later));
    let names: Vec<String> =
        state.departures().map(|departure| departure.run.upstream.to_string()).collect();
    assert_eq!(names, ["v"]);
}

#[test]
fn a_snapshot_without_quarantine_can_be_decoded() {
    let mut state = ReplicatedState::default();
    state.apply(joined(vec![record("u", 1)], 500));
    state.apply(departure_of("v", 1_000));
    let snapshot = state.snapshot();
    let history = postcard::to_stdvec(state.version_history()).expect("it can be encoded");
    let before_history =
        snapshot.strip_suffix(&*history).expect("the snapshot ends with the history of versions");
    // Without rollouts, three zeros precede it: none started, none known, none rejected. Without a
    // quarantine, two zeros precede these: no key, no requests.
    let before_rollouts =
        before_history.strip_suffix(&[0, 0, 0]).expect("the rollouts precede the history");
    let before =
        before_rollouts.strip_suffix(&[0, 0]).expect("the quarantine precedes the rollouts");
    // A history without a begin and without services takes three zeros.
    let expected = [before_history, &[0, 0, 0]].concat();
    for snapshot in [before_history, before_rollouts, before] {
        let restored = ReplicatedState::restore(snapshot).expect("the snapshot can be decoded");
        assert_eq!(restored.snapshot(), expected);
    }
}

// Guards against a core that ends the presence of a version at a time that the command does not give.
#[test]
fn a_command_of_an_earlier_build_leaves_the_history_of_versions_to_the_next() {
    let mut state = ReplicatedState::default();
    let bytes = joined(vec![record("u", 1)], 0).encode();
    state.apply(Command::decode(&bytes).expect("the command can be decoded"));
    assert_eq!(state.version_history().begin_ms(), None);
    state.apply(joined(Vec::new(), 1_000));
    assert_eq!(state.version_history().begin_ms(), Some(1_000));
    assert_eq!(
        state.version_history().only_version(2_000, "pool", 1_000).map(|it| &**it),
        Some("v1")
    );
}

#[test]
fn the_fingerprint_key_stays_when_a_later_leader_generates_another() {
    // Guards against quarantined requests that all entries send again: a leader that does not know
    // the key yet has another one committed, and the fingerprints were made with a key that is no
    // longer used.
    let mut state = ReplicatedState::default();
    let fingerprint = Fingerprint::of(7, "red", "h", "/x", b"bad");
    let block = Block { since: 1, until: 2, failed_trials: 0, trial_entry: None };
    state.apply(Command::SetQuarantine(PersistedState {
        key: Some(7),
        quarantined: [(fingerprint, block)].into(),
    }));
    state.apply(Command::SetQuarantine(PersistedState {
        key: Some(8),
        ..state.quarantine().clone()
    }));
    assert_eq!(state.quarantine().key, Some(7));
    let restored =
        ReplicatedState::restore(&state.snapshot()).expect("the snapshot can be decoded");
    assert_eq!(restored.quarantine(), state.quarantine());
}

// Guards against taking the versions in the log at an upgrade of the cores for all that there were.
#[test]
fn a_history_that_begins_with_an_upgrade_says_nothing_of_the_time_before() {
    let mut state = ReplicatedState::default();
    let with_version = |name, version: &str| {
        let announcement = Announcement { version: version.into(), ..announcement(name, 1, false) };
        Record { announcement, status: Status::Ready }
    };
    state.apply(joined(vec![with_version("u", "v1"), with_version("v", "v2")], 0));
    state.apply(departure_of("u", 100_000));
    let snapshot = state.snapshot();
    let history = postcard::to_stdvec(state.version_history()).expect("it can be encoded");
    let earlier = snapshot.strip_suffix(&*history).expect("the snapshot ends with the history");
    let mut upgraded = ReplicatedState::restore(earlier).expect("the snapshot can be decoded");
    upgraded.apply(joined(vec![with_version("w", "v2")], 105_000));
    let history = upgraded.version_history();
    assert_eq!(history.only_version(106_000, "pool", 105_500).map(|it| &**it), Some("v2"));
    assert_eq!(history.only_version(106_000, "pool", 96_000), None, "v1 served then");
}
