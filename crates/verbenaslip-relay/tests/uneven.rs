//! Whether 82 entries spread requests over engines of different speeds by late figures.
//!
//! Admission queues, early failover and passing slowness are not modeled; see `docs/design/load.md`.

use std::sync::LazyLock;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_relay::policy::placement::Sharing;

use crate::model::{
    ENGINES, FIRST_EVENT, LIMITS_MS, MS, Model, Policy, Request, SECOND, WARM_UP, draw, draw_all,
};

mod common;
mod model;

/// As in `deploy/instance.ini`.
const SHARING: Sharing = Sharing { min_slots: 64, min_entries: 16 };
const NOT_SHARED: Sharing = Sharing { min_slots: 0, min_entries: 0 };
/// Factors for the rates of the classes at which the placement without shared measurements keeps
/// the engines busy for 45% and for 75% of the time.
const LOADS: [f64; 2] = [1.42, 2.3];
/// Seconds at which bursts of 400 requests begin.
const BURSTS: [u64; 5] = [16, 20, 24, 28, 32];
const LAST_ARRIVAL: u64 = 38 * SECOND;

type Condition = (&'static str, Policy);
const CONDITIONS: [Condition; 5] = [
    ("reference", None),
    ("not shared", Some((NOT_SHARED, 400 * MS, 0.0))),
    ("shared", Some((SHARING, 400 * MS, 0.0))),
    ("a third lost", Some((SHARING, 400 * MS, 1.0 / 3.0))),
    ("two seconds old", Some((SHARING, 2 * SECOND, 0.0))),
];

static RESULTS: LazyLock<Vec<Outcome>> = LazyLock::new(|| results(LOADS[0], &CONDITIONS));

struct Outcome {
    /// Work of the busiest engine divided by its speed, as a multiple of the mean.
    busiest: f64,
    /// 99th percentile of first events; infinite if too many requests get none.
    p99_ms: f64,
    /// Requests whose first event comes after its objective, or never.
    late: usize,
    description: String,
}

fn evaluate(model: &Model) -> Outcome {
    let busy: Vec<f64> = model.engines.iter().map(|it| it.busy as f64).collect();
    let mean = busy.iter().sum::<f64>() / busy.len() as f64;
    let by_speed = [0, 1, 2].map(|at| busy.iter().skip(at).step_by(3).sum::<f64>() / mean / 20.0);
    let busiest = busy.iter().copied().fold(0.0, f64::max) / mean;
    let latency = |it: &Request| it.latency.map_or(f64::INFINITY, |at| at as f64 / MS as f64);
    let counted = || model.requests.iter().filter(|it| it.arrived_at >= WARM_UP);
    let late = counted().filter(|it| latency(it) > LIMITS_MS[it.class].0 as f64).count();
    let mut latencies: Vec<f64> = counted().map(latency).collect();
    latencies.sort_unstable_by(f64::total_cmp);
    let p99_ms = latencies[(latencies.len() * 99).div_ceil(100) - 1];
    let description = format!(
        "busy {:.2}, busiest {busiest:.2} (slow, middle, fast {by_speed:.2?}), p99 {p99_ms:.0} ms, \
         {late} late, of these {} refused, of {}",
        mean / (LAST_ARRIVAL - WARM_UP) as f64,
        latencies.iter().filter(|it| it.is_infinite()).count(),
        latencies.len()
    );
    Outcome { busiest, p99_ms, late, description }
}

/// Runs the requests under several conditions at once.
fn run_all<T: Send>(requests: &[Request], by: &[Condition], summary: fn(&Model) -> T) -> Vec<T> {
    std::thread::scope(|scope| {
        let run = |policy| scope.spawn(move || summary(&Model::run(requests, policy)));
        let runs: Vec<_> = by.iter().map(|it| run(it.1)).collect();
        runs.into_iter().map(|run| run.join().expect("a result")).collect()
    })
}

fn results(load: f64, by: &[Condition]) -> Vec<Outcome> {
    let requests = draw_all(&mut Pcg64::seed_from_u64(82), load, LAST_ARRIVAL);
    run_all(&requests, by, evaluate)
}

fn print(results: &[Outcome]) {
    CONDITIONS.iter().zip(results).for_each(|it| println!("{}: {}", it.0.0, it.1.description));
}

/// Returns whether sharing makes first events at p99 and late requests at least a third fewer.
fn is_third_better(results: &[Outcome]) -> bool {
    print(results);
    let (before, after) = (&results[1], &results[2]);
    let late = after.late as f64 / before.late as f64;
    after.p99_ms / before.p99_ms <= 2.0 / 3.0 && late <= 2.0 / 3.0
}

/// Guards against shared figures that help less than they cost.
#[test]
fn sharing_makes_first_events_a_third_earlier_and_late_ones_a_third_fewer() {
    assert!(is_third_better(&RESULTS));
}

/// Guards against homes by hash alone, which give slow engines as many prompts as fast ones, against
/// queues at some engines while others are idle, and against a gain that ends with rising load.
///
/// Reports all bounds that are exceeded.
#[test]
fn uneven_engines_meet_the_bounds_of_the_design() {
    let high = std::thread::spawn(|| results(LOADS[1], &CONDITIONS[..3]));
    let mut exceeded = Vec::new();
    // The fixed time after each prefill would make the second bound easier to meet.
    let (fixed, reference) = (FIRST_EVENT as f64 / MS as f64, RESULTS[0].p99_ms);
    for ((name, _), result) in CONDITIONS.iter().zip(&*RESULTS).skip(2) {
        let ratio = (result.p99_ms - fixed) / (reference - fixed);
        if result.busiest > 1.3 {
            exceeded.push(format!("{name}: busiest has {:.2} times the mean work", result.busiest));
        }
        if ratio > 1.5 {
            exceeded.push(format!("{name}: p99 is {ratio:.2} times that of a single queue"));
        }
    }
    if !is_third_better(&high.join().expect("results")) {
        exceeded.push("at 75% load, sharing helps by less than a third".to_owned());
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against entries that all send to the same upstreams by the same late figures.
#[test]
fn burst_is_not_sent_to_a_few_upstreams() {
    let mut rng = Pcg64::seed_from_u64(400);
    let mut requests = draw_all(&mut rng, LOADS[0], 35 * SECOND);
    for number in 0..400 * BURSTS.len() {
        let at = BURSTS[number / 400] * SECOND + rng.random_range(0..300 * MS);
        requests.push(draw(&mut rng, at));
    }
    let largest = run_all(&requests, &CONDITIONS[1..], |model| {
        let total: f64 = model.engines.iter().map(|it| it.speed).sum();
        let sent = &model.requests[model.requests.len() - 400 * BURSTS.len()..];
        let share = |engine: usize, burst: u64| {
            let is_there = |it: &&Request| it.latency.is_some() && it.engine == engine;
            let received =
                sent.iter().filter(is_there).filter(|it| it.arrived_at / SECOND == burst);
            received.count() as f64 / (400.0 * model.engines[engine].speed / total)
        };
        let shares = (0..ENGINES).flat_map(|engine| BURSTS.map(|burst| share(engine, burst)));
        shares.fold(0.0, f64::max)
    });
    println!("not shared, usual, a third lost, old: {largest:.2?}");
    assert!(largest[1..].iter().all(|it| *it <= 3.0), "{largest:.2?} times the fair share");
}
