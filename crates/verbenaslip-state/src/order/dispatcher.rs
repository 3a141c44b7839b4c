//! The leader's side of orders to upstreams.
//!
//! An order is proposed to the log, numbered by its position there, and given to the upstream under
//! the leader's lease. An upstream that checks numbers refuses what an older leader sends late. One
//! that does not check would obey it, so there a new leader waits until nothing that an older one
//! sent can still arrive, reads the upstream's state back and only then gives its first order.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Model, Upstream};

use super::{MAX_LIFETIME_MS, Order, Pending, Result, Role, Task};
use crate::lease::with_margin;

/// How long an answer may take before the order, with the same number, or the question is repeated.
const REPEAT: Duration = Duration::from_secs(1);

/// How long a proposal may take before it counts as lost.
const PROPOSAL: Duration = Duration::from_secs(2);

/// How long bytes may be on their way after the connection that carried them was closed.
const GRACE: Duration = Duration::from_secs(1);

/// Tells the dispatcher what happened.
#[data]
pub enum Input {
    /// Time passes; due at least every 200 ms.
    Tick,
    /// This instance leads.
    Lead(Lead),
    /// This instance leads no longer.
    Resign,
    /// An upstream announced itself, and says whether it checks fencing numbers.
    Upstream {
        /// The upstream.
        upstream: Upstream,
        /// Whether it refuses an order with an old number; silence means no.
        fenced: bool,
    },
    /// An upstream is gone.
    Gone(Upstream),
    /// An order is wanted; it replaces one for the same upstream that is not proposed yet.
    Want(Order),
    /// The log numbered an order.
    Committed(Pending),
    /// The log refused an order to the upstream, or the proposal came to nothing.
    Denied(Upstream),
    /// The log holds that an order has ended.
    Ended {
        /// The upstream.
        upstream: Upstream,
        /// The order's number.
        fence: Fence,
    },
    /// The upstream answered an order, or did not.
    Answer {
        /// The upstream.
        upstream: Upstream,
        /// The number that was given.
        fence: Fence,
        /// The answer.
        answer: Answer,
    },
    /// The upstream told its state.
    Read {
        /// The upstream.
        upstream: Upstream,
        /// The question that it answers.
        question: u64,
        /// The state.
        holding: Holding,
    },
}

/// Says how long this instance leads.
#[data]
pub struct Lead {
    /// The term; a greater one than before starts anew.
    pub term: u64,
    /// When the leader's lease runs out, before which no other instance can lead.
    pub until: Duration,
    /// The orders that have not ended, as the state has them now.
    pub pending: Vec<Pending>,
}

/// Says what an upstream answered to an order.
#[data(copy)]
pub enum Answer {
    /// It is carried out.
    Applied,
    /// The upstream holds the given number, which is not lower (status 409).
    Held(Fence),
    /// The order was too old when it came (status 410).
    Expired,
    /// The upstream said that it can't.
    Refused,
    /// No answer came, so the order may be carried out, now or later.
    Unknown,
}

/// Holds an upstream's state as far as orders change it.
#[data(default)]
pub struct Holding {
    /// The number of the last order that it carried out, if it keeps numbers.
    pub fence: Option<Fence>,
    /// The models that it has loaded.
    pub models: Vec<Model>,
    /// Its role.
    pub role: Role,
}

impl Holding {
    /// Says whether the state is as after an order.
    fn shows(&self, task: &Task) -> bool {
        match task {
            Task::Load(model) => self.models.contains(model),
            Task::Unload(model) => !self.models.contains(model),
            Task::Role(role) => self.role == *role,
        }
    }
}

/// Asks for something to be done.
#[data]
pub enum Output {
    /// Proposes an order to the log.
    Propose(Order),
    /// Sends an order; whatever carries it gives up and closes the connection at the expiry.
    Give(Give),
    /// Asks an upstream for its state.
    ReadBack {
        /// The upstream.
        upstream: Upstream,
        /// Tells the answer from that to an earlier question.
        question: u64,
    },
    /// Proposes to the log that an order has ended; comes again until the log holds it.
    End(End),
    /// Tells who wanted an order what became of the wish.
    Report(Report),
}

/// Sends an order.
#[data]
pub struct Give {
    /// The receiver.
    pub upstream: Upstream,
    /// Its number; the same when it is sent again.
    pub fence: Fence,
    /// When the order is void, on this instance's clock.
    pub expiry: Duration,
    /// What is ordered.
    pub task: Task,
}

/// Ends an order.
#[data(copy)]
pub struct Ending {
    /// Its number.
    pub fence: Fence,
    /// What became of it.
    pub result: Result,
}

/// Ends an order of one upstream.
#[data]
pub struct End {
    /// The upstream.
    pub upstream: Upstream,
    /// Which order and what became of it.
    pub ending: Ending,
}

