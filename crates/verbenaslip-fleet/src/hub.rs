//! Tracks the instances that report to this one, and builds their updates.
//!
//! The leader serves the cores, and each core serves its entries. In a small fleet the leader also
//! serves all entries directly.

mod measurements;
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
use crate::limit::MAX_SLOTS;
use crate::load::{LoadEstimator, WorkReport};
use crate::measurement::collector::Collector as MeasurementCollector;
use crate::measurement::publisher::{Publisher, SentFigures};
use crate::parent::ParentCore;
use crate::quota::{LoanGrant, LoanRequest, TeamBuckets};
use crate::route_table::RouteTable;
use crate::usage::{Collector, EntryCounts, EntryRun};
use crate::view::Version;

/// Silence after which acknowledgements no longer wait for an instance; three heartbeats.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Silence after which an entry falls back to an equal share of each rate limit, and the leader
/// reserves that share for it.
pub const SHARE_LEASE: Duration = Duration::from_secs(1);

/// How long a new leader also counts the entries that looked for a leader just before.
const EXPECTED_ENTRIES_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a core must have been reachable before entries are assigned to it. Entries of a core
/// with an unstable connection would move back and forth. Cores that report at once to a new
/// leader, within [`STARTUP_GRACE`], were reachable before.
const STABLE_CORE_TIME: Duration = Duration::from_secs(2);

/// How long a silent instance is remembered, since it may be cut off and still serving.
const SUBSCRIBER_RETENTION: Duration = Duration::from_secs(30);

/// Time after the start of a leadership within which cores are accepted without
/// [`STABLE_CORE_TIME`].
const STARTUP_GRACE: Duration = Duration::from_millis(700);

/// Tracks what each reporting instance has received, acknowledged and reported.
#[derive(Debug, Default)]
pub struct Hub {
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    usage: Collector,
    team_buckets: TeamBuckets,
    loads: LoadEstimator,
    /// Milliseconds of engine time that requests have required since this process started, by
    /// service.
    total_work: BTreeMap<Arc<str>, f64>,
    /// Measurements of upstreams that subscribers report.
    measurements: MeasurementCollector,
    /// Figures that subscribers receive.
    publisher: Publisher,
    /// When this core started to lead.
    leading_since: Duration,
    /// Number of entries that looked for a leader just before this leadership started.
    expected_entries: usize,
    entry_totals: EntryTotals,
    /// Number of assigned time slots.
    slot_count: u32,
    /// Version of the previous leader's last change that is known here.
    previous_version: Version,
    /// Median of all clock offsets in milliseconds, as last calculated. Calculating it per
    /// heartbeat would cost the square of the number of instances.
    time_offset_ms: Option<i64>,
}

/// Holds an update for several instances.
#[derive(Clone, Debug)]
pub struct PendingPush {
    /// Receivers of the update.
    pub to: Vec<SocketAddr>,
    /// The update.
    pub update: Update,
}

/// Counts which instances have acknowledged a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AckCounts {
    /// Reachable instances that have acknowledged the change.
    pub acknowledged: usize,
    /// All reachable instances.
    pub reachable: usize,
    /// Unreachable instances, for which nothing waits.
    pub silent: usize,
}

/// Describes the newest state that an instance, or every instance of a group, has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of the last change in the list of upstreams.
    pub change: u64,
    /// Revision of the route table.
    pub revision: u64,
}

impl Progress {
    /// Returns the progress that both have reached.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        let (change, revision) = (self.change.min(other.change), self.revision.min(other.revision));
        Self { change, revision }
    }

    /// Returns whether `self` is ahead of `other` in any part.
    pub fn exceeds(&self, other: &Self) -> bool {
        self.change > other.change || self.revision > other.revision
    }
}

impl Hub {
    /// Starts a leadership with `expected` entries.
    ///
    /// Usage counts and subscribers are kept, since subscribers report only what has changed since
    /// their earlier reports.
    pub fn start_leading(&mut self, now: Duration, expected: usize) {
        let Self { subscribers, usage, total_work, mut measurements, .. } = std::mem::take(self);
        measurements.reset_averages();
        let team_buckets = TeamBuckets::new(now);
        let retained = Self { subscribers, usage, total_work, measurements, ..Self::default() };
        *self = Self { team_buckets, leading_since: now, expected_entries: expected, ..retained };
    }

