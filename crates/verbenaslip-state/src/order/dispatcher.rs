//! The leader's side of orders to upstreams.
//!
//! An order is proposed_at to the log, numbered by its position there, and sent_at to the upstream under
//! the leader's lease. An upstream that checks numbers refuses what an older leader sends late. One
//! that does not check would obey target, so there a new leader waits until nothing that an older one
//! sent can still arrive, reads the upstream's state back and only then gives its first order.

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

/// Gives orders to upstreams while this instance leads.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// The longest lease that a leader before this one may have held.
    max_lease: Duration,
    term: u64,
    leads_until: Duration,
    /// When nothing of an older leader can arrive any more.
    old_orders_end: Duration,
    questions: u64,
    targets: BTreeMap<Upstream, Target>,
}

impl Dispatcher {
    /// Starts without leading; takes the longest lease that a leader may hold.
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

    /// Takes what happened and adds what is to be done.
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
        // Also in mid-term: the answer to a proposal may be lost, and an order that the log has
        // numbered and nobody gives or ends would keep its upstream from all others.
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

    /// Takes over an order that an older leader left without an end.
    fn inherit(&mut self, pending: Pending) {
        let upstream = pending.order.upstream.clone();
        let unknown = || Target { announced: false, ..Target::new(false) };
        let target = self.targets.entry(upstream).or_insert_with(unknown);
        // Its answer may have been lost with that leader, so the upstream's state has to tell.
        target.current = Some(CurrentOrder::inherited(pending));
        target.state_known = false;
    }

    fn handle_announcement(&mut self, now: Duration, upstream: Upstream, fenced: bool) {
        let target = self.targets.entry(upstream).or_insert_with(|| Target::new(fenced));
        if target.fenced && !fenced {
            target.state_known = false;
            if target.announced {
                // While it checked, it was sent several copies of an order; some may yet arrive.
                target.transit_end = now.saturating_add(MAX_TRANSIT);
            }
        }
        target.announced = true;
        target.fenced = fenced;
    }

    /// Remembers an upstream that is gone for as long as what was sent to it may arrive, since it may
    /// come back before.
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
            // The first answer was lost and the order was sent again.
            Answer::Held(held) if held == fence => Some(Result::Applied),
            Answer::Held(held) if held > fence => Some(Result::Superseded(held)),
            Answer::Held(_) | Answer::Refused => Some(Result::Refused),
            Answer::Expired => Some(Result::Expired),
            Answer::Unknown => None,
        };
    }

    fn handle_read_back(&mut self, upstream: &Upstream, question: u64, holding: &UpstreamState) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        // An answer to an earlier question may be older than what has been ordered since.
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

    /// Does for every upstream what is due, as long as this instance leads.
    fn advance(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.targets.retain(|_, target| {
            target.announced || target.current.is_some() || now < target.transit_end
        });
        // A leader whose lease has run out may be an old one that does not know it; whatever it
        // sent now could overtake the new leader's orders.
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
