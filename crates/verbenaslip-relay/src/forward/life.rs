//! One request: who asks, where it goes, whether it is tried again, what its caller gets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use tokio::time::Instant;
use verbenaslip_base::name::{Team, Upstream};
use verbenaslip_fleet::index::Index;
use verbenaslip_fleet::sheet::{Kind, Route, TeamRow};
use verbenaslip_fleet::view::View;

use crate::dialect::{Call, Onward};
use crate::forward::answer::{self, Refusal};
use crate::forward::context::Context;
use crate::forward::delivery::{Delivery, Ended};
use crate::forward::exchange::{self, Answered, Failure};
use crate::http::{Decoder, Request, Step, Whole, Wire, head};
use crate::journal::{self, Kind as Line};
use crate::policy::allowance::{self, Verdict as Allowed};
use crate::policy::place::{Ask, Choice, Ending, Verdict};
use crate::steady;

/// One line a request, with what decided it.
const ENDED: Line = Line { number: 901, name: "request_ended" };

/// How long before the end of its time a request gets its answer, so that the answer arrives while
/// its caller still waits.
const EARLY: Duration = Duration::from_millis(30);

/// When a caller that was refused for want of an upstream or a route table may come back: after the
/// next news of the fleet, which come four times a second.
const BACK_SOON: Duration = Duration::from_millis(300);

/// When a caller may come back, to another instance, that was refused because this one stops.
const BACK_NOW: Duration = Duration::from_millis(50);

/// The most upstreams that are tried to be reached for one request; those that could not be reached
/// have got nothing of it.
const REACHES: usize = 4;

/// The shortest and longest silence after which a request that may be repeated is tried elsewhere.
const SILENCE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(2));

/// The longest silence within a stream, as a multiple of the pause that is on time.
const PAUSES: u32 = 4;

/// Holds what is decided of a request once.
pub struct Job<'a> {
    /// Its head.
    pub head: &'a Request,
    /// Its body.
    pub body: &'a Bytes,
    /// What it says beyond HTTP.
    pub call: &'a Call,
    /// Its route.
    pub route: &'a Route,
    /// Its caller's team.
    pub team: Option<&'a TeamRow>,
    /// The service.
    pub service: Arc<str>,
    /// When it was whole.
    pub arrived: Instant,
    /// Until when its caller waits.
    pub limit: Instant,
    /// Whether the caller's connection ends with the answer.
    pub closes: bool,
}

impl Job<'_> {
    /// Returns the rank; zero is the most urgent.
    pub fn rank(&self) -> u8 {
        self.team.and_then(|team| team.priority).unwrap_or(self.route.priority)
    }

    /// Tells whether another upstream may go on with the answer.
    pub fn resumable(&self) -> bool {
        self.route.kind == Kind::Stream { resumable: true }
    }
}

/// Says what becomes of the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
}

/// Collects what the log line says of a request.
#[derive(Debug, Default)]
struct Trace {
    sent: Vec<Upstream>,
    causes: Vec<&'static str>,
    status: u16,
    outcome: &'static str,
    /// When the first event, or byte of the body, was expected at the last upstream tried, in
    /// milliseconds from when it was sent there.
    expected: f64,
    /// When it came, from when the request had arrived.
    first: Option<Duration>,
    /// The longest pause between two pieces of the answer.
    pause: Duration,
}

/// Serves one request.
pub async fn serve(context: &Context, caller: &mut Wire, whole: &Whole, closes: bool) -> After {
    let view = context.view();
    let mut trace = Trace::default();
    let call = context.dialect.call(&whole.head);
    let id = call.as_ref().map_or_else(|| "".into(), |call| call.id.clone());
    let admitted = admit(context, &view, whole, call.as_ref(), closes);
    let after = match &admitted {
        Ok(job) => lead(context, caller, &view, job, &mut trace).await,
        Err(refused) => refuse(context, caller, &id, *refused, closes, &mut trace).await,
    };
    let job = admitted.as_ref().ok();
    say(&view, &id, job, &trace, whole.arrived);
    if closes { After::Close } else { after }
}

type Refused = (Refusal, Option<Duration>);

