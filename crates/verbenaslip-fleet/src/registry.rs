//! The upstreams that have announced themselves, as the leader holds them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Upstream;

use crate::departure::{Departure, Departures};
use crate::history::History;
use crate::upstream::differs;
pub use crate::upstream::{Announcement, Record, Run, Status};
use crate::voucher::RenewalMark;

/// After this silence an upstream counts as lost. As long again its record is kept, as that of one that is
/// gone, so that instances that were away are told of its end and not of all upstreams anew.
const MEMORY: Duration = Duration::from_secs(60);

/// How many announcements an upstream may miss before it counts as silent.
const MISSED: u32 = 4;

/// Up to this sequence number an unknown upstream is taken for one that has just started; above it,
/// at an address that is in use, for one whose announcement was held up for long.
const YOUNG: u64 = 4;

/// Holds the upstreams.
#[derive(Debug)]
pub struct Registry {
    period: Duration,
    records: BTreeMap<Upstream, Entry>,
    /// The upstream that was last known at each address.
    addresses: BTreeMap<SocketAddr, Upstream>,
    departures: Departures,
    stamp: u64,
    purged: u64,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    stamp: u64,
    heard: Duration,
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
        Self { period, records, addresses, departures, stamp: 0, purged: 0 }
    }

    /// Starts from what an earlier leader had told, and from all departures that are remembered here.
    ///
    /// Without these, a late announcement would make an upstream ready again that has said to an earlier
    /// leader that it goes: entries would send requests there that it no longer takes.
    pub fn restore(
        &mut self,
        now: Duration,
        told: Propagation,
        records: impl Iterator<Item = (u64, Record)>,
        departures: Departures,
    ) {
        self.records.clear();
        self.addresses.clear();
        self.departures = departures;
        self.stamp = told.last_change + 1;
        self.purged = told.oldest_change;
        for (change, mut record) in records {
            let standing = record.status;
            let run = &record.announcement.run;
            record.status = self.departures.status(run).unwrap_or(standing);
            let changed = record.status != standing;
            let stamp = if changed { self.stamp } else { change.min(self.stamp) };
            self.hold(now, stamp, record);
        }
    }

    /// Returns by which change each upstream has changed, for the time after this leader.
    pub(crate) fn history(&self) -> History {
        let mut history = History::new(self.purged);
        for held in self.records.values() {
            match held.record.status {
                Status::Gone | Status::Lost => {
                    history.record_removal(held.stamp, held.record.clone());
                }
                Status::Ready | Status::Silent | Status::Leaving => {
                    history.record_change(&held.record.announcement.run.upstream, held.stamp);
                }
            }
        }
        history
    }

    /// Holds a record that has changed by the change with this number.
    fn hold(&mut self, now: Duration, stamp: u64, record: Record) {
        let Announcement { run, address, .. } = &record.announcement;
        let upstream = run.upstream.clone();
        self.addresses.insert(*address, upstream.clone());
        self.records.insert(upstream, Entry { stamp, heard: now, record });
    }

    /// Returns the time between two announcements of an upstream.
    pub fn announcement_period(&self) -> Duration {
        self.period
    }

    /// Returns the departures that are remembered.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the run that an upstream's name stands for now.
    pub fn current_run(&self, upstream: &Upstream) -> Option<&Run> {
        self.records.get(upstream).map(|held| &held.record.announcement.run)
    }

    /// Returns what is known of an upstream.
    pub fn record(&self, upstream: &Upstream) -> Option<&Record> {
        self.records.get(upstream).map(|held| &held.record)
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.stamp
    }

    /// Goes through the upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|held| &held.record)
    }

    /// Goes through the upstreams of a service.
    pub fn service_records<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        self.records().filter(move |record| &*record.announcement.service == service)
    }

    /// Tells whether what changed after a stamp is still known.
    pub fn has_changes_since(&self, stamp: u64) -> bool {
        stamp >= self.purged
    }

    /// Returns what changed after a stamp; none when it is so old that everything must be told.
    pub fn changes_since(&self, stamp: u64) -> Option<Vec<Record>> {
        if !self.has_changes_since(stamp) {
            return None;
        }
        let newer = self.records.values().filter(|held| held.stamp > stamp);
        Some(newer.map(|held| held.record.clone()).collect())
    }

    /// Takes an announcement; `served` tells whether the route table knows its service.
    pub fn announce(&mut self, now: Duration, announcement: Announcement, served: bool) -> Change {
        let run = &announcement.run;
        let departed = self.departures.status(run);
        if departed == Some(Status::Gone) {
            return Change::Unchanged;
        }
        let Some(held) = self.records.get(&run.upstream) else {
            return self.welcome(now, announcement, served);
        };
        let known = &held.record.announcement;
        if !served && known.service != announcement.service {
            return Change::UnknownService;
        }
        match known.run.incarnation.cmp(&run.incarnation) {
            Ordering::Less => self.welcome(now, announcement, served),
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
        let Some(held) = self.records.get_mut(&mark.run.upstream) else { return Change::Unchanged };
        let known = &mut held.record.announcement;
        let stays = matches!(held.record.status, Status::Ready | Status::Silent);
        if !stays || known.run != mark.run || known.sequence >= mark.sequence {
            return Change::Unchanged;
        }
        known.sequence = mark.sequence;
        held.heard = now;
        if held.record.status == Status::Ready {
            return Change::Unchanged;
        }
        held.record.status = Status::Ready;
        self.stamp += 1;
        held.stamp = self.stamp;
        Change::Updated
    }

    /// Counts a change of something else that is told with the upstreams; returns its number.
    pub fn record_external_change(&mut self) -> u64 {
        self.stamp += 1;
        self.stamp
    }

    /// Tells why an announcement was not taken; none for the one that is held now.
    pub fn stale_announcement(
        &self,
        now: Duration,
        run: &Run,
        sequence: u64,
    ) -> Option<StaleAnnouncement> {
        let held = self.records.get(&run.upstream).map(|held| &held.record.announcement);
        if held.is_some_and(|it| it.run == *run && it.sequence == sequence) {
            return None;
        }
        let known = held.map(|it| (it.run.incarnation, it.sequence));
        let departed = self.departures.status(run).zip(self.departures.age(now, run));
        Some(StaleAnnouncement { run: run.clone(), sequence, known, departed })
    }

    /// Takes a later announcement of a run that is known.
    fn renew(&mut self, now: Duration, announcement: Announcement) -> Change {
        let departed = self.departures.status(&announcement.run);
        let Some(held) = self.records.get_mut(&announcement.run.upstream) else {
            return Change::Unchanged;
        };
        held.heard = now;
        let before = held.record.status;
        let standing = standing(&announcement, departed.unwrap_or(before));
        let changed = differs(&held.record.announcement, &announcement) || standing != before;
        if held.record.announcement.address != announcement.address {
            self.addresses.insert(announcement.address, announcement.run.upstream.clone());
        }
        held.record.announcement = announcement;
        held.record.status = standing;
        if changed {
            self.stamp += 1;
            held.stamp = self.stamp;
        }
        if standing == Status::Leaving {
            self.departures.record(now, &held.record.announcement.run, standing);
        }
        match (standing == Status::Leaving && before != standing, changed) {
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
        let Departure { run, status: standing } = departure;
        if !self.departures.record(now, run, *standing) {
            return Change::Unchanged;
        }
        let Some(held) = self.records.get_mut(&run.upstream) else { return Change::Leaving };
        if held.record.announcement.run.incarnation <= run.incarnation {
            // This leader may have heard of an earlier run only. Response as that one's end, the word would
            // leave the run that goes in use at entries that know it from an earlier leader.
            held.record.announcement.run = run.clone();
            held.record.status = *standing;
            self.stamp += 1;
            held.stamp = self.stamp;
        }
        Change::Leaving
    }

    /// Takes the word of a run that it has gone.
    pub fn withdraw(&mut self, now: Duration, run: &Run) -> Change {
        self.depart(now, &Departure { run: run.clone(), status: Status::Gone })
    }

    /// Counts upstreams as silent that have missed announcements, later as lost, and forgets those long gone.
    pub fn tick(&mut self, now: Duration) -> Expirations {
        let mut lapse = Expirations::default();
        for held in self.records.values_mut() {
            let silence = now.saturating_sub(held.heard);
            let Some(standing) = after(held.record.status, silence, self.period * MISSED) else {
                continue;
            };
            held.record.status = standing;
            self.stamp += 1;
            held.stamp = self.stamp;
            lapse.changed = true;
            let run = &held.record.announcement.run;
            match standing {
                Status::Silent => lapse.silent.push(run.upstream.clone()),
                Status::Lost => lapse.lost.push(run.clone()),
                Status::Ready | Status::Leaving | Status::Gone => {}
            }
        }
        self.departures.remove_expired(now);
        self.forget(now);
        lapse
    }

    /// Forgets upstreams that are gone or lost once every instance has been told.
    fn forget(&mut self, now: Duration) {
        let forgotten = |held: &Entry| {
            matches!(held.record.status, Status::Gone | Status::Lost)
                && now.saturating_sub(held.heard) >= MEMORY * 2
        };
        let last =
            self.records.values().filter(|held| forgotten(held)).map(|held| held.stamp).max();
        if let Some(last) = last {
            self.purged = self.purged.max(last);
            self.records.retain(|_, held| !forgotten(held));
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
    fn welcome(&mut self, now: Duration, announcement: Announcement, served: bool) -> Change {
        let Announcement { run, address, sequence, .. } = &announcement;
        let at_address = |held: &&mut Entry| {
            let other = &held.record.announcement;
            other.address == *address
                && other.run.upstream != run.upstream
                && !matches!(held.record.status, Status::Gone | Status::Lost)
        };
        let other = self.addresses.get(address).and_then(|other| self.records.get_mut(other));
        if let Some(old) = other.filter(at_address) {
            let before = old.record.announcement.run.incarnation;
            let late = if before > 0 && run.incarnation > 0 {
                run.incarnation < before
            } else {
                now.saturating_sub(old.heard) <= self.period * 2 && *sequence > YOUNG
            };
            if !served {
                return Change::UnknownService;
            }
            if late {
                return Change::Unchanged;
            }
            old.record.status = Status::Gone;
            self.stamp += 1;
            old.stamp = self.stamp;
            self.departures.record(now, &old.record.announcement.run, Status::Gone);
        }
        self.stamp += 1;
        let departed = self.departures.status(run);
        let standing = standing(&announcement, departed.unwrap_or(Status::Ready));
        if standing == Status::Leaving {
            self.departures.record(now, run, standing);
        }
        self.hold(now, self.stamp, Record { announcement, status: standing });
        if standing == Status::Leaving { Change::Leaving } else { Change::Updated }
    }
}

/// Returns what a silence makes of an upstream, if anything; `patience` is for how long one that is ready
/// may be silent.
///
/// Entries hold what the leader told them last. An upstream that was only forgotten at the leader would stay in
/// use at all of them, as the last resort, for as long as they run.
fn after(standing: Status, silence: Duration, patience: Duration) -> Option<Status> {
    match standing {
        Status::Ready if silence > patience => Some(Status::Silent),
        Status::Silent if silence > MEMORY => Some(Status::Lost),
        Status::Leaving if silence > MEMORY => Some(Status::Gone),
        _ => None,
    }
}

/// Returns the standing after an announcement; leaving is final for a run.
fn standing(announcement: &Announcement, before: Status) -> Status {
    if announcement.draining || before == Status::Leaving { Status::Leaving } else { Status::Ready }
}
