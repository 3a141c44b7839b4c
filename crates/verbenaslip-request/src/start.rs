//! From the accepted request to its run: claim, placement, start.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::hash;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::caller::Verdict;
use crate::claim::{Claim, Ruling};
use crate::input::Placement;
use crate::message::ActiveRun;
use crate::output::{Outcome, Output, PlacementRequest};
use crate::owned::{MoveState, OwnedRequest, Phase, RunOrigin, RunState};
use crate::requests::{Requests, StepContext};
use crate::run::{Run, Start};
use crate::timer::Timer;

impl Requests {
    /// Asks the quorum for the right to run a non-idempotent request.
    pub(crate) fn request_claim(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let until = ctx.now.saturating_add(self.setup.timing.claim);
        entry.phase = Phase::Claim { until, unsure: false };
        entry.claimant = Some(self.claimant(&entry));
        self.send_claim(ctx, &mut entry);
        self.put(entry);
    }

    /// Returns a number that no other claim has.
    ///
    /// An instance can own a request, lose it to another instance and own it again, before or after a
    /// restart. If both claims had the same number, the quorum would take the second for a resend of
    /// the first and grant it, and the request would run twice.
    fn claimant(&self, entry: &OwnedRequest) -> u128 {
        hash::wide(&[
            self.setup.instance.as_str().as_bytes(),
            &self.setup.boot.to_le_bytes(),
            &entry.request().0.to_le_bytes(),
            &entry.salt.to_le_bytes(),
        ])
    }

    fn send_claim(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let Some(claimant) = entry.claimant else {
            return;
        };
        entry.phase_due = Some(ctx.now.saturating_add(self.setup.timing.resend * 5));
        ctx.out.push(Output::Claim(Claim {
            request: entry.request(),
            claimant,
            owner: self.setup.instance.clone(),
            issued: entry.head.issued,
        }));
    }

    /// Resends an unanswered claim, or gives up at its time limit.
    pub(crate) fn tick_claim(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Phase::Claim { until, unsure } = entry.phase else {
            self.put(entry);
            return;
        };
        if ctx.now < until {
            self.send_claim(ctx, &mut entry);
            self.put(entry);
            return;
        }
        self.fail_claim(ctx, entry, unsure);
    }

    /// Ends a request without a granted claim.
    pub(crate) fn fail_claim(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        unsure: bool,
    ) {
        if entry.former_copy.is_some() {
            self.restore_copy(ctx, entry);
            return;
        }
        if !unsure {
            entry.claimant = None;
            let retry = Some(self.setup.timing.resend);
            self.refuse(ctx, entry, Refusal { reason: Reason::NotHeld, retry });
            return;
        }
        self.finish(ctx, entry, Outcome::Unknown(Unknown::Unreachable));
    }

    /// Handles the quorum's answer to a claim.
    pub(crate) fn handle_claim_result(
        &mut self,
        ctx: &mut StepContext<'_>,
        request: Request,
        claimant: u128,
        ruling: Ruling,
    ) {
        let Some(mut entry) = self.take(request) else {
            self.release_unwanted_claim(ctx, request, claimant, &ruling);
            return;
        };
        let Phase::Claim { unsure, .. } = &mut entry.phase else {
            self.put(entry);
            return;
        };
        if entry.claimant != Some(claimant) {
            self.put(entry);
            return;
        }
        match ruling {
            Ruling::Granted => self.handle_granted(ctx, entry),
            Ruling::NoQuorum => self.put(entry),
            Ruling::Unknown => {
                *unsure = true;
                self.put(entry);
            }
            Ruling::Expired => {
                entry.claimant = None;
                let refusal = Refusal { reason: Reason::KeyExpired, retry: None };
                self.refuse(ctx, entry, refusal);
            }
            Ruling::Held { .. } | Ruling::Settled if entry.former_copy.is_some() => {
                self.restore_copy(ctx, entry);
            }
            Ruling::Held { owner: Some(owner) }
                if owner != self.setup.instance
                    && self.membership.is_alive(&owner)
                    && entry.relay_losses < self.setup.timing.tries =>
            {
                entry.relay_losses += 1;
                self.send_drops(ctx, &entry);
                self.report_done(ctx, &entry, Outcome::Moved { owner: owner.clone() });
                self.relay_callers(ctx, entry, &owner);
            }
            Ruling::Held { .. } | Ruling::Settled => {
                entry.claimant = None;
                entry.ran = true;
                self.finish(ctx, entry, Outcome::Unknown(Unknown::InstanceLost));
            }
        }
    }

    /// Releases a claim that was granted after its request was gone.
    fn release_unwanted_claim(
        &self,
        ctx: &mut StepContext<'_>,
        request: Request,
        claimant: u128,
        ruling: &Ruling,
    ) {
        if *ruling != Ruling::Granted {
            return;
        }
        let refusal = Refusal { reason: Reason::Deadline, retry: None };
        ctx.out.push(Output::Settle { request, claimant, outcome: Outcome::Refused(refusal) });
    }

    fn handle_granted(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        self.confirm_takeover(ctx, &mut entry);
        self.request_placement(ctx, entry);
    }

    /// Asks the router for an upstream.
    pub(crate) fn request_placement(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        entry.phase = Phase::Place;
        entry.phase_due = None;
        self.send_placement_request(ctx, &entry, None);
        self.put(entry);
    }

