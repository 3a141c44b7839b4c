//! The registry with announcements that are delayed, duplicated, reordered or from another run.

use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::departure::Departures;
use verbenaslip_fleet::registry::{Announcement, Change, Propagation, Registry, Run, Status};
use verbenaslip_fleet::voucher::RenewalMark;

const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1_200);

fn run(name: &str, incarnation: u64) -> Run {
    Run { upstream: Upstream::from(name), incarnation }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn announcement(name: &str, port: u16, sequence: u64) -> Announcement {
    Announcement {
        run: run(name, 0),
        service: "pool".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: AvailabilityZone::from("north"),
        version: "v1".into(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        reclaimable: false,
        leaves_in: None,
        sequence,
    }
}

fn status(registry: &Registry, name: &str) -> Option<Status> {
    let found = registry.records().find(|it| it.announcement.run.upstream.as_str() == name);
    found.map(|record| record.status)
}

#[test]
fn leaving_is_final_for_a_run() {
    // Guards against new requests for a leaving upstream: its announcement that it drains overtakes
    // an older one that it is ready, and the older one is taken for an update.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let draining = Announcement { draining: true, ..announcement("a", 1, 3) };
    assert_eq!(registry.announce(at(100), draining, true), Change::Leaving);
    assert_eq!(registry.announce(at(200), announcement("a", 1, 2), true), Change::Unchanged);
    assert_eq!(status(&registry, "a"), Some(Status::Leaving));
    registry.announce(at(300), announcement("a", 1, 4), true);
    assert_eq!(status(&registry, "a"), Some(Status::Leaving));
}

#[test]
fn leaving_is_final_after_a_long_silence() {
    // Guards against new requests for a leaving upstream: it drains, is unreachable for over a
    // minute, so that it counts as gone, and comes back with a stray announcement that it is ready.
    // Its record alone does not show that it was leaving, since the record says by then that it is
    // gone.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 1), true);
    registry.announce(at(100), Announcement { draining: true, ..announcement("a", 1, 2) }, true);
    registry.tick(at(70_000));
    assert_eq!(status(&registry, "a"), Some(Status::Gone));
    registry.announce(at(70_100), announcement("a", 1, 3), true);
    assert_ne!(status(&registry, "a"), Some(Status::Ready));
}

#[test]
fn a_delayed_departure_still_counts() {
    // Guards against new requests for an upstream whose departure was acknowledged: the departure
    // arrives with a lower sequence number than the last announcement. If it is ignored as stale,
    // it is acknowledged nevertheless, because the log holds it, while the upstream stays
    // registered.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 9), true);
    let draining = Announcement { draining: true, ..announcement("a", 1, 8) };
    assert_eq!(registry.announce(at(100), draining, true), Change::Leaving);
    assert_eq!(status(&registry, "a"), Some(Status::Leaving));
    registry.announce(at(300), announcement("a", 1, 10), true);
    assert_eq!(status(&registry, "a"), Some(Status::Leaving));
}

#[test]
fn a_gone_run_stays_gone() {
    // Guards against requests to an upstream that no longer exists: it withdraws, and one of its
    // announcements that was delayed is taken for a new run.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 1), true);
    assert_eq!(registry.withdraw(at(40), &run("a", 0)), Change::Leaving);
    assert_eq!(registry.announce(at(50), announcement("a", 1, 2), true), Change::Unchanged);
    assert_eq!(status(&registry, "a"), Some(Status::Gone));
}

#[test]
fn a_new_run_at_an_address_ends_the_previous_one() {
    // Guards against requests for one service that reach another: an upstream crashes, an upstream
    // of another service uses its address, and both records are kept as ready.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 9), true);
    let other = Announcement { service: "desk".into(), ..announcement("b", 1, 1) };
    assert_eq!(registry.announce(at(2_500), other, true), Change::Updated);
    assert_eq!(status(&registry, "a"), Some(Status::Gone));
    assert_eq!(status(&registry, "b"), Some(Status::Ready));
}

#[test]
fn a_delayed_announcement_of_an_old_run_does_not_end_the_new_one() {
    // Guards against a healthy upstream without requests: a run behind a network partition crashes,
    // and another one starts at its address and announces itself. Then the partition heals, and an
    // old announcement that arrives last is taken for the newest run.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("new", 1, 1), true);
    registry.announce(at(1_200), announcement("new", 1, 2), true);
    assert_eq!(registry.announce(at(1_500), announcement("old", 1, 40), true), Change::Unchanged);
    assert_eq!(status(&registry, "new"), Some(Status::Ready));
    assert_eq!(status(&registry, "old"), None);
}

#[test]
fn silence_is_a_change_and_an_announcement_ends_it() {
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 1), true);
    assert!(!registry.tick(at(4_000)).changed);
    assert!(registry.tick(at(5_000)).changed);
    assert_eq!(status(&registry, "a"), Some(Status::Silent));
    assert_eq!(registry.announce(at(5_100), announcement("a", 1, 2), true), Change::Updated);
    assert_eq!(status(&registry, "a"), Some(Status::Ready));
}

