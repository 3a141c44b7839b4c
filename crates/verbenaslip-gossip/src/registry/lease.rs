//! Expiration of leases.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Event, RETENTION, Registry};
use crate::frame::Key;
use crate::member::Handle;
use crate::record::{LeaseStatus, Record};

/// Time that doubtful upstreams have to be confirmed once this instance is no longer isolated.
const RECONNECT_GRACE: Duration = Duration::from_secs(3);

impl Registry {
    /// Updates the leases of the unconfirmed upstreams for which an instance vouches.
    pub(super) fn review_unconfirmed(&mut self, now: Duration, voucher: Handle) {
        let Some(stream) = self.streams.get(&voucher) else { return };
        let keys: Vec<Key> = self
            .unconfirmed
            .iter()
            .filter(|key| stream.content_hash(**key).is_some())
            .copied()
            .collect();
        for key in keys {
            self.update_lease(now, key, false);
        }
    }

    /// Updates an upstream's lease and emits an event if it became confirmed or has changed.
    pub(super) fn update_lease(&mut self, now: Duration, key: Key, changed: bool) {
        let Some(record) = self.records.get(&key) else { return };
        let expires_at = self.renewed_at(record) + self.lease;
        let before = record.lease_status;
        let upstream = record.announcement.upstream.clone();
        let Some(record) = self.records.get_mut(&key) else { return };
        record.expires_at = expires_at;
        if expires_at <= now {
            self.unconfirmed.insert(key);
            return;
        }
        record.lease_status = LeaseStatus::Confirmed;
        self.unconfirmed.remove(&key);
        if before == LeaseStatus::Lapsed {
            self.events.push(Event::Appeared(upstream));
        } else if changed {
            self.events.push(Event::Changed(upstream));
        }
    }

    /// Expires leases that have run out, as doubtful if this instance may be cut off.
    pub(crate) fn expire_leases(&mut self, now: Duration, may_be_cut_off: bool) {
        self.requested_streams.clear();
        self.requested_announcements.clear();
        if may_be_cut_off {
            self.doubt_until = now + RECONNECT_GRACE;
        }
        let has_expired = |record: &&Record| {
            record.expires_at <= now && record.lease_status != LeaseStatus::Lapsed
        };
        let keys: Vec<Key> = self.records().filter(has_expired).map(|record| record.key).collect();
        for key in keys {
            self.expire_lease(now, key);
        }
        self.update_doubtful_zones();
        self.remove_expired(now);
    }

    /// Expires the lease of an upstream, unless marks have renewed it in the meantime.
    ///
    /// An instance that is cut off sees all leases run out at once. Whole availability zones would
    /// disappear from its view, and streams would be moved off healthy upstreams. Such upstreams
    /// therefore become doubtful: they get no new work, but are not reported as lost.
    pub(super) fn expire_lease(&mut self, now: Duration, key: Key) {
        self.update_lease(now, key, false);
        let is_doubtful = now < self.doubt_until;
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.expires_at > now {
            return;
        }
        let zone = record.announcement.zone.clone();
        if is_doubtful {
            record.lease_status = LeaseStatus::Doubtful;
            if self.doubtful_zones.insert(zone.clone()) {
                self.events.push(Event::ZoneDoubtful(zone));
            }
        } else {
            record.lease_status = LeaseStatus::Lapsed;
            self.events.push(Event::Lapsed(record.announcement.upstream.clone()));
        }
    }

    pub(super) fn update_doubtful_zones(&mut self) {
        if self.doubtful_zones.is_empty() {
            return;
        }
        let doubtful = self.records.values().filter(|it| it.lease_status == LeaseStatus::Doubtful);
        let zones: BTreeSet<_> = doubtful.map(|it| it.announcement.zone.clone()).collect();
        for zone in self.doubtful_zones.difference(&zones) {
            self.events.push(Event::ZoneCleared(zone.clone()));
        }
        self.doubtful_zones = zones;
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        let records = &self.records;
        let old = |key: &&Key| {
            records.get(key).is_none_or(|it| it.expires_at.max(it.changed_at) + RETENTION < now)
        };
        let old: Vec<Key> = self.unconfirmed.iter().filter(old).copied().collect();
        for key in old {
            self.remove(key);
        }
        self.departures.retain(|_, gone| gone.recorded_at + RETENTION >= now);
    }
}
