//! Limits of what one report can add to the measurements of a run.

use crate::measurement::Totals;

/// Maximum number of events of each kind in one report.
const MAX_EVENTS: u64 = 2_000;

/// Maximum wait for a first event, and maximum time of the measured part of a stream, in
/// milliseconds.
const MAX_WAIT_MS: u64 = 10_000;

/// Range of possible rates of a stream in events per second.
const RATES: (f64, f64) = (0.1, 10_000.0);

/// Factor by which the rate in one report may differ from the known one; an upstream that is
/// slower for a moment, or that is warming up, stays within it. Since a slow report counts with all
/// of its time, a wrong clock at one instance would otherwise shift the average by far more than
/// the instance's share of the requests.
const MAX_RATE_CHANGE: f64 = 4.0;

/// Maximum number of measured events of one answer.
const MAX_STREAM_EVENTS: u64 = 1_000;

/// Maximum number of prompt tokens of a request.
const MAX_PROMPT_TOKENS: u64 = 1_000_000;

/// Holds what an instance has measured at one run between two of its reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// First events of answers.
    pub first_events: u64,
    /// Milliseconds by which these first events came later than the prefill of their prompts takes.
    pub wait_ms: u64,
    /// Events of streams whose pace was measured.
    pub stream_events: u64,
    /// Milliseconds that these events take while nothing delays them.
    pub stream_ms: u64,
    /// Complete answers.
    pub answers: u64,
    /// Failed answers.
    pub failures: u64,
    /// Refusals because the upstream was full.
    pub refusals: u64,
}

impl Difference {
    /// Returns what was measured between two reports, or `None` if a total has decreased.
    pub fn between(before: &Totals, after: &Totals) -> Option<Self> {
        Some(Self {
            first_events: after.first_events.checked_sub(before.first_events)?,
            wait_ms: after.wait_ms.checked_sub(before.wait_ms)?,
            stream_events: after.stream_events.checked_sub(before.stream_events)?,
            stream_ms: after.stream_ms.checked_sub(before.stream_ms)?,
            answers: after.answers.checked_sub(before.answers)?,
            failures: after.failures.checked_sub(before.failures)?,
            refusals: after.refusals.checked_sub(before.refusals)?,
        })
    }

    /// Limits the difference to what one instance can have measured; `known_rate` is the known
    /// rate of a stream in events per second.
    #[must_use]
    pub fn clamped(self, known_rate: Option<f64>) -> Self {
        let first_events = self.first_events.min(MAX_EVENTS);
        let answers = self.answers.min(MAX_EVENTS);
        let streams = answers.max(1);
        let stream_events = self.stream_events.min(streams * MAX_STREAM_EVENTS);
        let (lowest, highest) = known_rate.map_or(RATES, |rate| {
            let lowest = (rate / MAX_RATE_CHANGE).clamp(RATES.0, RATES.1);
            (lowest, (rate * MAX_RATE_CHANGE).clamp(lowest, RATES.1))
        });
        let events = stream_events as f64;
        let (shortest_ms, longest_ms) = (events * 1_000.0 / highest, events * 1_000.0 / lowest);
        let stream_ms = (self.stream_ms as f64).clamp(shortest_ms, longest_ms);
        let excess = (stream_ms / (streams * MAX_WAIT_MS) as f64).max(1.0);
        Self {
            first_events,
            wait_ms: self.wait_ms.min(first_events * MAX_WAIT_MS),
            stream_events: (events / excess).round() as u64,
            stream_ms: (stream_ms / excess).round() as u64,
            answers,
            failures: self.failures.min(MAX_EVENTS),
            refusals: self.refusals.min(MAX_EVENTS),
        }
    }

    /// Adds the difference to totals.
    pub fn add_to(&self, totals: &mut Totals) {
        let add = |total: &mut u64, value: u64| *total = total.saturating_add(value);
        add(&mut totals.first_events, self.first_events);
        add(&mut totals.wait_ms, self.wait_ms);
        add(&mut totals.stream_events, self.stream_events);
        add(&mut totals.stream_ms, self.stream_ms);
        add(&mut totals.answers, self.answers);
        add(&mut totals.failures, self.failures);
        add(&mut totals.refusals, self.refusals);
    }
}

/// Limits the gauges of a report to what one instance can have in progress.
pub(super) fn clamp_gauges(report: &Totals) -> Totals {
    let active = u64::from(report.active).min(MAX_EVENTS);
    Totals {
        pending_tokens: report.pending_tokens.min(active * MAX_PROMPT_TOKENS),
        active: u32::try_from(active).unwrap_or(u32::MAX),
        ..*report
    }
}
