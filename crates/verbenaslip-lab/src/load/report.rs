//! What all callers together saw.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use verbenaslip_base::data;

use super::outcome::{End, Outcome};

/// Sums up a run.
#[data]
pub struct Report {
    /// Requests that arrived.
    pub requests: u64,
    /// Ended whole.
    pub whole: u64,
    /// Ended as not run.
    pub refused: u64,
    /// Ended as an unknown outcome.
    pub unknown: u64,
    /// Ended with another error.
    pub errors: u64,
    /// Began an answer that never became whole.
    pub cut: u64,
    /// Never got an answer.
    pub lost: u64,
    /// Left before the end, as planned.
    pub left: u64,
    /// Got events again.
    pub doubled: u64,
    /// Got text that was not theirs or not in order.
    pub mixed: u64,
    /// Times that callers came back after a broken connection.
    pub resumed: u64,
    /// Times to the first token, in microseconds.
    pub first: Percentiles,
    /// Times between tokens, in microseconds.
    pub between: Percentiles,
    /// Times to the whole answer, in microseconds.
    pub full: Percentiles,
    /// The same ends by kind of request.
    pub works: BTreeMap<String, Count>,
    /// How often each error was given.
    pub codes: BTreeMap<String, u64>,
    /// Every request.
    pub outcomes: Vec<Outcome>,
}

/// Counts the ends of one kind of request.
#[data(default)]
pub struct Count {
    /// Requests that arrived.
    pub requests: u64,
    /// Ended whole.
    pub whole: u64,
    /// Ended as not run.
    pub refused: u64,
    /// Ended as an unknown outcome.
    pub unknown: u64,
    /// Ended otherwise.
    pub other: u64,
    /// Times to the first token, in microseconds.
    pub first: Percentiles,
    /// Times to the whole answer, in microseconds.
    pub full: Percentiles,
}

/// Holds percentiles in microseconds.
#[data(copy, default)]
pub struct Percentiles {
    /// How many were measured.
    pub count: u64,
    /// Half are below it.
    pub p50: u64,
    /// 95 in 100 are below it.
    pub p95: u64,
    /// 99 in 100 are below it.
    pub p99: u64,
    /// The largest.
    pub max: u64,
}

impl Report {
    /// Sums up all outcomes.
    pub fn new(outcomes: Vec<Outcome>) -> Self {
        let ended = |end| outcomes.iter().filter(|outcome| outcome.end == end).count() as u64;
        let whole = || outcomes.iter().filter(|outcome| outcome.end == End::Whole);
        let mut codes = BTreeMap::new();
        for code in outcomes.iter().filter_map(|outcome| outcome.code.as_ref()) {
            *codes.entry(code.clone()).or_default() += 1;
        }
        Self {
            requests: outcomes.len() as u64,
            whole: ended(End::Whole),
            refused: ended(End::Refused),
            unknown: ended(End::Unknown),
            errors: ended(End::Error),
            cut: ended(End::Cut),
            lost: ended(End::Lost),
            left: ended(End::Left),
            doubled: outcomes.iter().filter(|outcome| outcome.doubled > 0).count() as u64,
            mixed: outcomes.iter().filter(|outcome| outcome.mixed).count() as u64,
            resumed: outcomes.iter().map(|outcome| u64::from(outcome.broken)).sum(),
            first: Percentiles::new(whole().filter_map(|outcome| outcome.first_us)),
            between: Percentiles::new(
                whole().flat_map(|outcome| outcome.gaps_us.iter().copied().map(u64::from)),
            ),
            full: Percentiles::new(whole().map(|outcome| outcome.whole_us)),
            works: works(&outcomes),
            codes,
            outcomes,
        }
    }
}

impl Percentiles {
    /// Measures values.
    pub fn new(values: impl IntoIterator<Item = u64>) -> Self {
        let histogram = histogram(values);
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

/// Returns a histogram of microseconds with three digits.
pub(crate) fn histogram(values: impl IntoIterator<Item = u64>) -> Histogram<u64> {
    const DIGITS: u8 = 3;
    // One that grows by itself saturates at its first size, 2, when it records saturating.
    const HOUR: u64 = 3_600_000_000;
    let mut histogram =
        Histogram::new_with_max(HOUR, DIGITS).expect("three digits up to an hour are allowed");
    for value in values {
        histogram.saturating_record(value.max(1));
    }
    histogram
}

fn works(outcomes: &[Outcome]) -> BTreeMap<String, Count> {
    let mut groups: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        groups.entry(&outcome.work).or_default().push(outcome);
    }
    groups.into_iter().map(|(work, group)| (work.to_owned(), count(&group))).collect()
}

fn count(group: &[&Outcome]) -> Count {
    let ended = |end| group.iter().filter(|outcome| outcome.end == end).count() as u64;
    let whole = || group.iter().filter(|outcome| outcome.end == End::Whole);
    let requests = group.len() as u64;
    let (whole_count, refused, unknown) =
        (ended(End::Whole), ended(End::Refused), ended(End::Unknown));
    Count {
        requests,
        whole: whole_count,
        refused,
        unknown,
        other: requests - whole_count - refused - unknown,
        first: Percentiles::new(whole().filter_map(|outcome| outcome.first_us)),
        full: Percentiles::new(whole().map(|outcome| outcome.whole_us)),
    }
}
