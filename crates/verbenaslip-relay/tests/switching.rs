//! When requests leave slow upstreams early, and what that costs.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use common::{new_placement, place, query, run, view};
use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::View;
use verbenaslip_fleet::measurement::{Figure, RunKey};
use verbenaslip_fleet::rollout::{Cohort, Plan, State};
use verbenaslip_relay::dialect::PromptPart;
use verbenaslip_relay::policy::placement::{Decision, Ending, Placement, Query, Sharing};
use verbenaslip_relay::policy::retry::{Bounds, RetryBudget};
use verbenaslip_relay::policy::switching::{SLOW_PERIOD, SlowRequest, failover_timeout};
use verbenaslip_relay::policy::versions::Versions;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a request that should leave its upstream.
fn slow_request(expected_ms: f64) -> SlowRequest {
    let elapsed = failover_timeout(expected_ms).expect("a timeout");
    SlowRequest {
        elapsed,
        objective: ms(600),
        remaining: ms(3_000),
        expected_elsewhere_ms: Some(expected_ms),
        median_wait_ms: Some(20.0),
    }
}

/// Returns when an engine sends the first event of a prompt that was sent at time zero, behind
/// `queued` tokens, if the engine is 2.5 times slower for the first 600 ms.
fn slow_first_event_ms(queued: f64, tokens: f64) -> f64 {
    const TOKENS_PER_MS: f64 = 60.0;
    let rest = queued + tokens - 600.0 * TOKENS_PER_MS / 2.5;
    600.0 + rest.max(0.0) / TOKENS_PER_MS
}

/// Returns an entry that places prompts by the figures of two upstreams with this mean wait.
fn entry_with_figures(wait_ms: f64) -> Placement {
    let runs = [run(1, 0), run(2, 0)];
    let figure = Figure {
        stream_rate: Some(60.0),
        wait_ms,
        pending_tokens: 0,
        active: 0,
        events_per_s: 5.0,
        failure_rate: 0.0,
        measured_at: ms(0),
    };
    let figures = runs.iter().map(|run| (RunKey::of(run), figure)).collect();
    let mut entry = Placement::new(AvailabilityZone::from("north"))
        .with_sharing(Sharing { min_slots: 16, min_entries: 16 });
    entry.update(&View { figures: Arc::new(figures), entry_count: 16, ..view(runs) });
    entry
}

#[test]
fn a_request_behind_a_queue_at_a_slow_upstream_is_answered_in_time_elsewhere() {
    // Guards against a request that waits at an upstream which has become 2.5 times slower until its answer is late,
    // although another upstream could answer in time, and against one that leaves while the whole service is slow. Five
    // prompts of other entries that are not known here are queued before it.
    for (wait_ms, leaves) in [(30.0, true), (400.0, false)] {
        let mut entry = entry_with_figures(wait_ms);
        let parts = [PromptPart { id: 1, tokens: 2_890 }];
        let query =
            Query { parts: &parts, prompt_tokens: 2_890, objective: ms(600), ..query(true) };
        let Decision::Send(first) = entry.choose(ms(0), &query) else { panic!("refused") };
        assert!(slow_first_event_ms(5.0 * 2_890.0, 2_890.0) > 600.0);

        let elapsed = failover_timeout(first.expected_ms).expect("a timeout");
        let tried_runs = [first.run.clone()];
        let query = Query { tried_runs: &tried_runs, may_have_run: true, ..query };
        let request = SlowRequest {
            elapsed,
            objective: query.objective,
            remaining: query.remaining,
            expected_elsewhere_ms: entry.best_expected_ms(elapsed, &query),
            median_wait_ms: entry.median_wait_ms(elapsed, "desk"),
        };
        assert_eq!(request.should_leave(), leaves, "{request:?}");
        if leaves {
            entry.penalize(elapsed, &first, SLOW_PERIOD);
            let Decision::Send(second) = entry.choose(elapsed, &query) else { panic!("refused") };
            assert_ne!(second.run, first.run);
            assert!(elapsed.as_secs_f64() * 1_000.0 + second.expected_ms < 600.0, "{request:?}");
        }
    }
}

#[test]
fn a_request_stays_if_no_other_upstream_can_answer_in_time() {
    // Guards against a request that leaves an upstream which would have answered, for one that answers no earlier than
    // the objective or than its caller leaves.
    let request = slow_request(100.0);
    assert!(!SlowRequest { expected_elsewhere_ms: Some(200.0), ..request }.should_leave());
    assert!(!SlowRequest { elapsed: ms(500), ..request }.should_leave());
    assert!(!SlowRequest { remaining: ms(100), ..request }.should_leave());
}

