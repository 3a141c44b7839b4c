//! The work that a service is asked for, as it rises and falls.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::load::LoadEstimator;

const TICK: Duration = Duration::from_millis(100);

/// Lets entries ask for a number of engines for a time, in reports of a quarter of a second.
fn ask(loads: &mut LoadEstimator, now: &mut Duration, engines: f64, time: Duration) {
    let service: Arc<str> = "pool".into();
    let until = *now + time;
    let mut tick = 0;
    while *now < until {
        *now += TICK;
        tick += 1;
        if tick % 3 == 0 {
            loads.add(*now, &service, engines * 300.0);
        }
        loads.update(*now);
    }
}

#[test]
fn a_rise_shows_soon_and_a_fall_slowly() {
    let (mut loads, mut now) = (LoadEstimator::default(), Duration::from_secs(1));
    ask(&mut loads, &mut now, 3.0, Duration::from_secs(1));
    assert_eq!(loads.busy_engines(now, "pool"), None, "not watched for long");
    ask(&mut loads, &mut now, 3.0, Duration::from_secs(20));
    let busy = |loads: &LoadEstimator, now| loads.busy_engines(now, "pool").expect("it is known");
    assert!((2.5..3.8).contains(&busy(&loads, now)), "{}", busy(&loads, now));
    ask(&mut loads, &mut now, 6.0, Duration::from_secs(2));
    assert!(busy(&loads, now) > 4.5, "{}", busy(&loads, now));
    ask(&mut loads, &mut now, 6.0, Duration::from_secs(20));
    ask(&mut loads, &mut now, 2.0, Duration::from_secs(2));
    assert!(busy(&loads, now) > 4.5, "{}", busy(&loads, now));
    ask(&mut loads, &mut now, 2.0, Duration::from_secs(20));
    assert!(busy(&loads, now) < 2.8, "{}", busy(&loads, now));
    assert_eq!(loads.busy_engines(now, "desk"), None);
}
