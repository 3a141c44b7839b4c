//! Streams of the vouching instances, including this one.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{LatestRenewal, Registry};
use crate::frame::{
    ContentHash, Delta, DeltaEntry, FreshnessMark, Key, Pull, Renewal, StreamPosition,
};
use crate::member::Handle;
use crate::queue::{Queue, Subject};
use crate::record::Record;
use crate::stream::{Change, DeferredMark, Outcome, Stream};

/// Time without a renewal after which an instance stops vouching for an upstream.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after a change during which other instances may not have vouched for it yet.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Number of rounds in which all streams are checked for missing announcements.
const REPAIR_ROUNDS: u64 = 8;

/// Maximum number of streams.
const MAX_STREAMS: usize = 1_024;

/// Maximum number of streams, and of announcements, requested in one round.
const MAX_REQUESTS: usize = 64;

impl Registry {
    /// Handles a renewal that another instance forwards because this one is a home of the upstream.
    ///
    /// The age of a delayed or duplicated renewal is too low, and a dead upstream would be vouched
    /// for again. A renewal without a new sequence number therefore proves nothing beyond what is
    /// known.
    pub(crate) fn handle_renewal(
        &mut self,
        now: Duration,
        lag: Duration,
        renewal: &Renewal,
    ) -> RenewalOutcome {
        let key = renewal.key;
        let Some(record) = self.records.get_mut(&key) else {
            return RenewalOutcome::UnknownContent;
        };
        if record.content_hash != renewal.content_hash {
            let leaving = record.is_leaving();
            return if leaving { RenewalOutcome::Departed } else { RenewalOutcome::UnknownContent };
        }
        let Some(renewed_at) = renewal.age.to_time(now, lag) else { return RenewalOutcome::Done };
        let new = renewal.sequence > record.announcement.sequence;
        let renewed_at = if new { renewed_at } else { renewed_at.min(record.renewed_at) };
        record.announcement.sequence = record.announcement.sequence.max(renewal.sequence);
        record.renewed_at = record.renewed_at.max(renewed_at);
        let content_hash = record.content_hash;
        self.vouch(key, content_hash, renewed_at);
        self.update_lease(now, key, false);
        RenewalOutcome::Done
    }

    /// Vouches for an upstream until its renewals stop.
    pub(crate) fn vouch(&mut self, key: Key, content_hash: ContentHash, renewed_at: Duration) {
        let renewed_at = self
            .renewals
            .get(&key)
            .map_or(renewed_at, |existing| existing.renewed_at.max(renewed_at));
        self.renewals.insert(key, LatestRenewal { renewed_at, content_hash });
    }

    /// Commits the upstreams for which this instance newly vouches or no longer vouches.
    pub(crate) fn commit_changes(&mut self, now: Duration, queue: &mut Queue) {
        self.renewals
            .retain(|_, renewal| now.saturating_sub(renewal.renewed_at) <= WITHDRAW_TIMEOUT);
        let stream = self.streams.entry(self.own).or_default();
        let withdrawn = stream.keys().filter(|key| !self.renewals.contains_key(key));
        let mut changes: Vec<Change> =
            withdrawn.map(|key| Change { key, content_hash: None }).collect();
        for (key, renewal) in &self.renewals {
            if stream.content_hash(*key) != Some(renewal.content_hash) {
                changes.push(Change { key: *key, content_hash: Some(renewal.content_hash) });
            }
        }
        for version in stream.commit(&changes) {
            queue.push(Subject::Delta(self.own, version));
        }
    }

    /// Creates this instance's next freshness mark.
    pub(crate) fn advance_mark(&mut self, now: Duration, queue: &mut Queue) {
        let renewed_since =
            self.renewals.values().map(|renewal| renewal.renewed_at).min().unwrap_or(now);
        let Some(stream) = self.streams.get_mut(&self.own) else { return };
        if stream.version() > 0 {
            stream.advance_mark(renewed_since);
            queue.push(Subject::Mark(self.own));
        }
    }

    /// Returns the latest marks of all streams with their current ages.
    pub(crate) fn marks(&self, now: Duration) -> Vec<FreshnessMark> {
        self.streams
            .iter()
            .filter_map(|(handle, stream)| stream.current_mark(*handle, now))
            .collect()
    }

