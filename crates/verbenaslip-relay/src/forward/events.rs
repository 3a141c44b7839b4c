//! Finds the ends of events in a stream.

use bytes::{Bytes, BytesMut};

/// Limit on the bytes of an incomplete event; a longer one is passed on as it arrives.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into whole events and tracks their identities.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    /// Identity of the last whole event.
    pub last_id: Option<u64>,
}

impl Splitter {
    /// Takes a piece of a stream and returns the whole events received so far.
    ///
    /// An upstream may break off in the middle of an event. If the partial event were passed on,
    /// it would be read as one event together with the whole one from the next upstream.
    pub fn push(&mut self, piece: &[u8]) -> Bytes {
        self.pending.extend_from_slice(piece);
        let Some(end) = end_of_last_event(&self.pending) else {
            let long = self.pending.len() > MAX_EVENT_BYTES;
            return if long { self.pending.split().freeze() } else { Bytes::new() };
        };
        let whole = self.pending.split_to(end).freeze();
        if let Some(last) = last_event_id(&whole) {
            self.last_id = Some(last);
        }
        whole
    }

    /// Returns the pending bytes at the end of a stream that ended cleanly.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops a partial event after its stream broke off.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// Returns the position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while let Some(line_end) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        let before = &bytes[..line_end];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(line_end + 1);
        }
        end = line_end;
    }
    None
}

/// Returns the number in the last `id:` line.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut identities = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(identities.next()?).ok()?;
    text.trim().parse().ok()
}