/// Finds route and team of a request and takes it out of the team's limit.
fn admit<'a>(
    context: &Context,
    view: &'a View,
    whole: &'a Whole,
    call: Option<&'a Call>,
    closes: bool,
) -> Result<Job<'a>, Refused> {
    if context.board.is_closing() {
        return Err((Refusal::Stopping, Some(BACK_NOW)));
    }
    let Some(routes) = &view.routes else { return Err((Refusal::NoTable, Some(BACK_SOON))) };
    let call = call.ok_or((Refusal::Malformed, None))?;
    let host = whole.head.text("host").unwrap_or_default();
    let route = routes.route(host, &whole.head.target).ok_or((Refusal::NoRoute, None))?;
    let team = team(routes, route, call)?;
    if let Some(team) = team {
        within_limit(context, view, team, call)?;
    }
    let patience = call.patience.map_or(route.timeout, |patience| patience.min(route.timeout));
    let service = service(context, route);
    context.budget.borrow_mut().earn(&service, view.entries);
    Ok(Job {
        head: &whole.head,
        body: &whole.body,
        call,
        route,
        team,
        service,
        arrived: whole.arrived,
        limit: whole.arrived + patience.saturating_sub(EARLY),
        closes,
    })
}

fn team<'a>(routes: &'a Index, route: &Route, call: &Call) -> Result<Option<&'a TeamRow>, Refused> {
    if route.public || routes.sheet().teams.is_empty() {
        return Ok(None);
    }
    let found = call.key.as_ref().and_then(|key| routes.team(key));
    found.map(Some).ok_or((Refusal::UnknownKey, None))
}

fn within_limit(
    context: &Context,
    view: &View,
    team: &TeamRow,
    call: &Call,
) -> Result<(), Refused> {
    let Some(quota) = &team.quota else { return Ok(()) };
    let units = allowance::units(quota, size(call));
    let mut allowance = context.allowance.borrow_mut();
    let verdict = allowance.take(steady::now(), team, units, view);
    context.board.asked(&team.name, units, allowance.total(&team.name));
    match verdict {
        Allowed::Within => Ok(()),
        Allowed::Beyond(back) => Err((Refusal::BeyondLimit, Some(back))),
    }
}

/// Chooses the service by the weights of the route.
fn service(context: &Context, route: &Route) -> Arc<str> {
    let sum: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut draw = context.random().checked_rem(sum).unwrap_or(0);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if draw < weight {
            return target.service.clone();
        }
        draw -= weight;
    }
    route.targets.last().map_or_else(|| "".into(), |target| target.service.clone())
}

/// Leads an admitted request to its end.
async fn lead(
    context: &Context,
    caller: &mut Wire,
    view: &View,
    job: &Job<'_>,
    trace: &mut Trace,
) -> After {
    let mut course = Course::default();
    let refused = loop {
        let next = next(context, caller, view, job, &mut course, trace).await;
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
        give_back(context, job);
    }
    refuse(context, caller, &job.call.id, refused, job.closes, trace).await
}

/// Gives back what a request took out of its team's limit, when no upstream got it.
fn give_back(context: &Context, job: &Job<'_>) {
    let Some(team) = job.team else { return };
    let Some(quota) = &team.quota else { return };
    let units = allowance::units(quota, size(job.call));
    let mut allowance = context.allowance.borrow_mut();
    allowance.give_back(&team.name, units);
    context.board.admitted(&team.name, allowance.total(&team.name));
}

/// Returns the tokens that a request asks for in all, when it says so.
fn size(call: &Call) -> Option<u64> {
    call.tokens.map(|tokens| tokens.prompt + tokens.output)
}

