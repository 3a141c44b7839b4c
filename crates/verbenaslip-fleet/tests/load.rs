//! The load estimate of a service as the load rises and falls.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::load::LoadEstimator;

const TICK: Duration = Duration::from_millis(100);

/// Reports work for a number of engines during a time, every 300 ms.
fn report_load(estimator: &mut LoadEstimator, now: &mut Duration, engines: f64, time: Duration) {
    let service: Arc<str> = "pool".into();
    let until = *now + time;
    let mut tick = 0;
    while *now < until {
        *now += TICK;
        tick += 1;
        if tick % 3 == 0 {
            estimator.add(*now, &service, engines * 300.0);
        }
        estimator.update(*now);
    }
}

#[test]
fn the_estimate_rises_fast_and_falls_slowly() {
    let (mut estimator, mut now) = (LoadEstimator::default(), Duration::from_secs(1));
    report_load(&mut estimator, &mut now, 3.0, Duration::from_secs(1));
    assert_eq!(estimator.busy_engines(now, "pool"), None, "not observed for long enough");
    report_load(&mut estimator, &mut now, 3.0, Duration::from_secs(20));
    let busy = |estimator: &LoadEstimator, now| {
        estimator.busy_engines(now, "pool").expect("the load is known")
    };
    assert!((2.5..3.8).contains(&busy(&estimator, now)), "{}", busy(&estimator, now));
    report_load(&mut estimator, &mut now, 6.0, Duration::from_secs(2));
    assert!(busy(&estimator, now) > 4.5, "{}", busy(&estimator, now));
    report_load(&mut estimator, &mut now, 6.0, Duration::from_secs(20));
    report_load(&mut estimator, &mut now, 2.0, Duration::from_secs(2));
    assert!(busy(&estimator, now) > 4.5, "{}", busy(&estimator, now));
    report_load(&mut estimator, &mut now, 2.0, Duration::from_secs(20));
    assert!(busy(&estimator, now) < 2.8, "{}", busy(&estimator, now));
    assert_eq!(estimator.busy_engines(now, "desk"), None);
}