#[test]
fn a_request_stays_without_measurements() {
    // Guards against an entry that guesses the state of other upstreams when its figures are missing or too old.
    let request = slow_request(100.0);
    assert!(!SlowRequest { expected_elsewhere_ms: None, ..request }.should_leave());
    assert!(!SlowRequest { median_wait_ms: None, ..request }.should_leave());
    assert_eq!(failover_timeout(f64::NAN), None);
    assert_eq!(failover_timeout(f64::INFINITY), None);
}

#[test]
fn a_request_stays_while_the_whole_service_is_slow() {
    // Guards against a fleet that is short of engines and repeats the prefills of all waiting requests, which makes all
    // queues longer.
    let request = slow_request(100.0);
    assert!(SlowRequest { median_wait_ms: Some(150.0), ..request }.should_leave());
    assert!(!SlowRequest { median_wait_ms: Some(151.0), ..request }.should_leave());
}

#[test]
fn broken_requests_find_two_thirds_of_the_budget_after_a_storm_of_slow_ones() {
    // Guards against slow upstreams that use up the retry budget, so that requests whose upstream is lost are refused.
    // An entry has a capacity of 30 alone and of one in a fleet of 82.
    let service: Arc<str> = "desk".into();
    let mut budget = RetryBudget::new(Bounds { ratio: 0.2, allowance: 50.0 });
    (0..1_000).for_each(|_| budget.record_request(&service, 1));
    let left_early = (0..1_000).filter(|_| budget.try_spend_early(&service, 1)).count();
    let repeated = (0..1_000).filter(|_| budget.try_spend(&service, 1)).count();
    assert_eq!((left_early, repeated), (10, 20));

    // Slow requests come first, which is the worst case for broken ones.
    let count = |with_slow: bool| {
        let mut budget = RetryBudget::new(Bounds { ratio: 0.2, allowance: 50.0 });
        let (mut left_early, mut repeated) = (0, 0);
        for _ in 0..10_000 {
            budget.record_request(&service, 82);
            left_early += u32::from(with_slow && budget.try_spend_early(&service, 82));
            repeated += u32::from(budget.try_spend(&service, 82));
        }
        (left_early, repeated)
    };
    let ((_, alone), (left_early, repeated)) = (count(false), count(true));
    assert!(repeated * 3 >= alone * 2, "{repeated} of {alone}");
    assert!(left_early > 0 && left_early + repeated <= 1_201, "{left_early}, {repeated}");
}

#[test]
fn an_upstream_that_was_left_early_does_not_count_as_failed() {
    // Guards against transient slowness that makes an entry avoid a working upstream for seconds, or that counts as a
    // failure of a new version unless the answer would count as slow anyway.
    let expected_after = |ending: Ending| {
        let mut entry = new_placement(&view([run(1, 0)]));
        for _ in 0..10 {
            let choice = place(&mut entry, ms(0));
            entry.record_end(ms(0), &choice, ending, None);
        }
        place(&mut entry, ms(0)).expected_ms
    };
    assert!(expected_after(Ending::Slow) < 1.0);
    assert!(expected_after(Ending::Failed) > 100.0);

    let bad_after = |ending: Ending, latency: Duration| {
        let plan = Plan {
            id: 1,
            step: 1,
            version: "v2".into(),
            rejected: BTreeSet::new(),
            state: State::Serving,
            share: 0.5,
            route_shares: BTreeMap::new(),
            canaries: None,
            shifting: true,
            slow_ms: BTreeMap::from([("r".into(), 500)]),
        };
        let plans = Arc::new(BTreeMap::from([(Arc::from("desk"), plan)]));
        let mut versions = Versions::default();
        versions.update(&View { rollout_plans: plans, ..View::default() });
        let ticket = versions.record_sent(ms(0), "desk", &"r".into(), Cohort::Candidate, 1);
        versions.record_end(latency, "desk", ticket.expect("a rollout"), ending);
        versions.report(latency)[0].rows.iter().map(|(_, counts)| counts.bad).sum::<u64>()
    };
    assert_eq!(bad_after(Ending::Slow, ms(499)), 0);
    assert_eq!(bad_after(Ending::Slow, ms(501)), bad_after(Ending::Abandoned, ms(501)));
    assert_eq!(bad_after(Ending::Failed, ms(499)), 1);
}
