//! How often the control thread is told how far an answer is.

use std::time::{Duration, Instant};

/// The least time between two reports.
const PACE: Duration = Duration::from_millis(50);

/// Spaces reports of a rising position.
///
/// The control thread would otherwise be woken for each token of each stream, and token rate, not
/// the number of requests, would bound what one instance carries.
#[derive(Default)]
pub(crate) struct Pace {
    told: Option<(u32, bool, Instant)>,
}

impl Pace {
    /// Says whether a report is due: the first with a token, the end, and others spaced in time.
    pub(crate) fn due(&mut self, position: u32, whole: bool) -> bool {
        let due = match self.told {
            None => position > 0 || whole,
            Some((told, ended, at)) => {
                (whole && !ended) || (position > told && at.elapsed() >= PACE)
            }
        };
        if due {
            self.note(position, whole);
        }
        due
    }

    /// Says whether the position was not told yet, whenever the last report was.
    pub(crate) fn behind(&mut self, position: u32) -> bool {
        let behind = position > self.told.map_or(0, |(told, ..)| told);
        if behind {
            self.note(position, false);
        }
        behind
    }

    fn note(&mut self, position: u32, whole: bool) {
        self.told = Some((position, whole, Instant::now()));
    }
}
