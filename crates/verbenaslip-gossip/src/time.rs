//! Time as the decisions see it: ages that travel, and a clock that notices a freeze.

use std::time::Duration;

use verbenaslip_base::data;

/// The coarseness of an age; also what every hop adds, because travelling takes time.
const AGE_UNIT: Duration = Duration::from_millis(25);

/// A gap between two steps from which the process counts as having been frozen.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// How long after a freeze arriving data may have waited in a socket's buffer meanwhile.
const BUFFER_DRAIN_TIME: Duration = Duration::from_millis(500);

/// What is added to every time handed in, so that an age never reaches back before zero.
const TIME_OFFSET: Duration = Duration::from_secs(86_400);

/// Says how long ago something was true, in units of 25 ms, rounded up; 255 is beyond any lease.
///
/// Ages travel in place of times because instances share no clock. What a datagram waits on its way
/// beyond one unit is not counted, nor is a freeze of less than 0.7 s.
#[data(copy, ord, hash)]
pub struct Age(pub u8);

impl Age {
    /// The age that nothing can be confirmed with.
    pub(crate) const EXPIRED: Self = Self(u8::MAX);

    /// Measures the age that a datagram sent now says, with one unit for its travel.
    pub(crate) fn since(now: Duration, then: Duration) -> Self {
        let units = now.saturating_sub(then).as_millis().div_ceil(AGE_UNIT.as_millis()) + 1;
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// Returns when it was true, for a datagram that arrives now; none when that is too long ago.
    pub(crate) fn to_time(self, now: Duration, lag: Duration) -> Option<Duration> {
        if self == Self::EXPIRED {
            return None;
        }
        now.checked_sub(AGE_UNIT * u32::from(self.0) + lag)
    }
}

/// Keeps time from falling and notices freezes.
pub(crate) struct Clock {
    now: Duration,
    lag: Duration,
    lag_until: Duration,
}

/// Tells what a step of the clock found.
pub(crate) struct ClockStep {
    /// The time to work with.
    pub(crate) now: Duration,
    /// How long the process had been frozen, when this step is the first after it.
    pub(crate) paused_for: Option<Duration>,
}

impl Clock {
    /// Starts at the given time.
    pub(crate) fn new(now: Duration) -> Self {
        Self { now: now + TIME_OFFSET, lag: Duration::ZERO, lag_until: Duration::ZERO }
    }

    /// Moves on to the given time.
    ///
    /// After a freeze, datagrams that waited in the socket's buffer say an age from before it. One
    /// would notice an upstream that died meanwhile coming back as fresh. So whatever arrives
    /// shortly after a freeze counts as older by the whole freeze.
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

    /// Returns what to add to the age of whatever arrives now.
    pub(crate) fn lag(&self) -> Duration {
        if self.now < self.lag_until { self.lag } else { Duration::ZERO }
    }

    /// Returns the time of the last step.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Translates a time handed in to one to work with.
    pub(crate) fn to_internal(now: Duration) -> Duration {
        now.saturating_add(TIME_OFFSET)
    }

    /// Translates a time to work with to one handed out.
    pub(crate) fn to_external(now: Duration) -> Duration {
        now.saturating_sub(TIME_OFFSET)
    }
}
