//! Splits a stream into events.

use bytes::{Buf, Bytes, BytesMut};
use verbenaslip_base::event_stream::{BYTE_ORDER_MARK, Block, Fault, Position, is_line_end};

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
    /// The event under way, as far as its lines have been read.
    block: Block,
    /// Length of these lines.
    read_bytes: usize,
    /// Whether anything of the present upstream's answer has been returned.
    has_answer: bool,
    /// Whether an event of the present upstream's answer has been returned.
    has_event: bool,
    /// Whether anything of the stream has been returned.
    has_stream: bool,
    last_id: Option<u64>,
    /// Number of the event before the last one.
    previous_id: Option<u64>,
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
        (self.has_answer, self.has_event) = (false, false);
        if last_id > self.last_id {
            (self.last_id, self.previous_id) = (last_id, last_id);
        }
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
            checked = self.end_block(end, scanned);
            if checked.is_err() {
                break;
            }
            end = scanned;
        }
        if checked.is_ok() {
            let last_line_end = piece.iter().rposition(|byte| is_line_end(*byte));
            let unfinished = last_line_end.map_or(0, |it| piece.len() - it - 1);
            let lines_end = self.pending.len() - unfinished;
            let lines = last_line_end.map_or(Ok(()), |_| self.read_lines(end, lines_end.max(end)));
            checked = lines.and_then(|()| self.hold(self.pending.len() - end));
        }
        let mut sound = self.pending.split_to(end).freeze();
        // A byte order mark belongs at the beginning of what the caller gets, and nowhere else.
        if self.has_stream && !self.has_answer && sound.starts_with(BYTE_ORDER_MARK) {
            sound.advance(BYTE_ORDER_MARK.len());
        }
        self.has_answer |= end > 0;
        self.has_stream |= end > 0;
        let foreign = checked.err().map(|fault| {
            self.discard_pending();
            Foreign { fault, after: self.last_id, events: self.events }
        });
        Split { sound, foreign }
    }

    /// Returns whether an upstream's answer that ends here is whole.
    ///
    /// An upstream that crashes may close its connection in order. Where only that ends a stream,
    /// one without a single event is not whole either.
    pub fn is_whole(&self, ends_with_connection: bool) -> bool {
        self.position.is_between_events() && (self.has_event || !ends_with_connection)
    }

    /// Returns the number of the last event that the caller has, if it has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Forgets the pending bytes, and gives their memory back.
    fn discard_pending(&mut self) {
        self.pending = BytesMut::new();
        (self.block, self.read_bytes) = (Block::default(), 0);
        self.share.set(0);
    }

    /// Ends the event in pending bytes that end between two events, if they hold one.
    fn end_block(&mut self, start: usize, end: usize) -> Result<(), Fault> {
        if end - start > MAX_EVENT_BYTES {
            return Err(Fault::TooLong);
        }
        self.read_lines(start, end)?;
        self.read_bytes = 0;
        if let Some(id) = std::mem::take(&mut self.block).end()? {
            self.previous_id = self.last_id.replace(id);
            self.events += 1;
            self.has_event = true;
        }
        Ok(())
    }

    /// Reads the lines of the event under way up to an end of a line. They are judged before the
    /// event ends, so that nobody waits for the end of bytes that are none.
    fn read_lines(&mut self, start: usize, end: usize) -> Result<(), Fault> {
        let from = start + std::mem::take(&mut self.read_bytes);
        self.read_bytes = end - start;
        let mut bytes = &self.pending[from..end];
        if from == 0 && !self.has_answer {
            bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
        }
        for line in bytes.split(|byte| is_line_end(*byte)) {
            if let Some(id) = self.block.add_line(line)? {
                self.compare(id)?;
            }
        }
        Ok(())
    }

    /// Counts the pending bytes of an event that has not ended.
    fn hold(&mut self, held: usize) -> Result<(), Fault> {
        if held > MAX_EVENT_BYTES || !self.share.set(held) { Err(Fault::TooLong) } else { Ok(()) }
    }

    fn compare(&self, id: u64) -> Result<(), Fault> {
        match self.last_id {
            Some(last) if id < last && self.previous_id.is_none_or(|it| id > it) => {
                Err(Fault::SkippedId)
            }
            Some(last) if id <= last => Err(Fault::StaleId),
            _ => Ok(()),
        }
    }
}
