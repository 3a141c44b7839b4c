//! When each software version of each service came and left.
//!
//! A stream goes on only at the version that began it. While one version serves alone, nobody
//! records where streams begin, and the history of versions alone tells. It is part of the
//! replicated state, so that instances which start, all of them at once too, know the versions that
//! left before.
//!
//! A version is the *only* one of a time in which no other was there. It was *alone* at a time if it
//! had been the only one for the lifetime of a stream by then. Times are in milliseconds of the agreed
//! time of day since 1970.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use verbenaslip_base::data;

use crate::origin::{Build, MAX_LIFETIME};

/// Time for which a version that has left is remembered, in milliseconds: several lifetimes of a
/// stream, so that a leader whose clock is ahead does not end it early.
const RETENTION_MS: u64 = 600_000;

/// Limit on the versions of a service that have left and are remembered.
const MAX_FORMER_VERSIONS: usize = 64;

/// Holds the versions that serve, and those that have left recently.
#[data(default)]
pub struct VersionHistory {
    /// When the first upstream joined.
    begin_ms: Option<u64>,
    /// Since when the history is complete; zero if no upstream has ever joined before it began.
    complete_since_ms: u64,
    services: BTreeMap<Arc<str>, Vec<Presence>>,
}

/// A service and one of its versions.
pub type ServiceVersion = (Arc<str>, Arc<str>);

/// Says which version had been alone for the lifetime of a stream, and until when.
#[data]
pub struct LoneVersion {
    /// The version.
    pub version: Arc<str>,
    /// Last time at which no other version was there.
    pub until_ms: u64,
}

/// Says when a version of a service had upstreams.
#[data]
struct Presence {
    version: Arc<str>,
    came_ms: u64,
    /// When the last upstream left; `None` while there is one.
    left_ms: Option<u64>,
}

impl Presence {
    /// Returns when the version came; a clock that was ahead may have given a later time.
    fn start(&self, now_ms: u64) -> u64 {
        self.came_ms.min(now_ms)
    }

    /// Returns when the version left, at the latest now.
    fn end(&self, now_ms: u64) -> u64 {
        self.left_ms.unwrap_or(now_ms).min(now_ms)
    }
}

impl VersionHistory {
    /// Begins at a time before which versions came and left that this history does not tell of.
    pub fn begin_within(&mut self, now_ms: u64) {
        if self.begin_ms.is_none() {
            (self.begin_ms, self.complete_since_ms) = (Some(now_ms), now_ms);
        }
    }

