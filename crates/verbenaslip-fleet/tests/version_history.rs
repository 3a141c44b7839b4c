//! When versions of services came and left.

use std::sync::Arc;

use verbenaslip_fleet::version_history::VersionHistory;

/// The history of one service, in seconds.
#[derive(Default)]
struct Fixture(VersionHistory);

impl Fixture {
    fn set(&mut self, now: u64, versions: &[&str]) {
        let service: Arc<str> = "desk".into();
        let versions: Vec<Arc<str>> = versions.iter().map(|it| Arc::from(*it)).collect();
        self.0.update(now * 1_000, versions.iter().map(|it| (&service, it)));
    }

    fn only(&self, now: u64, since: u64) -> Option<&str> {
        self.0.only_version(now * 1_000, "desk", since * 1_000).map(|it| &**it)
    }

    fn alone(&self, now: u64, since: u64) -> Option<String> {
        let found = self.0.lone_version(now * 1_000, "desk", since * 1_000);
        found.map(|it| format!("{} until {}", it.version, it.until_ms / 1_000))
    }
}

#[test]
fn a_version_is_the_only_one_unless_another_was_there_in_the_meantime() {
    let mut history = Fixture::default();
    history.set(1, &["v1"]);
    assert_eq!(history.only(99, 40), Some("v1"));
    history.set(100, &["v1", "v2"]);
    assert_eq!(history.only(100, 40), None);
    history.set(110, &["v2"]);
    assert_eq!(history.only(120, 110), None);
    assert_eq!(history.only(120, 111), Some("v2"));
    assert_eq!(history.alone(120, 100).as_deref(), Some("v1 until 100"));
    assert_eq!(history.alone(120, 101), None);
    assert_eq!(history.alone(171, 120).as_deref(), Some("v2 until 171"));
}

#[test]
fn no_version_was_alone_through_two_releases_within_the_life_of_a_stream() {
    let mut history = Fixture::default();
    history.set(1, &["v1"]);
    history.set(100, &["v2"]);
    history.set(110, &["v3"]);
    assert_eq!(history.alone(115, 99).as_deref(), Some("v1 until 100"));
    assert_eq!(history.alone(115, 101), None);
    assert_eq!(history.only(115, 109), None);
}

#[test]
fn a_version_that_comes_back_was_not_there_in_between() {
    let mut history = Fixture::default();
    history.set(1, &["v1"]);
    history.set(100, &["v2"]);
    history.set(200, &["v1", "v2"]);
    assert_eq!(history.alone(210, 195).as_deref(), Some("v2 until 200"));
    history.set(205, &["v1"]);
    assert_eq!(history.only(210, 206), Some("v1"));
    assert_eq!(history.alone(210, 195).as_deref(), Some("v2 until 200"));
}

// Guards against a leader whose clock is ahead: the version that it logged is there all the same.
#[test]
fn a_version_that_came_at_a_future_time_counts_from_now_on() {
    let mut history = Fixture::default();
    history.set(1, &["v1"]);
    history.set(1_000, &["v1", "v2"]);
    assert_eq!(history.only(100, 40), None);
    history.set(1_010, &["v1"]);
    assert_eq!(history.only(100, 40), None);
}

// Guards against a history that grows with each release.
#[test]
fn former_versions_are_forgotten() {
    let mut history = Fixture::default();
    for number in 0..200_u64 {
        history.set(1 + number, &[&format!("v{number}")]);
    }
    let size = |history: &Fixture| postcard::to_stdvec(&history.0).expect("encoded").len();
    assert!(size(&history) < 2_000, "{} bytes", size(&history));
    history.set(1_000, &["v1000"]);
    assert_eq!(history.only(1_010, 1_000), None);
    assert_eq!(history.only(1_010, 1_001), Some("v1000"));
    history.set(1_001, &[]);
    history.set(2_000, &[]);
    assert_eq!(history.only(2_000, 0), None);
}
