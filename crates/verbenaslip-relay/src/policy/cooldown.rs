//! The rest that an upstream asks one entry for, and how its requests return.

use std::time::Duration;

/// The longest rest that is kept to.
const LONGEST: Duration = Duration::from_secs(3_600);

/// How long a request that shows whether an upstream takes some again may go without an answer.
const UNANSWERED: Duration = Duration::from_secs(2);

/// Keeps requests from an upstream that has asked for rest.
///
/// Once its time is over one request shows whether it takes some again: one that may be offered to another upstream
/// if it is turned away, since any other one would be lost. Where none such comes, any goes after as long again.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    length: Duration,
    until: Duration,
    /// When the request was sent that shows it.
    probed: Option<Duration>,
}

impl Rest {
    /// Begins now.
    pub fn open(now: Duration, length: Duration) -> Self {
        let length = length.min(LONGEST);
        Self { length, until: now + length, probed: None }
    }

    /// Returns how long it lasts.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Tells whether a request may be sent; `spare` is whether it may be offered elsewhere if it is turned away.
    pub fn is_over(&self, now: Duration, spare: bool) -> bool {
        let probed = self.probed.is_some_and(|at| now.saturating_sub(at) <= UNANSWERED);
        now >= self.end(spare) && !probed
    }

    /// Returns how long it takes until a request may be sent.
    pub fn wait(&self, now: Duration, spare: bool) -> Duration {
        self.end(spare).saturating_sub(now)
    }

    fn end(&self, spare: bool) -> Duration {
        if spare { self.until } else { self.until + self.length }
    }

    /// Tells whether a request that was sent at a time shows whether the upstream takes some again.
    pub fn is_probe(&self, sent: Duration) -> bool {
        sent >= self.until
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, now: Duration) {
        self.probed = Some(now);
    }
}
