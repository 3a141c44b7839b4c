//! What an instance knows of those that report to it, and tells them.
//!
//! The leader hears the cores, and a core the entries that report to it; in a small fleet the leader hears all entries by
//! itself.

mod source;
mod subscriber;
mod tell;
mod totals;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::clock;
use crate::frame::{Aggregate, Heartbeat, Peer, RelayedReport, Update};
pub use crate::hub::source::{ChangeSource, Changes, UpdateSource};
use crate::hub::subscriber::Subscriber;
use crate::hub::totals::Totals;
use crate::load::{LoadEstimator, WorkReport};
use crate::parent::ParentCore;
use crate::quota::{LoanGrant, LoanRequest, TeamBuckets};
use crate::route_table::RouteTable;
use crate::usage::{Collector, EntryCounts, EntryRun};
use crate::view::Version;

/// After this silence an instance is not waited for: three beats.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// After this silence an entry falls back to an equal part of each limit by itself, and the leader keeps that part
/// for it.
pub const SHARE_LEASE: Duration = Duration::from_secs(1);

/// How long a new leader counts those entries as well that looked for a leader just before.
const EXPECTED: Duration = Duration::from_secs(2);

/// How long a core has been heard before entries are sent to it: one that is heard now and then would have them go back
/// and forth. Those that are heard at once when a leader begins have been there before.
const STEADY: Duration = Duration::from_secs(2);

/// How long an instance that is silent is remembered: it may be cut off and still serve.
const MEMORY: Duration = Duration::from_secs(30);

/// The same as [`STEADY`] for a leader that has just begun.
const AT_ONCE: Duration = Duration::from_millis(700);

/// Keeps what each instance has that reports here.
#[derive(Debug, Default)]
pub struct Hub {
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    usage: Collector,
    quotas: TeamBuckets,
    loads: LoadEstimator,
    /// Milliseconds of engine time that entries were asked for since this process started, by service.
    total_work: BTreeMap<Arc<str>, f64>,
    /// When this core began to lead.
    opened: Duration,
    /// Entries that looked for a leader just before this one began to lead.
    expected: usize,
    totals: Totals,
    /// Places among the entries that are given.
    slot_count: u32,
    /// The last change of the leader before that is known here.
    before: Version,
    /// The median of all clocks when it was last made. Made for each report it would cost the square of the
    /// number of instances.
    time: Option<i64>,
}

/// Holds an update for several instances.
#[derive(Clone, Debug)]
pub struct PendingPush {
    /// Where it goes.
    pub to: Vec<SocketAddr>,
    /// What it says.
    pub update: Update,
}

/// Counts the instances that have a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AckCounts {
    /// Those that are heard and have confirmed it.
    pub acknowledged: usize,
    /// Those that are heard.
    pub reachable: usize,
    /// Those that are not, and are not waited for.
    pub silent: usize,
}

/// Says what every instance that answers has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The newest change of the list of upstreams.
    pub change: u64,
    /// The newest route table.
    pub revision: u64,
}

impl Progress {
    /// Returns what both have.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        let (change, revision) = (self.change.min(other.change), self.revision.min(other.revision));
        Self { change, revision }
    }

    /// Tells whether this has anything that the other has not.
    pub fn exceeds(&self, other: &Self) -> bool {
        self.change > other.change || self.revision > other.revision
    }
}

impl Hub {
    /// Begins to lead so many entries; `restarted` tells whether all of them have just started, as after a power loss of
    /// all.
    ///
    /// Counts of usage stay, and entries that report here: they report only what has changed since they began to.
    pub fn start_leading(&mut self, now: Duration, expected: usize, restarted: bool) {
        let Self { subscribers, usage, total_work: worked, .. } = std::mem::take(self);
        let quotas = TeamBuckets::new(restarted);
        let kept = Self { subscribers, usage, total_work: worked, ..Self::default() };
        *self = Self { quotas, opened: now, expected, ..kept };
    }

    /// Ceases to lead, or to hear entries: whoever reports here goes on elsewhere.
    pub fn release_subscribers(&mut self) {
        self.subscribers.clear();
        self.time = None;
    }

    /// Goes on from the last change of the leader before: instances that have it, or an earlier one of that leader, are
    /// told what has changed since.
    pub fn continue_from(&mut self, before: Version) {
        self.before = before;
        for subscriber in self.subscribers.values_mut() {
            let sent = Version { term: subscriber.sent_term, change: subscriber.sent };
            if sent.term != before.term || sent > before {
                (subscriber.seen, subscriber.sent, subscriber.covered.change) = (0, 0, 0);
            }
        }
    }

