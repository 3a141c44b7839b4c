//! At which software version streams began.
//!
//! What two versions write does not fit together, so a stream may only go on at the version that
//! began it. An entry records each stream that it sends to an upstream at two cores while several
//! versions serve, and asks all cores when a caller takes up a stream that began elsewhere. Cores
//! keep origins in memory only, until the caller no longer waits; a core that starts copies what
//! the others know.

pub mod copy;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use verbenaslip_base::{data, hash};

use crate::origin::copy::{CopiedOrigin, Cursor, MAX_PAGE_ORIGINS};

/// Longest time for which an origin is remembered.
pub const MAX_LIFETIME: Duration = Duration::from_secs(60);

/// Number of cores at which each entry records its streams.
pub const KEEPER_COUNT: usize = 2;

/// Origins that expire within the same time are dropped together.
const EXPIRY_STEP: Duration = Duration::from_secs(8);

/// Time between two reports of origins for which there was no room.
const LOSS_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Limit on the origins in a table; they take up to 30 MB.
const MAX_ORIGINS: usize = 400_000;

/// Identifies a stream by a hash of the request that began it.
#[data(copy, ord, hash)]
pub struct Stream([u8; 8]);

impl Stream {
    /// Identifies the stream that a request with this id began.
    pub fn of(request_id: &str) -> Self {
        Self(hash::narrow(&[request_id.as_bytes()]).to_le_bytes())
    }
}

/// Identifies a software version of a service by a hash of both names.
#[data(copy, ord, hash)]
pub struct Build([u8; 4]);

impl Build {
    /// Identifies a version of a service.
    pub fn of(service: &str, version: &str) -> Self {
        let [a, b, c, d, ..] =
            hash::narrow(&[service.as_bytes(), version.as_bytes()]).to_le_bytes();
        Self([a, b, c, d])
    }
}

/// Says at which version a stream begins.
#[data(copy)]
pub struct Origin {
    /// The stream.
    pub stream: Stream,
    /// The version.
    pub build: Build,
    /// Time for which the origin must be remembered, in milliseconds.
    pub lifetime_ms: u32,
}

/// Contains what a core knows about the origin of a stream.
#[data(copy)]
pub struct Finding {
    /// The stream.
    pub stream: Stream,
    /// The version, and the time since the core was told of it in milliseconds; `None` if the core
    /// does not know the stream.
    pub origin: Option<(Build, u32)>,
    /// Time for which the core has remembered all that it was told, in milliseconds.
    pub complete_ms: u32,
}

/// Remembers the origins of streams.
#[derive(Debug)]
pub struct Origins {
    /// Origins by the number of the step in which they expire.
    steps: BTreeMap<u64, BTreeMap<Stream, Remembered>>,
    count: usize,
    /// Since when the table has held all that this core was told.
    complete_since: Duration,
    /// When there was last no room for an origin.
    lost_at: Option<Duration>,
    /// Origins for which there was no room, and that were not reported yet.
    lost_count: usize,
    next_loss_report: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Remembered {
    build: Build,
    recorded_at: Duration,
    expires_at: Duration,
    /// Whether another core was told of the origin.
    is_copy: bool,
}

/// Times in the table begin before the clock does, which may have started with the machine.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);

impl Origins {
    /// Starts without origins.
    pub fn new(now: Duration) -> Self {
        Self {
            steps: BTreeMap::new(),
            count: 0,
            complete_since: now + CLOCK_OFFSET,
            lost_at: None,
            lost_count: 0,
            next_loss_report: Duration::ZERO,
        }
    }

    /// Records an origin, which replaces an earlier one of the same stream.
    pub fn record(&mut self, now: Duration, origin: &Origin) {
        let now = now + CLOCK_OFFSET;
        let expires_at = now + lifetime(origin.lifetime_ms);
        let build = origin.build;
        let remembered = Remembered { build, recorded_at: now, expires_at, is_copy: false };
        self.insert(now, origin.stream, remembered);
    }

    /// Adds an origin that another core has named in the answer to a question that was sent at
    /// `asked_at`, unless a later one of the same stream is known.
    pub fn merge(&mut self, now: Duration, asked_at: Duration, origin: &CopiedOrigin) {
        let (now, asked_at) = (now + CLOCK_OFFSET, asked_at + CLOCK_OFFSET);
        // Not later than it was recorded, so that it does not displace a later one.
        let recorded_at = asked_at.saturating_sub(Duration::from_millis(origin.age_ms.into()));
        if self.remembered(origin.stream).is_some_and(|it| it.recorded_at >= recorded_at) {
            return;
        }
        let expires_at = now + lifetime(origin.lifetime_ms);
        let build = origin.build;
        let remembered = Remembered { build, recorded_at, expires_at, is_copy: true };
        self.insert(now, origin.stream, remembered);
    }

