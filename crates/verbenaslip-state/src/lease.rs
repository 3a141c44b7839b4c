//! The table lease, without which an instance takes no work.
//!
//! The lease bounds how old a table may serve. The leader grants it, directly or through other
//! instances, and counts an edit as in force once every holder has the edit or its lease has run
//! out. The holder counts the time from when it *sent* its request, the granter from when it
//! answered, which is later; so the holder always stops first, however long a message was on its way
//! or a process was frozen, as long as clocks run sent_at the same pace within [`with_margin`].

use std::collections::VecDeque;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_table::Revision;

/// How long a lease lasts that the leader grants.
pub const MAX_DURATION: Duration = Duration::from_secs(4);

/// How often a holder renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// How often a holder renews its lease that passes leases on, so that what it passes on is long.
pub const RELAY_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The divisor of a duration that gives the margin for the pace of clocks: 2.5 percent, which is
/// enough for a slow holder and a fast granter that are each wrong by one percent.
const MARGIN_DIVISOR: u32 = 40;

/// Returns a granted duration as the granter waits for it.
pub fn with_margin(duration: Duration) -> Duration {
    duration.saturating_add(duration / MARGIN_DIVISOR)
}

/// Identifies one request for a lease.
#[data(copy, ord, hash)]
pub struct Nonce {
    /// Drawn at each start of the process.
    pub boot: u64,
    /// Counts the requests of one start.
    pub count: u32,
}

/// Holds what an instance was granted.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    sent: VecDeque<SentRequest>,
    grants: Vec<Grant>,
}

impl Lease {
    /// Notes that a request for the lease is sent.
    pub fn record_request(&mut self, now: Duration, nonce: Nonce) {
        self.sent.push_back(SentRequest { nonce, sent_at: now });
        while self.sent.len() > MAX_SENT_REQUESTS {
            self.sent.pop_front();
        }
    }

    /// Takes a grant; says whether it answers a request that was sent.
    ///
    /// The lease counts only once the holder has applied the granted revision, which is the newest
    /// that the granter knew to be confirmed.
    pub fn accept_grant(
        &mut self,
        now: Duration,
        nonce: Nonce,
        revision: Revision,
        duration: Duration,
    ) -> bool {
        let Some(sent) = self.sent.iter().find(|sent| sent.nonce == nonce) else { return false };
        let until = sent.sent_at.saturating_add(duration.min(MAX_DURATION));
        self.grants.retain(|grant| grant.until > now);
        self.grants.push(Grant { revision, until });
        if self.grants.len() > MAX_GRANTS {
            self.grants.remove(0);
        }
        true
    }

    /// Returns when the lease runs out for a holder that has applied the given revision.
    pub fn expiry(&self, applied: Revision) -> Option<Duration> {
        let applicable = self.grants.iter().filter(|grant| grant.revision <= applied);
        applicable.map(|grant| grant.until).max()
    }
}

#[derive(Clone, Debug)]
struct SentRequest {
    nonce: Nonce,
    sent_at: Duration,
}

/// Holds one grant: its holder has the revision, or stops at the given time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) revision: Revision,
    pub(crate) until: Duration,
}

/// Bounds the requests whose answers are still taken.
const MAX_SENT_REQUESTS: usize = 32;

/// Bounds the grants kept; dropping one only shortens the lease.
const MAX_GRANTS: usize = 32;
