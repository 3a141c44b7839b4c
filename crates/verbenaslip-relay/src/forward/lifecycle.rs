//! Runs one request: where it goes, whether it is retried, and what its caller gets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::registry::Run;

use crate::dialect::ResponseInfo;
use crate::forward::admission::{self, AdmittedRequest, Rejection};
use crate::forward::answer::{self, Refusal, RefusedRequest};
use crate::forward::context::Context;
use crate::forward::delivery::{Delivery, Outcome};
use crate::forward::exchange::{self, Failure, Outgoing, Response};
use crate::forward::failover::Failover;
use crate::forward::origin;
use crate::forward::place;
use crate::forward::queue;
use crate::forward::request_log::{self, ForeignEvent, Trace, ViewInfo};
use crate::forward::upstream_choice;
use crate::forward::upstream_request;
use crate::http::{Connection, Framing, Message};
use crate::monotonic;
use crate::policy::placement::{Choice, Ending};
use crate::policy::quarantine;

/// Retry time for a caller whose request was refused by full upstreams. A full upstream is also
/// slower, so callers that retry sooner would keep it full. By this time the next update of the
/// fleet has arrived.
pub(super) const RETRY_AFTER_FULL: Duration = Duration::from_millis(300);

/// Retry time for a caller that was refused because no upstream was available: half of the
/// interval in which every upstream announces itself once.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_millis(600);

/// Time that a request waits at an entry without a route table: as long as cores take to start, to
/// elect a leader and to send the table.
const ROUTE_TABLE_WAIT: Duration = Duration::from_millis(1_300);

/// Time after its start within which an entry is likely to get a route table. An entry without one
/// after that is cut off from the cores and refuses requests at once.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Fraction by which retry times are spread at random; callers that all retried at once would be
/// refused again.
const RETRY_JITTER: f64 = 0.25;

/// Limit on the unreachable upstreams tried for one request. An unreachable upstream has received
/// nothing of the request.
const MAX_UNREACHABLE: usize = 4;

/// Shortest and longest silence after which a request that may be repeated is sent to another
/// upstream.
const SILENCE: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(2));

/// Longest silence within a stream, as a multiple of the route's longest regular pause.
const PAUSE_FACTOR: u32 = 4;

/// Describes what happens to the caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The connection takes the next request.
    KeepOpen,
    /// The connection is closed after a whole answer.
    Close,
    /// The connection is closed in the middle of an answer, or its caller has left.
    Abort,
}

/// Serves one request.
pub async fn serve(
    context: &Context,
    caller: &mut Connection,
    message: &Message,
    closes_connection: bool,
) -> Disposition {
    let mut trace = Trace::default();
    let info = context.dialect.request_info(&message.head);
    let id = info.as_ref().map_or_else(|| "".into(), |info| info.id.clone());
    let starting = context.shared.view().routes.is_none();
    let caller_left = starting && wait_for_route_table(context, caller, message).await;
    let view = context.refresh_view();
    trace.view_info = ViewInfo::of(&view);
    if caller_left {
        trace.outcome = "caller_gone";
        request_log::log_request(&view, &id, None, &trace, message.received_at);
        return Disposition::Abort;
    }
    let mut admitted = admission::admit(context, &view, message, info.as_ref(), closes_connection);
    let refused = RefusedRequest { id: &id, method: &message.head.method, closes_connection };
    let disposition = match &mut admitted {
        Ok(request) => match admission::charge_quota(context, &view, request).await {
            Ok(()) => run_attempts(context, caller, request, &mut trace).await,
            Err(rejection) => send_refusal(context, caller, refused, rejection, &mut trace).await,
        },
        Err(rejection) => send_refusal(context, caller, refused, *rejection, &mut trace).await,
    };
    let request = admitted.as_ref().ok();
    request_log::log_request(&view, &id, request, &trace, message.received_at);
    match disposition {
        Disposition::KeepOpen if closes_connection => Disposition::Close,
        disposition => disposition,
    }
}

/// Returns whether the caller's connection ends with its present answer since this instance stops.
///
/// Requests that the caller has sent ahead have been read, so they are answered as well.
pub(crate) fn is_last_before_stop(context: &Context, caller: &Connection) -> bool {
    context.shared.is_draining() && caller.buffer.is_empty()
}

