//! What an instance knows of those that report to it, and tells them.
//!
//! The leader hears the cores, and a core the entries that report to it; in a small fleet the leader hears all entries by
//! itself.

mod push;
mod source;
mod subscriber;
mod totals;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::clock;
use crate::frame::{Aggregate, Heartbeat, Peer, RelayedReport, Update};
pub use crate::hub::source::{ChangeNumbers, ChangeSource, UpdateSource};
use crate::hub::subscriber::Subscriber;
use crate::hub::totals::EntryTotals;
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
const EXPECTED_ENTRIES_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a core has been heard before entries are sent to it: one that is heard now and then would have them go back
/// and forth. Those that are heard at once when a leader begins have been there before.
const STABLE_CORE_TIME: Duration = Duration::from_secs(2);

/// How long an instance that is silent is remembered: it may be cut off and still serve.
const SUBSCRIBER_RETENTION: Duration = Duration::from_secs(30);

/// The same as [`STABLE_CORE_TIME`] for a leader that has just begun.
const STARTUP_GRACE: Duration = Duration::from_millis(700);

/// Keeps what each instance has that reports here.
#[derive(Debug, Default)]
pub struct Hub {
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    usage: Collector,
    team_buckets: TeamBuckets,
    loads: LoadEstimator,
    /// Milliseconds of engine time that entries were asked for since this process started, by service.
    total_work: BTreeMap<Arc<str>, f64>,
    /// When this core began to lead.
    leading_since: Duration,
    /// Entries that looked for a leader just before this one began to lead.
    expected_entries: usize,
    entry_totals: EntryTotals,
    /// Places among the entries that are given.
    slot_count: u32,
    /// The last change of the leader before that is known here.
    previous_version: Version,
    /// The median of all clocks when it was last made. Made for each report it would cost the square of the
    /// number of instances.
    time_offset_ms: Option<i64>,
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
    /// Begins to lead so many entries; `all_restarted` tells whether all of them have just started, as after a power loss of
    /// all.
    ///
    /// Counts of usage stay, and entries that report here: they report only what has changed since they began to.
    pub fn start_leading(&mut self, now: Duration, expected: usize, restarted: bool) {
        let Self { subscribers, usage, total_work, .. } = std::mem::take(self);
        let team_buckets = TeamBuckets::new(restarted);
        let retained = Self { subscribers, usage, total_work, ..Self::default() };
        *self = Self { team_buckets, leading_since: now, expected_entries: expected, ..retained };
    }

    /// Ceases to lead, or to hear entries: whoever reports here goes on elsewhere.
    pub fn release_subscribers(&mut self) {
        self.subscribers.clear();
        self.time_offset_ms = None;
    }

    /// Goes on from the last change of the leader before: instances that have it, or an earlier one of that leader, are
    /// told what has changed since.
    pub fn continue_from(&mut self, previous: Version) {
        self.previous_version = previous;
        for subscriber in self.subscribers.values_mut() {
            let sent = Version { term: subscriber.sent_term, change: subscriber.sent_change };
            if sent.term != previous.term || sent > previous {
                (
                    subscriber.acknowledged_change,
                    subscriber.sent_change,
                    subscriber.progress.change,
                ) = (0, 0, 0);
            }
        }
    }

