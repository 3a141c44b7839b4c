//! What an entry learns from its own first events.

use std::time::Duration;

use verbenaslip_relay::policy::speed::{Lag, Speed};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn lag_is_learnt_and_fades_within_seconds() {
    // Guards against a lag that never fades: the queues of other entries delay first events and
    // then empty while nothing is sent there, so the entry would refuse requests for good.
    let mut lag = Lag::default();
    for ms in (0..2_000).step_by(100) {
        lag.record_sample(millis(ms), 1_000.0);
    }
    assert!(lag.lag_at(millis(2_000)) > 600.0);
    assert!(lag.lag_at(millis(9_000)) < 40.0);
}

#[test]
fn early_first_events_leave_no_lag() {
    let mut lag = Lag::default();
    lag.record_sample(millis(0), -300.0);
    assert!(lag.lag_at(millis(0)).abs() < f64::EPSILON);
}

#[test]
fn prefill_speed_is_learnt_despite_one_cached_prompt() {
    let mut pace = Speed::default();
    for _ in 0..60 {
        // 3,000 tokens take 30 ms beyond the time that is not prefill.
        pace.record_first_event(
            3_000,
            Duration::from_secs_f64((pace.first_event_ms() + 30.0) / 1_000.0),
        );
    }
    let learnt = pace.prefill_ms(3_000);
    assert!((25.0..36.0).contains(&learnt), "{learnt}");
    pace.record_first_event(3_000, Duration::from_millis(1));
    assert!(pace.prefill_ms(3_000) > learnt * 0.9);
}
