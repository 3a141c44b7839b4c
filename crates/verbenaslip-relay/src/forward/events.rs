//! Splits a stream into events.

use bytes::{Buf, Bytes, BytesMut};
use verbenaslip_base::event_stream::{self, BYTE_ORDER_MARK, Fault, Position};

use crate::forward::event_memory::{EventMemory, Share};

/// Limit on the bytes of an event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a numbered stream into events, and finds bytes that do not continue it.
#[derive(Debug, Default)]
pub struct Sequence {
    /// Bytes of the present upstream after the last sound event.
    pending: BytesMut,
    /// Counts the pending bytes among those of all streams.
    share: Share,
    position: Position,
    /// Whether anything of the present upstream's answer has been returned.
    has_begun: bool,
    /// Whether anything of the stream has been returned.
    has_passed: bool,
    last_id: Option<u64>,
    /// Number of sound events so far.
    events: u64,
}

/// Describes bytes that do not continue their stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Foreign {
    /// What is wrong with them.
    pub fault: Fault,
    /// Number of the event before them that the caller has, if it has one.
    pub after: Option<u64>,
    /// Number of sound events of the answer before them.
    pub events: u64,
}

/// Holds what can be said about a stream after a piece of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// Whole events that continue the stream, and comments.
    pub sound: Bytes,
    /// What follows them, if it does not continue the stream.
    pub foreign: Option<Foreign>,
}

impl Sequence {
    /// Creates the sequence of a stream whose pending bytes take a share of the memory for events.
    pub fn new(memory: EventMemory) -> Self {
        Self { share: Share::new(memory), ..Self::default() }
    }

    /// Starts to read the answer of another upstream, which continues after the last sound event.
    /// The caller may have events up to `last_id` from an earlier answer.
    pub fn begin_answer(&mut self, last_id: Option<u64>) {
        self.discard_pending();
        self.position = Position::default();
        self.has_begun = false;
        self.last_id = self.last_id.max(last_id);
    }

    /// Takes a piece of the stream and returns what can be passed on.
    ///
    /// An upstream may break off in the middle of an event. If the partial event were passed on,
    /// it would be read as one event together with the whole one from the next upstream.
    pub fn push(&mut self, piece: &[u8]) -> Split {
        let (mut end, mut scanned) = (0, self.pending.len());
        self.pending.extend_from_slice(piece);
        let mut checked = Ok(());
        while let Some(length) = self.position.advance_to_end(&self.pending[scanned..]) {
            scanned += length;
            checked = self.check(end, scanned);
            if checked.is_err() {
                break;
            }
            end = scanned;
        }
        let held = self.pending.len() - end;
        if checked.is_ok() && (held > MAX_EVENT_BYTES || !self.share.set(held)) {
            checked = Err(Fault::TooLong);
        }
        let mut sound = self.pending.split_to(end).freeze();
        // A byte order mark belongs at the beginning of what the caller gets, and nowhere else.
        if self.has_passed && !self.has_begun && sound.starts_with(BYTE_ORDER_MARK) {
            sound.advance(BYTE_ORDER_MARK.len());
        }
        self.has_begun |= end > 0;
        self.has_passed |= end > 0;
        let foreign = checked.err().map(|fault| {
            self.discard_pending();
            Foreign { fault, after: self.last_id, events: self.events }
        });
        Split { sound, foreign }
    }

    /// Returns where the stream stands.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the number of the last event that the caller has, if it has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Forgets the pending bytes, and gives their memory back.
    fn discard_pending(&mut self) {
        self.pending = BytesMut::new();
        self.share.set(0);
    }

    /// Counts the event in pending bytes that end between two events, if they hold one.
    fn check(&mut self, start: usize, end: usize) -> Result<(), Fault> {
        let mut block = &self.pending[start..end];
        if !self.has_begun && start == 0 {
            block = block.strip_prefix(BYTE_ORDER_MARK).unwrap_or(block);
        }
        let Some(id) = event_stream::event_id(block)? else { return Ok(()) };
        if self.last_id.is_some_and(|last| id <= last) {
            return Err(Fault::StaleId);
        }
        self.last_id = Some(id);
        self.events += 1;
        Ok(())
    }
}