    /// Forgets all subscribers when this core stops serving them; they report elsewhere.
    pub fn release_subscribers(&mut self) {
        self.subscribers.clear();
        self.measurements.leave_all();
        self.time_offset_ms = None;
    }

    /// Continues from the version `previous` of the previous leader, so that instances with this or
    /// an earlier version of that leader receive only later changes.
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

    /// Handles a heartbeat; `last_sequence` is the sequence number of this core's own last
    /// heartbeat.
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
            subscriber.sent_figures = SentFigures::default();
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
        let later = &heartbeat.extension.0.later.0;
        let slots = later.extra_slots.saturating_add(1).min(MAX_SLOTS);
        subscriber.slot_count = subscriber.entry_count * slots;
        subscriber.progress = Progress { change, revision };
        subscriber.entry_addresses.clear();
        subscriber.is_stopping = later.is_stopping.0;
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
            // The first report contains the total since the instance started, so it serves only as
            // the baseline.
            let before =
                subscriber.work_totals.insert(service.clone(), total_ms).unwrap_or(total_ms);
            self.loads.add(now, &service, total_ms - before);
            *self.total_work.entry(service).or_default() += (total_ms - before).max(0.0);
        }
        if let Some(aggregate) = heartbeat.aggregate {
            self.handle_aggregate(origin.address, last_sequence, aggregate);
        }
    }

    /// Handles the aggregate of a core's entries.
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
        self.measurements.leave(instance);
    }

    /// Returns the identity of a subscriber.
    pub fn peer(&self, instance: SocketAddr) -> Option<&Peer> {
        self.subscribers.get(&instance).map(|it| &it.peer)
    }

    /// Returns the number of subscribers.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Returns whether there are no subscribers.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Returns the largest number of instances that the leader or any single core must update.
    pub fn max_fan_out(&self) -> usize {
        let largest_aggregate = self.subscribers.values().map(|it| it.entry_count as usize).max();
        self.len().max(largest_aggregate.unwrap_or(0))
    }

    /// Returns how many engines of a service the reported load would keep permanently busy, or
    /// `None` until that is known.
    pub fn busy_engines(&self, now: Duration, service: &str) -> Option<f64> {
        self.loads.busy_engines(now, service)
    }

    /// Handles the acknowledgement of a change in this term by an instance and all instances that
    /// report to it.
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

    /// Updates the totals and refills the teams' token buckets.
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
        // An entry that is cut off may still spend an equal share of each limit.
        let available_share =
            1.0 - as_f64(self.entry_totals.silent()) / as_f64(self.entry_totals.total());
        self.team_buckets.refill(now, route_table, available_share);
    }

    /// Grants loans on the teams' rate limits.
    pub fn grant_loans(&mut self, requests: &[LoanRequest]) -> Vec<LoanGrant> {
        requests.iter().map(|request| self.team_buckets.grant(request)).collect()
    }

    /// Assigns time slots under upstreams' rate limits to the entries, starting at `first_index`,
    /// and forgets instances that have been silent for long.
    pub fn assign_time_slots(&mut self, now: Duration, first_index: u32) {
        self.subscribers.retain(|_, it| it.is_heard_within(now, SUBSCRIBER_RETENTION));
        let mut next_index = first_index;
        for subscriber in self.subscribers.values_mut() {
            subscriber.slot_index = Some(next_index);
            subscriber.slot_width = subscriber.slot_count;
            next_index += subscriber.slot_count;
        }
        self.slot_count = next_index - first_index;
    }

    /// Returns the number of assigned time slots.
    pub fn slot_count(&self) -> u32 {
        self.slot_count
    }

    /// Returns the number of reachable entries.
    pub fn reachable_entry_count(&self, now: Duration) -> usize {
        let reachable = self.subscribers.values().filter(|it| it.is_heard_within(now, SHARE_LEASE));
        reachable.map(|it| it.entry_count as usize).sum()
    }

    /// Returns the number of entries that were recently reachable or are expected, at least 1.
    pub fn entry_count(&self) -> usize {
        self.entry_totals.total()
    }

    /// Returns the reachable cores other than this one.
    pub fn reachable_cores(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.cores_heard_within(now, SILENCE_TIMEOUT)
    }

    /// Returns the cores other than this one that were heard within this time and are not about to
    /// stop.
    pub fn staying_cores(&self, now: Duration, silence: Duration) -> impl Iterator<Item = &Peer> {
        self.cores_heard_within(now, silence)
            .filter(|peer| self.stopping_core(peer.address).is_none())
    }

    fn cores_heard_within(&self, now: Duration, silence: Duration) -> impl Iterator<Item = &Peer> {
        let heard = self.subscribers.values().filter(move |it| it.is_heard_within(now, silence));
        heard.map(|it| &it.peer).filter(|peer| peer.voter.is_some())
    }

    /// Returns the core at an address if it is about to stop, as it has said last.
    pub fn stopping_core(&self, address: SocketAddr) -> Option<&Peer> {
        self.subscribers.get(&address).filter(|it| it.is_stopping).map(|it| &it.peer)
    }

    /// Returns the cores that entries may report to.
    pub fn parent_cores(&self, now: Duration) -> Vec<ParentCore> {
        let is_stable = |subscriber: &&Subscriber| {
            subscriber.is_heard_within(now, SILENCE_TIMEOUT)
                && !subscriber.is_stopping
                && (subscriber.heard_since <= self.leading_since + STARTUP_GRACE
                    || now.saturating_sub(subscriber.heard_since) >= STABLE_CORE_TIME)
        };
        let cores = self.subscribers.values().filter(|subscriber| subscriber.peer.voter.is_some());
        let parent_core =
            |peer: &Peer| ParentCore { address: peer.address, zone: peer.zone.clone() };
        cores.filter(is_stable).map(|subscriber| parent_core(&subscriber.peer)).collect()
    }

    /// Returns the reachable entries, as far as their addresses are known.
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

    /// Recalculates the median of all clock offsets; `own_offset_ms` is this instance's offset in
    /// milliseconds.
    pub fn update_time_offset(&mut self, now: Duration, own_offset_ms: i64) {
        self.time_offset_ms = None;
        self.time_offset_ms = Some(self.time_offset_ms(now, own_offset_ms));
    }

    /// Returns the offset of the agreed time of day from the local steady clock, in milliseconds.
    /// The agreed time is the median of all clocks.
    pub fn time_offset_ms(&self, now: Duration, own_offset_ms: i64) -> i64 {
        if let Some(offset_ms) = self.time_offset_ms {
            return offset_ms;
        }
        let reachable =
            self.subscribers.values().filter(|it| it.is_heard_within(now, SILENCE_TIMEOUT));
        let offsets = reachable.map(|it| it.time_offset_ms).chain([own_offset_ms]).collect();
        clock::median(offsets).unwrap_or(own_offset_ms)
    }

    /// Returns whether the usage counts of all entries that may still report are complete up to
    /// `unix_ms`, in Unix milliseconds.
    pub fn counts_complete(&self, now: Duration, unix_ms: u64) -> bool {
        self.entry_totals.silent() == 0
            && self.counted_until(now).is_none_or(|counted_until| counted_until >= unix_ms)
    }

    /// Returns the time up to which the usage counts of all reachable subscribers are complete, in
    /// Unix milliseconds, or `None` without subscribers.
    pub fn counted_until(&self, now: Duration) -> Option<u64> {
        let reachable = self.subscribers.values().filter(|it| it.is_heard_within(now, SHARE_LEASE));
        reachable.map(|it| it.counted_until).min()
    }

    /// Returns the request counts of a usage window by team.
    pub fn window_counts(&self, window: u64) -> BTreeMap<Team, u64> {
        self.usage.totals(window)
    }

    /// Returns the engine work of all entries since this process started, by service.
    pub fn work_totals(&self) -> Vec<WorkReport> {
        let totals = self.total_work.iter();
        totals
            .map(|(service, total_ms)| WorkReport { service: service.clone(), total_ms: *total_ms })
            .collect()
    }

    /// Builds the aggregate of the entries that report here; counts are limited to those not
    /// contained up to this core's heartbeat `since`.
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

/// Converts a number of instances, which is far below the precision of a float.
fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