    /// Takes a report; `last` is the number of this core's own last one.
    pub fn handle_heartbeat(
        &mut self,
        now: Duration,
        term: u64,
        last_sequence: u64,
        heartbeat: Heartbeat,
    ) {
        let Heartbeat {
            peer,
            version,
            revision,
            unix_ms,
            counted_until,
            counts,
            sequence,
            refunds,
            engine_work,
            ..
        } = heartbeat;
        let origin = EntryRun { address: peer.address, incarnation: peer.incarnation };
        self.usage.record(last_sequence + 1, origin, counts);
        let is_comparable =
            version.term == self.previous_version.term && version <= self.previous_version;
        let version = if version.term == term || is_comparable {
            version
        } else {
            Version { term, change: 0 }
        };
        let change = version.change;
        let subscriber = self
            .subscribers
            .entry(peer.address)
            .or_insert_with(|| Subscriber::new(peer.clone(), now));
        let restarted = subscriber.peer.incarnation != peer.incarnation;
        if restarted {
            subscriber.route_table_sent = None;
            subscriber.work_totals.clear();
        }
        subscriber.acknowledge(now, change);
        let resend_timeout = subscriber.resend_timeout();
        if restarted || now.saturating_sub(subscriber.delivery_confirmed_at) > resend_timeout {
            (subscriber.sent_change, subscriber.sent_term) = (change, version.term);
        }
        if subscriber
            .route_table_sent
            .is_some_and(|(_, sent_at)| now.saturating_sub(sent_at) > resend_timeout)
        {
            subscriber.route_table_sent = None;
        }
        subscriber.entry_count = u32::from(peer.voter.is_none());
        subscriber.slot_count = subscriber.entry_count;
        subscriber.progress = Progress { change, revision };
        subscriber.entry_addresses.clear();
        subscriber.peer = peer;
        subscriber.mark_heard(now);
        subscriber.acknowledged_change = change;
        if change > subscriber.sent_change {
            (subscriber.sent_change, subscriber.sent_term) = (change, version.term);
        }
        subscriber.revision = revision;
        subscriber.time_offset_ms = clock::offset_ms(now, unix_ms);
        subscriber.counted_until = counted_until;
        subscriber.last_sequence = sequence;
        refunds.iter().for_each(|refund| self.team_buckets.refund(refund));
        for WorkReport { service, total_ms } in engine_work {
            // The first report tells of all the time before.
            let before =
                subscriber.work_totals.insert(service.clone(), total_ms).unwrap_or(total_ms);
            self.loads.add(now, &service, total_ms - before);
            *self.total_work.entry(service).or_default() += (total_ms - before).max(0.0);
        }
        if let Some(aggregate) = heartbeat.aggregate {
            self.handle_aggregate(origin.address, last_sequence, aggregate);
        }
    }

    /// Takes what the entries below a core have reported to it.
    fn handle_aggregate(&mut self, core: SocketAddr, last_sequence: u64, aggregate: Aggregate) {
        for EntryCounts { entry, counts } in aggregate.counts {
            self.usage.record(last_sequence + 1, entry, counts);
        }
        let Some(subscriber) = self.subscribers.get_mut(&core) else { return };
        let progress =
            Progress { change: aggregate.acknowledged.change, revision: aggregate.revision };
        subscriber.progress = subscriber.progress.min(progress);
        subscriber.entry_count = aggregate.entry_count;
        subscriber.slot_count = aggregate.slot_count;
        subscriber.entry_addresses = aggregate.entry_addresses;
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
        let largest_aggregate = self.subscribers.values().map(|it| it.entry_count as usize).max();
        self.len().max(largest_aggregate.unwrap_or(0))
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
        subscriber.mark_heard(now);
        subscriber.acknowledge(now, change);
        subscriber.acknowledged_change = subscriber.acknowledged_change.max(change);
        subscriber.revision = subscriber.revision.max(revision);
        let progress = &mut subscriber.progress;
        progress.change = progress.change.max(change);
        progress.revision = progress.revision.max(revision);
    }

    /// Makes the sums anew, and lets the teams' limits fill up.
    pub fn refresh(&mut self, now: Duration, route_table: Option<&RouteTable>) {
        self.loads.update(now);
        let expects_entries = now < self.leading_since + EXPECTED_ENTRIES_TIMEOUT;
        self.entry_totals.update(
            now,
            self.reachable_entry_count(now),
            if expects_entries { self.expected_entries } else { 0 },
        );
        self.assign_time_slots(now, 0);
        let Some(route_table) = route_table else { return };
        // An entry that is cut off may still spend an equal part of each limit.
        let available_share =
            1.0 - as_f64(self.entry_totals.silent()) / as_f64(self.entry_totals.total());
        self.team_buckets.refill(now, route_table, available_share);
    }

    /// Lends units of teams' limits.
    pub fn grant_loans(&mut self, requests: &[LoanRequest]) -> Vec<LoanGrant> {
        requests.iter().map(|request| self.team_buckets.grant(request)).collect()
    }

    /// Numbers the entries that may serve from a place on, so that each has its turn under an upstream's limit, and
    /// forgets whoever has been silent for long.
    pub fn assign_time_slots(&mut self, now: Duration, first_index: u32) {
        self.subscribers.retain(|_, it| it.is_heard_within(now, SUBSCRIBER_RETENTION));
        let mut next_index = first_index;
        for subscriber in self.subscribers.values_mut() {
            subscriber.slot_index = Some(next_index);
            next_index += subscriber.slot_count;
        }
        self.slot_count = next_index - first_index;
    }

    /// Returns how many places among the entries are given.
    pub fn slot_count(&self) -> u32 {
        self.slot_count
    }

