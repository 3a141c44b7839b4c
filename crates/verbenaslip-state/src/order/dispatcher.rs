//! The leader's side of orders to upstreams.
//!
//! An order is proposed to the log, numbered by its log position, and sent to the upstream under
//! the leader's lease. An upstream that checks fence numbers refuses delayed orders of an older
//! leader. An upstream that does not check them would carry such an order out. For these, a new
//! leader waits until no order of an older leader can still arrive, then reads the upstream's state
//! back, and only then sends its first order.

mod message;
mod target;

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::Upstream;

use super::{MAX_LIFETIME_MS, Order, Pending, Result};
use crate::lease::with_margin;
use target::{CLOSE_GRACE, CurrentOrder, MAX_TRANSIT, Question, Target};

pub use message::{
    Answer, End, Ending, Event, Input, Leadership, OrderDelivery, Output, Report, UpstreamState,
};

/// Sends orders to upstreams while this instance leads.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// The longest lease that an earlier leader may have held.
    max_lease: Duration,
    term: u64,
    leads_until: Duration,
    /// The time from which no order of an older leader can arrive.
    old_orders_end: Duration,
    questions: u64,
    targets: BTreeMap<Upstream, Target>,
}

impl Dispatcher {
    /// Creates a dispatcher that does not lead; `max_lease` is the longest lease of any leader.
    pub fn new(max_lease: Duration) -> Self {
        Self {
            max_lease,
            term: 0,
            leads_until: Duration::ZERO,
            old_orders_end: Duration::ZERO,
            questions: 0,
            targets: BTreeMap::new(),
        }
    }

