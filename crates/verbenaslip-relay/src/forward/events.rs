//! Splits a stream into events.

use bytes::{Bytes, BytesMut};
use verbenaslip_base::event_stream::Position;

/// Limit on the bytes of an incomplete event; a longer one is passed on as it arrives.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into whole events and tracks their identities.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    position: Position,
    /// Identity of the last whole event.
    pub last_id: Option<u64>,
}

impl Splitter {
    /// Takes a piece of a stream and returns the whole events received so far.
    ///
    /// An upstream may break off in the middle of an event. If the partial event were passed on,
    /// it would be read as one event together with the whole one from the next upstream.
    pub fn push(&mut self, piece: &[u8]) -> Bytes {
        let pending_before = self.pending.len();
        let end = self.position.advance(piece);
        self.pending.extend_from_slice(piece);
        let Some(end) = end else {
            let long = self.pending.len() > MAX_EVENT_BYTES;
            return if long { self.pending.split().freeze() } else { Bytes::new() };
        };
        let complete_events = self.pending.split_to(pending_before + end).freeze();
        if let Some(last) = last_event_id(&complete_events) {
            self.last_id = Some(last);
        }
        complete_events
    }

    /// Takes a piece of a stream that is passed on as it arrives.
    pub fn skip(&mut self, piece: &[u8]) {
        self.position.advance(piece);
    }

    /// Returns where the stream stands.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the pending bytes at the end of a stream that ended cleanly.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops a partial event after its stream broke off; another upstream may continue the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.position = Position::default();
    }
}

/// Returns the number in the last `id:` line.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let mut identities = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(identities.next()?).ok()?;
    text.trim().parse().ok()
}
