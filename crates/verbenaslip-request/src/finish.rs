//! How requests end: told to callers, kept for a while, forgotten.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::refusal::{Refusal, Unknown};

use crate::caller::{Body, Ticket, Verdict};
use crate::message::Message;
use crate::output::{Outcome, Output};
use crate::owned::{Entry, Phase};
use crate::requests::{Requests, Turn};
use crate::timer::Timer;

/// Knows the finished answers, the ones to be forgotten first before the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Retention {
    order: BTreeSet<(Duration, Request)>,
    known: BTreeMap<Request, Kept>,
    tokens: u64,
    copied: usize,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    until: Duration,
    tokens: u32,
    copied: bool,
}

impl Retention {
    /// Adds or replaces a finished answer.
    pub(crate) fn add(&mut self, request: Request, until: Duration, tokens: u32, copied: bool) {
        self.remove(request);
        self.order.insert((until, request));
        self.known.insert(request, Kept { until, tokens, copied });
        self.tokens += u64::from(tokens);
        self.copied += usize::from(copied);
    }

    /// Removes an answer.
    pub(crate) fn remove(&mut self, request: Request) {
        let Some(kept) = self.known.remove(&request) else {
            return;
        };
        self.order.remove(&(kept.until, request));
        self.tokens -= u64::from(kept.tokens);
        self.copied -= usize::from(kept.copied);
    }

    /// Returns how many are of owned requests.
    pub(crate) fn owned(&self) -> usize {
        self.known.len() - self.copied
    }

    /// Returns how many are of copies.
    pub(crate) fn copied(&self) -> usize {
        self.copied
    }

    fn over(&self, answers: usize, tokens: u64) -> bool {
        self.known.len() > answers || self.tokens > tokens
    }
}

