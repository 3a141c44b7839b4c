//! Tells callers that retry from new callers.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_relay::policy::returning::ReturningCallers;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn caller_with_much_shorter_timeout_is_returning() {
    let mut callers = ReturningCallers::default();
    let route: Arc<str> = "lookup".into();
    let mut is_returning =
        |patience| callers.is_returning(millis(1), &route, millis(patience), OBJECTIVE);
    assert!(!is_returning(1_500));
    assert!(!is_returning(1_280), "timeouts of new callers differ a little");
    assert!(is_returning(900), "the caller was refused and has retried");
    assert!(!is_returning(1_600));
}

#[test]
fn routes_are_independent() {
    let mut callers = ReturningCallers::default();
    assert!(!callers.is_returning(millis(1), &"long".into(), millis(15_000), OBJECTIVE));
    assert!(!callers.is_returning(millis(1), &"short".into(), millis(900), OBJECTIVE));
}

#[test]
fn shorter_timeouts_count_as_new_after_a_while() {
    let mut callers = ReturningCallers::default();
    let route: Arc<str> = "lookup".into();
    assert!(!callers.is_returning(millis(0), &route, millis(1_500), OBJECTIVE));
    assert!(callers.is_returning(millis(10), &route, millis(750), OBJECTIVE));
    assert!(!callers.is_returning(millis(60_100), &route, millis(750), OBJECTIVE));
}

#[test]
fn caller_within_objective_is_not_returning() {
    let mut callers = ReturningCallers::default();
    let route: Arc<str> = "draft".into();
    assert!(!callers.is_returning(millis(0), &route, millis(500), millis(400)));
    assert!(!callers.is_returning(millis(1), &route, millis(200), millis(400)));
}
