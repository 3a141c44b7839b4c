//! A model of a data directory that contains only synced writes.

use verbenaslip_replica::storage::{Recovered, Write};
use verbenaslip_replica::voter::Identity;

/// Holds the durable content of a data directory.
#[derive(Clone, Debug)]
pub struct Disk {
    pub content: Recovered,
}

impl Disk {
    /// Returns a new data directory.
    pub fn new(identity: u128) -> Self {
        Self { content: Recovered::empty(Identity(identity)) }
    }

    /// Applies one write.
    pub fn apply(&mut self, write: Write) {
        let entries = &mut self.content.entries;
        match write {
            Write::HardState(hard) => self.content.hard_state = hard,
            Write::Append(more) => entries.extend(more),
            Write::Truncate { from } => entries.retain(|entry| entry.position.index < from),
            Write::Compact { snapshot, first } => {
                entries.retain(|entry| entry.position.index >= first);
                self.content.snapshot = Some(snapshot);
            }
            Write::Install(snapshot) => {
                entries.clear();
                self.content.snapshot = Some(snapshot);
            }
        }
    }
}
