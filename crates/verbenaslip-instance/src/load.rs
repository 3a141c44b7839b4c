//! What a core has to do, second by second while it leads.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use verbenaslip_relay::event_log;

use crate::event;

/// Between two lines.
const SECOND: Duration = Duration::from_secs(1);

/// Counts what a core takes and sends.
#[derive(Debug, Default)]
pub(crate) struct Load {
    since: Duration,
    received: BTreeMap<&'static str, u64>,
    sent: BTreeMap<&'static str, Sent>,
    calls: u64,
    stale: u64,
    /// The longest time that a call waited to be taken.
    waited: Duration,
}

/// Counts frames of one kind that are sent.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    frames: u64,
    bytes: u64,
}

impl Load {
    /// Counts a frame that is taken.
    pub(crate) fn received(&mut self, kind: &'static str) {
        *self.received.entry(kind).or_default() += 1;
    }

    /// Counts frames that are sent, with their bytes together.
    pub(crate) fn sent(&mut self, kind: &'static str, frames: usize, bytes: usize) {
        let sent = self.sent.entry(kind).or_default();
        sent.frames += frames as u64;
        sent.bytes += bytes as u64;
    }

    /// Counts a call that is taken after a time, or passed over as stale.
    pub(crate) fn call(&mut self, waited: Duration, stale: bool) {
        self.calls += 1;
        self.stale += u64::from(stale);
        self.waited = self.waited.max(waited);
    }

    /// Writes a line for the second that is over, if this core `leads`; `waiting` counts frames and calls.
    pub(crate) fn say(&mut self, now: Duration, leads: bool, waiting: [usize; 2]) {
        if now.saturating_sub(self.since) < SECOND {
            return;
        }
        let over = std::mem::replace(self, Self { since: now, ..Self::default() });
        if leads {
            event_log::emit(event::LOAD, over.fields(now, waiting));
        }
    }

    fn fields(&self, now: Duration, waiting: [usize; 2]) -> [(&'static str, Value); 8] {
        let sent = self.sent.iter().map(|(kind, it)| ((*kind).to_owned(), json!(it.frames)));
        let bytes = self.sent.iter().map(|(kind, it)| ((*kind).to_owned(), json!(it.bytes)));
        [
            ("ms", json!(now.saturating_sub(self.since).as_millis())),
            ("received", json!(self.received)),
            ("sent", Value::Object(sent.collect())),
            ("bytes", Value::Object(bytes.collect())),
            ("calls", json!(self.calls)),
            ("stale", json!(self.stale)),
            ("waited_ms", json!(self.waited.as_millis())),
            ("waiting", json!(waiting)),
        ]
    }
}
