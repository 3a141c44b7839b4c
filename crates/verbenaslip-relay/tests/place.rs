//! Where requests go under simulated load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::View;
use verbenaslip_fleet::registry::{Announcement, Record, Run, Status};
use verbenaslip_fleet::rollout::{Plan, State};
use verbenaslip_relay::dialect::PromptPart;
use verbenaslip_relay::policy::placement::{Choice, Decision, Ending, Placement, Query};
use verbenaslip_relay::policy::versions::{Track, Tracks};

fn run(number: u32, incarnation: u64) -> Run {
    Run { upstream: Upstream::new(format!("u{number}")), incarnation }
}

fn record(number: u32, zone: &str, standing: Status) -> Record {
    let announcement = Announcement {
        run: run(number, 0),
        service: "pool".into(),
        address: ([10, 0, 0, 1], u16::try_from(number).expect("small")).into(),
        zone: AvailabilityZone::from(zone),
        version: "v1".into(),
        slots: 16,
        draining: false,
        warmup_left: Duration::ZERO,
        reclaimable: false,
        leaves_in: None,
        sequence: 1,
    };
    Record { announcement, status: standing }
}

fn view(records: impl IntoIterator<Item = Record>) -> View {
    let records = records.into_iter().map(|it| (it.announcement.run.upstream.clone(), it));
    View { upstreams: Arc::new(records.collect::<BTreeMap<_, _>>()), ..View::default() }
}

fn many(count: u32) -> View {
    view((1..=count).map(|number| record(number, "north", Status::Ready)))
}

fn open(view: &View) -> Placement {
    let mut placement = Placement::new(AvailabilityZone::from("north"));
    placement.update(view);
    placement
}

fn ask<'a>(parts: &'a [PromptPart], tried: &'a [Run]) -> Query<'a> {
    Query {
        service: "pool",
        rank: 0,
        parts,
        prompt_tokens: parts.iter().map(|part| u64::from(part.tokens)).sum(),
        tried_runs: tried,
        objective: Duration::from_millis(600),
        remaining: Duration::from_secs(5),
        has_spare_attempt: true,
        returning: false,
        may_have_run: false,
        tracks: Tracks::default(),
    }
}

fn prompt(shared: u64, own: u64) -> [PromptPart; 2] {
    [PromptPart { id: shared, tokens: 6_300 }, PromptPart { id: own, tokens: 2_900 }]
}

fn go(placement: &mut Placement, now: Duration, ask: &Query<'_>) -> Choice {
    match placement.choose(now, ask) {
        Decision::Send(choice) => choice,
        other => panic!("{other:?}"),
    }
}

#[test]
fn requests_that_share_a_prefix_meet_at_one_upstream_whichever_entry_they_reach() {
    let view = many(12);
    let mut entries: Vec<Placement> = (0..9).map(|_| open(&view)).collect();
    for shared in 0..40 {
        let mut chosen = Vec::new();
        for (index, entry) in entries.iter_mut().enumerate() {
            let parts = prompt(1_000 + shared, 10_000 + shared * 100 + index as u64);
            let choice = go(entry, Duration::ZERO, &ask(&parts, &[]));
            entry.record_first_event(Duration::ZERO, &choice, Duration::from_millis(120));
            entry.record_end(
                Duration::ZERO,
                &choice,
                Ending::Complete,
                Some(Duration::from_millis(400)),
            );
            chosen.push(choice.run.upstream);
        }
        chosen.dedup();
        assert_eq!(chosen.len(), 1, "prefix {shared}");
    }
}

#[test]
fn a_prefix_that_is_asked_for_too_often_spreads() {
    let mut placement = open(&many(12));
    let mut chosen = BTreeMap::<Upstream, u32>::new();
    for own in 0..24 {
        let parts = prompt(1, 100 + own);
        let choice = go(&mut placement, Duration::ZERO, &ask(&parts, &[]));
        *chosen.entry(choice.run.upstream).or_default() += 1;
    }
    assert!(chosen.len() >= 6, "{chosen:?}");
    assert!(chosen.values().all(|count| *count <= 6), "{chosen:?}");
}

