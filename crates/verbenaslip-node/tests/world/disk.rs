//! A voter's data directory in memory; synced writes survive a crash.

use std::sync::Arc;

use verbenaslip_replica::storage::{Recovered, Write};
use verbenaslip_replica::voter::Identity;

/// Holds the synced content and the pending writes.
pub struct Disk {
    synced: Recovered,
    pending: Vec<PendingWrite>,
}

/// Holds a write that is not synced yet.
struct PendingWrite {
    sequence: u64,
    write: Write,
}

impl Disk {
    /// Creates a data directory with its own identity.
    pub fn new(number: usize) -> Self {
        let synced = Recovered::empty(Identity(number as u128 + 1));
        Self { synced, pending: Vec::new() }
    }

    /// Adds a write that is not synced yet.
    pub fn write(&mut self, sequence: u64, write: Write) {
        self.pending.push(PendingWrite { sequence, write });
    }

    /// Syncs all writes up to a sequence number.
    pub fn sync(&mut self, sequence: u64) {
        for pending in std::mem::take(&mut self.pending) {
            if pending.sequence <= sequence {
                apply(&mut self.synced, pending.write);
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Discards the writes that are not synced.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns the content that a start recovers.
    pub fn recovered(&self) -> Recovered {
        self.synced.clone().without_stale_entries()
    }
}

fn apply(content: &mut Recovered, write: Write) {
    match write {
        Write::HardState(hard) => content.hard_state = hard,
        Write::Append(entries) => content.entries.extend(entries),
        Write::Truncate { from } => content.entries.retain(|entry| entry.position.index < from),
        Write::Compact { snapshot, first } => {
            content.snapshot = Some(Arc::clone(&snapshot));
            content.entries.retain(|entry| entry.position.index >= first);
        }
        Write::Install(snapshot) => {
            content.snapshot = Some(snapshot);
            content.entries.clear();
        }
    }
}
