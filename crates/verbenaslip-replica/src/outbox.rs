//! Holds messages back until the writes they depend on are durable.

use std::collections::VecDeque;

use crate::output::Output;
use crate::storage::Write;

/// The most messages that wait for the disk; the oldest go first, as if the network had lost them.
const MAX_HELD_OUTPUTS: usize = 1024;

/// Numbers the writes and keeps what waits for them.
///
/// If a vote or an acknowledgement left before its write was durable and the power failed, the voter
/// would vote a second time in the term, or a committed entry would be on too few disks. One would
/// notice it as two leaders or as a lost edit. Nothing leaves here before the mark is stored.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    last_sequence: u64,
    durable_sequence: u64,
    /// The mark of the last write of the term.
    hard_state_sequence: u64,
    held: VecDeque<HeldOutput>,
    /// Marks of appends that are not durable yet, each with the last index it makes durable.
    pending_appends: VecDeque<PendingAppend>,
    /// The last index that is durable.
    durable_index: u64,
}

/// Holds an output and the mark it waits for.
#[derive(Debug)]
struct HeldOutput {
    sequence: u64,
    output: Output,
}

/// Holds an append that is not durable yet.
#[derive(Debug)]
struct PendingAppend {
    sequence: u64,
    index: u64,
}

impl Outbox {
    /// Starts with a log that is durable up to an index.
    pub(crate) fn new(index: u64) -> Self {
        Self { durable_index: index, ..Self::default() }
    }

    /// Returns the mark of the last write.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Tells whether the writes up to a mark are durable.
    pub(crate) fn is_durable(&self, sequence: u64) -> bool {
        sequence <= self.durable_sequence
    }

    /// Returns the last index that is durable.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Numbers a write.
    pub(crate) fn write(&mut self, write: Write, outputs: &mut Vec<Output>) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        match &write {
            Write::Append(entries) => {
                if let Some(entry) = entries.last() {
                    self.pending_appends
                        .push_back(PendingAppend { sequence, index: entry.position.index });
                }
            }
            Write::Truncate { from } => self.truncate(from.saturating_sub(1)),
            Write::Install(snapshot) => {
                self.truncate(0);
                self.pending_appends
                    .push_back(PendingAppend { sequence, index: snapshot.position.index });
            }
            Write::HardState(_) => self.hard_state_sequence = sequence,
            Write::Compact { .. } => {}
        }
        outputs.push(Output::Store { sequence, write });
    }

    /// Sends an output that promises nothing but the term once that is durable.
    ///
    /// If answers to heartbeats waited for entries that they do not speak of, a disk that hangs for
    /// longer than a lease would end the lease, and all instances would refuse work for want of it.
    pub(crate) fn send_after_hard_state(&mut self, output: Output, outputs: &mut Vec<Output>) {
        if self.is_durable(self.hard_state_sequence) {
            outputs.push(output);
            return;
        }
        self.send_after_writes(output, outputs);
    }

    /// Sends an output once everything written so far is durable.
    pub(crate) fn send_after_writes(&mut self, output: Output, outputs: &mut Vec<Output>) {
        if self.is_durable(self.last_sequence) {
            outputs.push(output);
            return;
        }
        // A disk that hangs would otherwise gather answers to heartbeats without end.
        if self.held.len() == MAX_HELD_OUTPUTS {
            self.held.pop_front();
        }
        self.held.push_back(HeldOutput { sequence: self.last_sequence, output });
    }

    /// Forgets what is held back.
    ///
    /// An acknowledgement of an older term must not leave after the entries it is for were cut off
    /// in a newer one: the old leader would count a copy that is gone.
    pub(crate) fn discard_held(&mut self) {
        self.held.clear();
    }

    /// Takes the news that writes are durable, and lets go what waited for them.
    pub(crate) fn mark_durable(&mut self, sequence: u64, outputs: &mut Vec<Output>) {
        self.durable_sequence = self.durable_sequence.max(sequence.min(self.last_sequence));
        let released = self.held.partition_point(|held| held.sequence <= self.durable_sequence);
        outputs.extend(self.held.drain(..released).map(|held| held.output));
        let durable =
            self.pending_appends.partition_point(|append| append.sequence <= self.durable_sequence);
        for append in self.pending_appends.drain(..durable) {
            self.durable_index = self.durable_index.max(append.index);
        }
    }

    /// Counts no index after the given one as durable, now or when its mark comes.
    fn truncate(&mut self, last: u64) {
        self.durable_index = self.durable_index.min(last);
        for append in &mut self.pending_appends {
            append.index = append.index.min(last);
        }
    }
}
