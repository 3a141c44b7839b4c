//! What the log holds of upstreams, and that a snapshot gives it back.

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

fn depart(name: &str, unix: u64) -> Command {
    let departure = Departure { run: run(name, 0), status: Status::Gone };
    Command::AddDepartures { departures: vec![departure], unix }
}

#[test]
fn a_snapshot_gives_back_who_has_come_and_gone() {
    let mut ledger = ReplicatedState::default();
    ledger.apply(Command::SetRouteTable(Box::new(route_table(3))));
    ledger.apply(Command::AddUpstreams { records: vec![record("u", 1), record("v", 2)] });
    ledger.apply(depart("v", 1_000));
    let restored = ReplicatedState::restore(&ledger.snapshot()).expect("it can be read");
    assert_eq!(restored, ledger);
    assert!(restored.contains_run(&run("u", 0)) && !restored.contains_run(&run("v", 0)));
    assert!(restored.has_departed(&run("v", 0), Status::Gone));
}

#[test]
fn a_snapshot_of_before_departures_were_held_can_be_read() {
    // Symptom: a core votes no more after an upgrade. Sequence: its folder holds a snapshot of the version
    // before. Cause: bytes that end where the newer version expects more.
    let mut ledger = ReplicatedState::default();
    ledger.apply(Command::SetRouteTable(Box::new(route_table(3))));
    let before = postcard::to_stdvec(&ledger).expect("it can be written");
    assert_eq!(ReplicatedState::restore(&before), Ok(ledger));
}

#[test]
fn departures_are_forgotten_when_no_announcement_can_be_on_its_way() {
    let mut ledger = ReplicatedState::default();
    ledger.apply(depart("u", 1_000));
    let later = 1_001 + u64::try_from(RETENTION.as_millis()).expect("small");
    ledger.apply(depart("v", later));
    let names: Vec<String> =
        ledger.departures().map(|departure| departure.run.upstream.to_string()).collect();
    assert_eq!(names, ["v"]);
}

#[test]
fn a_snapshot_of_before_requests_were_held_back_can_be_read() {
    let mut ledger = ReplicatedState::default();
    ledger.apply(Command::AddUpstreams { records: vec![record("u", 1)] });
    ledger.apply(depart("v", 1_000));
    let now = ledger.snapshot();
    // No roll-out: none begun, none known, none rejected. Nothing is held back: no key, no request.
    let before_rollouts = now.strip_suffix(&[0, 0, 0]).expect("it ends with the roll-outs");
    let before = before_rollouts.strip_suffix(&[0, 0]).expect("and what is held back");
    assert_eq!(ReplicatedState::restore(before_rollouts), Ok(ledger.clone()));
    assert_eq!(ReplicatedState::restore(before), Ok(ledger));
}

#[test]
fn the_key_of_prints_stays_whatever_a_later_leader_draws() {
    // Symptom: what is held back is let through by all entries. Sequence: a leader that did not know the key yet
    // has another one committed. Cause: fingerprints that were made by a key that nobody uses any more.
    let mut ledger = ReplicatedState::default();
    let fingerprint = Fingerprint::of(7, "red", "h", "/x", b"bad");
    let held = Block { since: 1, until: 2, failed_trials: 0, trial_entry: None };
    ledger.apply(Command::SetQuarantine(PersistedState {
        key: Some(7),
        quarantined: [(fingerprint, held)].into(),
    }));
    ledger.apply(Command::SetQuarantine(PersistedState {
        key: Some(8),
        ..ledger.quarantine().clone()
    }));
    assert_eq!(ledger.quarantine().key, Some(7));
    let restored = ReplicatedState::restore(&ledger.snapshot()).expect("it can be read");
    assert_eq!(restored.quarantine(), ledger.quarantine());
}
