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
pub struct Held {
    version: u64,
    made: Duration,
    bytes: Arc<[u8]>,
}

impl Held {
    /// Returns what it says.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns when it was made, by the clock of [`crate::Gossip::reports`].
    pub(crate) fn made(&self) -> Duration {
        self.made
    }
}

/// Holds this instance's own report and the newest one of each other instance.
#[derive(Default)]
pub(crate) struct Reports {
    own: Option<Held>,
    others: BTreeMap<Instance, Held>,
    turn: usize,
}

impl Reports {
    /// Replaces this instance's own report; one that is too long is cut away whole.
    pub(crate) fn publish(&mut self, now: Duration, bytes: Vec<u8>) -> bool {
        if bytes.len() > MAX_REPORT_BYTES {
            return false;
        }
        let version = self.own.as_ref().map_or(1, |held| held.version + 1);
        self.own = Some(Held { version, made: now, bytes: bytes.into() });
        true
    }

    /// Returns this instance's own report as it is told now.
    pub(crate) fn own(&self, now: Duration) -> Option<Report> {
        let held = self.own.as_ref()?;
        let age = Age::of(now, held.made);
        Some(Report { version: held.version, age, bytes: held.bytes.to_vec() })
    }

    /// Returns whose turn it is among so many, and goes on.
    pub(crate) fn next(&mut self, count: usize) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn % count.max(1)
    }

    /// Takes another instance's report when it is newer than the one held.
    pub(crate) fn take(&mut self, from: &Instance, made: Option<Duration>, report: Report) -> bool {
        let Some(made) = made else { return false };
        let held = self.others.get(from);
        if report.bytes.len() > MAX_REPORT_BYTES
            || held.is_some_and(|it| it.version >= report.version)
        {
            return false;
        }
        let held = Held { version: report.version, made, bytes: report.bytes.into() };
        self.others.insert(from.clone(), held);
        true
    }

    /// Drops the report of an instance that is over.
    pub(crate) fn forget(&mut self, instance: &Instance) {
        self.others.remove(instance);
    }

    /// Drops reports that are too old to say anything.
    pub(crate) fn age(&mut self, now: Duration) {
        self.others.retain(|_, held| now.saturating_sub(held.made) <= MAX_AGE);
    }

    /// Goes through the reports of the others.
    pub(crate) fn others(&self) -> impl Iterator<Item = (&Instance, &Held)> {
        self.others.iter()
    }
}
