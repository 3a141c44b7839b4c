//! From a caller's arrival to the journal: lookup of the key, admission, relay to the owner.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::caller::{Arrival, Body, Ticket, Verdict};
use crate::output::{Outcome, Output};
use crate::owned::{Caller, OwnedRequest, Phase};
use crate::requests::{Requests, StepContext};
use crate::timer::Timer;

/// Holds a caller whose answer another instance assembles.
#[derive(Clone, Debug)]
pub(crate) struct RelayedCaller {
    /// The request.
    pub(crate) head: Head,
    /// What the caller sent, to run it should every other instance have lost it.
    pub(crate) body: Option<Arc<Body>>,
    /// The digest of what the caller sent.
    pub(crate) digest: u128,
    /// The instance that assembles the answer.
    pub(crate) owner: Instance,
    /// The last position that the caller has, as far as known.
    pub(crate) after: u32,
    /// Whether it may have been given tokens that `after` does not count.
    pub(crate) may_have_more: bool,
    /// Times that a relay of this caller was lost.
    pub(crate) relay_losses: u32,
}

impl RelayedCaller {
    /// Returns the caller as one that waits here.
    pub(crate) fn caller(&self) -> Caller {
        Caller { after: self.after, may_have_more: self.may_have_more, subscriber: false }
    }
}

impl Requests {
    pub(crate) fn handle_arrival(&mut self, ctx: &mut StepContext<'_>, arrival: Arrival) {
        let Arrival { ticket, head, body, after } = arrival;
        if self.tickets.contains_key(&ticket) || self.relays.contains_key(&ticket) {
            return;
        }
        let digest = body.digest();
        let relay = RelayedCaller {
            head,
            body: None,
            digest,
            owner: self.setup.instance.clone(),
            after: after.unwrap_or(0),
            may_have_more: false,
            relay_losses: 0,
        };
        self.admit_caller(ctx, ticket, relay, body);
    }

    /// Lets a caller in that has nothing yet, or whose relay was lost.
    fn admit_caller(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        relay: RelayedCaller,
        body: Arc<Body>,
    ) {
        let request = relay.head.request;
        if self.entries.contains_key(&request) {
            self.attach_caller(ctx, ticket, &relay, body);
            return;
        }
        if let Some(copy) = self.copies.get(&request)
            && copy.is_accepted()
        {
            self.attach_to_copy(ctx, ticket, relay, body);
            return;
        }
        if ctx.now >= relay.head.deadline {
            self.reject_caller(ctx, ticket, &relay.head, Reason::Deadline);
            return;
        }
        let unfinished = self.entries.len() - self.retention.owned();
        if unfinished >= self.setup.limit.owned || !self.reserve_bytes(&body) {
            self.reject_caller(ctx, ticket, &relay.head, Reason::Overload);
            return;
        }
        let caller = relay.caller();
        let mut entry = OwnedRequest::open(relay.head, Some(body), relay.digest, self.next_salt());
        entry.relay_losses = relay.relay_losses;
        entry.callers.insert(ticket, caller);
        self.tickets.insert(ticket, request);
        if entry.head.keyed {
            self.look_up(ctx, entry);
        } else {
            entry.complete = true;
            self.take_ownership(ctx, entry);
        }
    }

    /// Lets another instance pass on the answer that is assembled here.
    pub(crate) fn handle_subscribed(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        request: Request,
        after: u32,
    ) {
        if self.tickets.contains_key(&ticket) || self.relays.contains_key(&ticket) {
            return;
        }
        let barred = self.copies.get(&request).is_some_and(|copy| copy.takeover_blocked);
        if barred {
            ctx.send_verdict(ticket, Verdict::Unknown(Unknown::InstanceLost));
            return;
        }
        let Some(mut entry) = self.take(request) else {
            ctx.out.push(Output::Absent(ticket));
            return;
        };
        self.tickets.insert(ticket, request);
        entry.callers.insert(ticket, Caller { after, may_have_more: false, subscriber: true });
        self.end_late_callers(ctx, &mut entry);
        self.answer_caller(ctx, &mut entry, ticket);
        self.put(entry);
    }

