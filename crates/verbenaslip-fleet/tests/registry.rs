//! The registry under announcements that are late, doubled, out of order, or of another run.

use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::departure::Departures;
use verbenaslip_fleet::registry::{Announcement, Change, Propagation, Registry, Run, Status};
use verbenaslip_fleet::voucher::RenewalMark;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

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

fn standing(registry: &Registry, name: &str) -> Option<Status> {
    let found = registry.records().find(|it| it.announcement.run.upstream.as_str() == name);
    found.map(|record| record.status)
}

#[test]
fn leaving_is_final_for_a_run() {
    // Symptom: an upstream that leaves gets new work again. Sequence: its announcement that it
    // drains overtakes an older one that says it is ready. Cause: the older one taken as update.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let draining = Announcement { draining: true, ..announcement("a", 1, 3) };
    assert_eq!(registry.announce(at(100), draining, true), Change::Leaving);
    assert_eq!(registry.announce(at(200), announcement("a", 1, 2), true), Change::Unchanged);
    assert_eq!(standing(&registry, "a"), Some(Status::Leaving));
    registry.announce(at(300), announcement("a", 1, 4), true);
    assert_eq!(standing(&registry, "a"), Some(Status::Leaving));
}

#[test]
fn leaving_is_final_also_after_a_long_silence() {
    // Symptom: an upstream that leaves gets new work again. Sequence: it drains, is cut off for over a minute, so
    // that it counts as gone, and comes back with an odd "ready". Cause: what it had said looked up in its record
    // alone, which says by then that it has gone.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 1), true);
    registry.announce(at(100), Announcement { draining: true, ..announcement("a", 1, 2) }, true);
    registry.tick(at(70_000));
    assert_eq!(standing(&registry, "a"), Some(Status::Gone));
    registry.announce(at(70_100), announcement("a", 1, 3), true);
    assert_ne!(standing(&registry, "a"), Some(Status::Ready));
}

#[test]
fn leaving_counts_however_late_it_comes() {
    // Symptom: an upstream whose leaving was acknowledged gets new work. Sequence: its word that it drains
    // comes with a lower number than its last one. Cause: the word passed over as late, and acknowledged by
    // the log, which holds it, while the list of upstreams does not.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 9), true);
    let draining = Announcement { draining: true, ..announcement("a", 1, 8) };
    assert_eq!(registry.announce(at(100), draining, true), Change::Leaving);
    assert_eq!(standing(&registry, "a"), Some(Status::Leaving));
    registry.announce(at(300), announcement("a", 1, 10), true);
    assert_eq!(standing(&registry, "a"), Some(Status::Leaving));
}

#[test]
fn a_run_that_has_gone_stays_gone() {
    // Symptom: requests go to an upstream that no longer exists. Sequence: it withdraws; then one of
    // its announcements arrives that was held up. Cause: the announcement taken for a new run.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 1), true);
    assert_eq!(registry.withdraw(at(40), &run("a", 0)), Change::Leaving);
    assert_eq!(registry.announce(at(50), announcement("a", 1, 2), true), Change::Unchanged);
    assert_eq!(standing(&registry, "a"), Some(Status::Gone));
}

#[test]
fn another_run_at_the_address_ends_the_one_before() {
    // Symptom: requests for one service reach another. Sequence: an upstream crashes, and its
    // address is used by an upstream of another service. Cause: both records kept as ready.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 9), true);
    let other = Announcement { service: "desk".into(), ..announcement("b", 1, 1) };
    assert_eq!(registry.announce(at(2_500), other, true), Change::Updated);
    assert_eq!(standing(&registry, "a"), Some(Status::Gone));
    assert_eq!(standing(&registry, "b"), Some(Status::Ready));
}

#[test]
fn a_held_up_announcement_of_an_old_run_does_not_end_the_new_one() {
    // Symptom: a healthy upstream gets no work. Sequence: a run behind a cut crashes, another starts
    // at its address and announces itself, then the cut heals and lets an old announcement through.
    // Cause: whatever comes last taken for the newest run.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("new", 1, 1), true);
    registry.announce(at(1_200), announcement("new", 1, 2), true);
    assert_eq!(registry.announce(at(1_500), announcement("old", 1, 40), true), Change::Unchanged);
    assert_eq!(standing(&registry, "new"), Some(Status::Ready));
    assert_eq!(standing(&registry, "old"), None);
}

