//! Holds requests that no upstream accepts now but one will accept in a moment.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::forward::admission::{self, AdmittedRequest, Rejection};
use crate::forward::answer::Refusal;
use crate::forward::context::Context;
use crate::forward::lifecycle::{Attempts, Disposition, Next, RETRY_AFTER_FULL};
use crate::forward::request_log::Trace;
use crate::forward::upstream_choice;
use crate::http::Connection;
use crate::monotonic;
use crate::policy::placement::Choice;
use crate::policy::return_schedule::{MAX_RETRY_AFTER, RefusedCaller, ReturnSchedule};
use crate::policy::speed::Speed;
use crate::policy::waiting::{self, Ticket, WaitingQueue};

/// Fraction of the objective for which a request is held. A caller that is refused after that can
/// still be served elsewhere in time.
const HOLDING_DIVISOR: u32 = 8;

/// Longest time until the request that goes next looks again whether an upstream accepts it: an
/// upstream may have room before the expected time, when its requests end.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Holds the waiting requests of an entry and what it has promised to refused callers.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: WaitingQueue,
    /// Wakes a waiting request once it goes next.
    wakers: HashMap<Ticket, Rc<Notify>>,
    schedules: HashMap<Arc<str>, ReturnSchedule>,
}

impl Queue {
    /// Wakes the request of a service that goes next.
    fn wake_next(&mut self, service: &str) {
        let next = self.waiting.next(service);
        if let Some(waker) = next.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }

    fn record_length(&self, service: &Arc<str>) {
        let length = u32::try_from(self.waiting.len(service)).unwrap_or(u32::MAX);
        metrics::gauge!("verbenaslip_waiting_requests", "service" => service.to_string())
            .set(f64::from(length));
    }
}

/// Holds a request's place in the queue, which is free again once this is dropped.
struct Place<'a> {
    queue: &'a RefCell<Queue>,
    service: &'a Arc<str>,
    ticket: Ticket,
    waker: Rc<Notify>,
    is_sent: bool,
}

impl<'a> Place<'a> {
    /// Takes a place; returns `None` if the queue is full.
    fn take(
        queue: &'a RefCell<Queue>,
        service: &'a Arc<str>,
        request: waiting::Request,
    ) -> Option<Self> {
        let waker = Rc::new(Notify::new());
        let mut state = queue.borrow_mut();
        let ticket = state.waiting.push(request)?;
        state.wakers.insert(ticket, waker.clone());
        state.record_length(service);
        // A long prompt that becomes its team's first can pass the turn to another team.
        state.wake_next(service);
        Some(Self { queue, service, ticket, waker, is_sent: false })
    }

    /// Returns whether the request goes next.
    fn is_next(&self) -> bool {
        self.queue.borrow_mut().waiting.next(self.service) == Some(self.ticket)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.borrow_mut();
        if self.is_sent {
            state.waiting.remove_sent(self.ticket);
        } else {
            state.waiting.remove(self.ticket);
        }
        state.wakers.remove(&self.ticket);
        state.record_length(self.service);
        state.wake_next(self.service);
    }
}

/// Describes how a request left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Sent,
    Expired,
    CallerGone,
    Stopping,
}

impl Departure {
    fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Expired => "expired",
            Self::CallerGone => "caller_gone",
            Self::Stopping => "stopping",
        }
    }
}

/// Waits until it is a request's turn, if no upstream accepts it now but one will within the holding
/// time. Returns how the request continues, or `None` if its upstream is chosen now.
///
/// After a wait the request is checked again from the start of the attempt: meanwhile it may have
/// run out of time or been quarantined.
pub(super) async fn wait_for_turn(
    context: &Context,
    caller: &mut Connection,
    request: &AdmittedRequest<'_>,
    attempts: &mut Attempts,
    trace: &mut Trace,
) -> Option<Next> {
    let holding_time = (request.route.objective / HOLDING_DIVISOR)
        .saturating_sub(trace.queued.unwrap_or_default());
    if std::mem::take(&mut attempts.has_turn)
        || attempts.may_have_run
        || holding_time.is_zero()
        || !is_shared(context, request)
    {
        return None;
    }
    context.refresh_view();
    let wait = next_acceptance(context, request, attempts);
    let expected_wait = wait.unwrap_or_default();
    // A request that an upstream accepts now does not overtake those that wait for it.
    let overtakes = !context.queue.borrow().waiting.is_empty(&request.service);
    if expected_wait > holding_time || (wait.is_none() && !overtakes) {
        return None;
    }
    let started_at = Instant::now();
    let position = context.queue.borrow().waiting.ahead(&request.service, request.rank);
    let waiting_request = waiting_request(request);
    let Some(mut place) = Place::take(&context.queue, &request.service, waiting_request) else {
        return Some(Next::Refuse(refuse(context, request, attempts)));
    };
    trace.queue_position.get_or_insert(position);
    let until = request.deadline.min(started_at + holding_time);
    let departure = loop {
        let recheck_at = if place.is_next() {
            let Some(wait) = next_acceptance(context, request, attempts) else {
                break Departure::Sent;
            };
            (Instant::now() + wait.min(RECHECK_INTERVAL)).min(until)
        } else {
            until
        };
        if Instant::now() >= until {
            break Departure::Expired;
        }
        tokio::select! {
            () = caller.closed_by_peer() => break Departure::CallerGone,
            () = context.shared.wait_until_admission_stops() => break Departure::Stopping,
            () = place.waker.notified() => {}
            () = tokio::time::sleep_until(recheck_at) => {}
        }
        context.refresh_view();
    };
    place.is_sent = departure == Departure::Sent;
    drop(place);
    let queued = started_at.elapsed();
    metrics::histogram!("verbenaslip_wait_seconds").record(queued.as_secs_f64());
    trace.queued = Some(trace.queued.unwrap_or_default() + queued);
    trace.queue_left = Some(departure.name());
    Some(match departure {
        Departure::Sent => {
            attempts.has_turn = true;
            attempts.retry_paid = attempts.sends > 0;
            Next::Retry
        }
        Departure::Expired => Next::Refuse(refuse(context, request, attempts)),
        Departure::CallerGone => {
            if attempts.sends == 0 {
                admission::refund_quota(context, request);
            }
            trace.outcome = "caller_gone";
            Next::Done(Disposition::Abort)
        }
        Departure::Stopping => Next::Refuse((Refusal::Stopping, Some(admission::RETRY_AFTER_STOP))),
    })
}

