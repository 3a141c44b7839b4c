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
use crate::record::{self, LeaseStatus, LoadSource, Record};
use crate::stream::Stream;
use crate::time::Age;

pub(crate) use vouching::{PullRequest, RenewalOutcome};

/// How long a lapsed upstream is remembered, so that nothing old revives it.
const RETENTION: Duration = Duration::from_secs(600);

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

struct PastDeparture {
    incarnation: u64,
    sequence: u64,
    recorded_at: Duration,
}

/// An announcement that is newer than the one held.
struct ReceivedAnnouncement {
    announcement: Announcement,
    /// When the upstream made it.
    announced_at: Duration,
    /// When its notice, if it has one, began to run.
    notice_start: Duration,
}

struct LatestRenewal {
    renewed_at: Duration,
    content_hash: ContentHash,
}

/// Holds the upstreams and what each instance vouches for.
pub(crate) struct Registry {
    own: Handle,
    lease: Duration,
    records: BTreeMap<Key, Record>,
    departures: BTreeMap<Key, PastDeparture>,
    streams: BTreeMap<Handle, Stream>,
    renewals: BTreeMap<Key, LatestRenewal>,
    unconfirmed: BTreeSet<Key>,
    doubtful_zones: BTreeSet<AvailabilityZone>,
    doubt_until: Duration,
    requested_streams: BTreeSet<Handle>,
    requested_announcements: BTreeSet<Key>,
    events: Vec<Event>,
}

impl Registry {
    /// Starts empty.
    pub(crate) fn new(own: Handle, lease: Duration) -> Self {
        Self {
            own,
            lease,
            records: BTreeMap::new(),
            departures: BTreeMap::new(),
            streams: BTreeMap::new(),
            renewals: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            doubtful_zones: BTreeSet::new(),
            doubt_until: Duration::ZERO,
            requested_streams: BTreeSet::new(),
            requested_announcements: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    /// Takes the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<Event> {
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
            record.announcement.phase == Phase::Ready && self.is_confirmed(record, now)
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
        self.doubtful_zones.iter()
    }

    /// Tells whether an upstream was surely renewed within the lease.
    pub(crate) fn is_confirmed(&self, record: &Record, now: Duration) -> bool {
        self.renewed_at(record) + self.lease > now
    }

    /// Returns since when an upstream is surely renewed, by own evidence and by vouchers' marks.
    pub(crate) fn renewed_at(&self, record: &Record) -> Duration {
        let covers =
            |voucher| self.streams.get(voucher)?.renewed_since(record.key, record.content_hash);
        record.vouchers.iter().filter_map(covers).fold(record.renewed_at, Duration::max)
    }

    /// Takes what an upstream says of itself.
    pub(crate) fn handle_announcement(
        &mut self,
        now: Duration,
        lag: Duration,
        announcement: &Announcement,
        queue: &mut Queue,
    ) -> AnnouncementResult {
        if !record::is_valid(announcement) {
            return AnnouncementResult::Rejected(Rejection::InvalidSize);
        }
        let key = Key::of(&announcement.upstream);
        match self.records.get(&key) {
            Some(existing) if existing.announcement.upstream != announcement.upstream => {
                return AnnouncementResult::Rejected(Rejection::KeyCollision);
            }
            Some(existing) if version(announcement) < version(&existing.announcement) => {
                let Announcement { incarnation, sequence, .. } = existing.announcement;
                return AnnouncementResult::Stale { incarnation, sequence };
            }
            _ => {}
        }
        if !self.records.contains_key(&key) && !self.make_room() {
            return AnnouncementResult::Rejected(Rejection::RegistryFull);
        }
        if let Some(departure) =
            self.departures.get(&key).filter(|it| it.incarnation > announcement.incarnation)
        {
            return AnnouncementResult::Stale {
                incarnation: departure.incarnation,
                sequence: departure.sequence,
            };
        }
        let same = self
            .records
            .get(&key)
            .is_some_and(|it| version(&it.announcement) == version(announcement));
        if !same {
            let announced_at = now.saturating_sub(lag);
            self.queue_load(now, key, announcement, queue);
            let received = ReceivedAnnouncement {
                announcement: announcement.clone(),
                announced_at,
                notice_start: announced_at,
            };
            self.store(now, key, received, queue);
        }
        AnnouncementResult::Accepted { lease: self.lease }
    }

    /// Returns the renewal that the last announcement of an upstream amounts to.
    pub(crate) fn renewal(&self, key: Key) -> Option<PendingRenewal> {
        let record = self.records.get(&key)?;
        let sequence = record.announcement.sequence;
        Some(PendingRenewal {
            content_hash: record.content_hash,
            sequence,
            renewed_at: record.renewed_at,
        })
    }

    /// Makes room for one more upstream by forgetting the one that lapsed first.
    fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_RECORDS {
            return true;
        }
        let lapsed = self.records.values().filter(|it| it.lease_status == LeaseStatus::Lapsed);
        let Some(key) = lapsed.min_by_key(|it| it.renewed_at).map(|it| it.key) else {
            return false;
        };
        self.remove(key);
        true
    }

