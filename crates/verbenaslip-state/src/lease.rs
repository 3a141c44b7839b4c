//! The table lease, without which an instance accepts no work.
//!
//! The lease bounds how old the table in use may be. The leader grants it, directly or through
//! other instances, and counts an edit as in force once every holder has the edit or its lease has
//! expired. The holder counts the duration from when it *sent* its request, the granter from when
//! it answered, which is later. So the holder always stops first, however long a message is delayed
//! or a process is paused, provided that clock rates differ by no more than [`with_margin`] allows.

use std::collections::VecDeque;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_table::Revision;

/// The maximum duration of a lease, which the leader grants.
pub const MAX_DURATION: Duration = Duration::from_secs(4);

/// The interval at which a holder renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The renewal interval of a holder that grants leases itself.
///
/// It is shorter so that the granted leases last longer.
pub const RELAY_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The divisor of a duration that gives the margin for clock rates: 2.5 percent, which covers a
/// slow holder and a fast granter that are each off by one percent.
const MARGIN_DIVISOR: u32 = 40;

/// Returns how long the granter waits for a lease of the given duration to expire.
pub fn with_margin(duration: Duration) -> Duration {
    duration.saturating_add(duration / MARGIN_DIVISOR)
}

/// Identifies one lease request.
#[data(copy, ord, hash)]
pub struct Nonce {
    /// A random number drawn at each start of the process.
    pub boot: u64,
    /// The number of the request within one process lifetime.
    pub count: u32,
}

/// Tracks the lease requests that an instance sent and the grants it received.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    sent: VecDeque<SentRequest>,
    grants: Vec<Grant>,
}

impl Lease {
    /// Records that a lease request is sent.
    pub fn record_request(&mut self, now: Duration, nonce: Nonce) {
        self.sent.push_back(SentRequest { nonce, sent_at: now });
        while self.sent.len() > MAX_SENT_REQUESTS {
            self.sent.pop_front();
        }
    }

    /// Accepts a grant; returns whether it answers a request that was sent.
    ///
    /// The lease counts only once the holder has applied the granted revision, which is the newest
    /// one that the granter knew to be committed.
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

    /// Returns when the lease expires for a holder that has applied the given revision.
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

/// Holds one grant: the holder has applied the revision, or stops working at the given time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) revision: Revision,
    pub(crate) until: Duration,
}

/// Maximum number of requests whose answers are still accepted.
const MAX_SENT_REQUESTS: usize = 32;

/// Maximum number of grants kept; dropping one only shortens the lease.
const MAX_GRANTS: usize = 32;
