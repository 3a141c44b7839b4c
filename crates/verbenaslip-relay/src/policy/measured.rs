//! What this entry reports to the fleet about one run of an upstream.

use std::time::Duration;

use verbenaslip_fleet::measurement::{RunKey, Totals};

use crate::policy::pace::Pace;
use crate::policy::upstream_state::Ending;

/// Longest wait of one first event that is counted, as at the leader.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Sums this entry's measurements of one run; fractions of milliseconds are kept.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Measured {
    first_events: u64,
    wait_ms: f64,
    stream_events: u64,
    stream_time: Duration,
    answers: u64,
    failures: u64,
    refusals: u64,
}

impl Measured {
    /// Records the wait of a first event beyond the prefill of its own prompt.
    pub(crate) fn record_first_event(&mut self, wait_ms: f64) {
        self.first_events += 1;
        self.wait_ms += wait_ms.clamp(0.0, MAX_WAIT.as_secs_f64() * 1_000.0);
    }

    /// Records the pace of a stream.
    pub(crate) fn record_pace(&mut self, pace: Pace) {
        self.stream_events += u64::from(pace.events);
        self.stream_time += pace.duration;
    }

    /// Records the end of a request.
    pub(crate) fn record_end(&mut self, ending: Ending) {
        match ending {
            Ending::Complete => self.answers += 1,
            Ending::Failed | Ending::Unreachable => self.failures += 1,
            Ending::Full => self.refusals += 1,
            Ending::CoolingDown | Ending::Abandoned | Ending::Slow => {}
        }
    }

    /// Returns the totals with the gauges of this moment.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Positive and far below 2^53.
    pub(crate) fn totals(&self, key: RunKey, pending_tokens: u64, active: u32) -> Totals {
        Totals {
            key,
            first_events: self.first_events,
            wait_ms: self.wait_ms as u64,
            stream_events: self.stream_events,
            stream_ms: u64::try_from(self.stream_time.as_millis()).unwrap_or(u64::MAX),
            answers: self.answers,
            failures: self.failures,
            refusals: self.refusals,
            pending_tokens,
            active,
        }
    }
}