/// Tells what became of a wish.
#[data]
pub struct Report {
    /// The upstream.
    pub upstream: Upstream,
    /// What is to be told.
    pub event: Event,
}

/// Names what can become of a wish.
#[data(copy)]
pub enum Event {
    /// This instance does not lead; nothing was done.
    NotLeading,
    /// The upstream has not announced itself; nothing was done.
    NotKnown,
    /// Another wish for the upstream took its place; nothing was done.
    Replaced,
    /// Earlier orders must run out first.
    Waiting {
        /// For at most so long, if the upstream then answers.
        wait: Duration,
    },
    /// The log refused the order; nothing was done.
    Denied,
    /// The log did not answer in time; the order may still be numbered and given.
    Unanswered,
    /// The order ended.
    Ended(Ending),
}

/// Gives orders to upstreams while this instance leads.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// The longest lease that a leader before this one may have held.
    lease: Duration,
    term: u64,
    until: Duration,
    /// When nothing of an older leader can arrive any more.
    clear: Duration,
    questions: u64,
    targets: BTreeMap<Upstream, Target>,
}

impl Dispatcher {
    /// Starts without leading; takes the longest lease that a leader may hold.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            term: 0,
            until: Duration::ZERO,
            clear: Duration::ZERO,
            questions: 0,
            targets: BTreeMap::new(),
        }
    }

    /// Takes what happened and adds what is to be done.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Lead(lead) => self.lead(now, lead),
            Input::Resign => self.until = Duration::ZERO,
            Input::Upstream { upstream, fenced } => self.announce(upstream, fenced),
            Input::Gone(upstream) => self.gone(&upstream),
            Input::Want(order) => self.want(now, order, out),
            Input::Committed(pending) => self.committed(now, pending),
            Input::Denied(upstream) => {
                let target = self.targets.get_mut(&upstream);
                if target.is_some_and(|target| target.proposed.take().is_some()) {
                    out.push(report(&upstream, Event::Denied));
                }
            }
            Input::Ended { upstream, fence } => self.ended(&upstream, fence, out),
            Input::Answer { upstream, fence, answer } => self.answer(&upstream, fence, answer),
            Input::Read { upstream, question, holding } => {
                self.read(&upstream, question, &holding);
            }
        }
        self.advance(now, out);
    }

    fn lead(&mut self, now: Duration, lead: Lead) {
        self.until = lead.until;
        if lead.term > self.term {
            self.begin(now, lead.term);
        }
        // Also in mid-term: the answer to a proposal may be lost, and an order that the log has
        // numbered and nobody gives or ends would keep its upstream from all others.
        for pending in lead.pending {
            self.committed(now, pending);
        }
    }

    fn begin(&mut self, now: Duration, term: u64) {
        self.term = term;
        let flight = Duration::from_millis(MAX_LIFETIME_MS);
        let arriving = with_margin(self.lease.saturating_add(flight)).saturating_add(GRACE);
        self.clear = now.saturating_add(arriving);
        for target in self.targets.values_mut() {
            let Target { known, fenced, .. } = *target;
            *target = Target { known, wanted: target.wanted.take(), ..Target::new(fenced) };
        }
    }

    /// Takes over an order that an older leader left without an end.
    fn inherit(&mut self, pending: Pending) {
        let upstream = pending.order.upstream.clone();
        let unknown = || Target { known: false, ..Target::new(false) };
        let target = self.targets.entry(upstream).or_insert_with(unknown);
        // Its answer may have been lost with that leader, so the upstream's state has to tell.
        target.current = Some(Current::inherited(pending));
        target.opened = false;
    }

    fn announce(&mut self, upstream: Upstream, fenced: bool) {
        let target = self.targets.entry(upstream).or_insert_with(|| Target::new(fenced));
        target.known = true;
        if target.fenced && !fenced {
            target.opened = false;
        }
        target.fenced = fenced;
    }

    fn gone(&mut self, upstream: &Upstream) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        target.known = false;
        target.wanted = None;
        target.opened = false;
        match &mut target.current {
            Some(current) => current.result = current.result.or(Some(Result::Lost)),
            None => drop(self.targets.remove(upstream)),
        }
    }

    fn want(&mut self, now: Duration, order: Order, out: &mut Vec<Output>) {
        let upstream = order.upstream.clone();
        let mut report = |event| out.push(report(&upstream, event));
        if now >= self.until {
            return report(Event::NotLeading);
        }
        let Some(target) = self.targets.get_mut(&upstream).filter(|target| target.known) else {
            return report(Event::NotKnown);
        };
        if target.wanted.replace(order).is_some() {
            report(Event::Replaced);
        }
        if !target.fenced && now < self.clear {
            report(Event::Waiting { wait: self.clear.saturating_sub(now) });
        }
    }

    fn committed(&mut self, now: Duration, pending: Pending) {
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
        target.proposed = None;
        let lifetime = Duration::from_millis(pending.order.lifetime.min(MAX_LIFETIME_MS));
        target.reading = None;
        target.current = Some(Current::new(pending, now.saturating_add(lifetime)));
    }

    fn ended(&mut self, upstream: &Upstream, fence: Fence, out: &mut Vec<Output>) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        let Some(current) = target.current.take_if(|current| current.pending.fence == fence) else {
            return;
        };
        if let Some(result) = current.result {
            out.push(report(upstream, Event::Ended(Ending { fence, result })));
        }
        if !target.known {
            self.targets.remove(upstream);
        }
    }

    fn answer(&mut self, upstream: &Upstream, fence: Fence, answer: Answer) {
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

    fn read(&mut self, upstream: &Upstream, question: u64, holding: &Holding) {
        let Some(target) = self.targets.get_mut(upstream) else { return };
        // An answer to an earlier question may be older than what has been ordered since.
        if target.reading.take_if(|reading| reading.question == question).is_none() {
            return;
        }
        target.opened = true;
        let Some(current) = &mut target.current else { return };
        let fence = current.pending.fence;
        let shown = match holding.fence {
            Some(held) if held > fence => Result::Superseded(held),
            Some(held) if held == fence => Result::Applied,
            _ if holding.shows(&current.pending.order.task) => Result::Applied,
            _ => Result::Lost,
        };
        current.result.get_or_insert(shown);
    }

    /// Does for every upstream what is due, as long as this instance leads.
    fn advance(&mut self, now: Duration, out: &mut Vec<Output>) {
        // A leader whose lease has run out may be an old one that does not know it; whatever it
        // sent now could overtake the new leader's orders.
        if now >= self.until {
            return;
        }
        for (upstream, target) in &mut self.targets {
            target.advance(now, upstream, out);
            if target.wants_reading(now, self.clear) {
                self.questions += 1;
                let question = self.questions;
                target.reading = Some(Reading { question, at: now });
                out.push(Output::ReadBack { upstream: upstream.clone(), question });
            }
        }
    }
}

