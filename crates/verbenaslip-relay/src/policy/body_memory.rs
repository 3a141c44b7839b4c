//! How much memory the bodies of requests may take at an entry.
//!
//! An entry holds the body of a request until the request has ended, since it may have to be sent
//! to another upstream. A process that takes more memory than its machine has is killed, and each
//! request in it is lost. So each body has memory reserved before it is read, and a request whose
//! body does not fit is refused before it has cost anything.
//!
//! Small bodies have memory that large ones can't take, so ordinary requests go on while many large
//! ones arrive. A caller with several large bodies may hold no more than what it leaves free, so one
//! alone gets half of the memory for large bodies. A caller that sends slowly holds its part for
//! longer, but no more than that.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Bytes up to which a body is small.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Identifies a caller among those that send large bodies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Caller {
    /// API key, whether it is valid or not.
    Key(Arc<str>),
    /// Address of a caller without a key.
    Address(IpAddr),
}

/// Describes what is reserved when a body does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Bytes that the body needs.
    pub wanted: usize,
    /// Bytes that are reserved for all bodies.
    pub held: usize,
    /// Bytes that are reserved for large bodies of the same caller.
    pub caller_held: usize,
}

/// Holds what is reserved for one body.
#[derive(Debug, Default)]
pub struct Reservation {
    bytes: usize,
    /// Caller of a large body.
    caller: Option<Caller>,
}

impl Reservation {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Memory that is reserved for a body; given back when dropped.
#[derive(Debug)]
pub struct Room<'a> {
    memory: &'a RefCell<BodyMemory>,
    reservation: Reservation,
}

impl<'a> Room<'a> {
    /// Creates the room of a body for which nothing is reserved yet.
    pub fn new(memory: &'a RefCell<BodyMemory>) -> Self {
        Self { memory, reservation: Reservation::default() }
    }

    /// Extends the reservation to `bytes`; `caller` is called for a large body.
    ///
    /// # Errors
    ///
    /// Fails like [`BodyMemory::extend`].
    pub fn extend(
        &mut self,
        bytes: usize,
        caller: impl FnOnce() -> Caller,
    ) -> Result<(), Shortage> {
        self.memory.borrow_mut().extend(&mut self.reservation, bytes, caller)
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.memory.borrow_mut().release(&self.reservation);
    }
}

/// Reserves memory for bodies.
#[derive(Debug)]
pub struct BodyMemory {
    /// Limit on the bytes of all bodies.
    capacity: usize,
    held: usize,
    large_held: usize,
    /// Bytes of large bodies by caller; without callers that have none.
    held_by_caller: HashMap<Caller, usize>,
}

impl BodyMemory {
    /// Creates the memory for bodies on a machine with so many bytes of memory.
    ///
    /// Half of it is for the process itself, and for what has arrived on connections but is not
    /// read yet.
    pub fn new(machine_bytes: usize) -> Self {
        let capacity = machine_bytes / 2;
        Self { capacity, held: 0, large_held: 0, held_by_caller: HashMap::new() }
    }

    /// Returns the limit on the bytes of all bodies.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the bytes that are reserved for all bodies.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the size of the largest body that could ever fit.
    pub fn max_body_bytes(&self) -> usize {
        self.capacity / 4 * 3
    }

    /// Extends a reservation to `bytes`; `caller` is called for a large body.
    ///
    /// # Errors
    ///
    /// Fails if there is not enough memory left, or the caller holds its part of it. The reservation
    /// stays as it was.
    pub fn extend(
        &mut self,
        reservation: &mut Reservation,
        bytes: usize,
        caller: impl FnOnce() -> Caller,
    ) -> Result<(), Shortage> {
        let added = bytes.saturating_sub(reservation.bytes);
        if added == 0 {
            return Ok(());
        }
        let large = (bytes > SMALL_BODY_BYTES).then(|| match &reservation.caller {
            Some(caller) => (caller.clone(), added),
            None => (caller(), bytes),
        });
        let caller_held = large.as_ref().and_then(|(caller, _)| self.held_by_caller.get(caller));
        let caller_held = caller_held.copied().unwrap_or(0);
        let fits_large =
            large.as_ref().is_none_or(|(_, added)| self.fits_large(*added, caller_held));
        if self.held + added > self.capacity || !fits_large {
            return Err(Shortage { wanted: bytes, held: self.held, caller_held });
        }
        self.held += added;
        reservation.bytes += added;
        if let Some((caller, added)) = large {
            self.large_held += added;
            self.held_by_caller.insert(caller.clone(), caller_held + added);
            reservation.caller = Some(caller);
        }
        Ok(())
    }

    /// Gives back what was reserved for a body.
    pub fn release(&mut self, reservation: &Reservation) {
        self.held -= reservation.bytes;
        let Some(caller) = &reservation.caller else { return };
        self.large_held -= reservation.bytes;
        if let Some(caller_held) = self.held_by_caller.get_mut(caller) {
            *caller_held -= reservation.bytes;
            if *caller_held == 0 {
                self.held_by_caller.remove(caller);
            }
        }
    }

    /// Returns whether a caller that holds `caller_held` bytes may get more for a large body.
    fn fits_large(&self, added: usize, caller_held: usize) -> bool {
        let left = self.max_body_bytes().checked_sub(self.large_held + added);
        left.is_some_and(|left| caller_held == 0 || caller_held + added <= left)
    }
}