/// Holds when a first event arrives, at which entry, its choice of upstream, and when its request
/// was sent.
type Due = (f64, usize, Choice, f64);

/// Simulates entries that know nothing of each other and engines that read one prompt after
/// another; returns the fraction of first events within 600 ms.
fn play(entries: u32, engines: u32, per_second: f64) -> f64 {
    /// Tokens that an engine reads in a millisecond.
    const SPEED: f64 = 60.0;
    /// Milliseconds to a first event beyond prefill.
    const FIRST: f64 = 70.0;
    /// Milliseconds after which the prefixes have been read once.
    const WARM: f64 = 8_000.0;
    let view = many(engines);
    let mut placements: Vec<Placement> = (0..entries).map(|_| open(&view)).collect();
    let mut free = BTreeMap::<Upstream, f64>::new();
    let mut cached = std::collections::BTreeSet::<(Upstream, u64)>::new();
    let mut due: Vec<Due> = Vec::new();
    let mut rng = Pcg64::seed_from_u64(11);
    let (mut now, mut asked, mut counted, mut on_time) = (0.0, 0, 0, 0);
    while now < 30_000.0 {
        now += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / per_second;
        let time = |millis: f64| Duration::from_secs_f64(millis / 1_000.0);
        due.sort_by(|one, other| one.0.total_cmp(&other.0));
        while due.first().is_some_and(|(at, ..)| *at <= now) {
            let (at, entry, choice, sent) = due.remove(0);
            placements[entry].record_first_event(time(at), &choice, time(at - sent));
            placements[entry].record_end(
                time(at),
                &choice,
                Ending::Complete,
                Some(time(at - sent + 300.0)),
            );
        }
        let shared = rng.random_range(0..300);
        let parts = prompt(shared, 1_000_000 + asked);
        let entry = rng.random_range(0..entries) as usize;
        asked += 1;
        counted += u64::from(now > WARM);
        let Decision::Send(choice) = placements[entry].choose(time(now), &ask(&parts, &[])) else {
            continue;
        };
        let again = cached.insert((choice.run.upstream.clone(), shared));
        let tokens = 2_900.0 + if again { 6_300.0 } else { 0.0 };
        let start = free.get(&choice.run.upstream).copied().unwrap_or(0.0).max(now);
        free.insert(choice.run.upstream.clone(), start + tokens / SPEED);
        let first = start + tokens / SPEED + FIRST;
        on_time += u64::from(now > WARM && first - now <= 600.0);
        due.push((first, entry, choice, now));
    }
    on_time as f64 / counted as f64
}

#[test]
fn entries_that_know_nothing_of_each_other_make_no_herd() {
    // Guards against herding. If entries sent requests to the upstream that was least loaded in
    // reports from half a second ago, all would meet there, and first events would take more than
    // a second while most upstreams are idle. At half of the engines' capacity hardly any request
    // may be late, for any number of entries.
    for entries in [1, 9, 63] {
        let share = play(entries, 12, 120.0);
        assert!(share > 0.97, "{entries} entries: {share} on time");
    }
}

#[test]
fn leaving_upstreams_get_nothing_and_silent_ones_only_for_want_of_others() {
    let standings = [(1, Status::Leaving), (2, Status::Silent), (3, Status::Ready)];
    let records = standings.map(|(number, standing)| record(number, "north", standing));
    let mut placement = open(&view(records.clone()));
    for _ in 0..20 {
        assert_eq!(go(&mut placement, Duration::ZERO, &ask(&[], &[])).run.upstream.as_str(), "u3");
    }
    let mut placement = open(&view(records[..2].to_vec()));
    assert_eq!(go(&mut placement, Duration::ZERO, &ask(&[], &[])).run.upstream.as_str(), "u2");
    let mut placement = open(&view(records[..1].to_vec()));
    assert!(matches!(placement.choose(Duration::ZERO, &ask(&[], &[])), Decision::NoUpstream));
}

