//! Leases that run out, and doubt whether they have.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Event, MEMORY, Registry};
use crate::frame::Key;
use crate::member::Handle;
use crate::record::{LeaseStatus, Record};

/// How long doubtful upstreams have to be confirmed once this instance is no longer cut off.
const GRACE: Duration = Duration::from_secs(3);

impl Registry {
    /// Looks again at the upstreams that are not confirmed and that an instance vouches for.
    pub(super) fn review_loose(&mut self, now: Duration, voucher: Handle) {
        let Some(stream) = self.streams.get(&voucher) else { return };
        let keys: Vec<Key> =
            self.loose.iter().filter(|key| stream.check(**key).is_some()).copied().collect();
        for key in keys {
            self.review(now, key, false);
        }
    }

    /// Tells when an upstream has become confirmed or changed.
    pub(super) fn review(&mut self, now: Duration, key: Key, changed: bool) {
        let Some(record) = self.records.get(&key) else { return };
        let due = self.fresh(record) + self.lease;
        let before = record.lease_status;
        let upstream = record.announcement.upstream.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        record.due = due;
        if due <= now {
            self.loose.insert(key);
            return;
        }
        record.lease_status = LeaseStatus::Confirmed;
        self.loose.remove(&key);
        if before == LeaseStatus::Lapsed {
            self.events.push(Event::Appeared(upstream));
        } else if changed {
            self.events.push(Event::Changed(upstream));
        }
    }

    /// Looks for leases that have run out; `doubt` says that this instance may be cut off.
    pub(crate) fn sweep(&mut self, now: Duration, doubt: bool) {
        self.asked_streams.clear();
        self.asked_sheets.clear();
        if doubt {
            self.trusted = now + GRACE;
        }
        let due =
            |record: &&Record| record.due <= now && record.lease_status != LeaseStatus::Lapsed;
        let keys: Vec<Key> = self.records().filter(due).map(|record| record.key).collect();
        for key in keys {
            self.lapse(now, key);
        }
        self.clear_doubts();
        self.forget(now);
    }

    /// Ends the use of an upstream whose lease has run out, unless marks renewed it meanwhile.
    ///
    /// When this instance is cut off, it sees all leases run out at once. One would notice whole
    /// availability zones vanish from its view, and streams moved off healthy upstreams. So these
    /// count as doubtful: they get no new work, but are not reported as lost.
    pub(super) fn lapse(&mut self, now: Duration, key: Key) {
        self.review(now, key, false);
        let doubt = now < self.trusted;
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.due > now {
            return;
        }
        let zone = record.announcement.zone.clone();
        if doubt {
            record.lease_status = LeaseStatus::Doubtful;
            if self.doubted.insert(zone.clone()) {
                self.events.push(Event::ZoneDoubtful(zone));
            }
        } else {
            record.lease_status = LeaseStatus::Lapsed;
            self.events.push(Event::Lapsed(record.announcement.upstream.clone()));
        }
    }

    pub(super) fn clear_doubts(&mut self) {
        if self.doubted.is_empty() {
            return;
        }
        let doubtful = self.records.values().filter(|it| it.lease_status == LeaseStatus::Doubtful);
        let zones: BTreeSet<_> = doubtful.map(|it| it.announcement.zone.clone()).collect();
        for zone in self.doubted.difference(&zones) {
            self.events.push(Event::ZoneCleared(zone.clone()));
        }
        self.doubted = zones;
    }

    pub(super) fn forget(&mut self, now: Duration) {
        let records = &self.records;
        let old =
            |key: &&Key| records.get(key).is_none_or(|it| it.due.max(it.touched) + MEMORY < now);
        let old: Vec<Key> = self.loose.iter().filter(old).copied().collect();
        for key in old {
            self.remove(key);
        }
        self.gone.retain(|_, gone| gone.since + MEMORY >= now);
    }
}
