//! The dispatcher's state of one upstream.

use std::time::Duration;

use verbenaslip_base::name::Upstream;

use super::{End, Ending, Event, OrderDelivery, Output, report};
use crate::order::{MAX_LIFETIME_MS, Order, Pending, Result};

/// How long to wait for an answer before the order (with the same number) or question is resent.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// How long to wait for the outcome of a proposal before it counts as lost.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long data may still be in transit after its connection was closed.
pub(super) const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// The maximum time in transit of anything sent to an upstream.
pub(super) const MAX_TRANSIT: Duration =
    Duration::from_millis(MAX_LIFETIME_MS).saturating_add(CLOSE_GRACE);

/// Holds the dispatcher's state of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) fenced: bool,
    /// Whether the upstream has announced itself and is not gone.
    pub(super) announced: bool,
    /// Whether the state has been read back since this last became necessary.
    pub(super) state_known: bool,
    /// The time from which no order sent while the upstream checked numbers can arrive.
    pub(super) transit_end: Duration,
    /// The last unanswered question for the upstream's state.
    pub(super) read_back: Option<Question>,
    pub(super) requested: Option<Order>,
    pub(super) proposed_at: Option<Duration>,
    pub(super) current: Option<CurrentOrder>,
}

impl Target {
    pub(super) fn new(fenced: bool) -> Self {
        Self {
            fenced,
            announced: true,
            state_known: fenced,
            transit_end: Duration::ZERO,
            read_back: None,
            requested: None,
            proposed_at: None,
            current: None,
        }
    }

    /// Sends or ends the current order, or proposes the next one.
    pub(super) fn advance(&mut self, now: Duration, name: &Upstream, out: &mut Vec<Output>) {
        if let Some(current) = &mut self.current {
            out.extend(current.propose_end(now, name).map(Output::End));
            // If a copy of an answered order were still in transit, it could arrive after the next
            // order, and an upstream that does not check numbers would carry it out. Such an
            // upstream is sent one copy only, and its state is read back if no answer arrives.
            if self.fenced || current.sent_at.is_none() {
                out.extend(current.send(now, name));
            }
        }
        if self.proposed_at.take_if(|at| now >= at.saturating_add(PROPOSAL_TIMEOUT)).is_some() {
            out.push(report(name, Event::Unanswered));
        }
        if self.state_known && self.current.is_none() && self.proposed_at.is_none() {
            self.propose(now, out);
        }
    }

    /// Returns whether the upstream's state must be read back.
    ///
    /// This is so before the first order, and after an order expired without an answer. In both
    /// cases nothing that changes the state may be in transit, or the answer would soon be
    /// outdated.
    pub(super) fn needs_read_back(&self, now: Duration, old_orders_end: Duration) -> bool {
        let waited = |read_back: &Question| now >= read_back.at.saturating_add(RESEND_INTERVAL);
        let copies_arrived = match &self.current {
            Some(current) if current.result.is_some() => return false,
            Some(current) => now >= current.transit_end,
            None if self.state_known => return false,
            None => true,
        };
        let arrived =
            copies_arrived && (self.fenced || now >= old_orders_end.max(self.transit_end));
        self.announced && arrived && self.read_back.as_ref().is_none_or(waited)
    }

    fn propose(&mut self, now: Duration, out: &mut Vec<Output>) {
        if let Some(order) = self.requested.take() {
            self.proposed_at = Some(now);
            out.push(Output::Propose(order));
        }
    }
}

/// Identifies a question for an upstream's state.
#[derive(Clone, Debug)]
pub(super) struct Question {
    pub(super) question: u64,
    pub(super) at: Duration,
}

/// Holds the order that has not ended.
#[derive(Clone, Debug)]
pub(super) struct CurrentOrder {
    pub(super) pending: Pending,
    pub(super) expiry: Duration,
    /// The time from which no copy sent by this leader can arrive.
    pub(super) transit_end: Duration,
    pub(super) sent_at: Option<Duration>,
    pub(super) result: Option<Result>,
    pub(super) end_proposed_at: Option<Duration>,
}

impl CurrentOrder {
    pub(super) fn new(pending: Pending, expiry: Duration) -> Self {
        let transit_end = expiry.saturating_add(CLOSE_GRACE);
        Self { pending, expiry, transit_end, sent_at: None, result: None, end_proposed_at: None }
    }

    /// Creates an inherited order, which this leader never sends.
    pub(super) fn inherited(pending: Pending) -> Self {
        Self { transit_end: Duration::ZERO, ..Self::new(pending, Duration::ZERO) }
    }

    /// Sends or resends the order; a resend has the same number.
    fn send(&mut self, now: Duration, upstream: &Upstream) -> Option<Output> {
        let recent = self.sent_at.is_some_and(|at| now < at.saturating_add(RESEND_INTERVAL));
        if self.result.is_some() || now >= self.expiry || recent {
            return None;
        }
        self.sent_at = Some(now);
        Some(Output::Give(OrderDelivery {
            upstream: upstream.clone(),
            fence: self.pending.fence,
            expiry: self.expiry,
            task: self.pending.order.task.clone(),
        }))
    }

    /// Proposes the end of the order, repeatedly until the log has recorded it.
    fn propose_end(&mut self, now: Duration, upstream: &Upstream) -> Option<End> {
        let result = self.result?;
        if self.end_proposed_at.is_some_and(|at| now < at.saturating_add(PROPOSAL_TIMEOUT)) {
            return None;
        }
        self.end_proposed_at = Some(now);
        let ending = Ending { fence: self.pending.fence, result };
        Some(End { upstream: upstream.clone(), ending })
    }
}