#[test]
fn an_upstream_that_can_not_be_reached_rests_and_comes_back() {
    let mut placement = open(&many(2));
    let tried = [run(2, 0)];
    let choice = go(&mut placement, Duration::ZERO, &ask(&[], &tried));
    placement.record_end(Duration::ZERO, &choice, Ending::Unreachable, None);
    for _ in 0..10 {
        let choice = go(&mut placement, Duration::from_millis(100), &ask(&[], &[]));
        assert_eq!(choice.run.upstream.as_str(), "u2");
        placement.record_end(Duration::from_millis(100), &choice, Ending::Complete, None);
    }
    let later = Duration::from_secs(40);
    let chosen: Vec<String> = (0..4)
        .map(|_| go(&mut placement, later, &ask(&[], &[])).run.upstream.to_string())
        .collect();
    assert!(chosen.contains(&"u1".to_owned()), "{chosen:?}");
}

#[test]
fn equals_are_taken_in_turn_and_the_own_zone_first() {
    let records =
        (1..=6).map(|it| record(it, if it <= 3 { "north" } else { "south" }, Status::Ready));
    let mut placement = open(&view(records));
    let mut counts = BTreeMap::<String, u32>::new();
    for _ in 0..30 {
        let choice = go(&mut placement, Duration::ZERO, &ask(&[], &[]));
        placement.record_end(
            Duration::ZERO,
            &choice,
            Ending::Complete,
            Some(Duration::from_millis(30)),
        );
        *counts.entry(choice.run.upstream.to_string()).or_default() += 1;
    }
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 8), "{counts:?}");
}

#[test]
fn a_request_that_would_be_far_too_late_everywhere_is_refused_at_once() {
    let mut placement = open(&many(1));
    let mut verdicts = Vec::new();
    for own in 0..40 {
        let parts = prompt(own, 1_000 + own);
        verdicts.push(placement.choose(Duration::ZERO, &ask(&parts, &[])));
    }
    let refused = verdicts.iter().filter(|verdict| matches!(verdict, Decision::Refuse(_))).count();
    assert!(refused > 20, "{refused}");
    let backs = verdicts.iter().filter_map(|verdict| match verdict {
        Decision::Refuse(busy) => Some(busy.retry_after),
        _ => None,
    });
    assert!(backs.into_iter().all(|back| back >= Duration::from_millis(100)));
}

#[test]
fn a_request_that_was_begun_goes_on_however_late_it_is() {
    // Guards against a stream that ends in the middle: its engine breaks off while all others are
    // busy, and the rest of the stream is refused like a new request that would be late.
    let mut placement = open(&many(1));
    let parts = prompt(1, 2);
    while matches!(placement.choose(Duration::ZERO, &ask(&parts, &[])), Decision::Send(_)) {}
    let begun = Query { may_have_run: true, ..ask(&parts, &[]) };
    assert!(matches!(placement.choose(Duration::ZERO, &begun), Decision::Send(_)));
}

#[test]
fn who_has_come_back_gets_what_others_leave_over() {
    // Guards against late answers for new callers when engines are missing. Callers that were
    // refused retry after their objective has passed, and their answers, which are late in any
    // case, would take places in the same queue.
    let mut placement = open(&many(1));
    let mut fresh = 0;
    for own in 0..40 {
        let parts = prompt(1, 1_000 + own);
        let back = Query { returning: true, ..ask(&parts, &[]) };
        if let Decision::Refuse(_) = placement.choose(Duration::ZERO, &back) {
            let verdict = placement.choose(Duration::ZERO, &ask(&parts, &[]));
            fresh += u32::from(matches!(verdict, Decision::Send(_)));
        }
    }
    assert!(fresh >= 3, "{fresh} new callers were admitted after a returning one was refused");
}

/// Counts the outcomes of requests to a plain service.
#[derive(Debug, Default)]
struct Plain {
    asked: f64,
    refused: f64,
    on_time: f64,
}

