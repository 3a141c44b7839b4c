//! One request: where it goes, whether it is tried again, what its caller gets.

use std::time::Duration;

use tokio::time::Instant;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::registry::Run;
use verbenaslip_fleet::route_table::RequestKind;

use crate::dialect::ResponseInfo;
use crate::forward::admission::{self, Job, Refused};
use crate::forward::answer::{self, Refusal};
use crate::forward::context::Context;
use crate::forward::delivery::{Delivery, Ended};
use crate::forward::exchange::{self, Answered, Failure};
use crate::forward::failover::Leave;
use crate::forward::request_log::{self, Basis, Trace};
use crate::forward::upstream_choice;
use crate::forward::upstream_request;
use crate::http::{Connection, Message};
use crate::monotonic;
use crate::policy::placement::{Choice, Ending};
use crate::policy::quarantine;

/// When a caller may come back that met a full upstream. An upstream that is full is slower as well, so
/// callers that come back sooner keep it full; the next update of the fleet has come by then.
const BACK_SOON: Duration = Duration::from_millis(300);

/// When a caller may come back that was refused for want of an upstream: half of the time in which
/// every upstream announces itself once.
const BACK_WITH_UPSTREAMS: Duration = Duration::from_millis(600);

/// How long a request waits at an entry that has no route table yet: as long as cores take to start, to elect a
/// leader and to send the table.
const WAIT_FOR_ROUTES: Duration = Duration::from_millis(1_300);

/// How long after its start an entry is likely to get a route table soon. One that has none after that
/// is cut off from the cores, and what it can't serve is refused at once.
const STARTING: Duration = Duration::from_secs(2);

/// How far the times at which callers come back are spread, as a part of them; all at once they
/// would be refused again.
const SPREAD: f64 = 0.25;

/// The most upstreams that are tried to be reached for one request; those that could not be reached
/// have got nothing of it.
const REACHES: usize = 4;

/// The shortest and longest silence after which a request that may be repeated is tried elsewhere.
const SILENCE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(2));

/// The longest silence within a stream, as a multiple of the pause that is on time.
const PAUSES: u32 = 4;

/// Says what becomes of the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
}

/// Serves one request.
pub async fn serve(
    context: &Context,
    caller: &mut Connection,
    whole: &Message,
    closes: bool,
) -> After {
    let mut trace = Trace::default();
    let call = context.dialect.request_info(&whole.head);
    let id = call.as_ref().map_or_else(|| "".into(), |call| call.id.clone());
    let starting = context.board.view().routes.is_none();
    let left = starting && wait_for_routes(context, caller, whole).await;
    let view = context.view();
    trace.basis = Basis::of(&view);
    if left {
        trace.outcome = "caller_gone";
        request_log::say(&view, &id, None, &trace, whole.arrived);
        return After::Close;
    }
    let admitted = admission::admit(context, &view, whole, call.as_ref(), closes);
    let after = match &admitted {
        Ok(job) => match admission::charge(context, &view, job).await {
            Ok(()) => lead(context, caller, job, &mut trace).await,
            Err(refused) => refuse(context, caller, &id, refused, closes, &mut trace).await,
        },
        Err(refused) => refuse(context, caller, &id, *refused, closes, &mut trace).await,
    };
    let job = admitted.as_ref().ok();
    request_log::say(&view, &id, job, &trace, whole.arrived);
    if closes { After::Close } else { after }
}

/// Waits for a route table a little while; returns whether the caller has left meanwhile.
///
/// After a power loss of all, entries are back before the cores have elected a leader. Whoever asks then
/// and is refused comes back after its objective; many have come back once already, from an entry that
/// was down, and do not a second time. The table is there a moment later.
async fn wait_for_routes(context: &Context, caller: &mut Connection, whole: &Message) -> bool {
    let until = (whole.arrived + WAIT_FOR_ROUTES).min(context.started + STARTING);
    tokio::select! {
        () = context.board.has_routes() => false,
        () = tokio::time::sleep_until(until) => false,
        () = caller.gone() => true,
    }
}

/// Leads an admitted request to its end.
async fn lead(
    context: &Context,
    caller: &mut Connection,
    job: &Job<'_>,
    trace: &mut Trace,
) -> After {
    let mut course = Course::default();
    let refused = loop {
        let next = next(context, caller, job, &mut course, trace).await;
        trace.first = course.delivery.first.map(|first| first - job.arrived);
        trace.pause = course.delivery.pause;
        match next {
            Next::Again => {}
            Next::Ended(after) => return after,
            Next::Refused(refused) => break refused,
        }
    };
    if course.delivery.is_begun() {
        // What the caller has looks unfinished only if its connection ends without an end mark.
        trace.outcome = "cut";
        return After::Close;
    }
    if course.arrivals == 0 {
        admission::give_back(context, job);
    }
    refuse(context, caller, &job.call.id, refused, job.closes, trace).await
}

