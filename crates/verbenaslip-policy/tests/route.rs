//! Tests which upstream gets a request.

use std::collections::BTreeMap;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Upstream;
use verbenaslip_policy::route::{CacheBatch, CacheEvent, CacheIndex, RouteQuery, Router};

use crate::common::{engine, head, ms, params, rng};

mod common;

fn query(head: Head) -> RouteQuery {
    RouteQuery { head, params: params(|_| ()), arrived: ms(0), avoid: Vec::new() }
}

/// Returns a router that knows six engines in three zones.
fn router() -> Router {
    let mut router = Router::new("z0".into());
    for number in 0..6 {
        router.handle_announcement(
            ms(0),
            &engine(&format!("e{number}"), &format!("z{}", number % 3), 1),
        );
    }
    router
}

/// Returns how many of `count` requests go to each upstream if none of them ends.
fn count_choices(router: &mut Router, now: u64, count: u128) -> BTreeMap<String, usize> {
    let mut rng = rng(3);
    let mut counts = BTreeMap::new();
    for id in 0..count {
        let head = head(id, "a");
        let Some(choice) = router.choose(ms(now), &query(head.clone()), &mut rng) else { break };
        router.record_sent(ms(now), &head, &choice);
        *counts.entry(choice.upstream.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn unusable_upstreams_get_no_new_work() {
    // Guards against requests sent to an upstream that is leaving or cannot serve them. This
    // happens when candidates are selected by liveness only. Each case is followed by fifty
    // requests.
    type Edit = fn(&mut Announcement);
    struct Case {
        name: &'static str,
        edit: Edit,
        now: u64,
        gets_work: bool,
    }
    let cases = [
        Case { name: "ready", edit: |_| (), now: 100, gets_work: true },
        Case { name: "warming", edit: |a| a.phase = Phase::Warming, now: 100, gets_work: false },
        Case {
            name: "leaving",
            edit: |a| a.phase = Phase::Leaving { notice: None },
            now: 100,
            gets_work: false,
        },
        Case {
            name: "reclaimed",
            edit: |a| a.phase = Phase::Leaving { notice: Some(2_000) },
            now: 100,
            gets_work: false,
        },
        Case { name: "other model", edit: |a| a.models.clear(), now: 100, gets_work: false },
        Case { name: "silent for 5 s", edit: |_| (), now: 5_100, gets_work: false },
    ];
    for case in cases {
        let mut router = router();
        let mut announcement = engine("e5", "z2", 2);
        (case.edit)(&mut announcement);
        router.handle_announcement(ms(50), &announcement);
        for number in 0..5 {
            router.handle_announcement(ms(case.now), &engine(&format!("e{number}"), "z0", 9));
        }
        let counts = count_choices(&mut router, case.now, 50);
        assert_eq!(counts.contains_key("e5"), case.gets_work, "{}: {counts:?}", case.name);
        assert_eq!(counts.values().sum::<usize>(), 50, "{}", case.name);
    }
}

#[test]
fn leaving_is_final_for_an_incarnation() {
    // Guards against new work for an upstream that announced that it is leaving. This happens when
    // the newest message always wins. Here the upstream announces that it is leaving, an older
    // announcement arrives late, a relay sends one with a higher sequence number by mistake, and
    // then the upstream restarts.
    let mut router = Router::new("z0".into());
    let mut leaving = engine("e0", "z0", 5);
    leaving.phase = Phase::Leaving { notice: None };
    let mut restarted = engine("e0", "z0", 1);
    restarted.incarnation = 2;
    let steps = [
        (engine("e0", "z0", 4), true),
        (leaving, false),
        (engine("e0", "z0", 4), false),
        (engine("e0", "z0", 6), false),
        (restarted, true),
    ];
    for (announcement, usable) in steps {
        router.handle_announcement(ms(10), &announcement);
        let choice = router.choose(ms(20), &query(head(1, "a")), &mut rng(1));
        assert_eq!(choice.is_some(), usable, "after {announcement:?}");
    }
}

#[test]
fn nothing_is_chosen_when_all_are_leaving() {
    let mut router = router();
    for number in 0..6 {
        let mut leaving = engine(&format!("e{number}"), "z0", 2);
        leaving.phase = Phase::Leaving { notice: Some(10_000) };
        router.handle_announcement(ms(10), &leaving);
    }
    assert_eq!(router.choose(ms(20), &query(head(1, "a")), &mut rng(1)), None);
    assert_eq!(router.pool(ms(20), &"model".into()).slots, 0);
}

#[test]
fn a_stale_load_report_is_corrected_by_later_dispatches() {
    // Guards against sending all requests of a second to the upstream that was idle in the last
    // load report. This happens when a report is taken as the current state. Here one engine
    // reports no load and the others half load, and 24 requests arrive before the next report.
    let mut router = router();
    for number in 1..6 {
        let mut busy = engine(&format!("e{number}"), "z0", 2);
        busy.load = Load { running: 4, waiting: 0, memory: 0, age: 300 };
        router.handle_announcement(ms(10), &busy);
    }
    let counts = count_choices(&mut router, 20, 24);
    assert!(counts["e0"] <= 8, "{counts:?}");
    assert!(counts.len() >= 5, "{counts:?}");
}

#[test]
fn many_instances_do_not_herd() {
    // Guards against a flood of requests to an upstream that was idle in a report. This happens
    // when each instance picks the single best upstream. Here nine instances see the same reports,
    // with one engine idle and eleven engines running two requests, and each instance sends eight
    // requests.
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for instance in 0..9 {
        let mut router = Router::new("z0".into());
        router.set_instances(9);
        for number in 0..12 {
            let mut announcement = engine(&format!("e{number}"), "z0", 1);
            announcement.slots = 16;
            announcement.load.running = if number == 0 { 0 } else { 2 };
            router.handle_announcement(ms(0), &announcement);
        }
        let mut rng = rng(instance);
        for id in 0..8 {
            let head = head(id, "a");
            let choice =
                router.choose(ms(100), &query(head.clone()), &mut rng).expect("all are ready");
            router.record_sent(ms(100), &head, &choice);
            *counts.entry(choice.upstream.to_string()).or_default() += 1;
        }
    }
    // 72 requests over 12 engines are 6 each; none may get more requests than its free slots hold.
    assert!(counts.values().all(|count| *count <= 14), "{counts:?}");
    assert!(counts.len() >= 10, "{counts:?}");
}

#[test]
fn instances_spread_over_nearly_equal_upstreams() {
    // Guards against all instances sending their next request to the same upstream, because the
    // single best upstream is the same for all. Here sixty instances see the same reports, and
    // prices differ by half a percent from one upstream to the next.
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for instance in 0..60 {
        let mut router = Router::new("z0".into());
        for number in 0..12 {
            let mut announcement = engine(&format!("e{number}"), "z0", 1);
            announcement.price += number * 5_000;
            router.handle_announcement(ms(0), &announcement);
        }
        let choice = router.choose(ms(100), &query(head(1, "a")), &mut rng(instance));
        let name = choice.expect("all are ready").upstream.to_string();
        *counts.entry(name).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count <= 20), "{counts:?}");
}

#[test]
fn requests_follow_their_cached_prefix() {
    let mut router = router();
    let mut thread = head(1, "a");
    thread.prompt = 4_000;
    thread.prefix = (1..250).collect();
    let first = router.choose(ms(10), &query(thread.clone()), &mut rng(1)).expect("all are ready");
    router.record_sent(ms(10), &thread, &first);
    router.record_first_token(ms(500), thread.request);
    router.record_completion(ms(2_000), &"model".into(), thread.request, 60);
    for seed in 0..20 {
        thread.request.0 += 1;
        let next = router.choose(ms(2_100), &query(thread.clone()), &mut rng(seed));
        assert_eq!(next.expect("all are ready").upstream, first.upstream);
    }
}

#[test]
fn gaps_in_cache_events_lower_the_confidence() {
    // Guards against a gap in the cache events that is either ignored or treated as the loss of all
    // events. In the first case evicted blocks count as cached forever, and in the second case
    // everything cached is computed again.
    struct Case {
        name: &'static str,
        batches: Vec<CacheBatch>,
        known: bool,
    }
    let stored: Vec<CacheEvent> = (1..=100).map(CacheEvent::Stored).collect();
    let all = CacheBatch { next_sequence: 100, gap: false, events: stored.clone() };
    let gap = |next| CacheBatch { next_sequence: next, gap: true, events: Vec::new() };
    let evicted: Vec<CacheEvent> = (1..=100).map(CacheEvent::Evicted).collect();
    let cases = [
        Case { name: "stored", batches: vec![all.clone()], known: true },
        Case { name: "gap of ten events", batches: vec![all.clone(), gap(110)], known: true },
        Case {
            name: "gap of two hundred events",
            batches: vec![all.clone(), gap(300)],
            known: false,
        },
        Case {
            name: "evicted",
            batches: vec![
                all.clone(),
                CacheBatch { next_sequence: 200, gap: false, events: evicted.clone() },
            ],
            known: false,
        },
        Case { name: "sent twice", batches: vec![all.clone(), all.clone()], known: true },
        Case {
            name: "stored again after a gap",
            batches: vec![
                all.clone(),
                gap(900),
                CacheBatch { next_sequence: 1_000, gap: false, events: stored },
            ],
            known: true,
        },
        Case { name: "falling sequence numbers", batches: vec![all, gap(3)], known: true },
    ];
    let prefix: Vec<u64> = (1..=100).collect();
    for case in cases {
        let mut cache = CacheIndex::new(1_000);
        case.batches.iter().for_each(|batch| cache.apply(batch));
        let tokens = cache.cached_tokens(&prefix);
        assert_eq!(tokens > 0.0, case.known, "{}: {tokens}", case.name);
        assert!(tokens <= 1_600.0, "{}: {tokens}", case.name);
    }
}

#[test]
fn the_cache_index_is_bounded() {
    let mut cache = CacheIndex::new(50);
    for thread in 0..100_u64 {
        let prefix: Vec<u64> = (0..20).map(|block| thread * 1_000 + block).collect();
        cache.record_prompt(&prefix);
        assert!(cache.len() <= 50);
        assert!(cache.cached_tokens(&prefix) > 0.0, "the latest prefix is kept");
    }
}

#[test]
fn a_zone_that_looks_down_from_one_instance_keeps_getting_work() {
    // Guards against an instance that sends all work to other zones because its network connection
    // to one zone is partitioned. This happens when the failures seen by one instance are taken as
    // failures of the zone. Here all connections to a zone fail while its engines still send
    // announcements, and the other zones would be overloaded although the zone is idle.
    let mut router = router();
    let fail = |router: &mut Router, name: &str, from: u128| {
        for id in from..from + 2 {
            let head = head(id, "a");
            let choice = router.choose(ms(10), &query(head.clone()), &mut rng(1));
            let mut choice = choice.expect("all are ready");
            choice.upstream = Upstream::from(name);
            router.record_sent(ms(10), &head, &choice);
            router.record_failure(ms(20), head.request);
        }
    };
    fail(&mut router, "e0", 100);
    let counts = count_choices(&mut router, 30, 20);
    assert!(!counts.contains_key("e0"), "a single failing upstream is down: {counts:?}");
    fail(&mut router, "e3", 200);
    for seed in 0..8 {
        let mut query = query(head(1, "a"));
        query.avoid = ["e1", "e2", "e4", "e5"].map(Upstream::from).to_vec();
        let choice =
            router.choose(ms(30), &query, &mut rng(seed)).expect("the zone still gets work");
        assert!(["e0", "e3"].contains(&choice.upstream.as_str()), "{choice:?}");
    }
}

#[test]
fn a_failed_upstream_is_probed_after_its_cooldown() {
    let mut router = Router::new("z0".into());
    for (name, zone) in [("e0", "z0"), ("e1", "z1"), ("e2", "z0"), ("e3", "z0")] {
        router.handle_announcement(ms(0), &engine(name, zone, 1));
    }
    for id in 0..2 {
        let head = head(id, "a");
        let mut choice =
            router.choose(ms(10), &query(head.clone()), &mut rng(1)).expect("all are ready");
        choice.upstream = "e0".into();
        router.record_sent(ms(10), &head, &choice);
        router.record_failure(ms(20), head.request);
    }
    let probe_query = || {
        let mut query = query(head(50, "a"));
        query.avoid = ["e1", "e2", "e3"].map(Upstream::from).to_vec();
        query
    };
    let chosen = |router: &Router, now| {
        let choice = router.choose(ms(now), &probe_query(), &mut rng(1)).expect("others are ready");
        choice.upstream.to_string()
    };
    assert_ne!(chosen(&router, 500), "e0", "the upstream is in its cooldown");
    assert_eq!(chosen(&router, 1_100), "e0", "one run may probe the upstream");
    let probe =
        router.choose(ms(1_100), &probe_query(), &mut rng(1)).expect("the upstream may be probed");
    router.record_sent(ms(1_100), &head(50, "a"), &probe);
    assert_ne!(chosen(&router, 1_200), "e0", "one probe at a time");
    router.record_first_token(ms(1_300), head(50, "a").request);
    assert_eq!(chosen(&router, 1_400), "e0", "the upstream works again");
}

#[test]
fn a_slow_upstream_is_avoided_until_it_recovers() {
    // Guards against late answers from an engine that is ten times slower than its peers, which
    // happens when only failures count. Here the engine is the cheapest, becomes slow, is measured,
    // and later recovers.
    let mut router = router();
    let mut id = 0;
    let mut serve = |router: &mut Router, now: &mut u64, name: &str, slowdown: u64| {
        id += 1;
        let head = head(id, "a");
        let mut choice =
            router.choose(ms(*now), &query(head.clone()), &mut rng(1)).expect("some are ready");
        choice.upstream = name.into();
        router.record_sent(ms(*now), &head, &choice);
        router.record_first_token(ms(*now + 100 * slowdown), head.request);
        router.record_completion(
            ms(*now + (100 + 50 * 25) * slowdown),
            &"model".into(),
            head.request,
            51,
        );
        *now += 20;
        for number in 0..6 {
            let name = format!("e{number}");
            let mut announcement = engine(&name, &format!("z{}", number % 3), *now);
            announcement.price = if number == 0 { 1_000 } else { 1_000_000 };
            router.handle_announcement(ms(*now), &announcement);
        }
    };
    let mut now = 1_000;
    for _ in 0..20 {
        (1..6).for_each(|number| serve(&mut router, &mut now, &format!("e{number}"), 1));
        serve(&mut router, &mut now, "e0", 10);
    }
    let slow_choices = count_choices(&mut router, now, 30).get("e0").copied().unwrap_or(0);
    assert!(slow_choices <= 1, "{slow_choices} of 30 requests went to the slow upstream");
    let mut probe = router.choose(ms(now), &query(head(9_000, "a")), &mut rng(1));
    if let Some(choice) = probe.as_mut() {
        choice.upstream = "e0".into();
        router.record_sent(ms(now), &head(9_000, "a"), choice);
    }
    let candidates = router.pool(ms(now), &"model".into()).upstreams;
    assert_eq!(candidates, 5, "the slow upstream gets one run at a time");
    router.record_withdrawal(ms(now), head(9_000, "a").request);
    let mut recovering = router;
    for _ in 0..40 {
        serve(&mut recovering, &mut now, "e0", 1);
    }
    let candidates = recovering.pool(ms(now), &"model".into()).upstreams;
    assert_eq!(candidates, 6, "the upstream is a candidate again");
}
