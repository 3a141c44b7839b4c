//! The upstreams that have announced themselves, as the leader knows them.

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

/// Time of silence after which an upstream counts as lost. Records of lost and gone upstreams are
/// kept for as long again, so that instances that were unreachable receive the end of an upstream
/// as a change and need not receive all upstreams again.
const LOST_AFTER: Duration = Duration::from_secs(60);

/// Number of announcements that a ready upstream may miss before it counts as silent.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;

/// Highest sequence number at which an unknown upstream counts as just started. If its address is
/// in use and the number is higher, its announcement was delayed for long.
const MAX_FIRST_SEQUENCE: u64 = 4;

/// Tracks the upstreams and the number of the last change of each one.
#[derive(Debug)]
pub struct Registry {
    announcement_period: Duration,
    records: BTreeMap<Upstream, TrackedUpstream>,
    /// The last upstream known at each address.
    addresses: BTreeMap<SocketAddr, Upstream>,
    departures: Departures,
    last_change: u64,
    /// The last change that was forgotten; only later changes are known individually.
    forgotten_change: u64,
}

/// Holds the record of an upstream, the number of its last change, and when it was last heard.
#[derive(Debug)]
struct TrackedUpstream {
    record: Record,
    change: u64,
    last_heard: Duration,
}

/// Says which changes the previous leader had propagated, as far as its successor knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Propagation {
    /// The number of the previous leader's last change.
    pub last_change: u64,
    /// The number of the change after which all changes are known individually.
    pub oldest_change: u64,
}

/// Lists what followed from the silence of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expirations {
    /// Whether any status changed that other instances should know.
    pub changed: bool,
    /// The upstreams that became silent.
    pub silent: Vec<Upstream>,
    /// The runs that are lost.
    pub lost: Vec<Run>,
}

/// Describes an announcement that was ignored because newer information is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleAnnouncement {
    /// The run that sent the announcement.
    pub run: Run,
    /// The sequence number of the announcement.
    pub sequence: u64,
    /// The incarnation of the current run with the upstream's name, and the sequence number of that
    /// run's last announcement.
    pub known: Option<(u64, u64)>,
    /// The status of the run if it is leaving or gone, and the time since that was last heard.
    pub departed: Option<(Status, Duration)>,
}

/// Says what an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that other instances must know at once.
    Unchanged,
    /// Something that other instances should know.
    Updated,
    /// The upstream is leaving. This is acknowledged only once all instances that route requests,
    /// and any future leader, know it.
    Leaving,
    /// Nothing: the announcement names a service that is in no route table, and would take the name
    /// or address of an upstream that serves.
    UnknownService,
}

impl Registry {
    /// Creates an empty registry; upstreams announce themselves once per `period`.
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

    /// Starts from what an earlier leader had propagated, and from all departures that this
    /// instance remembers.
    ///
    /// Without the departures, a delayed announcement would make an upstream ready again that has
    /// told an earlier leader that it is leaving. Entries would then send requests that the
    /// upstream no longer accepts.
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

    /// Returns the number of the last change of each upstream, for use after this leader's term.
    pub(crate) fn history(&self) -> History {
        let mut history = History::new(self.forgotten_change);
        for tracked in self.records.values() {
            match tracked.record.status {
                Status::Gone | Status::Lost => {
                    history.record_removal(tracked.change, tracked.record.clone());
                }
                Status::Ready | Status::Silent | Status::Leaving => {
                    history
                        .record_change(&tracked.record.announcement.run.upstream, tracked.change);
                }
            }
        }
        history
    }

    /// Stores a record that was changed by the change with this number.
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

    /// Returns the run that currently has an upstream's name.
    pub fn current_run(&self, upstream: &Upstream) -> Option<&Run> {
        self.records.get(upstream).map(|tracked| &tracked.record.announcement.run)
    }

    /// Returns the record of an upstream.
    pub fn record(&self, upstream: &Upstream) -> Option<&Record> {
        self.records.get(upstream).map(|tracked| &tracked.record)
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Iterates over the records of all upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|tracked| &tracked.record)
    }

    /// Iterates over the records of a service's upstreams.
    pub fn service_records<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        self.records().filter(move |record| &*record.announcement.service == service)
    }

    /// Returns whether all changes after the given one are still known.
    pub fn has_changes_since(&self, change: u64) -> bool {
        change >= self.forgotten_change
    }

    /// Returns the records that changed after the given change; none if it is so old that all
    /// records must be sent.
    pub fn changes_since(&self, change: u64) -> Option<Vec<Record>> {
        if !self.has_changes_since(change) {
            return None;
        }
        let newer = self.records.values().filter(|tracked| tracked.change > change);
        Some(newer.map(|tracked| tracked.record.clone()).collect())
    }

    /// Handles an announcement; `served` says whether the route table contains its service.
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

    /// Renews a run that a core vouches for, since it announced itself unchanged; returns the
    /// effect.
    ///
    /// The core may know less than this leader, for example that the run is leaving or that another
    /// run has its name. A renewal mark therefore only renews the current run, and makes a run
    /// ready only if it was merely silent.
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

    /// Counts a change of other state that is propagated together with the upstreams; returns its
    /// number.
    pub fn record_external_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    /// Explains why an announcement was ignored; returns none for the announcement that is
    /// currently stored.
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

    /// Handles a newer announcement of the current run.
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

    /// Handles the departure of a run, whatever else is known of the run.
    ///
    /// A departure is final for a run, so neither a higher sequence number nor a missing record
    /// contradicts it. If the departure were ignored here, it would still be acknowledged, because
    /// the log holds it, while entries continue to send requests.
    pub fn depart(&mut self, now: Duration, departure: &Departure) -> Change {
        let Departure { run, status } = departure;
        if !self.departures.record(now, run, *status) {
            return Change::Unchanged;
        }
        let Some(tracked) = self.records.get_mut(&run.upstream) else { return Change::Leaving };
        if tracked.record.announcement.run.incarnation <= run.incarnation {
            // This leader may only know an earlier run of the upstream. If the departure were
            // recorded for that run, entries that know the departing run from an earlier leader
            // would continue to use it.
            tracked.record.announcement.run = run.clone();
            tracked.record.status = *status;
            self.last_change += 1;
            tracked.change = self.last_change;
        }
        Change::Leaving
    }

    /// Handles the final departure of a run.
    pub fn withdraw(&mut self, now: Duration, run: &Run) -> Change {
        self.depart(now, &Departure { run: run.clone(), status: Status::Gone })
    }

    /// Marks upstreams that missed announcements as silent and later as lost, and removes those
    /// that ended long ago.
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

    /// Removes upstreams that are gone or lost once every instance has learned it.
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

    /// Adds a run that is not known yet.
    ///
    /// The new run ends the record of an earlier run with its name, and of any other upstream at
    /// its address, since an address is reused only after its last user has ended. However, a
    /// delayed announcement may arrive after its sender has ended and another run has registered at
    /// the address. If it were taken for a new run, requests would go to an upstream that no longer
    /// exists. Such an announcement is recognized by an earlier start time or, where upstreams
    /// don't report when they started, by a high sequence number.
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

/// Returns the status that follows from a silence if it differs; `max_silence` is how long a ready
/// upstream may be silent.
///
/// Entries keep what the leader sent them last. An upstream that the leader merely forgot would
/// stay in use at all entries, as the last resort, for as long as they run.
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

/// Returns the status after an announcement; leaving is final for a run.
fn status_after_announcement(announcement: &Announcement, before: Status) -> Status {
    if announcement.draining || before == Status::Leaving { Status::Leaving } else { Status::Ready }
}
