//! Ages that are sent between instances, and a clock that detects pauses of the process.

use std::time::Duration;

use verbenaslip_base::data;

/// Resolution of an age; also added at every hop to account for the transmission time.
const AGE_UNIT: Duration = Duration::from_millis(25);

/// Gap between two steps beyond which the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// Time after a pause during which arriving datagrams may have waited in the socket buffer.
const BUFFER_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Offset added to every time from the caller, so that subtracting an age cannot go below zero.
const TIME_OFFSET: Duration = Duration::from_secs(86_400);

/// Time since a fact was true, in units of 25 ms, rounded up; 255 is longer than any lease.
///
/// Ages are sent instead of timestamps because instances share no clock. Transmission time beyond
/// one unit is not counted, nor is a process pause of less than 0.7 s.
#[data(copy, ord, hash)]
pub struct Age(pub u8);

impl Age {
    /// Age that is too high to confirm anything.
    pub(crate) const EXPIRED: Self = Self(u8::MAX);

    /// Returns the age of `then` for a datagram sent at `now`, plus one unit for transmission.
    pub(crate) fn since(now: Duration, then: Duration) -> Self {
        let units = now.saturating_sub(then).as_millis().div_ceil(AGE_UNIT.as_millis()) + 1;
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// Returns the time that the age refers to, for a datagram that arrives at `now`.
    ///
    /// `lag` is added to the age. Returns `None` when the age is [`Age::EXPIRED`].
    pub(crate) fn to_time(self, now: Duration, lag: Duration) -> Option<Duration> {
        if self == Self::EXPIRED {
            return None;
        }
        now.checked_sub(AGE_UNIT * u32::from(self.0) + lag)
    }
}

/// Clock that never goes back and detects pauses of the process.
pub(crate) struct Clock {
    now: Duration,
    /// Length of the last pause.
    lag: Duration,
    /// Time until which the pause is added to ages.
    lag_until: Duration,
}

/// Result of advancing the clock.
pub(crate) struct ClockStep {
    /// Current internal time.
    pub(crate) now: Duration,
    /// Length of the pause when this step is the first one after a pause.
    pub(crate) paused_for: Option<Duration>,
}

impl Clock {
    /// Creates a clock at the given time.
    pub(crate) fn new(now: Duration) -> Self {
        Self { now: now + TIME_OFFSET, lag: Duration::ZERO, lag_until: Duration::ZERO }
    }

    /// Advances the clock to the given time.
    ///
    /// Datagrams that waited in the socket buffer during a pause carry ages from before it, so an
    /// upstream that died during the pause would look fresh. The ages of all datagrams that arrive
    /// shortly after a pause are therefore increased by the length of the pause.
    pub(crate) fn advance(&mut self, now: Duration) -> ClockStep {
        let now = self.now.max(now.saturating_add(TIME_OFFSET));
        let gap = now - self.now;
        self.now = now;
        let paused_for = (gap > PAUSE_THRESHOLD).then_some(gap);
        if let Some(gap) = paused_for {
            self.lag = gap;
            self.lag_until = now + BUFFER_DRAIN_TIME;
        }
        ClockStep { now, paused_for }
    }

    /// Returns the time to add to the ages of datagrams that arrive now.
    pub(crate) fn lag(&self) -> Duration {
        if self.now < self.lag_until { self.lag } else { Duration::ZERO }
    }

    /// Returns the time of the last step.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Converts a time from the caller to internal time.
    pub(crate) fn to_internal(now: Duration) -> Duration {
        now.saturating_add(TIME_OFFSET)
    }

    /// Converts an internal time to the caller's time.
    pub(crate) fn to_external(now: Duration) -> Duration {
        now.saturating_sub(TIME_OFFSET)
    }
}