    /// Returns the latest mark of an instance with its current age.
    pub(crate) fn mark_of(&self, voucher: Handle, now: Duration) -> Option<FreshnessMark> {
        self.streams.get(&voucher)?.current_mark(voucher, now)
    }

    /// Handles the mark of another instance, and requests versions that must be applied first.
    pub(crate) fn handle_mark(
        &mut self,
        now: Duration,
        lag: Duration,
        mark: &FreshnessMark,
        queue: &mut Queue,
        pull: &mut Pull,
    ) {
        if mark.voucher == self.own || !self.ensure_stream(mark.voucher) {
            return;
        }
        let Some(stream) = self.streams.get_mut(&mark.voucher) else { return };
        let renewed_since = mark.age.to_time(now, lag);
        match stream.classify_mark(mark) {
            Outcome::Known => {}
            Outcome::Gap => {
                stream.defer_mark(mark, renewed_since);
                self.request_stream(mark.voucher, pull);
            }
            Outcome::New => self.apply_mark(now, mark, renewed_since, queue),
        }
    }

    /// Applies a mark, which renews all upstreams that it covers.
    pub(super) fn apply_mark(
        &mut self,
        now: Duration,
        mark: &FreshnessMark,
        renewed_since: Option<Duration>,
        queue: &mut Queue,
    ) {
        if self.streams.get(&mark.voucher).is_some_and(|it| mark.version > it.marked_version()) {
            self.save_mark_evidence(mark.voucher, |_| true);
        }
        if let Some(stream) = self.streams.get_mut(&mark.voucher) {
            stream.apply_mark(mark, renewed_since);
        }
        queue.push(Subject::Mark(mark.voucher));
        self.review_unconfirmed(now, mark.voucher);
    }

    /// Creates the stream of an instance if there is room; returns whether the stream exists.
    pub(super) fn ensure_stream(&mut self, voucher: Handle) -> bool {
        if !self.streams.contains_key(&voucher) && self.streams.len() >= MAX_STREAMS {
            return false;
        }
        self.streams.entry(voucher).or_default();
        true
    }

    pub(super) fn request_stream(&mut self, voucher: Handle, pull: &mut Pull) {
        if self.requested_streams.len() < MAX_REQUESTS && self.requested_streams.insert(voucher) {
            let version = self.streams.get(&voucher).map_or(0, Stream::version);
            pull.streams.push(StreamPosition { voucher, version });
        }
    }

    /// Requests an announcement, at most once per round.
    pub(crate) fn request_announcement(&mut self, key: Key, pull: &mut Pull) {
        if self.requested_announcements.len() < MAX_REQUESTS
            && self.requested_announcements.insert(key)
        {
            pull.announcements.push(key);
        }
    }

    /// Handles a change of another instance's stream.
    pub(crate) fn handle_delta(
        &mut self,
        now: Duration,
        delta: &Delta,
        queue: &mut Queue,
        pull: &mut Pull,
    ) {
        if delta.voucher == self.own || !self.ensure_stream(delta.voucher) {
            return;
        }
        let Some(stream) = self.streams.get(&delta.voucher) else { return };
        match stream.classify_delta(delta) {
            Outcome::Known => return,
            Outcome::Gap => return self.request_stream(delta.voucher, pull),
            Outcome::New => {}
        }
        if delta.base == 0 {
            self.remove_voucher(delta.voucher);
        }
        let changed_keys: BTreeSet<Key> = delta.entries.iter().map(|entry| entry.key).collect();
        self.save_mark_evidence(delta.voucher, |key| changed_keys.contains(&key));
        let Some(stream) = self.streams.get_mut(&delta.voucher) else { return };
        stream.apply_delta(delta);
        let deferred = stream.applicable_mark();
        for entry in &delta.entries {
            self.update_vouchers(delta.voucher, entry, pull);
        }
        if delta.base + 1 == delta.version {
            queue.push(Subject::Delta(delta.voucher, delta.version));
        }
        if let Some(DeferredMark { mark, renewed_since }) = deferred {
            self.apply_mark(now, &mark, renewed_since, queue);
        }
    }