#[test]
fn only_changes_after_the_known_one_are_returned() {
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let known_change = registry.last_change();
    registry.announce(at(0), announcement("b", 2, 1), true);
    let update = registry.changes_since(known_change).expect("all changes are still known");
    let names: Vec<&str> = update.iter().map(|it| it.announcement.run.upstream.as_str()).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn all_records_are_needed_after_a_change_was_forgotten() {
    // Guards against an entry that keeps an upstream forever: while the entry is unreachable, the
    // upstream withdraws and is forgotten, so that a list of changes lacks it.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let known_change = registry.last_change();
    registry.withdraw(at(40), &run("a", 0));
    registry.tick(at(120_000));
    assert!(registry.changes_since(known_change).is_none());
}

fn announcement_of_run(incarnation: u64, sequence: u64) -> Announcement {
    Announcement { run: run("a", incarnation), ..announcement("a", 1, sequence) }
}

#[test]
fn a_restarted_upstream_is_a_new_run() {
    // Guards against a restarted upstream without requests: it leaves and is gone, starts again
    // under its name, and counts its announcements anew. The status and the sequence numbers of the
    // earlier run do not apply to the new one.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement_of_run(1_000, 7), true);
    assert_eq!(registry.withdraw(at(100), &run("a", 1_000)), Change::Leaving);
    assert_eq!(registry.announce(at(200), announcement_of_run(2_000, 1), true), Change::Updated);
    assert_eq!(status(&registry, "a"), Some(Status::Ready));
}

#[test]
fn a_delayed_announcement_of_an_earlier_run_changes_nothing() {
    // Guards against a restarted upstream that counts as leaving, and against requests to the
    // address of its earlier run: a network partition delays announcements of the earlier run, and
    // they arrive after those of the new one.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement_of_run(1_000, 7), true);
    registry.announce(at(100), announcement_of_run(2_000, 1), true);
    let delayed = [
        announcement_of_run(1_000, 8),
        Announcement { draining: true, ..announcement_of_run(1_000, 9) },
        Announcement { address: ([10, 0, 0, 9], 9).into(), ..announcement_of_run(1_000, 10) },
    ];
    for announcement in delayed {
        assert_eq!(registry.announce(at(200), announcement, true), Change::Unchanged);
    }
    assert_eq!(registry.withdraw(at(300), &run("a", 1_000)), Change::Leaving);
    assert_eq!(status(&registry, "a"), Some(Status::Ready));
    assert_eq!(registry.announce(at(400), announcement_of_run(2_000, 2), true), Change::Unchanged);
    assert_eq!(registry.withdraw(at(500), &run("a", 2_000)), Change::Leaving);
    assert_eq!(status(&registry, "a"), Some(Status::Gone));
}

#[test]
fn a_delayed_announcement_is_recognized_by_its_earlier_start() {
    // Guards against a healthy upstream without requests: a run crashes soon after its start, so
    // its sequence number is low, another one starts at its address, and an announcement of the
    // first one is delayed for seconds. The low number does not make it a new run, since both runs
    // report when they started.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    let new = Announcement { run: run("b", 2_000), ..announcement("b", 1, 1) };
    registry.announce(at(0), new, true);
    assert_eq!(
        registry.announce(at(9_000), announcement_of_run(1_000, 2), true),
        Change::Unchanged
    );
    assert_eq!(status(&registry, "b"), Some(Status::Ready));
    assert_eq!(status(&registry, "a"), None);
}

#[test]
fn an_unknown_service_does_not_replace_an_upstream() {
    // Guards against an upstream that receives no requests although it announces itself: another
    // sender announces its name or its address under a service that is in no route table.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let with_unknown_service =
        |name| Announcement { service: "none".into(), ..announcement(name, 1, 9) };
    assert_eq!(
        registry.announce(at(100), with_unknown_service("a"), false),
        Change::UnknownService
    );
    assert_eq!(
        registry.announce(at(9_000), with_unknown_service("z"), false),
        Change::UnknownService
    );
    let later = Announcement { run: run("a", 5), ..with_unknown_service("a") };
    assert_eq!(registry.announce(at(9_000), later, false), Change::UnknownService);
    assert_eq!(status(&registry, "a"), Some(Status::Ready));
    assert_eq!(registry.service_records("none").count(), 0);
}

#[test]
fn a_new_leader_respects_remembered_departures() {
    let mut departures = Departures::default();
    departures.record(at(0), &run("a", 1_000), Status::Gone);
    departures.record(at(0), &run("b", 0), Status::Leaving);
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.restore(at(10), Propagation::default(), std::iter::empty(), departures);
    assert_eq!(registry.announce(at(20), announcement_of_run(1_000, 9), true), Change::Unchanged);
    assert_eq!(registry.announce(at(20), announcement("b", 2, 9), true), Change::Leaving);
    assert_eq!(status(&registry, "a"), None);
    assert_eq!(status(&registry, "b"), Some(Status::Leaving));
    assert_eq!(registry.announce(at(30), announcement_of_run(2_000, 1), true), Change::Updated);
}

#[test]
fn a_delayed_announcement_does_not_restore_a_run_whose_address_is_reused() {
    // Guards against requests to a run that no longer exists: it crashes, another run registers at
    // its address, and then a delayed announcement of the first run arrives. A run that was ended
    // by its successor must be remembered as gone, like one that announced its departure.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    registry.announce(at(0), announcement("a", 1, 9), true);
    registry.announce(at(2_500), announcement("b", 1, 1), true);
    assert_eq!(registry.announce(at(2_600), announcement("a", 1, 10), true), Change::Unchanged);
    assert_eq!(status(&registry, "a"), Some(Status::Gone));
}

#[test]
fn a_renewal_mark_renews_a_known_run_and_restores_none() {
    // Guards against a departed upstream that is ready at a restarted entry: a core that does not
    // know of the departure vouches for an announcement that was delayed, and its mark is treated
    // like an announcement of the upstream itself.
    let mut registry = Registry::new(ANNOUNCEMENT_PERIOD);
    for name in ["stays", "leaves", "gone"] {
        registry.announce(
            at(0),
            announcement(name, name.len().try_into().expect("the name is short"), 1),
            true,
        );
    }
    let leaving = Announcement { draining: true, ..announcement("leaves", 6, 2) };
    registry.announce(at(0), leaving, true);
    registry.withdraw(at(0), &run("gone", 0));
    let before = registry.last_change();
    let mark = |name, incarnation| RenewalMark { run: run(name, incarnation), sequence: 9 };
    for (name, incarnation) in [("leaves", 0), ("gone", 0), ("unknown", 0), ("stays", 7)] {
        assert_eq!(registry.vouch(at(500), &mark(name, incarnation)), Change::Unchanged, "{name}");
    }
    assert_eq!(status(&registry, "leaves"), Some(Status::Leaving));
    assert_eq!(status(&registry, "gone"), Some(Status::Gone));
    assert_eq!(status(&registry, "unknown"), None);
    assert_eq!(registry.vouch(at(4_000), &mark("stays", 0)), Change::Unchanged);
    assert_eq!(registry.vouch(at(5_000), &mark("stays", 0)), Change::Unchanged, "a duplicate mark");
    assert_eq!(registry.last_change(), before, "no change to propagate");
    registry.tick(at(8_700));
    assert_eq!(status(&registry, "stays"), Some(Status::Ready), "renewed at 4 s");
    registry.tick(at(9_000));
    assert_eq!(
        status(&registry, "stays"),
        Some(Status::Silent),
        "not renewed by the duplicate at 5 s"
    );
}
