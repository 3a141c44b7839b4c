//! What entries tell the leader of the versions of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;

/// Buckets of a latency histogram; each is half as wide again as the one before.
pub const BUCKET_COUNT: usize = 24;

/// The upper bound of the first bucket, in milliseconds.
const FIRST_BOUND_MS: f64 = 2.0;

/// The ratio of the bounds of two neighbouring buckets.
const BOUND_RATIO: f64 = 1.5;

/// Names the upstreams whose answers are counted together.
#[data(copy, ord)]
pub enum Group {
    /// The version that served before.
    Stable,
    /// One canary, by the hash of its name.
    Canary(u64),
    /// All upstreams of the candidate that are not counted by themselves.
    Candidate,
}

/// Counts the requests of one route at one group of upstreams.
#[data(default)]
pub struct Counts {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests whose outcome says something of the upstream.
    pub ended: u64,
    /// Those of them that failed or were slow.
    pub bad: u64,
    /// Latencies, for the stable version alone; see [`bucket`].
    pub latencies: Vec<u64>,
}

/// Names a row of a report.
pub type Key = (Arc<str>, Group);

/// Tells what an entry has seen since it first heard of a roll-out.
///
/// All counts are totals, so a report that is lost or doubled does no harm.
#[data]
pub struct Report {
    /// The roll-out.
    pub id: u64,
    /// The step of the plan that the entry follows.
    pub step: u32,
    /// Requests under way at the stable version.
    pub stable_active: u32,
    /// Whether this entry knows from an earlier leader that the candidate was rolled back.
    pub halted: bool,
    /// The counts by route and group.
    pub rows: Vec<(Key, Counts)>,
}

/// Adds up the reports of all entries.
#[derive(Debug, Default)]
pub struct Totals {
    entries: BTreeMap<SocketAddr, LastReport>,
    sums: BTreeMap<Key, Counts>,
    /// What came since it was last asked for.
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
    /// Takes the report with a number from a run of an entry.
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

    /// Takes what came since this was last called.
    pub fn take_fresh(&mut self) -> BTreeMap<Key, Counts> {
        std::mem::take(&mut self.fresh)
    }

    /// Goes through the sums.
    pub fn sums(&self) -> impl Iterator<Item = (&Key, &Counts)> {
        self.sums.iter()
    }

    /// Returns how many requests were sent in all, and how many of them to the candidate.
    pub fn exposure(&self) -> (u64, u64) {
        let sent = |it: &(&Key, &Counts)| it.1.sent;
        let all = self.sums.iter().map(|it| sent(&it)).sum();
        let candidate = self.sums.iter().filter(|((_, group), _)| *group != Group::Stable);
        (all, candidate.map(|it| sent(&it)).sum())
    }

    /// Tells whether any entry knows that the candidate was rolled back.
    pub fn is_halted(&self) -> bool {
        self.entries.values().any(|it| it.report.halted)
    }

    /// Returns how many requests these entries have at the stable version, if all follow a step of the plan.
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

    /// Returns what was counted after earlier totals.
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

    /// Counts a latency.
    pub fn record_latency(&mut self, latency: Duration) {
        self.latencies.resize(BUCKET_COUNT, 0);
        self.latencies[bucket_index(latency)] += 1;
    }

    /// Returns the median latency in milliseconds, if there are so many samples.
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

/// Returns the bucket of a latency.
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