/// Waits a short time for a route table; returns whether the caller has left meanwhile.
///
/// After a power loss of the whole fleet, entries are back before the cores have elected a leader.
/// A caller that is refused then retries after its objective has passed. Many callers have already
/// retried once, after an entry that was down, and do not retry again. The table arrives a moment
/// later.
async fn wait_for_route_table(
    context: &Context,
    caller: &mut Connection,
    message: &Message,
) -> bool {
    let deadline =
        (message.received_at + ROUTE_TABLE_WAIT).min(context.started_at + STARTUP_PERIOD);
    tokio::select! {
        () = context.shared.wait_for_routes() => false,
        () = tokio::time::sleep_until(deadline) => false,
        () = caller.closed_by_peer() => true,
    }
}

/// Runs an admitted request until it is answered or refused.
async fn run_attempts(
    context: &Context,
    caller: &mut Connection,
    request: &mut AdmittedRequest<'_>,
    trace: &mut Trace,
) -> Disposition {
    let delivery = Delivery::new(context.event_memory.clone());
    let mut attempts = Attempts { delivery, ..Attempts::default() };
    let restricted = origin::restrict(context, request, &mut attempts, trace).await;
    let request = &*request;
    let rejection = loop {
        if let Err(rejection) = restricted {
            break rejection;
        }
        let next = try_upstream(context, caller, request, &mut attempts, trace).await;
        trace.first_piece_after = attempts
            .delivery
            .first_byte_at
            .map(|first_byte_at| first_byte_at - request.received_at);
        trace.longest_pause = attempts.delivery.longest_pause;
        match next {
            Next::Retry => {}
            Next::Done(disposition) => return disposition,
            Next::Refuse(rejection) => break rejection,
        }
    };
    if attempts.delivery.has_started() {
        // The caller can only see that the answer is incomplete if the connection ends without an
        // end mark.
        trace.outcome = "cut";
        return Disposition::Abort;
    }
    if attempts.sends == 0 {
        admission::refund_quota(context, request);
    }
    queue::schedule_return(context, request, rejection, trace);
    let refused = RefusedRequest {
        id: &request.info.id,
        method: &request.head.method,
        closes_connection: request.closes_connection,
    };
    send_refusal(context, caller, refused, rejection, trace).await
}

/// Tracks the attempts of one request.
#[derive(Default)]
pub(super) struct Attempts {
    delivery: Delivery,
    /// Software version at which the answer has begun, if it has.
    pub(super) version: Option<Arc<str>>,
    /// Number of the record of the version to which the request was sent last, if that was new.
    pub(super) origin_number: Option<u64>,
    /// Runs of upstreams that received the request or could not be reached.
    pub(super) tried_runs: Vec<Run>,
    /// Number of upstreams that received the request.
    pub(super) sends: u32,
    /// Number of upstreams that could not be reached.
    unreachable_count: usize,
    /// Whether the request may have run at an upstream.
    pub(super) may_have_run: bool,
    /// Whether the retry budget has already paid for the next attempt.
    pub(super) retry_paid: bool,
    /// Whether the request has waited and its turn has come.
    pub(super) has_turn: bool,
    /// Whether the request was counted for its team's usage.
    usage_counted: bool,
}

pub(super) enum Next {
    Retry,
    Done(Disposition),
    Refuse(Rejection),
}