#[test]
fn silence_is_told_and_an_announcement_ends_it() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 1), true);
    assert!(!registry.tick(at(4_000)).changed);
    assert!(registry.tick(at(5_000)).changed);
    assert_eq!(standing(&registry, "a"), Some(Status::Silent));
    assert_eq!(registry.announce(at(5_100), announcement("a", 1, 2), true), Change::Updated);
    assert_eq!(standing(&registry, "a"), Some(Status::Ready));
}

#[test]
fn whoever_has_seen_a_change_is_told_only_of_later_ones() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let seen = registry.last_change();
    registry.announce(at(0), announcement("b", 2, 1), true);
    let update = registry.changes_since(seen).expect("nothing was forgotten");
    let names: Vec<&str> = update.iter().map(|it| it.announcement.run.upstream.as_str()).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn what_was_forgotten_is_told_as_a_whole() {
    // Symptom: an entry keeps an upstream for ever. Sequence: the entry is cut off, the upstream
    // withdraws and is forgotten, the entry comes back. Cause: a list of changes that lacks it.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let seen = registry.last_change();
    registry.withdraw(at(40), &run("a", 0));
    registry.tick(at(120_000));
    assert!(registry.changes_since(seen).is_none());
}

fn born(incarnation: u64, sequence: u64) -> Announcement {
    Announcement { run: run("a", incarnation), ..announcement("a", 1, sequence) }
}

#[test]
fn an_upstream_that_starts_again_under_its_name_is_another_run() {
    // Symptom: an upstream that was restarted gets no work. Sequence: it leaves and goes, starts again
    // under its name, and counts its announcements anew. Cause: "gone", and the sequence numbers of the
    // run before, taken for those of the name.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), born(1_000, 7), true);
    assert_eq!(registry.withdraw(at(100), &run("a", 1_000)), Change::Leaving);
    assert_eq!(registry.announce(at(200), born(2_000, 1), true), Change::Updated);
    assert_eq!(standing(&registry, "a"), Some(Status::Ready));
}

#[test]
fn a_late_word_of_an_earlier_run_changes_nothing() {
    // Symptom: an upstream that was restarted is believed to leave, or requests go where its earlier run
    // was. Sequence: words of the earlier run are held up by a cut and come after the new one's. Cause:
    // the last word taken for the newest run's.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), born(1_000, 7), true);
    registry.announce(at(100), born(2_000, 1), true);
    let late = [
        born(1_000, 8),
        Announcement { draining: true, ..born(1_000, 9) },
        Announcement { address: ([10, 0, 0, 9], 9).into(), ..born(1_000, 10) },
    ];
    for announcement in late {
        assert_eq!(registry.announce(at(200), announcement, true), Change::Unchanged);
    }
    assert_eq!(registry.withdraw(at(300), &run("a", 1_000)), Change::Leaving);
    assert_eq!(standing(&registry, "a"), Some(Status::Ready));
    assert_eq!(registry.announce(at(400), born(2_000, 2), true), Change::Unchanged);
    assert_eq!(registry.withdraw(at(500), &run("a", 2_000)), Change::Leaving);
    assert_eq!(standing(&registry, "a"), Some(Status::Gone));
}

#[test]
fn an_earlier_start_tells_a_held_up_announcement_from_a_new_run_at_an_address() {
    // Symptom: a healthy upstream gets no work. Sequence: a run crashes young, so that its number is low;
    // another one starts at its address; an announcement of the first was held up for seconds. Cause: a
    // low number taken for a new run, though both say when they started.
    let mut registry = Registry::new(HEARTBEAT);
    let new = Announcement { run: run("b", 2_000), ..announcement("b", 1, 1) };
    registry.announce(at(0), new, true);
    assert_eq!(registry.announce(at(9_000), born(1_000, 2), true), Change::Unchanged);
    assert_eq!(standing(&registry, "b"), Some(Status::Ready));
    assert_eq!(standing(&registry, "a"), None);
}

