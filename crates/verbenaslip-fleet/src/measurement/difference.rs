//! Limits of what one report can add to the measurements of a run.

use crate::measurement::Totals;

/// Maximum number of events of each kind in one report.
const MAX_EVENTS: u64 = 2_000;

/// Maximum wait for a first event, and maximum time of a prefill, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;

/// Range of possible prefill speeds in tokens per millisecond.
const SPEEDS: (f64, f64) = (1.0, 10_000.0);

/// Factor by which the speed in one report may differ from the known one; an upstream that is
/// slower for a moment, or that is warming up, stays within it. Since a slow report counts with all
/// of its time, a wrong clock at one instance would otherwise shift the average by far more than
/// the instance's share of the requests.
const MAX_SPEED_CHANGE: f64 = 4.0;

/// Maximum number of prompt tokens of a request.
const MAX_PROMPT_TOKENS: u64 = 1_000_000;

/// Holds what an instance has measured at one run between two of its reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// First events of answers.
    pub first_events: u64,
    /// Milliseconds by which these first events came later than the prefill of their prompts takes.
    pub wait_ms: u64,
    /// Prompt tokens of the prefills that met no queue.
    pub prefill_tokens: u64,
    /// Milliseconds that these prefills took.
    pub prefill_ms: u64,
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
            prefill_tokens: after.prefill_tokens.checked_sub(before.prefill_tokens)?,
            prefill_ms: after.prefill_ms.checked_sub(before.prefill_ms)?,
            answers: after.answers.checked_sub(before.answers)?,
            failures: after.failures.checked_sub(before.failures)?,
            refusals: after.refusals.checked_sub(before.refusals)?,
        })
    }

    /// Limits the difference to what one instance can have measured; `known_speed` is the known
    /// prefill speed in tokens per millisecond.
    #[must_use]
    pub fn clamped(self, known_speed: Option<f64>) -> Self {
        let first_events = self.first_events.min(MAX_EVENTS);
        let prefills = first_events.max(1);
        let prefill_tokens = self.prefill_tokens.min(prefills * MAX_PROMPT_TOKENS);
        let (lowest, highest) = known_speed.map_or(SPEEDS, |speed| {
            let lowest = (speed / MAX_SPEED_CHANGE).clamp(SPEEDS.0, SPEEDS.1);
            (lowest, (speed * MAX_SPEED_CHANGE).clamp(lowest, SPEEDS.1))
        });
        let tokens = prefill_tokens as f64;
        let prefill_ms = (self.prefill_ms as f64).clamp(tokens / highest, tokens / lowest);
        let excess = (prefill_ms / (prefills * MAX_WAIT_MS) as f64).max(1.0);
        Self {
            first_events,
            wait_ms: self.wait_ms.min(first_events * MAX_WAIT_MS),
            prefill_tokens: (tokens / excess).round() as u64,
            prefill_ms: (prefill_ms / excess).round() as u64,
            answers: self.answers.min(MAX_EVENTS),
            failures: self.failures.min(MAX_EVENTS),
            refusals: self.refusals.min(MAX_EVENTS),
        }
    }

    /// Adds the difference to totals.
    pub fn add_to(&self, totals: &mut Totals) {
        let add = |total: &mut u64, value: u64| *total = total.saturating_add(value);
        add(&mut totals.first_events, self.first_events);
        add(&mut totals.wait_ms, self.wait_ms);
        add(&mut totals.prefill_tokens, self.prefill_tokens);
        add(&mut totals.prefill_ms, self.prefill_ms);
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
