//! Faults that can be set while an engine runs.

use std::collections::VecDeque;
use std::time::Duration;

use verbenaslip_base::data;

/// Names a fault to be set.
#[data(copy)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Nothing moves for a while, and then goes on as if nothing had been.
    Freeze {
        /// How long.
        ms: u64,
    },
    /// All connections open now go silent for good; new ones work.
    Silence,
    /// The next connections are accepted, and then nothing.
    Mute {
        /// How many.
        count: u32,
    },
    /// The next runs have this flaw.
    Flaw {
        /// How many runs.
        count: u32,
        /// What is wrong with them.
        flaw: Flaw,
    },
    /// The next requests are refused as not run.
    Refuse {
        /// How many.
        count: u32,
    },
    /// The next requests fail with 500.
    Error {
        /// How many.
        count: u32,
        /// Whether they run all the same.
        run: bool,
    },
    /// Time between tokens grows.
    Slow {
        /// The factor, in hundredths.
        percent: u32,
        /// For how long.
        ms: u64,
    },
    /// The prefix cache is lost.
    Forget,
    /// The engine dies at once.
    Kill,
    /// All faults end, but for silent connections.
    Clear,
}

/// Says what is wrong with a run's stream.
#[data(copy)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Flaw {
    /// The stream ends without its end mark after a position.
    Cut {
        /// The last position sent.
        after: u32,
    },
    /// The connection is reset after a position.
    Reset {
        /// The last position sent.
        after: u32,
    },
    /// A position is left out.
    Skip {
        /// The position.
        at: u32,
    },
    /// Positions come again.
    Repeat {
        /// The position after which they come again.
        at: u32,
        /// How many.
        count: u32,
    },
    /// Nothing is sent after a position, while the run goes on.
    Stall {
        /// The last position sent.
        after: u32,
    },
    /// Bytes of no run come after a position, and the run goes on.
    Foreign {
        /// The position after which they come; zero stands for the start.
        after: u32,
        /// The bytes.
        bytes: Foreign,
    },
    /// A cancel is answered but not obeyed: the stream goes on.
    Deaf,
}

/// Names bytes that belong to no run.
#[data(copy)]
#[serde(rename_all = "snake_case")]
pub enum Foreign {
    /// Bytes that are no text.
    Binary,
    /// An event that is no JSON.
    Text,
    /// Another answer.
    Answer,
    /// An event of another run.
    OtherRun,
    /// An event of this run that has a text and no position.
    NoPosition,
    /// An event of this run from which positions are missing.
    Ahead,
    /// The reason of an end, at another position.
    Reason,
}

/// Holds the faults in force.
#[derive(Default)]
pub(crate) struct Faults {
    pub(crate) frozen: Duration,
    flaws: VecDeque<(u32, Flaw)>,
    refuse: u32,
    error: u32,
    error_runs: bool,
    slow: u32,
    slow_until: Duration,
}

impl Faults {
    /// Sets a fault that concerns runs or time.
    pub(crate) fn set(&mut self, now: Duration, fault: Fault) {
        match fault {
            Fault::Freeze { ms } => self.frozen = now + Duration::from_millis(ms),
            Fault::Flaw { count, flaw } => self.flaws.push_back((count, flaw)),
            Fault::Refuse { count } => self.refuse = count,
            Fault::Error { count, run } => (self.error, self.error_runs) = (count, run),
            Fault::Slow { percent, ms } => {
                (self.slow, self.slow_until) = (percent, now + Duration::from_millis(ms));
            }
            Fault::Clear => *self = Self::default(),
            Fault::Silence | Fault::Mute { .. } | Fault::Forget | Fault::Kill => (),
        }
    }

    /// Returns the flaw of the next run.
    pub(crate) fn flaw(&mut self) -> Option<Flaw> {
        let (count, flaw) = self.flaws.front_mut()?;
        let flaw = *flaw;
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.flaws.pop_front();
        }
        Some(flaw)
    }

    /// Says whether the next request is refused.
    pub(crate) fn refuses(&mut self) -> bool {
        take(&mut self.refuse)
    }

    /// Says whether the next request fails, and if so whether it runs all the same.
    pub(crate) fn errs(&mut self) -> Option<bool> {
        take(&mut self.error).then_some(self.error_runs)
    }

    /// Slows a time down.
    pub(crate) fn stretch(&self, now: Duration, time: Duration) -> Duration {
        if now < self.slow_until { time * self.slow / 100 } else { time }
    }
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