    /// Updates the vouchers of an upstream, and requests its announcement if the content differs.
    pub(super) fn update_vouchers(&mut self, voucher: Handle, entry: &DeltaEntry, pull: &mut Pull) {
        let known = self.records.get_mut(&entry.key).map(|record| {
            record.vouchers.retain(|existing| *existing != voucher);
            if entry.content_hash.is_some() {
                record.vouchers.push(voucher);
            }
            record.content_hash
        });
        if entry.content_hash.is_some() && entry.content_hash != known {
            self.request_announcement(entry.key, pull);
        }
    }

    /// Removes an instance as voucher of all upstreams, but keeps what its marks have proved.
    pub(super) fn remove_voucher(&mut self, voucher: Handle) {
        self.save_mark_evidence(voucher, |_| true);
        let keys: Vec<Key> =
            self.streams.get(&voucher).map_or(Vec::new(), |it| it.keys().collect());
        for key in keys {
            if let Some(record) = self.records.get_mut(&key) {
                record.vouchers.retain(|existing| *existing != voucher);
            }
        }
    }

    /// Saves what an instance's marks have proved in the records, before its stream changes.
    pub(super) fn save_mark_evidence(
        &mut self,
        voucher: Handle,
        is_affected: impl Fn(Key) -> bool,
    ) {
        let Some(stream) = self.streams.get(&voucher) else { return };
        for key in stream.keys().filter(|key| is_affected(*key)) {
            let Some(record) = self.records.get_mut(&key) else { continue };
            if let Some(renewed_since) = stream.renewed_since(key, record.content_hash) {
                record.renewed_at = record.renewed_at.max(renewed_since);
            }
        }
    }

    /// Returns requests for announcements that are missing or outdated according to a stream.
    ///
    /// The response to an earlier request may be lost, and the upstream would never be used by this
    /// instance. Each round therefore checks some of the streams in turn, and the vouching instance
    /// itself is asked.
    pub(crate) fn missing_announcements(&mut self, now: Duration, round: u64) -> Vec<PullRequest> {
        let handles: Vec<Handle> = self.streams.keys().copied().collect();
        let due_slot = round % REPAIR_ROUNDS;
        let slots = (0..REPAIR_ROUNDS).cycle().zip(handles);
        let due = slots.filter(|(slot, _)| *slot == due_slot).map(|(_, handle)| handle);
        due.filter_map(|handle| self.missing_from(now, handle)).collect()
    }

    pub(super) fn missing_from(&mut self, now: Duration, voucher: Handle) -> Option<PullRequest> {
        let stream = self.streams.get(&voucher).filter(|_| voucher != self.own)?;
        let settled = |record: &Record| record.changed_at + SETTLE_TIME < now;
        let is_missing = |key: &Key| match self.records.get(key) {
            None => true,
            Some(record) => {
                settled(record) && stream.content_hash(*key) != Some(record.content_hash)
            }
        };
        let keys: Vec<Key> = stream.keys().filter(is_missing).collect();
        let mut pull = Pull::default();
        for key in keys {
            self.request_announcement(key, &mut pull);
        }
        (!pull.is_empty()).then_some(PullRequest { voucher, pull })
    }

    /// Removes the stream of an instance that has stopped or died.
    pub(crate) fn remove_stream(&mut self, voucher: Handle) {
        if voucher != self.own {
            self.remove_voucher(voucher);
            self.streams.remove(&voucher);
        }
    }

    /// Returns the changes of a stream after a version.
    pub(crate) fn deltas_since(&self, position: &StreamPosition) -> Vec<Delta> {
        let stream = self.streams.get(&position.voucher);
        stream.map_or(Vec::new(), |stream| stream.deltas_since(position.voucher, position.version))
    }

    /// Returns the changes of one version of a stream.
    pub(crate) fn delta_to(&self, voucher: Handle, version: u32) -> Option<Delta> {
        self.streams.get(&voucher)?.delta_to(voucher, version)
    }
}

/// Request to an instance that vouches for upstreams.
pub(crate) struct PullRequest {
    /// Handle of the vouching instance.
    pub(crate) voucher: Handle,
    /// What to request.
    pub(crate) pull: Pull,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    /// The renewal needs no further action.
    Done,
    /// The announced content is unknown here and must be requested.
    UnknownContent,
    /// The upstream is leaving, which the sender does not know.
    Departed,
}
