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

/// Caller whose answer another instance assembles.
#[derive(Clone, Debug)]
pub(crate) struct RelayedCaller {
    /// The request.
    pub(crate) head: Head,
    /// Request body, so that this instance can run the request if all others have lost it.
    pub(crate) body: Option<Arc<Body>>,
    /// Digest of the request body.
    pub(crate) digest: u128,
    /// Instance that assembles the answer.
    pub(crate) owner: Instance,
    /// Last position that the caller has, as far as known.
    pub(crate) after: u32,
    /// Whether the caller may have received tokens beyond `after`.
    pub(crate) may_have_more: bool,
    /// How many times a relay of this caller was lost.
    pub(crate) relay_losses: u32,
}

impl RelayedCaller {
    /// Returns the caller as one that is served by this instance.
    pub(crate) fn caller(&self) -> Caller {
        Caller { after: self.after, may_have_more: self.may_have_more, subscriber: false }
    }
}

impl Requests {
    pub(crate) fn handle_arrival(&mut self, ctx: &mut StepContext<'_>, arrival: Arrival) {
        let Arrival { ticket, head, body, after } = arrival;
        if self.tickets.contains_key(&ticket) || self.relayed_callers.contains_key(&ticket) {
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

    /// Admits a caller that is new or whose relay was lost.
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
            entry.unknown_to_homes = true;
            self.take_ownership(ctx, entry);
        }
    }

    /// Lets another instance relay the answer that this instance assembles.
    pub(crate) fn handle_subscribed(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        request: Request,
        after: u32,
    ) {
        if self.tickets.contains_key(&ticket) || self.relayed_callers.contains_key(&ticket) {
            return;
        }
        let blocked = self.copies.get(&request).is_some_and(|copy| copy.takeover_blocked);
        if blocked {
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

    /// Searches for the owner of a caller's request again after its relay was lost.
    pub(crate) fn handle_relay_lost(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        after: u32,
    ) {
        let Some(mut relay) = self.relayed_callers.remove(&ticket) else {
            return;
        };
        self.timers.set(Timer::Parked(ticket), None);
        relay.after = relay.after.max(after);
        relay.may_have_more = false;
        relay.relay_losses += 1;
        // The other instances name a dead owner until they detect its death. Without a pause, every
        // caller of that owner would make them answer a thousand queries a second.
        let wait = match relay.relay_losses {
            0 | 1 => Duration::ZERO,
            _ => self.setup.timing.resend,
        };
        self.relayed_callers.insert(ticket, relay);
        if wait.is_zero() {
            self.retry_relay(ctx, ticket);
        } else {
            self.timers.set(Timer::Parked(ticket), Some(ctx.now.saturating_add(wait)));
        }
    }

    /// Admits a caller again whose relay was lost.
    pub(crate) fn retry_relay(&mut self, ctx: &mut StepContext<'_>, ticket: Ticket) {
        self.timers.set(Timer::Parked(ticket), None);
        let Some(mut relay) = self.relayed_callers.remove(&ticket) else {
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

    /// Gives a new caller the answer known so far.
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

    /// Relays a caller to the instance that owns its request.
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
        self.relayed_callers.insert(ticket, relay);
    }

    /// Answers a caller that cannot be admitted.
    fn reject_caller(
        &self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        head: &Head,
        reason: Reason,
    ) {
        // The key may run on another instance, which was not asked, so "not run" could be wrong.
        let verdict = match head.keyed {
            true => Verdict::Unknown(Unknown::Unreachable),
            false => Verdict::Refused(Refusal { reason, retry: None }),
        };
        ctx.send_verdict(ticket, verdict);
    }

    /// Relays all callers of a request to its owner, or ends them if they sent a different body.
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

    /// Relays the callers of an entry that this instance no longer owns.
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
            // Each relayed caller keeps the body, so that the request survives any loss while its
            // caller is connected. A body that exceeds the memory limit is left out.
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

    /// Makes this instance the first owner of a request and asks the policy to admit it.
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
        if self.stop_deadline.is_some() {
            let refusal = Refusal { reason: Reason::Stopping, retry: Some(Duration::ZERO) };
            self.refuse(ctx, entry, refusal);
            return;
        }
        ctx.out.push(Output::Admit(entry.head.clone()));
        self.put(entry);
    }

    /// Ends callers that continue another answer if this answer has only just been started.
    fn end_late_callers(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let just_started = entry.lineage == entry.salt && entry.position == 0 && entry.epoch > 0;
        if just_started && !entry.is_finished() {
            self.end_unservable_callers(ctx, entry);
        }
    }

    /// Ends callers that want the rest of an answer of which nothing is left.
    ///
    /// All instances that had the answer are lost, and a new run may produce a different one. The
    /// caller is told and can start again; otherwise it could see a sentence that changes halfway.
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