/// Tries one upstream.
async fn try_upstream(
    context: &Context,
    caller: &mut Connection,
    request: &AdmittedRequest<'_>,
    attempts: &mut Attempts,
    trace: &mut Trace,
) -> Next {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Next::Refuse(timeout_rejection(attempts));
    }
    if let Some((fingerprint, retry_after)) = context.quarantined_for(request) {
        trace.held_by = Some(fingerprint);
        return Next::Refuse(quarantine_rejection(attempts, retry_after));
    }
    if attempts.sends > 0 {
        let may_switch = attempts.sends < request.route.max_attempts
            && (std::mem::take(&mut attempts.retry_paid) || context.spend_retry(request));
        if !may_switch {
            return Next::Refuse(exhausted_rejection(attempts));
        }
    }
    if let Some(next) = queue::wait_for_turn(context, caller, request, attempts, trace).await {
        return next;
    }
    let mut choice =
        match upstream_choice::choose_upstream(context, request, attempts, remaining, trace) {
            Ok(choice) => choice,
            Err(rejection) => {
                let next = place::wait(context, caller, request, attempts, trace).await;
                return next.unwrap_or(Next::Refuse(rejection));
            }
        };
    (trace.expected_ms, trace.lag_ms, trace.rate_limit) =
        (choice.expected_ms, choice.lag_ms, choice.rate_limit);
    attempts.tried_runs.push(choice.run.clone());
    let is_last_attempt = attempts.sends + 1 >= request.route.max_attempts;
    let silence_limit = (!is_last_attempt && request.route.kind.may_repeat())
        .then(|| silence_limit(request, &choice));
    let upstream_request = upstream_request::write(
        context,
        request,
        &choice,
        remaining,
        attempts.delivery.last_event_id(),
    );
    origin::record(context, request, attempts, &choice);
    context.record_sent(request, &mut choice);
    queue::record_sent(context, request, &choice);
    let sent = Instant::now();
    let slow_at = silence_limit.and_then(|_| context.slow_at(request, &choice, sent));
    let slow_at = slow_at.filter(|_| attempts.delivery.first_byte_at.is_none());
    let (tried_runs, retry_paid) = (&attempts.tried_runs, &mut attempts.retry_paid);
    let version = attempts.version.as_deref();
    let may_switch = |reason, _: bool| {
        context.may_switch(reason, request, &choice, (version, tried_runs), retry_paid)
    };
    let failover = Failover { slow_at, silence_limit, may_switch };
    let mut outgoing = Outgoing { choice: &choice, request: &upstream_request, gateway: None };
    let response = exchange::send(context, caller, request, &mut outgoing, failover).await;
    let gateway = outgoing.gateway;
    if !matches!(response, Err(Failure::Unreachable)) {
        attempts.sends += 1;
        let upstream = choice.run.upstream.clone();
        trace.attempts.push(request_log::Attempt {
            upstream,
            sent_after: sent - request.received_at,
            gateway,
        });
    }
    match response {
        Ok(response) => {
            let sent = SentRequest { choice, response, sent_at: sent };
            handle_response(context, caller, request, attempts, trace, sent).await
        }
        Err(failure) => {
            let sent = FailedAttempt { choice: &choice, sent_at: sent, gateway };
            handle_failure(context, request, attempts, trace, sent, failure)
        }
    }
}

/// Holds the answer of an upstream to a request.
struct SentRequest {
    choice: Choice,
    response: Response,
    sent_at: Instant,
}

