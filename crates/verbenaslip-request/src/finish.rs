//! End of requests: verdicts for callers, retention and removal.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::refusal::{Refusal, Unknown};

use crate::caller::{Body, Ticket, Verdict};
use crate::message::Message;
use crate::output::{Outcome, Output};
use crate::owned::{OwnedRequest, Phase};
use crate::requests::{Requests, StepContext};
use crate::timer::Timer;

/// Finished answers in the order in which they are removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Retention {
    /// Expiry and request, earliest first.
    by_expiry: BTreeSet<(Duration, Request)>,
    /// Finished answers by request.
    answers: BTreeMap<Request, Retained>,
    /// Tokens in all finished answers.
    tokens: u64,
    /// Number of finished copies.
    copied: usize,
}

#[derive(Clone, Copy, Debug)]
struct Retained {
    until: Duration,
    tokens: u32,
    copied: bool,
}

impl Retention {
    /// Adds or replaces a finished answer.
    pub(crate) fn add(&mut self, request: Request, until: Duration, tokens: u32, copied: bool) {
        self.remove(request);
        self.by_expiry.insert((until, request));
        self.answers.insert(request, Retained { until, tokens, copied });
        self.tokens += u64::from(tokens);
        self.copied += usize::from(copied);
    }

    /// Removes a finished answer.
    pub(crate) fn remove(&mut self, request: Request) {
        let Some(retained) = self.answers.remove(&request) else {
            return;
        };
        self.by_expiry.remove(&(retained.until, request));
        self.tokens -= u64::from(retained.tokens);
        self.copied -= usize::from(retained.copied);
    }

    /// Returns the number of finished owned requests.
    pub(crate) fn owned(&self) -> usize {
        self.answers.len() - self.copied
    }

    /// Returns the number of finished copies.
    pub(crate) fn copied(&self) -> usize {
        self.copied
    }

    fn exceeds(&self, answers: usize, tokens: u64) -> bool {
        self.answers.len() > answers || self.tokens > tokens
    }
}