    fn remove(&mut self, key: Key) {
        self.records.remove(&key);
        self.unconfirmed.remove(&key);
    }

    /// Holds an announcement that is newer than the one held.
    fn store(
        &mut self,
        now: Duration,
        key: Key,
        received: ReceivedAnnouncement,
        queue: &mut Queue,
    ) {
        let ReceivedAnnouncement { mut announcement, announced_at, notice_start } = received;
        let load_age_ms = Duration::from_millis(u64::from(announcement.load.age));
        let measured_at = announced_at.saturating_sub(load_age_ms);
        self.keep_departure(key, &mut announcement);
        let content_hash = ContentHash::of(&announcement);
        let known = self.records.remove(&key);
        let changed = known.as_ref().is_none_or(|record| record.content_hash != content_hash);
        let new = known.is_none();
        let mut record = known.unwrap_or_else(|| self.new_record(key, &announcement));
        if record.announcement.incarnation != announcement.incarnation {
            record.departure_published = false;
            record.deadline = None;
            record.load_source = LoadSource::default();
        }
        if announcement.sequence < record.load_source.sequence {
            announcement.load = record.announcement.load;
        } else {
            let LoadSource { published_at, .. } = record.load_source;
            record.load_source =
                LoadSource { sequence: announcement.sequence, measured_at, published_at };
        }
        record.changed_at = now;
        record.renewed_at = self.renewed_at(&record).max(announced_at);
        record.announcement = announcement;
        record.content_hash = content_hash;
        if record.is_leaving() {
            self.publish_departure(now, &mut record, notice_start, queue);
        }
        if new || (changed && !record.is_leaving()) {
            queue.push(Subject::Announcement(key));
        }
        self.records.insert(key, record);
        self.update_lease(now, key, changed);
    }

    /// Takes an announcement that another instance passes on.
    pub(crate) fn handle_forwarded(
        &mut self,
        now: Duration,
        lag: Duration,
        forwarded: ForwardedAnnouncement,
        queue: &mut Queue,
    ) {
        let ForwardedAnnouncement { mut announcement, age, load_age_ms } = forwarded;
        if !record::is_valid(&announcement) {
            return;
        }
        let key = Key::of(&announcement.upstream);
        let is_outdated = |existing: &Record| {
            existing.announcement.upstream != announcement.upstream
                || version(&existing.announcement) >= version(&announcement)
        };
        let old = self.records.get(&key).is_some_and(is_outdated);
        let departure =
            self.departures.get(&key).is_some_and(|it| it.incarnation > announcement.incarnation);
        if old || departure || (!self.records.contains_key(&key) && !self.make_room()) {
            return;
        }
        let announced_at = age.to_time(now, lag).unwrap_or_default();
        let load_time = now.saturating_sub(lag + Duration::from_millis(u64::from(load_age_ms)));
        let age = announced_at.saturating_sub(load_time).as_millis();
        announcement.load.age = u32::try_from(age).unwrap_or(u32::MAX);
        self.store(
            now,
            key,
            ReceivedAnnouncement { announcement, announced_at, notice_start: now },
            queue,
        );
    }

    /// Returns an announcement as it is told now.
    pub(crate) fn forwarded_announcement(
        &self,
        key: Key,
        now: Duration,
    ) -> Option<ForwardedAnnouncement> {
        let record = self.records.get(&key)?;
        let mut announcement = record.announcement.clone();
        if let Phase::Leaving { notice } = &mut announcement.phase {
            *notice =
                record.deadline.map(|deadline| deadline.saturating_sub(now).as_millis() as u32);
        }
        let load_age_ms = now.saturating_sub(record.load_source.measured_at).as_millis();
        let load_age_ms = u32::try_from(load_age_ms).unwrap_or(u32::MAX);
        Some(ForwardedAnnouncement {
            announcement,
            age: Age::since(now, self.renewed_at(record)),
            load_age_ms,
        })
    }

    /// Starts a record that nothing has confirmed.
    fn new_record(&self, key: Key, announcement: &Announcement) -> Record {
        let vouches = |(_, stream): &(&Handle, &Stream)| stream.content_hash(key).is_some();
        let vouchers = self.streams.iter().filter(vouches).map(|(handle, _)| *handle).collect();
        Record {
            announcement: announcement.clone(),
            key,
            content_hash: ContentHash([0; 3]),
            renewed_at: Duration::ZERO,
            vouchers,
            lease_status: LeaseStatus::Lapsed,
            expires_at: Duration::ZERO,
            changed_at: Duration::ZERO,
            departure_published: false,
            deadline: None,
            load_source: LoadSource::default(),
        }
    }
}

/// Holds a renewal that waits to be passed on.
#[derive(Clone, Copy)]
pub(crate) struct PendingRenewal {
    /// The content that was announced.
    pub(crate) content_hash: ContentHash,
    /// The sequence of the announcement.
    pub(crate) sequence: u64,
    /// When it was made.
    pub(crate) renewed_at: Duration,
}

fn version(announcement: &Announcement) -> (u64, u64) {
    (announcement.incarnation, announcement.sequence)
}
