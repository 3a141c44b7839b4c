//! Placement of prompts by the figures of the fleet: homes, speeds, full and slow upstreams.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{new_placement, query, run};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_fleet::View;
use verbenaslip_fleet::measurement::{Figure, RunKey};
use verbenaslip_relay::dialect::PromptPart;
use verbenaslip_relay::policy::pace::Pace;
use verbenaslip_relay::policy::placement::{Choice, Decision, Ending, Placement, Query, Sharing};

const SHARING: Sharing = Sharing { min_slots: SLOTS, min_entries: 16 };
/// Slots of the upstreams of `common`.
const SLOTS: u32 = 16;
const UPSTREAMS: u16 = 60;
const PREFIXES: u64 = 2_000;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the relative speed of an upstream: a third each is slow, usual and fast.
fn speed(number: u16) -> f64 {
    [0.6, 1.0, 1.6][usize::from(number % 3)]
}

/// Returns a view of upstreams with these figures.
fn view(count: u16, mut figure_of: impl FnMut(u16) -> Option<Figure>) -> View {
    let with_key = |number| Some((RunKey::of(&run(number, 0)), figure_of(number)?));
    let figures = Arc::new((1..=count).filter_map(with_key).collect());
    let upstreams = common::view((1..=count).map(|number| run(number, 0)));
    View { figures, entry_count: SHARING.min_entries, ..upstreams }
}

fn figure(relative_speed: f64) -> Figure {
    Figure {
        stream_rate: Some(relative_speed * 50.0),
        wait_ms: 20.0,
        pending_tokens: 0,
        active: 0,
        events_per_s: 5.0,
        failure_rate: 0.0,
        measured_at: ms(0),
    }
}

fn view_of(mut speed_of: impl FnMut(u16) -> f64) -> View {
    view(UPSTREAMS, |number| Some(figure(speed_of(number))))
}

fn entry(sharing: Sharing, view: &View) -> Placement {
    let mut entry = new_placement(view).with_sharing(sharing);
    entry.update(view);
    entry
}

fn prompt(parts: &[PromptPart]) -> Query<'_> {
    let prompt_tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
    Query { parts, prompt_tokens, objective: ms(1_000), ..query(true) }
}

fn place(entry: &mut Placement, now: Duration, query: &Query<'_>) -> Choice {
    let Decision::Send(choice) = entry.choose(now, query) else { panic!("refused") };
    choice
}

/// Returns the homes of a set of prefixes, which are so long that nothing outweighs them.
fn homes(view: &View, set: u64) -> Vec<u16> {
    let mut entry = entry(SHARING, view);
    let home = |id| {
        let parts = [(id, 20_000), (1 << 40, 9)].map(|(id, tokens)| PromptPart { id, tokens });
        let choice = place(&mut entry, ms(0), &prompt(&parts));
        assert!(choice.figures.as_ref().is_some_and(|it| it.is_home), "{choice:?}");
        entry.record_end(ms(0), &choice, Ending::Abandoned, None);
        choice.address.port()
    };
    (set * PREFIXES..(set + 1) * PREFIXES).map(home).collect()
}

fn share(homes: &[u16], belongs: impl Fn(u16) -> bool) -> f64 {
    homes.iter().filter(|home| belongs(**home)).count() as f64 / homes.len() as f64
}

