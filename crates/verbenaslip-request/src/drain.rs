//! Shutdown of this instance: refuses new requests, finishes what it can, hands over the rest.

use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::message::Message;
use crate::output::{Outcome, Output};
use crate::owned::{OwnedRequest, Phase};
use crate::requests::{Requests, StepContext};
use crate::timer::Timer;

impl Requests {
    /// Begins a shutdown; a second call can only shorten the time.
    pub(crate) fn handle_stop(&mut self, ctx: &mut StepContext<'_>, remaining: Duration) {
        let end = ctx.now.saturating_add(remaining);
        let end = self.stop_deadline.map_or(end, |known| known.min(end));
        self.stop_deadline = Some(end);
        for request in self.owned_requests() {
            let Some(entry) = self.take(request) else {
                continue;
            };
            match entry.phase {
                Phase::Admit | Phase::Journal { .. } => self.refuse_stopping(ctx, entry),
                _ => self.put(entry),
            }
        }
        self.return_copies(ctx);
        self.tick_stop(ctx);
    }

    fn owned_requests(&self) -> Vec<Request> {
        self.entries.keys().copied().collect()
    }

    fn refuse_stopping(&mut self, ctx: &mut StepContext<'_>, entry: OwnedRequest) {
        let refusal = Refusal { reason: Reason::Stopping, retry: Some(Duration::ZERO) };
        self.refuse(ctx, entry, refusal);
    }

    /// Tells the owners of all copies stored here to find another holder while there is time.
    fn return_copies(&self, ctx: &mut StepContext<'_>) {
        for (request, copy) in &self.copies {
            let (request, epoch) = (*request, copy.note.epoch);
            if copy.owner_lost_at.is_none() && !copy.is_finished() {
                ctx.send(&copy.owner, Message::Full { request, epoch });
            }
        }
    }

    /// Hands over requests that will not end in time, and ends the rest at the time limit.
    pub(crate) fn tick_stop(&mut self, ctx: &mut StepContext<'_>) {
        let Some(end) = self.stop_deadline else {
            return;
        };
        let handover = end.saturating_sub(self.setup.timing.handover);
        if ctx.now < handover {
            self.timers.set(Timer::Stop, Some(handover));
            return;
        }
        if ctx.now < end {
            self.hand_over(ctx);
            let again = ctx.now.saturating_add(self.setup.timing.resend);
            self.timers.set(Timer::Stop, Some(again.min(end)));
            return;
        }
        for request in self.owned_requests() {
            if let Some(entry) = self.take(request) {
                self.end_request(ctx, entry);
            }
        }
    }

    fn hand_over(&mut self, ctx: &mut StepContext<'_>) {
        for request in self.owned_requests() {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            let again = ctx.now.saturating_sub(self.setup.timing.resend);
            let recent = entry.handed_over_at.is_some_and(|at| at > again);
            if recent || !can_hand_over(&entry) {
                self.put(entry);
                continue;
            }
            let Some(holder) = entry.confirmed_holder().cloned() else {
                if entry.holder.is_none() {
                    entry.tried_holders.clear();
                    self.choose_holder(ctx, &mut entry);
                }
                self.put(entry);
                continue;
            };
            entry.sequence += 1;
            entry.handed_over_at = Some(ctx.now);
            // The second holder may run the request from now on, so "not run" can no longer be told.
            entry.unknown_to_homes = false;
            ctx.send(&holder, Message::HandOver(entry.progress()));
            self.put(entry);
        }
    }

    /// Ends a request that is left at the time limit.
    fn end_request(&mut self, ctx: &mut StepContext<'_>, entry: OwnedRequest) {
        if entry.is_finished() {
            self.put(entry);
            return;
        }
        if matches!(entry.phase, Phase::Lookup(_)) || entry.may_have_run() {
            // The second holder continues the request if it can, so the run must not be canceled.
            let mut entry = entry;
            entry.run_state = None;
            self.finish(ctx, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        }
        self.refuse_stopping(ctx, entry);
    }

    /// Reports once that nothing is left.
    pub(crate) fn check_drained(&mut self, ctx: &mut StepContext<'_>) {
        let Some(end) = self.stop_deadline else {
            return;
        };
        if self.drained || (ctx.now < end && !self.is_drained()) {
            return;
        }
        self.drained = true;
        ctx.out.push(Output::Drained);
    }

    fn is_drained(&self) -> bool {
        let owned = self
            .entries
            .values()
            .all(|entry| entry.is_finished() && Self::is_holder_current(entry));
        let held =
            self.copies.values().all(|copy| copy.is_finished() || copy.owner_lost_at.is_some());
        owned && held && self.tickets.is_empty() && self.relayed_callers.is_empty()
    }
}

/// Returns whether a second holder can continue a request.
fn can_hand_over(entry: &OwnedRequest) -> bool {
    match entry.phase {
        Phase::Run => entry.head.idempotent || entry.runs_on_engine(),
        Phase::Pause | Phase::Place | Phase::Budget => entry.head.idempotent,
        _ => false,
    }
}
