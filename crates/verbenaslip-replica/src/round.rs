//! Numbered message rounds, with which a leader proves that it still is the leader.

use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of rounds that wait for a quorum at the same time.
const MAX_OPEN_ROUNDS: usize = 64;

/// Holds one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Round {
    /// The number of the round.
    pub(crate) number: u64,
    /// When the round began, before any of its messages was sent.
    pub(crate) started_at: Duration,
}

/// Holds the rounds of a leader in one term.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    number: u64,
    open: VecDeque<Round>,
    confirmed: Option<Round>,
}

impl Rounds {
    /// Returns the number of the newest round, which every message carries.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the newest round that a quorum has acknowledged.
    pub(crate) fn confirmed(&self) -> Option<Round> {
        self.confirmed
    }

    /// Returns whether any round waits for its quorum.
    pub(crate) fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Begins a new round.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.number += 1;
        if self.open.len() == MAX_OPEN_ROUNDS {
            self.open.pop_front();
        }
        self.open.push_back(Round { number: self.number, started_at: now });
    }

    /// Records that a quorum has acknowledged the rounds up to a number.
    pub(crate) fn acknowledge(&mut self, number: u64) {
        let acknowledged = self.open.partition_point(|round| round.number <= number);
        if let Some(newest) = self.open.drain(..acknowledged).next_back() {
            self.confirmed = Some(newest);
        }
    }
}
