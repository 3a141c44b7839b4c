//! Tests which failed runs are retried and when.

use std::time::Duration;

use verbenaslip_policy::retry::{Backlog, Decision, Denial, FailureKind, RetryBudgets, RetryQuery};
use verbenaslip_policy::zone_loss::ZoneLosses;

use crate::common::{key, ms, rng};

mod common;

fn query() -> RetryQuery {
    RetryQuery {
        key: key("a", "class"),
        upstream: "e0".into(),
        idempotent: true,
        failure: FailureKind::Error,
        runs: 1,
        retry_percent: 10,
        zone_loss: None,
    }
}

#[test]
fn work_that_may_have_run_is_not_retried() {
    // Guards against executing a request twice that is not idempotent, for example filing two
    // claims for a charterer. This happens when a retry ignores what it repeats. Here the upstream
    // is lost after the request was sent.
    struct Case {
        name: &'static str,
        idempotent: bool,
        failure: FailureKind,
        zone_loss: bool,
        retried: bool,
    }
    let case = |name, idempotent, failure, zone_loss, retried| Case {
        name,
        idempotent,
        failure,
        zone_loss,
        retried,
    };
    let cases = [
        case("idempotent and lost", true, FailureKind::Lost, false, true),
        case("idempotent and faulty", true, FailureKind::Error, false, true),
        case("not reached", false, FailureKind::Unreachable, false, true),
        case("refused by the upstream", false, FailureKind::Refused, false, true),
        case("lost", false, FailureKind::Lost, false, false),
        case("faulty", false, FailureKind::Error, false, false),
        case("lost in a wave", false, FailureKind::Lost, true, false),
    ];
    for case in cases {
        let zone_loss = case.zone_loss.then_some(Backlog { slot_seconds: 1.0, slots: 4 });
        let query =
            RetryQuery { idempotent: case.idempotent, failure: case.failure, zone_loss, ..query() };
        let decision = RetryBudgets::default().decide(ms(0), &query, &mut rng(1));
        let retried = matches!(decision, Decision::RetryAfter(_));
        assert_eq!(retried, case.retried, "{}: {decision:?}", case.name);
        if !case.retried {
            assert_eq!(decision, Decision::Denied(Denial::MayHaveRun), "{}", case.name);
        }
    }
}

#[test]
fn retries_stay_within_their_share_of_successes() {
    // Guards against doubling the load on upstreams that fail under load, because retries are not
    // counted. Here every run fails for a minute after a thousand successes.
    let (mut retries, mut rng) = (RetryBudgets::default(), rng(1));
    for _ in 0..1_000 {
        retries.record_success(ms(0), &key("a", "class"), &"e0".into(), 10);
    }
    let mut granted = 0;
    for second in 0..60 {
        for run in 0..100 {
            let now = ms(second * 1_000 + run * 10);
            granted += u32::from(matches!(
                retries.decide(now, &query(), &mut rng),
                Decision::RetryAfter(_)
            ));
        }
    }
    // At most 20 retries are accumulated, and one more is earned every 10 s.
    assert!((20..=27).contains(&granted), "{granted} of 6,000 retries granted");
}

#[test]
fn an_idle_team_may_retry_once() {
    let (mut retries, mut rng) = (RetryBudgets::default(), rng(1));
    assert!(matches!(retries.decide(ms(0), &query(), &mut rng), Decision::RetryAfter(_)));
    assert_eq!(retries.decide(ms(10), &query(), &mut rng), Decision::Denied(Denial::Team));
    let later = Duration::from_secs(1_000);
    assert!(matches!(retries.decide(later, &query(), &mut rng), Decision::RetryAfter(_)));
    assert_eq!(retries.decide(later, &query(), &mut rng), Decision::Denied(Denial::Team));
}

#[test]
fn one_failing_upstream_does_not_use_up_all_budgets() {
    let (mut retries, mut rng) = (RetryBudgets::default(), rng(1));
    let mut granted = 0;
    for team in 0..50 {
        let query = RetryQuery { key: key(&format!("t{team}"), "class"), ..query() };
        granted +=
            u32::from(matches!(retries.decide(ms(0), &query, &mut rng), Decision::RetryAfter(_)));
    }
    assert_eq!(granted, 1, "the upstream's own budget limits the retries");
}

#[test]
fn the_backoff_doubles_with_jitter() {
    let mut rng = rng(1);
    for runs in 1..12 {
        let max_delay = ms(50 << (runs - 1)).min(ms(10_000));
        let delays: Vec<Duration> = (0..20)
            .map(|_| {
                match RetryBudgets::default().decide(
                    ms(0),
                    &RetryQuery { runs, ..query() },
                    &mut rng,
                ) {
                    Decision::RetryAfter(delay) => delay,
                    Decision::Denied(denial) => panic!("{denial:?}"),
                }
            })
            .collect();
        assert!(
            delays.iter().all(|d| *d >= max_delay / 2 && *d <= max_delay),
            "{runs}: {delays:?}"
        );
        assert!(delays.iter().any(|delay| *delay != delays[0]), "all delays are equal");
    }
}

#[test]
fn moved_work_is_spread_by_the_remaining_slots() {
    // Guards against work of a reclaimed zone that arrives at the other zones at once and delays
    // all requests there. This happens with immediate retries. Here a hundred runs of 4 s each are
    // lost, and 80 slots are left.
    let mut rng = rng(1);
    let zone_loss = Some(Backlog { slot_seconds: 400.0, slots: 80 });
    let mut early = 0;
    for _ in 0..100 {
        match RetryBudgets::default().decide(ms(0), &RetryQuery { zone_loss, ..query() }, &mut rng)
        {
            Decision::RetryAfter(delay) => early += u32::from(delay < ms(500)),
            Decision::Denied(denial) => panic!("{denial:?}"),
        }
    }
    assert!(early <= 25, "{early} of 100 retries start in the first half second");
}

#[test]
fn a_zone_loss_is_distinguished_from_single_losses() {
    struct Case {
        name: &'static str,
        losses: &'static [(u64, &'static str)],
        zone_size: usize,
        zone_loss: bool,
    }
    let cases = [
        Case { name: "one of four", losses: &[(0, "a")], zone_size: 4, zone_loss: false },
        Case {
            name: "one reported twice",
            losses: &[(0, "a"), (1, "a")],
            zone_size: 4,
            zone_loss: false,
        },
        Case {
            name: "two of four at once",
            losses: &[(0, "a"), (1, "b")],
            zone_size: 4,
            zone_loss: true,
        },
        Case {
            name: "two of forty",
            losses: &[(0, "a"), (1, "b")],
            zone_size: 40,
            zone_loss: false,
        },
        Case {
            name: "two far apart",
            losses: &[(0, "a"), (11_000, "b")],
            zone_size: 4,
            zone_loss: false,
        },
    ];
    for case in cases {
        let mut zone_loss = ZoneLosses::default();
        let mut now = ms(0);
        for (at, upstream) in case.losses {
            now = ms(*at);
            zone_loss.record_loss(now, &"z0".into(), &(*upstream).into(), case.zone_size);
        }
        assert_eq!(zone_loss.is_active(now, &"z0".into()), case.zone_loss, "{}", case.name);
        assert!(!zone_loss.is_active(now, &"z1".into()), "{}", case.name);
        assert!(!zone_loss.any_active(now + ms(11_000)), "{}: the zone loss ends", case.name);
    }
}
