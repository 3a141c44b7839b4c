//! Statistics of the messages that a core handles, logged once a second while it leads.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use verbenaslip_relay::event_log;

use crate::event;

/// Time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counters of the messages that a core has received and sent since the last log line.
#[derive(Debug, Default)]
pub(crate) struct LoadStats {
    started_at: Duration,
    received: BTreeMap<&'static str, u64>,
    sent: BTreeMap<&'static str, SentFrames>,
    calls: u64,
    stale: u64,
    /// Maximum time that a call waited to be handled.
    max_wait: Duration,
}

/// Counters of the sent frames of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct SentFrames {
    frames: u64,
    bytes: u64,
}

impl LoadStats {
    /// Counts a received frame.
    pub(crate) fn record_received(&mut self, kind: &'static str) {
        *self.received.entry(kind).or_default() += 1;
    }

    /// Counts sent frames and their total size in bytes.
    pub(crate) fn record_sent(&mut self, kind: &'static str, frames: usize, bytes: usize) {
        let sent = self.sent.entry(kind).or_default();
        sent.frames += frames as u64;
        sent.bytes += bytes as u64;
    }

    /// Counts a call, with the time that it waited and whether it was rejected as stale.
    pub(crate) fn record_call(&mut self, waited: Duration, stale: bool) {
        self.calls += 1;
        self.stale += u64::from(stale);
        self.max_wait = self.max_wait.max(waited);
    }

    /// Returns whether the next log line is due.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) >= LOG_INTERVAL
    }

    /// Logs the counters of the last second if this core `leads`, and resets them.
    ///
    /// `waiting` holds the numbers of waiting frames and calls. Does nothing before the second is over.
    pub(crate) fn log_if_due(&mut self, now: Duration, leads: bool, waiting: [usize; 2]) {
        if !self.is_due(now) {
            return;
        }
        let finished = std::mem::replace(self, Self { started_at: now, ..Self::default() });
        if leads {
            event_log::emit(event::LEADER_LOAD, finished.fields(now, waiting));
        }
    }

    fn fields(&self, now: Duration, waiting: [usize; 2]) -> [(&'static str, Value); 8] {
        let sent = self.sent.iter().map(|(kind, it)| ((*kind).to_owned(), json!(it.frames)));
        let bytes = self.sent.iter().map(|(kind, it)| ((*kind).to_owned(), json!(it.bytes)));
        [
            ("ms", json!(now.saturating_sub(self.started_at).as_millis())),
            ("received", json!(self.received)),
            ("sent", Value::Object(sent.collect())),
            ("bytes", Value::Object(bytes.collect())),
            ("calls", json!(self.calls)),
            ("stale", json!(self.stale)),
            ("waited_ms", json!(self.max_wait.as_millis())),
            ("waiting", json!(waiting)),
        ]
    }
}