    fn insert(&mut self, now: Duration, stream: Stream, remembered: Remembered) {
        self.drop_expired(now);
        for step in self.steps.values_mut() {
            self.count -= usize::from(step.remove(&stream).is_some());
        }
        if self.count >= MAX_ORIGINS {
            self.complete_since = now;
            self.lost_at = Some(now);
            self.lost_count += 1;
            return;
        }
        self.steps.entry(step_of(remembered.expires_at)).or_default().insert(stream, remembered);
        self.count += 1;
    }

    /// Returns the origins after a position, up to the limit of a page, and the position of the
    /// last one if there are more.
    pub fn page(
        &self,
        now: Duration,
        after: Option<Cursor>,
    ) -> (Vec<CopiedOrigin>, Option<Cursor>) {
        let now = now + CLOCK_OFFSET;
        let (mut origins, mut last) = (Vec::new(), None);
        for (step, streams) in self.steps.range(after.map_or(0, |it| it.step)..) {
            let start = match after.filter(|it| it.step == *step) {
                Some(cursor) => Bound::Excluded(cursor.stream),
                None => Bound::Unbounded,
            };
            for (stream, it) in streams.range((start, Bound::Unbounded)) {
                if it.expires_at < now {
                    continue;
                }
                if origins.len() == MAX_PAGE_ORIGINS {
                    return (origins, last);
                }
                let age_ms = to_millis(now.saturating_sub(it.recorded_at));
                let lifetime_ms = to_millis(it.expires_at - now);
                let (stream, build) = (*stream, it.build);
                origins.push(CopiedOrigin { stream, build, age_ms, lifetime_ms });
                last = Some(Cursor { step: *step, stream });
            }
        }
        (origins, None)
    }

    /// Returns the time on the table's clock that is `millis` before now.
    pub(crate) fn time_before(&self, now: Duration, millis: u32) -> Duration {
        (now + CLOCK_OFFSET).saturating_sub(Duration::from_millis(millis.into()))
    }

    /// Records that the table holds all that this core was told since a time on the table's clock.
    pub(crate) fn complete_from(&mut self, complete_since: Duration) {
        let complete_since = complete_since.max(self.lost_at.unwrap_or_default());
        self.complete_since = self.complete_since.min(complete_since);
    }

    /// Returns for how long the table has held all that this core was told.
    pub(crate) fn complete(&self, now: Duration) -> Duration {
        (now + CLOCK_OFFSET).saturating_sub(self.complete_since)
    }

    /// Returns [`complete`](Self::complete) in milliseconds.
    pub(crate) fn complete_ms(&self, now: Duration) -> u32 {
        to_millis(self.complete(now))
    }

    /// Returns whether the origin of a stream is known from another core only.
    pub(crate) fn is_copied(&self, stream: Stream) -> bool {
        self.remembered(stream).is_some_and(|it| it.is_copy)
    }

    fn remembered(&self, stream: Stream) -> Option<&Remembered> {
        self.steps.values().find_map(|step| step.get(&stream))
    }

    /// Returns the number of origins for which there was no room since the last report, if one is
    /// due.
    pub fn take_loss(&mut self, now: Duration) -> Option<usize> {
        if self.lost_count == 0 || now < self.next_loss_report {
            return None;
        }
        self.next_loss_report = now + LOSS_REPORT_INTERVAL;
        Some(std::mem::take(&mut self.lost_count))
    }

    /// Returns what is known about a stream.
    pub fn find(&self, now: Duration, stream: Stream) -> Finding {
        let complete_ms = self.complete_ms(now);
        let now = now + CLOCK_OFFSET;
        let remembered = self.remembered(stream).filter(|it| it.expires_at >= now);
        let origin = remembered.map(|it| (it.build, to_millis(now.saturating_sub(it.recorded_at))));
        Finding { stream, origin, complete_ms }
    }

    /// Returns the number of origins, some of which may have expired.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no origins.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn drop_expired(&mut self, now: Duration) {
        while let Some(step) = self.steps.first_entry().filter(|it| *it.key() < step_of(now)) {
            self.count -= step.remove().len();
        }
    }
}

/// Returns the cores at which an entry records its streams.
///
/// Each entry has its own, so that all cores have as much to remember, and an entry sends what
/// begins within a moment in one frame to each.
pub fn keepers(entry: SocketAddr, cores: &[SocketAddr]) -> Vec<SocketAddr> {
    let rank = |core: &SocketAddr| {
        hash::narrow(&[entry.to_string().as_bytes(), core.to_string().as_bytes()])
    };
    let mut ranked: Vec<(u64, SocketAddr)> = cores.iter().map(|it| (rank(it), *it)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(KEEPER_COUNT).map(|(_, core)| core).collect()
}

fn step_of(time: Duration) -> u64 {
    time.as_secs() / EXPIRY_STEP.as_secs()
}

fn lifetime(millis: u32) -> Duration {
    Duration::from_millis(millis.into()).min(MAX_LIFETIME)
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
