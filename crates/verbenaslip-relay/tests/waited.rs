//! Tells callers that retry from new callers.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_relay::policy::returning::ReturningCallers;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_caller_with_far_less_patience_than_others_has_waited() {
    let mut waited = ReturningCallers::default();
    let route: Arc<str> = "lookup".into();
    let mut take = |patience| waited.is_returning(millis(1), &route, millis(patience), OBJECTIVE);
    assert!(!take(1_500));
    assert!(!take(1_280), "timeouts of new callers differ a little");
    assert!(take(900), "the caller was refused and has retried");
    assert!(!take(1_600));
}

#[test]
fn routes_do_not_count_for_each_other() {
    let mut waited = ReturningCallers::default();
    assert!(!waited.is_returning(millis(1), &"long".into(), millis(15_000), OBJECTIVE));
    assert!(!waited.is_returning(millis(1), &"short".into(), millis(900), OBJECTIVE));
}

#[test]
fn callers_that_all_wait_less_than_before_are_fresh_again_in_time() {
    let mut waited = ReturningCallers::default();
    let route: Arc<str> = "lookup".into();
    assert!(!waited.is_returning(millis(0), &route, millis(1_500), OBJECTIVE));
    assert!(waited.is_returning(millis(10), &route, millis(750), OBJECTIVE));
    assert!(!waited.is_returning(millis(60_100), &route, millis(750), OBJECTIVE));
}

#[test]
fn a_caller_whose_objective_has_not_passed_is_not_put_back() {
    let mut waited = ReturningCallers::default();
    let route: Arc<str> = "draft".into();
    assert!(!waited.is_returning(millis(0), &route, millis(500), millis(400)));
    assert!(!waited.is_returning(millis(1), &route, millis(200), millis(400)));
}