    /// Takes a report; `last` is the number of this core's own last one.
    pub fn handle_heartbeat(&mut self, now: Duration, term: u64, last: u64, heartbeat: Heartbeat) {
        let Heartbeat {
            peer,
            version: seen,
            revision,
            unix_ms: unix,
            counted_until: counted,
            counts,
            sequence: number,
            refunds,
            engine_work: work,
            ..
        } = heartbeat;
        let origin = EntryRun { address: peer.address, incarnation: peer.incarnation };
        self.usage.record(last + 1, origin, counts);
        let goes_on = seen.term == self.before.term && seen <= self.before;
        let seen = if seen.term == term || goes_on { seen } else { Version { term, change: 0 } };
        let known = seen.change;
        let subscriber = self
            .subscribers
            .entry(peer.address)
            .or_insert_with(|| Subscriber::open(peer.clone(), now));
        let restarted = subscriber.peer.incarnation != peer.incarnation;
        if restarted {
            subscriber.sheet_sent = None;
            subscriber.work.clear();
        }
        subscriber.confirm(now, known);
        let patience = subscriber.patience();
        if restarted || now.saturating_sub(subscriber.pushed) > patience {
            (subscriber.sent, subscriber.sent_term) = (known, seen.term);
        }
        if subscriber.sheet_sent.is_some_and(|(_, at)| now.saturating_sub(at) > patience) {
            subscriber.sheet_sent = None;
        }
        subscriber.entries = u32::from(peer.voter.is_none());
        subscriber.places = subscriber.entries;
        subscriber.covered = Progress { change: known, revision };
        subscriber.listed.clear();
        subscriber.peer = peer;
        subscriber.hear(now);
        subscriber.seen = known;
        if known > subscriber.sent {
            (subscriber.sent, subscriber.sent_term) = (known, seen.term);
        }
        subscriber.revision = revision;
        subscriber.offset = clock::offset_ms(now, unix);
        subscriber.counted = counted;
        subscriber.number = number;
        refunds.iter().for_each(|refund| self.quotas.refund(refund));
        for WorkReport { service, total_ms: total } in work {
            // The first report tells of all the time before.
            let before = subscriber.work.insert(service.clone(), total).unwrap_or(total);
            self.loads.add(now, &service, total - before);
            *self.total_work.entry(service).or_default() += (total - before).max(0.0);
        }
        if let Some(below) = heartbeat.aggregate {
            self.take_below(origin.address, last, below);
        }
    }

    /// Takes what the entries below a core have reported to it.
    fn take_below(&mut self, core: SocketAddr, last: u64, below: Aggregate) {
        for EntryCounts { entry: origin, counts } in below.counts {
            self.usage.record(last + 1, origin, counts);
        }
        let Some(subscriber) = self.subscribers.get_mut(&core) else { return };
        let covered = Progress { change: below.acknowledged.change, revision: below.revision };
        subscriber.covered = subscriber.covered.min(covered);
        subscriber.entries = below.entry_count;
        subscriber.places = below.slot_count;
        subscriber.listed = below.entry_addresses;
    }

    /// Forgets an instance that reports elsewhere.
    pub fn forget(&mut self, instance: SocketAddr) {
        self.subscribers.remove(&instance);
    }

    /// Returns an instance that reports here.
    pub fn peer(&self, instance: SocketAddr) -> Option<&Peer> {
        self.subscribers.get(&instance).map(|it| &it.peer)
    }

    /// Returns how many instances have reported.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Tells whether none has.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Returns to how many instances one tells a change at most: the leader, or a core to its entries.
    pub fn max_fan_out(&self) -> usize {
        let below = self.subscribers.values().map(|it| it.entries as usize).max();
        self.len().max(below.unwrap_or(0))
    }

    /// Returns how many engines of a service would be busy all the time; none before that is known.
    pub fn busy_engines(&self, now: Duration, service: &str) -> Option<f64> {
        self.loads.busy_engines(now, service)
    }

    /// Takes the word of an instance that it has taken a change of this term, and all that report to it.
    pub fn handle_acknowledgement(
        &mut self,
        now: Duration,
        address: SocketAddr,
        change: u64,
        revision: u64,
    ) {
        let Some(subscriber) = self.subscribers.get_mut(&address) else { return };
        subscriber.hear(now);
        subscriber.confirm(now, change);
        subscriber.seen = subscriber.seen.max(change);
        subscriber.revision = subscriber.revision.max(revision);
        let covered = &mut subscriber.covered;
        covered.change = covered.change.max(change);
        covered.revision = covered.revision.max(revision);
    }

    /// Makes the sums anew, and lets the teams' limits fill up.
    pub fn refresh(&mut self, now: Duration, sheet: Option<&RouteTable>) {
        self.loads.update(now);
        let expects = now < self.opened + EXPECTED;
        self.totals.take(
            now,
            self.reachable_entry_count(now),
            if expects { self.expected } else { 0 },
        );
        self.assign_time_slots(now, 0);
        let Some(sheet) = sheet else { return };
        // An entry that is cut off may still spend an equal part of each limit.
        let free = 1.0 - as_f64(self.totals.silent()) / as_f64(self.totals.all());
        self.quotas.refill(now, sheet, free);
    }

