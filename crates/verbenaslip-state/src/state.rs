//! The replicated state.

use std::sync::Arc;

use verbenaslip_base::fence::Fence;
use verbenaslip_table::{Revision, Table};

use crate::audit::{Page, Trail};
use crate::claim::{Limits, Store};
use crate::command::Command;
use crate::history::{self, History};
use crate::order::{Pending, Registry};
use crate::outcome::{Outcome, Overlong};

/// Holds the replicated state; the same commands in the same order produce the same state.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct State {
    pub(crate) position: Fence,
    pub(crate) clock: u64,
    pub(crate) history: History,
    pub(crate) claims: Store,
    pub(crate) orders: Registry,
    pub(crate) trail: Trail,
}

impl State {
    /// Creates an empty state with the given bounds on claims, which must be equal on all voters.
    pub fn new(limit: Limits) -> Self {
        Self { claims: Store::restore(limit, Vec::new()), ..Self::default() }
    }

    /// Applies one committed command.
    ///
    /// Positions increase; a command at or below the last position was applied before and has no
    /// effect. Every other command is recorded in the audit trail, except overlong ones.
    pub fn apply(&mut self, position: Fence, command: &Command) -> Outcome {
        if position.index <= self.position.index || position < self.position {
            return Outcome::Replayed;
        }
        self.position = position;
        if let Some(what) = command.overlong_field() {
            return Outcome::Overlong(Overlong { what: what.to_owned() });
        }
        // The clock never goes backward, or a slow instance's command could make an expired key
        // valid.
        self.clock = self.clock.max(command.proposed_at_ms());
        self.claims.drop_expired(self.clock);
        let outcome = self.decide(position, command);
        self.trail.record(position, command, &outcome);
        outcome
    }

    /// Returns the position of the last applied command.
    pub fn position(&self) -> Fence {
        self.position
    }

    /// Returns the latest time of any command, in Unix milliseconds.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns the newest revision of the table.
    pub fn revision(&self) -> Revision {
        self.history.revision()
    }

    /// Returns the table at the newest revision.
    pub fn table(&self) -> &Arc<Table> {
        self.history.table()
    }

    /// Returns the accepted edits that are still kept, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &history::Entry> {
        self.history.entries()
    }

    /// Returns the number of stored claims.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Returns the orders that have not ended, sorted by upstream.
    pub fn orders(&self) -> impl Iterator<Item = &Pending> {
        self.orders.pending()
    }

    /// Returns at most `limit` entries of the audit trail, starting at the given number.
    pub fn audit(&self, since: u64, limit: usize) -> Page {
        self.trail.page(since, limit)
    }

    fn decide(&mut self, position: Fence, command: &Command) -> Outcome {
        match command {
            Command::Edit(edit) => Outcome::Edit(self.history.apply_edit(edit)),
            Command::Claim(claim) => Outcome::Claim(self.claims.claim(self.clock, claim)),
            Command::Settle(settle) => Outcome::Closed(self.claims.settle(settle)),
            Command::Release(release) => {
                Outcome::Closed(self.claims.release(self.clock, &release.claim))
            }
            Command::Order(order) => Outcome::Order(self.orders.order(position, order)),
            Command::Ordered(ordered) if self.orders.complete(ordered) => Outcome::Noted,
            Command::Ordered(_) => Outcome::Unasked,
            Command::Drain(_) | Command::Voters(_) => Outcome::Noted,
        }
    }
}
