//! Moves streams away from an upstream that leaves, in the cheapest way that its notice allows.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::Unknown;

use crate::input::Placement;
use crate::message::ActiveRun;
use crate::output::{Outcome, Output};
use crate::owned::{MoveState, OwnedRequest, RunOrigin, RunState};
use crate::requests::{Requests, StepContext};
use crate::run::{Start, Step};
use crate::start::run_at;

impl Requests {
    /// Handles the notice that an upstream leaves.
    pub(crate) fn handle_leaving(
        &mut self,
        ctx: &mut StepContext<'_>,
        upstream: &Upstream,
        notice: Option<Duration>,
    ) {
        let until = notice.map(|notice| ctx.now.saturating_add(notice));
        let known = self.leaving_upstreams.get(upstream).copied().flatten();
        // A repeated notice may arrive late and be less precise; only the earliest end is safe.
        let until = match (known, until) {
            (Some(known), Some(until)) => Some(known.min(until)),
            (known, until) => known.or(until),
        };
        self.leaving_upstreams.insert(upstream.clone(), until);
        for request in self.running_at(upstream) {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            if let Some(run_state) = &mut entry.run_state
                && matches!(run_state.move_state, MoveState::Watched { .. })
            {
                run_state.move_state = MoveState::Idle;
            }
            self.plan_move(ctx, &mut entry);
            self.put(entry);
        }
    }

    /// Decides whether a run must be moved, and requests a placement if so.
    pub(crate) fn plan_move(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let Some(run_state) = &entry.run_state else {
            return;
        };
        let Some(Some(until)) = self.leaving_upstreams.get(&run_state.live.upstream) else {
            return;
        };
        if !matches!(run_state.move_state, MoveState::Idle) {
            return;
        }
        let latest_end = until.saturating_sub(self.setup.timing.margin);
        let expected_end =
            ctx.now.saturating_add(self.remaining_run_time(ctx.now, entry, run_state));
        let move_state = match expected_end < latest_end {
            true => MoveState::Watched { at: latest_end },
            false if can_move(entry, run_state) => MoveState::Requested,
            false => MoveState::Pinned,
        };
        let needs_placement = matches!(move_state, MoveState::Requested);
        if let Some(run_state) = &mut entry.run_state {
            run_state.move_state = move_state;
        }
        if needs_placement {
            let from = entry.upstream().cloned();
            self.send_placement_request(ctx, entry, from);
        }
    }

    /// Checks a run again whose upstream leaves.
    pub(crate) fn tick_moving(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let Some(run_state) = &mut entry.run_state else {
            return;
        };
        let due = match run_state.move_state {
            MoveState::Watched { at } | MoveState::Paused { at } => ctx.now >= at,
            MoveState::Idle | MoveState::Requested | MoveState::Pinned => false,
        };
        if due {
            run_state.move_state = MoveState::Idle;
            self.plan_move(ctx, entry);
        }
    }

    /// Estimates how long a run still takes.
    fn remaining_run_time(
        &self,
        now: Duration,
        entry: &OwnedRequest,
        run_state: &RunState,
    ) -> Duration {
        if run_state.live.kind == Kind::Service {
            return Duration::ZERO;
        }
        let left = entry.head.output.saturating_sub(entry.position);
        let time_per_token = run_state.first_tokens.and_then(|(at, position)| {
            let tokens = entry.position.checked_sub(position).filter(|tokens| *tokens > 0)?;
            Some(now.saturating_sub(at) / tokens)
        });
        time_per_token.unwrap_or(self.setup.estimate.token).saturating_mul(left)
    }

    /// Moves a run to the upstream that the router has chosen.
    pub(crate) fn move_run(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        place: Placement,
    ) {
        let Some(run_state) = &mut entry.run_state else {
            self.put(entry);
            return;
        };
        if self.leaving_upstreams.contains_key(&place.upstream)
            || place.upstream == run_state.live.upstream
        {
            let at = ctx.now.saturating_add(self.setup.timing.resend);
            run_state.move_state = MoveState::Paused { at };
            self.put(entry);
            return;
        }
        let from = run_state.live.clone();
        if self.should_import(ctx.now, &entry, &from, &place) {
            self.import(ctx, entry, from, place);
        } else if entry.head.idempotent {
            ctx.out.push(Output::Cancel(from));
            entry.ran = true;
            entry.run_state = None;
            self.begin_run(ctx, entry, &place);
        } else {
            if let Some(run_state) = &mut entry.run_state {
                run_state.move_state = MoveState::Pinned;
            }
            self.put(entry);
        }
    }

    /// Returns whether a KV cache can be moved in time and at a lower cost than computing it again.
    fn should_import(
        &self,
        now: Duration,
        entry: &OwnedRequest,
        from: &ActiveRun,
        place: &Placement,
    ) -> bool {
        if from.kind != Kind::Engine || place.kind != Kind::Engine || !place.imports {
            return false;
        }
        if entry.position == 0 && entry.head.idempotent {
            return false;
        }
        let Some(Some(until)) = self.leaving_upstreams.get(&from.upstream) else {
            return false;
        };
        let estimate = &self.setup.estimate;
        let held = entry.head.prompt.saturating_add(entry.position);
        let missing = held.saturating_sub(place.cached);
        let transfer =
            estimate.transfer.saturating_add(estimate.transfer_token.saturating_mul(held));
        let compute = estimate.prefill.saturating_mul(missing);
        let fits = now.saturating_add(transfer) <= until.saturating_sub(self.setup.timing.margin);
        fits && (transfer <= compute || !entry.head.idempotent)
    }

    fn import(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        from: ActiveRun,
        place: Placement,
    ) {
        let Some(attempt) = entry.next_attempt() else {
            self.put(entry);
            return;
        };
        entry.ran = true;
        let start = Start::Import { from: from.attempt, source: from.address };
        let live = run_at(attempt, &place);
        self.launch_run(ctx, &mut entry, live, start, RunOrigin::Imported { from, place });
        self.put(entry);
    }

    /// Continues after a KV cache could not be moved.
    pub(crate) fn import_failed(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        step: Step,
        from: ActiveRun,
        place: &Placement,
    ) {
        if entry.head.idempotent {
            ctx.out.push(Output::Cancel(from));
            match step {
                // The old upstream failed; the new one is still usable.
                Step::Export => self.begin_run(ctx, entry, place),
                _ => {
                    entry.excluded.insert(place.upstream.clone());
                    self.request_placement(ctx, entry);
                }
            }
            return;
        }
        if step == Step::Export {
            // The stream may not have stopped at the old upstream, and must remain the only run.
            self.launch_run(ctx, &mut entry, from, Start::Rejoin, RunOrigin::Rejoined);
            if let Some(run_state) = &mut entry.run_state {
                run_state.move_state = MoveState::Pinned;
            }
            self.put(entry);
            return;
        }
        self.finish(ctx, entry, Outcome::Unknown(Unknown::UpstreamLost));
    }
}

/// Returns whether a run can be moved; a non-idempotent run needs its KV cache for that.
fn can_move(entry: &OwnedRequest, run_state: &RunState) -> bool {
    entry.head.idempotent || run_state.live.kind == Kind::Engine
}
