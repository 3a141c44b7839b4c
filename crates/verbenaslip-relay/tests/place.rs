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
use verbenaslip_relay::policy::reservation::scarce_versions;
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

fn view_of(count: u32) -> View {
    view((1..=count).map(|number| record(number, "north", Status::Ready)))
}

fn new_placement(view: &View) -> Placement {
    let mut placement = Placement::new(AvailabilityZone::from("north"));
    placement.update(view);
    placement
}

fn query<'a>(parts: &'a [PromptPart], tried: &'a [Run]) -> Query<'a> {
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
        version: None,
    }
}

fn prompt(shared: u64, own: u64) -> [PromptPart; 2] {
    [PromptPart { id: shared, tokens: 6_300 }, PromptPart { id: own, tokens: 2_900 }]
}

fn place(placement: &mut Placement, now: Duration, query: &Query<'_>) -> Choice {
    match placement.choose(now, query) {
        Decision::Send(choice) => choice,
        other => panic!("{other:?}"),
    }
}

#[test]
fn shared_prefix_goes_to_one_upstream_from_every_entry() {
    let view = view_of(12);
    let mut entries: Vec<Placement> = (0..9).map(|_| new_placement(&view)).collect();
    for shared in 0..40 {
        let mut chosen = Vec::new();
        for (index, entry) in entries.iter_mut().enumerate() {
            let parts = prompt(1_000 + shared, 10_000 + shared * 100 + index as u64);
            let choice = place(entry, Duration::ZERO, &query(&parts, &[]));
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
fn popular_prefix_spreads_over_upstreams() {
    let mut placement = new_placement(&view_of(12));
    let mut chosen = BTreeMap::<Upstream, u32>::new();
    for own in 0..24 {
        let parts = prompt(1, 100 + own);
        let choice = place(&mut placement, Duration::ZERO, &query(&parts, &[]));
        *chosen.entry(choice.run.upstream).or_default() += 1;
    }
    assert!(chosen.len() >= 6, "{chosen:?}");
    assert!(chosen.values().all(|count| *count <= 6), "{chosen:?}");
}

/// Holds when a first event arrives, at which entry, its choice of upstream, and when its request
/// was sent.
type PendingFirstEvent = (f64, usize, Choice, f64);

/// Simulates entries that know nothing of each other and engines that read one prompt after
/// another; returns the fraction of first events within 600 ms.
fn simulate(entries: u32, engines: u32, per_second: f64) -> f64 {
    /// Tokens that an engine reads in a millisecond.
    const TOKENS_PER_MS: f64 = 60.0;
    /// Milliseconds to a first event beyond prefill.
    const FIRST_EVENT_MS: f64 = 70.0;
    /// Milliseconds after which the prefixes have been read once.
    const WARM_UP_MS: f64 = 8_000.0;
    let view = view_of(engines);
    let mut placements: Vec<Placement> = (0..entries).map(|_| new_placement(&view)).collect();
    let mut free_at = BTreeMap::<Upstream, f64>::new();
    let mut cached = std::collections::BTreeSet::<(Upstream, u64)>::new();
    let mut pending: Vec<PendingFirstEvent> = Vec::new();
    let mut rng = Pcg64::seed_from_u64(11);
    let (mut now, mut request_count, mut counted, mut on_time) = (0.0, 0, 0, 0);
    while now < 30_000.0 {
        now += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / per_second;
        let time = |millis: f64| Duration::from_secs_f64(millis / 1_000.0);
        pending.sort_by(|one, other| one.0.total_cmp(&other.0));
        while pending.first().is_some_and(|(at, ..)| *at <= now) {
            let (at, entry, choice, sent) = pending.remove(0);
            placements[entry].record_first_event(time(at), &choice, time(at - sent));
            placements[entry].record_end(
                time(at),
                &choice,
                Ending::Complete,
                Some(time(at - sent + 300.0)),
            );
        }
        let shared = rng.random_range(0..300);
        let parts = prompt(shared, 1_000_000 + request_count);
        let entry = rng.random_range(0..entries) as usize;
        request_count += 1;
        counted += u64::from(now > WARM_UP_MS);
        let Decision::Send(choice) = placements[entry].choose(time(now), &query(&parts, &[]))
        else {
            continue;
        };
        let is_retry = cached.insert((choice.run.upstream.clone(), shared));
        let tokens = 2_900.0 + if is_retry { 6_300.0 } else { 0.0 };
        let start = free_at.get(&choice.run.upstream).copied().unwrap_or(0.0).max(now);
        free_at.insert(choice.run.upstream.clone(), start + tokens / TOKENS_PER_MS);
        let first = start + tokens / TOKENS_PER_MS + FIRST_EVENT_MS;
        on_time += u64::from(now > WARM_UP_MS && first - now <= 600.0);
        pending.push((first, entry, choice, now));
    }
    on_time as f64 / counted as f64
}

#[test]
fn independent_entries_do_not_herd() {
    // Guards against herding. If entries sent requests to the upstream that was least loaded in
    // reports from half a second ago, all would meet there, and first events would take more than
    // a second while most upstreams are idle. At half of the engines' capacity hardly any request
    // may be late, for any number of entries.
    for entries in [1, 9, 63] {
        let share = simulate(entries, 12, 120.0);
        assert!(share > 0.97, "{entries} entries: {share} on time");
    }
}

#[test]
fn leaving_upstreams_get_nothing_and_silent_ones_are_last_resort() {
    let standings = [(1, Status::Leaving), (2, Status::Silent), (3, Status::Ready)];
    let records = standings.map(|(number, standing)| record(number, "north", standing));
    let mut placement = new_placement(&view(records.clone()));
    for _ in 0..20 {
        assert_eq!(
            place(&mut placement, Duration::ZERO, &query(&[], &[])).run.upstream.as_str(),
            "u3"
        );
    }
    let mut placement = new_placement(&view(records[..2].to_vec()));
    assert_eq!(place(&mut placement, Duration::ZERO, &query(&[], &[])).run.upstream.as_str(), "u2");
    let mut placement = new_placement(&view(records[..1].to_vec()));
    assert!(matches!(placement.choose(Duration::ZERO, &query(&[], &[])), Decision::NoUpstream));
}

#[test]
fn unreachable_upstream_is_paused_and_used_again() {
    let mut placement = new_placement(&view_of(2));
    let tried = [run(2, 0)];
    let choice = place(&mut placement, Duration::ZERO, &query(&[], &tried));
    placement.record_end(Duration::ZERO, &choice, Ending::Unreachable, None);
    for _ in 0..10 {
        let choice = place(&mut placement, Duration::from_millis(100), &query(&[], &[]));
        assert_eq!(choice.run.upstream.as_str(), "u2");
        placement.record_end(Duration::from_millis(100), &choice, Ending::Complete, None);
    }
    let later = Duration::from_secs(40);
    let chosen: Vec<String> = (0..4)
        .map(|_| place(&mut placement, later, &query(&[], &[])).run.upstream.to_string())
        .collect();
    assert!(chosen.contains(&"u1".to_owned()), "{chosen:?}");
}

#[test]
fn equal_upstreams_share_load_and_own_zone_is_preferred() {
    let records =
        (1..=6).map(|it| record(it, if it <= 3 { "north" } else { "south" }, Status::Ready));
    let mut placement = new_placement(&view(records));
    let mut counts = BTreeMap::<String, u32>::new();
    for _ in 0..30 {
        let choice = place(&mut placement, Duration::ZERO, &query(&[], &[]));
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
fn hopelessly_late_request_is_refused_at_once() {
    let mut placement = new_placement(&view_of(1));
    let mut verdicts = Vec::new();
    for own in 0..40 {
        let parts = prompt(own, 1_000 + own);
        verdicts.push(placement.choose(Duration::ZERO, &query(&parts, &[])));
    }
    let refused = verdicts.iter().filter(|verdict| matches!(verdict, Decision::Refuse(_))).count();
    assert!(refused > 20, "{refused}");
    let retry_times = verdicts.iter().filter_map(|verdict| match verdict {
        Decision::Refuse(busy) => Some(busy.retry_after),
        _ => None,
    });
    assert!(retry_times.into_iter().all(|retry_at| retry_at >= Duration::from_millis(100)));
}

#[test]
fn started_request_continues_even_if_late() {
    // Guards against a stream that ends in the middle: its engine breaks off while all others are
    // busy, and the rest of the stream is refused like a new request that would be late.
    let mut placement = new_placement(&view_of(1));
    let parts = prompt(1, 2);
    while matches!(placement.choose(Duration::ZERO, &query(&parts, &[])), Decision::Send(_)) {}
    let started = Query { may_have_run: true, ..query(&parts, &[]) };
    assert!(matches!(placement.choose(Duration::ZERO, &started), Decision::Send(_)));
}

// Guards against an answer that goes on at another software version, or is refused like a new request.
#[test]
fn answer_that_has_begun_continues_only_at_its_version() {
    let with_version = |number: u32, version: &str| {
        let mut record = record(number, "north", Status::Ready);
        record.announcement.version = version.into();
        record
    };
    let view = view([with_version(1, "v1"), with_version(2, "v2"), with_version(3, "v2")]);
    let mut placement = new_placement(&view);
    let parts = prompt(1, 2);
    while matches!(placement.choose(Duration::ZERO, &query(&parts, &[])), Decision::Send(_)) {}
    for _ in 0..10 {
        let begun = Query { version: Some("v1"), ..query(&parts, &[]) };
        assert_eq!(place(&mut placement, Duration::ZERO, &begun).run, run(1, 0));
    }
    let tried_runs = [run(1, 0)];
    for version in ["v1", "v3"] {
        let begun = Query { version: Some(version), ..query(&parts, &tried_runs) };
        assert!(matches!(placement.choose(Duration::ZERO, &begun), Decision::NoUpstream));
    }
}

// Guards against new prompts that fill the last upstreams of a version, where begun streams must go on.
#[test]
fn new_prompts_leave_room_at_the_last_upstreams_of_a_version() {
    let with_version = |number: u32, version: &str| {
        let mut record = record(number, "north", Status::Ready);
        record.announcement.version = version.into();
        record
    };
    let versions = ["v1", "v2", "v2", "v2"];
    let records = (1..).zip(versions).map(|(number, version)| with_version(number, version));
    let mut placement = new_placement(&view(records));
    let short = [PromptPart { id: 1, tokens: 1 }, PromptPart { id: 2, tokens: 1 }];
    let mut counts = [0; 4];
    for _ in 0..60 {
        let choice = place(&mut placement, Duration::ZERO, &query(&short, &[]));
        let number = (1..=4).find(|number| choice.run == run(*number, 0)).expect("a known run");
        counts[number as usize - 1] += 1;
    }
    assert!(counts[0] <= 12, "{counts:?}");
    for _ in 0..4 {
        let begun = Query { version: Some("v1"), ..query(&short, &[]) };
        assert_eq!(place(&mut placement, Duration::ZERO, &begun).run, run(1, 0));
    }
}

#[test]
fn a_version_is_scarce_only_beside_one_with_more_upstreams() {
    let scarce = |versions: &[&str]| {
        let announcements = versions.iter().map(|version| {
            let mut announcement = record(1, "north", Status::Ready).announcement;
            announcement.version = (*version).into();
            announcement
        });
        let announcements: Vec<Announcement> = announcements.collect();
        let scarce = scarce_versions(announcements.iter());
        scarce.iter().map(|it| it.version.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(scarce(&["v1", "v1"]), [""; 0]);
    assert_eq!(scarce(&["v1", "v2", "v2"]), [""; 0]);
    assert_eq!(scarce(&["v1", "v1", "v2", "v2", "v2"]), ["v1"]);
    assert_eq!(scarce(&["v1", "v1", "v1", "v2", "v2", "v2"]), [""; 0]);
}

#[test]
fn returning_callers_yield_to_new_ones() {
    // Guards against late answers for new callers when engines are missing. Callers that were
    // refused retry after their objective has passed, and their answers, which are late in any
    // case, would take places in the same queue.
    let mut placement = new_placement(&view_of(1));
    let mut admitted_new = 0;
    for own in 0..40 {
        let parts = prompt(1, 1_000 + own);
        let retry_at = Query { returning: true, ..query(&parts, &[]) };
        if let Decision::Refuse(_) = placement.choose(Duration::ZERO, &retry_at) {
            let verdict = placement.choose(Duration::ZERO, &query(&parts, &[]));
            admitted_new += u32::from(matches!(verdict, Decision::Send(_)));
        }
    }
    assert!(
        admitted_new >= 3,
        "{admitted_new} new callers were admitted after a returning one was refused"
    );
}

/// Counts the outcomes of requests to a plain service.
#[derive(Debug, Default)]
struct PlainCounts {
    request_count: f64,
    refused: f64,
    on_time: f64,
}

/// Simulates entries that know nothing of each other and a plain service of one upstream that
/// handles 200 requests a second: six at once, 30 ms each on average, and 24 more wait. Callers of
/// four priorities retry once, after the time that they are told.
fn simulate_plain(entries: usize, per_second: f64) -> PlainCounts {
    const SLOTS: usize = 6;
    const QUEUE: usize = 24;
    const OBJECTIVE_MS: f64 = 150.0;
    /// Milliseconds of the round trip from caller to upstream.
    const ROUND_TRIP_MS: f64 = 9.0;
    /// Milliseconds after which requests are counted.
    const WARM_UP_MS: f64 = 8_000.0;
    let view = view_of(1);
    let mut placements: Vec<Placement> = (0..entries).map(|_| new_placement(&view)).collect();
    let mut free_at = [0.0_f64; SLOTS];
    let mut pending: Vec<PendingFirstEvent> = Vec::new();
    let mut retry_at: Vec<f64> = Vec::new();
    let mut rng = Pcg64::seed_from_u64(5);
    let mut counts = PlainCounts::default();
    let (mut now, mut next) = (0.0, 0.0);
    while now < 40_000.0 {
        retry_at.sort_by(|one, other| other.total_cmp(one));
        let is_retry = retry_at.last().is_some_and(|at| *at < next);
        now = if is_retry { retry_at.pop().expect("there") } else { next };
        if !is_retry {
            next += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / per_second;
        }
        let time = |millis: f64| Duration::from_secs_f64(millis / 1_000.0);
        pending.sort_by(|one, other| one.0.total_cmp(&other.0));
        while pending.first().is_some_and(|(at, ..)| *at <= now) {
            let (at, entry, choice, sent) = pending.remove(0);
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
        let query = Query {
            objective: time(OBJECTIVE_MS),
            rank: rng.random_range(0..4),
            returning: is_retry,
            ..query(&[], &[])
        };
        let counted = now > WARM_UP_MS;
        counts.request_count += f64::from(u8::from(counted && !is_retry));
        let wait = match placements[entry].choose(time(now), &query) {
            Decision::Send(choice) if pending.len() >= SLOTS + QUEUE => {
                placements[entry].record_end(time(now), &choice, Ending::Full, None);
                Some(300.0)
            }
            Decision::Send(choice) => {
                free_at.sort_by(f64::total_cmp);
                let work = 30.0 * (0.4 + 1.2 * rng.random::<f64>());
                free_at[0] = free_at[0].max(now) + work;
                let done = free_at[0] + ROUND_TRIP_MS;
                let on_time = !is_retry && done - now <= OBJECTIVE_MS;
                counts.on_time += f64::from(u8::from(counted && on_time));
                pending.push((done, entry, choice, now));
                None
            }
            Decision::Refuse(busy) => Some(busy.retry_after.as_secs_f64() * 1_000.0),
            Decision::NoUpstream => panic!("no upstream is available"),
        };
        match wait {
            Some(wait) if !is_retry => retry_at.push(now + wait),
            Some(_) => counts.refused += f64::from(u8::from(counted)),
            None => {}
        }
    }
    counts
}

#[test]
fn overloaded_plain_service_serves_most_of_its_capacity_on_time() {
    // Guards against a queue that is always full. Two of a service's three upstreams go, and the
    // load fills the queue of the third, which then takes longer than the objective. If entries
    // that see a few answers a second followed the latest latency up and down, two thirds of the
    // answers would be some milliseconds late and the others refused.
    for entries in [6, 63] {
        for per_second in [260.0, 400.0] {
            let PlainCounts { request_count, on_time, .. } = simulate_plain(entries, per_second);
            let possible = request_count * 200.0 / per_second;
            let share = on_time / possible;
            assert!(share > 0.75, "{entries} entries, {per_second}/s: {share} of the capacity");
        }
    }
}

#[test]
fn plain_service_within_capacity_refuses_almost_nothing() {
    for entries in [6, 63] {
        let PlainCounts { request_count, refused, on_time } = simulate_plain(entries, 140.0);
        assert!(
            on_time > request_count * 0.98,
            "{entries} entries: {on_time} of {request_count} on time"
        );
        assert!(
            refused < request_count * 0.01,
            "{entries} entries: {refused} of {request_count} refused"
        );
    }
}

#[test]
fn restarted_upstream_starts_with_fresh_state() {
    // Guards against keeping failures, cached parts and requests in progress by name. An upstream
    // fails some requests, crashes with others in progress, and restarts under its name; when the
    // earlier requests end, it would be avoided or counted as busy for ever.
    let is_retry = |incarnation| {
        let mut record = record(1, "north", Status::Ready);
        record.announcement.run = run(1, incarnation);
        view([record])
    };
    let parts = [PromptPart { id: 1, tokens: 4_000 }, PromptPart { id: 2, tokens: 1_000 }];
    let mut placement = new_placement(&is_retry(10));
    let admitted_new = place(&mut placement, Duration::ZERO, &query(&parts, &[]));
    for _ in 0..5 {
        let choice = place(&mut placement, Duration::ZERO, &query(&parts, &[]));
        placement.record_end(Duration::ZERO, &choice, Ending::Failed, None);
    }
    let earlier = place(&mut placement, Duration::ZERO, &query(&parts, &[]));
    assert!(earlier.expected_ms > admitted_new.expected_ms);
    assert_eq!(placement.update(&is_retry(20)), [run(1, 10)], "the old run is reported as gone");
    placement.record_end(Duration::ZERO, &earlier, Ending::Failed, None);
    let tried = [run(1, 10)];
    let after = place(&mut placement, Duration::ZERO, &query(&parts, &tried));
    assert_eq!(after.run, run(1, 20));
    assert_eq!(
        (after.expected_ms, after.uncached_tokens),
        (admitted_new.expected_ms, admitted_new.uncached_tokens)
    );
    assert!(after.idle);
}

#[test]
fn rollout_upstreams_get_only_their_track() {
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
        let mut placement =
            new_placement(&View { rollout_plans: Arc::new(plans), ..view(records.clone()) });
        let seen: std::collections::BTreeSet<String> = (0..40)
            .map(|number| {
                let now = Duration::from_millis(number);
                let choice = place(&mut placement, now, &Query { tracks, ..query(&[], &[]) });
                placement.record_end(now, &choice, Ending::Complete, Some(now));
                choice.run.upstream.as_str().to_owned()
            })
            .collect();
        let wanted: std::collections::BTreeSet<String> =
            wanted.iter().map(|it| (*it).to_owned()).collect();
        assert_eq!(seen, wanted, "{plan:?} {tracks:?}");
    }
}