/// Continues after the head of an answer has arrived.
async fn handle_response(
    context: &Context,
    caller: &mut Connection,
    request: &AdmittedRequest<'_>,
    attempts: &mut Attempts,
    trace: &mut Trace,
    sent: SentRequest,
) -> Next {
    let SentRequest { choice, mut response, sent_at } = sent;
    context.handle_response_info(request, &choice, sent_at, &response.info);
    if response.info.not_run {
        // A run that is no longer at its address gets no requests for a while, like an unreachable
        // one.
        let (cause, ending) = match response.info {
            ResponseInfo { other_run: true, .. } => ("other_run", Ending::Unreachable),
            ResponseInfo { cooldown: Some(_), .. } => ("resting", Ending::CoolingDown),
            _ => ("not_run", Ending::Full),
        };
        trace.causes.push(cause);
        context.record_end(&choice, ending, None);
        exchange::drain_and_keep(context, request, &choice, response).await;
        return Next::Retry;
    }
    count_usage(context, request, attempts);
    attempts.may_have_run = true;
    let status = response.head.status;
    let failed = status >= 500 || response.info.unrequested_encoding;
    let continues = attempts.delivery.has_started();
    let retry =
        failed && request.route.kind.may_repeat() && attempts.sends < request.route.max_attempts;
    let goes_on = !continues || attempts.delivery.goes_on_with(request, &response.head);
    if retry || response.info.unrequested_encoding || !goes_on {
        trace.causes.push(if failed { "upstream_failed" } else { "no_resume" });
        context.record_end(&choice, Ending::Failed, None);
        exchange::drain_and_keep(context, request, &choice, response).await;
        return if retry || continues {
            Next::Retry
        } else {
            Next::Refuse((Refusal::Failed, None))
        };
    }
    origin::wait_until_recorded(context, attempts).await;
    let silence_limit = pause_limit(request, attempts);
    let first_byte_before = attempts.delivery.first_byte_at;
    let framing = response.head.framing(&request.head.method).ok();
    trace.ends_with_connection = framing == Some(Framing::UntilClose);
    let slow_at = silence_limit.and_then(|_| context.slow_at(request, &choice, sent_at));
    let (tried_runs, retry_paid) = (&attempts.tried_runs, &mut attempts.retry_paid);
    let version = attempts.version.as_deref();
    let may_switch = |reason, has_events: bool| {
        let version = version.or(has_events.then_some(&choice.version));
        context.may_switch(reason, request, &choice, (version, tried_runs), retry_paid)
    };
    let failover = Failover { slow_at, silence_limit, may_switch };
    let outcome = attempts.delivery.deliver(caller, request, &mut response, failover).await;
    trace.status = status;
    trace.foreign.extend(take_foreign(attempts, &choice, framing));
    let began_at = attempts.delivery.first_byte_at.filter(|_| first_byte_before.is_none());
    let delivered = Delivered { outcome, status, began_at };
    record_delivery(context, request, attempts, (&choice, &response, sent_at), delivered);
    signal_outcome(context, request, (&choice, framing, sent_at), delivered);
    match outcome {
        Outcome::Complete => {
            exchange::keep_connection(context, request, &choice, response);
            trace.outcome = "answered";
            Next::Done(Disposition::KeepOpen)
        }
        Outcome::Broken | Outcome::Foreign | Outcome::Unresponsive | Outcome::Slow => {
            trace.causes.push(outcome.cause());
            if request.is_resumable() && attempts.delivery.may_go_on() {
                Next::Retry
            } else {
                Next::Refuse((Refusal::Failed, None))
            }
        }
        Outcome::TimedOut => Next::Refuse((Refusal::TimedOut, None)),
        Outcome::CallerGone => {
            trace.outcome = "caller_gone";
            Next::Done(Disposition::Abort)
        }
    }
}

/// Reports what the end of an answer says about the request, and about its upstream.
fn signal_outcome(
    context: &Context,
    request: &AdmittedRequest<'_>,
    (choice, framing, sent_at): (&Choice, Option<Framing>, Instant),
    Delivered { outcome, status, began_at }: Delivered,
) {
    match outcome {
        Outcome::Complete if quarantine::proves_execution(status, framing) => {
            context.record_answer(monotonic::now(), request.fingerprints(), status);
        }
        Outcome::Complete if framing == Some(Framing::UntilClose) => {
            context.signal_ended(request, choice, sent_at, status);
        }
        Outcome::Broken => context.signal_interrupted(request, choice, sent_at, began_at),
        // The connection is closed before the upstream can break off, and it may crash still.
        Outcome::CallerGone | Outcome::Foreign => {
            context.signal_unconfirmed(request, choice, sent_at);
        }
        Outcome::Complete | Outcome::Unresponsive | Outcome::Slow | Outcome::TimedOut => {}
    }
}

/// Counts and returns what an upstream sent that does not continue its stream.
fn take_foreign(
    attempts: &mut Attempts,
    choice: &Choice,
    framing: Option<Framing>,
) -> Option<ForeignEvent> {
    let foreign = attempts.delivery.foreign?;
    let fault = foreign.fault.name();
    metrics::counter!("verbenaslip_foreign_events_total", "fault" => fault).increment(1);
    Some(ForeignEvent { upstream: choice.run.upstream.clone(), framing: framing?, foreign })
}

