//! What the leader keeps of one instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::Peer;

/// What was sent and not confirmed for this long is sent again.
const RESEND: Duration = Duration::from_millis(500);

/// The same for what went by another core, which may have died with it. With the time until the next report it
/// comes before a leaving is acknowledged without that instance, after 600 ms.
const RESEND_RELAYED: Duration = Duration::from_millis(250);

/// The same for a whole list: 3,000 upstreams take some 150 kB, an eighth of a second at 10 Mbit/s, and a core sends
/// them to 60 entries at once.
const RESEND_WHOLE: Duration = Duration::from_millis(1_500);

/// How long an instance is told directly after an update by way of another core was lost. Where only the two of them
/// can't reach each other, it would else get everything a quarter of a second late for as long.
const DIRECT: Duration = Duration::from_secs(5);

/// Keeps what one instance has and reports.
#[derive(Debug)]
pub(super) struct Subscriber {
    pub(super) peer: Peer,
    pub(super) heard: Duration,
    /// The newest change that it has confirmed.
    pub(super) seen: u64,
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
    /// Whether the last update went by another core.
    pub(super) relayed: bool,
    /// Until when updates go directly, since one was lost on that path.
    pub(super) direct: Duration,
    pub(super) offset: i64,
    pub(super) counted: u64,
    /// Its place among the entries.
    pub(super) place: Option<u32>,
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
            seen: 0,
            sent: 0,
            sent_term: 0,
            pushed: Duration::ZERO,
            whole: false,
            revision: 0,
            sheet_sent: None,
            relayed: false,
            direct: Duration::ZERO,
            offset: 0,
            counted: 0,
            place: None,
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

    /// Has updates go directly for a while, if one was lost on its way by another core.
    pub(super) fn avoid_relay(&mut self, now: Duration, lost: bool) {
        if lost && self.relayed {
            self.direct = now + DIRECT;
        }
    }

    /// Returns after how long what was sent and not confirmed is sent again.
    pub(super) fn patience(&self) -> Duration {
        match (self.whole, self.relayed) {
            (true, _) => RESEND_WHOLE,
            (false, true) => RESEND_RELAYED,
            (false, false) => RESEND,
        }
    }

    /// Returns the revision of the route table that was sent last and may still come.
    pub(super) fn revision_sent(&self) -> u64 {
        self.sheet_sent.map_or(0, |(sent, _)| sent)
    }
}
