//! Events of runs: progress, end and failure, and the choice between rejoining and running again.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::message::ActiveRun;
use crate::output::{Outcome, Output};
use crate::owned::{OwnedRequest, Phase, RunOrigin, RunState};
use crate::requests::{Requests, StepContext};
use crate::run::{Cause, Failure, Start, Step};

/// New connections to the same run without progress, after which the run is given up.
const MAX_REJOINS: u32 = 1;

/// Time without tokens after which a lapsed lease ends a run.
const LAPSE_SILENCE: Duration = Duration::from_secs(1);

impl Requests {
    pub(crate) fn handle_sent(&mut self, ctx: &mut StepContext<'_>, attempt: Attempt) {
        let Some(mut entry) = self.take_running(attempt) else {
            return;
        };
        entry.ran = true;
        if let Some(run_state) = &mut entry.run_state {
            run_state.last_heard = ctx.now;
        }
        self.put(entry);
    }

    pub(crate) fn handle_tokens(
        &mut self,
        ctx: &mut StepContext<'_>,
        attempt: Attempt,
        position: u32,
    ) {
        let Some(mut entry) = self.take_running(attempt) else {
            return;
        };
        entry.ran = true;
        if position > entry.position {
            entry.position = position;
            if entry.lagging_since.is_none() {
                entry.update_lag(ctx.now);
            }
            if let Some(run_state) = &mut entry.run_state {
                run_state.rejoins = 0;
                run_state.first_tokens.get_or_insert((ctx.now, position));
            }
        }
        if let Some(run_state) = &mut entry.run_state {
            run_state.last_heard = ctx.now;
        }
        self.confirm_takeover(ctx, &mut entry);
        self.put(entry);
    }

    pub(crate) fn handle_ended(
        &mut self,
        ctx: &mut StepContext<'_>,
        attempt: Attempt,
        position: u32,
    ) {
        let Some(mut entry) = self.take_running(attempt) else {
            return;
        };
        entry.ran = true;
        entry.position = entry.position.max(position);
        entry.run_state = None;
        self.confirm_takeover(ctx, &mut entry);
        self.finish(ctx, entry, Outcome::Whole { position });
    }

    /// Removes the entry of an attempt if the attempt is its current run.
    fn take_running(&mut self, attempt: Attempt) -> Option<OwnedRequest> {
        let entry = self.entries.get(&attempt.request)?;
        let live =
            entry.run_state.as_ref().is_some_and(|run_state| run_state.live.attempt == attempt);
        if !live || !matches!(entry.phase, Phase::Run) {
            return None;
        }
        self.take(attempt.request)
    }

    /// Decides what follows a run that ended without a complete answer.
    pub(crate) fn handle_failed(
        &mut self,
        ctx: &mut StepContext<'_>,
        attempt: Attempt,
        failure: &Failure,
    ) {
        let Some(mut entry) = self.take_running(attempt) else {
            return;
        };
        let Some(run_state) = entry.run_state.take() else {
            self.put(entry);
            return;
        };
        let rejoined = matches!(run_state.origin, RunOrigin::Rejoined) || run_state.rejoins > 0;
        // A rejoined run was sent before, so it does not matter that the new connection sent nothing.
        entry.ran |= !failure.not_run || rejoined;
        if failure.cause == Cause::Deadline {
            self.handle_deadline(ctx, entry);
            return;
        }
        if let RunOrigin::Imported { from, place } = &run_state.origin
            && matches!(failure.step, Step::Export | Step::Import)
        {
            let (from, place) = (from.clone(), place.clone());
            self.import_failed(ctx, entry, failure.step, from, &place);
            return;
        }
        if can_rejoin(&run_state, failure) {
            self.rejoin(ctx, entry, run_state);
            return;
        }
        if !failure.not_run {
            ctx.out.push(Output::Cancel(run_state.live.clone()));
        }
        let crashed = has_upstream_crashed(&run_state.live, failure, rejoined);
        if crashed && !self.is_loss_announced(&run_state.live.upstream) {
            entry.crashes = entry.crashes.saturating_add(1);
        }
        self.retry_run(ctx, entry, &run_state.live, failure);
    }

    /// Rejoins the same run on a new connection.
    fn rejoin(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest, run_state: RunState) {
        let rejoins = run_state.rejoins + 1;
        self.launch_run(ctx, &mut entry, run_state.live, Start::Rejoin, RunOrigin::Rejoined);
        if let Some(joined) = &mut entry.run_state {
            joined.rejoins = rejoins;
        }
        self.put(entry);
    }

