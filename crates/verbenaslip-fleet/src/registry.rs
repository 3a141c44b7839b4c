//! The upstreams that have announced themselves, as the leader holds them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Upstream;

use crate::departure::{Departure, Departures};
use crate::history::History;
use crate::upstream::differs_for_others;
pub use crate::upstream::{Announcement, Record, Run, Status};
use crate::voucher::RenewalMark;

/// After this silence an upstream counts as lost. As long again its record is kept, as that of one that is
/// gone, so that instances that were away are told of its end and not of all upstreams anew.
const LOST_AFTER: Duration = Duration::from_secs(60);

/// How many announcements an upstream may miss before it counts as silent.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;

/// Up to this sequence number an unknown upstream is taken for one that has just started; above it,
/// at an address that is in use, for one whose announcement was held up for long.
const MAX_FIRST_SEQUENCE: u64 = 4;

/// Holds the upstreams.
#[derive(Debug)]
pub struct Registry {
    announcement_period: Duration,
    records: BTreeMap<Upstream, TrackedUpstream>,
    /// The upstream that was last known at each address.
    addresses: BTreeMap<SocketAddr, Upstream>,
    departures: Departures,
    last_change: u64,
    forgotten_change: u64,
}

#[derive(Debug)]
struct TrackedUpstream {
    record: Record,
    change: u64,
    last_heard: Duration,
}

/// Says up to where the leader before had told, as its successor knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Propagation {
    /// Its last change.
    pub last_change: u64,
    /// The change since which all others are known one by one.
    pub oldest_change: u64,
}

/// Says what has come of the silence of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expirations {
    /// Whether anything changed that others should know.
    pub changed: bool,
    /// Upstreams that have fallen silent.
    pub silent: Vec<Upstream>,
    /// Runs that are lost.
    pub lost: Vec<Run>,
}

/// Tells of an announcement that was passed over, since what is known is newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleAnnouncement {
    /// The run that it is of.
    pub run: Run,
    /// Its number.
    pub sequence: u64,
    /// The run that its upstream's name stands for, and the number of that one's last announcement.
    pub known: Option<(u64, u64)>,
    /// How its run goes or has gone, and how long ago that was last heard.
    pub departed: Option<(Status, Duration)>,
}

/// Says what an announcement has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others must know at once.
    Unchanged,
    /// Something that others should know.
    Updated,
    /// The upstream leaves: acknowledged only when those that route know it, and whoever may lead.
    Leaving,
    /// Nothing: it names a service that no route table knows, and would take the name or address of an
    /// upstream that serves.
    UnknownService,
}

impl Registry {
    /// Starts empty; upstreams announce themselves once per `period`.
    pub fn new(period: Duration) -> Self {
        let departures = Departures::default();
        let (records, addresses) = (BTreeMap::new(), BTreeMap::new());
        Self {
            announcement_period: period,
            records,
            addresses,
            departures,
            last_change: 0,
            forgotten_change: 0,
        }
    }

    /// Starts from what an earlier leader had told, and from all departures that are remembered here.
    ///
    /// Without these, a late announcement would make an upstream ready again that has said to an earlier
    /// leader that it goes: entries would send requests there that it no longer takes.
    pub fn restore(
        &mut self,
        now: Duration,
        propagated: Propagation,
        records: impl Iterator<Item = (u64, Record)>,
        departures: Departures,
    ) {
        self.records.clear();
        self.addresses.clear();
        self.departures = departures;
        self.last_change = propagated.last_change + 1;
        self.forgotten_change = propagated.oldest_change;
        for (known_change, mut record) in records {
            let status = record.status;
            let run = &record.announcement.run;
            record.status = self.departures.status(run).unwrap_or(status);
            let changed = record.status != status;
            let change =
                if changed { self.last_change } else { known_change.min(self.last_change) };
            self.insert_record(now, change, record);
        }
    }

