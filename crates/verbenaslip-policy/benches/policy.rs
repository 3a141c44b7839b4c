//! Prints the measures of the policy and its baselines, and the duration of its decisions.

mod bench;

use std::time::Instant;

use bench::workload::{LONG, Workload, kajlinjen, office};
use bench::world::Fault;

/// The seed of the printed workloads.
const SEED: u64 = 1;

fn main() {
    bench::speed::requests();
    bench::speed::limits();
    for workload in [kajlinjen(SEED, LONG), office(SEED, LONG)] {
        for fault in [Fault::Calm, Fault::Reclaim] {
            print(&workload, fault);
        }
    }
}

fn print(workload: &Workload, fault: Fault) {
    println!("\n{} {fault:?}, {} requests", workload.name, workload.callers.len());
    println!(
        "| policy | on time % | at target % | worst row % | cost | busy cost | again ‰ | Jain | good/bad hints | none | lost | by class % (at target %) | run s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut classes: Vec<String> =
        workload.callers.iter().map(|caller| caller.head.class.to_string()).collect();
    classes.sort();
    classes.dedup();
    let only_own = std::env::args().any(|arg| arg == "--ours");
    for name in bench::POLICIES.into_iter().take(if only_own { 1 } else { 4 }) {
        let start = Instant::now();
        let measures = bench::run(workload, name, fault);
        let by_class: Vec<String> = classes
            .iter()
            .map(|class| {
                let share = measures.class(class);
                format!("{class} {:.1} ({:.1})", share.percent(), share.target())
            })
            .collect();
        println!(
            "| {name} | {:.2} | {:.2} | {:.1} | {:.0} | {:.0} | {:.0} | {:.3} | {}/{} | {} | {} | {} | {:.2} |",
            measures.total().percent(),
            measures.total().target(),
            measures.worst(),
            measures.cost,
            measures.busy_cost,
            measures.recomputed,
            measures.jain,
            measures.good_hints,
            measures.bad_hints,
            measures.unhinted,
            measures.lost,
            by_class.join(", "),
            start.elapsed().as_secs_f64(),
        );
    }
}
