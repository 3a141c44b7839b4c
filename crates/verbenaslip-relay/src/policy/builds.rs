//! Which software versions of each service have served recently.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::origin::{Build, MAX_LIFETIME};
use verbenaslip_fleet::registry::{Announcement, Record};
use verbenaslip_fleet::version_history::VersionHistory;
use verbenaslip_fleet::{View, clock};

/// Time without news of the leader after which another version may have come unnoticed.
const MAX_LEADER_SILENCE: Duration = Duration::from_secs(1);

/// Time after the start of the history until all upstreams of a fleet that has just started are in
/// it: two announcements.
const STARTUP_TIME: Duration = Duration::from_secs(3);

type UpstreamRecords = BTreeMap<Upstream, Record>;
type VersionsByService = BTreeMap<Arc<str>, Vec<Arc<str>>>;

/// Tracks the software versions of services, by the history that cores keep.
///
/// A service is *settled* while one version has served for as long as any stream lasts. All streams
/// are then at this version, and no entry needs to remember it for each of them.
///
/// This entry's own start says nothing about versions: those of the history that left before it
/// count as well, and without a history nothing is known.
#[derive(Debug, Default)]
pub struct Builds {
    leader_heard_at: Option<Duration>,
    /// Offset of the agreed time of day, in milliseconds.
    time_offset_ms: i64,
    history: Arc<VersionHistory>,
    /// Upstreams of the last update.
    records: Arc<UpstreamRecords>,
    /// Versions of these upstreams by service; the history may not contain the newest yet.
    present: VersionsByService,
}

/// Says at which version a service was last settled.
#[derive(Clone, Debug)]
pub struct Settled {
    /// The version.
    pub version: Arc<str>,
    /// Time since the service was last known to be settled.
    pub age: Duration,
}

impl Builds {
    /// Updates the versions from a newer view.
    pub fn update(&mut self, view: &View) {
        self.leader_heard_at = view.leader_heard_at;
        self.time_offset_ms = view.time_offset_ms;
        self.history = view.version_history.clone();
        if Arc::ptr_eq(&self.records, &view.upstreams) {
            return;
        }
        self.records = view.upstreams.clone();
        self.present.clear();
        let announcements = view.upstreams.values().map(|record| &record.announcement);
        for VersionCount { announcement, .. } in count_versions(announcements) {
            let Announcement { service, version, .. } = announcement;
            self.present.entry(service.clone()).or_default().push(version.clone());
        }
    }

    /// Returns the version at which a stream may begin although no core can be told of it; `None` if
    /// that does not matter, since the leader is heard, one version is known, or other entries no
    /// longer take an unrecorded stream for one of a certain version.
    pub fn without_cores(
        &self,
        now: Duration,
        service: &str,
        max_age: Duration,
    ) -> Option<Arc<str>> {
        let is_concerned =
            !self.is_current(now) && self.only_version(now, service, MAX_LIFETIME).is_none();
        let settled = self.unrecorded(now, service, max_age).filter(|_| is_concerned)?;
        Some(settled.version)
    }

    /// Returns whether the leader was heard recently.
    pub fn is_current(&self, now: Duration) -> bool {
        self.leader_heard_at.is_some_and(|at| now.saturating_sub(at) <= MAX_LEADER_SILENCE)
    }

    /// Returns the version at which all streams of a service are, if the service is settled.
    pub fn settled(&self, now: Duration, service: &str) -> Option<Arc<str>> {
        let has_begun = self.history_age(now).is_some_and(|age| age >= STARTUP_TIME);
        if !self.is_current(now) || !has_begun {
            return None;
        }
        self.only_version(now, service, MAX_LIFETIME)
    }

    /// Returns the version of a service if this entry knows of no other within `max_age`; others may
    /// know more.
    pub fn only_version(
        &self,
        now: Duration,
        service: &str,
        max_age: Duration,
    ) -> Option<Arc<str>> {
        let now_ms = self.unix_ms(now);
        let version = self.history.only_version(now_ms, service, before(now_ms, max_age))?;
        let present = self.present.get(service).into_iter().flatten();
        present.into_iter().all(|it| it == version).then(|| version.clone())
    }

    /// Returns the version of a service at which a stream began that no entry has recorded; `None`
    /// if the service was not settled within `max_age`, the time in which the stream has begun.
    ///
    /// Entries record the streams of services that are not settled.
    pub fn unrecorded(&self, now: Duration, service: &str, max_age: Duration) -> Option<Settled> {
        let now_ms = self.unix_ms(now);
        let since_ms = before(now_ms, max_age);
        let lone = self.history.lone_version(now_ms, service, since_ms)?;
        let age = Duration::from_millis(now_ms.saturating_sub(lone.until_ms));
        Some(Settled { version: lone.version, age })
    }

    /// Returns the version of a service that a recorded origin names.
    pub fn version(&self, service: &str, build: Build) -> Option<Arc<str>> {
        let present = self.present.get(service).into_iter().flatten();
        let mut present = present.filter(|version| Build::of(service, version) == build);
        present.next().or_else(|| self.history.version(service, build)).cloned()
    }

    /// Returns how far back the history of versions reaches; `None` without one.
    pub fn history_age(&self, now: Duration) -> Option<Duration> {
        let begin_ms = self.history.begin_ms()?;
        Some(Duration::from_millis(self.unix_ms(now).saturating_sub(begin_ms)))
    }

    fn unix_ms(&self, time: Duration) -> u64 {
        clock::unix_ms(time, self.time_offset_ms)
    }
}

/// Returns the time in milliseconds that was `age` ago.
fn before(now_ms: u64, age: Duration) -> u64 {
    now_ms.saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

/// Counts the upstreams of a version.
pub(crate) struct VersionCount<'a> {
    /// Announcement of one of them.
    pub(crate) announcement: &'a Announcement,
    pub(crate) upstreams: u32,
}

/// Counts the upstreams of each version of each service.
///
/// There are thousands of upstreams, but few versions.
pub(crate) fn count_versions<'a>(
    announcements: impl Iterator<Item = &'a Announcement>,
) -> Vec<VersionCount<'a>> {
    let mut counts: Vec<VersionCount<'_>> = Vec::new();
    for announcement in announcements {
        let Announcement { service, version, .. } = announcement;
        let is_same = |it: &&mut VersionCount<'_>| {
            (&it.announcement.service, &it.announcement.version) == (service, version)
        };
        match counts.iter_mut().find(is_same) {
            Some(count) => count.upstreams += 1,
            None => counts.push(VersionCount { announcement, upstreams: 1 }),
        }
    }
    counts
}
