//! Opaque reports that instances of a region give each other.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::frame::Report;
use crate::time::Age;

/// The most bytes in a report.
pub const MAX_REPORT_BYTES: usize = 224;

/// How old a report of another instance may get before it is dropped.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Holds the newest report of an instance.
pub struct StoredReport {
    version: u64,
    created_at: Duration,
    bytes: Arc<[u8]>,
}

impl StoredReport {
    /// Returns what it says.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns when it was made, by the clock of [`crate::Gossip::reports`].
    pub(crate) fn created_at(&self) -> Duration {
        self.created_at
    }
}

/// Holds this instance's own report and the newest one of each other instance.
#[derive(Default)]
pub(crate) struct Reports {
    own: Option<StoredReport>,
    others: BTreeMap<Instance, StoredReport>,
    last_index: usize,
}

impl Reports {
    /// Replaces this instance's own report; one that is too long is cut away whole.
    pub(crate) fn publish(&mut self, now: Duration, bytes: Vec<u8>) -> bool {
        if bytes.len() > MAX_REPORT_BYTES {
            return false;
        }
        let version = self.own.as_ref().map_or(1, |stored| stored.version + 1);
        self.own = Some(StoredReport { version, created_at: now, bytes: bytes.into() });
        true
    }

    /// Returns this instance's own report as it is told now.
    pub(crate) fn own(&self, now: Duration) -> Option<Report> {
        let stored = self.own.as_ref()?;
        let age = Age::since(now, stored.created_at);
        Some(Report { version: stored.version, age, bytes: stored.bytes.to_vec() })
    }

    /// Returns whose turn it is among so many, and goes on.
    pub(crate) fn next_index(&mut self, count: usize) -> usize {
        self.last_index = self.last_index.wrapping_add(1);
        self.last_index % count.max(1)
    }

    /// Takes another instance's report when it is newer than the one held.
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

    /// Drops the report of an instance that is over.
    pub(crate) fn remove(&mut self, instance: &Instance) {
        self.others.remove(instance);
    }

    /// Drops reports that are too old to say anything.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.others.retain(|_, stored| now.saturating_sub(stored.created_at) <= MAX_AGE);
    }

    /// Goes through the reports of the others.
    pub(crate) fn others(&self) -> impl Iterator<Item = (&Instance, &StoredReport)> {
        self.others.iter()
    }
}
