//! State of one instance that reports to a leader or core.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::Peer;
use crate::hub::{Progress, SILENCE_TIMEOUT};
use crate::measurement::publisher::SentFigures;

/// Time after which an unacknowledged update is sent again. Together with the time until the next
/// heartbeat it is shorter than the 600 ms after which a departure is acknowledged without the
/// instance.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which an unacknowledged full list is sent again. A list of 3,000 upstreams takes about
/// 150 kB, an eighth of a second at 10 Mbit/s, and a core sends it to 60 entries at once.
const FULL_LIST_RESEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Tracks what one instance has received, acknowledged and reported.
#[derive(Debug)]
pub(super) struct Subscriber {
    pub(super) peer: Peer,
    /// Whether the instance is a core that is about to stop.
    pub(super) is_stopping: bool,
    pub(super) last_heard: Duration,
    /// Start of the current period in which the instance has been reachable.
    pub(super) heard_since: Duration,
    /// Newest change that the instance has acknowledged.
    pub(super) acknowledged_change: u64,
    /// Progress of the instance and all entries that report to it.
    pub(super) progress: Progress,
    /// Newest change sent to the instance.
    pub(super) sent_change: u64,
    /// Term of the leader that made the sent change.
    pub(super) sent_term: u64,
    /// When delivery was last known to work: the instance acknowledged something, or the oldest
    /// unacknowledged update was sent.
    pub(super) delivery_confirmed_at: Duration,
    /// Whether the full list has been sent and not acknowledged.
    pub(super) full_list_pending: bool,
    /// Revision of the route table that the instance has.
    pub(super) revision: u64,
    /// Revision of the last sent route table and the time when it was sent, while it may still arrive.
    pub(super) route_table_sent: Option<(u64, Duration)>,
    pub(super) time_offset_ms: i64,
    pub(super) counted_until: u64,
    /// Time slot of the entry, or the first one of the entries below a core.
    pub(super) slot_index: Option<u32>,
    /// Number of time slots that were assigned from there on.
    pub(super) slot_width: u32,
    /// Number of entries that the instance stands for: itself, or the entries that report to it.
    pub(super) entry_count: u32,
    /// Number of time slots that the instance needs.
    pub(super) slot_count: u32,
    /// Entries that report to the instance, if it was asked for them.
    pub(super) entry_addresses: Vec<SocketAddr>,
    /// Sequence number of its last heartbeat.
    pub(super) last_sequence: u64,
    /// Engine work in total at its last heartbeat, by service.
    pub(super) work_totals: BTreeMap<Arc<str>, f64>,
    /// Figures of upstreams that the instance has been sent.
    pub(super) sent_figures: SentFigures,
}

impl Subscriber {
    /// Creates the state of an instance that reports for the first time.
    pub(super) fn new(peer: Peer, now: Duration) -> Self {
        Self {
            peer,
            is_stopping: false,
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
            slot_width: 0,
            entry_count: 0,
            slot_count: 0,
            entry_addresses: Vec::new(),
            last_sequence: 0,
            work_totals: BTreeMap::new(),
            sent_figures: SentFigures::default(),
        }
    }

    pub(super) fn is_heard_within(&self, now: Duration, silence: Duration) -> bool {
        now.saturating_sub(self.last_heard) <= silence
    }

    pub(super) fn is_behind(&self, change: u64, revision: u64) -> bool {
        self.sent_change < change || self.revision.max(self.sent_revision()) < revision
    }

    /// Records which change the instance has acknowledged.
    pub(super) fn acknowledge(&mut self, now: Duration, change: u64) {
        if change > self.acknowledged_change {
            self.delivery_confirmed_at = now;
            self.full_list_pending = false;
        }
    }

    /// Records that the instance was heard.
    pub(super) fn mark_heard(&mut self, now: Duration) {
        if !self.is_heard_within(now, SILENCE_TIMEOUT) {
            self.heard_since = now;
        }
        self.last_heard = now;
    }

    /// Returns the time after which an unacknowledged update is sent again.
    pub(super) fn resend_timeout(&self) -> Duration {
        if self.full_list_pending { FULL_LIST_RESEND_TIMEOUT } else { RESEND_TIMEOUT }
    }

    /// Returns the revision of the route table that was sent and may still arrive.
    pub(super) fn sent_revision(&self) -> u64 {
        self.route_table_sent.map_or(0, |(sent, _)| sent)
    }
}
