//! The pace of a stream: how fast its events follow each other while nothing delays them.

use std::time::Duration;

/// Number of gaps from which the pace of a stream is used.
const MIN_GAPS: usize = 8;

/// Number of gaps of a stream that are remembered; the first ones are as good as any.
const MAX_GAPS: usize = 64;

/// Collects the gaps between the events of one stream.
#[derive(Debug, Default)]
pub struct Gaps {
    gaps: Vec<Duration>,
}

/// Describes the pace of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Number of events that were measured.
    pub events: u32,
    /// Time that these events take while nothing delays the stream.
    pub duration: Duration,
}

impl Gaps {
    /// Records a gap between two events.
    pub fn record(&mut self, gap: Duration) {
        if self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap);
        }
    }

    /// Takes the pace of the stream; `None` if it had too few events.
    ///
    /// Prefills of other requests, queues and passing slowness only lengthen gaps, so the lower
    /// quartile shows the speed of the engine.
    pub fn take_pace(&mut self) -> Option<Pace> {
        let mut gaps = std::mem::take(&mut self.gaps);
        if gaps.len() < MIN_GAPS {
            return None;
        }
        let quartile = gaps.len() / 4;
        let (_, gap, _) = gaps.select_nth_unstable(quartile);
        let (gap, events) = (*gap, u32::try_from(gaps.len()).ok()?);
        (!gap.is_zero()).then_some(Pace { events, duration: gap * events })
    }
}
