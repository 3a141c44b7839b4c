//! Tells callers that retry after a refusal from new callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Fraction of the longest caller timeout below which a caller counts as returning. The timeouts
/// of callers with the same kind of request differ by up to 15 %.
const RETURNING_BELOW: f64 = 0.8;

/// Half-life of the longest caller timeout. If callers are changed to shorter timeouts, all of
/// them would otherwise count as returning.
const TIMEOUT_HALF_LIFE: Duration = Duration::from_secs(60);

/// Learns how long the callers of each route wait when they send their first request.
///
/// A caller that retries after a refusal sends a new request with the remaining time that it
/// waits. Nothing else distinguishes it from a new caller.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    longest: HashMap<Arc<str>, LongestTimeout>,
}

#[derive(Clone, Copy, Debug)]
struct LongestTimeout {
    caller_timeout: Duration,
    seen_at: Duration,
}

impl ReturningCallers {
    /// Records the timeout of a caller; returns whether the caller has already waited for longer
    /// than the objective, so that its answer is late in any case.
    pub fn is_returning(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        caller_timeout: Duration,
        objective: Duration,
    ) -> bool {
        let longest = self
            .longest
            .entry(route.clone())
            .or_insert(LongestTimeout { caller_timeout, seen_at: now });
        let age = now.saturating_sub(longest.seen_at).as_secs_f64();
        let faded =
            longest.caller_timeout.mul_f64(0.5_f64.powf(age / TIMEOUT_HALF_LIFE.as_secs_f64()));
        if caller_timeout >= faded {
            *longest = LongestTimeout { caller_timeout, seen_at: now };
            return false;
        }
        caller_timeout < faded.mul_f64(RETURNING_BELOW) && faded - caller_timeout > objective
    }
}
