//! One upstream as this instance knows it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::attempt::Request;

use crate::route::{Cache, Health, Latency};

/// How long ended runs are remembered, to tell them from others' in an old load report.
const REMEMBER: Duration = Duration::from_secs(5);
/// The most ended runs remembered.
const MOST_ENDED: usize = 4096;

/// Holds what is known of one upstream.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) announcement: Announcement,
    pub(crate) heard: Duration,
    pub(crate) sent: BTreeMap<Request, Sent>,
    ended: VecDeque<(Duration, Duration)>,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) cache: Cache,
}

/// Holds one run that this instance has sent.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) at: Duration,
    pub(crate) first: Option<Duration>,
    pub(crate) expected_first: f64,
    pub(crate) computed: u32,
    pub(crate) prefill: f64,
    pub(crate) seconds: f64,
    pub(crate) running: f64,
    pub(crate) alone: bool,
    pub(crate) allowed: u32,
}

impl Engine {
    /// Starts from a first announcement.
    pub(crate) fn new(now: Duration, announcement: Announcement, blocks: usize) -> Self {
        Self {
            announcement,
            heard: now,
            sent: BTreeMap::new(),
            ended: VecDeque::new(),
            latency: Latency::default(),
            health: Health::default(),
            cache: Cache::new(blocks),
        }
    }

    /// Takes a newer announcement; an older one changes nothing, an equal one renews the load.
    pub(crate) fn announce(&mut self, now: Duration, announcement: &Announcement) {
        let order = |a: &Announcement| (a.incarnation, a.sequence);
        if order(announcement) < order(&self.announcement) {
            return;
        }
        // The registry vouches for an upstream without passing on each of its announcements, so
        // the same one comes again and again; taken for silence, it would end all work there.
        if order(announcement) == order(&self.announcement) {
            self.announcement.load = announcement.load;
            self.heard = self.heard.max(now);
            return;
        }
        let restarted = announcement.incarnation > self.announcement.incarnation;
        // Leaving is final for an incarnation; a reordered announcement must not revive it.
        if self.leaving() && !restarted {
            return;
        }
        if restarted {
            self.cache.clear();
            self.sent.clear();
            self.ended.clear();
            self.health = Health::default();
            self.latency = Latency::default();
        }
        self.announcement = announcement.clone();
        self.heard = now;
    }

    /// Returns whether it will take no new work in this incarnation.
    pub(crate) fn leaving(&self) -> bool {
        matches!(self.announcement.phase, Phase::Leaving { .. })
    }

    /// Returns how long ago it was heard.
    pub(crate) fn silent(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard)
    }

    /// Notes that a run of this instance ended.
    pub(crate) fn end(&mut self, now: Duration, request: Request) -> Option<Sent> {
        let sent = self.sent.remove(&request)?;
        self.ended.retain(|(_, end)| now.saturating_sub(*end) <= REMEMBER);
        if self.ended.len() < MOST_ENDED {
            self.ended.push_back((sent.at, now));
        }
        Some(sent)
    }

    /// Estimates how many run or wait there now, by all of so many instances.
    ///
    /// A load report is old when it comes. What this instance has sent and seen end since then is
    /// known; the others, who see the same report, are expected to have done likewise.
    pub(crate) fn load(&self, instances: u32) -> f64 {
        let load = self.announcement.load;
        let measured = self.heard.saturating_sub(Duration::from_millis(u64::from(load.age)));
        let reported = f64::from(load.running) + f64::from(load.waiting);
        let now = self.sent.len() as f64;
        let then = self.running_at(measured) as f64;
        let others_then = (reported - then).max(0.0);
        let change = (now - then) * f64::from(instances.saturating_sub(1)) * OTHERS;
        now + (others_then + change.max(-others_then)).max(0.0)
    }

    /// Estimates the prefill seconds of runs without a first token yet, of so many instances.
    pub(crate) fn prefilling(&self, now: Duration, instances: u32) -> f64 {
        let pending = self.sent.values().filter(|sent| sent.first.is_none());
        let total: f64 = pending.clone().map(|sent| sent.prefill).sum();
        // The oldest is being computed, so time since it was sent has reduced what is left.
        let oldest = pending.map(|sent| sent.at).min();
        let passed = oldest.map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        let others = 1.0 + f64::from(instances.saturating_sub(1)) * OTHERS;
        (total - passed).max(0.0) * others
    }

    /// Returns how many of this instance's runs were there at a time.
    fn running_at(&self, at: Duration) -> usize {
        let still = self.sent.values().filter(|sent| sent.at <= at).count();
        let ended = self.ended.iter().filter(|(from, to)| *from <= at && *to > at).count();
        still + ended
    }
}

/// The part of this instance's own change of load that each other instance is expected to have had.
const OTHERS: f64 = 0.5;
