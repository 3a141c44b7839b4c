//! Upstreams of a region, with leases that depend on the age of their renewals.

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

/// Time for which a lapsed upstream is remembered, so that stale data cannot revive it.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of upstreams; limits floods of invented names.
const MAX_RECORDS: usize = 8_192;

/// Result of an announcement.
#[data]
pub enum AnnouncementResult {
    /// The announcement is stored.
    Accepted {
        /// Time for which the upstream stays usable without another announcement.
        lease: Duration,
    },
    /// A newer announcement is stored already.
    Stale {
        /// Incarnation of the stored announcement.
        incarnation: u64,
        /// Sequence number of the stored announcement.
        sequence: u64,
    },
    /// The announcement cannot be stored.
    Rejected(Rejection),
}

/// Reason why an announcement cannot be stored.
#[data(copy, ord, hash)]
pub enum Rejection {
    /// A name is empty or too long, or there are too many models; shorten them.
    InvalidSize,
    /// The name of another upstream has the same key; rename one of the two.
    KeyCollision,
    /// Too many upstreams are known; look for names that change at each start.
    RegistryFull,
}

/// Change of an upstream.
#[data]
pub enum Event {
    /// The upstream is new, or confirmed again after its lease had lapsed.
    Appeared(Upstream),
    /// The content has changed: phase, address, models, price or incarnation.
    Changed(Upstream),
    /// The upstream takes no new work for the rest of its incarnation.
    ///
    /// The event is repeated when the notice is shortened.
    Leaving {
        /// Name of the upstream.
        upstream: Upstream,
        /// Time until the upstream is taken away; `None` when it leaves on its own.
        notice: Option<Duration>,
    },
    /// The upstream was not renewed within its lease.
    Lapsed(Upstream),
    /// Upstreams of an availability zone cannot be confirmed, but this instance may be cut off.
    ZoneDoubtful(AvailabilityZone),
    /// No upstream of the availability zone is doubtful any more.
    ZoneCleared(AvailabilityZone),
}

struct PastDeparture {
    incarnation: u64,
    sequence: u64,
    /// Time at which the departure was stored.
    recorded_at: Duration,
}

/// Announcement that is newer than the stored one.
struct ReceivedAnnouncement {
    announcement: Announcement,
    /// Time at which the upstream made the announcement.
    announced_at: Duration,
    /// Time at which its notice, if any, started to run.
    notice_start: Duration,
}

struct LatestRenewal {
    renewed_at: Duration,
    content_hash: ContentHash,
}

/// Upstreams of the region, and the streams of all vouching instances.
pub(crate) struct Registry {
    own: Handle,
    lease: Duration,
    records: BTreeMap<Key, Record>,
    /// Departures that arrived before any announcement of the upstream.
    departures: BTreeMap<Key, PastDeparture>,
    /// Streams by vouching instance, including this one.
    streams: BTreeMap<Handle, Stream>,
    /// Latest renewals of the upstreams for which this instance vouches.
    renewals: BTreeMap<Key, LatestRenewal>,
    /// Upstreams whose lease has run out.
    unconfirmed: BTreeSet<Key>,
    doubtful_zones: BTreeSet<AvailabilityZone>,
    /// Time until which expired leases count as doubtful.
    doubt_until: Duration,
    /// Streams requested in the current round.
    requested_streams: BTreeSet<Handle>,
    /// Announcements requested in the current round.
    requested_announcements: BTreeSet<Key>,
    events: Vec<Event>,
}

impl Registry {
    /// Creates an empty registry.
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

    /// Returns and clears the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Iterates over all known upstreams.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns what is known of an upstream.
    pub(crate) fn record(&self, key: Key) -> Option<&Record> {
        self.records.get(&key)
    }

    /// Iterates over the upstreams that may get new work.
    pub(crate) fn usable(&self, now: Duration) -> impl Iterator<Item = &Record> {
        self.records().filter(move |record| {
            record.announcement.phase == Phase::Ready && self.is_confirmed(record, now)
        })
    }

    /// Iterates over the upstreams that offer a model and may get new work.
    pub(crate) fn usable_for_model<'a>(
        &'a self,
        now: Duration,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a Record> {
        self.usable(now).filter(move |record| record.offers(model))
    }

    /// Iterates over the availability zones that have doubtful upstreams.
    pub(crate) fn doubtful_zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.doubtful_zones.iter()
    }

    /// Returns whether an upstream was renewed within the lease.
    pub(crate) fn is_confirmed(&self, record: &Record, now: Duration) -> bool {
        self.renewed_at(record) + self.lease > now
    }

    /// Returns the time of an upstream's last renewal, from direct evidence or its vouchers' marks.
    pub(crate) fn renewed_at(&self, record: &Record) -> Duration {
        let covers =
            |voucher| self.streams.get(voucher)?.renewed_since(record.key, record.content_hash);
        record.vouchers.iter().filter_map(covers).fold(record.renewed_at, Duration::max)
    }

    /// Handles the announcement of an upstream to this instance.
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

    /// Returns the renewal that corresponds to an upstream's latest announcement.
    pub(crate) fn renewal(&self, key: Key) -> Option<PendingRenewal> {
        let record = self.records.get(&key)?;
        let sequence = record.announcement.sequence;
        Some(PendingRenewal {
            content_hash: record.content_hash,
            sequence,
            renewed_at: record.renewed_at,
        })
    }

    /// Makes room for one more upstream by removing the one that lapsed first.
    ///
    /// Returns whether there is room.
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

    /// Stores an announcement that is newer than the stored one.
    fn store(
        &mut self,
        now: Duration,
        key: Key,
        received: ReceivedAnnouncement,
        queue: &mut Queue,
    ) {
        let ReceivedAnnouncement { mut announcement, announced_at, notice_start } = received;
        let load_age = Duration::from_millis(u64::from(announcement.load.age));
        let measured_at = announced_at.saturating_sub(load_age);
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

    /// Handles an announcement that another instance has forwarded.
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

    /// Returns the latest announcement of an upstream with its current age, to be forwarded.
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

    /// Creates a record without any confirmation.
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

/// Renewal that waits to be forwarded.
#[derive(Clone, Copy)]
pub(crate) struct PendingRenewal {
    /// Hash of the announced content.
    pub(crate) content_hash: ContentHash,
    /// Sequence number of the announcement.
    pub(crate) sequence: u64,
    /// Time at which the upstream was last renewed.
    pub(crate) renewed_at: Duration,
}

fn version(announcement: &Announcement) -> (u64, u64) {
    (announcement.incarnation, announcement.sequence)
}