    /// Lends units of teams' limits.
    pub fn grant_loans(&mut self, loans: &[LoanRequest]) -> Vec<LoanGrant> {
        loans.iter().map(|loan| self.quotas.grant(loan)).collect()
    }

    /// Numbers the entries that may serve from a place on, so that each has its turn under an upstream's limit, and
    /// forgets whoever has been silent for long.
    pub fn assign_time_slots(&mut self, now: Duration, first: u32) {
        self.subscribers.retain(|_, it| it.is_heard(now, MEMORY));
        let mut place = first;
        for subscriber in self.subscribers.values_mut() {
            subscriber.place = Some(place);
            place += subscriber.places;
        }
        self.slot_count = place - first;
    }

    /// Returns how many places among the entries are given.
    pub fn places(&self) -> u32 {
        self.slot_count
    }

    /// Returns how many entries are heard.
    pub fn reachable_entry_count(&self, now: Duration) -> usize {
        let heard = self.subscribers.values().filter(|it| it.is_heard(now, SHARE_LEASE));
        heard.map(|it| it.entries as usize).sum()
    }

    /// Returns how many entries there are, heard lately or expected.
    pub fn entry_count(&self) -> usize {
        self.totals.all()
    }

    /// Goes through the cores that are heard, other than the leader.
    pub fn reachable_cores(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let live = self.subscribers.values().filter(move |it| it.is_heard(now, SILENCE_TIMEOUT));
        live.map(|it| &it.peer).filter(|peer| peer.voter.is_some())
    }

    /// Lists the cores that entries may report to.
    pub fn parent_cores(&self, now: Duration) -> Vec<ParentCore> {
        let steady = |it: &&Subscriber| {
            it.is_heard(now, SILENCE_TIMEOUT)
                && (it.since <= self.opened + AT_ONCE || now.saturating_sub(it.since) >= STEADY)
        };
        let cores = self.subscribers.values().filter(|it| it.peer.voter.is_some());
        let site = |it: &Peer| ParentCore { address: it.address, zone: it.zone.clone() };
        cores.filter(steady).map(|it| site(&it.peer)).collect()
    }

    /// Lists the entries that are heard, as far as it is known which these are.
    pub fn reachable_entries(&self, now: Duration) -> Vec<SocketAddr> {
        let mut heard = Vec::new();
        for subscriber in self.subscribers.values().filter(|it| it.is_heard(now, SILENCE_TIMEOUT)) {
            if subscriber.peer.voter.is_none() {
                heard.push(subscriber.peer.address);
            }
            heard.extend(&subscriber.listed);
        }
        heard.sort_unstable();
        heard.dedup();
        heard
    }

    /// Makes the median of all clocks anew.
    pub fn update_time_offset(&mut self, now: Duration, own: i64) {
        self.time = None;
        self.time = Some(self.time_offset_ms(now, own));
    }

    /// Returns the agreed time of day less the steady clock: the median of all clocks.
    pub fn time_offset_ms(&self, now: Duration, own: i64) -> i64 {
        if let Some(time) = self.time {
            return time;
        }
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE_TIMEOUT));
        let offsets = live.map(|it| it.offset).chain([own]).collect();
        clock::median(offsets).unwrap_or(own)
    }

    /// Tells whether the counts of every entry that may still report are complete up to a time.
    pub fn counts_complete(&self, now: Duration, unix: u64) -> bool {
        self.totals.silent() == 0 && self.counted_until(now).is_none_or(|counted| counted >= unix)
    }

    /// Returns up to when the counts of all are complete that report here; none if nobody does.
    pub fn counted_until(&self, now: Duration) -> Option<u64> {
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SHARE_LEASE));
        live.map(|it| it.counted).min()
    }

    /// Returns the counts of a window.
    pub fn window_counts(&self, window: u64) -> BTreeMap<Team, u64> {
        self.usage.totals(window)
    }

    /// Lists the work that entries were asked for since this process started.
    pub fn worked(&self) -> Vec<WorkReport> {
        let worked = self.total_work.iter();
        worked
            .map(|(service, total)| WorkReport { service: service.clone(), total_ms: *total })
            .collect()
    }

    /// Sums up what the entries that report here have reported since this core's report with a number.
    pub fn aggregate(
        &self,
        now: Duration,
        since: u64,
        covered: Version,
        revision: u64,
        rollouts: Vec<RelayedReport>,
    ) -> Aggregate {
        Aggregate {
            entry_count: u32::try_from(self.reachable_entry_count(now)).unwrap_or(u32::MAX),
            slot_count: self.slot_count,
            entry_addresses: Vec::new(),
            acknowledged: covered,
            revision,
            counts: self.usage.since(since),
            rollouts,
        }
    }
}

/// Counts of instances are far below the precision of a float.
fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
