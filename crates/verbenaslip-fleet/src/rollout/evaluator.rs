//! Statistical comparison of a service's candidate version with the stable one.
//!
//! For each route, a sequential test weighs the candidate's answers under the hypothesis that the
//! candidate is as good as the stable version is at that moment, and under several hypotheses that
//! it is worse (cumulative sums of log-likelihood ratios). The test therefore works with few
//! samples, and finds a version that turns bad late as quickly as one that was bad from the start.
//! Because both versions are compared at the same moment, neither the loss of an availability zone
//! nor a service that always fails part of its requests counts against the candidate.
//!
//! Half of the canaries, those with the worst record, are excluded. A bad version is bad on all its
//! upstreams, while a crashed or faulty upstream says nothing about its version.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::rollout::as_f64;
use crate::rollout::report::{Counts, Group, Key};

/// Share by which a worse version fails more of its answers; each value is tested as one
/// hypothesis.
const ADDED_BAD_SHARES: [f64; 3] = [0.1, 0.25, 0.6];

/// How much worse than the stable version a good candidate may look, as a factor and an added
/// share, since its caches are cold.
const TOLERANCE: (f64, f64) = (1.5, 0.04);

/// Upper limit of the share of bad answers that is tolerated.
const MAX_TOLERATED_SHARE: f64 = 0.7;

/// Log-likelihood ratio at which a candidate counts as worse: one false alarm in 200,000 for one
/// route and hypothesis.
const ALARM_RATIO: f64 = 12.2;

/// Number of the stable version's answers that are remembered for each route.
const BASELINE_ANSWERS: f64 = 200.0;

/// Divisor of the number of canaries that gives how many are excluded, the worst ones first.
const EXCLUDED_DIVISOR: usize = 2;

/// The same for a candidate that has given many bad answers.
const EXCLUDED_DIVISOR_MANY_BAD: usize = 3;

/// Number of bad answers from which on there are many.
const MANY_BAD_ANSWERS: u64 = 30;

/// Log-likelihood ratio, with no canary excluded, at which a candidate does not take over yet.
const SUSPICION_RATIO: f64 = 4.0;

/// Collects the evidence against a candidate.
#[derive(Debug, Default)]
pub struct Evaluator {
    routes: BTreeMap<Arc<str>, RouteEvidence>,
    overall: [HypothesisTest; ADDED_BAD_SHARES.len()],
}

/// Describes the evidence that a candidate is worse.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The route that shows it; none for all routes together.
    pub route: Option<Arc<str>>,
    /// The number of the candidate's answers that were evaluated.
    pub ended: u64,
    /// The number of bad answers among them.
    pub bad: u64,
}

/// Holds the evidence on one route.
#[derive(Debug, Default)]
struct RouteEvidence {
    /// The recent answers of the stable version, and the bad ones among them.
    stable: (f64, f64),
    tests: [HypothesisTest; ADDED_BAD_SHARES.len()],
}

/// Holds the evidence for one hypothesis since the hypothesis last looked unlikely.
#[derive(Debug, Default)]
struct HypothesisTest {
    /// Log-likelihood ratios by group of upstreams.
    groups: BTreeMap<Group, f64>,
    ended: u64,
    bad: u64,
}

impl Evaluator {
    /// Evaluates what entries have reported since the last call; returns the evidence once it
    /// suffices.
    pub fn evaluate(&mut self, fresh: &BTreeMap<Key, Counts>) -> Option<Evidence> {
        let stable = |it: &(&Key, &Counts)| it.0.1 == Group::Stable;
        for ((route, _), counts) in fresh.iter().filter(stable) {
            self.routes.entry(route.clone()).or_default().add_baseline(counts);
        }
        for ((route, group), counts) in fresh.iter().filter(|it| !stable(it)) {
            let route = self.routes.entry(route.clone()).or_default();
            let good_share = route.tolerated_share();
            for (at, worse) in ADDED_BAD_SHARES.into_iter().enumerate() {
                let log_ratio = log_ratio(counts, good_share, worse);
                route.tests[at].add(*group, counts, log_ratio);
                self.overall[at].add(*group, counts, log_ratio);
            }
        }
        let routes = self.routes.iter_mut().map(|(name, route)| (Some(name), &mut route.tests));
        let mut all = routes.chain([(None, &mut self.overall)]);
        all.find_map(|(name, tests)| {
            let found = tests.iter_mut().find_map(HypothesisTest::decide);
            found.map(|(ended, bad)| Evidence { route: name.cloned(), ended, bad })
        })
    }

    /// Returns whether the candidate looks worse on some route, though not with certainty yet.
    pub fn is_suspicious(&self) -> bool {
        let routes = self.routes.values().flat_map(|route| &route.tests);
        routes.chain(&self.overall).any(|test| test.sum() >= SUSPICION_RATIO)
    }
}

impl RouteEvidence {
    /// Adds answers of the stable version.
    fn add_baseline(&mut self, counts: &Counts) {
        let ended = as_f64(counts.ended);
        let kept_share = (1.0 - ended / BASELINE_ANSWERS).max(0.0);
        self.stable =
            (self.stable.0 * kept_share + ended, self.stable.1 * kept_share + as_f64(counts.bad));
    }

    /// Returns the share of bad answers that does not count against a candidate.
    fn tolerated_share(&self) -> f64 {
        let (ended, bad) = self.stable;
        let stable = (bad + 0.5) / (ended + 10.0);
        (stable * TOLERANCE.0 + TOLERANCE.1).min(MAX_TOLERATED_SHARE)
    }
}

impl HypothesisTest {
    fn add(&mut self, group: Group, counts: &Counts, log_ratio: f64) {
        *self.groups.entry(group).or_default() += log_ratio;
        self.ended += counts.ended;
        self.bad += counts.bad;
    }

    /// Decides the hypothesis; returns the number of answers and of bad ones among them if it
    /// holds.
    fn decide(&mut self) -> Option<(u64, u64)> {
        if self.sum() < 0.0 {
            *self = Self::default();
            return None;
        }
        (self.log_ratio() >= ALARM_RATIO).then_some((self.ended, self.bad))
    }

    fn sum(&self) -> f64 {
        self.groups.values().sum()
    }

    /// Returns the log-likelihood ratio without the worst canaries.
    fn log_ratio(&self) -> f64 {
        let divisor =
            if self.bad >= MANY_BAD_ANSWERS { EXCLUDED_DIVISOR_MANY_BAD } else { EXCLUDED_DIVISOR };
        let all = self.groups.get(&Group::Candidate).copied().unwrap_or(0.0);
        let canaries = self.groups.iter().filter(|(group, _)| **group != Group::Candidate);
        let mut canaries: Vec<f64> = canaries.map(|(_, log_ratio)| *log_ratio).collect();
        canaries.sort_by(|one, other| other.total_cmp(one));
        all + canaries.iter().skip(canaries.len() / divisor).sum::<f64>()
    }
}

/// Returns the log-likelihood ratio of a version that gives bad answers more often, by `worse`,
/// over a good version.
fn log_ratio(counts: &Counts, good_share: f64, worse: f64) -> f64 {
    let bad_share = (good_share + worse).min(0.98);
    let good_answers = as_f64(counts.ended.saturating_sub(counts.bad));
    good_answers * ((1.0 - bad_share) / (1.0 - good_share)).ln()
        + as_f64(counts.bad) * (bad_share / good_share).ln()
}