/// Describes what was passed on of an upstream's answer.
#[derive(Clone, Copy)]
struct Delivered {
    outcome: Outcome,
    status: u16,
    /// When the first byte of the body arrived, if this upstream sent it.
    began_at: Option<Instant>,
}

/// Records at which version an answer has begun, and what it says about the upstream.
fn record_delivery(
    context: &Context,
    request: &AdmittedRequest<'_>,
    attempts: &mut Attempts,
    (choice, response, sent_at): (&Choice, &Response, Instant),
    Delivered { outcome, status, began_at }: Delivered,
) {
    if attempts.delivery.has_events && request.is_resumable() {
        attempts.version.get_or_insert_with(|| choice.version.clone());
    }
    let lacks_path = context.lacks_path(response.connection.gateway(), &choice.run);
    // How long a connection took to open, or an answer on a path that is lost, says nothing about
    // the upstream.
    if let Some(began_at) = began_at.filter(|_| !lacks_path) {
        context.record_first_event(choice, began_at - response.connected_at);
    }
    if let Some(pace) = attempts.delivery.gaps.take_pace() {
        context.record_pace(choice, pace);
    }
    let keeps_pending = outcome != Outcome::Slow && !queue::is_shared(context, request);
    // Where measurements are shared, a prompt without a first event must not stay pending in them.
    let is_measured = !lacks_path && (began_at.is_some() || keeps_pending);
    let duration = is_measured.then(|| sent_at.elapsed());
    let is_lost = lacks_path && matches!(outcome, Outcome::Broken | Outcome::Unresponsive);
    let ending = if is_lost { Ending::Abandoned } else { outcome.ending(status) };
    context.record_end(choice, ending, duration);
}

/// Describes an attempt that got no answer.
struct FailedAttempt<'a> {
    choice: &'a Choice,
    sent_at: Instant,
    /// Gateway through which the request was sent.
    gateway: Option<SocketAddr>,
}

/// Continues after an upstream gave no answer.
fn handle_failure(
    context: &Context,
    request: &AdmittedRequest<'_>,
    attempts: &mut Attempts,
    trace: &mut Trace,
    FailedAttempt { choice, sent_at: sent, gateway }: FailedAttempt<'_>,
    failure: Failure,
) -> Next {
    let (ending, cause) = match failure {
        Failure::Unreachable => (Ending::Unreachable, "unreached"),
        Failure::Broken => (Ending::Failed, "broken"),
        Failure::Unidentified => (Ending::Failed, "unidentified"),
        Failure::Unresponsive => (Ending::Failed, "silent"),
        Failure::Slow => (Ending::Slow, "slow"),
        Failure::CallerGone => (Ending::Abandoned, "caller_gone"),
    };
    // A failure for want of a path says nothing about the upstream.
    let lost_path = ending == Ending::Failed && context.lacks_path(gateway, &choice.run);
    let ending = if lost_path { Ending::Abandoned } else { ending };
    context.record_end(choice, ending, None);
    match failure {
        Failure::Broken => context.signal_interrupted(request, choice, sent, None),
        Failure::CallerGone => context.signal_unconfirmed(request, choice, sent),
        Failure::Unreachable => context.signal_unreachable(choice),
        // The upstream still answers, so there is no sign of a crash.
        Failure::Unidentified | Failure::Unresponsive | Failure::Slow => {}
    }
    trace.causes.push(cause);
    match failure {
        Failure::CallerGone => {
            trace.outcome = "caller_gone";
            Next::Done(Disposition::Abort)
        }
        Failure::Unreachable => {
            trace.unreached.push(choice.run.upstream.clone());
            attempts.unreachable_count += 1;
            if attempts.unreachable_count < MAX_UNREACHABLE {
                Next::Retry
            } else {
                Next::Refuse(exhausted_rejection(attempts))
            }
        }
        Failure::Broken | Failure::Unidentified | Failure::Unresponsive | Failure::Slow => {
            attempts.may_have_run = true;
            if matches!(failure, Failure::Broken | Failure::Unidentified) {
                // An upstream that closes the connection without an answer, or sends one that
                // names no request, has usually run the request.
                count_usage(context, request, attempts);
            }
            if request.route.kind.may_repeat() {
                Next::Retry
            } else {
                Next::Refuse(failure_rejection(failure))
            }
        }
    }
}