/// Holds how far a request has got.
#[derive(Default)]
struct Course {
    delivery: Delivery,
    /// Upstreams that got it or could not be reached.
    tried: Vec<Upstream>,
    /// How many upstreams got it.
    arrivals: u32,
    /// How many could not be reached.
    unreached: usize,
    /// Whether it may have run somewhere.
    may_have_run: bool,
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
    caller: &mut Wire,
    view: &View,
    job: &Job<'_>,
    course: &mut Course,
    trace: &mut Trace,
) -> Next {
    let remaining = job.limit.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Next::Refused(timed_out(course));
    }
    if course.arrivals > 0 {
        let spent = course.arrivals >= job.route.attempts
            || !context.budget.borrow_mut().spend(&job.service, view.entries);
        if spent {
            return Next::Refused(given_up(course));
        }
    }
    let choice = match place(context, job, course, remaining) {
        Ok(choice) => choice,
        Err(refused) => return Next::Refused(refused),
    };
    trace.expected = choice.expected;
    course.tried.push(choice.upstream.clone());
    let last = course.arrivals + 1 >= job.route.attempts;
    let limit = if last || !job.route.kind.may_repeat() {
        job.limit
    } else {
        job.limit.min(Instant::now() + patience(job, &choice))
    };
    let bytes = request_bytes(context, job, course, &choice, remaining);
    let sent = Instant::now();
    let answered = exchange::send(context, caller, job, &choice, &bytes, limit).await;
    if !matches!(answered, Err(Failure::Unreached)) {
        course.arrivals += 1;
        trace.sent.push(choice.upstream.clone());
    }
    match answered {
        Ok(answered) => {
            took(context, caller, job, course, trace, Sent { choice, answered, at: sent }).await
        }
        Err(failure) => failed(context, job, course, trace, &choice, failure),
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
    caller: &mut Wire,
    job: &Job<'_>,
    course: &mut Course,
    trace: &mut Trace,
    sent: Sent,
) -> Next {
    let Sent { choice, mut answered, at } = sent;
    if answered.reply.not_run {
        trace.causes.push("not_run");
        context.ended(&choice, Ending::Full, None);
        recycle(context, job, &choice, answered).await;
        return Next::Again;
    }
    count(context, job, course);
    course.may_have_run = true;
    let status = answered.head.status;
    let failed = status >= 500 || answered.reply.encoded;
    let goes_on = course.delivery.is_begun();
    let again = failed && job.route.kind.may_repeat() && course.arrivals < job.route.attempts;
    if again || answered.reply.encoded || (goes_on && status != 200) {
        trace.causes.push(if failed { "upstream_failed" } else { "no_resume" });
        context.ended(&choice, Ending::Failed, None);
        recycle(context, job, &choice, answered).await;
        return if again || goes_on { Next::Again } else { Next::Refused((Refusal::Failed, None)) };
    }
    let pause = match job.route.kind {
        Kind::Stream { resumable: true } if course.arrivals < job.route.attempts => {
            (job.route.pause * PAUSES).clamp(SILENCE.0 * 2, SILENCE.1)
        }
        _ => Duration::from_secs(3_600),
    };
    let before = course.delivery.first;
    let ended = course.delivery.run(caller, job, &mut answered, job.limit, pause).await;
    let first = course.delivery.first.filter(|_| before.is_none());
    if let Some(first) = first {
        context.placement.borrow_mut().first(steady::now(), &choice, first - at);
    }
    trace.status = status;
    let ending = match ended {
        Ended::Whole if status >= 500 => Ending::Failed,
        Ended::Whole => Ending::Whole,
        Ended::Broken | Ended::Silent => Ending::Failed,
        Ended::TimedOut | Ended::CallerGone => Ending::Left,
    };
    context.ended(&choice, ending, Some(at.elapsed()));
    match ended {
        Ended::Whole => {
            keep(context, &choice, answered);
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
    choice: &Choice,
    failure: Failure,
) -> Next {
    let (ending, cause) = match failure {
        Failure::Unreached => (Ending::Unreachable, "unreached"),
        Failure::Broken => (Ending::Failed, "broken"),
        Failure::Silent => (Ending::Failed, "silent"),
        Failure::CallerGone => (Ending::Left, "caller_gone"),
    };
    context.ended(choice, ending, None);
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
fn given_up(course: &Course) -> Refused {
    match (course.may_have_run, course.arrivals) {
        (true, _) => (Refusal::Failed, None),
        (false, 0) => (Refusal::NoUpstream, Some(BACK_SOON)),
        (false, _) => (Refusal::TurnedAway, Some(BACK_SOON)),
    }
}

fn timed_out(course: &Course) -> Refused {
    if course.may_have_run { (Refusal::TimedOut, None) } else { (Refusal::Expired, None) }
}

fn place(
    context: &Context,
    job: &Job<'_>,
    course: &Course,
    remaining: Duration,
) -> Result<Choice, Refused> {
    let ask = Ask {
        service: &job.service,
        rank: job.rank(),
        parts: &job.call.parts,
        prompt: job.call.tokens.map_or(0, |tokens| tokens.prompt),
        tried: &course.tried,
        objective: job.route.objective,
        remaining,
    };
    let verdict = context.placement.borrow_mut().choose(steady::now(), &ask);
    match verdict {
        Verdict::Go(choice) => {
            context.tell_load(&choice);
            Ok(choice)
        }
        Verdict::Busy(_) if course.may_have_run => Err((Refusal::Failed, None)),
        Verdict::Busy(back) => Err((Refusal::Busy, Some(back))),
        Verdict::Nowhere => Err(given_up(course)),
    }
}

/// Returns how long an upstream may be silent before another one is asked as well.
fn patience(job: &Job<'_>, choice: &Choice) -> Duration {
    let expected = Duration::from_secs_f64(choice.expected.max(0.0) / 1_000.0);
    let usual = job.route.objective.max(expected * 2) * 2;
    usual.clamp(SILENCE.0, SILENCE.1.max(expected * 2))
}

fn request_bytes(
    context: &Context,
    job: &Job<'_>,
    course: &Course,
    choice: &Choice,
    remaining: Duration,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + job.body.len());
    let line = format!("{} {} HTTP/1.1\r\n", job.head.method, job.head.target);
    out.extend_from_slice(line.as_bytes());
    let fields = &job.head.fields;
    for field in fields {
        let length = field.name.eq_ignore_ascii_case("content-length")
            || field.name.eq_ignore_ascii_case("expect");
        let ours = context.dialect.is_ours(&field.name);
        if !length && !ours && !head::is_hop(fields, &field.name) {
            answer::put(&mut out, &field.name, &field.value);
        }
    }
    let onward = Onward {
        upstream: &choice.upstream,
        team: job.team.map(|team| &team.name),
        remaining,
        after: course.delivery.last_event().or(job.call.after),
        rank: (!job.call.parts.is_empty()).then(|| job.rank()),
    };
    context.dialect.onward(&onward, &mut |name, value| {
        answer::put(&mut out, name, value.as_bytes());
    });
    if !job.body.is_empty() || !matches!(&*job.head.method, "GET" | "HEAD") {
        answer::put(&mut out, "Content-Length", job.body.len().to_string().as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(job.body);
    out
}

/// Counts a request as begun, once.
fn count(context: &Context, job: &Job<'_>, course: &mut Course) {
    if std::mem::replace(&mut course.counted, true) {
        return;
    }
    let Some(team) = job.team else { return };
    let now = i64::try_from(steady::now().as_millis()).unwrap_or(i64::MAX);
    let unix = now.saturating_add(context.board.view().time);
    context.board.began(&team.name, u64::try_from(unix).unwrap_or(0), context.window);
}

/// Keeps a connection whose answer was not passed on, if its body is short and whole.
async fn recycle(context: &Context, job: &Job<'_>, choice: &Choice, mut answered: Answered) {
    let Ok(framing) = answered.head.framing(&job.head.method) else { return };
    let mut decoder = Decoder::new(framing);
    for _ in 0..2 {
        loop {
            match decoder.step(&mut answered.wire.bytes) {
                Ok(Step::Data(_)) => {}
                Ok(Step::End) => return keep(context, choice, answered),
                Ok(Step::More) => break,
                Err(_) => return,
            }
        }
        let wait = Duration::from_millis(5);
        let filled = tokio::time::timeout(wait, answered.wire.fill()).await;
        if !matches!(filled, Ok(Ok(count)) if count > 0) {
            return;
        }
    }
}

/// Keeps a connection after a whole answer; one on which more has come is thrown away.
fn keep(context: &Context, choice: &Choice, answered: Answered) {
    if !answered.reusable || !answered.wire.bytes.is_empty() {
        return;
    }
    let stated = answered.head.text("keep-alive").and_then(stated);
    let now = steady::now();
    context.pool.borrow_mut().put(now, &choice.upstream, answered.wire, stated);
}

/// Reads for how many seconds an upstream keeps an idle connection.
fn stated(value: &str) -> Option<Duration> {
    let words = value.split(',').map(str::trim);
    let timeout = words.filter_map(|word| word.strip_prefix("timeout=")).next()?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

async fn refuse(
    context: &Context,
    caller: &mut Wire,
    id: &str,
    refused: Refused,
    closes: bool,
    trace: &mut Trace,
) -> After {
    let (refusal, back) = refused;
    trace.status = refusal.status();
    trace.outcome = refusal.name();
    let bytes = answer::write(&*context.dialect, refusal, id, back, closes);
    match caller.send(&bytes).await {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

/// Says in one line how a request ended and what decided it.
fn say(view: &View, id: &str, job: Option<&Job<'_>>, trace: &Trace, arrived: Instant) {
    let took = arrived.elapsed();
    let route = job.map_or("", |job| &*job.route.name);
    let outcome = if trace.outcome.is_empty() { "cut" } else { trace.outcome };
    metrics::counter!("verbenaslip_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("verbenaslip_request_seconds", "route" => route.to_owned())
        .record(took.as_secs_f64());
    let now = steady::now();
    let age = view.heard.map(|heard| now.saturating_sub(heard).as_millis());
    let team = job.and_then(|job| job.team).map(|team: &TeamRow| &team.name);
    let sent: Vec<&str> = trace.sent.iter().map(Upstream::as_str).collect();
    journal::say(
        ENDED,
        [
            ("id", json!(id)),
            ("route", json!(route)),
            ("team", json!(team.map(Team::as_str))),
            ("outcome", json!(outcome)),
            ("status", json!(trace.status)),
            ("ms", json!(took.as_millis())),
            ("upstreams", json!(sent)),
            ("causes", json!(trace.causes)),
            ("objective_ms", json!(job.map(|job| job.route.objective.as_millis()))),
            ("expected_ms", json!(trace.expected.round())),
            ("first_ms", json!(trace.first.map(|first| first.as_millis()))),
            ("pause_ms", json!(trace.pause.as_millis())),
            ("revision", json!(view.revision())),
            ("view_age_ms", json!(age)),
        ],
    );
}
