//! The upstreams that have announced themselves, as the leader holds them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Upstream;

use crate::departure::{Departure, Departures};
use crate::history::History;
use crate::upstream::differs;
pub use crate::upstream::{Announcement, Record, Run, Standing};
use crate::voucher::Mark;

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
pub struct Told {
    /// Its last change.
    pub change: u64,
    /// The change since which all others are known one by one.
    pub floor: u64,
}

/// Says what has come of the silence of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lapse {
    /// Whether anything changed that others should know.
    pub changed: bool,
    /// Upstreams that have fallen silent.
    pub silent: Vec<Upstream>,
    /// Runs that are lost.
    pub lost: Vec<Run>,
}

/// Tells of an announcement that was passed over, since what is known is newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Late {
    /// The run that it is of.
    pub run: Run,
    /// Its number.
    pub sequence: u64,
    /// The run that its upstream's name stands for, and the number of that one's last announcement.
    pub known: Option<(u64, u64)>,
    /// How its run goes or has gone, and how long ago that was last heard.
    pub departed: Option<(Standing, Duration)>,
}

/// Says what an announcement has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others must know at once.
    Nothing,
    /// Something that others should know.
    Update,
    /// The upstream leaves: acknowledged only when those that route know it, and whoever may lead.
    Leaving,
    /// Nothing: it names a service that no route table knows, and would take the name or address of an
    /// upstream that serves.
    Foreign,
}

impl Registry {
    /// Starts empty; upstreams announce themselves once per `period`.
    pub fn open(period: Duration) -> Self {
        let departures = Departures::default();
        let (records, addresses) = (BTreeMap::new(), BTreeMap::new());
        Self { period, records, addresses, departures, stamp: 0, purged: 0 }
    }

    /// Starts from what an earlier leader had told, and from all departures that are remembered here.
    ///
    /// Without these, a late announcement would make an upstream ready again that has said to an earlier
    /// leader that it goes: entries would send requests there that it no longer takes.
    pub fn adopt(
        &mut self,
        now: Duration,
        told: Told,
        records: impl Iterator<Item = (u64, Record)>,
        departures: Departures,
    ) {
        self.records.clear();
        self.addresses.clear();
        self.departures = departures;
        self.stamp = told.change + 1;
        self.purged = told.floor;
        for (change, mut record) in records {
            let standing = record.standing;
            let run = &record.announcement.run;
            record.standing = self.departures.standing(run).unwrap_or(standing);
            let changed = record.standing != standing;
            let stamp = if changed { self.stamp } else { change.min(self.stamp) };
            self.hold(now, stamp, record);
        }
    }