/// Holds how far a request has got.
#[derive(Default)]
pub(super) struct Course {
    delivery: Delivery,
    /// Runs of upstreams that got it or could not be reached.
    pub(super) tried: Vec<Run>,
    /// How many upstreams got it.
    pub(super) arrivals: u32,
    /// How many could not be reached.
    unreached: usize,
    /// Whether it may have run somewhere.
    pub(super) may_have_run: bool,
    /// Whether the budget has paid for the next arrival.
    paid: bool,
    /// Whether it was counted as begun.
    counted: bool,
}

enum Next {
    Again,
    Ended(After),
    Refused(Refused),
}

/// Tries one upstream.
async fn next(
    context: &Context,
    caller: &mut Connection,
    job: &Job<'_>,
    course: &mut Course,
    trace: &mut Trace,
) -> Next {
    let remaining = job.limit.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Next::Refused(timed_out(course));
    }
    if let Some(back) = context.held(job) {
        return Next::Refused(held_back(course, back));
    }
    if course.arrivals > 0 {
        let may = course.arrivals < job.route.max_attempts
            && (std::mem::take(&mut course.paid) || context.spend(job));
        if !may {
            return Next::Refused(given_up(course));
        }
    }
    let mut choice = match upstream_choice::place(context, job, course, remaining, trace) {
        Ok(choice) => choice,
        Err(refused) => return Next::Refused(refused),
    };
    (trace.expected, trace.lag, trace.limit) = (choice.expected, choice.lag, choice.limit);
    course.tried.push(choice.run.clone());
    let last = course.arrivals + 1 >= job.route.max_attempts;
    let patience = (!last && job.route.kind.may_repeat()).then(|| patience(job, &choice));
    let bytes =
        upstream_request::write(context, job, &choice, remaining, course.delivery.last_event());
    context.sent(job, &mut choice);
    let sent = Instant::now();
    let may = || context.may_leave(job, &course.tried, &mut course.paid);
    let leave = Leave { after: patience, may };
    let answered = exchange::send(context, caller, job, &choice, &bytes, leave).await;
    if !matches!(answered, Err(Failure::Unreached)) {
        course.arrivals += 1;
        let upstream = choice.run.upstream.clone();
        trace.sent.push(request_log::Sent { upstream, after: sent - job.arrived });
    }
    match answered {
        Ok(answered) => {
            took(context, caller, job, course, trace, Sent { choice, answered, at: sent }).await
        }
        Err(failure) => failed(context, job, course, trace, (&choice, sent), failure),
    }
}

/// Holds what an upstream answered.
struct Sent {
    choice: Choice,
    answered: Answered,
    at: Instant,
}

/// Goes on after the head of an answer.
async fn took(
    context: &Context,
    caller: &mut Connection,
    job: &Job<'_>,
    course: &mut Course,
    trace: &mut Trace,
    sent: Sent,
) -> Next {
    let Sent { choice, mut answered, at } = sent;
    context.heard(job, &choice, at, &answered.reply);
    if answered.reply.not_run {
        // A run that is no longer there gets nothing more for a while, as one that can't be reached.
        let (cause, ending) = match answered.reply {
            ResponseInfo { other_run: true, .. } => ("other_run", Ending::Unreachable),
            ResponseInfo { cooldown: Some(_), .. } => ("resting", Ending::Resting),
            _ => ("not_run", Ending::Full),
        };
        trace.causes.push(cause);
        context.ended(&choice, ending, None);
        exchange::recycle(context, job, &choice, answered).await;
        return Next::Again;
    }
    count(context, job, course);
    course.may_have_run = true;
    let status = answered.head.status;
    let failed = status >= 500 || answered.reply.unrequested_encoding;
    let goes_on = course.delivery.is_begun();
    let again = failed && job.route.kind.may_repeat() && course.arrivals < job.route.max_attempts;
    if again || answered.reply.unrequested_encoding || (goes_on && status != 200) {
        trace.causes.push(if failed { "upstream_failed" } else { "no_resume" });
        context.ended(&choice, Ending::Failed, None);
        exchange::recycle(context, job, &choice, answered).await;
        return if again || goes_on { Next::Again } else { Next::Refused((Refusal::Failed, None)) };
    }
    let pause = match job.route.kind {
        RequestKind::Stream { resumable: true } if course.arrivals < job.route.max_attempts => {
            Some((job.route.max_event_gap * PAUSES).clamp(SILENCE.0 * 2, SILENCE.1))
        }
        _ => None,
    };
    let before = course.delivery.first;
    let survived = quarantine::survived(status, answered.head.framing(&job.head.method).ok());
    let may = || context.may_leave(job, &course.tried, &mut course.paid);
    let leave = Leave { after: pause, may };
    let ended = course.delivery.run(caller, job, &mut answered, leave).await;
    let first = course.delivery.first.filter(|_| before.is_none());
    if let Some(first) = first {
        context.first(&choice, first - at);
    }
    trace.status = status;
    let ending = match ended {
        Ended::Complete if status >= 500 => Ending::Failed,
        Ended::Complete => Ending::Complete,
        Ended::Broken | Ended::Silent => Ending::Failed,
        Ended::TimedOut | Ended::CallerGone => Ending::Left,
    };
    context.ended(&choice, ending, Some(at.elapsed()));
    match ended {
        Ended::Complete if survived => context.answered(job),
        Ended::Broken => context.broke_off(job, &choice, at),
        Ended::CallerGone => context.left(job, &choice, at),
        Ended::Complete | Ended::Silent | Ended::TimedOut => {}
    }
    match ended {
        Ended::Complete => {
            exchange::keep(context, job, &choice, answered);
            trace.outcome = "answered";
            Next::Ended(After::Keep)
        }
        Ended::Broken | Ended::Silent => {
            trace.causes.push(if ended == Ended::Broken { "broke_off" } else { "went_silent" });
            if job.resumable() { Next::Again } else { Next::Refused((Refusal::Failed, None)) }
        }
        Ended::TimedOut => Next::Refused((Refusal::TimedOut, None)),
        Ended::CallerGone => {
            trace.outcome = "caller_gone";
            Next::Ended(After::Close)
        }
    }
}

