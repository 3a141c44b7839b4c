//! The upstreams of a region, with leases by age.

mod departure;
mod lease;
mod load;
mod vouching;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use crate::frame::{ContentHash, ForwardedAnnouncement, Key};
use crate::member::Handle;
use crate::queue::{Queue, Subject};
use crate::record::{self, Gauged, LeaseStatus, Record};
use crate::stream::Stream;
use crate::time::Age;

pub(crate) use vouching::{Question, Renew};

/// How long a lapsed upstream is remembered, so that nothing old revives it.
const MEMORY: Duration = Duration::from_secs(600);

/// The most upstreams kept; a flood of invented ones ends here.
const MAX_RECORDS: usize = 8_192;

/// Answers an announcement.
#[data]
pub enum AnnouncementResult {
    /// It is held from now.
    Accepted {
        /// How long the upstream stays usable without the next announcement.
        lease: Duration,
    },
    /// A newer one is held.
    Stale {
        /// The incarnation that is held.
        incarnation: u64,
        /// The sequence that is held.
        sequence: u64,
    },
    /// It can't be taken.
    Rejected(Rejection),
}

/// Says why an announcement can't be taken.
#[data(copy, ord, hash)]
pub enum Rejection {
    /// A name is empty or too long, or there are too many models: shorten them.
    InvalidSize,
    /// Another upstream's name has the same key: rename one of the two.
    KeyCollision,
    /// Too many upstreams are known: look for names that change at each start.
    RegistryFull,
}

/// Tells the rest of the instance that an upstream has changed.
#[data]
pub enum Event {
    /// It is new, or confirmed again after it had lapsed.
    Appeared(Upstream),
    /// Its content has changed: phase, address, models, price or incarnation.
    Changed(Upstream),
    /// It takes no new work ever again in this incarnation; told again when the notice shortens.
    Leaving {
        /// The upstream.
        upstream: Upstream,
        /// How long until it is taken away; none when it leaves on its own.
        notice: Option<Duration>,
    },
    /// It was not renewed within its lease.
    Lapsed(Upstream),
    /// Upstreams of an availability zone can't be confirmed because this instance may be cut off.
    ZoneDoubtful(AvailabilityZone),
    /// No upstream of the availability zone is in doubt any more.
    ZoneCleared(AvailabilityZone),
}

struct Gone {
    incarnation: u64,
    sequence: u64,
    since: Duration,
}

/// An announcement that is newer than the one held.
struct Arrival {
    announcement: Announcement,
    /// When the upstream made it.
    at: Duration,
    /// When its notice, if it has one, began to run.
    said: Duration,
}

struct Renewed {
    at: Duration,
    check: ContentHash,
}

/// Holds the upstreams and what each instance vouches for.
pub(crate) struct Registry {
    own: Handle,
    lease: Duration,
    records: BTreeMap<Key, Record>,
    gone: BTreeMap<Key, Gone>,
    streams: BTreeMap<Handle, Stream>,
    renewed: BTreeMap<Key, Renewed>,
    loose: BTreeSet<Key>,
    doubted: BTreeSet<AvailabilityZone>,
    trusted: Duration,
    asked_streams: BTreeSet<Handle>,
    asked_sheets: BTreeSet<Key>,
    events: Vec<Event>,
}

