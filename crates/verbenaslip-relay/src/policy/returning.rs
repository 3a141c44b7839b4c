//! Which callers have waited already and come back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The part of the longest patience below which a caller is taken for one that has come back. Callers
/// of one kind of request differ in their patience by up to 15 in 100.
const RETURNING_BELOW: f64 = 0.8;

/// How long it takes until a longest patience that nobody has any more counts half: callers may be
/// changed to wait less, and then all of them would be taken for ones that have come back.
const TIMEOUT_HALF_LIFE: Duration = Duration::from_secs(60);

/// Learns how long the callers of each route wait when they first query.
///
/// A caller that comes back after a refusal sends a new request, and says how long it still waits.
/// Nothing else tells it from one that asks for the first time.
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
    /// Takes the patience of a caller; returns whether it has waited for longer than the objective, so
    /// that the answer comes late whatever is done.
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
