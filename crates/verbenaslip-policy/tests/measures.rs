//! Checks regression bounds on the policy's measures, all counted with fixed seeds.
//!
//! The time spans are shorter than those of the printed figures, so that the tests run without
//! optimization.

#[path = "../benches/bench/mod.rs"]
mod bench;

use bench::measure::Measures;
use bench::workload::{SHORT, Workload, kajlinjen, office};
use bench::world::Fault;

/// The seed of the workloads; it differs from the seed of the printed figures.
const SEED: u64 = 2;

/// Bounds that the policy must meet in one case, independent of the baselines.
struct Bounds {
    on_time: f64,
    at_target: f64,
    worst_row: f64,
    cost: f64,
    recomputed: f64,
    jain: f64,
    /// The number of bad retry hints per hundred good ones.
    bad_hints: u32,
}

#[test]
fn kajlinjen_in_a_calm_hour() {
    check(
        &kajlinjen(SEED, SHORT),
        Fault::Calm,
        &Bounds {
            on_time: 96.5,
            at_target: 74.0,
            worst_row: 75.0,
            cost: 690.0,
            recomputed: 150.0,
            jain: 0.98,
            bad_hints: 60,
        },
    );
}

#[test]
fn kajlinjen_with_a_zone_reclaimed_at_the_top_of_the_hour() {
    check(
        &kajlinjen(SEED, SHORT),
        Fault::Reclaim,
        &Bounds {
            on_time: 84.0,
            at_target: 59.0,
            worst_row: 48.0,
            cost: 770.0,
            recomputed: 225.0,
            jain: 0.97,
            bad_hints: 80,
        },
    );
}

#[test]
fn the_office_in_a_calm_hour() {
    check(
        &office(SEED, SHORT),
        Fault::Calm,
        &Bounds {
            on_time: 99.9,
            at_target: 98.5,
            worst_row: 99.0,
            cost: 550.0,
            recomputed: 750.0,
            jain: 0.99,
            bad_hints: 10,
        },
    );
}

#[test]
fn the_office_with_a_zone_reclaimed_at_the_top_of_the_hour() {
    check(
        &office(SEED, SHORT),
        Fault::Reclaim,
        &Bounds {
            on_time: 99.9,
            at_target: 97.5,
            worst_row: 99.0,
            cost: 505.0,
            recomputed: 950.0,
            jain: 0.99,
            bad_hints: 10,
        },
    );
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let workload = office(SEED, bench::workload::Span { top: 5.0, arrivals: 20.0 });
    let run = || format!("{:?}", bench::run(&workload, "verbenaslip", Fault::Reclaim));
    assert_eq!(run(), run());
}

fn check(workload: &Workload, fault: Fault, bounds: &Bounds) {
    let measures = bench::run(workload, "verbenaslip", fault);
    check_bounds(&measures, bounds);
    for name in bench::BASELINES {
        let baseline = bench::run(workload, name, fault);
        let (own_percent, baseline_percent) =
            (measures.total().percent(), baseline.total().percent());
        assert!(
            own_percent >= baseline_percent,
            "{own_percent} % on time, {baseline_percent} % with {name}"
        );
        assert!(
            measures.recomputed <= baseline.recomputed * 1.02,
            "{} recomputed with {name}",
            baseline.recomputed
        );
    }
    assert_eq!(measures.lost, 0, "a run that may not be retried was lost");
    assert_eq!(measures.unsettled, 0, "some callers got neither an answer nor a refusal");
}

fn check_bounds(measures: &Measures, bounds: &Bounds) {
    let total = measures.total();
    assert!(total.percent() >= bounds.on_time, "{} % on time", total.percent());
    assert!(total.target() >= bounds.at_target, "{} % at target", total.target());
    assert!(measures.worst() >= bounds.worst_row, "{} % in the worst row", measures.worst());
    assert!(measures.cost <= bounds.cost, "cost of {} per answer at target", measures.cost);
    assert!(
        measures.recomputed <= bounds.recomputed,
        "{} of 1,000 tokens recomputed",
        measures.recomputed
    );
    assert!(measures.jain >= bounds.jain, "Jain's index is {}", measures.jain);
    let bad = measures.bad_hints * 100 / measures.good_hints.max(1);
    assert!(
        bad <= bounds.bad_hints,
        "{} bad hints and {} good hints",
        measures.bad_hints,
        measures.good_hints
    );
    assert_eq!(measures.unhinted, 0, "some refusals have no retry hint");
}
