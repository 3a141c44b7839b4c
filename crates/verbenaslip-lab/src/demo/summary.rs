//! The table at the end of a demo.

use crate::load::report::{Percentiles, Report};
use crate::load::verdict::Verdict;

/// Writes the summary.
pub(crate) fn print(report: &Report, verdict: &Verdict, revisions: &[(String, String)]) {
    println!();
    println!("{:<34}{:>10}", "requests", verdict.requests);
    println!("{:<34}{:>10}", "  answered whole", verdict.whole);
    println!("{:<34}{:>10}", "  refused, not run", verdict.refused);
    println!("{:<34}{:>10}", "  outcome unknown", verdict.unknown);
    println!("{:<34}{:>10}", "  other errors", verdict.errors);
    println!("{:<34}{:>10}", "  left by their callers", verdict.left);
    println!("{:<34}{:>10}", "  lost or cut off", verdict.lost + verdict.cut);
    println!("{:<34}{:>10}", "  doubled or mixed up", verdict.doubled + verdict.mixed);
    println!("{:<34}{:>10}", "runs of one key, at most", verdict.runs_max);
    println!("{:<34}{:>10}", "runs of one non-idempotent key", verdict.runs_max_once);
    println!("{:<34}{:>10}", "tokens generated", verdict.tokens.generated);
    println!("{:<34}{:>10}", "tokens computed again", verdict.tokens.again);
    println!("{:<34}{:>10}", "first token, p50 / p95", times(report.first));
    println!("{:<34}{:>10}", "between tokens, p50 / p95", times(report.between));
    println!("{:<34}{:>10}", "whole answer, p50 / p95", times(report.full));
    for (instance, revision) in revisions {
        println!("{:<34}{:>10}", format!("revision in force at {instance}"), revision);
    }
}

fn times(times: Percentiles) -> String {
    format!("{:.1} / {:.1} ms", times.p50 as f64 / 1000.0, times.p95 as f64 / 1000.0)
}