fn failure_rejection(failure: Failure) -> Rejection {
    let refusal =
        if failure == Failure::Unresponsive { Refusal::TimedOut } else { Refusal::Failed };
    (refusal, None)
}

/// Returns the refusal for a request that cannot be retried; it states "not run" only if that is
/// certain.
pub(super) fn exhausted_rejection(attempts: &Attempts) -> Rejection {
    match (attempts.may_have_run, attempts.sends) {
        (true, _) => (Refusal::Failed, None),
        (false, 0) => (Refusal::NoUpstream, Some(RETRY_AFTER_NO_UPSTREAM)),
        (false, _) => (Refusal::NotRun, Some(RETRY_AFTER_FULL)),
    }
}

/// Returns the refusal for a quarantined request; it states "not run" only if that is certain.
fn quarantine_rejection(attempts: &Attempts, retry_after: Duration) -> Rejection {
    if attempts.may_have_run {
        (Refusal::Failed, None)
    } else {
        (Refusal::Quarantined, Some(retry_after))
    }
}

fn timeout_rejection(attempts: &Attempts) -> Rejection {
    if attempts.may_have_run { (Refusal::TimedOut, None) } else { (Refusal::DeadlineExpired, None) }
}

/// Returns how long an upstream may be silent before the request is sent to another one.
fn silence_limit(request: &AdmittedRequest<'_>, choice: &Choice) -> Duration {
    let expected = Duration::from_secs_f64(choice.expected_ms.max(0.0) / 1_000.0);
    let limit = request.route.objective.max(expected * 2) * 2;
    limit.clamp(SILENCE.0, SILENCE.1.max(expected * 2))
}

/// Returns how long an upstream may pause within a stream before another one continues it, if one
/// may.
fn pause_limit(request: &AdmittedRequest<'_>, attempts: &Attempts) -> Option<Duration> {
    let may_continue = request.is_resumable() && attempts.sends < request.route.max_attempts;
    let limit = (request.route.max_event_gap * PAUSE_FACTOR).clamp(SILENCE.0 * 2, SILENCE.1);
    may_continue.then_some(limit)
}

/// Counts a request for its team's usage, at most once.
fn count_usage(context: &Context, request: &AdmittedRequest<'_>, attempts: &mut Attempts) {
    if std::mem::replace(&mut attempts.usage_counted, true) {
        return;
    }
    let Some(team) = request.team else { return };
    let unix = clock::unix_ms(monotonic::now(), context.shared.view().time_offset_ms);
    context.shared.count_request(&team.name, unix, context.usage_window);
}

async fn send_refusal(
    context: &Context,
    caller: &mut Connection,
    request: RefusedRequest<'_>,
    rejection: Rejection,
    trace: &mut Trace,
) -> Disposition {
    let (refusal, retry_after) = rejection;
    // A scheduled return is already spread over the time in which capacity becomes available.
    let retry_after = trace
        .scheduled_return
        .or_else(|| retry_after.map(|retry_after| add_jitter(context, retry_after)));
    trace.status = refusal.status();
    trace.outcome = refusal.name();
    trace.retry_after = retry_after;
    // The stop may have begun while the request waited.
    let closes_connection = request.closes_connection || is_last_before_stop(context, caller);
    let request = RefusedRequest { closes_connection, ..request };
    let bytes = answer::write_refusal(&*context.dialect, request, refusal, retry_after);
    match caller.send(&bytes).await {
        Ok(()) if closes_connection => Disposition::Close,
        Ok(()) => Disposition::KeepOpen,
        Err(_) => Disposition::Abort,
    }
}

/// Spreads a retry time at random.
pub(super) fn add_jitter(context: &Context, retry_after: Duration) -> Duration {
    /// Number of steps between the shortest and the longest time.
    const STEPS: u32 = 1_000;
    let step = u32::try_from(context.next_random() % u64::from(STEPS)).unwrap_or(0);
    let part = f64::from(step) / f64::from(STEPS) * 2.0 - 1.0;
    retry_after.mul_f64(1.0 + part * RETRY_JITTER)
}