    /// Handles an input and appends the resulting outputs.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Lead(lead) => self.handle_leadership(now, lead),
            Input::Resign => self.leads_until = Duration::ZERO,
            Input::Upstream { upstream, fenced } => self.handle_announcement(now, upstream, fenced),
            Input::Gone(upstream) => self.handle_gone(now, &upstream),
            Input::Want(order) => self.handle_request(now, order, out),
            Input::Committed(pending) => self.handle_committed(now, pending),
            Input::Denied(upstream) => {
                let target = self.targets.get_mut(&upstream);
                if target.is_some_and(|target| target.proposed_at.take().is_some()) {
                    out.push(report(&upstream, Event::Denied));
                }
            }
            Input::Ended { upstream, fence } => self.handle_ended(&upstream, fence, out),
            Input::Answer { upstream, fence, answer } => {
                self.handle_answer(&upstream, fence, answer)
            }
            Input::Read { upstream, question, holding } => {
                self.handle_read_back(&upstream, question, &holding);
            }
        }
        self.advance(now, out);
    }

    fn handle_leadership(&mut self, now: Duration, lead: Leadership) {
        self.leads_until = lead.until;
        if lead.term > self.term {
            self.start_term(now, lead.term);
        }
        // This also matters within a term: if the answer to a proposal is lost, the numbered order
        // would neither be sent nor ended and would block its upstream.
        for pending in lead.pending {
            self.handle_committed(now, pending);
        }
    }

    fn start_term(&mut self, now: Duration, term: u64) {
        self.term = term;
        let max_lifetime = Duration::from_millis(MAX_LIFETIME_MS);
        let transit =
            with_margin(self.max_lease.saturating_add(max_lifetime)).saturating_add(CLOSE_GRACE);
        self.old_orders_end = now.saturating_add(transit);
        for target in self.targets.values_mut() {
            let Target { announced, fenced, .. } = *target;
            *target =
                Target { announced, requested: target.requested.take(), ..Target::new(fenced) };
        }
    }

    /// Takes over an order that an older leader did not end.
    fn inherit(&mut self, pending: Pending) {
        let upstream = pending.order.upstream.clone();
        let unknown = || Target { announced: false, ..Target::new(false) };
        let target = self.targets.entry(upstream).or_insert_with(unknown);
        // The answer may have been lost with that leader, so the result is derived from the
        // upstream's state.
        target.current = Some(CurrentOrder::inherited(pending));
        target.state_known = false;
    }

    fn handle_announcement(&mut self, now: Duration, upstream: Upstream, fenced: bool) {
        let target = self.targets.entry(upstream).or_insert_with(|| Target::new(fenced));
        if target.fenced && !fenced {
            target.state_known = false;
            if target.announced {
                // Several copies of an order were sent while the upstream checked numbers, and some
                // of them may still arrive.
                target.transit_end = now.saturating_add(MAX_TRANSIT);
            }
        }
        target.announced = true;
        target.fenced = fenced;
    }

    /// Keeps an upstream that is gone for as long as orders sent to it may arrive, since it may
    /// come back earlier.
    fn handle_gone(&mut self, now: Duration, upstream: &Upstream) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        target.announced = false;
        target.requested = None;
        target.state_known = false;
        target.transit_end = now.saturating_add(MAX_TRANSIT);
        if let Some(current) = &mut target.current {
            current.result = current.result.or(Some(Result::Lost));
        }
    }

    fn handle_request(&mut self, now: Duration, order: Order, out: &mut Vec<Output>) {
        let upstream = order.upstream.clone();
        let mut report = |event| out.push(report(&upstream, event));
        if now >= self.leads_until {
            return report(Event::NotLeading);
        }
        let Some(target) = self.targets.get_mut(&upstream).filter(|target| target.announced) else {
            return report(Event::NotKnown);
        };
        if target.requested.replace(order).is_some() {
            report(Event::Replaced);
        }
        let wait = self.old_orders_end.max(target.transit_end).saturating_sub(now);
        if !target.fenced && !wait.is_zero() {
            report(Event::Waiting { wait });
        }
    }

    fn handle_committed(&mut self, now: Duration, pending: Pending) {
        let Some(target) = self.targets.get_mut(&pending.order.upstream) else {
            return self.inherit(pending);
        };
        let held = target.current.as_ref();
        if held.is_some_and(|current| current.pending.fence == pending.fence) {
            return;
        }
        if pending.fence.term != self.term {
            return self.inherit(pending);
        }
        target.proposed_at = None;
        let lifetime = Duration::from_millis(pending.order.lifetime.min(MAX_LIFETIME_MS));
        target.read_back = None;
        target.current = Some(CurrentOrder::new(pending, now.saturating_add(lifetime)));
    }

    fn handle_ended(&mut self, upstream: &Upstream, fence: Fence, out: &mut Vec<Output>) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        let Some(current) = target.current.take_if(|current| current.pending.fence == fence) else {
            return;
        };
        if let Some(result) = current.result {
            out.push(report(upstream, Event::Ended(Ending { fence, result })));
        }
    }

    fn handle_answer(&mut self, upstream: &Upstream, fence: Fence, answer: Answer) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        let Some(current) = &mut target.current else { return };
        if current.pending.fence != fence || current.result.is_some() {
            return;
        }
        current.result = match answer {
            Answer::Applied => Some(Result::Applied),
            // The first answer was lost and the order was resent.
            Answer::Held(held) if held == fence => Some(Result::Applied),
            Answer::Held(held) if held > fence => Some(Result::Superseded(held)),
            Answer::Held(_) | Answer::Refused => Some(Result::Refused),
            Answer::Expired => Some(Result::Expired),
            Answer::Unknown => None,
        };
    }

    fn handle_read_back(&mut self, upstream: &Upstream, question: u64, holding: &UpstreamState) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        // An answer to an earlier question may predate the orders sent since.
        if target.read_back.take_if(|read_back| read_back.question == question).is_none() {
            return;
        }
        target.state_known = true;
        let Some(current) = &mut target.current else { return };
        let fence = current.pending.fence;
        let shown = match holding.fence {
            Some(held) if held > fence => Result::Superseded(held),
            Some(held) if held == fence => Result::Applied,
            _ if holding.reflects(&current.pending.order.task) => Result::Applied,
            _ => Result::Lost,
        };
        current.result.get_or_insert(shown);
    }

    /// Advances every upstream if this instance leads.
    fn advance(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.targets.retain(|_, target| {
            target.announced || target.current.is_some() || now < target.transit_end
        });
        // A leader whose lease has expired may already be replaced; whatever it sent now could
        // overtake the new leader's orders.
        if now >= self.leads_until {
            return;
        }
        for (upstream, target) in &mut self.targets {
            target.advance(now, upstream, out);
            if target.needs_read_back(now, self.old_orders_end) {
                self.questions += 1;
                let question = self.questions;
                target.read_back = Some(Question { question, at: now });
                out.push(Output::ReadBack { upstream: upstream.clone(), question });
            }
        }
    }
}

fn report(upstream: &Upstream, event: Event) -> Output {
    Output::Report(Report { upstream: upstream.clone(), event })
}
