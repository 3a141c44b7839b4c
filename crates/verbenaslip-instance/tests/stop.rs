//! Tests of the phases of an entry's planned stop.

use std::time::Duration;

use verbenaslip_instance::stop::{Phase, Stop};

const GRACE: Duration = Duration::from_secs(8);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn an_entry_wakes_up_in_time_to_refuse_new_requests() {
    // Guards against an entry that checks the phase of its stop only four times a second. An entry that last checked at
    // 2.79 s would accept a request that arrives on an open connection at 3.0 s, after the load balancer has removed
    // the entry, and a long answer would be aborted at the end of the grace time.
    let stop = Stop::begin(ms(10_000), GRACE);
    assert_eq!(stop.phase(ms(12_799), 3), Phase::Accepting);
    assert_eq!(stop.next_phase_at(ms(12_790)), ms(12_800));
    assert_eq!(stop.phase(ms(12_800), 3), Phase::Draining);
}

#[test]
fn an_entry_ends_when_idle_or_shortly_before_the_grace_time_ends() {
    let stop = Stop::begin(ms(10_000), GRACE);
    assert_eq!(
        stop.phase(ms(12_000), 0),
        Phase::Accepting,
        "the load balancer may still send requests"
    );
    assert_eq!(stop.phase(ms(12_800), 0), Phase::Ended);
    assert_eq!(stop.next_phase_at(ms(12_800)), ms(17_300));
    assert_eq!(stop.phase(ms(17_300), 3), Phase::Ended);
}

#[test]
fn a_short_grace_time_ends_an_entry_sooner() {
    let stop = Stop::begin(ms(10_000), ms(2_000));
    assert_eq!(stop.next_phase_at(ms(10_000)), ms(11_300));
    assert_eq!(stop.phase(ms(11_300), 3), Phase::Ended);
}
