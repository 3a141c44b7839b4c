//! A deterministic bench of the decisions: fakes, workloads, baselines and counts.

#![allow(missing_docs, dead_code)]

pub mod engine;
pub mod measure;
pub mod policy;
pub mod speed;
pub mod workload;
pub mod world;

use measure::Measures;
use policy::{Baseline, Policy, ProjectPolicy};
use workload::Workload;
use world::Fault;

/// The policies that are measured, by name.
pub const POLICIES: [&str; 4] = ["verbenaslip", "no admission", "least loaded", "round robin"];

/// The policies that ours is held against in CI.
pub const BASELINES: [&str; 3] = ["no admission", "least loaded", "round robin"];

/// Returns a policy by name.
pub fn policy(name: &str, workload: &Workload) -> Box<dyn Policy> {
    match name {
        "verbenaslip" => Box::new(ProjectPolicy::new(&workload.table, &workload.zones, true)),
        "no admission" => Box::new(ProjectPolicy::new(&workload.table, &workload.zones, false)),
        "least loaded" => Box::new(Baseline::new(true)),
        _ => Box::new(Baseline::new(false)),
    }
}

/// Runs one case.
pub fn run(workload: &Workload, name: &str, fault: Fault) -> Measures {
    world::run(workload, policy(name, workload), fault)
}
