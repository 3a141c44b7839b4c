//! Compares what callers were told with what the back ends did.

use std::collections::BTreeMap;

use verbenaslip_base::data;

use super::outcome::{End, Outcome};
use super::report::Report;
use crate::engine::truth::{Run, Tokens, Truth};

/// New work this long after a back end began to leave is late, in milliseconds.
const LEAVING_LIMIT: u64 = 4_000;

/// Picks outcomes.
type Test<'a> = &'a dyn Fn(&Outcome) -> bool;

/// Judges a run.
#[data]
pub struct Verdict {
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
    /// Never got an answer.
    pub lost: u64,
    /// Began an answer that never became whole.
    pub cut: u64,
    /// Lost or cut off without a key, so that their callers could not come back.
    pub keyless: u64,
    /// Left before the end, as planned.
    pub left: u64,
    /// Tokens generated for those that had left, beyond what they had got.
    pub wasted: u64,
    /// Non-idempotent requests that ran more than once, and requests that got events again.
    pub doubled: u64,
    /// Got text that was not theirs or not in order.
    pub mixed: u64,
    /// Were told at every try that they were not run, and ran.
    pub not_run_but_ran: u64,
    /// Were told so after a connection of theirs had broken, and had run.
    pub not_run_after_break: u64,
    /// Idempotent requests that ended as an unknown outcome.
    pub unknown_idempotent: u64,
    /// Ended whole without any run known.
    pub whole_without_run: u64,
    /// The most runs of any request.
    pub runs_max: u64,
    /// The most runs of any non-idempotent request.
    pub runs_max_once: u64,
    /// Runs that began long after their back end had begun to leave.
    pub late_to_leaving: u64,
    /// Runs that were handed a wrong answer so far.
    pub wrong_resumes: u64,
    /// Tokens over all back ends.
    pub tokens: Tokens,
}

impl Verdict {
    /// Compares a report with all back ends' truth.
    pub fn new(report: &Report, truths: &[Truth]) -> Self {
        let runs = runs(truths);
        let of = |outcome: &Outcome| runs.get(&outcome.seed).copied().unwrap_or(0);
        let count =
            |test: Test<'_>| report.outcomes.iter().filter(|outcome| test(outcome)).count() as u64;
        let max = |test: Test<'_>| {
            report.outcomes.iter().filter(|outcome| test(outcome)).map(of).max().unwrap_or(0)
        };
        let refused_ran = |outcome: &Outcome| outcome.end == End::Refused && of(outcome) > 0;
        let twice = |outcome: &Outcome| !outcome.idempotent && of(outcome) > 1;
        Self {
            requests: report.requests,
            whole: report.whole,
            refused: report.refused,
            unknown: report.unknown,
            errors: report.errors,
            lost: report.lost,
            cut: report.cut,
            keyless: count(&|outcome| {
                !outcome.keyed && matches!(outcome.end, End::Cut | End::Lost)
            }),
            left: report.left,
            wasted: wasted(report, truths),
            doubled: count(&|outcome| twice(outcome) || outcome.doubled > 0),
            mixed: report.mixed,
            not_run_but_ran: count(&|outcome| refused_ran(outcome) && outcome.broken == 0),
            not_run_after_break: count(&|outcome| refused_ran(outcome) && outcome.broken > 0),
            unknown_idempotent: count(&|outcome| outcome.end == End::Unknown && outcome.idempotent),
            whole_without_run: count(&|outcome| outcome.end == End::Whole && of(outcome) == 0),
            runs_max: max(&|_| true),
            runs_max_once: max(&|outcome| !outcome.idempotent),
            late_to_leaving: truths.iter().map(late).sum(),
            wrong_resumes: all(truths).filter(|run| !run.matches).count() as u64,
            tokens: Truth::tokens(truths),
        }
    }

    /// Says whether every point holds that can be seen from outside, whatever was lost in the run.
    ///
    /// A caller without a key can't come back when its instance dies without a word, so that its
    /// request alone may end without an answer.
    pub fn holds(&self) -> bool {
        let broken = [
            self.lost + self.cut - self.keyless,
            self.doubled,
            self.mixed,
            self.not_run_but_ran,
            self.late_to_leaving,
            self.wrong_resumes,
        ];
        broken.iter().all(|count| *count == 0)
    }

    /// Says whether every point holds in a run in which all that was lost had been announced: then
    /// every request is answered, none ends as unknown, and none that was refused has run.
    pub fn holds_announced(&self) -> bool {
        let broken = [
            self.keyless,
            self.unknown,
            self.errors,
            self.not_run_after_break,
            self.whole_without_run,
        ];
        self.holds() && broken.iter().all(|count| *count == 0)
    }
}

/// Counts the runs that began to compute, by the number that stands for the request.
fn runs(truths: &[Truth]) -> BTreeMap<u64, u64> {
    let mut runs = BTreeMap::new();
    for run in all(truths).filter(|run| run.began_ms.is_some()) {
        *runs.entry(run.seed).or_default() += 1;
    }
    runs
}

fn all(truths: &[Truth]) -> impl Iterator<Item = &Run> {
    truths.iter().flat_map(|truth| &truth.runs)
}

/// Sums up what was generated beyond the last token of callers that had left.
fn wasted(report: &Report, truths: &[Truth]) -> u64 {
    let left = report.outcomes.iter().filter(|outcome| outcome.end == End::Left);
    let left: BTreeMap<u64, u32> = left.map(|outcome| (outcome.seed, outcome.tokens)).collect();
    let beyond = |run: &Run| Some(run.position.saturating_sub(*left.get(&run.seed)?));
    all(truths).filter_map(beyond).map(u64::from).sum()
}

fn late(truth: &Truth) -> u64 {
    let Some(leaving) = truth.leaving_ms else { return 0 };
    truth.runs.iter().filter(|run| run.accepted_ms > leaving + LEAVING_LIMIT).count() as u64
}
