//! What the leader keeps of one instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::Peer;
use crate::hub::{Progress, SILENCE_TIMEOUT};

/// What was sent and not confirmed for this long is sent again. With the time until the next report it comes before a
/// leaving is acknowledged without that instance, after 600 ms.
const RESEND: Duration = Duration::from_millis(300);

/// The same for a whole list: 3,000 upstreams take some 150 kB, an eighth of a second at 10 Mbit/s, and a core sends
/// them to 60 entries at once.
const RESEND_WHOLE: Duration = Duration::from_millis(1_500);

/// Keeps what one instance has and reports.
#[derive(Debug)]
pub(super) struct Subscriber {
    pub(super) peer: Peer,
    pub(super) heard: Duration,
    /// Since when it has been heard without a long silence.
    pub(super) since: Duration,
    /// The newest change that it has confirmed.
    pub(super) seen: u64,
    /// What it has, and every entry that reports to it.
    pub(super) covered: Progress,
    /// The newest change sent to it.
    pub(super) sent: u64,
    /// The term of the leader who made that change.
    pub(super) sent_term: u64,
    /// When the way to it was last known to work: it confirmed something, or was sent the first thing that it
    /// has not confirmed.
    pub(super) pushed: Duration,
    /// Whether the whole list is on its way.
    pub(super) whole: bool,
    pub(super) revision: u64,
    pub(super) sheet_sent: Option<(u64, Duration)>,
    pub(super) offset: i64,
    pub(super) counted: u64,
    /// Its place among the entries, or that of the first entry below it.
    pub(super) place: Option<u32>,
    /// How many entries it stands for: itself, or those that report to it.
    pub(super) entries: u32,
    /// How many places among the entries it takes.
    pub(super) places: u32,
    /// The entries that report to it, where it was asked for them.
    pub(super) listed: Vec<SocketAddr>,
    /// The number of its last report.
    pub(super) number: u64,
    /// The work that it had been asked for when it last reported.
    pub(super) work: BTreeMap<Arc<str>, f64>,
}

impl Subscriber {
    /// Takes an instance that reports for the first time.
    pub(super) fn open(peer: Peer, now: Duration) -> Self {
        Self {
            peer,
            heard: now,
            since: now,
            seen: 0,
            covered: Progress::default(),
            sent: 0,
            sent_term: 0,
            pushed: Duration::ZERO,
            whole: false,
            revision: 0,
            sheet_sent: None,
            offset: 0,
            counted: 0,
            place: None,
            entries: 0,
            places: 0,
            listed: Vec::new(),
            number: 0,
            work: BTreeMap::new(),
        }
    }

    pub(super) fn is_heard(&self, now: Duration, silence: Duration) -> bool {
        now.saturating_sub(self.heard) <= silence
    }

    pub(super) fn is_behind(&self, change: u64, revision: u64) -> bool {
        self.sent < change || self.revision.max(self.revision_sent()) < revision
    }

    /// Notes what it says that it has.
    pub(super) fn confirm(&mut self, now: Duration, change: u64) {
        if change > self.seen {
            self.pushed = now;
            self.whole = false;
        }
    }

    /// Notes that it was heard.
    pub(super) fn hear(&mut self, now: Duration) {
        if !self.is_heard(now, SILENCE_TIMEOUT) {
            self.since = now;
        }
        self.heard = now;
    }

    /// Returns after how long what was sent and not confirmed is sent again.
    pub(super) fn patience(&self) -> Duration {
        if self.whole { RESEND_WHOLE } else { RESEND }
    }

    /// Returns the revision of the route table that was sent last and may still come.
    pub(super) fn revision_sent(&self) -> u64 {
        self.sheet_sent.map_or(0, |(sent, _)| sent)
    }
}
