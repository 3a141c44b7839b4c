//! Reports of entries to the leader about the versions of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;

/// Number of buckets of a latency histogram; each upper bound is half as large again as the one
/// before.
pub const BUCKET_COUNT: usize = 24;

/// Upper bound of the first bucket, in milliseconds.
const FIRST_BOUND_MS: f64 = 2.0;

/// Ratio of the upper bounds of two adjacent buckets.
const BOUND_RATIO: f64 = 1.5;

/// Identifies the upstreams whose answers are counted together.
#[data(copy, ord)]
pub enum Group {
    /// The version that served before.
    Stable,
    /// One canary, identified by the hash of its name.
    Canary(u64),
    /// All upstreams of the candidate that are not counted individually.
    Candidate,
}

/// Counts the requests of one route at one group of upstreams.
#[data(default)]
pub struct Counts {
    /// The number of requests that were sent.
    pub sent: u64,
    /// The number of requests whose outcome says something about the upstream.
    pub ended: u64,
    /// The number of those that failed or were slow.
    pub bad: u64,
    /// The latency histogram, for the stable version only; see [`bucket_index`].
    pub latencies: Vec<u64>,
}

/// Identifies a row of a report.
pub type Key = (Arc<str>, Group);

/// Holds what an entry has counted since it first learned of a rollout.
///
/// All counts are totals, so a report that is lost or duplicated does no harm.
#[data]
pub struct Report {
    /// The ID of the rollout.
    pub id: u64,
    /// The step of the plan that the entry follows.
    pub step: u32,
    /// The number of requests that are running on the stable version.
    pub stable_active: u32,
    /// Whether this entry has learned from an earlier leader that the candidate was rolled back.
    pub halted: bool,
    /// The counts by route and group.
    pub rows: Vec<(Key, Counts)>,
}

/// Sums up the reports of all entries.
#[derive(Debug, Default)]
pub struct Totals {
    entries: BTreeMap<SocketAddr, LastReport>,
    sums: BTreeMap<Key, Counts>,
    /// The counts that were added since [`Totals::take_fresh`] was last called.
    fresh: BTreeMap<Key, Counts>,
}

/// Holds the last report of one entry.
#[derive(Debug)]
struct LastReport {
    incarnation: u64,
    number: u64,
    report: Report,
}

impl Totals {
    /// Adds the report with this number from a run of an entry.
    pub fn add_report(
        &mut self,
        entry: SocketAddr,
        incarnation: u64,
        number: u64,
        report: &Report,
    ) {
        let last = self.entries.get(&entry).filter(|it| it.incarnation == incarnation);
        if last.is_some_and(|it| it.number >= number) {
            return;
        }
        let before = last.map(|it| it.report.rows.iter().cloned().collect());
        let before: BTreeMap<Key, Counts> = before.unwrap_or_default();
        for (key, counts) in &report.rows {
            let delta = counts.difference(before.get(key));
            self.sums.entry(key.clone()).or_default().add(&delta);
            self.fresh.entry(key.clone()).or_default().add(&delta);
        }
        self.entries.insert(entry, LastReport { incarnation, number, report: report.clone() });
    }

    /// Removes and returns the counts that were added since the last call.
    pub fn take_fresh(&mut self) -> BTreeMap<Key, Counts> {
        std::mem::take(&mut self.fresh)
    }

    /// Iterates over the sums.
    pub fn sums(&self) -> impl Iterator<Item = (&Key, &Counts)> {
        self.sums.iter()
    }

    /// Returns the number of requests that were sent, and how many of them went to the candidate.
    pub fn exposure(&self) -> (u64, u64) {
        let sent = |it: &(&Key, &Counts)| it.1.sent;
        let all = self.sums.iter().map(|it| sent(&it)).sum();
        let candidate = self.sums.iter().filter(|((_, group), _)| *group != Group::Stable);
        (all, candidate.map(|it| sent(&it)).sum())
    }

    /// Returns whether any entry knows that the candidate was rolled back.
    pub fn is_halted(&self) -> bool {
        self.entries.values().any(|it| it.report.halted)
    }

    /// Returns how many requests of these entries are running on the stable version; none unless
    /// all of them follow this step of the plan or a later one.
    pub fn stable_active(&self, entries: &[SocketAddr], step: u32) -> Option<u32> {
        let requests_if_current = |it: &SocketAddr| {
            let last = self.entries.get(it)?;
            (last.report.step >= step).then_some(last.report.stable_active)
        };
        entries.iter().map(requests_if_current).sum()
    }
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.ended += other.ended;
        self.bad += other.bad;
        if self.latencies.len() < other.latencies.len() {
            self.latencies.resize(other.latencies.len(), 0);
        }
        for (sum, more) in self.latencies.iter_mut().zip(&other.latencies) {
            *sum += more;
        }
    }

    /// Returns the difference to earlier totals.
    #[must_use]
    pub fn difference(&self, before: Option<&Self>) -> Self {
        let Some(before) = before else { return self.clone() };
        let earlier = |at: usize| before.latencies.get(at).copied().unwrap_or(0);
        let latencies = self.latencies.iter().enumerate();
        Self {
            sent: self.sent.saturating_sub(before.sent),
            ended: self.ended.saturating_sub(before.ended),
            bad: self.bad.saturating_sub(before.bad),
            latencies: latencies.map(|(at, it)| it.saturating_sub(earlier(at))).collect(),
        }
    }

    /// Adds a latency to the histogram.
    pub fn record_latency(&mut self, latency: Duration) {
        self.latencies.resize(BUCKET_COUNT, 0);
        self.latencies[bucket_index(latency)] += 1;
    }

    /// Returns the median latency in milliseconds; none with fewer than `min_samples` samples.
    pub fn median(&self, min_samples: u64) -> Option<f64> {
        let total: u64 = self.latencies.iter().sum();
        if total < min_samples.max(1) {
            return None;
        }
        let mut sum = 0;
        let half = |count: &u64| {
            sum += count;
            sum * 2 >= total
        };
        self.latencies.iter().position(half).map(upper_bound_ms)
    }
}

/// Returns the index of the bucket for a latency.
pub fn bucket_index(latency: Duration) -> usize {
    let millis = latency.as_secs_f64() * 1_000.0;
    (0..BUCKET_COUNT - 1)
        .find(|bucket| millis <= upper_bound_ms(*bucket))
        .unwrap_or(BUCKET_COUNT - 1)
}

/// Returns the upper bound of a bucket in milliseconds.
fn upper_bound_ms(bucket: usize) -> f64 {
    FIRST_BOUND_MS * BOUND_RATIO.powi(i32::try_from(bucket).unwrap_or(i32::MAX))
}
