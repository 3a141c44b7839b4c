//! Measurements of upstreams that all entries share.
//!
//! Each entry reports [`Totals`] for the runs that it sends requests to. The leader combines them
//! into one [`Figure`] per run, which all entries receive. All of this is soft state: it is lost
//! with the instance that holds it and measured again.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_base::{data, hash};

use crate::upstream::Run;

/// Number of bits of a [`RunKey`]; with 7,800 runs, two of them share a key with a probability of
/// 1 in 9 million.
const RUN_KEY_BITS: u32 = 48;

/// Identifies a run in measurements by a hash, since names cost about 20 bytes each.
#[data(copy, ord, hash)]
pub struct RunKey(u64);

impl RunKey {
    /// Returns the key of a run.
    pub fn of(run: &Run) -> Self {
        let parts: [&[u8]; 2] = [run.upstream.as_str().as_bytes(), &run.incarnation.to_le_bytes()];
        Self(hash::narrow(&parts) >> (u64::BITS - RUN_KEY_BITS))
    }
}

/// Reports what an instance has measured at one run, as totals since it first used the run.
///
/// A report that is lost, duplicated or resent does no harm, since receivers use the differences
/// between the reports of one sender.
#[data(copy)]
pub struct Totals {
    /// The run.
    pub key: RunKey,
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
    /// Prompt tokens of requests in progress whose first event has not arrived.
    pub pending_tokens: u64,
    /// Requests in progress.
    pub active: u32,
}

impl Totals {
    /// Returns totals without any measurement.
    pub fn new(key: RunKey) -> Self {
        Self {
            key,
            first_events: 0,
            wait_ms: 0,
            prefill_tokens: 0,
            prefill_ms: 0,
            answers: 0,
            failures: 0,
            refusals: 0,
            pending_tokens: 0,
            active: 0,
        }
    }
}

/// Carries the figure of one run in an update.
#[data(copy)]
pub struct FigureReport {
    /// The run.
    pub key: RunKey,
    /// Prefill speed in hundredths of a token per millisecond; zero until it has been measured.
    pub speed: u32,
    /// Mean of the recent waits of first events beyond their own prefill, in milliseconds.
    pub wait_ms: u32,
    /// Prompt tokens of requests in progress whose first event has not arrived.
    pub pending_tokens: u32,
    /// Requests in progress.
    pub active: u32,
    /// First events per second, in tenths.
    pub events: u32,
    /// Recent share of failed answers, in thousandths.
    pub failures: u32,
    /// Time since the figure was last measured, in milliseconds.
    pub age_ms: u32,
}

/// Describes a run as measured by all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Prefill speed in tokens per millisecond, or `None` until it has been measured.
    pub tokens_per_ms: Option<f64>,
    /// Mean of the recent waits of first events beyond their own prefill, in milliseconds.
    pub wait_ms: f64,
    /// Prompt tokens of requests in progress at all entries whose first event has not arrived.
    pub pending_tokens: u64,
    /// Requests in progress at all entries.
    pub active: u32,
    /// First events per second.
    pub events_per_s: f64,
    /// Recent share of failed answers.
    pub failure_rate: f64,
    /// When the figure was measured, on the local monotonic clock.
    pub measured_at: Duration,
}

/// Figures of all runs that have been measured.
pub type Figures = HashMap<RunKey, Figure>;
