//! Tracks the state of one upstream as seen by this instance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::attempt::Request;

use crate::route::{CacheIndex, Health, Latency};

/// How long ended runs are kept, to separate them from the runs of other instances in a stale load
/// report.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(5);
/// The maximum number of ended runs that are kept; bounds memory.
const MAX_ENDED_RUNS: usize = 4096;

/// Holds the state of one upstream.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) announcement: Announcement,
    pub(crate) heard_at: Duration,
    pub(crate) runs: BTreeMap<Request, Run>,
    ended_runs: VecDeque<(Duration, Duration)>,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) cache: CacheIndex,
}

/// Holds one run that this instance has sent.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) sent_at: Duration,
    pub(crate) first_token_at: Option<Duration>,
    pub(crate) expected_first_token_seconds: f64,
    pub(crate) computed_tokens: u32,
    pub(crate) prefill_seconds: f64,
    pub(crate) expected_seconds: f64,
    pub(crate) load_at_send: f64,
    pub(crate) only_prefill: bool,
    pub(crate) max_output_tokens: u32,
}

impl Engine {
    /// Creates the state from the first announcement.
    pub(crate) fn new(now: Duration, announcement: Announcement, max_blocks: usize) -> Self {
        Self {
            announcement,
            heard_at: now,
            runs: BTreeMap::new(),
            ended_runs: VecDeque::new(),
            latency: Latency::default(),
            health: Health::default(),
            cache: CacheIndex::new(max_blocks),
        }
    }

    /// Handles an announcement. An older one has no effect, and an equal one renews the load.
    pub(crate) fn handle_announcement(&mut self, now: Duration, announcement: &Announcement) {
        let order = |a: &Announcement| (a.incarnation, a.sequence);
        if order(announcement) < order(&self.announcement) {
            return;
        }
        // The registry vouches for an upstream without forwarding each of its announcements, so the
        // same announcement arrives repeatedly. If repeated announcements were ignored, the
        // upstream would count as silent and lose all its work.
        if order(announcement) == order(&self.announcement) {
            self.announcement.load = announcement.load;
            self.heard_at = self.heard_at.max(now);
            return;
        }
        let restarted = announcement.incarnation > self.announcement.incarnation;
        // Leaving is final for an incarnation, so a reordered announcement must not make the
        // upstream usable again.
        if self.is_leaving() && !restarted {
            return;
        }
        if restarted {
            self.cache.clear();
            self.runs.clear();
            self.ended_runs.clear();
            self.health = Health::default();
            self.latency = Latency::default();
        }
        self.announcement = announcement.clone();
        self.heard_at = now;
    }

    /// Returns whether the upstream accepts no new work in this incarnation.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self.announcement.phase, Phase::Leaving { .. })
    }

    /// Returns the time since the last announcement.
    pub(crate) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }

    /// Records the end of a run of this instance.
    pub(crate) fn end_run(&mut self, now: Duration, request: Request) -> Option<Run> {
        let run = self.runs.remove(&request)?;
        self.ended_runs.retain(|(_, end)| now.saturating_sub(*end) <= ENDED_RUN_RETENTION);
        if self.ended_runs.len() < MAX_ENDED_RUNS {
            self.ended_runs.push_back((run.sent_at, now));
        }
        Some(run)
    }

    /// Estimates how many requests of all `instances` run or wait at the upstream now.
    ///
    /// A load report is already old when it arrives. This instance knows what it has sent and
    /// completed since the report. The other instances see the same report and are expected to have
    /// acted similarly.
    pub(crate) fn estimate_load(&self, instances: u32) -> f64 {
        let load = self.announcement.load;
        let measured = self.heard_at.saturating_sub(Duration::from_millis(u64::from(load.age)));
        let reported = f64::from(load.running) + f64::from(load.waiting);
        let now = self.runs.len() as f64;
        let own_reported = self.running_at(measured) as f64;
        let others_reported = (reported - own_reported).max(0.0);
        let change =
            (now - own_reported) * f64::from(instances.saturating_sub(1)) * PEER_CHANGE_FRACTION;
        now + (others_reported + change.max(-others_reported)).max(0.0)
    }

    /// Estimates the prefill seconds of the runs of all `instances` that have no first token yet.
    pub(crate) fn pending_prefill_seconds(&self, now: Duration, instances: u32) -> f64 {
        let pending = self.runs.values().filter(|run| run.first_token_at.is_none());
        let total: f64 = pending.clone().map(|run| run.prefill_seconds).sum();
        // The oldest run is being computed, so the time since it was sent is subtracted.
        let oldest = pending.map(|run| run.sent_at).min();
        let elapsed = oldest.map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        let others = 1.0 + f64::from(instances.saturating_sub(1)) * PEER_CHANGE_FRACTION;
        (total - elapsed).max(0.0) * others
    }

    /// Returns how many runs of this instance were at the upstream at a time.
    fn running_at(&self, at: Duration) -> usize {
        let still_running = self.runs.values().filter(|run| run.sent_at <= at).count();
        let ended = self.ended_runs.iter().filter(|(from, to)| *from <= at && *to > at).count();
        still_running + ended
    }
}

/// The fraction of this instance's own load change that is expected of each other instance.
const PEER_CHANGE_FRACTION: f64 = 0.5;
