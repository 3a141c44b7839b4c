//! The upstreams that have announced themselves, as the leader holds them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Upstream};

/// How long an upstream that is gone is remembered, so that a late announcement of it is known for
/// what it is; announcements come seconds late at most.
const MEMORY: Duration = Duration::from_secs(60);

/// How many announcements an upstream may miss before it counts as silent.
const MISSED: u32 = 4;

/// Up to this sequence number an unknown upstream is taken for one that has just started; above it,
/// at an address that is in use, for one whose announcement was held up for long.
const YOUNG: u64 = 4;

/// Holds what an upstream announces of itself.
#[data]
pub struct Announcement {
    /// This run of the upstream; each start has another name.
    pub upstream: Upstream,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// The version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to go.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Whether it may be reclaimed.
    pub reclaimable: bool,
    /// How long it still serves, when it knows.
    pub leaves: Option<Duration>,
    /// Rises with each announcement of this run.
    pub sequence: u64,
}

/// Says whether an upstream may get work.
#[data(copy, ord, hash)]
pub enum Standing {
    /// It announces itself.
    Ready,
    /// It has been silent for longer than it should.
    Silent,
    /// It is about to go and takes no new work.
    Leaving,
    /// It has gone.
    Gone,
}

/// Holds one upstream as all instances see it.
#[data]
pub struct Record {
    /// What it last announced.
    pub announcement: Announcement,
    /// Whether it may get work.
    pub standing: Standing,
}

/// Holds the upstreams.
#[derive(Debug)]
pub struct Registry {
    beat: Duration,
    records: BTreeMap<Upstream, Held>,
    stamp: u64,
    purged: u64,
}

#[derive(Debug)]
struct Held {
    record: Record,
    stamp: u64,
    heard: Duration,
}

/// Says what an announcement has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others must know at once.
    Nothing,
    /// Something that others should know.
    News,
    /// The upstream leaves: acknowledged only when those that route know it.
    Leaving,
}

impl Registry {
    /// Starts empty; upstreams announce themselves once per `beat`.
    pub fn open(beat: Duration) -> Self {
        Self { beat, records: BTreeMap::new(), stamp: 0, purged: 0 }
    }

    /// Starts from what an earlier leader had told.
    pub fn adopt(&mut self, now: Duration, records: impl Iterator<Item = Record>) {
        self.records.clear();
        self.stamp += 1;
        self.purged = self.stamp;
        for record in records {
            let held = Held { stamp: self.stamp, heard: now, record };
            self.records.insert(held.record.announcement.upstream.clone(), held);
        }
    }

    /// Returns the number of the last change.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Goes through the upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|held| &held.record)
    }

    /// Goes through the upstreams of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        self.records().filter(move |record| &*record.announcement.service == service)
    }

    /// Tells whether what changed after a stamp is still known.
    pub fn reaches(&self, stamp: u64) -> bool {
        stamp >= self.purged
    }

    /// Returns what changed after a stamp; none when it is so old that everything must be told.
    pub fn since(&self, stamp: u64) -> Option<Vec<Record>> {
        if !self.reaches(stamp) {
            return None;
        }
        let newer = self.records.values().filter(|held| held.stamp > stamp);
        Some(newer.map(|held| held.record.clone()).collect())
    }

    /// Takes an announcement.
    pub fn announce(&mut self, now: Duration, announcement: Announcement) -> Change {
        let Some(held) = self.records.get_mut(&announcement.upstream) else {
            return self.welcome(now, announcement);
        };
        let late = announcement.sequence <= held.record.announcement.sequence;
        if held.record.standing == Standing::Gone || late {
            return Change::Nothing;
        }
        held.heard = now;
        let standing = standing(&announcement, held.record.standing);
        let left = standing == Standing::Leaving && held.record.standing != Standing::Leaving;
        let differs = differs(&held.record.announcement, &announcement);
        let changed = differs || standing != held.record.standing;
        held.record.announcement = announcement;
        held.record.standing = standing;
        if changed {
            self.stamp += 1;
            held.stamp = self.stamp;
        }
        match (left, changed) {
            (true, _) => Change::Leaving,
            (false, true) => Change::News,
            (false, false) => Change::Nothing,
        }
    }

    /// Takes the word of an upstream that it goes.
    pub fn withdraw(&mut self, upstream: &Upstream) -> Change {
        let Some(held) = self.records.get_mut(upstream) else { return Change::Nothing };
        if held.record.standing == Standing::Gone {
            return Change::Nothing;
        }
        held.record.standing = Standing::Gone;
        self.stamp += 1;
        held.stamp = self.stamp;
        Change::Leaving
    }

    /// Counts upstreams as silent that have missed announcements, and forgets those long gone.
    ///
    /// Returns whether anything changed that others should know.
    pub fn tick(&mut self, now: Duration) -> bool {
        let patience = self.beat * MISSED;
        let mut stamp = self.stamp;
        for held in self.records.values_mut() {
            let silent = now.saturating_sub(held.heard) > patience;
            if held.record.standing == Standing::Ready && silent {
                held.record.standing = Standing::Silent;
                stamp += 1;
                held.stamp = stamp;
            }
        }
        let changed = stamp != self.stamp;
        self.stamp = stamp;
        let forgotten = |held: &Held| {
            held.record.standing != Standing::Ready && now.saturating_sub(held.heard) > MEMORY
        };
        let gone = self.records.values().filter(|it| forgotten(it)).map(|it| it.stamp).max();
        if let Some(gone) = gone {
            self.purged = self.purged.max(gone);
            self.records.retain(|_, held| !forgotten(held));
        }
        changed
    }

    /// Takes an upstream that is not known.
    ///
    /// An address is used again by another run once its last one has ended, so a new run ends the
    /// record of the old one. But an announcement that was held up may come after its sender has
    /// ended and another run has registered at the address: taken for a new run, it would turn
    /// requests to an upstream that no longer exists. It shows by its high sequence number.
    fn welcome(&mut self, now: Duration, announcement: Announcement) -> Change {
        let address = announcement.address;
        let old = self.records.values_mut().find(|held| {
            held.record.announcement.address == address && held.record.standing != Standing::Gone
        });
        if let Some(old) = old {
            let fresh = now.saturating_sub(old.heard) <= self.beat * 2;
            if fresh && announcement.sequence > YOUNG {
                return Change::Nothing;
            }
            old.record.standing = Standing::Gone;
            self.stamp += 1;
            old.stamp = self.stamp;
        }
        self.stamp += 1;
        let standing = standing(&announcement, Standing::Ready);
        let record = Record { announcement, standing };
        let held = Held { stamp: self.stamp, heard: now, record };
        self.records.insert(held.record.announcement.upstream.clone(), held);
        if standing == Standing::Leaving { Change::Leaving } else { Change::News }
    }
}

/// Returns the standing after an announcement; leaving is final for a run.
fn standing(announcement: &Announcement, before: Standing) -> Standing {
    if announcement.draining || before == Standing::Leaving {
        Standing::Leaving
    } else {
        Standing::Ready
    }
}

/// Tells whether an announcement says something that others must know.
fn differs(old: &Announcement, new: &Announcement) -> bool {
    let key = |it: &Announcement| {
        (it.address, it.service.clone(), it.slots, it.draining, it.cold.is_zero(), it.reclaimable)
    };
    key(old) != key(new) || old.leaves.is_some() != new.leaves.is_some()
}
