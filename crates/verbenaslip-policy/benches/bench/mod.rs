//! Simulates the policy's decisions deterministically, with fake engines, workloads, baselines and
//! measures.

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

/// The names of the measured policies.
pub const POLICIES: [&str; 4] = ["verbenaslip", "no admission", "least loaded", "round robin"];

/// The names of the policies with which the project's policy is compared in CI.
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
