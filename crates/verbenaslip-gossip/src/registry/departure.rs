//! What happens when an upstream is leaving.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::name::Upstream;

use super::{Event, Gone, Registry};
use crate::frame::{ContentHash, Departure, Key};
use crate::queue::{Queue, Subject};
use crate::record::Record;

/// By how much a notice must be shorter than the one known to be told again.
const SOONER: Duration = Duration::from_millis(500);

/// The most upstreams remembered as leaving without being known otherwise.
const MAX_GONE: usize = 4_096;

impl Registry {
    /// Keeps an upstream leaving that had said so before in the same incarnation.
    ///
    /// An announcement that was on its way meanwhile, or a cloud's notice of which the upstream
    /// knows nothing, would make a leaving upstream ready again. One would notice new work sent to
    /// a machine that is being taken. So leaving is final until the incarnation rises.
    pub(super) fn keep_leaving(&self, key: Key, announcement: &mut Announcement) {
        if matches!(announcement.phase, Phase::Leaving { .. }) {
            return;
        }
        let incarnation = announcement.incarnation;
        let held = self.records.get(&key).filter(|it| it.announcement.incarnation == incarnation);
        let held = held.filter(|it| it.is_leaving()).map(|it| it.announcement.phase);
        let gone = self.gone.get(&key).filter(|it| it.incarnation >= incarnation);
        if let Some(phase) = held.or(gone.map(|_| Phase::Leaving { notice: None })) {
            announcement.phase = phase;
        }
    }

    /// Tells everybody once that an upstream is leaving.
    pub(super) fn leave(
        &mut self,
        now: Duration,
        record: &mut Record,
        said: Duration,
        queue: &mut Queue,
    ) {
        let Phase::Leaving { notice } = record.announcement.phase else { return };
        let notice = notice.map(|notice| said + Duration::from_millis(u64::from(notice)));
        let sooner = match (record.deadline, notice) {
            (Some(held), Some(new)) => new + SOONER < held,
            (held, new) => held.is_none() && new.is_some(),
        };
        if sooner {
            record.deadline = notice;
        }
        if record.told && !sooner {
            return;
        }
        record.told = true;
        let notice = record.deadline.map(|deadline| deadline.saturating_sub(now));
        let upstream = record.announcement.upstream.clone();
        self.events.push(Event::Leaving { upstream, notice });
        queue.push(Subject::Leaving(record.key));
    }

    /// Takes what the cloud says: an upstream is taken away after so many milliseconds.
    pub(crate) fn reclaim(
        &mut self,
        now: Duration,
        upstream: &Upstream,
        notice: u32,
        queue: &mut Queue,
    ) -> bool {
        let key = Key::of(upstream);
        let Some(record) = self.records.get(&key) else { return false };
        let Announcement { incarnation, sequence, .. } = record.announcement;
        let notice = Some(notice);
        self.depart(now, &Departure { key, incarnation, sequence, notice }, queue);
        true
    }

    /// Takes the news that an upstream is leaving.
    pub(crate) fn depart(&mut self, now: Duration, leaving: &Departure, queue: &mut Queue) {
        let Departure { key, incarnation, sequence, notice } = *leaving;
        let Some(mut record) = self.records.remove(&key) else {
            self.bury(now, leaving, queue);
            return;
        };
        if record.announcement.incarnation > incarnation {
            self.records.insert(key, record);
            return;
        }
        record.fresh = self.fresh(&record);
        if record.announcement.incarnation < incarnation {
            record.announcement.incarnation = incarnation;
            record.announcement.sequence = sequence;
            record.told = false;
            record.deadline = None;
        }
        record.announcement.sequence = record.announcement.sequence.max(sequence);
        let changed = !record.is_leaving();
        record.announcement.phase = Phase::Leaving { notice };
        record.check = ContentHash::of(&record.announcement);
        record.touched = now;
        self.leave(now, &mut record, now, queue);
        self.records.insert(key, record);
        self.review(now, key, changed);
    }

    pub(super) fn bury(&mut self, now: Duration, leaving: &Departure, queue: &mut Queue) {
        let Departure { key, incarnation, sequence, .. } = *leaving;
        if self.gone.get(&key).is_some_and(|it| it.incarnation >= incarnation) {
            return;
        }
        if self.gone.len() >= MAX_GONE {
            let oldest = self.gone.iter().min_by_key(|(_, gone)| gone.since).map(|(key, _)| *key);
            oldest.and_then(|key| self.gone.remove(&key));
        }
        self.gone.insert(key, Gone { incarnation, sequence, since: now });
        queue.push(Subject::Leaving(key));
    }

    /// Returns the news that an upstream is leaving as it is told now.
    pub(crate) fn leaving(&self, key: Key, now: Duration) -> Option<Departure> {
        if let Some(record) = self.records.get(&key).filter(|record| record.is_leaving()) {
            let Announcement { incarnation, sequence, .. } = record.announcement;
            let left = |at: Duration| at.saturating_sub(now).as_millis() as u32;
            return Some(Departure {
                key,
                incarnation,
                sequence,
                notice: record.deadline.map(left),
            });
        }
        let Gone { incarnation, sequence, .. } = *self.gone.get(&key)?;
        Some(Departure { key, incarnation, sequence, notice: None })
    }
}