    /// Returns how many entries are heard.
    pub fn reachable_entry_count(&self, now: Duration) -> usize {
        let reachable = self.subscribers.values().filter(|it| it.is_heard_within(now, SHARE_LEASE));
        reachable.map(|it| it.entry_count as usize).sum()
    }

    /// Returns how many entries there are, heard lately or expected.
    pub fn entry_count(&self) -> usize {
        self.entry_totals.total()
    }

    /// Goes through the cores that are heard, other than the leader.
    pub fn reachable_cores(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let reachable =
            self.subscribers.values().filter(move |it| it.is_heard_within(now, SILENCE_TIMEOUT));
        reachable.map(|it| &it.peer).filter(|peer| peer.voter.is_some())
    }

    /// Lists the cores that entries may report to.
    pub fn parent_cores(&self, now: Duration) -> Vec<ParentCore> {
        let is_stable = |subscriber: &&Subscriber| {
            subscriber.is_heard_within(now, SILENCE_TIMEOUT)
                && (subscriber.heard_since <= self.leading_since + STARTUP_GRACE
                    || now.saturating_sub(subscriber.heard_since) >= STABLE_CORE_TIME)
        };
        let cores = self.subscribers.values().filter(|subscriber| subscriber.peer.voter.is_some());
        let parent_core =
            |peer: &Peer| ParentCore { address: peer.address, zone: peer.zone.clone() };
        cores.filter(is_stable).map(|subscriber| parent_core(&subscriber.peer)).collect()
    }

    /// Lists the entries that are heard, as far as it is known which these are.
    pub fn reachable_entries(&self, now: Duration) -> Vec<SocketAddr> {
        let mut reachable = Vec::new();
        for subscriber in
            self.subscribers.values().filter(|it| it.is_heard_within(now, SILENCE_TIMEOUT))
        {
            if subscriber.peer.voter.is_none() {
                reachable.push(subscriber.peer.address);
            }
            reachable.extend(&subscriber.entry_addresses);
        }
        reachable.sort_unstable();
        reachable.dedup();
        reachable
    }

    /// Makes the median of all clocks anew.
    pub fn update_time_offset(&mut self, now: Duration, own_offset_ms: i64) {
        self.time_offset_ms = None;
        self.time_offset_ms = Some(self.time_offset_ms(now, own_offset_ms));
    }

    /// Returns the agreed time of day less the steady clock: the median of all clocks.
    pub fn time_offset_ms(&self, now: Duration, own_offset_ms: i64) -> i64 {
        if let Some(offset_ms) = self.time_offset_ms {
            return offset_ms;
        }
        let reachable =
            self.subscribers.values().filter(|it| it.is_heard_within(now, SILENCE_TIMEOUT));
        let offsets = reachable.map(|it| it.time_offset_ms).chain([own_offset_ms]).collect();
        clock::median(offsets).unwrap_or(own_offset_ms)
    }

    /// Tells whether the counts of every entry that may still report are complete up to a time.
    pub fn counts_complete(&self, now: Duration, unix_ms: u64) -> bool {
        self.entry_totals.silent() == 0
            && self.counted_until(now).is_none_or(|counted_until| counted_until >= unix_ms)
    }

    /// Returns up to when the counts of all are complete that report here; none if nobody does.
    pub fn counted_until(&self, now: Duration) -> Option<u64> {
        let reachable = self.subscribers.values().filter(|it| it.is_heard_within(now, SHARE_LEASE));
        reachable.map(|it| it.counted_until).min()
    }

    /// Returns the counts of a window.
    pub fn window_counts(&self, window: u64) -> BTreeMap<Team, u64> {
        self.usage.totals(window)
    }

    /// Lists the work that entries were asked for since this process started.
    pub fn work_totals(&self) -> Vec<WorkReport> {
        let totals = self.total_work.iter();
        totals
            .map(|(service, total_ms)| WorkReport { service: service.clone(), total_ms: *total_ms })
            .collect()
    }

    /// Sums up what the entries that report here have reported since this core's report with a number.
    pub fn aggregate(
        &self,
        now: Duration,
        since: u64,
        acknowledged: Version,
        revision: u64,
        rollouts: Vec<RelayedReport>,
    ) -> Aggregate {
        Aggregate {
            entry_count: u32::try_from(self.reachable_entry_count(now)).unwrap_or(u32::MAX),
            slot_count: self.slot_count,
            entry_addresses: Vec::new(),
            acknowledged,
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
