//! Where a request goes next, and what its trace says of that.

use std::time::Duration;

use verbenaslip_fleet::rollout::Cohort;

use crate::forward::admission::{Job, Refused};
use crate::forward::answer::Refusal;
use crate::forward::context::Context;
use crate::forward::lifecycle::{Course, given_up};
use crate::forward::request_log::{Basis, Trace};
use crate::monotonic;
use crate::policy::placement::{Busy, Cause, Choice, Query, Verdict};
use crate::policy::restriction::Restriction;
use crate::policy::versions::Tracks;

/// Chooses the upstream that gets a request next, or says why it is refused.
pub(super) fn place(
    context: &Context,
    job: &Job<'_>,
    course: &Course,
    remaining: Duration,
    trace: &mut Trace,
) -> Result<Choice, Refused> {
    let query = Query {
        service: &job.service,
        rank: job.rank,
        parts: &job.call.prompt_parts,
        prompt: job.call.token_counts.map_or(0, |tokens| tokens.prompt),
        tried: &course.tried,
        objective: job.route.objective,
        remaining,
        spare: course.arrivals + 1 < job.route.max_attempts,
        waited: job.waited,
        begun: course.may_have_run,
        tracks: Tracks::default(),
    };
    // A request that is tried again may have waited for seconds, and nothing else need have come meanwhile.
    // Placed by what was known when it came, it would go to an upstream that has left since.
    trace.basis = Basis::of(&context.view());
    let query = Query { tracks: context.tracks(job, !course.tried.is_empty()), ..query };
    let verdict = context.placement.borrow_mut().choose(monotonic::now(), &query);
    count_work(context, job, course, &verdict);
    match verdict {
        Verdict::Go(choice) => {
            trace.cohort = (choice.cohort != Cohort::Stable).then_some(choice.cohort);
            trace.version = Some(choice.version.clone());
            Ok(choice)
        }
        Verdict::Busy(Busy { cause: Cause::Restricted(_), .. }) if course.may_have_run => {
            Err(given_up(course))
        }
        Verdict::Busy(Busy { back, cause, .. }) => {
            let mut refusal = Refusal::Busy;
            match cause {
                Cause::Restricted(Restriction::Limited) => refusal = Refusal::Limited,
                Cause::Restricted(Restriction::Resting) => refusal = Refusal::Resting,
                Cause::Share(share) => trace.share = Some(share),
                Cause::Late { expected, lag } => (trace.expected, trace.lag) = (expected, lag),
            }
            Err((refusal, Some(back)))
        }
        Verdict::Nowhere => Err(given_up(course)),
    }
}

/// Counts the engine time that a request asks for, once for each caller.
fn count_work(context: &Context, job: &Job<'_>, course: &Course, verdict: &Verdict) {
    let work = match verdict {
        Verdict::Go(choice) => choice.work,
        Verdict::Busy(busy) => busy.work,
        Verdict::Nowhere => 0.0,
    };
    if work > 0.0 && course.tried.is_empty() && !job.waited {
        context.board.worked(&job.service, work);
    }
}
