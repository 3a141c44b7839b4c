//! Numbered rounds of messages, by which a leader proves that it still leads.

use std::collections::VecDeque;
use std::time::Duration;

/// The most rounds that wait for a quorum at once.
const MAX_OPEN_ROUNDS: usize = 64;

/// Holds one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Round {
    /// Its number.
    pub(crate) number: u64,
    /// When it began, before any of its messages was sent.
    pub(crate) started_at: Duration,
}

/// Keeps the rounds of one leader in one term.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    number: u64,
    open: VecDeque<Round>,
    confirmed: Option<Round>,
}

impl Rounds {
    /// Returns the number of the newest round; every message carries it.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the newest round that a quorum acknowledged.
    pub(crate) fn confirmed(&self) -> Option<Round> {
        self.confirmed
    }

    /// Tells whether a round waits for its quorum.
    pub(crate) fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Begins a round.
    pub(crate) fn begin(&mut self, now: Duration) {
        self.number += 1;
        if self.open.len() == MAX_OPEN_ROUNDS {
            self.open.pop_front();
        }
        self.open.push_back(Round { number: self.number, started_at: now });
    }

    /// Takes the newest round that a quorum has acknowledged.
    pub(crate) fn acknowledge(&mut self, number: u64) {
        let acknowledged = self.open.partition_point(|round| round.number <= number);
        if let Some(newest) = self.open.drain(..acknowledged).next_back() {
            self.confirmed = Some(newest);
        }
    }
}