    /// Looks again for the owner of a caller's request.
    pub(crate) fn handle_relay_lost(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        after: u32,
    ) {
        let Some(mut relay) = self.relays.remove(&ticket) else {
            return;
        };
        self.timers.set(Timer::Parked(ticket), None);
        relay.after = relay.after.max(after);
        relay.may_have_more = false;
        relay.relay_losses += 1;
        // An owner that has just died is named until the others notice it. Asked at once each time,
        // they would be asked a thousand times a second by every caller that it had.
        let wait = match relay.relay_losses {
            0 | 1 => Duration::ZERO,
            _ => self.setup.timing.resend,
        };
        self.relays.insert(ticket, relay);
        if wait.is_zero() {
            self.retry_relay(ctx, ticket);
        } else {
            self.timers.set(Timer::Parked(ticket), Some(ctx.now.saturating_add(wait)));
        }
    }

    /// Lets a caller in anew whose relay was lost.
    pub(crate) fn retry_relay(&mut self, ctx: &mut StepContext<'_>, ticket: Ticket) {
        self.timers.set(Timer::Parked(ticket), None);
        let Some(mut relay) = self.relays.remove(&ticket) else {
            return;
        };
        let Some(body) = relay.body.take() else {
            ctx.send_verdict(ticket, Verdict::Unknown(Unknown::InstanceLost));
            return;
        };
        self.release_body(Some(body.clone()));
        if ctx.now >= relay.head.deadline {
            ctx.send_verdict(ticket, Verdict::Unknown(Unknown::Unreachable));
            return;
        }
        self.admit_caller(ctx, ticket, relay, body);
    }

    /// Adds a caller to a request that this instance owns.
    fn attach_caller(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        relay: &RelayedCaller,
        body: Arc<Body>,
    ) {
        let Some(mut entry) = self.take(relay.head.request) else {
            return;
        };
        if entry.digest != relay.digest {
            ctx.send_verdict(ticket, Verdict::Conflict);
            self.put(entry);
            return;
        }
        self.tickets.insert(ticket, entry.request());
        entry.callers.insert(ticket, relay.caller());
        self.end_late_callers(ctx, &mut entry);
        if self.can_revive(&entry) && self.reserve_bytes(&body) {
            self.revive(ctx, entry, &relay.head, body);
            return;
        }
        self.answer_caller(ctx, &mut entry, ticket);
        self.put(entry);
    }

    /// Tells a caller that has just come what is known by now.
    pub(crate) fn answer_caller(
        &mut self,
        ctx: &mut StepContext<'_>,
        entry: &mut OwnedRequest,
        ticket: Ticket,
    ) {
        entry.abandon_at = None;
        let Some(caller) = entry.callers.get(&ticket) else {
            return;
        };
        let verdict = match &entry.phase {
            Phase::Finished { outcome: Outcome::Unknown(unknown), .. } => {
                Verdict::Unknown(*unknown)
            }
            Phase::Finished { outcome: Outcome::Refused(refusal), .. } => {
                Verdict::Refused(refusal.clone())
            }
            Phase::Finished { outcome: Outcome::Abandoned | Outcome::Moved { .. }, .. } => {
                Verdict::Unknown(Unknown::InstanceLost)
            }
            _ if entry.served => Verdict::Serve { request: entry.request(), after: caller.after },
            _ => return,
        };
        let is_final = !matches!(verdict, Verdict::Serve { .. });
        ctx.send_verdict(ticket, verdict);
        if is_final {
            entry.callers.remove(&ticket);
            self.tickets.remove(&ticket);
        }
    }

    /// Passes a caller on to the instance that owns its request.
    pub(crate) fn relay_caller(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        mut relay: RelayedCaller,
    ) {
        relay.may_have_more = true;
        let verdict = Verdict::Relay {
            request: relay.head.request,
            after: relay.after,
            owner: relay.owner.clone(),
        };
        ctx.send_verdict(ticket, verdict);
        self.relays.insert(ticket, relay);
    }