/// Simulates entries that know nothing of each other and a plain service of one upstream that
/// handles 200 requests a second: six at once, 30 ms each on average, and 24 more wait. Callers of
/// four priorities retry once, after the time that they are told.
fn play_plain(entries: usize, per_second: f64) -> Plain {
    const SLOTS: usize = 6;
    const QUEUE: usize = 24;
    const OBJECTIVE: f64 = 150.0;
    /// Milliseconds of the round trip from caller to upstream.
    const PATH: f64 = 9.0;
    /// Milliseconds after which requests are counted.
    const WARM: f64 = 8_000.0;
    let view = many(1);
    let mut placements: Vec<Placement> = (0..entries).map(|_| open(&view)).collect();
    let mut free = [0.0_f64; SLOTS];
    let mut due: Vec<Due> = Vec::new();
    let mut back: Vec<f64> = Vec::new();
    let mut rng = Pcg64::seed_from_u64(5);
    let mut counts = Plain::default();
    let (mut now, mut next) = (0.0, 0.0);
    while now < 40_000.0 {
        back.sort_by(|one, other| other.total_cmp(one));
        let again = back.last().is_some_and(|at| *at < next);
        now = if again { back.pop().expect("there") } else { next };
        if !again {
            next += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / per_second;
        }
        let time = |millis: f64| Duration::from_secs_f64(millis / 1_000.0);
        due.sort_by(|one, other| one.0.total_cmp(&other.0));
        while due.first().is_some_and(|(at, ..)| *at <= now) {
            let (at, entry, choice, sent) = due.remove(0);
            placements[entry].record_first_event(time(at), &choice, time(at - sent));
            placements[entry].record_end(
                time(at),
                &choice,
                Ending::Complete,
                Some(time(at - sent)),
            );
        }
        // Entries get uneven shares of the load: the last ones a small fraction of the first
        // ones'.
        let draw = rng.random::<f64>() * rng.random::<f64>();
        let entry = (draw * entries as f64) as usize;
        let ask = Query {
            objective: time(OBJECTIVE),
            rank: rng.random_range(0..4),
            returning: again,
            ..ask(&[], &[])
        };
        let counted = now > WARM;
        counts.asked += f64::from(u8::from(counted && !again));
        let wait = match placements[entry].choose(time(now), &ask) {
            Decision::Send(choice) if due.len() >= SLOTS + QUEUE => {
                placements[entry].record_end(time(now), &choice, Ending::Full, None);
                Some(300.0)
            }
            Decision::Send(choice) => {
                free.sort_by(f64::total_cmp);
                let work = 30.0 * (0.4 + 1.2 * rng.random::<f64>());
                free[0] = free[0].max(now) + work;
                let done = free[0] + PATH;
                let on_time = !again && done - now <= OBJECTIVE;
                counts.on_time += f64::from(u8::from(counted && on_time));
                due.push((done, entry, choice, now));
                None
            }
            Decision::Refuse(busy) => Some(busy.retry_after.as_secs_f64() * 1_000.0),
            Decision::NoUpstream => panic!("no upstream is available"),
        };
        match wait {
            Some(wait) if !again => back.push(now + wait),
            Some(_) => counts.refused += f64::from(u8::from(counted)),
            None => {}
        }
    }
    counts
}

#[test]
fn a_plain_service_with_more_load_than_it_can_do_is_of_use_to_those_it_can_serve() {
    // Guards against a queue that is always full. Two of a service's three upstreams go, and the
    // load fills the queue of the third, which then takes longer than the objective. If entries
    // that see a few answers a second followed the latest latency up and down, two thirds of the
    // answers would be some milliseconds late and the others refused.
    for entries in [6, 63] {
        for per_second in [260.0, 400.0] {
            let Plain { asked, on_time, .. } = play_plain(entries, per_second);
            let possible = asked * 200.0 / per_second;
            let share = on_time / possible;
            assert!(share > 0.75, "{entries} entries, {per_second}/s: {share} of the capacity");
        }
    }
}

