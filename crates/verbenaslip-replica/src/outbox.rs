//! Holds messages back until the writes they depend on are durable.

use std::collections::VecDeque;

use crate::output::Output;
use crate::storage::Write;

/// The most messages that wait for the disk; the oldest go first, as if the network had lost them.
const HELD: usize = 1024;

/// Numbers the writes and keeps what waits for them.
///
/// If a vote or an acknowledgement left before its write was durable and the power failed, the voter
/// would vote a second time in the term, or a committed entry would be on too few disks. One would
/// notice it as two leaders or as a lost edit. Nothing leaves here before the mark is stored.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    issued: u64,
    stored: u64,
    /// The mark of the last write of the term.
    hard: u64,
    held: VecDeque<Held>,
    /// Marks of appends that are not durable yet, each with the last index it makes durable.
    appends: VecDeque<Pending>,
    /// The last index that is durable.
    index: u64,
}

/// Holds an output and the mark it waits for.
#[derive(Debug)]
struct Held {
    mark: u64,
    output: Output,
}

/// Holds an append that is not durable yet.
#[derive(Debug)]
struct Pending {
    mark: u64,
    index: u64,
}

impl Outbox {
    /// Starts with a log that is durable up to an index.
    pub(crate) fn new(index: u64) -> Self {
        Self { index, ..Self::default() }
    }

    /// Returns the mark of the last write.
    pub(crate) fn issued(&self) -> u64 {
        self.issued
    }

    /// Tells whether the writes up to a mark are durable.
    pub(crate) fn is_stored(&self, mark: u64) -> bool {
        mark <= self.stored
    }

    /// Returns the last index that is durable.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// Numbers a write.
    pub(crate) fn store(&mut self, write: Write, out: &mut Vec<Output>) {
        self.issued += 1;
        let mark = self.issued;
        match &write {
            Write::Append(entries) => {
                if let Some(entry) = entries.last() {
                    self.appends.push_back(Pending { mark, index: entry.position.index });
                }
            }
            Write::Truncate { from } => self.cut(from.saturating_sub(1)),
            Write::Install(snapshot) => {
                self.cut(0);
                self.appends.push_back(Pending { mark, index: snapshot.position.index });
            }
            Write::HardState(_) => self.hard = mark,
            Write::Compact { .. } => {}
        }
        out.push(Output::Store { sequence: mark, write });
    }

    /// Sends an output that promises nothing but the term once that is durable.
    ///
    /// If answers to heartbeats waited for entries that they do not speak of, a disk that hangs for
    /// longer than a lease would end the lease, and all instances would refuse work for want of it.
    pub(crate) fn hold_term(&mut self, output: Output, out: &mut Vec<Output>) {
        if self.is_stored(self.hard) {
            out.push(output);
            return;
        }
        self.hold(output, out);
    }

    /// Sends an output once everything written so far is durable.
    pub(crate) fn hold(&mut self, output: Output, out: &mut Vec<Output>) {
        if self.is_stored(self.issued) {
            out.push(output);
            return;
        }
        // A disk that hangs would otherwise gather answers to heartbeats without end.
        if self.held.len() == HELD {
            self.held.pop_front();
        }
        self.held.push_back(Held { mark: self.issued, output });
    }

    /// Forgets what is held back.
    ///
    /// An acknowledgement of an older term must not leave after the entries it is for were cut off
    /// in a newer one: the old leader would count a copy that is gone.
    pub(crate) fn forget(&mut self) {
        self.held.clear();
    }

    /// Takes the news that writes are durable, and lets go what waited for them.
    pub(crate) fn stored(&mut self, mark: u64, out: &mut Vec<Output>) {
        self.stored = self.stored.max(mark.min(self.issued));
        let free = self.held.partition_point(|held| held.mark <= self.stored);
        out.extend(self.held.drain(..free).map(|held| held.output));
        let durable = self.appends.partition_point(|append| append.mark <= self.stored);
        for append in self.appends.drain(..durable) {
            self.index = self.index.max(append.index);
        }
    }

    /// Counts no index after the given one as durable, now or when its mark comes.
    fn cut(&mut self, last: u64) {
        self.index = self.index.min(last);
        for append in &mut self.appends {
            append.index = append.index.min(last);
        }
    }
}
