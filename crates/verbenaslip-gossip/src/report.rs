//! Opaque reports that the instances of a region exchange.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::frame::Report;
use crate::time::Age;

/// Maximum size of a report, in bytes.
pub const MAX_REPORT_BYTES: usize = 224;

/// Age at which a report of another instance is dropped.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Latest report of an instance.
pub struct StoredReport {
    version: u64,
    created_at: Duration,
    bytes: Arc<[u8]>,
}

impl StoredReport {
    /// Returns the content of the report.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the internal time at which the report was created.
    pub(crate) fn created_at(&self) -> Duration {
        self.created_at
    }
}

/// This instance's own report and the latest report of each other instance.
#[derive(Default)]
pub(crate) struct Reports {
    own: Option<StoredReport>,
    others: BTreeMap<Instance, StoredReport>,
    /// Counter of the round-robin order.
    last_index: usize,
}

impl Reports {
    /// Replaces this instance's own report; returns false when the new one is too long.
    pub(crate) fn publish(&mut self, now: Duration, bytes: Vec<u8>) -> bool {
        if bytes.len() > MAX_REPORT_BYTES {
            return false;
        }
        let version = self.own.as_ref().map_or(1, |stored| stored.version + 1);
        self.own = Some(StoredReport { version, created_at: now, bytes: bytes.into() });
        true
    }

    /// Returns this instance's own report with its current age.
    pub(crate) fn own(&self, now: Duration) -> Option<Report> {
        let stored = self.own.as_ref()?;
        let age = Age::since(now, stored.created_at);
        Some(Report { version: stored.version, age, bytes: stored.bytes.to_vec() })
    }

    /// Returns the next index below `count` in round-robin order.
    pub(crate) fn next_index(&mut self, count: usize) -> usize {
        self.last_index = self.last_index.wrapping_add(1);
        self.last_index % count.max(1)
    }

    /// Stores another instance's report if it is newer than the stored one.
    ///
    /// Returns whether the report was stored.
    pub(crate) fn handle_report(
        &mut self,
        from: &Instance,
        created_at: Option<Duration>,
        report: Report,
    ) -> bool {
        let Some(created_at) = created_at else { return false };
        let stored = self.others.get(from);
        if report.bytes.len() > MAX_REPORT_BYTES
            || stored.is_some_and(|it| it.version >= report.version)
        {
            return false;
        }
        let stored =
            StoredReport { version: report.version, created_at, bytes: report.bytes.into() };
        self.others.insert(from.clone(), stored);
        true
    }

    /// Removes the report of an instance that has stopped or died.
    pub(crate) fn remove(&mut self, instance: &Instance) {
        self.others.remove(instance);
    }

    /// Removes reports that are older than [`MAX_AGE`].
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.others.retain(|_, stored| now.saturating_sub(stored.created_at) <= MAX_AGE);
    }

    /// Iterates over the reports of the other instances.
    pub(crate) fn others(&self) -> impl Iterator<Item = (&Instance, &StoredReport)> {
        self.others.iter()
    }
}
