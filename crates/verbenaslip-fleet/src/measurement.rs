//! Measurements of upstreams that all entries share.
//!
//! Each entry reports [`Totals`] for the runs that it sends requests to. The leader combines them
//! into one [`Figure`] per run, which all entries receive. All of this is soft state: it is lost
//! with the instance that holds it and measured again.
//!
//! 1. [`reporter`] selects the totals that a heartbeat contains.
//! 2. [`collector`] sums what several senders report. A core reports these sums as its own totals,
//!    and [`difference`] limits what one report can add to them.
//! 3. [`average`] calculates the figure of a run.
//! 4. [`publisher`] selects the figures that an answer contains.
//! 5. [`summary`] lists the runs that differ most, for the event log.

pub mod average;
pub mod collector;
pub mod difference;
pub mod publisher;
pub(crate) mod reporter;
pub mod summary;

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_base::{data, hash};

use crate::upstream::Run;

/// Number of bits of a [`RunKey`]; with 7,800 runs, two of them share a key with a probability of
/// 1 in 9 million.
const RUN_KEY_BITS: u32 = 48;

/// Maximum number of totals in a heartbeat.
pub const MAX_REPORTED_TOTALS: usize = 512;

/// Age from which a figure is dropped.
pub const MAX_FIGURE_AGE: Duration = Duration::from_secs(10);

/// Hundredths of a token per millisecond in one token per millisecond.
const RATE_UNIT: f64 = 100.0;

/// Tenths of an event per second in one event per second.
const EVENT_UNIT: f64 = 10.0;

/// Thousandths in a whole.
const SHARE_UNIT: f64 = 1_000.0;

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
    /// Events of streams whose pace was measured.
    pub stream_events: u64,
    /// Milliseconds that these events take at the pace of their streams while nothing delays them.
    pub stream_ms: u64,
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
            stream_events: 0,
            stream_ms: 0,
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
    /// Events per second of one stream, in hundredths; zero until it has been measured.
    pub rate: u32,
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

impl FigureReport {
    /// Returns the report of a figure at the time `now`.
    pub fn new(key: RunKey, figure: &Figure, now: Duration) -> Self {
        Self {
            key,
            rate: rounded(figure.stream_rate.unwrap_or_default() * RATE_UNIT),
            wait_ms: rounded(figure.wait_ms),
            pending_tokens: u32::try_from(figure.pending_tokens).unwrap_or(u32::MAX),
            active: figure.active,
            events: rounded(figure.events_per_s * EVENT_UNIT),
            failures: rounded(figure.failure_rate * SHARE_UNIT),
            age_ms: millis(now.saturating_sub(figure.measured_at)),
        }
    }

    /// Returns the figure of a report that was sent at the time `sent_at`.
    pub fn figure(&self, sent_at: Duration) -> Figure {
        Figure {
            stream_rate: (self.rate > 0).then(|| f64::from(self.rate) / RATE_UNIT),
            wait_ms: f64::from(self.wait_ms),
            pending_tokens: u64::from(self.pending_tokens),
            active: self.active,
            events_per_s: f64::from(self.events) / EVENT_UNIT,
            failure_rate: f64::from(self.failures) / SHARE_UNIT,
            measured_at: sent_at.saturating_sub(Duration::from_millis(self.age_ms.into())),
        }
    }
}

/// Describes a run as measured by all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Events per second of one stream while nothing delays it, or `None` until it has been
    /// measured. Engines of one service differ in speed, and this follows it without the queues and
    /// unknown cache contents that first events depend on.
    pub stream_rate: Option<f64>,
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

/// Returns the age of the oldest figure, or `None` without figures.
pub fn oldest_age(figures: &Figures, now: Duration) -> Option<Duration> {
    figures.values().map(|figure| now.saturating_sub(figure.measured_at)).max()
}

/// Rounds a value that is not negative; values that do not fit become the nearest one that does.
fn rounded(value: f64) -> u32 {
    value.round() as u32
}

/// Returns a time in milliseconds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
