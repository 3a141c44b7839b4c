//! Who may run again, and when.

use std::time::Duration;

use verbenaslip_policy::retry::{Ask, Decision, Denial, FailureKind, Moved, Retries};
use verbenaslip_policy::wave::Wave;

use crate::common::{key, ms, rng};

mod common;

fn ask() -> Ask {
    Ask {
        key: key("a", "class"),
        upstream: "e0".into(),
        idempotent: true,
        fate: FailureKind::Error,
        runs: 1,
        percent: 10,
        wave: None,
    }
}

#[test]
fn work_that_may_have_run_is_not_run_again() {
    // Symptom: a charterer gets two claims. Sequence: a non-idempotent request's upstream is lost
    // after the request was sent. Cause: a retry that does not ask what it repeats.
    struct Case {
        name: &'static str,
        idempotent: bool,
        fate: FailureKind,
        wave: bool,
        again: bool,
    }
    let case = |name, idempotent, fate, wave, again| Case { name, idempotent, fate, wave, again };
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
        let wave = case.wave.then_some(Moved { work: 1.0, room: 4 });
        let ask = Ask { idempotent: case.idempotent, fate: case.fate, wave, ..ask() };
        let verdict = Retries::default().ask(ms(0), &ask, &mut rng(1));
        let again = matches!(verdict, Decision::RetryAfter(_));
        assert_eq!(again, case.again, "{}: {verdict:?}", case.name);
        if !case.again {
            assert_eq!(verdict, Decision::Denied(Denial::MayHaveRun), "{}", case.name);
        }
    }
}

#[test]
fn retries_stay_within_their_part_of_the_successes() {
    // Symptom: upstreams that fail under load get twice the load. Sequence: every run fails for a
    // minute after a thousand successes. Cause: retries that are not counted.
    let (mut retries, mut rng) = (Retries::default(), rng(1));
    for _ in 0..1_000 {
        retries.succeeded(ms(0), &key("a", "class"), &"e0".into(), 10);
    }
    let mut granted = 0;
    for second in 0..60 {
        for run in 0..100 {
            let now = ms(second * 1_000 + run * 10);
            granted +=
                u32::from(matches!(retries.ask(now, &ask(), &mut rng), Decision::RetryAfter(_)));
        }
    }
    // At most 20 are saved up, and one comes in 10 s.
    assert!((20..=27).contains(&granted), "{granted} of 6,000");
}

#[test]
fn a_quiet_team_may_retry_once() {
    let (mut retries, mut rng) = (Retries::default(), rng(1));
    assert!(matches!(retries.ask(ms(0), &ask(), &mut rng), Decision::RetryAfter(_)));
    assert_eq!(retries.ask(ms(10), &ask(), &mut rng), Decision::Denied(Denial::Team));
    let later = Duration::from_secs(1_000);
    assert!(matches!(retries.ask(later, &ask(), &mut rng), Decision::RetryAfter(_)));
    assert_eq!(retries.ask(later, &ask(), &mut rng), Decision::Denied(Denial::Team));
}

#[test]
fn one_failing_upstream_does_not_get_all_budgets() {
    let (mut retries, mut rng) = (Retries::default(), rng(1));
    let mut granted = 0;
    for team in 0..50 {
        let ask = Ask { key: key(&format!("t{team}"), "class"), ..ask() };
        granted += u32::from(matches!(retries.ask(ms(0), &ask, &mut rng), Decision::RetryAfter(_)));
    }
    assert_eq!(granted, 1, "the upstream's own budget bounds them");
}

#[test]
fn the_backoff_doubles_and_is_spread() {
    let mut rng = rng(1);
    for runs in 1..12 {
        let longest = ms(50 << (runs - 1)).min(ms(10_000));
        let delays: Vec<Duration> = (0..20)
            .map(|_| match Retries::default().ask(ms(0), &Ask { runs, ..ask() }, &mut rng) {
                Decision::RetryAfter(delay) => delay,
                Decision::Denied(why) => panic!("{why:?}"),
            })
            .collect();
        assert!(delays.iter().all(|d| *d >= longest / 2 && *d <= longest), "{runs}: {delays:?}");
        assert!(delays.iter().any(|delay| *delay != delays[0]), "all alike");
    }
}

#[test]
fn moved_work_is_spread_by_the_room_that_is_left() {
    // Symptom: a reclaimed zone's work arrives at the other zones at once and makes all late.
    // Sequence: a hundred runs of 4 s each are lost, 40 slots are left. Cause: an immediate retry.
    let mut rng = rng(1);
    let wave = Some(Moved { work: 400.0, room: 80 });
    let mut early = 0;
    for _ in 0..100 {
        match Retries::default().ask(ms(0), &Ask { wave, ..ask() }, &mut rng) {
            Decision::RetryAfter(delay) => early += u32::from(delay < ms(500)),
            Decision::Denied(why) => panic!("{why:?}"),
        }
    }
    assert!(early <= 25, "{early} of 100 come back in the first half second");
}

#[test]
fn a_wave_is_told_from_single_losses() {
    struct Case {
        name: &'static str,
        losses: &'static [(u64, &'static str)],
        of: usize,
        wave: bool,
    }
    let cases = [
        Case { name: "one of four", losses: &[(0, "a")], of: 4, wave: false },
        Case { name: "one told twice", losses: &[(0, "a"), (1, "a")], of: 4, wave: false },
        Case { name: "two of four at once", losses: &[(0, "a"), (1, "b")], of: 4, wave: true },
        Case { name: "two of forty", losses: &[(0, "a"), (1, "b")], of: 40, wave: false },
        Case { name: "two far apart", losses: &[(0, "a"), (11_000, "b")], of: 4, wave: false },
    ];
    for case in cases {
        let mut wave = Wave::default();
        let mut now = ms(0);
        for (at, upstream) in case.losses {
            now = ms(*at);
            wave.lost(now, &"z0".into(), &(*upstream).into(), case.of);
        }
        assert_eq!(wave.on(now, &"z0".into()), case.wave, "{}", case.name);
        assert!(!wave.on(now, &"z1".into()), "{}", case.name);
        assert!(!wave.any(now + ms(11_000)), "{}: it ends", case.name);
    }
}
