//! When all streams of a service are at one software version.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{record, run};
use verbenaslip_fleet::View;
use verbenaslip_fleet::origin::Build;
use verbenaslip_fleet::view::Version;
use verbenaslip_relay::policy::builds::Builds;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A service whose upstreams change, as one entry sees it; the agreed time of day is zero at first.
#[derive(Default)]
struct Fixture {
    builds: Builds,
    view: View,
}

fn unix_ms(now: Duration) -> u64 {
    u64::try_from(now.as_millis()).expect("a short time")
}

impl Fixture {
    fn set_versions(&mut self, now: Duration, versions: &[&str]) {
        let named = (1..).zip(versions).map(|(number, version)| {
            let mut record = record(run(number, 0), "north");
            record.announcement.version = (*version).into();
            (record.announcement.run.upstream.clone(), record)
        });
        self.view.upstreams = Arc::new(named.collect::<BTreeMap<_, _>>());
        let announcements = self.view.upstreams.values().map(|it| &it.announcement);
        let present = announcements.map(|it| (&it.service, &it.version));
        let history = Arc::make_mut(&mut self.view.version_history);
        history.add(unix_ms(now), present.clone());
        history.retain(unix_ms(now), present);
        self.hear_leader(now);
    }

    fn hear_leader(&mut self, now: Duration) {
        self.view.leader_heard_at = Some(now);
        self.builds.update(&self.view);
    }

    /// Starts the entry anew, which hears the leader at once.
    fn restart(&mut self, now: Duration) {
        self.builds = Builds::default();
        self.hear_leader(now);
    }

    fn settled(&mut self, now: Duration) -> Option<String> {
        self.hear_leader(now);
        self.builds.settled(now, "desk").map(|it| it.to_string())
    }

    fn unrecorded(&self, now: Duration, max_age: Duration) -> Option<String> {
        self.builds.unrecorded(now, "desk", max_age).map(|it| it.version.to_string())
    }
}

#[test]
fn a_service_settles_once_all_upstreams_have_announced_themselves() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1", "v1"]);
    assert_eq!(entry.settled(s(2)), None);
    assert_eq!(entry.settled(s(3)).as_deref(), Some("v1"));
}

// Guards against refusing streams after each change of leaders: the next leader inherits the list.
#[test]
fn a_service_stays_settled_through_a_change_of_leaders() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1"]);
    assert!(entry.settled(s(10)).is_some());
    entry.view.version = Version { term: 2, change: 1 };
    assert!(entry.settled(s(11)).is_some());
}

// Guards against an entry that is cut off from the cores and does not hear of another version.
#[test]
fn a_service_is_not_settled_while_the_leader_is_silent() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1"]);
    assert!(entry.settled(s(10)).is_some());
    assert!(entry.builds.settled(s(11), "desk").is_some());
    assert!(entry.builds.settled(s(12), "desk").is_none());
}

// Guards against streams of a version whose last upstream has left.
#[test]
fn a_version_counts_for_as_long_as_its_streams_may_last() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1"]);
    entry.settled(s(10));
    entry.set_versions(s(20), &["v1", "v2"]);
    entry.set_versions(s(30), &["v2"]);
    assert_eq!(entry.settled(s(90)), None);
    assert_eq!(entry.builds.version("desk", Build::of("desk", "v1")).as_deref(), Some("v1"));
    assert_eq!(entry.settled(s(91)).as_deref(), Some("v2"));
}

// Guards against a stream that began unrecorded, before the second version came.
#[test]
fn a_stream_without_a_record_began_at_the_version_before() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1"]);
    entry.settled(s(10));
    entry.set_versions(s(20), &["v1", "v2"]);
    assert_eq!(entry.settled(s(20)), None);
    assert_eq!(entry.unrecorded(s(26), s(6)).as_deref(), Some("v1"));
    assert_eq!(entry.unrecorded(s(27), s(6)), None, "it would have ended by now");
}

// Guards against unrecorded streams of the second version, from an entry that is cut off from the cores.
#[test]
fn an_entry_that_is_cut_off_begins_streams_at_the_version_before() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1"]);
    entry.settled(s(10));
    let without_cores = |entry: &Fixture, now| {
        entry.builds.without_cores(now, "desk", s(6)).map(|it| it.to_string())
    };
    assert_eq!(without_cores(&entry, s(12)), None, "one version is known");
    entry.set_versions(s(20), &["v1", "v2"]);
    assert_eq!(without_cores(&entry, s(21)), None, "the leader is heard");
    assert_eq!(without_cores(&entry, s(22)).as_deref(), Some("v1"));
    assert_eq!(without_cores(&entry, s(27)), None, "others refuse such streams by now");
}

#[test]
fn an_entry_that_has_just_started_knows_no_version_before() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1", "v2"]);
    assert_eq!(entry.settled(s(10)), None);
    assert_eq!(entry.unrecorded(s(10), s(60)), None);
    assert_eq!(entry.builds.only_version(s(10), "desk", s(60)), None);
}

// Guards against taking the versions of the first list for all that there were.
#[test]
fn an_entry_that_has_restarted_knows_the_versions_that_left_before() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1"]);
    entry.set_versions(s(100), &["v1", "v2"]);
    entry.set_versions(s(101), &["v2"]);
    entry.restart(s(104));
    assert_eq!(entry.settled(s(108)), None);
    assert_eq!(entry.builds.only_version(s(108), "desk", s(6)).as_deref(), Some("v2"));
    assert_eq!(entry.builds.only_version(s(108), "desk", s(7)), None);
    assert_eq!(entry.unrecorded(s(108), s(8)).as_deref(), Some("v1"));
    assert_eq!(entry.builds.version("desk", Build::of("desk", "v1")).as_deref(), Some("v1"));
}

// Guards against guesses of an entry that has heard of no leader since its start.
#[test]
fn an_entry_without_a_history_knows_no_version() {
    let mut entry = Fixture::default();
    entry.set_versions(s(0), &["v1"]);
    entry.view.version_history = Arc::default();
    entry.restart(s(100));
    assert_eq!(entry.settled(s(104)), None);
    assert_eq!(entry.builds.only_version(s(104), "desk", s(6)), None);
    assert_eq!(entry.unrecorded(s(104), s(6)), None);
}