    /// Asks the router again after a delay.
    pub(crate) fn pause_placement(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        wait: Duration,
    ) {
        if wait.is_zero() {
            self.request_placement(ctx, entry);
            return;
        }
        entry.phase = Phase::Pause;
        entry.phase_due = Some(ctx.now.saturating_add(wait));
        self.put(entry);
    }

    pub(crate) fn send_placement_request(
        &self,
        ctx: &mut StepContext<'_>,
        entry: &OwnedRequest,
        from: Option<Upstream>,
    ) {
        let leaving =
            self.leaving_upstreams.keys().filter(|upstream| !entry.excluded.contains(*upstream));
        ctx.out.push(Output::Place(PlacementRequest {
            head: entry.head.clone(),
            position: entry.position,
            without: entry.excluded.iter().chain(leaving).cloned().collect(),
            from,
        }));
    }

    /// Handles the router's choice.
    pub(crate) fn handle_placed(
        &mut self,
        ctx: &mut StepContext<'_>,
        request: Request,
        place: Placement,
    ) {
        let Some(entry) = self.take(request) else {
            return;
        };
        let move_state = entry
            .run_state
            .as_ref()
            .is_some_and(|run_state| matches!(run_state.move_state, MoveState::Requested));
        match entry.phase {
            // The second holder may run the request by now; a run here would be a second one.
            Phase::Place if entry.handed_over_at.is_some() => self.put(entry),
            Phase::Place if self.leaving_upstreams.contains_key(&place.upstream) => {
                // The router may not know yet that the upstream leaves; an upstream that leaves
                // must not get new work.
                let wait = self.setup.timing.resend;
                self.pause_placement(ctx, entry, wait);
            }
            Phase::Place => self.begin_run(ctx, entry, &place),
            Phase::Run if move_state => self.move_run(ctx, entry, place),
            _ => self.put(entry),
        }
    }

    /// Starts a run from the prompt and existing tokens.
    pub(crate) fn begin_run(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        place: &Placement,
    ) {
        let Some(attempt) = entry.next_attempt() else {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        };
        let start = match place.kind {
            Kind::Engine if entry.position > 0 => Start::Resume,
            Kind::Engine | Kind::Service => Start::Fresh,
        };
        let live = run_at(attempt, place);
        self.launch_run(ctx, &mut entry, live, start, RunOrigin::Fresh);
        self.put(entry);
    }

    /// Starts a run, serves the callers and informs the second holder.
    pub(crate) fn launch_run(
        &mut self,
        ctx: &mut StepContext<'_>,
        entry: &mut OwnedRequest,
        live: ActiveRun,
        start: Start,
        origin: RunOrigin,
    ) {
        let Some(body) = entry.body.clone() else {
            return;
        };
        entry.phase = Phase::Run;
        entry.phase_due = None;
        entry.unmirrored_served |= entry.confirmed_holder().is_none();
        let move_state = MoveState::Idle;
        let rejoins = u32::from(matches!(origin, RunOrigin::Rejoined));
        let last_heard = ctx.now;
        entry.last_run = Some(live.clone());
        let run = Run {
            attempt: live.attempt,
            upstream: live.upstream.clone(),
            address: live.address,
            kind: live.kind,
            body,
            start,
            priority: live.priority,
            stall: self.setup.timing.stall,
            deadline: entry.head.deadline,
        };
        entry.run_state =
            Some(RunState { live, origin, rejoins, first_tokens: None, last_heard, move_state });
        let (request, epoch) = (entry.request(), entry.epoch);
        if !entry.served && entry.former_copy.is_none() {
            ctx.out.push(Output::Own { request, epoch });
        }
        ctx.out.push(Output::Run(run));
        self.serve_callers(ctx, entry);
        self.send_progress(ctx, entry);
        if self.stop_deadline.is_some() {
            // A run that starts this late is handed over as well if it does not end in time.
            self.timers.set(Timer::Stop, Some(ctx.now));
        }
        self.plan_move(ctx, entry);
    }

    /// Tells callers that they are served.
    pub(crate) fn serve_callers(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        if entry.served {
            return;
        }
        entry.served = true;
        for (ticket, caller) in &entry.callers {
            let (request, after) = (entry.request(), caller.after);
            ctx.send_verdict(*ticket, Verdict::Serve { request, after });
        }
    }

    /// Handles the router's answer that there is no upstream.
    pub(crate) fn handle_no_place(
        &mut self,
        ctx: &mut StepContext<'_>,
        request: Request,
        wait: Option<Duration>,
        refusal: Refusal,
    ) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        if let Some(run_state) = &mut entry.run_state
            && matches!(run_state.move_state, MoveState::Requested)
        {
            let at = ctx.now.saturating_add(wait.unwrap_or(self.setup.timing.resend));
            run_state.move_state = MoveState::Paused { at };
            self.put(entry);
            return;
        }
        if !matches!(entry.phase, Phase::Place) {
            self.put(entry);
            return;
        }
        let excluded = !std::mem::take(&mut entry.excluded).is_empty();
        match wait {
            Some(wait) => self.pause_placement(ctx, entry, wait),
            // An upstream that failed once may be the only one that has the model.
            None if excluded => {
                let wait = self.setup.timing.resend;
                self.pause_placement(ctx, entry, wait);
            }
            None => self.refuse(ctx, entry, refusal),
        }
    }
}

/// Returns the identity of a run at an upstream.
pub(crate) fn run_at(attempt: Attempt, place: &Placement) -> ActiveRun {
    ActiveRun {
        attempt,
        upstream: place.upstream.clone(),
        address: place.address,
        kind: place.kind,
        priority: place.priority,
    }
}
