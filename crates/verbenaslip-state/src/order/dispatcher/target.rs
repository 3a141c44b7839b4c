//! One upstream as the dispatcher knows it.

use std::time::Duration;

use verbenaslip_base::name::Upstream;

use super::{End, Ending, Event, OrderDelivery, Output, report};
use crate::order::{MAX_LIFETIME_MS, Order, Pending, Result};

/// How long an answer may take before the order, with the same number, or the question is repeated.
const REPEAT: Duration = Duration::from_secs(1);

/// How long a proposal may take before it counts as lost.
const PROPOSAL: Duration = Duration::from_secs(2);

/// How long bytes may be on their way after the connection that carried them was closed.
pub(super) const GRACE: Duration = Duration::from_secs(1);

/// How long anything that is sent to an upstream may be on its way.
pub(super) const FLIGHT: Duration = Duration::from_millis(MAX_LIFETIME_MS).saturating_add(GRACE);

/// Holds what is known of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) fenced: bool,
    /// Whether it has announced itself and is not gone.
    pub(super) known: bool,
    /// Whether its state was read back since it became necessary.
    pub(super) opened: bool,
    /// When nothing that was sent to it while it checked numbers can arrive any more.
    pub(super) hold: Duration,
    /// The last question for its state that is not answered.
    pub(super) reading: Option<Reading>,
    pub(super) wanted: Option<Order>,
    pub(super) proposed: Option<Duration>,
    pub(super) current: Option<Current>,
}

impl Target {
    pub(super) fn new(fenced: bool) -> Self {
        Self {
            fenced,
            known: true,
            opened: fenced,
            hold: Duration::ZERO,
            reading: None,
            wanted: None,
            proposed: None,
            current: None,
        }
    }

    /// Gives, ends or proposes what is due.
    pub(super) fn advance(&mut self, now: Duration, name: &Upstream, out: &mut Vec<Output>) {
        if let Some(current) = &mut self.current {
            out.extend(current.end(now, name).map(Output::End));
            // A copy that is still on its way when the order is answered, and the next one given,
            // would arrive after that one; an upstream that checks no numbers would obey it. So it
            // gets one copy only, and is asked for its state when no answer comes.
            if self.fenced || current.given.is_none() {
                out.extend(current.give(now, name));
            }
        }
        if self.proposed.take_if(|at| now >= at.saturating_add(PROPOSAL)).is_some() {
            out.push(report(name, Event::Unanswered));
        }
        if self.opened && self.current.is_none() && self.proposed.is_none() {
            self.propose(now, out);
        }
    }

    /// Says whether the upstream's state is to be asked for: before the first order, and when an
    /// order ran out without an answer. In both cases nothing that changes the state may still be
    /// on its way, or the answer would soon be wrong.
    pub(super) fn wants_reading(&self, now: Duration, clear: Duration) -> bool {
        let waited = |reading: &Reading| now >= reading.at.saturating_add(REPEAT);
        let quiet = match &self.current {
            Some(current) if current.result.is_some() => return false,
            Some(current) => now >= current.quiet,
            None if self.opened => return false,
            None => true,
        };
        let arrived = quiet && (self.fenced || now >= clear.max(self.hold));
        self.known && arrived && self.reading.as_ref().is_none_or(waited)
    }

    fn propose(&mut self, now: Duration, out: &mut Vec<Output>) {
        if let Some(order) = self.wanted.take() {
            self.proposed = Some(now);
            out.push(Output::Propose(order));
        }
    }
}

/// Identifies a question for an upstream's state.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    pub(super) question: u64,
    pub(super) at: Duration,
}

/// Holds the order that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Current {
    pub(super) pending: Pending,
    pub(super) expiry: Duration,
    /// When none of this leader's copies of it can arrive any more.
    pub(super) quiet: Duration,
    pub(super) given: Option<Duration>,
    pub(super) result: Option<Result>,
    pub(super) told: Option<Duration>,
}

impl Current {
    pub(super) fn new(pending: Pending, expiry: Duration) -> Self {
        let quiet = expiry.saturating_add(GRACE);
        Self { pending, expiry, quiet, given: None, result: None, told: None }
    }

    /// Takes an order that this leader never gives.
    pub(super) fn inherited(pending: Pending) -> Self {
        Self { quiet: Duration::ZERO, ..Self::new(pending, Duration::ZERO) }
    }

    /// Sends the order, or sends it again with the same number.
    fn give(&mut self, now: Duration, upstream: &Upstream) -> Option<Output> {
        let recent = self.given.is_some_and(|given| now < given.saturating_add(REPEAT));
        if self.result.is_some() || now >= self.expiry || recent {
            return None;
        }
        self.given = Some(now);
        Some(Output::Give(OrderDelivery {
            upstream: upstream.clone(),
            fence: self.pending.fence,
            expiry: self.expiry,
            task: self.pending.order.task.clone(),
        }))
    }

    /// Tells the log of the end, again until the log holds it.
    fn end(&mut self, now: Duration, upstream: &Upstream) -> Option<End> {
        let result = self.result?;
        if self.told.is_some_and(|told| now < told.saturating_add(PROPOSAL)) {
            return None;
        }
        self.told = Some(now);
        let ending = Ending { fence: self.pending.fence, result };
        Some(End { upstream: upstream.clone(), ending })
    }
}
