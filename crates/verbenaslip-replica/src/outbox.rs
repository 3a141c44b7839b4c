//! Holds messages until the writes they depend on are durable.

use std::collections::VecDeque;

use crate::output::Output;
use crate::storage::Write;

/// The maximum number of held outputs. Beyond it the oldest are dropped, like messages lost in the
/// network.
const MAX_HELD_OUTPUTS: usize = 1024;

/// Numbers the writes and holds the outputs that depend on them.
///
/// If a vote or an acknowledgement were sent before its write is durable and the power failed, the
/// voter could vote twice in a term, or a committed log entry could be on too few disks. The result
/// would be two leaders or a lost command. So an output is held until its write is durable.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    last_sequence: u64,
    durable_sequence: u64,
    /// The sequence number of the last write of the hard state.
    hard_state_sequence: u64,
    held: VecDeque<HeldOutput>,
    /// The appends that are not durable yet.
    pending_appends: VecDeque<PendingAppend>,
    /// The last durable log index.
    durable_index: u64,
}

/// Holds an output and the sequence number of the write that it depends on.
#[derive(Debug)]
struct HeldOutput {
    sequence: u64,
    output: Output,
}

/// Holds the sequence number of an append that is not durable yet, and the last index it contains.
#[derive(Debug)]
struct PendingAppend {
    sequence: u64,
    index: u64,
}

impl Outbox {
    /// Returns an outbox for a log that is durable up to an index.
    pub(crate) fn new(index: u64) -> Self {
        Self { durable_index: index, ..Self::default() }
    }

    /// Returns the sequence number of the last write.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns whether the writes up to a sequence number are durable.
    pub(crate) fn is_durable(&self, sequence: u64) -> bool {
        sequence <= self.durable_sequence
    }

    /// Returns the last durable log index.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Outputs a write with the next sequence number.
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

    /// Sends an output as soon as the hard state is durable.
    ///
    /// Answers to heartbeats must not wait for log entries that they don't acknowledge. Otherwise a
    /// disk that hangs for longer than a lease would end the lease, and all instances would refuse
    /// work.
    pub(crate) fn send_after_hard_state(&mut self, output: Output, outputs: &mut Vec<Output>) {
        if self.is_durable(self.hard_state_sequence) {
            outputs.push(output);
            return;
        }
        self.send_after_writes(output, outputs);
    }

    /// Sends an output as soon as all writes so far are durable.
    pub(crate) fn send_after_writes(&mut self, output: Output, outputs: &mut Vec<Output>) {
        if self.is_durable(self.last_sequence) {
            outputs.push(output);
            return;
        }
        // Without a limit, answers to heartbeats would accumulate while a disk hangs.
        if self.held.len() == MAX_HELD_OUTPUTS {
            self.held.pop_front();
        }
        self.held.push_back(HeldOutput { sequence: self.last_sequence, output });
    }

    /// Discards the held outputs.
    ///
    /// An acknowledgement of an older term must not be sent after its entries were truncated in a
    /// newer term: the old leader would count a copy that no longer exists.
    pub(crate) fn discard_held(&mut self) {
        self.held.clear();
    }

    /// Records that the writes up to a sequence number are durable, and sends the outputs held for
    /// them.
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

    /// Treats no index after `last` as durable, including those of pending appends.
    fn truncate(&mut self, last: u64) {
        self.durable_index = self.durable_index.min(last);
        for append in &mut self.pending_appends {
            append.index = append.index.min(last);
        }
    }
}
