//! At which software version streams began.
//!
//! What two versions write does not fit together, so a stream may only go on at the version that
//! began it. An entry records each stream that it sends to an upstream at two cores while several
//! versions serve, and asks all cores when a caller takes up a stream that began elsewhere. Cores
//! keep origins in memory only, until the caller no longer waits.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::{data, hash};

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
    steps: BTreeMap<u128, HashMap<Stream, Remembered>>,
    count: usize,
    /// When the table was started, or last had no room for an origin.
    complete_since: Duration,
    /// Origins for which there was no room, and that were not reported yet.
    lost_count: usize,
    next_loss_report: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Remembered {
    build: Build,
    recorded_at: Duration,
    expires_at: Duration,
}

impl Origins {
    /// Starts without origins.
    pub fn new(now: Duration) -> Self {
        Self {
            steps: BTreeMap::new(),
            count: 0,
            complete_since: now,
            lost_count: 0,
            next_loss_report: Duration::ZERO,
        }
    }

    /// Records an origin, which replaces an earlier one of the same stream.
    pub fn record(&mut self, now: Duration, origin: &Origin) {
        self.drop_expired(now);
        for step in self.steps.values_mut() {
            self.count -= usize::from(step.remove(&origin.stream).is_some());
        }
        if self.count >= MAX_ORIGINS {
            self.complete_since = now;
            self.lost_count += 1;
            return;
        }
        let lifetime = Duration::from_millis(origin.lifetime_ms.into()).min(MAX_LIFETIME);
        let expires_at = now + lifetime;
        let remembered = Remembered { build: origin.build, recorded_at: now, expires_at };
        self.steps.entry(step_of(expires_at)).or_default().insert(origin.stream, remembered);
        self.count += 1;
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
        let remembered = self.steps.values().find_map(|step| step.get(&stream));
        let origin = remembered
            .filter(|it| it.expires_at >= now)
            .map(|it| (it.build, to_millis(now.saturating_sub(it.recorded_at))));
        let complete_ms = to_millis(now.saturating_sub(self.complete_since));
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

fn step_of(time: Duration) -> u128 {
    time.as_millis() / EXPIRY_STEP.as_millis()
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