/// Goes on after an upstream gave no answer.
fn failed(
    context: &Context,
    job: &Job<'_>,
    course: &mut Course,
    trace: &mut Trace,
    (choice, sent): (&Choice, Instant),
    failure: Failure,
) -> Next {
    let (ending, cause) = match failure {
        Failure::Unreached => (Ending::Unreachable, "unreached"),
        Failure::Broken => (Ending::Failed, "broken"),
        Failure::Silent => (Ending::Failed, "silent"),
        Failure::CallerGone => (Ending::Left, "caller_gone"),
    };
    context.ended(choice, ending, None);
    match failure {
        Failure::Broken => context.broke_off(job, choice, sent),
        Failure::CallerGone => context.left(job, choice, sent),
        Failure::Unreached => context.unreached(choice),
        Failure::Silent => {}
    }
    trace.causes.push(cause);
    match failure {
        Failure::CallerGone => {
            trace.outcome = "caller_gone";
            Next::Ended(After::Close)
        }
        Failure::Unreached => {
            course.unreached += 1;
            if course.unreached < REACHES { Next::Again } else { Next::Refused(given_up(course)) }
        }
        Failure::Broken | Failure::Silent => {
            course.may_have_run = true;
            if job.route.kind.may_repeat() { Next::Again } else { Next::Refused(lost(failure)) }
        }
    }
}

fn lost(failure: Failure) -> Refused {
    let refusal = if failure == Failure::Silent { Refusal::TimedOut } else { Refusal::Failed };
    (refusal, None)
}

/// Says what a caller gets whose request can't be tried again: that it has not run only if so.
pub(super) fn given_up(course: &Course) -> Refused {
    match (course.may_have_run, course.arrivals) {
        (true, _) => (Refusal::Failed, None),
        (false, 0) => (Refusal::NoUpstream, Some(BACK_WITH_UPSTREAMS)),
        (false, _) => (Refusal::TurnedAway, Some(BACK_SOON)),
    }
}

/// Says what a caller gets whose request has ended upstreams: that it has not run only if so.
fn held_back(course: &Course, back: Duration) -> Refused {
    if course.may_have_run { (Refusal::Failed, None) } else { (Refusal::HeldBack, Some(back)) }
}

fn timed_out(course: &Course) -> Refused {
    if course.may_have_run { (Refusal::TimedOut, None) } else { (Refusal::Expired, None) }
}

/// Returns how long an upstream may be silent before another one is asked as well.
fn patience(job: &Job<'_>, choice: &Choice) -> Duration {
    let expected = Duration::from_secs_f64(choice.expected.max(0.0) / 1_000.0);
    let usual = job.route.objective.max(expected * 2) * 2;
    usual.clamp(SILENCE.0, SILENCE.1.max(expected * 2))
}

/// Counts a request as begun, once.
fn count(context: &Context, job: &Job<'_>, course: &mut Course) {
    if std::mem::replace(&mut course.counted, true) {
        return;
    }
    let Some(team) = job.team else { return };
    let unix = clock::unix_ms(monotonic::now(), context.board.view().time_offset_ms);
    context.board.began(&team.name, unix, context.window);
}

async fn refuse(
    context: &Context,
    caller: &mut Connection,
    id: &str,
    refused: Refused,
    closes: bool,
    trace: &mut Trace,
) -> After {
    let (refusal, back) = refused;
    let back = back.map(|back| spread(context, back));
    trace.status = refusal.status();
    trace.outcome = refusal.name();
    trace.back = back;
    let bytes = answer::write(&*context.dialect, refusal, id, back, closes);
    match caller.send(&bytes).await {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

/// Spreads the times at which callers come back.
fn spread(context: &Context, back: Duration) -> Duration {
    /// Steps between the shortest and the longest time.
    const STEPS: u32 = 1_000;
    let step = u32::try_from(context.random() % u64::from(STEPS)).unwrap_or(0);
    let part = f64::from(step) / f64::from(STEPS) * 2.0 - 1.0;
    back.mul_f64(1.0 + part * SPREAD)
}