    /// Returns by which change each upstream has changed, for the time after this leader.
    pub(crate) fn history(&self) -> History {
        let mut history = History::new(self.purged);
        for held in self.records.values() {
            match held.record.standing {
                Standing::Gone | Standing::Lost => {
                    history.record_removal(held.stamp, held.record.clone());
                }
                Standing::Ready | Standing::Silent | Standing::Leaving => {
                    history.told(&held.record.announcement.run.upstream, held.stamp);
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
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Returns the departures that are remembered.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the run that an upstream's name stands for now.
    pub fn run(&self, upstream: &Upstream) -> Option<&Run> {
        self.records.get(upstream).map(|held| &held.record.announcement.run)
    }

    /// Returns what is known of an upstream.
    pub fn record(&self, upstream: &Upstream) -> Option<&Record> {
        self.records.get(upstream).map(|held| &held.record)
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

    /// Takes an announcement; `served` tells whether the route table knows its service.
    pub fn announce(&mut self, now: Duration, announcement: Announcement, served: bool) -> Change {
        let run = &announcement.run;
        let departed = self.departures.standing(run);
        if departed == Some(Standing::Gone) {
            return Change::Nothing;
        }
        let Some(held) = self.records.get(&run.upstream) else {
            return self.welcome(now, announcement, served);
        };
        let known = &held.record.announcement;
        if !served && known.service != announcement.service {
            return Change::Foreign;
        }
        match known.run.incarnation.cmp(&run.incarnation) {
            Ordering::Less => self.welcome(now, announcement, served),
            Ordering::Equal if known.sequence < announcement.sequence => {
                self.renew(now, announcement)
            }
            Ordering::Equal if announcement.draining => {
                let run = announcement.run;
                self.depart(now, &Departure { run, standing: Standing::Leaving })
            }
            Ordering::Equal | Ordering::Greater => Change::Nothing,
        }
    }

    /// Takes a core's word that a run has announced itself with nothing new; returns what that changes.
    ///
    /// The core may know less than this leader: that the run goes, or that another one has its name. So a mark
    /// renews what is held, and makes nothing ready but a run that was only silent.
    pub fn vouch(&mut self, now: Duration, mark: &Mark) -> Change {
        let Some(held) = self.records.get_mut(&mark.run.upstream) else { return Change::Nothing };
        let known = &mut held.record.announcement;
        let stays = matches!(held.record.standing, Standing::Ready | Standing::Silent);
        if !stays || known.run != mark.run || known.sequence >= mark.sequence {
            return Change::Nothing;
        }
        known.sequence = mark.sequence;
        held.heard = now;
        if held.record.standing == Standing::Ready {
            return Change::Nothing;
        }
        held.record.standing = Standing::Ready;
        self.stamp += 1;
        held.stamp = self.stamp;
        Change::Update
    }

    /// Counts a change of something else that is told with the upstreams; returns its number.
    pub fn touch(&mut self) -> u64 {
        self.stamp += 1;
        self.stamp
    }

    /// Tells why an announcement was not taken; none for the one that is held now.
    pub fn late(&self, now: Duration, run: &Run, sequence: u64) -> Option<Late> {
        let held = self.records.get(&run.upstream).map(|held| &held.record.announcement);
        if held.is_some_and(|it| it.run == *run && it.sequence == sequence) {
            return None;
        }
        let known = held.map(|it| (it.run.incarnation, it.sequence));
        let departed = self.departures.standing(run).zip(self.departures.age(now, run));
        Some(Late { run: run.clone(), sequence, known, departed })
    }

    /// Takes a later announcement of a run that is known.
    fn renew(&mut self, now: Duration, announcement: Announcement) -> Change {
        let departed = self.departures.standing(&announcement.run);
        let Some(held) = self.records.get_mut(&announcement.run.upstream) else {
            return Change::Nothing;
        };
        held.heard = now;
        let before = held.record.standing;
        let standing = standing(&announcement, departed.unwrap_or(before));
        let changed = differs(&held.record.announcement, &announcement) || standing != before;
        if held.record.announcement.address != announcement.address {
            self.addresses.insert(announcement.address, announcement.run.upstream.clone());
        }
        held.record.announcement = announcement;
        held.record.standing = standing;
        if changed {
            self.stamp += 1;
            held.stamp = self.stamp;
        }
        if standing == Standing::Leaving {
            self.departures.take(now, &held.record.announcement.run, standing);
        }
        match (standing == Standing::Leaving && before != standing, changed) {
            (true, _) => Change::Leaving,
            (false, true) => Change::Update,
            (false, false) => Change::Nothing,
        }
    }

    /// Takes the word of a run that it goes or has gone, whatever else is known of it.
    ///
    /// A run says it once and for all, so neither a later number nor a missing record speaks against it. Passed
    /// over here, it would be acknowledged by the log, which holds it, while entries go on sending requests.
    pub fn depart(&mut self, now: Duration, departure: &Departure) -> Change {
        let Departure { run, standing } = departure;
        if !self.departures.take(now, run, *standing) {
            return Change::Nothing;
        }
        let Some(held) = self.records.get_mut(&run.upstream) else { return Change::Leaving };
        if held.record.announcement.run.incarnation <= run.incarnation {
            // This leader may have heard of an earlier run only. Response as that one's end, the word would
            // leave the run that goes in use at entries that know it from an earlier leader.
            held.record.announcement.run = run.clone();
            held.record.standing = *standing;
            self.stamp += 1;
            held.stamp = self.stamp;
        }
        Change::Leaving
    }

    /// Takes the word of a run that it has gone.
    pub fn withdraw(&mut self, now: Duration, run: &Run) -> Change {
        self.depart(now, &Departure { run: run.clone(), standing: Standing::Gone })
    }

    /// Counts upstreams as silent that have missed announcements, later as lost, and forgets those long gone.
    pub fn tick(&mut self, now: Duration) -> Lapse {
        let mut lapse = Lapse::default();
        for held in self.records.values_mut() {
            let silence = now.saturating_sub(held.heard);
            let Some(standing) = after(held.record.standing, silence, self.period * MISSED) else {
                continue;
            };
            held.record.standing = standing;
            self.stamp += 1;
            held.stamp = self.stamp;
            lapse.changed = true;
            let run = &held.record.announcement.run;
            match standing {
                Standing::Silent => lapse.silent.push(run.upstream.clone()),
                Standing::Lost => lapse.lost.push(run.clone()),
                Standing::Ready | Standing::Leaving | Standing::Gone => {}
            }
        }
        self.departures.forget(now);
        self.forget(now);
        lapse
    }

    /// Forgets upstreams that are gone or lost once every instance has been told.
    fn forget(&mut self, now: Duration) {
        let forgotten = |held: &Entry| {
            matches!(held.record.standing, Standing::Gone | Standing::Lost)
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
                && !matches!(held.record.standing, Standing::Gone | Standing::Lost)
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
                return Change::Foreign;
            }
            if late {
                return Change::Nothing;
            }
            old.record.standing = Standing::Gone;
            self.stamp += 1;
            old.stamp = self.stamp;
            self.departures.take(now, &old.record.announcement.run, Standing::Gone);
        }
        self.stamp += 1;
        let departed = self.departures.standing(run);
        let standing = standing(&announcement, departed.unwrap_or(Standing::Ready));
        if standing == Standing::Leaving {
            self.departures.take(now, run, standing);
        }
        self.hold(now, self.stamp, Record { announcement, standing });
        if standing == Standing::Leaving { Change::Leaving } else { Change::Update }
    }
}

/// Returns what a silence makes of an upstream, if anything; `patience` is for how long one that is ready
/// may be silent.
///
/// Entries hold what the leader told them last. An upstream that was only forgotten at the leader would stay in
/// use at all of them, as the last resort, for as long as they run.
fn after(standing: Standing, silence: Duration, patience: Duration) -> Option<Standing> {
    match standing {
        Standing::Ready if silence > patience => Some(Standing::Silent),
        Standing::Silent if silence > MEMORY => Some(Standing::Lost),
        Standing::Leaving if silence > MEMORY => Some(Standing::Gone),
        _ => None,
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
