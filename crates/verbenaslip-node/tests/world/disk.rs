//! A voter's data folder in memory: what is synced survives.

use std::sync::Arc;

use verbenaslip_replica::storage::{Recovered, Write};
use verbenaslip_replica::voter::Identity;

/// Holds a folder's content, synced and not.
pub struct Disk {
    synced: Recovered,
    pending: Vec<PendingWrite>,
}

/// Holds a write that does not last yet.
struct PendingWrite {
    sequence: u64,
    write: Write,
}

impl Disk {
    /// Creates a folder with an identity of its own.
    pub fn new(number: usize) -> Self {
        let synced = Recovered::empty(Identity(number as u128 + 1));
        Self { synced, pending: Vec::new() }
    }

    /// Takes a write that does not last yet.
    pub fn write(&mut self, sequence: u64, write: Write) {
        self.pending.push(PendingWrite { sequence, write });
    }

    /// Makes all writes up to a mark last.
    pub fn sync(&mut self, sequence: u64) {
        for pending in std::mem::take(&mut self.pending) {
            if pending.sequence <= sequence {
                apply(&mut self.synced, pending.write);
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Loses what does not last.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns what a start finds.
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