/// Holds what is known of one upstream.
#[derive(Clone, Debug)]
struct Target {
    fenced: bool,
    /// Whether it has announced itself and is not gone.
    known: bool,
    /// Whether its state was read back since it became necessary.
    opened: bool,
    /// The last question for its state that is not answered.
    reading: Option<Reading>,
    wanted: Option<Order>,
    proposed: Option<Duration>,
    current: Option<Current>,
}

impl Target {
    fn new(fenced: bool) -> Self {
        Self {
            fenced,
            known: true,
            opened: fenced,
            reading: None,
            wanted: None,
            proposed: None,
            current: None,
        }
    }

    /// Gives, ends or proposes what is due.
    fn advance(&mut self, now: Duration, name: &Upstream, out: &mut Vec<Output>) {
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
    fn wants_reading(&self, now: Duration, clear: Duration) -> bool {
        let waited = |reading: &Reading| now >= reading.at.saturating_add(REPEAT);
        let quiet = match &self.current {
            Some(current) if current.result.is_some() => return false,
            Some(current) => now >= current.quiet,
            None if self.opened => return false,
            None => true,
        };
        let arrived = quiet && (self.fenced || now >= clear);
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
struct Reading {
    question: u64,
    at: Duration,
}

/// Holds the order that has not ended.
#[derive(Clone, Debug)]
struct Current {
    pending: Pending,
    expiry: Duration,
    /// When none of this leader's copies of it can arrive any more.
    quiet: Duration,
    given: Option<Duration>,
    result: Option<Result>,
    told: Option<Duration>,
}

impl Current {
    fn new(pending: Pending, expiry: Duration) -> Self {
        let quiet = expiry.saturating_add(GRACE);
        Self { pending, expiry, quiet, given: None, result: None, told: None }
    }

    /// Takes an order that this leader never gives.
    fn inherited(pending: Pending) -> Self {
        Self { quiet: Duration::ZERO, ..Self::new(pending, Duration::ZERO) }
    }

    /// Sends the order, or sends it again with the same number.
    fn give(&mut self, now: Duration, upstream: &Upstream) -> Option<Output> {
        let recent = self.given.is_some_and(|given| now < given.saturating_add(REPEAT));
        if self.result.is_some() || now >= self.expiry || recent {
            return None;
        }
        self.given = Some(now);
        Some(Output::Give(Give {
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

fn report(upstream: &Upstream, event: Event) -> Output {
    Output::Report(Report { upstream: upstream.clone(), event })
}
