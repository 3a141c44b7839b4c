//! One upstream as the dispatcher knows it.

use std::time::Duration;

use verbenaslip_base::name::Upstream;

use super::{End, Ending, Event, OrderDelivery, Output, report};
use crate::order::{MAX_LIFETIME_MS, Order, Pending, Result};

/// How long an answer may take before the order, with the same number, or the question is repeated.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// How long a proposal may take before it counts as lost.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long bytes may be on their way after the connection that carried them was closed.
pub(super) const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// How long anything that is sent to an upstream may be on its way.
pub(super) const MAX_TRANSIT: Duration =
    Duration::from_millis(MAX_LIFETIME_MS).saturating_add(CLOSE_GRACE);

/// Holds what is known of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) fenced: bool,
    /// Whether it has announced itself and is not gone.
    pub(super) announced: bool,
    /// Whether its state was read back since it became necessary.
    pub(super) state_known: bool,
    /// When nothing that was sent to it while it checked numbers can arrive any more.
    pub(super) transit_end: Duration,
    /// The last question for its state that is not answered.
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

    /// Gives, ends or proposes what is due.
    pub(super) fn advance(&mut self, now: Duration, name: &Upstream, out: &mut Vec<Output>) {
        if let Some(current) = &mut self.current {
            out.extend(current.propose_end(now, name).map(Output::End));
            // A copy that is still on its way when the order is answered, and the next one given,
            // would arrive after that one; an upstream that checks no numbers would obey it. So it
            // gets one copy only, and is asked for its state when no answer comes.
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

    /// Says whether the upstream's state is to be asked for: before the first order, and when an
    /// order ran out without an answer. In both cases nothing that changes the state may still be
    /// on its way, or the answer would soon be wrong.
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
    /// When none of this leader's copies of it can arrive any more.
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

    /// Takes an order that this leader never gives.
    pub(super) fn inherited(pending: Pending) -> Self {
        Self { transit_end: Duration::ZERO, ..Self::new(pending, Duration::ZERO) }
    }

    /// Sends the order, or sends it again with the same number.
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

    /// Tells the log of the end, again until the log holds it.
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
