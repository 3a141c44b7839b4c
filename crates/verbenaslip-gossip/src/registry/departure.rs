//! Departures of upstreams.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::name::Upstream;

use super::{Event, PastDeparture, Registry};
use crate::frame::{ContentHash, Departure, Key};
use crate::queue::{Queue, Subject};
use crate::record::Record;

/// Minimum time by which a notice must be shortened to be published again.
const MIN_NOTICE_REDUCTION: Duration = Duration::from_millis(500);

/// Maximum number of stored departures of upstreams that are not known otherwise.
const MAX_PAST_DEPARTURES: usize = 4_096;

impl Registry {
    /// Keeps an upstream leaving if its current incarnation has departed before.
    ///
    /// An announcement that was delayed, or that was made without knowledge of the cloud's notice,
    /// would make a leaving upstream ready again, and new work would go to a machine that is being
    /// taken away. A departure is therefore final until the incarnation rises.
    pub(super) fn keep_departure(&self, key: Key, announcement: &mut Announcement) {
        if matches!(announcement.phase, Phase::Leaving { .. }) {
            return;
        }
        let incarnation = announcement.incarnation;
        let existing =
            self.records.get(&key).filter(|it| it.announcement.incarnation == incarnation);
        let existing = existing.filter(|it| it.is_leaving()).map(|it| it.announcement.phase);
        let past = self.departures.get(&key).filter(|it| it.incarnation >= incarnation);
        if let Some(phase) = existing.or(past.map(|_| Phase::Leaving { notice: None })) {
            announcement.phase = phase;
        }
    }

    /// Publishes an upstream's departure once, and again when its notice is shortened.
    pub(super) fn publish_departure(
        &mut self,
        now: Duration,
        record: &mut Record,
        notice_start: Duration,
        queue: &mut Queue,
    ) {
        let Phase::Leaving { notice } = record.announcement.phase else { return };
        let notice = notice.map(|notice| notice_start + Duration::from_millis(u64::from(notice)));
        let sooner = match (record.deadline, notice) {
            (Some(existing), Some(new)) => new + MIN_NOTICE_REDUCTION < existing,
            (existing, new) => existing.is_none() && new.is_some(),
        };
        if sooner {
            record.deadline = notice;
        }
        if record.departure_published && !sooner {
            return;
        }
        record.departure_published = true;
        let notice = record.deadline.map(|deadline| deadline.saturating_sub(now));
        let upstream = record.announcement.upstream.clone();
        self.events.push(Event::Leaving { upstream, notice });
        queue.push(Subject::Departure(record.key));
    }

    /// Handles the cloud's notice, in milliseconds, that it takes an upstream away.
    ///
    /// Returns whether the upstream is known.
    pub(crate) fn handle_reclaim(
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
        self.handle_departure(now, &Departure { key, incarnation, sequence, notice }, queue);
        true
    }

    /// Handles the departure of an upstream that another instance or the cloud reports.
    pub(crate) fn handle_departure(
        &mut self,
        now: Duration,
        departure: &Departure,
        queue: &mut Queue,
    ) {
        let Departure { key, incarnation, sequence, notice } = *departure;
        let Some(mut record) = self.records.remove(&key) else {
            self.remember_departure(now, departure, queue);
            return;
        };
        if record.announcement.incarnation > incarnation {
            self.records.insert(key, record);
            return;
        }
        record.renewed_at = self.renewed_at(&record);
        if record.announcement.incarnation < incarnation {
            record.announcement.incarnation = incarnation;
            record.announcement.sequence = sequence;
            record.departure_published = false;
            record.deadline = None;
        }
        record.announcement.sequence = record.announcement.sequence.max(sequence);
        let changed = !record.is_leaving();
        record.announcement.phase = Phase::Leaving { notice };
        record.content_hash = ContentHash::of(&record.announcement);
        record.changed_at = now;
        self.publish_departure(now, &mut record, now, queue);
        self.records.insert(key, record);
        self.update_lease(now, key, changed);
    }

    pub(super) fn remember_departure(
        &mut self,
        now: Duration,
        departure: &Departure,
        queue: &mut Queue,
    ) {
        let Departure { key, incarnation, sequence, .. } = *departure;
        if self.departures.get(&key).is_some_and(|it| it.incarnation >= incarnation) {
            return;
        }
        if self.departures.len() >= MAX_PAST_DEPARTURES {
            let oldest = self
                .departures
                .iter()
                .min_by_key(|(_, past)| past.recorded_at)
                .map(|(key, _)| *key);
            oldest.and_then(|key| self.departures.remove(&key));
        }
        self.departures.insert(key, PastDeparture { incarnation, sequence, recorded_at: now });
        queue.push(Subject::Departure(key));
    }

    /// Returns the departure of an upstream with the remaining time of its notice.
    pub(crate) fn departure(&self, key: Key, now: Duration) -> Option<Departure> {
        if let Some(record) = self.records.get(&key).filter(|record| record.is_leaving()) {
            let Announcement { incarnation, sequence, .. } = record.announcement;
            let left = |deadline: Duration| deadline.saturating_sub(now).as_millis() as u32;
            return Some(Departure {
                key,
                incarnation,
                sequence,
                notice: record.deadline.map(left),
            });
        }
        let PastDeparture { incarnation, sequence, .. } = *self.departures.get(&key)?;
        Some(Departure { key, incarnation, sequence, notice: None })
    }
}
