//! What the replicated state holds of upstreams and requests, and its snapshots.

mod net;

use net::{announcement, route_table, run};
use verbenaslip_fleet::departure::{Departure, RETENTION};
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::{Block, PersistedState};
use verbenaslip_fleet::registry::{Record, Status};
use verbenaslip_fleet::replicated_state::{Command, ReplicatedState};

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

#[test]
fn a_snapshot_restores_registered_and_departed_upstreams() {
    let mut state = ReplicatedState::default();
    state.apply(Command::SetRouteTable(Box::new(route_table(3))));
    state.apply(Command::AddUpstreams { records: vec![record("u", 1), record("v", 2)] });
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
    state.apply(Command::AddUpstreams { records: vec![record("u", 1)] });
    state.apply(departure_of("v", 1_000));
    let snapshot = state.snapshot();
    // Without rollouts, the snapshot ends with three zeros: none started, none known, none
    // rejected. Without a quarantine, two zeros precede them: no key, no requests.
    let before_rollouts =
        snapshot.strip_suffix(&[0, 0, 0]).expect("the snapshot ends with the rollouts");
    let before =
        before_rollouts.strip_suffix(&[0, 0]).expect("the quarantine precedes the rollouts");
    assert_eq!(ReplicatedState::restore(before_rollouts), Ok(state.clone()));
    assert_eq!(ReplicatedState::restore(before), Ok(state));
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
