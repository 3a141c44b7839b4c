//! Chooses the upstream for the next attempt of a request, and records the choice for the log.

use std::time::Duration;

use verbenaslip_fleet::rollout::Cohort;

use crate::forward::admission::{AdmittedRequest, Rejection};
use crate::forward::answer::Refusal;
use crate::forward::context::Context;
use crate::forward::lifecycle::{Attempts, exhausted_rejection};
use crate::forward::request_log::{Trace, ViewInfo};
use crate::monotonic;
use crate::policy::placement::{Busy, Cause, Choice, Decision, Query};
use crate::policy::restriction::Restriction;

/// Chooses the upstream that gets a request next, or returns why the request is refused.
pub(super) fn choose_upstream(
    context: &Context,
    request: &AdmittedRequest<'_>,
    attempts: &Attempts,
    remaining: Duration,
    trace: &mut Trace,
) -> Result<Choice, Rejection> {
    // A retried request may have waited for seconds without any other request arriving meanwhile.
    // With the view from its arrival it could go to an upstream that has left since.
    trace.brittle = false;
    trace.view_info = ViewInfo::of(&context.refresh_view());
    let query = query(context, request, attempts, remaining);
    let decision = context.placement.borrow_mut().choose(monotonic::now(), &query);
    count_engine_time(context, request, attempts, &decision);
    match decision {
        Decision::Send(choice) => {
            trace.cohort = (choice.cohort != Cohort::Stable).then_some(choice.cohort);
            trace.version = Some(choice.version.clone());
            trace.figures = choice.figures.clone();
            Ok(choice)
        }
        Decision::Refuse(Busy { cause: Cause::Restricted(_), .. }) if attempts.may_have_run => {
            Err(exhausted_rejection(attempts))
        }
        Decision::Refuse(Busy { retry_after, cause, .. }) => {
            let mut refusal = Refusal::Busy;
            match cause {
                Cause::Restricted(Restriction::RateLimited) => refusal = Refusal::RateLimited,
                Cause::Restricted(Restriction::CoolingDown) => refusal = Refusal::CoolingDown,
                Cause::Brittle => trace.brittle = true,
                Cause::Share(share) => trace.admitted_share = Some(share),
                Cause::Late { expected_ms, lag_ms } => {
                    (trace.expected_ms, trace.lag_ms) = (expected_ms, lag_ms)
                }
            }
            Err((refusal, Some(retry_after)))
        }
        Decision::NoUpstream => Err(exhausted_rejection(attempts)),
    }
}

/// Describes the next attempt of a request to the placement, with newly chosen tracks.
pub(super) fn query<'a>(
    context: &Context,
    request: &'a AdmittedRequest<'_>,
    attempts: &'a Attempts,
    remaining: Duration,
) -> Query<'a> {
    let is_retry = !attempts.tried_runs.is_empty();
    let tracks = context.choose_tracks(request, is_retry, attempts.version.is_some());
    Query {
        has_spare_attempt: attempts.sends + 1 < request.route.max_attempts,
        may_have_run: attempts.may_have_run,
        tracks,
        version: attempts.version.as_deref(),
        ..request.query(&attempts.tried_runs, remaining)
    }
}

/// Adds the engine time that a request asks for, once per caller.
fn count_engine_time(
    context: &Context,
    request: &AdmittedRequest<'_>,
    attempts: &Attempts,
    decision: &Decision,
) {
    let engine_ms = match decision {
        Decision::Send(choice) => choice.prefill_ms,
        Decision::Refuse(busy) => busy.prefill_ms,
        Decision::NoUpstream => 0.0,
    };
    if engine_ms > 0.0 && attempts.tried_runs.is_empty() && !request.returning {
        context.shared.add_engine_time(&request.service, engine_ms);
    }
}