#[test]
fn an_unknown_service_takes_no_upstreams_place() {
    // Symptom: an upstream gets no work though it announces itself. Sequence: another writer announces
    // its name, or its address, under a service that no route table knows. Cause: the word taken for it.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 1), true);
    let foreign = |name| Announcement { service: "none".into(), ..announcement(name, 1, 9) };
    assert_eq!(registry.announce(at(100), foreign("a"), false), Change::UnknownService);
    assert_eq!(registry.announce(at(9_000), foreign("z"), false), Change::UnknownService);
    let later = Announcement { run: run("a", 5), ..foreign("a") };
    assert_eq!(registry.announce(at(9_000), later, false), Change::UnknownService);
    assert_eq!(standing(&registry, "a"), Some(Status::Ready));
    assert_eq!(registry.service_records("none").count(), 0);
}

#[test]
fn a_new_leader_knows_what_it_was_told_of_departures_only() {
    let mut departures = Departures::default();
    departures.record(at(0), &run("a", 1_000), Status::Gone);
    departures.record(at(0), &run("b", 0), Status::Leaving);
    let mut registry = Registry::new(HEARTBEAT);
    registry.restore(at(10), Propagation::default(), std::iter::empty(), departures);
    assert_eq!(registry.announce(at(20), born(1_000, 9), true), Change::Unchanged);
    assert_eq!(registry.announce(at(20), announcement("b", 2, 9), true), Change::Leaving);
    assert_eq!(standing(&registry, "a"), None);
    assert_eq!(standing(&registry, "b"), Some(Status::Leaving));
    assert_eq!(registry.announce(at(30), born(2_000, 1), true), Change::Updated);
}

#[test]
fn a_late_announcement_does_not_bring_back_a_run_whose_address_another_one_has() {
    // Symptom: requests go to a run that no longer exists. Sequence: it crashes, another run registers at
    // its address, then an announcement of the first comes that was held up. Cause: a run that was ended by
    // its successor not remembered as gone, unlike one that said so.
    let mut registry = Registry::new(HEARTBEAT);
    registry.announce(at(0), announcement("a", 1, 9), true);
    registry.announce(at(2_500), announcement("b", 1, 1), true);
    assert_eq!(registry.announce(at(2_600), announcement("a", 1, 10), true), Change::Unchanged);
    assert_eq!(standing(&registry, "a"), Some(Status::Gone));
}

#[test]
fn a_cores_word_renews_what_is_held_and_brings_nothing_back() {
    // Symptom: an upstream that has said that it goes is ready at a restarted entry. Sequence: a core that has not
    // heard of it vouches for an announcement that was held up. Cause: its word taken for the upstream's own.
    let mut registry = Registry::new(HEARTBEAT);
    for name in ["stays", "leaves", "gone"] {
        registry.announce(at(0), announcement(name, name.len().try_into().expect("few"), 1), true);
    }
    let leaving = Announcement { draining: true, ..announcement("leaves", 6, 2) };
    registry.announce(at(0), leaving, true);
    registry.withdraw(at(0), &run("gone", 0));
    let before = registry.last_change();
    let mark = |name, incarnation| RenewalMark { run: run(name, incarnation), sequence: 9 };
    for (name, incarnation) in [("leaves", 0), ("gone", 0), ("unknown", 0), ("stays", 7)] {
        assert_eq!(registry.vouch(at(500), &mark(name, incarnation)), Change::Unchanged, "{name}");
    }
    assert_eq!(standing(&registry, "leaves"), Some(Status::Leaving));
    assert_eq!(standing(&registry, "gone"), Some(Status::Gone));
    assert_eq!(standing(&registry, "unknown"), None);
    assert_eq!(registry.vouch(at(4_000), &mark("stays", 0)), Change::Unchanged);
    assert_eq!(registry.vouch(at(5_000), &mark("stays", 0)), Change::Unchanged, "a doubled one");
    assert_eq!(registry.last_change(), before, "nothing to tell");
    registry.tick(at(8_700));
    assert_eq!(standing(&registry, "stays"), Some(Status::Ready), "heard at 4 s");
    registry.tick(at(9_000));
    assert_eq!(standing(&registry, "stays"), Some(Status::Silent), "and not at 5 s");
}