impl Registry {
    /// Starts empty.
    pub(crate) fn open(own: Handle, lease: Duration) -> Self {
        Self {
            own,
            lease,
            records: BTreeMap::new(),
            gone: BTreeMap::new(),
            streams: BTreeMap::new(),
            renewed: BTreeMap::new(),
            loose: BTreeSet::new(),
            doubted: BTreeSet::new(),
            trusted: Duration::ZERO,
            asked_streams: BTreeSet::new(),
            asked_sheets: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    /// Takes the events since the last call.
    pub(crate) fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Goes through all upstreams that are remembered.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Finds an upstream.
    pub(crate) fn record(&self, key: Key) -> Option<&Record> {
        self.records.get(&key)
    }

    /// Goes through the upstreams that may get new work.
    pub(crate) fn usable(&self, now: Duration) -> impl Iterator<Item = &Record> {
        self.records().filter(move |record| {
            record.announcement.phase == Phase::Ready && self.confirmed(record, now)
        })
    }

    /// Goes through the upstreams that offer a model and may get new work.
    pub(crate) fn usable_for_model<'a>(
        &'a self,
        now: Duration,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a Record> {
        self.usable(now).filter(move |record| record.offers(model))
    }

    /// Goes through the availability zones in doubt.
    pub(crate) fn doubtful_zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.doubted.iter()
    }

    /// Tells whether an upstream was surely renewed within the lease.
    pub(crate) fn confirmed(&self, record: &Record, now: Duration) -> bool {
        self.fresh(record) + self.lease > now
    }

    /// Returns since when an upstream is surely renewed, by own evidence and by vouchers' marks.
    pub(crate) fn fresh(&self, record: &Record) -> Duration {
        let covers = |voucher| self.streams.get(voucher)?.covers(record.key, record.check);
        record.vouchers.iter().filter_map(covers).fold(record.fresh, Duration::max)
    }

    /// Takes what an upstream says of itself.
    pub(crate) fn announce(
        &mut self,
        now: Duration,
        lag: Duration,
        announcement: &Announcement,
        queue: &mut Queue,
    ) -> AnnouncementResult {
        if !record::valid(announcement) {
            return AnnouncementResult::Rejected(Rejection::InvalidSize);
        }
        let key = Key::of(&announcement.upstream);
        match self.records.get(&key) {
            Some(held) if held.announcement.upstream != announcement.upstream => {
                return AnnouncementResult::Rejected(Rejection::KeyCollision);
            }
            Some(held) if order(announcement) < order(&held.announcement) => {
                let Announcement { incarnation, sequence, .. } = held.announcement;
                return AnnouncementResult::Stale { incarnation, sequence };
            }
            _ => {}
        }
        if !self.records.contains_key(&key) && !self.make_room() {
            return AnnouncementResult::Rejected(Rejection::RegistryFull);
        }
        if let Some(gone) =
            self.gone.get(&key).filter(|it| it.incarnation > announcement.incarnation)
        {
            return AnnouncementResult::Stale {
                incarnation: gone.incarnation,
                sequence: gone.sequence,
            };
        }
        let same =
            self.records.get(&key).is_some_and(|it| order(&it.announcement) == order(announcement));
        if !same {
            let at = now.saturating_sub(lag);
            self.gauge(now, key, announcement, queue);
            let arrival = Arrival { announcement: announcement.clone(), at, said: at };
            self.hold(now, key, arrival, queue);
        }
        AnnouncementResult::Accepted { lease: self.lease }
    }

    /// Returns the renewal that the last announcement of an upstream amounts to.
    pub(crate) fn renewal(&self, key: Key) -> Option<Pending> {
        let record = self.records.get(&key)?;
        let sequence = record.announcement.sequence;
        Some(Pending { check: record.check, sequence, at: record.fresh })
    }

    /// Makes room for one more upstream by forgetting the one that lapsed first.
    fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_RECORDS {
            return true;
        }
        let lapsed = self.records.values().filter(|it| it.lease_status == LeaseStatus::Lapsed);
        let Some(key) = lapsed.min_by_key(|it| it.fresh).map(|it| it.key) else { return false };
        self.remove(key);
        true
    }

    fn remove(&mut self, key: Key) {
        self.records.remove(&key);
        self.loose.remove(&key);
    }

