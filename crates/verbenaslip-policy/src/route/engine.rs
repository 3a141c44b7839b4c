//! One upstream as this instance knows it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::attempt::Request;

use crate::route::{CacheIndex, Health, Latency};

/// How long ended runs are remembered, to tell them from others' in an old load report.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(5);
/// The most ended runs remembered.
const MAX_ENDED_RUNS: usize = 4096;

/// Holds what is known of one upstream.
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
    /// Starts from a first announcement.
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

    /// Takes a newer announcement; an older one changes nothing, an equal one renews the load.
    pub(crate) fn handle_announcement(&mut self, now: Duration, announcement: &Announcement) {
        let order = |a: &Announcement| (a.incarnation, a.sequence);
        if order(announcement) < order(&self.announcement) {
            return;
        }
        // The registry vouches for an upstream without passing on each of its announcements, so
        // the same one comes again and again; taken for silence, it would end all work there.
        if order(announcement) == order(&self.announcement) {
            self.announcement.load = announcement.load;
            self.heard_at = self.heard_at.max(now);
            return;
        }
        let restarted = announcement.incarnation > self.announcement.incarnation;
        // Leaving is final for an incarnation; a reordered announcement must not revive it.
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

    /// Returns whether it will take no new work in this incarnation.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(self.announcement.phase, Phase::Leaving { .. })
    }

    /// Returns how long ago it was heard.
    pub(crate) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }

    /// Notes that a run of this instance ended.
    pub(crate) fn end_run(&mut self, now: Duration, request: Request) -> Option<Run> {
        let run = self.runs.remove(&request)?;
        self.ended_runs.retain(|(_, end)| now.saturating_sub(*end) <= ENDED_RUN_RETENTION);
        if self.ended_runs.len() < MAX_ENDED_RUNS {
            self.ended_runs.push_back((run.sent_at, now));
        }
        Some(run)
    }

    /// Estimates how many run or wait there now, by all of so many instances.
    ///
    /// A load report is old when it comes. What this instance has sent and seen end since then is
    /// known; the others, who see the same report, are expected to have done likewise.
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

    /// Estimates the prefill seconds of runs without a first token yet, of so many instances.
    pub(crate) fn pending_prefill_seconds(&self, now: Duration, instances: u32) -> f64 {
        let pending = self.runs.values().filter(|run| run.first_token_at.is_none());
        let total: f64 = pending.clone().map(|run| run.prefill_seconds).sum();
        // The oldest is being computed, so time since it was sent has reduced what is left.
        let oldest = pending.map(|run| run.sent_at).min();
        let elapsed = oldest.map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        let others = 1.0 + f64::from(instances.saturating_sub(1)) * PEER_CHANGE_FRACTION;
        (total - elapsed).max(0.0) * others
    }

    /// Returns how many of this instance's runs were there at a time.
    fn running_at(&self, at: Duration) -> usize {
        let still_running = self.runs.values().filter(|run| run.sent_at <= at).count();
        let ended = self.ended_runs.iter().filter(|(from, to)| *from <= at && *to > at).count();
        still_running + ended
    }
}

/// The part of this instance's own change of load that each other instance is expected to have had.
const PEER_CHANGE_FRACTION: f64 = 0.5;
