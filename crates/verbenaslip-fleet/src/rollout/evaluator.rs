//! Whether the candidate version of a service is worse than the stable one.
//!
//! A sequential test for each route: answers of the candidate are weighed under the hypothesis that it is as good
//! as the stable version is at that moment, and under several that it is worse (cumulative sums of log-likelihood
//! ratios). So it works with few samples, and a version that turns bad late is found as soon as one that was bad
//! from the start. Comparing both versions at the same moment keeps the loss of an availability zone, or a service
//! that fails part of its requests by nature, from counting against the candidate.
//!
//! The canaries with the worst record are left out, half of them. A version is bad on all its upstreams, while a
//! crashed or faulty upstream says nothing of its version.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::rollout::as_f64;
use crate::rollout::report::{Counts, Group, Key};

/// By how much more of its answers a worse version fails; the test is for each of these.
const ADDED_BAD_SHARES: [f64; 3] = [0.1, 0.25, 0.6];

/// How much worse than the stable version a good candidate may look, as a factor and a share: its caches are cold.
const TOLERANCE: (f64, f64) = (1.5, 0.04);

/// The highest share of bad answers that is still held against a candidate.
const MAX_TOLERATED_SHARE: f64 = 0.7;

/// The log-likelihood ratio at which a candidate counts as worse, for one route and hypothesis: one in 200,000.
const ALARM_RATIO: f64 = 12.2;

/// Answers of the stable version that are remembered of each route.
const BASELINE_ANSWERS: f64 = 200.0;

/// The part of the canaries that is left out, the worst ones first: one in so many.
const EXCLUDED_DIVISOR: usize = 2;

/// The same for a candidate that has given many bad answers.
const EXCLUDED_DIVISOR_MANY_BAD: usize = 3;

/// How many bad answers that is.
const MANY_BAD_ANSWERS: u64 = 30;

/// The evidence, with no canary left out, at which a candidate doesn't take over yet.
const SUSPICION_RATIO: f64 = 4.0;

/// Holds the evidence against a candidate.
#[derive(Debug, Default)]
pub struct Evaluator {
    routes: BTreeMap<Arc<str>, RouteEvidence>,
    overall: [HypothesisTest; ADDED_BAD_SHARES.len()],
}

/// Says why a candidate counts as worse.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The route on which it is; none for all of them together.
    pub route: Option<Arc<str>>,
    /// Answers of the candidate that were weighed.
    pub ended: u64,
    /// Those of them that were bad.
    pub bad: u64,
}

/// Holds the evidence on one route.
#[derive(Debug, Default)]
struct RouteEvidence {
    /// Answers of the stable version lately, and bad ones among them.
    stable: (f64, f64),
    tests: [HypothesisTest; ADDED_BAD_SHARES.len()],
}

/// Holds the evidence for one hypothesis since it last looked unlikely.
#[derive(Debug, Default)]
struct HypothesisTest {
    /// Log-likelihood ratios by group of upstreams.
    groups: BTreeMap<Group, f64>,
    ended: u64,
    bad: u64,
}

impl Evaluator {
    /// Takes what entries have reported since the last time; returns the evidence once it is enough.
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

    /// Tells whether the candidate looks worse on some route, though not yet surely.
    pub fn is_suspicious(&self) -> bool {
        let routes = self.routes.values().flat_map(|route| &route.tests);
        routes.chain(&self.overall).any(|test| test.sum() >= SUSPICION_RATIO)
    }
}

impl RouteEvidence {
    /// Takes answers of the stable version.
    fn add_baseline(&mut self, counts: &Counts) {
        let ended = as_f64(counts.ended);
        let kept_share = (1.0 - ended / BASELINE_ANSWERS).max(0.0);
        self.stable =
            (self.stable.0 * kept_share + ended, self.stable.1 * kept_share + as_f64(counts.bad));
    }

    /// Returns the share of bad answers that is not held against a candidate.
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

    /// Weighs the hypothesis; returns the answers and the bad ones among them if it holds.
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

/// Returns how much likelier answers are if so many more of them are bad than of a good version's.
fn log_ratio(counts: &Counts, good_share: f64, worse: f64) -> f64 {
    let bad_share = (good_share + worse).min(0.98);
    let good_answers = as_f64(counts.ended.saturating_sub(counts.bad));
    good_answers * ((1.0 - bad_share) / (1.0 - good_share)).ln()
        + as_f64(counts.bad) * (bad_share / good_share).ln()
}
