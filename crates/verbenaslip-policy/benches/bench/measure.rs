//! Computes the measures of a finished run.

use std::collections::BTreeMap;
use std::time::Duration;

use super::workload::{Caller, Workload};
use super::world::Simulation;

/// Describes the final outcome of a caller.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The answer is complete.
    Completed { late: bool, slow: bool, took: Duration },
    /// The request was refused and not retried within the caller's timeout.
    Refused { hinted: bool },
    /// The run was lost and not retried.
    Lost,
}

/// Holds the measures of one run.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// The share of callers with a complete answer on time, by team and class.
    pub rows: BTreeMap<(String, String), Share>,
    /// The price of the machines per answer at the latency target, in millionths of the currency
    /// unit. An answer is at target if it is complete on time and its first token arrived within
    /// the row's target.
    pub cost: f64,
    /// The price of the machines' busy time per answer at the latency target, in millionths of the
    /// currency unit.
    pub busy_cost: f64,
    /// The number of prompt tokens computed again, per thousand that had to be computed.
    pub recomputed: f64,
    /// Jain's fairness index of the weighted shares of teams in the two minutes after the top of
    /// the hour.
    pub jain: f64,
    /// The number of callers that followed a retry hint and were then served on time.
    pub good_hints: u32,
    /// The number of callers that followed a retry hint and were refused again or served late.
    pub bad_hints: u32,
    /// The number of refusals without a retry hint among final outcomes.
    pub unhinted: u32,
    /// The number of lost runs that may have run and were not retried.
    pub lost: u32,
    /// The number of callers without an answer or a refusal when the run ended.
    pub unsettled: u32,
}

/// Counts callers and the callers served on time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub total: u32,
    pub on_time: u32,
    pub late: u32,
    pub slow: u32,
    pub on_target: u32,
}

impl Share {
    /// Returns the percentage of answers that met the deadline and the target of the first token.
    pub fn target(&self) -> f64 {
        100.0 * f64::from(self.on_target) / f64::from(self.total.max(1))
    }

    pub fn percent(&self) -> f64 {
        100.0 * f64::from(self.on_time) / f64::from(self.total.max(1))
    }

    fn add(&mut self, outcome: Option<Outcome>) {
        self.total += 1;
        if let Some(Outcome::Completed { late, slow, .. }) = outcome {
            self.on_time += u32::from(!late);
            self.late += u32::from(late);
            self.slow += u32::from(slow);
            self.on_target += u32::from(!late && !slow);
        }
    }
}

impl Measures {
    /// Returns the counts of all callers.
    pub fn total(&self) -> Share {
        self.sum(|_, _| true)
    }

    /// Returns the counts of one class.
    pub fn class(&self, class: &str) -> Share {
        self.sum(|_, name| name == class)
    }

    /// Returns the percentage on time of the worst row.
    pub fn worst(&self) -> f64 {
        self.rows.values().map(Share::percent).fold(100.0, f64::min)
    }

    fn sum(&self, matches: impl Fn(&str, &str) -> bool) -> Share {
        let rows = self.rows.iter().filter(|((team, class), _)| matches(team, class));
        rows.fold(Share::default(), |sum, (_, share)| Share {
            total: sum.total + share.total,
            on_time: sum.on_time + share.on_time,
            late: sum.late + share.late,
            slow: sum.slow + share.slow,
            on_target: sum.on_target + share.on_target,
        })
    }
}

impl Workload {
    /// Returns the target for a caller's first token, in milliseconds.
    pub fn first_token_ms(&self, caller: &Caller) -> u64 {
        let row = self.table.row(&caller.head.team, &caller.head.class);
        u64::from(row.map_or(1_400, |row| row.first_token_ms))
    }
}

/// Computes the measures of a run.
pub fn measure(simulation: &Simulation, workload: &Workload) -> Measures {
    let mut measures = Measures::default();
    for state in simulation.caller_states() {
        let head = &state.caller.head;
        let row = (head.team.to_string(), head.class.to_string());
        measures.rows.entry(row).or_default().add(state.outcome);
        match state.outcome {
            Some(Outcome::Refused { hinted: false }) => measures.unhinted += 1,
            Some(Outcome::Lost) => measures.lost += 1,
            None => measures.unsettled += 1,
            _ => {}
        }
    }
    let on_target = f64::from(measures.total().on_target.max(1));
    measures.cost = simulation.price / on_target;
    measures.busy_cost = simulation.busy_price / on_target;
    measures.recomputed =
        1000.0 * simulation.recomputed as f64 / simulation.required_tokens.max(1) as f64;
    measures.jain = jain(simulation, workload);
    measures.good_hints = simulation.good_hints;
    measures.bad_hints = simulation.bad_hints;
    measures
}

/// Returns Jain's index of the work of each team served on time relative to the work to which its
/// weight entitles it.
fn jain(simulation: &Simulation, workload: &Workload) -> f64 {
    let mut teams: BTreeMap<&str, TeamShare> = BTreeMap::new();
    for state in simulation.caller_states() {
        let at = state.caller.at.as_secs_f64();
        let top = workload.span.top;
        if !(top..top + 120.0).contains(&at) {
            continue;
        }
        let head = &state.caller.head;
        let work = f64::from(head.prompt) / 8000.0 + f64::from(state.caller.tokens) * 0.0024;
        let row = workload.table.row(&head.team, &head.class);
        let team = teams.entry(head.team.as_str()).or_default();
        team.weight = f64::from(row.map_or(1, |row| row.weight));
        team.demand += work;
        if matches!(state.outcome, Some(Outcome::Completed { late: false, .. })) {
            team.served += work;
        }
    }
    let shares: Vec<TeamShare> = teams.into_values().collect();
    let entitled = share_by_weight(&shares, shares.iter().map(|share| share.served).sum());
    let ratios: Vec<f64> = shares
        .iter()
        .zip(entitled)
        .map(|(share, entitled_work)| share.served / entitled_work.max(1e-9))
        .collect();
    let (sum, squares) =
        ratios.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    if squares == 0.0 { 0.0 } else { sum * sum / (ratios.len() as f64 * squares) }
}

/// Holds a team's weight, its demand and its work served on time.
#[derive(Default)]
struct TeamShare {
    weight: f64,
    demand: f64,
    served: f64,
}

/// Divides `total` by weight, without exceeding the demand of any team.
fn share_by_weight(shares: &[TeamShare], total: f64) -> Vec<f64> {
    let mut assigned = vec![0.0; shares.len()];
    let mut remaining = total;
    for _ in 0..shares.len() {
        let unsatisfied: Vec<usize> =
            (0..shares.len()).filter(|i| assigned[*i] < shares[*i].demand - 1e-9).collect();
        let weights: f64 = unsatisfied.iter().map(|i| shares[*i].weight).sum();
        if unsatisfied.is_empty() || remaining <= 1e-9 {
            break;
        }
        let per_weight = remaining / weights;
        for index in unsatisfied {
            let add =
                (per_weight * shares[index].weight).min(shares[index].demand - assigned[index]);
            assigned[index] += add;
            remaining -= add;
        }
    }
    assigned
}
