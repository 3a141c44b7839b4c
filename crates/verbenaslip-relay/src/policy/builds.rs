//! Which software versions of each service have served recently.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::View;
use verbenaslip_fleet::origin::{Build, MAX_LIFETIME};
use verbenaslip_fleet::registry::{Announcement, Record};

/// Time without news of the leader after which another version may have come unnoticed.
const MAX_LEADER_SILENCE: Duration = Duration::from_secs(1);

/// Time after the first news of a leader until all upstreams have announced themselves, even if the
/// whole fleet has just started: two announcements.
const SETTLING_TIME: Duration = Duration::from_secs(3);

type UpstreamRecords = BTreeMap<Upstream, Record>;

/// Tracks the software versions of services.
///
/// A service is *settled* while one version has served for as long as any stream lasts. All streams
/// are then at this version, and no entry needs to remember it for each of them.
#[derive(Debug, Default)]
pub struct Builds {
    /// When this entry first heard of a leader.
    first_heard_at: Option<Duration>,
    leader_heard_at: Option<Duration>,
    /// Upstreams of the last update.
    records: Arc<UpstreamRecords>,
    services: BTreeMap<Arc<str>, Service>,
}

#[derive(Debug, Default)]
struct Service {
    /// Versions with the time at which the last upstream of each left; `None` while one is known.
    versions: BTreeMap<Arc<str>, Option<Duration>>,
    settled: Option<Settled>,
}

/// Says at which version a service was last settled.
#[derive(Clone, Debug)]
pub struct Settled {
    /// The version.
    pub version: Arc<str>,
    /// When the service was last known to be settled.
    pub at: Duration,
}

impl Builds {
    /// Updates the versions from a newer view.
    pub fn update(&mut self, now: Duration, view: &View) {
        self.leader_heard_at = view.leader_heard_at;
        self.first_heard_at = self.first_heard_at.or(view.leader_heard_at);
        if Arc::ptr_eq(&self.records, &view.upstreams) {
            return;
        }
        self.records = view.upstreams.clone();
        // Services were settled until this change, which may bring another version.
        let names: Vec<Arc<str>> = self.services.keys().cloned().collect();
        for service in &names {
            self.settled(now, service);
        }
        for service in self.services.values_mut() {
            service.versions.values_mut().for_each(|left_at| {
                left_at.get_or_insert(now);
            });
            service.versions.retain(|_, left_at| is_recent(now, *left_at));
        }
        let announcements = view.upstreams.values().map(|record| &record.announcement);
        for VersionCount { announcement, .. } in count_versions(announcements) {
            let Announcement { service, version, .. } = announcement;
            let service = self.services.entry(service.clone()).or_default();
            service.versions.insert(version.clone(), None);
        }
        self.services.retain(|_, service| !service.versions.is_empty());
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
        let is_concerned = !self.is_current(now) && self.only_version(now, service).is_none();
        let settled = self.unrecorded(now, service, max_age).filter(|_| is_concerned)?;
        Some(settled.version.clone())
    }

    /// Returns whether the leader was heard recently.
    fn is_current(&self, now: Duration) -> bool {
        self.leader_heard_at.is_some_and(|at| now.saturating_sub(at) <= MAX_LEADER_SILENCE)
    }

    /// Returns the version at which all streams of a service are, if the service is settled.
    pub fn settled(&mut self, now: Duration, service: &str) -> Option<Arc<str>> {
        let is_current = self.is_current(now);
        let has_all_upstreams =
            self.first_heard_at.is_some_and(|at| now.saturating_sub(at) >= SETTLING_TIME);
        if !is_current || !has_all_upstreams {
            return None;
        }
        let version = self.only_version(now, service)?;
        let service = self.services.get_mut(service)?;
        service.settled = Some(Settled { version: version.clone(), at: now });
        Some(version)
    }

    /// Returns the version of a service if this entry has known only one for as long as any stream
    /// lasts; others may know more.
    pub fn only_version(&self, now: Duration, service: &str) -> Option<Arc<str>> {
        let versions = self.services.get(service)?.versions.iter();
        let mut recent = versions.filter(|(_, left_at)| is_recent(now, **left_at));
        let (Some((version, _)), None) = (recent.next(), recent.next()) else { return None };
        Some(version.clone())
    }

    /// Returns the version of a service at which a stream began that no entry has recorded; `None`
    /// if the service was not settled within `max_age`, the time in which the stream has begun.
    ///
    /// Entries record the streams of services that are not settled.
    pub fn unrecorded(&self, now: Duration, service: &str, max_age: Duration) -> Option<&Settled> {
        let settled = self.services.get(service)?.settled.as_ref()?;
        (now.saturating_sub(settled.at) <= max_age).then_some(settled)
    }

    /// Returns the version of a service that a recorded origin names.
    pub fn version(&self, service: &str, build: Build) -> Option<Arc<str>> {
        let mut versions = self.services.get(service)?.versions.keys();
        versions.find(|version| Build::of(service, version) == build).cloned()
    }
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

fn is_recent(now: Duration, left_at: Option<Duration>) -> bool {
    left_at.is_none_or(|left_at| now.saturating_sub(left_at) <= MAX_LIFETIME)
}