impl Requests {
    /// Ends a request that was surely not run, unless that can't be said for sure.
    pub(crate) fn refuse(&mut self, turn: &mut Turn<'_>, mut entry: Entry, refusal: Refusal) {
        if entry.may_have_run() {
            self.finish(turn, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        }
        if !entry.complete {
            self.finish(turn, entry, Outcome::Unknown(Unknown::Unreachable));
            return;
        }
        let old = turn.now.saturating_sub(entry.looked) > self.setup.timing.fresh;
        if entry.head.keyed && old && !entry.accepted() && entry.epoch > 0 {
            self.look_up_before(turn, entry, refusal);
            return;
        }
        let until = turn.now.saturating_add(self.setup.timing.resend * self.setup.timing.tries);
        entry.phase = Phase::Close { refusal, until };
        entry.due = None;
        if entry.accepted() {
            self.note(turn, &mut entry);
        }
        self.closed(turn, entry);
    }

    /// Tells callers that a request was not run, once no other instance can run it.
    ///
    /// Were the caller told before the second holder knows, and this instance lost right after, the
    /// holder would take the request over and run what was said not to have run.
    pub(crate) fn closed(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Close { refusal, until } = &entry.phase else {
            self.put(entry);
            return;
        };
        let refusal = refusal.clone();
        let accepted = entry.accepted();
        let active = entry.holder.is_some() || !entry.stale.is_empty();
        let told = match &entry.holder {
            Some(holder) => holder.acked >= Some(entry.sequence) && entry.stale.is_empty(),
            None => entry.stale.is_empty(),
        };
        let late = turn.now >= *until;
        if !accepted || !active || (told && !late) {
            self.conclude_refusal(turn, entry, refusal);
            return;
        }
        if !late {
            entry.due = Some(turn.now.saturating_add(self.setup.timing.resend));
            self.put(entry);
            return;
        }
        self.finish(turn, entry, Outcome::Unknown(Unknown::Unreachable));
    }

    fn conclude_refusal(&mut self, turn: &mut Turn<'_>, mut entry: Entry, refusal: Refusal) {
        for ticket in std::mem::take(&mut entry.callers).into_keys() {
            self.tickets.remove(&ticket);
            turn.tell(ticket, Verdict::Refused(refusal.clone()));
        }
        self.forget_elsewhere(turn, &entry);
        self.done(turn, &entry, Outcome::Refused(refusal));
        self.discard(turn, entry);
    }

    /// Ends a request.
    pub(crate) fn finish(&mut self, turn: &mut Turn<'_>, mut entry: Entry, outcome: Outcome) {
        if let Some(flight) = entry.flight.take() {
            turn.out.push(Output::Cancel(flight.live));
        }
        if entry.epoch == 0 {
            // Only the lookup has failed: there is nothing to keep.
            self.conclude_unknown(turn, entry, &outcome);
            return;
        }
        self.done(turn, &entry, outcome.clone());
        let told = entry.served && matches!(outcome, Outcome::Whole { .. });
        self.settle(turn, &mut entry, outcome);
        if !told {
            self.welcome_all(turn, &mut entry);
        }
        self.put(entry);
        self.sweep(turn);
    }

    fn conclude_unknown(&mut self, turn: &mut Turn<'_>, mut entry: Entry, outcome: &Outcome) {
        let unknown = match outcome {
            Outcome::Unknown(unknown) => *unknown,
            _ => Unknown::Unreachable,
        };
        for ticket in std::mem::take(&mut entry.callers).into_keys() {
            self.tickets.remove(&ticket);
            turn.tell(ticket, Verdict::Unknown(unknown));
        }
        self.forget_elsewhere(turn, &entry);
        self.discard(turn, entry);
    }

    /// Keeps a finished answer for its retention, and tells the second holder.
    pub(crate) fn settle(&mut self, turn: &mut Turn<'_>, entry: &mut Entry, outcome: Outcome) {
        let until = turn.now.saturating_add(self.setup.timing.retention);
        entry.phase = Phase::Finished { outcome, until };
        entry.due = None;
        entry.absent = None;
        self.release(entry.body.take());
        self.retention.add(entry.request(), until, entry.position, false);
        entry.watch_mirror(turn.now);
        self.note(turn, entry);
    }

    /// Tells all callers of a request that has ended.
    pub(crate) fn welcome_all(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        entry.served = true;
        let tickets: Vec<_> = entry.callers.keys().copied().collect();
        for ticket in tickets {
            self.welcome(turn, entry, ticket);
        }
    }

    /// Tells the policy, and the quorum where there is a claim, how a request ended.
    pub(crate) fn done(&self, turn: &mut Turn<'_>, entry: &Entry, outcome: Outcome) {
        let request = entry.request();
        if let Some(claimant) = entry.claimant
            && !matches!(outcome, Outcome::Moved { .. })
        {
            let outcome = match &outcome {
                // The claim may have been granted, but nothing was run under it.
                Outcome::Unknown(Unknown::Unreachable) if !entry.may_have_run() => {
                    let reason = verbenaslip_base::refusal::Reason::NotHeld;
                    Outcome::Refused(Refusal { reason, retry: None })
                }
                other => other.clone(),
            };
            turn.out.push(Output::Settle { request, claimant, outcome });
        }
        turn.out.push(Output::Done { request, outcome });
    }

    /// Frees all that is held of a request.
    pub(crate) fn discard(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let request = entry.request();
        self.timers.set(Timer::Owned(request), None);
        self.retention.remove(request);
        self.release(entry.body.take());
        for ticket in entry.callers.keys() {
            self.tickets.remove(ticket);
        }
        if entry.served {
            turn.out.push(Output::Forget { request, epoch: entry.epoch });
        }
    }

    /// Takes it that a caller's connection is closed.
    pub(crate) fn gone(&mut self, turn: &mut Turn<'_>, ticket: Ticket) {
        if let Some(relay) = self.relays.remove(&ticket) {
            self.timers.set(Timer::Parked(ticket), None);
            self.release(relay.body);
            return;
        }
        let Some(request) = self.tickets.remove(&ticket) else {
            return;
        };
        if let Some(copy) = self.copies.get_mut(&request) {
            let relay = copy.waiting.remove(&ticket);
            self.release(relay.and_then(|relay| relay.body));
        }
        let Some(mut entry) = self.take(request) else {
            return;
        };
        entry.callers.remove(&ticket);
        match entry.callers.is_empty() {
            true => self.deserted(turn, entry),
            false => self.put(entry),
        }
    }

    /// Decides what becomes of a request whose last caller has left.
    fn deserted(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        if entry.epoch == 0 {
            self.forget_elsewhere(turn, &entry);
            self.discard(turn, entry);
            return;
        }
        if entry.finished() {
            if !entry.head.keyed {
                self.forget_elsewhere(turn, &entry);
                self.discard(turn, entry);
                return;
            }
            self.put(entry);
            return;
        }
        if !entry.head.keyed {
            self.abandon(turn, entry);
            return;
        }
        entry.absent = Some(turn.now.saturating_add(self.setup.timing.absence));
        self.put(entry);
    }

    /// Gives up a request that nobody waits for.
    fn abandon(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        entry.absent = None;
        if !entry.head.idempotent && entry.head.keyed {
            // Whether a cancelled non-idempotent run had its effect could not be told any more.
            self.put(entry);
            return;
        }
        if !entry.head.keyed {
            if let Some(flight) = entry.flight.take() {
                turn.out.push(Output::Cancel(flight.live));
            }
            self.done(turn, &entry, Outcome::Abandoned);
            self.forget_elsewhere(turn, &entry);
            self.discard(turn, entry);
            return;
        }
        self.finish(turn, entry, Outcome::Abandoned);
    }

    /// Returns whether a finished request runs again for a caller that comes back.
    pub(crate) fn revives(&self, entry: &Entry) -> bool {
        let unfinished = matches!(
            entry.phase,
            Phase::Finished { outcome: Outcome::Unknown(_) | Outcome::Abandoned, .. }
        );
        unfinished && entry.head.idempotent && !entry.ends_upstreams() && self.stopping.is_none()
    }

    /// Runs a request again that had ended without a whole answer, from the tokens that are there.
    pub(crate) fn revive(
        &mut self,
        turn: &mut Turn<'_>,
        mut entry: Entry,
        head: &Head,
        body: Arc<Body>,
    ) {
        self.retention.remove(entry.request());
        entry.body = Some(body);
        entry.head.deadline = head.deadline;
        entry.ran = true;
        entry.served = false;
        entry.absent = None;
        entry.without.clear();
        entry.tried.clear();
        if let Some(holder) = entry.holder.take() {
            // The holder has freed the body, and is given the request anew.
            entry.stale.remove(&holder.instance);
            let (request, epoch) = (entry.request(), entry.epoch);
            turn.send(&holder.instance, Message::Drop { request, epoch, key: false });
        }
        entry.sequence += 1;
        self.own(turn, entry);
    }

    /// Looks at an owned request whose time has come.
    pub(crate) fn tick_entry(&mut self, turn: &mut Turn<'_>, request: Request) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        self.tell_ousted(turn, &mut entry);
        self.tick_holder(turn, &mut entry);
        self.tick_mirror(turn, &mut entry);
        self.tick_inform(turn, &mut entry);
        self.tick_moving(turn, &mut entry);
        if let Phase::Finished { until, .. } = entry.phase {
            match turn.now >= until && entry.callers.is_empty() {
                true => {
                    self.forget_elsewhere(turn, &entry);
                    self.discard(turn, entry);
                }
                false => self.keep_longer(turn, entry),
            }
            return;
        }
        if matches!(entry.phase, Phase::Close { .. }) {
            self.closed(turn, entry);
            return;
        }
        if let Phase::Lookup(lookup) = &entry.phase
            && lookup.refusal.is_some()
        {
            match turn.now >= lookup.until {
                true => self.tick_lookup(turn, entry),
                false => self.tick_phase(turn, entry),
            }
            return;
        }
        let lookup = matches!(entry.phase, Phase::Lookup(_));
        if turn.now >= entry.head.deadline && !lookup {
            self.expired(turn, entry);
            return;
        }
        if turn.now >= entry.head.deadline {
            self.finish(turn, entry, Outcome::Unknown(Unknown::Unreachable));
            return;
        }
        if entry.absent.is_some_and(|at| turn.now >= at) {
            self.abandon(turn, entry);
            return;
        }
        self.tick_phase(turn, entry);
    }

    fn tick_phase(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        if entry.due.is_none_or(|due| turn.now < due) {
            match entry.phase {
                Phase::Journal { .. } => self.tick_journal(turn, entry),
                _ => self.put(entry),
            }
            return;
        }
        entry.due = None;
        match entry.phase {
            Phase::Lookup(_) => self.tick_lookup(turn, entry),
            Phase::Journal { .. } => self.tick_journal(turn, entry),
            Phase::Claim { .. } => self.tick_claim(turn, entry),
            Phase::Pause => self.place(turn, entry),
            _ => self.put(entry),
        }
    }

    fn keep_longer(&mut self, turn: &Turn<'_>, mut entry: Entry) {
        if let Phase::Finished { until, .. } = &mut entry.phase
            && turn.now >= *until
        {
            *until = turn.now.saturating_add(self.setup.timing.absence);
        }
        self.put(entry);
    }

    /// Forgets the oldest finished answers that nobody reads, until the limits are kept.
    pub(crate) fn sweep(&mut self, turn: &mut Turn<'_>) {
        let (answers, tokens) = (self.setup.limit.finished, self.setup.limit.tokens);
        if !self.retention.over(answers, tokens) {
            return;
        }
        let oldest: Vec<_> = self.retention.order.iter().map(|(_, request)| *request).collect();
        for request in oldest {
            if !self.retention.over(answers, tokens) {
                return;
            }
            if self.copies.contains_key(&request) {
                self.drop_copy(turn, request);
                continue;
            }
            let read = self.entries.get(&request).is_some_and(|entry| !entry.callers.is_empty());
            if read {
                continue;
            }
            if let Some(entry) = self.take(request) {
                self.forget_elsewhere(turn, &entry);
                self.discard(turn, entry);
            }
        }
    }
}