    /// Holds an announcement that is newer than the one held.
    fn hold(&mut self, now: Duration, key: Key, arrival: Arrival, queue: &mut Queue) {
        let Arrival { mut announcement, at, said } = arrival;
        let load_age = Duration::from_millis(u64::from(announcement.load.age));
        let load_at = at.saturating_sub(load_age);
        self.keep_leaving(key, &mut announcement);
        let check = ContentHash::of(&announcement);
        let known = self.records.remove(&key);
        let changed = known.as_ref().is_none_or(|record| record.check != check);
        let new = known.is_none();
        let mut record = known.unwrap_or_else(|| self.blank(key, &announcement));
        if record.announcement.incarnation != announcement.incarnation {
            record.told = false;
            record.deadline = None;
            record.gauge = Gauged::default();
        }
        if announcement.sequence < record.gauge.sequence {
            announcement.load = record.announcement.load;
        } else {
            let Gauged { told, .. } = record.gauge;
            record.gauge = Gauged { sequence: announcement.sequence, at: load_at, told };
        }
        record.touched = now;
        record.fresh = self.fresh(&record).max(at);
        record.announcement = announcement;
        record.check = check;
        if record.is_leaving() {
            self.leave(now, &mut record, said, queue);
        }
        if new || (changed && !record.is_leaving()) {
            queue.push(Subject::Sheet(key));
        }
        self.records.insert(key, record);
        self.review(now, key, changed);
    }

    /// Takes an announcement that another instance passes on.
    pub(crate) fn sheet(
        &mut self,
        now: Duration,
        lag: Duration,
        sheet: ForwardedAnnouncement,
        queue: &mut Queue,
    ) {
        let ForwardedAnnouncement { mut announcement, age, load_age_ms: load_age } = sheet;
        if !record::valid(&announcement) {
            return;
        }
        let key = Key::of(&announcement.upstream);
        let older = |held: &Record| {
            held.announcement.upstream != announcement.upstream
                || order(&held.announcement) >= order(&announcement)
        };
        let old = self.records.get(&key).is_some_and(older);
        let gone = self.gone.get(&key).is_some_and(|it| it.incarnation > announcement.incarnation);
        if old || gone || (!self.records.contains_key(&key) && !self.make_room()) {
            return;
        }
        let at = age.then(now, lag).unwrap_or_default();
        let measured = now.saturating_sub(lag + Duration::from_millis(u64::from(load_age)));
        let age = at.saturating_sub(measured).as_millis();
        announcement.load.age = u32::try_from(age).unwrap_or(u32::MAX);
        self.hold(now, key, Arrival { announcement, at, said: now }, queue);
    }

    /// Returns an announcement as it is told now.
    pub(crate) fn said(&self, key: Key, now: Duration) -> Option<ForwardedAnnouncement> {
        let record = self.records.get(&key)?;
        let mut announcement = record.announcement.clone();
        if let Phase::Leaving { notice } = &mut announcement.phase {
            *notice = record.deadline.map(|at| at.saturating_sub(now).as_millis() as u32);
        }
        let load_age = now.saturating_sub(record.gauge.at).as_millis();
        let load_age = u32::try_from(load_age).unwrap_or(u32::MAX);
        Some(ForwardedAnnouncement {
            announcement,
            age: Age::of(now, self.fresh(record)),
            load_age_ms: load_age,
        })
    }

    /// Starts a record that nothing has confirmed.
    fn blank(&self, key: Key, announcement: &Announcement) -> Record {
        let vouches = |(_, stream): &(&Handle, &Stream)| stream.check(key).is_some();
        let vouchers = self.streams.iter().filter(vouches).map(|(handle, _)| *handle).collect();
        Record {
            announcement: announcement.clone(),
            key,
            check: ContentHash([0; 3]),
            fresh: Duration::ZERO,
            vouchers,
            lease_status: LeaseStatus::Lapsed,
            due: Duration::ZERO,
            touched: Duration::ZERO,
            told: false,
            deadline: None,
            gauge: Gauged::default(),
        }
    }
}

/// Holds a renewal that waits to be passed on.
#[derive(Clone, Copy)]
pub(crate) struct Pending {
    /// The content that was announced.
    pub(crate) check: ContentHash,
    /// The sequence of the announcement.
    pub(crate) sequence: u64,
    /// When it was made.
    pub(crate) at: Duration,
}

fn order(announcement: &Announcement) -> (u64, u64) {
    (announcement.incarnation, announcement.sequence)
}
