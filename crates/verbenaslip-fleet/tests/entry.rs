//! Handling of delayed updates by an entry.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Instance};
use verbenaslip_fleet::crash_report::ObservedCrash;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::frame::{FleetStatus, Frame, Peer, Trailing, Update};
use verbenaslip_fleet::link::Report;
use verbenaslip_fleet::registry::Run;
use verbenaslip_fleet::view::Version;
use verbenaslip_fleet::{Entry, clock};

const SECOND: Duration = Duration::from_secs(1);

const LEADER: ([u8; 4], u16) = ([10, 1, 0, 1], 7_000);

/// Time of day at the start of the steady clock, in Unix milliseconds.
const EPOCH: u64 = 1_800_000_000_000;

fn unix(now: Duration) -> u64 {
    EPOCH + u64::try_from(now.as_millis()).expect("time fits in u64")
}

fn entry() -> Entry {
    entry_with(1)
}

/// Creates an entry of the given incarnation.
fn entry_with(incarnation: u64) -> Entry {
    let local_peer = Peer {
        address: ([10, 2, 0, 1], 7_000).into(),
        name: Instance::from("entry-1"),
        zone: AvailabilityZone::from("north"),
        incarnation,
        voter: None,
    };
    Entry::new(local_peer, vec![SocketAddr::from(LEADER)], SECOND, unix(SECOND))
}

/// Makes an entry send a heartbeat at `now`; returns the answer that the leader writes at once.
fn heartbeat_answer(entry: &mut Entry, now: Duration) -> Frame {
    let envelope =
        entry.next_heartbeat(now, unix(now), Report::default()).expect("a heartbeat is due");
    let Frame::Heartbeat(heartbeat) = envelope.frame else { panic!("expected a heartbeat") };
    let status = FleetStatus {
        cores: Vec::new(),
        parent_cores: Vec::new(),
        incarnation: 1,
        sequence: heartbeat.sequence,
        entry_count: 1,
        plans_change: 0,
        plans_age: Some(Duration::ZERO),
        time_slot: None,
        list_entries: false,
    };
    let Frame::Update(update) = empty_update() else { panic!("expected an update") };
    Frame::Update(Box::new(Update { fleet_status: Some(status), unix_ms: unix(now), ..*update }))
}

#[test]
fn a_delayed_answer_does_not_set_the_clock_back() {
    // Guards against a delayed answer that sets the clock back: an entry sends a heartbeat, its
    // process is paused for 3 s, and it then reads the answer with the time of day from 3 s before.
    let mut entry = entry();
    let prompt = heartbeat_answer(&mut entry, SECOND);
    entry.handle_frame(SECOND, prompt);
    let delayed = heartbeat_answer(&mut entry, SECOND * 2);
    entry.handle_frame(SECOND * 5, delayed);
    assert_eq!(clock::unix_ms(SECOND * 5, entry.view().time_offset_ms), unix(SECOND * 5));
}

#[test]
fn changes_relative_to_the_previous_leader_require_exactly_that_version() {
    // Guards against an entry that keeps an upstream which the new leader does not know.
    let mut entry = entry();
    let update_frame = |term, change, base: Option<(u64, u64)>| {
        let base = base.map(|(term, change)| Version { term, change });
        let version = Version { term, change };
        let Frame::Update(update) = empty_update() else { panic!("expected an update") };
        Frame::Update(Box::new(Update { version, base, ..*update }))
    };
    entry.handle_frame(SECOND, update_frame(1, 100, None));
    entry.handle_frame(SECOND, update_frame(1, 103, Some((1, 100))));
    entry.handle_frame(SECOND, update_frame(2, 104, Some((1, 100))));
    assert_eq!(entry.view().version, Version { term: 1, change: 103 });
    entry.handle_frame(SECOND, update_frame(2, 105, Some((1, 103))));
    assert_eq!(entry.view().version, Version { term: 2, change: 105 });
    entry.handle_frame(SECOND, update_frame(2, 107, Some((2, 104))));
    assert_eq!(entry.view().version, Version { term: 2, change: 107 });
}

/// Creates a leader's update without content.
fn empty_update() -> Frame {
    Frame::Update(Box::new(Update {
        from: LEADER.into(),
        leader: LEADER.into(),
        leader_contact_age: Duration::ZERO,
        version: Version { term: 3, change: 1 },
        base: None,
        records: Vec::new(),
        route_table: None,
        blocklist: None,
        rollout_plans: None,
        limits: None,
        fleet_status: None,
        unix_ms: unix(SECOND),
        ack_requested: false,
        extension: Trailing::default(),
    }))
}

#[test]
fn an_answer_before_the_plans_confirms_none() {
    // Guards against requests to a version that was rolled back, after a pause of the process or
    // with a new leader.
    let mut entry = entry();
    let first = heartbeat_answer(&mut entry, SECOND);
    entry.handle_frame(SECOND, first);
    assert_eq!(entry.view().plans_confirmed_at, Some(SECOND));
    let mut answered = |now: Duration, term, plans| {
        let Frame::Update(mut update) = heartbeat_answer(&mut entry, now) else {
            panic!("expected an update")
        };
        update.version = Version { term, change: 1 };
        update.base = Some(update.version);
        update.fleet_status.as_mut().expect("the update answers a heartbeat").plans_change = plans;
        entry.handle_frame(now, Frame::Update(update));
        entry.view().plans_confirmed_at
    };
    assert_eq!(
        answered(SECOND * 2, 3, 2),
        Some(SECOND),
        "confirmed although the same leader has newer plans"
    );
    assert_eq!(
        answered(SECOND * 3, 4, 0),
        Some(SECOND),
        "confirmed before the new leader's plans arrived"
    );
    assert_eq!(answered(SECOND * 4, 3, 1), Some(SECOND * 4));
}

#[test]
fn a_late_confirmation_for_an_earlier_process_confirms_nothing() {
    // Guards against an entry that restarts and believes that the leader knows its first crashes.
    let reports = [1_000, 2_000].map(|incarnation| {
        let mut entry = entry_with(incarnation);
        entry.handle_frame(SECOND, Frame::NewLeader { leader: LEADER.into() });
        entry.handle_frame(SECOND, empty_update());
        let run = Run { upstream: "i-1".into(), incarnation: 0 };
        let fingerprint = Fingerprint::of(7, "red", "h", "/x", b"1");
        let crash = ObservedCrash { fingerprint, run, sent: SECOND, ended: SECOND * 2 };
        entry.record_outcomes(SECOND, vec![crash], vec![]);
        let report = entry.next_crash_report(SECOND + SECOND / 10);
        (entry, report.expect("a report is due").frame)
    });
    let [(_, Frame::CrashReport(earlier)), (mut entry, Frame::CrashReport(_))] = reports else {
        panic!("expected crash reports")
    };
    let confirmation = Frame::CrashReportReceived { term: 3, number: earlier.number };
    entry.handle_frame(SECOND + SECOND / 10, confirmation);
    let repeated = entry.next_crash_report(SECOND + SECOND / 2);
    assert!(repeated.is_some(), "the leader has not confirmed this report");
}
