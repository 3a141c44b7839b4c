//! What the leader keeps of one instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::Peer;
use crate::hub::{Progress, SILENCE_TIMEOUT};

/// What was sent and not confirmed for this long is sent again. With the time until the next report it comes before a
/// leaving is acknowledged without that instance, after 600 ms.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);

/// The same for a whole list: 3,000 upstreams take some 150 kB, an eighth of a second at 10 Mbit/s, and a core sends
/// them to 60 entries at once.
const FULL_LIST_RESEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Keeps what one instance has and reports.
#[derive(Debug)]
pub(super) struct Subscriber {
    pub(super) peer: Peer,
    pub(super) last_heard: Duration,
    /// Since when it has been heard without a long silence.
    pub(super) heard_since: Duration,
    /// The newest change that it has confirmed.
    pub(super) acknowledged_change: u64,
    /// What it has, and every entry that reports to it.
    pub(super) progress: Progress,
    /// The newest change sent to it.
    pub(super) sent_change: u64,
    /// The term of the leader who made that change.
    pub(super) sent_term: u64,
    /// When the way to it was last known to work: it confirmed something, or was sent the first thing that it
    /// has not confirmed.
    pub(super) delivery_confirmed_at: Duration,
    /// Whether the whole list is on its way.
    pub(super) full_list_pending: bool,
    pub(super) revision: u64,
    pub(super) route_table_sent: Option<(u64, Duration)>,
    pub(super) time_offset_ms: i64,
    pub(super) counted_until: u64,
    /// Its place among the entries, or that of the first entry below it.
    pub(super) slot_index: Option<u32>,
    /// How many entries it stands for: itself, or those that report to it.
    pub(super) entry_count: u32,
    /// How many places among the entries it takes.
    pub(super) slot_count: u32,
    /// The entries that report to it, where it was asked for them.
    pub(super) entry_addresses: Vec<SocketAddr>,
    /// The number of its last report.
    pub(super) last_sequence: u64,
    /// The work that it had been asked for when it last reported.
    pub(super) work_totals: BTreeMap<Arc<str>, f64>,
}

impl Subscriber {
    /// Takes an instance that reports for the first time.
    pub(super) fn new(peer: Peer, now: Duration) -> Self {
        Self {
            peer,
            last_heard: now,
            heard_since: now,
            acknowledged_change: 0,
            progress: Progress::default(),
            sent_change: 0,
            sent_term: 0,
            delivery_confirmed_at: Duration::ZERO,
            full_list_pending: false,
            revision: 0,
            route_table_sent: None,
            time_offset_ms: 0,
            counted_until: 0,
            slot_index: None,
            entry_count: 0,
            slot_count: 0,
            entry_addresses: Vec::new(),
            last_sequence: 0,
            work_totals: BTreeMap::new(),
        }
    }

    pub(super) fn is_heard_within(&self, now: Duration, silence: Duration) -> bool {
        now.saturating_sub(self.last_heard) <= silence
    }

    pub(super) fn is_behind(&self, change: u64, revision: u64) -> bool {
        self.sent_change < change || self.revision.max(self.sent_revision()) < revision
    }

    /// Notes what it says that it has.
    pub(super) fn acknowledge(&mut self, now: Duration, change: u64) {
        if change > self.acknowledged_change {
            self.delivery_confirmed_at = now;
            self.full_list_pending = false;
        }
    }

    /// Notes that it was heard.
    pub(super) fn mark_heard(&mut self, now: Duration) {
        if !self.is_heard_within(now, SILENCE_TIMEOUT) {
            self.heard_since = now;
        }
        self.last_heard = now;
    }

    /// Returns after how long what was sent and not confirmed is sent again.
    pub(super) fn resend_timeout(&self) -> Duration {
        if self.full_list_pending { FULL_LIST_RESEND_TIMEOUT } else { RESEND_TIMEOUT }
    }

    /// Returns the revision of the route table that was sent last and may still come.
    pub(super) fn sent_revision(&self) -> u64 {
        self.route_table_sent.map_or(0, |(sent, _)| sent)
    }
}