impl Requests {
    /// Ends a request as not run, or as unknown if it is not certain that it did not run.
    pub(crate) fn refuse(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        refusal: Refusal,
    ) {
        if entry.may_have_run() {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        }
        if !entry.unknown_to_homes {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::Unreachable));
            return;
        }
        let outdated = ctx.now.saturating_sub(entry.looked_up_at) > self.setup.timing.fresh;
        if entry.head.keyed && outdated && !entry.is_accepted() && entry.epoch > 0 {
            self.look_up_before_refusal(ctx, entry, refusal);
            return;
        }
        let until = ctx.now.saturating_add(self.setup.timing.resend * self.setup.timing.tries);
        entry.phase = Phase::Close { refusal, until };
        entry.phase_due = None;
        if entry.is_accepted() {
            self.send_progress(ctx, &mut entry);
        }
        self.tick_close(ctx, entry);
    }

    /// Tells callers that a request did not run, once no other instance can run it.
    ///
    /// If callers were told before the second holder knows and this instance were lost right after,
    /// the holder would take the request over and run it.
    pub(crate) fn tick_close(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Phase::Close { refusal, until } = &entry.phase else {
            self.put(entry);
            return;
        };
        let refusal = refusal.clone();
        let accepted = entry.is_accepted();
        let active = entry.holder.is_some() || !entry.former_holders.is_empty();
        let notified = match &entry.holder {
            Some(holder) => {
                holder.acked_sequence >= Some(entry.sequence) && entry.former_holders.is_empty()
            }
            None => entry.former_holders.is_empty(),
        };
        let late = ctx.now >= *until;
        if !accepted || !active || (notified && !late) {
            self.conclude_refusal(ctx, entry, refusal);
            return;
        }
        if !late {
            entry.phase_due = Some(ctx.now.saturating_add(self.setup.timing.resend));
            self.put(entry);
            return;
        }
        self.finish(ctx, entry, Outcome::Unknown(Unknown::Unreachable));
    }

    fn conclude_refusal(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        refusal: Refusal,
    ) {
        for ticket in std::mem::take(&mut entry.callers).into_keys() {
            self.tickets.remove(&ticket);
            ctx.send_verdict(ticket, Verdict::Refused(refusal.clone()));
        }
        self.send_drops(ctx, &entry);
        self.report_done(ctx, &entry, Outcome::Refused(refusal));
        self.discard(ctx, entry);
    }

    /// Ends a request.
    pub(crate) fn finish(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        outcome: Outcome,
    ) {
        if let Some(run_state) = entry.run_state.take() {
            ctx.out.push(Output::Cancel(run_state.live));
        }
        if entry.epoch == 0 {
            // Only the lookup has failed, so there is nothing to keep.
            self.conclude_unknown(ctx, entry, &outcome);
            return;
        }
        self.report_done(ctx, &entry, outcome.clone());
        let already_served = entry.served && matches!(outcome, Outcome::Whole { .. });
        self.retain_outcome(ctx, &mut entry, outcome);
        if !already_served {
            self.answer_callers(ctx, &mut entry);
        }
        self.put(entry);
        self.enforce_retention_limits(ctx);
    }

    fn conclude_unknown(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        outcome: &Outcome,
    ) {
        let unknown = match outcome {
            Outcome::Unknown(unknown) => *unknown,
            _ => Unknown::Unreachable,
        };
        for ticket in std::mem::take(&mut entry.callers).into_keys() {
            self.tickets.remove(&ticket);
            ctx.send_verdict(ticket, Verdict::Unknown(unknown));
        }
        self.send_drops(ctx, &entry);
        self.discard(ctx, entry);
    }

    /// Keeps a finished answer for its retention time and informs the second holder.
    pub(crate) fn retain_outcome(
        &mut self,
        ctx: &mut StepContext<'_>,
        entry: &mut OwnedRequest,
        outcome: Outcome,
    ) {
        let until = ctx.now.saturating_add(self.setup.timing.retention);
        entry.phase = Phase::Finished { outcome, until };
        entry.phase_due = None;
        entry.abandon_at = None;
        self.release_body(entry.body.take());
        self.retention.add(entry.request(), until, entry.position, false);
        entry.update_lag(ctx.now);
        self.send_progress(ctx, entry);
    }

    /// Answers all callers of a request that has ended.
    pub(crate) fn answer_callers(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        entry.served = true;
        let tickets: Vec<_> = entry.callers.keys().copied().collect();
        for ticket in tickets {
            self.answer_caller(ctx, entry, ticket);
        }
    }

    /// Tells the policy, and the quorum if there is a claim, how a request ended.
    pub(crate) fn report_done(
        &self,
        ctx: &mut StepContext<'_>,
        entry: &OwnedRequest,
        outcome: Outcome,
    ) {
        let request = entry.request();
        if let Some(claimant) = entry.claimant
            && !matches!(outcome, Outcome::Moved { .. })
        {
            let outcome = match &outcome {
                // The claim may have been granted, but nothing ran under it.
                Outcome::Unknown(Unknown::Unreachable) if !entry.may_have_run() => {
                    let reason = verbenaslip_base::refusal::Reason::NotHeld;
                    Outcome::Refused(Refusal { reason, retry: None })
                }
                other => other.clone(),
            };
            ctx.out.push(Output::Settle { request, claimant, outcome });
        }
        ctx.out.push(Output::Done { request, outcome });
    }

    /// Frees everything held for a request.
    pub(crate) fn discard(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let request = entry.request();
        self.timers.set(Timer::Owned(request), None);
        self.retention.remove(request);
        self.release_body(entry.body.take());
        for ticket in entry.callers.keys() {
            self.tickets.remove(ticket);
        }
        if entry.served {
            ctx.out.push(Output::Forget { request, epoch: entry.epoch });
        }
    }

    /// Handles the end of a caller's connection.
    pub(crate) fn handle_gone(&mut self, ctx: &mut StepContext<'_>, ticket: Ticket) {
        if let Some(relay) = self.relayed_callers.remove(&ticket) {
            self.timers.set(Timer::Parked(ticket), None);
            self.release_body(relay.body);
            return;
        }
        let Some(request) = self.tickets.remove(&ticket) else {
            return;
        };
        if let Some(copy) = self.copies.get_mut(&request) {
            let relay = copy.waiting_callers.remove(&ticket);
            self.release_body(relay.and_then(|relay| relay.body));
        }
        let Some(mut entry) = self.take(request) else {
            return;
        };
        entry.callers.remove(&ticket);
        match entry.callers.is_empty() {
            true => self.handle_last_caller_gone(ctx, entry),
            false => self.put(entry),
        }
    }

    /// Decides what happens to a request whose last caller has left.
    fn handle_last_caller_gone(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        if entry.epoch == 0 {
            self.send_drops(ctx, &entry);
            self.discard(ctx, entry);
            return;
        }
        if entry.is_finished() {
            if !entry.head.keyed {
                self.send_drops(ctx, &entry);
                self.discard(ctx, entry);
                return;
            }
            self.put(entry);
            return;
        }
        if !entry.head.keyed {
            self.abandon(ctx, entry);
            return;
        }
        entry.abandon_at = Some(ctx.now.saturating_add(self.setup.timing.absence));
        self.put(entry);
    }

    /// Abandons a request that has no callers.
    fn abandon(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        entry.abandon_at = None;
        if !entry.head.idempotent && entry.head.keyed {
            // If the run were canceled, it would be unknown whether the request took effect.
            self.put(entry);
            return;
        }
        if !entry.head.keyed {
            if let Some(run_state) = entry.run_state.take() {
                ctx.out.push(Output::Cancel(run_state.live));
            }
            self.report_done(ctx, &entry, Outcome::Abandoned);
            self.send_drops(ctx, &entry);
            self.discard(ctx, entry);
            return;
        }
        self.finish(ctx, entry, Outcome::Abandoned);
    }

    /// Returns whether a finished request runs again for a caller that comes back.
    pub(crate) fn can_revive(&self, entry: &OwnedRequest) -> bool {
        let unfinished = matches!(
            entry.phase,
            Phase::Finished { outcome: Outcome::Unknown(_) | Outcome::Abandoned, .. }
        );
        unfinished && entry.head.idempotent && !entry.is_poison() && self.stop_deadline.is_none()
    }

    /// Runs a request again that ended without a complete answer, from its existing tokens.
    pub(crate) fn revive(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        head: &Head,
        body: Arc<Body>,
    ) {
        self.retention.remove(entry.request());
        entry.body = Some(body);
        entry.head.deadline = head.deadline;
        entry.ran = true;
        entry.served = false;
        entry.abandon_at = None;
        entry.excluded.clear();
        entry.tried_holders.clear();
        if let Some(holder) = entry.holder.take() {
            // The holder has released the body and needs the request again.
            entry.former_holders.remove(&holder.instance);
            let (request, epoch) = (entry.request(), entry.epoch);
            ctx.send(&holder.instance, Message::Drop { request, epoch, key: false });
        }
        entry.sequence += 1;
        self.take_ownership(ctx, entry);
    }

    /// Handles the timer of an owned request.
    pub(crate) fn tick_entry(&mut self, ctx: &mut StepContext<'_>, request: Request) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        self.notify_former_owner(ctx, &mut entry);
        self.tick_holder(ctx, &mut entry);
        self.tick_mirror(ctx, &mut entry);
        self.tick_inform(ctx, &mut entry);
        self.tick_moving(ctx, &mut entry);
        if let Phase::Finished { until, .. } = entry.phase {
            match ctx.now >= until && entry.callers.is_empty() {
                true => {
                    self.send_drops(ctx, &entry);
                    self.discard(ctx, entry);
                }
                false => self.extend_retention(ctx, entry),
            }
            return;
        }
        if matches!(entry.phase, Phase::Close { .. }) {
            self.tick_close(ctx, entry);
            return;
        }
        if let Phase::Lookup(lookup) = &entry.phase
            && lookup.refusal.is_some()
        {
            match ctx.now >= lookup.until {
                true => self.tick_lookup(ctx, entry),
                false => self.tick_phase(ctx, entry),
            }
            return;
        }
        let lookup = matches!(entry.phase, Phase::Lookup(_));
        if ctx.now >= entry.head.deadline && !lookup {
            self.handle_deadline(ctx, entry);
            return;
        }
        if ctx.now >= entry.head.deadline {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::Unreachable));
            return;
        }
        if entry.abandon_at.is_some_and(|at| ctx.now >= at) {
            self.abandon(ctx, entry);
            return;
        }
        self.tick_phase(ctx, entry);
    }

    fn tick_phase(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        if entry.phase_due.is_none_or(|due| ctx.now < due) {
            match entry.phase {
                Phase::Journal { .. } => self.tick_journal(ctx, entry),
                _ => self.put(entry),
            }
            return;
        }
        entry.phase_due = None;
        match entry.phase {
            Phase::Lookup(_) => self.tick_lookup(ctx, entry),
            Phase::Journal { .. } => self.tick_journal(ctx, entry),
            Phase::Claim { .. } => self.tick_claim(ctx, entry),
            Phase::Pause => self.request_placement(ctx, entry),
            _ => self.put(entry),
        }
    }

    fn extend_retention(&mut self, ctx: &StepContext<'_>, mut entry: OwnedRequest) {
        if let Phase::Finished { until, .. } = &mut entry.phase
            && ctx.now >= *until
        {
            *until = ctx.now.saturating_add(self.setup.timing.absence);
        }
        self.put(entry);
    }

    /// Removes the oldest finished answers without readers until the limits are met.
    pub(crate) fn enforce_retention_limits(&mut self, ctx: &mut StepContext<'_>) {
        let (answers, tokens) = (self.setup.limit.finished, self.setup.limit.tokens);
        if !self.retention.exceeds(answers, tokens) {
            return;
        }
        let oldest: Vec<_> = self.retention.by_expiry.iter().map(|(_, request)| *request).collect();
        for request in oldest {
            if !self.retention.exceeds(answers, tokens) {
                return;
            }
            if self.copies.contains_key(&request) {
                self.drop_copy(ctx, request);
                continue;
            }
            let read = self.entries.get(&request).is_some_and(|entry| !entry.callers.is_empty());
            if read {
                continue;
            }
            if let Some(entry) = self.take(request) {
                self.send_drops(ctx, &entry);
                self.discard(ctx, entry);
            }
        }
    }
}
