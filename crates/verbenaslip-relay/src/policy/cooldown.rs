//! The rest that an upstream asks one entry for, and how its requests return.

use std::time::Duration;

/// The longest rest that is kept to.
const MAX_COOLDOWN: Duration = Duration::from_secs(3_600);

/// How long a request that shows whether an upstream takes some again may go without an answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps requests from an upstream that has asked for rest.
///
/// Once its time is over one request shows whether it takes some again: one that may be offered to another upstream
/// if it is turned away, since any other one would be lost. Where none such comes, any goes after as long again.
#[derive(Clone, Copy, Debug)]
pub struct Cooldown {
    length: Duration,
    ends_at: Duration,
    /// When the request was sent that shows it.
    probe_sent_at: Option<Duration>,
}

impl Cooldown {
    /// Begins now.
    pub fn new(now: Duration, length: Duration) -> Self {
        let length = length.min(MAX_COOLDOWN);
        Self { length, ends_at: now + length, probe_sent_at: None }
    }

    /// Returns how long it lasts.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Tells whether a request may be sent; `spare` is whether it may be offered elsewhere if it is turned away.
    pub fn allows_request(&self, now: Duration, has_spare_attempt: bool) -> bool {
        let probe_pending =
            self.probe_sent_at.is_some_and(|at| now.saturating_sub(at) <= PROBE_TIMEOUT);
        now >= self.end(has_spare_attempt) && !probe_pending
    }

    /// Returns how long it takes until a request may be sent.
    pub fn time_until_allowed(&self, now: Duration, has_spare_attempt: bool) -> Duration {
        self.end(has_spare_attempt).saturating_sub(now)
    }

    fn end(&self, has_spare_attempt: bool) -> Duration {
        if has_spare_attempt { self.ends_at } else { self.ends_at + self.length }
    }

    /// Tells whether a request that was sent at a time shows whether the upstream takes some again.
    pub fn is_probe(&self, sent_at: Duration) -> bool {
        sent_at >= self.ends_at
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.probe_sent_at = Some(now);
    }
}
