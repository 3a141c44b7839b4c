//! The registry under announcements that are late, doubled, out of order, or of another run.

use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::registry::{Announcement, Change, Registry, Standing};

const BEAT: Duration = Duration::from_millis(1_200);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn announcement(name: &str, port: u16, sequence: u64) -> Announcement {
    Announcement {
        upstream: Upstream::from(name),
        service: "pool".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: AvailabilityZone::from("north"),
        version: "v1".into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
        reclaimable: false,
        leaves: None,
        sequence,
    }
}

fn standing(registry: &Registry, name: &str) -> Option<Standing> {
    let found = registry.records().find(|it| it.announcement.upstream.as_str() == name);
    found.map(|record| record.standing)
}

#[test]
fn leaving_is_final_for_a_run() {
    // Symptom: an upstream that leaves gets new work again. Sequence: its announcement that it
    // drains overtakes an older one that says it is ready. Cause: the older one taken as news.
    let mut registry = Registry::open(BEAT);
    registry.announce(at(0), announcement("a", 1, 1));
    let draining = Announcement { draining: true, ..announcement("a", 1, 3) };
    assert_eq!(registry.announce(at(100), draining), Change::Leaving);
    assert_eq!(registry.announce(at(200), announcement("a", 1, 2)), Change::Nothing);
    assert_eq!(standing(&registry, "a"), Some(Standing::Leaving));
    registry.announce(at(300), announcement("a", 1, 4));
    assert_eq!(standing(&registry, "a"), Some(Standing::Leaving));
}

#[test]
fn a_run_that_has_gone_stays_gone() {
    // Symptom: requests go to an upstream that no longer exists. Sequence: it withdraws; then one of
    // its announcements arrives that was held up. Cause: the announcement taken for a new run.
    let mut registry = Registry::open(BEAT);
    registry.announce(at(0), announcement("a", 1, 1));
    assert_eq!(registry.withdraw(&Upstream::from("a")), Change::Leaving);
    assert_eq!(registry.announce(at(50), announcement("a", 1, 2)), Change::Nothing);
    assert_eq!(standing(&registry, "a"), Some(Standing::Gone));
}

#[test]
fn another_run_at_the_address_ends_the_one_before() {
    // Symptom: requests for one service reach another. Sequence: an upstream crashes, and its
    // address is used by an upstream of another service. Cause: both records kept as ready.
    let mut registry = Registry::open(BEAT);
    registry.announce(at(0), announcement("a", 1, 9));
    let other = Announcement { service: "desk".into(), ..announcement("b", 1, 1) };
    assert_eq!(registry.announce(at(2_500), other), Change::News);
    assert_eq!(standing(&registry, "a"), Some(Standing::Gone));
    assert_eq!(standing(&registry, "b"), Some(Standing::Ready));
}

#[test]
fn a_held_up_announcement_of_an_old_run_does_not_end_the_new_one() {
    // Symptom: a healthy upstream gets no work. Sequence: a run behind a cut crashes, another starts
    // at its address and announces itself, then the cut heals and lets an old announcement through.
    // Cause: whatever comes last taken for the newest run.
    let mut registry = Registry::open(BEAT);
    registry.announce(at(0), announcement("new", 1, 1));
    registry.announce(at(1_200), announcement("new", 1, 2));
    assert_eq!(registry.announce(at(1_500), announcement("old", 1, 40)), Change::Nothing);
    assert_eq!(standing(&registry, "new"), Some(Standing::Ready));
    assert_eq!(standing(&registry, "old"), None);
}

#[test]
fn silence_is_told_and_an_announcement_ends_it() {
    let mut registry = Registry::open(BEAT);
    registry.announce(at(0), announcement("a", 1, 1));
    assert!(!registry.tick(at(4_000)));
    assert!(registry.tick(at(5_000)));
    assert_eq!(standing(&registry, "a"), Some(Standing::Silent));
    assert_eq!(registry.announce(at(5_100), announcement("a", 1, 2)), Change::News);
    assert_eq!(standing(&registry, "a"), Some(Standing::Ready));
}

#[test]
fn whoever_has_seen_a_change_is_told_only_of_later_ones() {
    let mut registry = Registry::open(BEAT);
    registry.announce(at(0), announcement("a", 1, 1));
    let seen = registry.stamp();
    registry.announce(at(0), announcement("b", 2, 1));
    let news = registry.since(seen).expect("nothing was forgotten");
    let names: Vec<&str> = news.iter().map(|it| it.announcement.upstream.as_str()).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn what_was_forgotten_is_told_as_a_whole() {
    // Symptom: an entry keeps an upstream for ever. Sequence: the entry is cut off, the upstream
    // withdraws and is forgotten, the entry comes back. Cause: a list of changes that lacks it.
    let mut registry = Registry::open(BEAT);
    registry.announce(at(0), announcement("a", 1, 1));
    let seen = registry.stamp();
    registry.withdraw(&Upstream::from("a"));
    registry.tick(at(120_000));
    assert!(registry.since(seen).is_none());
}
