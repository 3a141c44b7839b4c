//! When versions of services came and left.

mod net;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::frame::{
    Frame, LaterUpdateExtension, LatestUpdateExtension, Trailing, Update, UpdateExtension,
};
use verbenaslip_fleet::registry::{Announcement, Record, Status};
use verbenaslip_fleet::version_history::VersionHistory;
use verbenaslip_fleet::view::Version;

/// The history of one service, in seconds.
#[derive(Default)]
struct Fixture(VersionHistory);

impl Fixture {
    fn set(&mut self, now: u64, versions: &[&str]) {
        let service: Arc<str> = "desk".into();
        let versions: Vec<Arc<str>> = versions.iter().map(|it| Arc::from(*it)).collect();
        let present = versions.iter().map(|it| (&service, it));
        self.0.add(now * 1_000, present.clone());
        self.0.retain(now * 1_000, present);
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

const SERVICES: usize = 40;
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Target for control at a node, in bytes a second.
const MAX_CONTROL_RATE: usize = 12_000;

/// Returns the history of many services that have each had this many versions, the last of which
/// serves.
fn history_of(versions: usize) -> VersionHistory {
    let names: Vec<Arc<str>> =
        (0..SERVICES).map(|it| format!("assistant-llm-{it:02}").into()).collect();
    let mut history = VersionHistory::default();
    for number in 1..=versions {
        let version: Arc<str> = format!("v1.{number}.0+5f2a91c").into();
        let now_ms = EPOCH_MS + u64::try_from(number).expect("a small number") * 90_000;
        let present = names.iter().map(|name| (name, &version));
        history.add(now_ms, present.clone());
        history.retain(now_ms, present);
    }
    history
}

fn encoded_update(history: Option<VersionHistory>) -> usize {
    let address: SocketAddr = ([10, 0, 0, 1], 7_000).into();
    let announcement = Announcement {
        service: "assistant-llm-00".into(),
        version: "v1.4.0+5f2a91c".into(),
        ..net::announcement("i-9252d35259", 1, false)
    };
    let latest = LatestUpdateExtension {
        version_history: Trailing(history.map(Arc::new)),
        ..Default::default()
    };
    let later = LaterUpdateExtension { latest: Trailing(latest), ..Default::default() };
    let version = Version { term: 3, change: 5_000 };
    let update = Update {
        from: address,
        leader: address,
        leader_contact_age: Duration::ZERO,
        version,
        base: Some(version),
        records: vec![Record { announcement, status: Status::Ready }],
        route_table: None,
        blocklist: None,
        rollout_plans: None,
        limits: None,
        fleet_status: None,
        unix_ms: EPOCH_MS,
        ack_requested: false,
        extension: Trailing(UpdateExtension { later: Trailing(later), ..Default::default() }),
    };
    let frame = Frame::Update(Box::new(update));
    postcard::to_stdvec(&frame).expect("frames are encodable").len()
}

// Guards against releases for which the history takes a node's traffic for control.
#[test]
fn a_release_fits_in_the_traffic_of_a_second() {
    let plain = encoded_update(None);
    for versions in [1, 2, 4] {
        let history = history_of(versions);
        let size = postcard::to_stdvec(&history).expect("encoded").len();
        let update = encoded_update(Some(history));
        // One update when the version comes, and one when the one before it has left.
        let release = 2 * update;
        println!(
            "{SERVICES} services, {versions} versions: history {size} bytes, update {update} \
             ({plain} without), release {release}"
        );
        assert!(release <= MAX_CONTROL_RATE, "{versions} versions: {release} bytes");
    }
}
