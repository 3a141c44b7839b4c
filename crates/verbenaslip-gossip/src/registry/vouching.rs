//! Who vouches for which upstreams, here and at others.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Registry, Renewed};
use crate::frame::{
    ContentHash, Delta, DeltaEntry, FreshnessMark, Key, Pull, Renewal, StreamPosition,
};
use crate::member::Handle;
use crate::queue::{Queue, Subject};
use crate::record::Record;
use crate::stream::{Change, Outcome, Parked, Stream};

/// After how long without a renewal an instance vouches for an upstream no longer.
const WITHDRAW: Duration = Duration::from_secs(3);

/// How long after a change others may be about to vouch for it.
const SETTLE: Duration = Duration::from_secs(2);

/// In how many rounds all streams are looked through for what is lacking.
const REPAIR_ROUNDS: u64 = 8;

/// The most streams kept.
const MAX_STREAMS: usize = 1_024;

/// The most that is asked for in one round.
const MAX_ASKED: usize = 64;

impl Registry {
    /// Takes a renewal that another instance passes on because this one vouches for the upstream.
    ///
    /// One that is late or doubled says less age than it has. One would notice a dead upstream
    /// vouched for again. So unless its sequence is new, it proves nothing beyond what is known.
    pub(crate) fn renew(&mut self, now: Duration, lag: Duration, renewal: &Renewal) -> Renew {
        let key = renewal.key;
        let Some(record) = self.records.get_mut(&key) else { return Renew::Lacking };
        if record.check != renewal.content_hash {
            let leaving = record.is_leaving();
            return if leaving { Renew::Leaving } else { Renew::Lacking };
        }
        let Some(at) = renewal.age.then(now, lag) else { return Renew::Done };
        let new = renewal.sequence > record.announcement.sequence;
        let at = if new { at } else { at.min(record.fresh) };
        record.announcement.sequence = record.announcement.sequence.max(renewal.sequence);
        record.fresh = record.fresh.max(at);
        let check = record.check;
        self.vouch(key, check, at);
        self.review(now, key, false);
        Renew::Done
    }

    /// Vouches for an upstream from now on, until its renewals cease.
    pub(crate) fn vouch(&mut self, key: Key, check: ContentHash, at: Duration) {
        let at = self.renewed.get(&key).map_or(at, |held| held.at.max(at));
        self.renewed.insert(key, Renewed { at, check });
    }

    /// Commits what this instance vouches for anew or no longer.
    pub(crate) fn commit(&mut self, now: Duration, queue: &mut Queue) {
        self.renewed.retain(|_, renewed| now.saturating_sub(renewed.at) <= WITHDRAW);
        let stream = self.streams.entry(self.own).or_default();
        let withdrawn = stream.keys().filter(|key| !self.renewed.contains_key(key));
        let mut changes: Vec<Change> = withdrawn.map(|key| Change { key, check: None }).collect();
        for (key, renewed) in &self.renewed {
            if stream.check(*key) != Some(renewed.check) {
                changes.push(Change { key: *key, check: Some(renewed.check) });
            }
        }
        for version in stream.commit(&changes) {
            queue.push(Subject::Delta(self.own, version));
        }
    }

    /// Makes this instance's next freshness mark.
    pub(crate) fn mark(&mut self, now: Duration, queue: &mut Queue) {
        let born = self.renewed.values().map(|renewed| renewed.at).min().unwrap_or(now);
        let Some(stream) = self.streams.get_mut(&self.own) else { return };
        if stream.version() > 0 {
            stream.mark(born);
            queue.push(Subject::Mark(self.own));
        }
    }

    /// Returns all newest marks as they are told now.
    pub(crate) fn marks(&self, now: Duration) -> Vec<FreshnessMark> {
        self.streams.iter().filter_map(|(handle, stream)| stream.said(*handle, now)).collect()
    }

