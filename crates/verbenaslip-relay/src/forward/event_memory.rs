//! How much memory the events under way may take at an entry.
//!
//! No part of an event goes out before its end, so an entry holds each event while its upstream
//! sends it. Events that do not end would take the memory of the machine if there are many.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each stream may hold, whatever others hold.
const SMALL_EVENT_BYTES: usize = 16 << 10;

/// Memory that all streams of an entry share.
///
/// A stream may hold no more than what it leaves free. So the longest events are broken off first,
/// the sooner the more of them there are, and there is always memory for shorter ones.
#[derive(Clone, Debug)]
pub struct EventMemory {
    /// Limit on the bytes of all events under way, but for small ones.
    capacity: usize,
    held: Rc<Cell<usize>>,
}

impl Default for EventMemory {
    /// Creates memory without a limit.
    fn default() -> Self {
        Self { capacity: usize::MAX, held: Rc::default() }
    }
}

impl EventMemory {
    /// Creates the memory for events on a machine with so many bytes of memory.
    pub fn new(machine_bytes: usize) -> Self {
        Self { capacity: machine_bytes / 16, held: Rc::default() }
    }

    /// Returns the bytes that all streams hold.
    pub fn held(&self) -> usize {
        self.held.get()
    }
}

/// Counts what one stream holds; given back when dropped.
#[derive(Debug, Default)]
pub struct Share {
    memory: EventMemory,
    bytes: usize,
}

impl Share {
    /// Creates the share of a stream that holds nothing yet.
    pub fn new(memory: EventMemory) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Counts that the stream holds `bytes` from now on; returns whether it may.
    pub fn set(&mut self, bytes: usize) -> bool {
        let held = self.memory.held() - self.bytes + bytes;
        self.memory.held.set(held);
        self.bytes = bytes;
        bytes <= SMALL_EVENT_BYTES || bytes <= self.memory.capacity.saturating_sub(held)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}