    /// Returns by which change each upstream has changed, for the time after this leader.
    pub(crate) fn history(&self) -> History {
        let mut history = History::new(self.forgotten_change);
        for tracked in self.records.values() {
            match tracked.record.status {
                Status::Gone | Status::Lost => {
                    history.record_removal(tracked.change, tracked.record.clone());
                }
                Status::Ready | Status::Silent | Status::Leaving => {
                    history.told(&tracked.record.announcement.run.upstream, tracked.change);
                }
            }
        }
        history
    }

    /// Holds a record that has changed by the change with this number.
    fn insert_record(&mut self, now: Duration, change: u64, record: Record) {
        let Announcement { run, address, .. } = &record.announcement;
        let upstream = run.upstream.clone();
        self.addresses.insert(*address, upstream.clone());
        self.records.insert(upstream, TrackedUpstream { change, last_heard: now, record });
    }

    /// Returns the time between two announcements of an upstream.
    pub fn announcement_period(&self) -> Duration {
        self.announcement_period
    }

    /// Returns the departures that are remembered.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the run that an upstream's name stands for now.
    pub fn current_run(&self, upstream: &Upstream) -> Option<&Run> {
        self.records.get(upstream).map(|tracked| &tracked.record.announcement.run)
    }

    /// Returns what is known of an upstream.
    pub fn record(&self, upstream: &Upstream) -> Option<&Record> {
        self.records.get(upstream).map(|tracked| &tracked.record)
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Goes through the upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|tracked| &tracked.record)
    }

    /// Goes through the upstreams of a service.
    pub fn service_records<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        self.records().filter(move |record| &*record.announcement.service == service)
    }

    /// Tells whether what changed after a stamp is still known.
    pub fn has_changes_since(&self, change: u64) -> bool {
        change >= self.forgotten_change
    }

    /// Returns what changed after a stamp; none when it is so old that everything must be told.
    pub fn changes_since(&self, change: u64) -> Option<Vec<Record>> {
        if !self.has_changes_since(change) {
            return None;
        }
        let newer = self.records.values().filter(|tracked| tracked.change > change);
        Some(newer.map(|tracked| tracked.record.clone()).collect())
    }

    /// Takes an announcement; `served` tells whether the route table knows its service.
    pub fn announce(&mut self, now: Duration, announcement: Announcement, served: bool) -> Change {
        let run = &announcement.run;
        let departed = self.departures.status(run);
        if departed == Some(Status::Gone) {
            return Change::Unchanged;
        }
        let Some(tracked) = self.records.get(&run.upstream) else {
            return self.register(now, announcement, served);
        };
        let known = &tracked.record.announcement;
        if !served && known.service != announcement.service {
            return Change::UnknownService;
        }
        match known.run.incarnation.cmp(&run.incarnation) {
            Ordering::Less => self.register(now, announcement, served),
            Ordering::Equal if known.sequence < announcement.sequence => {
                self.renew(now, announcement)
            }
            Ordering::Equal if announcement.draining => {
                let run = announcement.run;
                self.depart(now, &Departure { run, status: Status::Leaving })
            }
            Ordering::Equal | Ordering::Greater => Change::Unchanged,
        }
    }

    /// Takes a core's word that a run has announced itself with nothing new; returns what that changes.
    ///
    /// The core may know less than this leader: that the run goes, or that another one has its name. So a mark
    /// renews what is held, and makes nothing ready but a run that was only silent.
    pub fn vouch(&mut self, now: Duration, mark: &RenewalMark) -> Change {
        let Some(tracked) = self.records.get_mut(&mark.run.upstream) else {
            return Change::Unchanged;
        };
        let known = &mut tracked.record.announcement;
        let stays = matches!(tracked.record.status, Status::Ready | Status::Silent);
        if !stays || known.run != mark.run || known.sequence >= mark.sequence {
            return Change::Unchanged;
        }
        known.sequence = mark.sequence;
        tracked.last_heard = now;
        if tracked.record.status == Status::Ready {
            return Change::Unchanged;
        }
        tracked.record.status = Status::Ready;
        self.last_change += 1;
        tracked.change = self.last_change;
        Change::Updated
    }

    /// Counts a change of something else that is told with the upstreams; returns its number.
    pub fn record_external_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    /// Tells why an announcement was not taken; none for the one that is held now.
    pub fn stale_announcement(
        &self,
        now: Duration,
        run: &Run,
        sequence: u64,
    ) -> Option<StaleAnnouncement> {
        let tracked = self.records.get(&run.upstream).map(|tracked| &tracked.record.announcement);
        if tracked.is_some_and(|it| it.run == *run && it.sequence == sequence) {
            return None;
        }
        let known = tracked.map(|it| (it.run.incarnation, it.sequence));
        let departed = self.departures.status(run).zip(self.departures.age(now, run));
        Some(StaleAnnouncement { run: run.clone(), sequence, known, departed })
    }

    /// Takes a later announcement of a run that is known.
    fn renew(&mut self, now: Duration, announcement: Announcement) -> Change {
        let departed = self.departures.status(&announcement.run);
        let Some(tracked) = self.records.get_mut(&announcement.run.upstream) else {
            return Change::Unchanged;
        };
        tracked.last_heard = now;
        let before = tracked.record.status;
        let status = status_after_announcement(&announcement, departed.unwrap_or(before));
        let changed =
            differs_for_others(&tracked.record.announcement, &announcement) || status != before;
        if tracked.record.announcement.address != announcement.address {
            self.addresses.insert(announcement.address, announcement.run.upstream.clone());
        }
        tracked.record.announcement = announcement;
        tracked.record.status = status;
        if changed {
            self.last_change += 1;
            tracked.change = self.last_change;
        }
        if status == Status::Leaving {
            self.departures.record(now, &tracked.record.announcement.run, status);
        }
        match (status == Status::Leaving && before != status, changed) {
            (true, _) => Change::Leaving,
            (false, true) => Change::Updated,
            (false, false) => Change::Unchanged,
        }
    }

    /// Takes the word of a run that it goes or has gone, whatever else is known of it.
    ///
    /// A run says it once and for all, so neither a later number nor a missing record speaks against it. Passed
    /// over here, it would be acknowledged by the log, which holds it, while entries go on sending requests.
    pub fn depart(&mut self, now: Duration, departure: &Departure) -> Change {
        let Departure { run, status } = departure;
        if !self.departures.record(now, run, *status) {
            return Change::Unchanged;
        }
        let Some(tracked) = self.records.get_mut(&run.upstream) else { return Change::Leaving };
        if tracked.record.announcement.run.incarnation <= run.incarnation {
            // This leader may have heard of an earlier run only. Response as that one's end, the word would
            // leave the run that goes in use at entries that know it from an earlier leader.
            tracked.record.announcement.run = run.clone();
            tracked.record.status = *status;
            self.last_change += 1;
            tracked.change = self.last_change;
        }
        Change::Leaving
    }

    /// Takes the word of a run that it has gone.
    pub fn withdraw(&mut self, now: Duration, run: &Run) -> Change {
        self.depart(now, &Departure { run: run.clone(), status: Status::Gone })
    }

    /// Counts upstreams as silent that have missed announcements, later as lost, and forgets those long gone.
    pub fn tick(&mut self, now: Duration) -> Expirations {
        let mut expirations = Expirations::default();
        for tracked in self.records.values_mut() {
            let silence = now.saturating_sub(tracked.last_heard);
            let Some(status) = status_after_silence(
                tracked.record.status,
                silence,
                self.announcement_period * MAX_MISSED_ANNOUNCEMENTS,
            ) else {
                continue;
            };
            tracked.record.status = status;
            self.last_change += 1;
            tracked.change = self.last_change;
            expirations.changed = true;
            let run = &tracked.record.announcement.run;
            match status {
                Status::Silent => expirations.silent.push(run.upstream.clone()),
                Status::Lost => expirations.lost.push(run.clone()),
                Status::Ready | Status::Leaving | Status::Gone => {}
            }
        }
        self.departures.remove_expired(now);
        self.remove_expired(now);
        expirations
    }

    /// Forgets upstreams that are gone or lost once every instance has been told.
    fn remove_expired(&mut self, now: Duration) {
        let is_expired = |tracked: &TrackedUpstream| {
            matches!(tracked.record.status, Status::Gone | Status::Lost)
                && now.saturating_sub(tracked.last_heard) >= LOST_AFTER * 2
        };
        let last_removed = self
            .records
            .values()
            .filter(|tracked| is_expired(tracked))
            .map(|tracked| tracked.change)
            .max();
        if let Some(last_removed) = last_removed {
            self.forgotten_change = self.forgotten_change.max(last_removed);
            self.records.retain(|_, tracked| !is_expired(tracked));
            self.addresses.retain(|_, upstream| self.records.contains_key(upstream));
        }
    }

    /// Takes a run that is not known.
    ///
    /// It ends the record of an earlier run under its name, and that of whoever had its address: an
    /// address is used again once its last user has ended. But an announcement that was held up may come
    /// after its sender has ended and another run has registered at the address: taken for a new run, it
    /// would turn requests to an upstream that no longer exists. It shows by an earlier start or, where
    /// upstreams don't say when they started, by a high sequence number.
    fn register(&mut self, now: Duration, announcement: Announcement, served: bool) -> Change {
        let Announcement { run, address, sequence, .. } = &announcement;
        let is_active_at_address = |tracked: &&mut TrackedUpstream| {
            let other = &tracked.record.announcement;
            other.address == *address
                && other.run.upstream != run.upstream
                && !matches!(tracked.record.status, Status::Gone | Status::Lost)
        };
        let other = self.addresses.get(address).and_then(|other| self.records.get_mut(other));
        if let Some(replaced) = other.filter(is_active_at_address) {
            let before = replaced.record.announcement.run.incarnation;
            let is_stale = if before > 0 && run.incarnation > 0 {
                run.incarnation < before
            } else {
                now.saturating_sub(replaced.last_heard) <= self.announcement_period * 2
                    && *sequence > MAX_FIRST_SEQUENCE
            };
            if !served {
                return Change::UnknownService;
            }
            if is_stale {
                return Change::Unchanged;
            }
            replaced.record.status = Status::Gone;
            self.last_change += 1;
            replaced.change = self.last_change;
            self.departures.record(now, &replaced.record.announcement.run, Status::Gone);
        }
        self.last_change += 1;
        let departed = self.departures.status(run);
        let status = status_after_announcement(&announcement, departed.unwrap_or(Status::Ready));
        if status == Status::Leaving {
            self.departures.record(now, run, status);
        }
        self.insert_record(now, self.last_change, Record { announcement, status });
        if status == Status::Leaving { Change::Leaving } else { Change::Updated }
    }
}

/// Returns what a silence makes of an upstream, if anything; `patience` is for how long one that is ready
/// may be silent.
///
/// Entries hold what the leader told them last. An upstream that was only forgotten at the leader would stay in
/// use at all of them, as the last resort, for as long as they run.
fn status_after_silence(
    status: Status,
    silence: Duration,
    max_silence: Duration,
) -> Option<Status> {
    match status {
        Status::Ready if silence > max_silence => Some(Status::Silent),
        Status::Silent if silence > LOST_AFTER => Some(Status::Lost),
        Status::Leaving if silence > LOST_AFTER => Some(Status::Gone),
        _ => None,
    }
}

/// Returns the standing after an announcement; leaving is final for a run.
fn status_after_announcement(announcement: &Announcement, before: Status) -> Status {
    if announcement.draining || before == Status::Leaving { Status::Leaving } else { Status::Ready }
}