    /// Returns the newest mark of an instance as it is told now.
    pub(crate) fn marked(&self, voucher: Handle, now: Duration) -> Option<FreshnessMark> {
        self.streams.get(&voucher)?.said(voucher, now)
    }

    /// Takes the mark of another instance; what is missing first is added to what to ask for.
    pub(crate) fn accept(
        &mut self,
        now: Duration,
        lag: Duration,
        mark: &FreshnessMark,
        queue: &mut Queue,
        pull: &mut Pull,
    ) {
        if mark.voucher == self.own || !self.admit(mark.voucher) {
            return;
        }
        let Some(stream) = self.streams.get_mut(&mark.voucher) else { return };
        let born = mark.age.then(now, lag);
        match stream.weigh(mark) {
            Outcome::Known => {}
            Outcome::Gap => {
                stream.park(mark, born);
                self.ask_stream(mark.voucher, pull);
            }
            Outcome::News => self.renew_all(now, mark, born, queue),
        }
    }

    /// Renews all upstreams that a mark covers.
    pub(super) fn renew_all(
        &mut self,
        now: Duration,
        mark: &FreshnessMark,
        born: Option<Duration>,
        queue: &mut Queue,
    ) {
        if self.streams.get(&mark.voucher).is_some_and(|it| mark.version > it.marked()) {
            self.settle(mark.voucher, |_| true);
        }
        if let Some(stream) = self.streams.get_mut(&mark.voucher) {
            stream.accept(mark, born);
        }
        queue.push(Subject::Mark(mark.voucher));
        self.review_loose(now, mark.voucher);
    }

    /// Makes room for the stream of an instance.
    pub(super) fn admit(&mut self, voucher: Handle) -> bool {
        if !self.streams.contains_key(&voucher) && self.streams.len() >= MAX_STREAMS {
            return false;
        }
        self.streams.entry(voucher).or_default();
        true
    }

    pub(super) fn ask_stream(&mut self, voucher: Handle, pull: &mut Pull) {
        if self.asked_streams.len() < MAX_ASKED && self.asked_streams.insert(voucher) {
            let version = self.streams.get(&voucher).map_or(0, Stream::version);
            pull.streams.push(StreamPosition { voucher, version });
        }
    }

    /// Adds an announcement to what to ask for, once a round.
    pub(crate) fn ask_sheet(&mut self, key: Key, pull: &mut Pull) {
        if self.asked_sheets.len() < MAX_ASKED && self.asked_sheets.insert(key) {
            pull.announcements.push(key);
        }
    }

    /// Takes what another instance vouches for anew or no longer.
    pub(crate) fn change(
        &mut self,
        now: Duration,
        delta: &Delta,
        queue: &mut Queue,
        pull: &mut Pull,
    ) {
        if delta.voucher == self.own || !self.admit(delta.voucher) {
            return;
        }
        let Some(stream) = self.streams.get(&delta.voucher) else { return };
        match stream.weigh_delta(delta) {
            Outcome::Known => return,
            Outcome::Gap => return self.ask_stream(delta.voucher, pull),
            Outcome::News => {}
        }
        if delta.base == 0 {
            self.detach(delta.voucher);
        }
        let touched: BTreeSet<Key> = delta.entries.iter().map(|entry| entry.key).collect();
        self.settle(delta.voucher, |key| touched.contains(&key));
        let Some(stream) = self.streams.get_mut(&delta.voucher) else { return };
        stream.apply(delta);
        let parked = stream.parked();
        for entry in &delta.entries {
            self.attach(delta.voucher, entry, pull);
        }
        if delta.base + 1 == delta.version {
            queue.push(Subject::Delta(delta.voucher, delta.version));
        }
        if let Some(Parked { mark, born }) = parked {
            self.renew_all(now, &mark, born, queue);
        }
    }

