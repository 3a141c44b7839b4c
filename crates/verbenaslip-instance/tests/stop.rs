//! When an entry that stops refuses new requests, and when it ends.

use std::time::Duration;

use verbenaslip_instance::stop::{Phase, Stop};

const GRACE: Duration = Duration::from_secs(8);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn new_requests_are_refused_from_the_moment_that_was_meant() {
    // Symptom: a long answer is cut off at the end of a planned stop's grace time, though its request came after
    // the balancer had taken the entry out. Sequence: the entry is told to stop; 3.0 s later a request comes on
    // a connection that is open, and is taken, since the entry last looked at 2.79 s and looks four times a
    // second. Cause: a moment that is due and that nothing wakes for.
    let stop = Stop::begin(at(10_000), GRACE);
    assert_eq!(stop.phase(at(12_799), 3), Phase::Takes);
    assert_eq!(stop.wake(at(12_790)), at(12_800));
    assert_eq!(stop.phase(at(12_800), 3), Phase::Finishes);
}

#[test]
fn an_entry_ends_when_nothing_is_under_way_or_the_grace_time_is_nearly_over() {
    let stop = Stop::begin(at(10_000), GRACE);
    assert_eq!(stop.phase(at(12_000), 0), Phase::Takes, "the balancer may still send callers");
    assert_eq!(stop.phase(at(12_800), 0), Phase::Over);
    assert_eq!(stop.wake(at(12_800)), at(17_300));
    assert_eq!(stop.phase(at(17_300), 3), Phase::Over);
}

#[test]
fn a_short_grace_time_ends_it_sooner() {
    let stop = Stop::begin(at(10_000), at(2_000));
    assert_eq!(stop.wake(at(10_000)), at(11_300));
    assert_eq!(stop.phase(at(11_300), 3), Phase::Over);
}