#[test]
fn a_plain_service_that_can_do_its_load_refuses_next_to_nothing() {
    for entries in [6, 63] {
        let Plain { asked, refused, on_time } = play_plain(entries, 140.0);
        assert!(on_time > asked * 0.98, "{entries} entries: {on_time} of {asked} on time");
        assert!(refused < asked * 0.01, "{entries} entries: {refused} of {asked} refused");
    }
}

#[test]
fn a_run_that_starts_again_under_its_name_begins_without_what_was_known_of_the_one_before() {
    // Guards against keeping failures, cached parts and requests in progress by name. An upstream
    // fails some requests, crashes with others in progress, and restarts under its name; when the
    // earlier requests end, it would be avoided or counted as busy for ever.
    let again = |incarnation| {
        let mut record = record(1, "north", Status::Ready);
        record.announcement.run = run(1, incarnation);
        view([record])
    };
    let parts = [PromptPart { id: 1, tokens: 4_000 }, PromptPart { id: 2, tokens: 1_000 }];
    let mut placement = open(&again(10));
    let fresh = go(&mut placement, Duration::ZERO, &ask(&parts, &[]));
    for _ in 0..5 {
        let choice = go(&mut placement, Duration::ZERO, &ask(&parts, &[]));
        placement.record_end(Duration::ZERO, &choice, Ending::Failed, None);
    }
    let before = go(&mut placement, Duration::ZERO, &ask(&parts, &[]));
    assert!(before.expected_ms > fresh.expected_ms);
    assert_eq!(placement.update(&again(20)), [run(1, 10)], "the old run is reported as gone");
    placement.record_end(Duration::ZERO, &before, Ending::Failed, None);
    let tried = [run(1, 10)];
    let after = go(&mut placement, Duration::ZERO, &ask(&parts, &tried));
    assert_eq!(after.run, run(1, 20));
    assert_eq!(
        (after.expected_ms, after.uncached_tokens),
        (fresh.expected_ms, fresh.uncached_tokens)
    );
    assert!(after.idle);
}

#[test]
fn a_roll_outs_upstreams_get_what_their_version_may_get() {
    // Guards against requests to a candidate beyond its share, and to one that was rolled back.
    let mut records = [1, 2, 3, 4].map(|number| record(number, "north", Status::Ready));
    records[2].announcement.version = "v2".into();
    records[3].announcement.version = "v2".into();
    let plan = |state, canaries: &[&str]| Plan {
        id: 1,
        step: 1,
        version: "v2".into(),
        rejected: Default::default(),
        state,
        share: 0.0,
        route_shares: BTreeMap::new(),
        canaries: Some(canaries.iter().map(|it| Upstream::from(*it)).collect()),
        shifting: false,
        slow_ms: BTreeMap::new(),
    };
    let both = Tracks { preferred: Track::Candidate, fallback: Some(Track::Stable) };
    let cases = [
        (plan(State::Serving, &["u3"]), Tracks::default(), &["u1", "u2"][..]),
        (plan(State::Serving, &["u3"]), both, &["u3"]),
        (plan(State::Serving, &[]), both, &["u1", "u2"]),
        (plan(State::RolledBack, &["u3"]), both, &["u1", "u2"]),
    ];
    for (plan, tracks, wanted) in cases {
        let plans = BTreeMap::from([("pool".into(), plan.clone())]);
        let mut placement = open(&View { rollout_plans: Arc::new(plans), ..view(records.clone()) });
        let seen: std::collections::BTreeSet<String> = (0..40)
            .map(|number| {
                let now = Duration::from_millis(number);
                let choice = go(&mut placement, now, &Query { tracks, ..ask(&[], &[]) });
                placement.record_end(now, &choice, Ending::Complete, Some(now));
                choice.run.upstream.as_str().to_owned()
            })
            .collect();
        let wanted: std::collections::BTreeSet<String> =
            wanted.iter().map(|it| (*it).to_owned()).collect();
        assert_eq!(seen, wanted, "{plan:?} {tracks:?}");
    }
}