    /// Runs the request again if that is safe, and ends it otherwise.
    fn retry_run(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        live: &ActiveRun,
        failure: &Failure,
    ) {
        if entry.head.idempotent && entry.is_poison() {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        }
        if !entry.head.idempotent && entry.ran {
            if entry.former_copy.is_some() {
                self.restore_copy(ctx, entry);
                return;
            }
            self.finish(ctx, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        }
        if failure.cause != Cause::Forgotten {
            entry.excluded.insert(live.upstream.clone());
        }
        if entry.body.is_none() {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        }
        self.confirm_takeover(ctx, &mut entry);
        if self.is_loss_announced(&live.upstream) {
            // The loss was announced and the request accepted, so the retry budget does not apply.
            self.request_placement(ctx, entry);
            return;
        }
        entry.phase = Phase::Budget;
        entry.phase_due = None;
        let (head, upstream) = (entry.head.clone(), live.upstream.clone());
        ctx.out.push(Output::Retry { head, upstream });
        self.send_progress(ctx, &mut entry);
        self.put(entry);
    }

    fn is_loss_announced(&self, upstream: &Upstream) -> bool {
        self.leaving_upstreams.get(upstream).is_some_and(Option::is_some)
    }

    /// Handles the decision of the retry budget.
    pub(crate) fn handle_retry_decision(
        &mut self,
        ctx: &mut StepContext<'_>,
        request: Request,
        granted: Option<Duration>,
    ) {
        let Some(entry) = self.take(request) else {
            return;
        };
        if !matches!(entry.phase, Phase::Budget) {
            self.put(entry);
            return;
        }
        match granted {
            Some(wait) => self.pause_placement(ctx, entry, wait),
            None if entry.ran => {
                self.finish(ctx, entry, Outcome::Unknown(Unknown::UpstreamLost));
            }
            None => {
                let retry = Some(self.setup.timing.stall);
                self.refuse(ctx, entry, Refusal { reason: Reason::Upstream, retry });
            }
        }
    }

    /// Ends a request whose deadline has passed.
    pub(crate) fn handle_deadline(&mut self, ctx: &mut StepContext<'_>, entry: OwnedRequest) {
        if entry.may_have_run() {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::Deadline));
            return;
        }
        if let Phase::Claim { unsure, .. } = entry.phase {
            self.fail_claim(ctx, entry, unsure);
            return;
        }
        self.refuse(ctx, entry, Refusal { reason: Reason::Deadline, retry: None });
    }

    /// Gives up silent runs at an upstream whose lease has lapsed.
    ///
    /// Announcements can be lost while streams continue, and moving such a stream would compute its
    /// tokens again. Only a run that is silent as well is given up before its stall limit.
    pub(crate) fn handle_lapsed(&mut self, ctx: &mut StepContext<'_>, upstream: &Upstream) {
        for request in self.running_at(upstream) {
            let Some(entry) = self.take(request) else {
                continue;
            };
            let silent_attempt = entry
                .run_state
                .as_ref()
                .filter(|run_state| ctx.now.saturating_sub(run_state.last_heard) >= LAPSE_SILENCE)
                .map(|run_state| run_state.live.attempt);
            self.put(entry);
            let Some(attempt) = silent_attempt else {
                continue;
            };
            let (step, cause) = (Step::Read, Cause::Closed);
            if let Some(run_state) =
                self.entries.get_mut(&request).and_then(|entry| entry.run_state.as_mut())
            {
                run_state.rejoins = run_state.rejoins.max(MAX_REJOINS);
            }
            self.handle_failed(ctx, attempt, &Failure { step, cause, not_run: false });
        }
    }

    /// Returns the requests that run at an upstream.
    pub(crate) fn running_at(&self, upstream: &Upstream) -> Vec<Request> {
        let at = self.entries.values().filter(|entry| entry.upstream() == Some(upstream));
        at.map(OwnedRequest::request).collect()
    }
}

/// Returns whether a run may continue at its upstream behind a broken connection.
fn can_rejoin(run_state: &RunState, failure: &Failure) -> bool {
    let lost = match failure.cause {
        Cause::Closed | Cause::Silent | Cause::Cut | Cause::Gap => true,
        Cause::Refused | Cause::Error | Cause::Deadline | Cause::Forgotten => false,
    };
    let reached = matches!(failure.step, Step::Write | Step::Head | Step::Read);
    lost && reached
        && !failure.not_run
        && run_state.live.kind == Kind::Engine
        && run_state.rejoins < MAX_REJOINS
}

/// Returns whether an upstream seems to have crashed while it ran the request.
///
/// An engine has crashed if it refuses the connection when the run is rejoined. A plain service,
/// whose runs cannot be rejoined, has crashed if it closes the connection without an answer.
fn has_upstream_crashed(live: &ActiveRun, failure: &Failure, rejoined: bool) -> bool {
    let closed = failure.cause == Cause::Closed;
    match live.kind {
        Kind::Engine => closed && rejoined && failure.step == Step::Connect,
        Kind::Service => closed && !failure.not_run,
    }
}