    /// Answers a caller that can't be let in.
    fn reject_caller(
        &self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        head: &Head,
        reason: Reason,
    ) {
        // The key may run elsewhere, which was not asked, so "not run" could be untrue.
        let verdict = match head.keyed {
            true => Verdict::Unknown(Unknown::Unreachable),
            false => Verdict::Refused(Refusal { reason, retry: None }),
        };
        ctx.send_verdict(ticket, verdict);
    }

    /// Passes all callers of a request on to its owner.
    pub(crate) fn join_owner(
        &mut self,
        ctx: &mut StepContext<'_>,
        entry: OwnedRequest,
        owner: &Instance,
        digest: u128,
    ) {
        if digest != entry.digest {
            for ticket in entry.callers.keys() {
                self.tickets.remove(ticket);
                ctx.send_verdict(*ticket, Verdict::Conflict);
            }
            self.release_body(entry.body);
            return;
        }
        self.relay_callers(ctx, entry, owner);
    }

    /// Relays the callers of an entry that is no longer this instance's.
    pub(crate) fn relay_callers(
        &mut self,
        ctx: &mut StepContext<'_>,
        entry: OwnedRequest,
        owner: &Instance,
    ) {
        for (ticket, caller) in &entry.callers {
            self.tickets.remove(ticket);
            if caller.subscriber {
                ctx.out.push(Output::Absent(*ticket));
                continue;
            }
            // Each relayed caller keeps the body, so that the request survives any loss as long as
            // its caller is there; a body that no longer fits is left out.
            let body = entry.body.clone().filter(|body| self.reserve_bytes(body));
            let relay = RelayedCaller {
                head: entry.head.clone(),
                body,
                digest: entry.digest,
                owner: owner.clone(),
                after: caller.after,
                may_have_more: true,
                relay_losses: entry.relay_losses,
            };
            self.relay_caller(ctx, *ticket, relay);
        }
        self.release_body(entry.body);
    }

    /// Makes this instance the first owner of a request and asks the policy to let it in.
    pub(crate) fn take_ownership(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        self.end_unservable_callers(ctx, &mut entry);
        if entry.callers.is_empty() {
            self.send_drops(ctx, &entry);
            self.discard(ctx, entry);
            return;
        }
        self.remove_superseded_copy(entry.request());
        entry.epoch = entry.epoch.max(1);
        entry.phase = Phase::Admit;
        entry.phase_due = None;
        if self.stopping.is_some() {
            let refusal = Refusal { reason: Reason::Stopping, retry: Some(Duration::ZERO) };
            self.refuse(ctx, entry, refusal);
            return;
        }
        ctx.out.push(Output::Admit(entry.head.clone()));
        self.put(entry);
    }

    /// Ends callers of another answer that join one which has only been begun anew.
    fn end_late_callers(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let just_started = entry.lineage == entry.salt && entry.position == 0 && entry.epoch > 0;
        if just_started && !entry.is_finished() {
            self.end_unservable_callers(ctx, entry);
        }
    }

    /// Ends callers that come back for the rest of an answer of which nothing is left.
    ///
    /// Everyone who held it is lost, and a new run may well answer in other words. One would notice
    /// a sentence that changes halfway; so the caller is told, and can ask anew from the start.
    fn end_unservable_callers(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let unservable: Vec<_> = entry
            .callers
            .iter()
            .filter(|(_, caller)| {
                caller.after > entry.position || (caller.may_have_more && entry.position == 0)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in unservable {
            entry.callers.remove(&ticket);
            self.tickets.remove(&ticket);
            ctx.send_verdict(ticket, Verdict::Unknown(Unknown::InstanceLost));
        }
    }

    pub(crate) fn handle_admitted(&mut self, ctx: &mut StepContext<'_>, request: Request) {
        let Some(entry) = self.take(request) else {
            return;
        };
        match entry.phase {
            Phase::Admit => self.start_journal(ctx, entry),
            _ => self.put(entry),
        }
    }

    pub(crate) fn handle_declined(
        &mut self,
        ctx: &mut StepContext<'_>,
        request: Request,
        refusal: Refusal,
    ) {
        let Some(entry) = self.take(request) else {
            return;
        };
        match entry.phase {
            Phase::Admit => self.refuse(ctx, entry, refusal),
            _ => self.put(entry),
        }
    }
}
