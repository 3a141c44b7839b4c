//! Where the events of a stream end.

use bytes::{Bytes, BytesMut};

/// The longest event that is waited for; a longer one is passed on as it comes.
const LONGEST: usize = 256 << 10;

/// Finds whole events and their identities.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
    /// The identity of the last whole event.
    pub last: Option<u64>,
}

impl Splitter {
    /// Takes a piece of a stream and returns the whole events in it and before it.
    ///
    /// An upstream may break off in the middle of an event. Passed on, the half event and the whole
    /// one from the next upstream would be read as one.
    pub fn take(&mut self, piece: &[u8]) -> Bytes {
        self.held.extend_from_slice(piece);
        let Some(end) = last_end(&self.held) else {
            let long = self.held.len() > LONGEST;
            return if long { self.held.split().freeze() } else { Bytes::new() };
        };
        let whole = self.held.split_to(end).freeze();
        if let Some(last) = last_identity(&whole) {
            self.last = Some(last);
        }
        whole
    }

    /// Returns what is held at the end of a stream that ended in good order.
    pub fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Drops a half event, when its stream broke off.
    pub fn cut(&mut self) {
        self.held.clear();
    }
}

/// Returns the place after the last empty line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while let Some(at) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        let before = &bytes[..at];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(at + 1);
        }
        end = at;
    }
    None
}

/// Returns the number in the last line that gives an event its identity.
fn last_identity(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut identities = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(identities.next()?).ok()?;
    text.trim().parse().ok()
}