    /// Records that versions are there, each with its service.
    pub fn add<'a>(
        &mut self,
        now_ms: u64,
        present: impl IntoIterator<Item = (&'a Arc<str>, &'a Arc<str>)>,
    ) {
        for (service, version) in present {
            self.begin_ms.get_or_insert(now_ms);
            self.add_version(now_ms, service, version);
        }
    }

    /// Records that all other versions than these have left.
    pub fn retain<'a>(
        &mut self,
        now_ms: u64,
        present: impl IntoIterator<Item = (&'a Arc<str>, &'a Arc<str>)>,
    ) {
        let present: BTreeSet<ServiceVersion> =
            present.into_iter().map(|it| (it.0.clone(), it.1.clone())).collect();
        for (service, presences) in &mut self.services {
            for presence in presences.iter_mut().filter(|it| it.left_ms.is_none()) {
                if !present.contains(&(service.clone(), presence.version.clone())) {
                    presence.left_ms = Some(now_ms);
                }
            }
        }
        self.services.retain(|_, presences| {
            forget_former(now_ms, presences);
            !presences.is_empty()
        });
    }

    /// Returns whether a version is there.
    pub fn contains(&self, service: &str, version: &str) -> bool {
        let presences = self.services.get(service).into_iter().flatten();
        presences.into_iter().any(|it| it.left_ms.is_none() && *it.version == *version)
    }

    /// Iterates over the versions that are there, each with its service.
    pub fn present(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.services.iter().flat_map(|(service, presences)| {
            let present = presences.iter().filter(|it| it.left_ms.is_none());
            present.map(move |it| (service, &it.version))
        })
    }

    fn add_version(&mut self, now_ms: u64, service: &Arc<str>, version: &Arc<str>) {
        let presences = self.services.entry(service.clone()).or_default();
        // A version that is back within the lifetime of a stream counts as never gone: no other can
        // have been alone for that long meanwhile.
        let returns = |it: &&mut Presence| {
            it.version == *version
                && it.left_ms.is_none_or(|left| now_ms.saturating_sub(left) < stream_lifetime_ms())
        };
        match presences.iter_mut().find(returns) {
            Some(presence) => presence.left_ms = None,
            None => presences.push(Presence {
                version: version.clone(),
                came_ms: now_ms,
                left_ms: None,
            }),
        }
    }

    /// Returns when the history begins; `None` while it is empty.
    pub fn begin_ms(&self) -> Option<u64> {
        self.begin_ms
    }

    /// Returns the version of a service if it has had no other since `since_ms`.
    pub fn only_version(&self, now_ms: u64, service: &str, since_ms: u64) -> Option<&Arc<str>> {
        if since_ms < self.complete_since_ms {
            return None;
        }
        let recent = |it: &&Presence| it.end(now_ms) >= since_ms;
        let mut versions = self.services.get(service)?.iter().filter(recent).map(|it| &it.version);
        let version = versions.next()?;
        versions.all(|it| it == version).then_some(version)
    }

    /// Returns the version of a service that had been alone for the lifetime of a stream at some
    /// time since `since_ms`, and when that was last so; `None` if there is none, or more than one.
    pub fn lone_version(&self, now_ms: u64, service: &str, since_ms: u64) -> Option<LoneVersion> {
        if since_ms.saturating_sub(stream_lifetime_ms()) < self.complete_since_ms {
            return None;
        }
        let presences = self.services.get(service)?;
        let mut found: Option<LoneVersion> = None;
        for presence in presences {
            let Some(at) = last_alone(now_ms, presence, presences).filter(|at| *at >= since_ms)
            else {
                continue;
            };
            match &found {
                Some(known) if known.version != presence.version => return None,
                Some(known) if known.until_ms >= at => {}
                _ => found = Some(LoneVersion { version: presence.version.clone(), until_ms: at }),
            }
        }
        found
    }

    /// Returns the version of a service that a recorded origin names.
    pub fn version(&self, service: &str, build: Build) -> Option<&Arc<str>> {
        let mut versions = self.services.get(service)?.iter().map(|it| &it.version);
        versions.find(|version| Build::of(service, version) == build)
    }
}

/// Returns the end of the last time in which a version had been alone for the lifetime of a stream.
///
/// Walks back over the times in which others were there, or had left too recently.
fn last_alone(now_ms: u64, presence: &Presence, all: &[Presence]) -> Option<u64> {
    let others = || all.iter().filter(|it| it.version != presence.version);
    let mut end = presence.end(now_ms);
    while end > presence.start(now_ms) {
        let is_beside = |it: &&Presence| {
            it.start(now_ms) < end && end <= it.end(now_ms).saturating_add(stream_lifetime_ms())
        };
        let Some(other) = others().find(is_beside) else { return Some(end) };
        end = other.start(now_ms);
    }
    None
}

/// Forgets versions that left long ago, the earliest first.
fn forget_former(now_ms: u64, presences: &mut Vec<Presence>) {
    presences.retain(|it| it.left_ms.is_none_or(|left| now_ms.saturating_sub(left) < RETENTION_MS));
    let mut former: Vec<u64> = presences.iter().filter_map(|it| it.left_ms).collect();
    if former.len() > MAX_FORMER_VERSIONS {
        former.sort_unstable();
        let first_kept = former[former.len() - MAX_FORMER_VERSIONS];
        presences.retain(|it| it.left_ms.is_none_or(|left| left >= first_kept));
    }
}

/// Returns the longest lifetime of a stream, in milliseconds.
fn stream_lifetime_ms() -> u64 {
    u64::try_from(MAX_LIFETIME.as_millis()).unwrap_or(u64::MAX)
}