/// Records a request that was sent to an upstream; new callers take capacity from returning ones.
pub(super) fn record_sent(context: &Context, request: &AdmittedRequest<'_>, choice: &Choice) {
    if request.returning || !is_shared(context, request) {
        return;
    }
    let mut queue = context.queue.borrow_mut();
    let schedule = queue.schedules.entry(request.service.clone()).or_default();
    let (now, prompt_tokens) = (monotonic::now(), prompt_tokens(request));
    schedule.record_sent(now, request.rank, prompt_tokens, choice.uncached_tokens);
}

/// Schedules the return of a caller that is refused for lack of capacity. Without recent
/// measurements, nothing is scheduled and the retry time of the refusal holds.
pub(super) fn schedule_return(
    context: &Context,
    request: &AdmittedRequest<'_>,
    (refusal, retry_after): Rejection,
    trace: &mut Trace,
) {
    let lacks_capacity = matches!(
        refusal,
        Refusal::Busy
            | Refusal::NotRun
            | Refusal::NoUpstream
            | Refusal::RateLimited
            | Refusal::CoolingDown
    );
    // The schedule ends after its longest retry time, but a cooldown can last longer.
    let is_scheduled = |excess: &Duration| {
        lacks_capacity && *excess <= MAX_RETRY_AFTER && is_shared(context, request)
    };
    let Some(excess) = retry_after.filter(is_scheduled) else { return };
    let now = monotonic::now();
    let capacity = context.placement.borrow().service_capacity(now, &request.service);
    let Some(capacity) = capacity else { return };
    let share = capacity / f64::from(request.entries.max(1));
    let mut queue = context.queue.borrow_mut();
    let schedule = queue.schedules.entry(request.service.clone()).or_default();
    let prompt_tokens = prompt_tokens(request);
    let refused = RefusedCaller { rank: request.rank, prompt_tokens, excess };
    trace.scheduled_return = Some(schedule.retry_after(now, refused, share));
}

/// Refuses a request that the queue does not hold, or no longer holds.
fn refuse(context: &Context, request: &AdmittedRequest<'_>, attempts: &Attempts) -> Rejection {
    // What refused requests ask for counts as well when upstreams are ordered.
    let engine_ms = Speed::default().prefill_ms(prompt_tokens(request));
    if attempts.tried_runs.is_empty() && !request.returning {
        context.shared.add_engine_time(&request.service, engine_ms);
    }
    let refusal = if attempts.sends == 0 { Refusal::Busy } else { Refusal::NotRun };
    (refusal, Some(RETRY_AFTER_FULL))
}

/// Returns whether the measurements of all entries are in force for a request.
pub(super) fn is_shared(context: &Context, request: &AdmittedRequest<'_>) -> bool {
    !request.info.prompt_parts.is_empty()
        && context.placement.borrow().shares_service(&request.service)
}

/// Returns when the first upstream accepts the request, if none does now.
fn next_acceptance(
    context: &Context,
    request: &AdmittedRequest<'_>,
    attempts: &Attempts,
) -> Option<Duration> {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    // Chosen again at each look, so that a request does not wait for one version while a rollout
    // sends most requests to another.
    let query = upstream_choice::query(context, request, attempts, remaining);
    context.placement.borrow().next_acceptance(monotonic::now(), &query)
}

fn waiting_request(request: &AdmittedRequest<'_>) -> waiting::Request {
    let prompt_tokens = prompt_tokens(request);
    // Only the order among the requests of one team depends on this, so the usual speed is enough.
    let prefill = Duration::try_from_secs_f64(Speed::default().prefill_ms(prompt_tokens) / 1_000.0);
    let answer_by = request.received_at + request.route.objective;
    let answer_in = answer_by.min(request.deadline).saturating_duration_since(Instant::now());
    let start_in = answer_in.saturating_sub(prefill.unwrap_or(Duration::MAX));
    waiting::Request {
        service: request.service.clone(),
        rank: request.rank,
        team: request.team.map(|team| team.name.clone()),
        prompt_tokens,
        start_by: monotonic::now() + start_in,
        body_bytes: request.body.len(),
    }
}

fn prompt_tokens(request: &AdmittedRequest<'_>) -> u64 {
    request.info.token_counts.map_or(0, |tokens| tokens.prompt)
}
