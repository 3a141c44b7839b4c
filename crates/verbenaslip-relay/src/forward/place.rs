//! Holds requests until one of this entry's places at a brittle service is free.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::forward::admission::{self, AdmittedRequest};
use crate::forward::answer::Refusal;
use crate::forward::context::Context;
use crate::forward::lifecycle::{Attempts, Disposition, Next};
use crate::forward::request_log::Trace;
use crate::http::Connection;
use crate::monotonic;

/// Fraction of the time that a caller waits for which its request is held; it has as long again
/// for another attempt, and for the answer.
const HOLDING_DIVISOR: u32 = 3;

/// Fraction of the time that a caller waits by which its request's turn must come, where entries use
/// the places in turns; it is refused at once if the next turn comes later.
const TURN_FRACTION: f64 = 0.75;

/// Time between two checks whether a place is free.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Limit on the requests that are held at once; each check costs time.
const MAX_HELD: u32 = 64;

/// Counts the requests that are held.
#[derive(Debug, Default)]
pub(crate) struct HeldCount(Cell<u32>);

/// Counts one request until it is dropped.
struct Held<'a>(&'a HeldCount);

impl HeldCount {
    fn hold(&self) -> Option<Held<'_>> {
        let count = self.0.get();
        (count < MAX_HELD).then(|| {
            self.0.set(count + 1);
            Held(self)
        })
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

/// Holds a request that was refused since this entry's places at a brittle service are taken, until
/// one is free or its holding time is over. Returns how the request continues, or `None` if it is
/// not held.
///
/// A prompt is held only where entries use the places in turns: otherwise places at engines are taken
/// for seconds.
pub(super) async fn wait(
    context: &Context,
    caller: &mut Connection,
    request: &AdmittedRequest<'_>,
    attempts: &Attempts,
    trace: &mut Trace,
) -> Option<Next> {
    if !trace.brittle || attempts.sends > 0 {
        return None;
    }
    let patience = request.deadline.saturating_duration_since(request.received_at);
    let turn = context.placement.borrow().time_until_turn(monotonic::now(), &request.service);
    let until = match turn {
        Some(_) => request.received_at + patience.mul_f64(TURN_FRACTION),
        None => request.received_at + patience / HOLDING_DIVISOR,
    };
    let comes_in_time =
        turn.map_or(request.info.prompt_parts.is_empty(), |turn| Instant::now() + turn < until);
    let may_wait = comes_in_time && until > Instant::now();
    let _held = context.held_count.hold().filter(|_| may_wait)?;
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = context.shared.wait_until_admission_stops() => {
                let retry_after = Some(admission::RETRY_AFTER_STOP);
                return Some(Next::Refuse((Refusal::Stopping, retry_after)));
            }
            () = caller.closed_by_peer() => {
                admission::refund_quota(context, request);
                trace.outcome = "caller_gone";
                return Some(Next::Done(Disposition::Abort));
            }
        }
        let placement = context.placement.borrow();
        let has_place = placement.has_alternative(monotonic::now(), &request.service, None, &[]);
        if has_place || Instant::now() >= until {
            return Some(Next::Retry);
        }
    }
}
