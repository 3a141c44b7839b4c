//! The cooldown that an upstream asks an entry for, and the return of its requests.

use std::time::Duration;

/// Longest cooldown that is respected.
const MAX_COOLDOWN: Duration = Duration::from_secs(3_600);

/// Time after which an unanswered probe is repeated.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps requests from an upstream that has asked for a cooldown.
///
/// After the cooldown one request is sent as a probe to learn whether the upstream takes requests
/// again. Preferably it is a request that may go to another upstream if this one refuses it, since
/// any other would be lost. If none arrives for another cooldown, any request is used.
#[derive(Clone, Copy, Debug)]
pub struct Cooldown {
    length: Duration,
    ends_at: Duration,
    /// When the last probe was sent.
    probe_sent_at: Option<Duration>,
}

impl Cooldown {
    /// Starts a cooldown at `now`.
    pub fn new(now: Duration, length: Duration) -> Self {
        let length = length.min(MAX_COOLDOWN);
        Self { length, ends_at: now + length, probe_sent_at: None }
    }

    /// Returns the length of the cooldown.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Returns whether a request may be sent; `has_spare_attempt` states whether it may go
    /// elsewhere if it is refused.
    pub fn allows_request(&self, now: Duration, has_spare_attempt: bool) -> bool {
        let probe_pending =
            self.probe_sent_at.is_some_and(|at| now.saturating_sub(at) <= PROBE_TIMEOUT);
        now >= self.end(has_spare_attempt) && !probe_pending
    }

    /// Returns the time until a request may be sent.
    pub fn time_until_allowed(&self, now: Duration, has_spare_attempt: bool) -> Duration {
        self.end(has_spare_attempt).saturating_sub(now)
    }

    fn end(&self, has_spare_attempt: bool) -> Duration {
        if has_spare_attempt { self.ends_at } else { self.ends_at + self.length }
    }

    /// Returns whether a request sent at `sent_at` shows whether the upstream takes requests
    /// again.
    pub fn is_probe(&self, sent_at: Duration) -> bool {
        sent_at >= self.ends_at
    }

    /// Records a request that is sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.probe_sent_at = Some(now);
    }
}