/// Returns the decisions of an entry about 600 requests within 9 s.
fn decisions(mut entry: Placement) -> Vec<String> {
    let mut rng = Pcg64::seed_from_u64(3);
    let mut pending: Vec<(Duration, Choice)> = Vec::new();
    let decide = |step: u64| {
        let now = ms(6_000 + step * 15);
        for (_, choice) in pending.extract_if(.., |(at, _)| *at <= now) {
            entry.record_first_event(now, &choice, ms(150));
            let ending = if rng.random_bool(0.3) { Ending::Failed } else { Ending::Complete };
            entry.record_end(now, &choice, ending, Some(ms(400)));
        }
        let parts = [(rng.random_range(0..40), 6_300), (1_000 + step, 2_890)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let (latency, penalty) = (ms(rng.random_range(100..900)), ms(rng.random_range(0..100)));
        let decision = entry.choose(now, &Query { objective: ms(400), ..prompt(&parts) });
        if let Decision::Send(choice) = &decision {
            entry.penalize(now, choice, penalty);
            pending.push((now + latency, choice.clone()));
        }
        format!("{decision:?}")
    };
    (0..600).map(decide).collect()
}

#[test]
fn decisions_do_not_change_where_figures_are_not_used() {
    // Guards against other decisions without sharing, or at an entry that the fleet does not reach.
    let with_figures = |count, measured_at| {
        let figure = |number| Figure { active: SLOTS, measured_at, ..figure(speed(number)) };
        view(6, |number| (number <= count).then(|| figure(number)))
    };
    let (none, fresh) = (with_figures(0, ms(0)), with_figures(6, ms(15_000)));
    let plain = decisions(new_placement(&none));
    assert!(plain.iter().any(|it| it.contains("Refuse")), "some requests are refused");
    let few_entries = Sharing { min_entries: SHARING.min_entries + 1, ..SHARING };
    let few_slots = Sharing { min_slots: SLOTS + 1, ..SHARING };
    let entries = [
        ("sharing is off", new_placement(&fresh)),
        ("too few entries", entry(few_entries, &fresh)),
        ("too few slots", entry(few_slots, &fresh)),
        ("no figures", entry(SHARING, &none)),
        ("figures older than 4 s", entry(SHARING, &with_figures(6, ms(1_999)))),
        ("few upstreams have figures", entry(SHARING, &with_figures(2, ms(15_000)))),
    ];
    entries.into_iter().for_each(|(case, entry)| assert!(decisions(entry) == plain, "{case}"));
    assert!(decisions(entry(SHARING, &fresh)) != plain, "fresh figures are used");
}

#[test]
fn slow_upstreams_do_not_get_as_many_homes_as_fast_ones() {
    // Guards against callers that wait at the slow third of the upstreams, and against entries that
    // choose different homes. A share of 2,000 prefixes may differ by four standard deviations
    // (0.045 at one half), and one of 20,000 by 0.015.
    let view = view_of(speed);
    let sets: Vec<Vec<u16>> = (0..10).map(|set| homes(&view, set)).collect();
    for class in 0..3 {
        let expected = speed(class) / 3.2;
        let deviation = (expected * (1.0 - expected) / PREFIXES as f64).sqrt();
        let excess = |set: &Vec<u16>| share(set, |number| number % 3 == class) - expected;
        let excesses: Vec<f64> = sets.iter().map(excess).collect();
        assert!(excesses.iter().all(|it| it.abs() < 4.0 * deviation), "{class}: {excesses:?}");
        assert!(excess(&sets.concat()).abs() < 0.015, "{class}: {excesses:?}");
    }
    assert!(homes(&view, 0) == sets[0], "another entry chooses other homes");
}

#[test]
fn a_fluctuating_rate_moves_no_home() {
    // Guards against prefixes that are read again with every change of a measured rate.
    let steady = homes(&view_of(speed), 0);
    let mut rng = Pcg64::seed_from_u64(7);
    for _ in 0..10 {
        let view = view_of(|number| speed(number) * rng.random_range(0.85..=1.15));
        assert!(homes(&view, 0) == steady, "{:?}", view.figures);
    }
}

#[test]
fn a_new_class_of_one_upstream_moves_only_its_own_share() {
    // Guards against new homes of all prefixes. The sum of all speeds is 64; chance may double it.
    let before = homes(&view_of(speed), 0);
    for (changed, new_speed) in [(4, 1.6), (4, 0.6), (3, 1.6), (5, 0.6)] {
        let view = view_of(|number| if number == changed { new_speed } else { speed(number) });
        let pairs = before.iter().copied().zip(homes(&view, 0));
        let moved: Vec<_> = pairs.filter(|(before, after)| before != after).collect();
        let limit = (new_speed - speed(changed)).abs() / 64.0 * 2.0 * PREFIXES as f64;
        assert!(!moved.is_empty() && (moved.len() as f64) < limit, "{changed}: {moved:?}");
        assert!(moved.iter().all(|(before, after)| [*before, *after].contains(&changed)));
    }
}

#[test]
fn an_upstream_that_was_always_busy_keeps_homes() {
    // Guards against an upstream that was busy when first measured and gets no chance to show more.
    let homes_at = |speed| homes(&view_of(|number| if number <= 6 { speed } else { 1.0 }), 0);
    let share_at = |speed| share(&homes_at(speed), |number| number <= 6);
    let (busy, usual) = ([0.2, 0.05].map(share_at), share_at(1.0));
    assert!(busy.iter().all(|it| (usual / 5.0..usual).contains(it)), "{busy:?} of {usual}");
}

#[test]
fn long_prompts_prefer_fast_upstreams_without_meeting_there() {
    // Guards against ignored speeds, and against entries that all use the fastest third.
    let mut entry = entry(SHARING, &view_of(speed));
    let parts = (0..60).map(|id| [PromptPart { id, tokens: 9_000 }]);
    let chosen = parts.map(|parts| place(&mut entry, ms(0), &prompt(&parts)));
    let classes: Vec<u16> = chosen.map(|choice| choice.address.port() % 3).collect();
    assert!(classes[..20].iter().all(|class| *class == 2), "{classes:?}");
    assert!(classes[20..].iter().filter(|class| **class != 2).count() >= 20, "{classes:?}");
}

#[test]
fn a_penalized_upstream_gets_nothing_while_others_can_take_it() {
    // Guards against requests that follow one that has left a slow upstream there, for its cache or
    // since the others have queues, in which they would still be on time.
    let parts = |own| [(1, 6_300), (own, 2_890)].map(|(id, tokens)| PromptPart { id, tokens });
    let (first, long) = (parts(2), [PromptPart { id: 9, tokens: 50_000 }]);
    let query = Query { objective: ms(1_500), ..prompt(&first) };
    for queued in [false, true] {
        let mut entry = entry(SHARING, &view(3, |_| Some(figure(1.0))));
        let slow = place(&mut entry, ms(0), &query);
        entry.penalize(ms(0), &slow, ms(1_000));
        entry.record_end(ms(0), &slow, Ending::Slow, None);
        let others: Vec<_> = (1..=3).map(|it| run(it, 0)).filter(|it| *it != slow.run).collect();
        for other in others.iter().filter(|_| queued) {
            let tried_runs = [slow.run.clone(), other.clone()];
            place(&mut entry, ms(0), &Query { tried_runs: &tried_runs, ..prompt(&long) });
        }
        let next = place(&mut entry, ms(999), &Query { parts: &parts(3), ..query });
        assert_ne!(next.run, slow.run, "{queued}");
        let alone = place(&mut entry, ms(999), &Query { tried_runs: &others, ..query });
        assert_eq!(alone.run, slow.run, "it is used if no other can take the request");
        assert_eq!(place(&mut entry, ms(1_000), &query).run, slow.run);
    }
}

#[test]
fn a_full_upstream_is_passed_over_while_others_have_room() {
    // Guards against refusals by full upstreams, and against a request without one if all are full.
    let parts = [(1, 6_300), (2, 300)].map(|(id, tokens)| PromptPart { id, tokens });
    for room in [1, 2, 3] {
        let active = |number| SLOTS - u32::from(number == room);
        let figure = |number| Figure { active: active(number), ..figure(1.0) };
        let mut entry = entry(SHARING, &view(3, |number| Some(figure(number))));
        assert_eq!(place(&mut entry, ms(0), &prompt(&parts)).address.port(), room);
        let next = place(&mut entry, ms(0), &prompt(&parts));
        assert!(next.figures.is_some(), "an upstream takes it although all are full: {next:?}");
    }
}

#[test]
fn totals_count_each_answer_once_and_leave_nothing_pending() {
    // Guards against answers that count twice, and against prompts that ended before their first
    // event and make an upstream look busy for good.
    let mut entry = entry(SHARING, &view(1, |_| Some(figure(1.0))));
    let mut answers = 0;
    let endings = [Ending::Failed, Ending::Full, Ending::Slow, Ending::Abandoned];
    for (id, ending) in (1..).zip(endings.into_iter().chain([Ending::Complete; 5])) {
        let parts = [PromptPart { id, tokens: 6_300 }];
        let choice = place(&mut entry, ms(0), &prompt(&parts));
        let totals = entry.measurement(&choice).expect("measurements are shared");
        assert_eq!((totals.pending_tokens, totals.active), (6_300, 1));
        let duration = (ending == Ending::Complete).then_some(ms(400));
        if duration.is_some() {
            answers += 1;
            entry.record_first_event(ms(100), &choice, ms(100));
            entry.record_pace(&choice, Pace { events: 10, duration: ms(200) });
        }
        entry.record_end(ms(400), &choice, ending, duration);
        let totals = entry.measurement(&choice).expect("measurements are shared");
        assert_eq!((totals.pending_tokens, totals.active), (0, 0), "{ending:?}");
        let counts = [totals.answers, totals.first_events, totals.stream_events / 10];
        assert_eq!((counts, totals.stream_ms), ([answers; 3], 200 * answers), "{ending:?}");
    }
}
