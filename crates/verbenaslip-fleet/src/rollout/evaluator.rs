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
const WORSE: [f64; 3] = [0.1, 0.25, 0.6];

/// How much worse than the stable version a good candidate may look, as a factor and a share: its caches are cold.
const TOLERATED: (f64, f64) = (1.5, 0.04);

/// The highest share of bad answers that is still held against a candidate.
const HOPELESS: f64 = 0.7;

/// The log-likelihood ratio at which a candidate counts as worse, for one route and hypothesis: one in 200,000.
const ALARM: f64 = 12.2;

/// Answers of the stable version that are remembered of each route.
const MEMORY: f64 = 200.0;

/// The part of the canaries that is left out, the worst ones first: one in so many.
const LEFT_OUT: usize = 2;

/// The same for a candidate that has given many bad answers.
const LEFT_OUT_OF_MANY: usize = 3;

/// How many bad answers that is.
const MANY: u64 = 30;

/// The evidence, with no canary left out, at which a candidate doesn't take over yet.
const DOUBT: f64 = 4.0;

/// Holds the evidence against a candidate.
#[derive(Debug, Default)]
pub struct Evaluator {
    routes: BTreeMap<Arc<str>, Route>,
    overall: [Test; WORSE.len()],
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
struct Route {
    /// Answers of the stable version lately, and bad ones among them.
    stable: (f64, f64),
    tests: [Test; WORSE.len()],
}

/// Holds the evidence for one hypothesis since it last looked unlikely.
#[derive(Debug, Default)]
struct Test {
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
            self.routes.entry(route.clone()).or_default().remember(counts);
        }
        for ((route, group), counts) in fresh.iter().filter(|it| !stable(it)) {
            let route = self.routes.entry(route.clone()).or_default();
            let good = route.tolerated();
            for (at, worse) in WORSE.into_iter().enumerate() {
                let ratio = log_ratio(counts, good, worse);
                route.tests[at].add(*group, counts, ratio);
                self.overall[at].add(*group, counts, ratio);
            }
        }
        let routes = self.routes.iter_mut().map(|(name, route)| (Some(name), &mut route.tests));
        let mut all = routes.chain([(None, &mut self.overall)]);
        all.find_map(|(name, tests)| {
            let found = tests.iter_mut().find_map(Test::decide);
            found.map(|(ended, bad)| Evidence { route: name.cloned(), ended, bad })
        })
    }

    /// Tells whether the candidate looks worse on some route, though not yet surely.
    pub fn is_suspicious(&self) -> bool {
        let routes = self.routes.values().flat_map(|route| &route.tests);
        routes.chain(&self.overall).any(|test| test.sum() >= DOUBT)
    }
}

impl Route {
    /// Takes answers of the stable version.
    fn remember(&mut self, counts: &Counts) {
        let ended = as_f64(counts.ended);
        let kept = (1.0 - ended / MEMORY).max(0.0);
        self.stable = (self.stable.0 * kept + ended, self.stable.1 * kept + as_f64(counts.bad));
    }

    /// Returns the share of bad answers that is not held against a candidate.
    fn tolerated(&self) -> f64 {
        let (ended, bad) = self.stable;
        let stable = (bad + 0.5) / (ended + 10.0);
        (stable * TOLERATED.0 + TOLERATED.1).min(HOPELESS)
    }
}

impl Test {
    fn add(&mut self, group: Group, counts: &Counts, ratio: f64) {
        *self.groups.entry(group).or_default() += ratio;
        self.ended += counts.ended;
        self.bad += counts.bad;
    }

    /// Weighs the hypothesis; returns the answers and the bad ones among them if it holds.
    fn decide(&mut self) -> Option<(u64, u64)> {
        if self.sum() < 0.0 {
            *self = Self::default();
            return None;
        }
        (self.ratio() >= ALARM).then_some((self.ended, self.bad))
    }

    fn sum(&self) -> f64 {
        self.groups.values().sum()
    }

    /// Returns the log-likelihood ratio without the worst canaries.
    fn ratio(&self) -> f64 {
        let left_out = if self.bad >= MANY { LEFT_OUT_OF_MANY } else { LEFT_OUT };
        let all = self.groups.get(&Group::Candidate).copied().unwrap_or(0.0);
        let canaries = self.groups.iter().filter(|(group, _)| **group != Group::Candidate);
        let mut canaries: Vec<f64> = canaries.map(|(_, ratio)| *ratio).collect();
        canaries.sort_by(|one, other| other.total_cmp(one));
        all + canaries.iter().skip(canaries.len() / left_out).sum::<f64>()
    }
}

/// Returns how much likelier answers are if so many more of them are bad than of a good version's.
fn log_ratio(counts: &Counts, good: f64, worse: f64) -> f64 {
    let bad_share = (good + worse).min(0.98);
    let whole = as_f64(counts.ended.saturating_sub(counts.bad));
    whole * ((1.0 - bad_share) / (1.0 - good)).ln() + as_f64(counts.bad) * (bad_share / good).ln()
}