    /// Notes who vouches, and asks for the content when it is not the one held.
    pub(super) fn attach(&mut self, voucher: Handle, entry: &DeltaEntry, pull: &mut Pull) {
        let known = self.records.get_mut(&entry.key).map(|record| {
            record.vouchers.retain(|held| *held != voucher);
            if entry.content_hash.is_some() {
                record.vouchers.push(voucher);
            }
            record.check
        });
        if entry.content_hash.is_some() && entry.content_hash != known {
            self.ask_sheet(entry.key, pull);
        }
    }

    /// Forgets what an instance vouched for, but not what its marks had proved.
    pub(super) fn detach(&mut self, voucher: Handle) {
        self.settle(voucher, |_| true);
        let keys: Vec<Key> =
            self.streams.get(&voucher).map_or(Vec::new(), |it| it.keys().collect());
        for key in keys {
            if let Some(record) = self.records.get_mut(&key) {
                record.vouchers.retain(|held| *held != voucher);
            }
        }
    }

    /// Writes what an instance's marks have proved into the records before the stream changes.
    pub(super) fn settle(&mut self, voucher: Handle, touched: impl Fn(Key) -> bool) {
        let Some(stream) = self.streams.get(&voucher) else { return };
        for key in stream.keys().filter(|key| touched(*key)) {
            let Some(record) = self.records.get_mut(&key) else { continue };
            if let Some(born) = stream.covers(key, record.check) {
                record.fresh = record.fresh.max(born);
            }
        }
    }

    /// Asks for announcements that instances vouch for and that are not held as such.
    ///
    /// The answer to an earlier question may be lost. One would notice an upstream that one
    /// instance alone never uses. So each round some of the streams are looked through in turn,
    /// and the instance that vouches is asked itself.
    pub(crate) fn repair(&mut self, now: Duration, round: u64) -> Vec<Question> {
        let handles: Vec<Handle> = self.streams.keys().copied().collect();
        let part = round % REPAIR_ROUNDS;
        let turn = (0..REPAIR_ROUNDS).cycle().zip(handles);
        let due = turn.filter(|(place, _)| *place == part).map(|(_, handle)| handle);
        due.filter_map(|handle| self.lacking(now, handle)).collect()
    }

    pub(super) fn lacking(&mut self, now: Duration, voucher: Handle) -> Option<Question> {
        let stream = self.streams.get(&voucher).filter(|_| voucher != self.own)?;
        let settled = |record: &Record| record.touched + SETTLE < now;
        let lacking = |key: &Key| match self.records.get(key) {
            None => true,
            Some(record) => settled(record) && stream.check(*key) != Some(record.check),
        };
        let keys: Vec<Key> = stream.keys().filter(lacking).collect();
        let mut pull = Pull::default();
        for key in keys {
            self.ask_sheet(key, &mut pull);
        }
        (!pull.is_empty()).then_some(Question { voucher, pull })
    }

    /// Drops the stream of an instance that is over or dead.
    pub(crate) fn retire(&mut self, voucher: Handle) {
        if voucher != self.own {
            self.detach(voucher);
            self.streams.remove(&voucher);
        }
    }

    /// Returns the changes of a stream after a version.
    pub(crate) fn since(&self, since: &StreamPosition) -> Vec<Delta> {
        let stream = self.streams.get(&since.voucher);
        stream.map_or(Vec::new(), |stream| stream.since(since.voucher, since.version))
    }

    /// Returns the change that led to a version of a stream.
    pub(crate) fn delta(&self, voucher: Handle, version: u32) -> Option<Delta> {
        self.streams.get(&voucher)?.step(voucher, version)
    }
}

/// What to ask an instance that vouches for upstreams.
pub(crate) struct Question {
    /// The instance.
    pub(crate) voucher: Handle,
    /// What is lacking.
    pub(crate) pull: Pull,
}

/// Says what a renewal met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Renew {
    /// Nothing is left to do.
    Done,
    /// The content is not known here: ask for it.
    Lacking,
    /// The upstream is leaving, which the sender does not know.
    Leaving,
}
