//! What an engine's tasks share: its state, its clock, its faults.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::fault::Fault;
use super::setup::Setup;
use super::state::{Leaving, State, millis};
use crate::http::connection::Silencer;

/// Shares an engine's state between its tasks and its handle.
pub(crate) struct Core {
    state: Mutex<State>,
    /// Wakes the batch when there is something new to do.
    pub(crate) wake: Notify,
    /// Silences connections.
    pub(crate) silencer: Arc<Silencer>,
    /// Wakes the announcer when there is something new to tell.
    pub(crate) tell: Notify,
    end: Arc<Notify>,
    start: Instant,
}

/// The longest that the batch sleeps without looking.
const LOOK: Duration = Duration::from_millis(250);

impl Core {
    /// Returns the core of an engine that starts now.
    pub(crate) fn new(setup: Setup, end: Arc<Notify>) -> Self {
        Self {
            state: Mutex::new(State::new(setup)),
            wake: Notify::new(),
            silencer: Arc::default(),
            tell: Notify::new(),
            end,
            start: Instant::now(),
        }
    }

    /// Locks the state.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sets a fault.
    pub(crate) fn fault(&self, fault: Fault) {
        match fault {
            Fault::Silence => self.silencer.silence(),
            Fault::Mute { count } => self.silencer.mute(count),
            Fault::Kill => self.kill(),
            Fault::Forget => {
                let now = self.now();
                self.state().cache.clear(now);
            }
            fault => {
                let now = self.now();
                self.state().faults.set(now, fault);
            }
        }
        self.wake.notify_one();
    }

    /// Dies at once.
    pub(crate) fn kill(&self) {
        self.end.notify_one();
    }

    /// Begins to leave: with a notice it dies hard at the notice's end, without one it ends when its
    /// runs have ended.
    pub(crate) fn leave(&self, notice: Option<Duration>) {
        let now = self.now();
        let mut state = self.state();
        let until = notice.map(|notice| now + notice);
        // A second notice can only shorten the first.
        let until = match state.leaving {
            Some(Leaving { until: Some(held) }) => {
                Some(until.map_or(held, |until| until.min(held)))
            }
            _ => until,
        };
        state.leaving = Some(Leaving { until });
        state.leaving_ms.get_or_insert_with(unix);
        drop(state);
        self.tell.notify_one();
        self.wake.notify_one();
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn thaw(&self) {
        loop {
            let frozen = self.state().faults.frozen.saturating_sub(self.now());
            if frozen.is_zero() {
                return;
            }
            sleep(frozen).await;
        }
    }

    /// Runs the batch for good.
    pub(crate) async fn run(&self) {
        loop {
            let now = self.now();
            let next = self.state().step(now, unix());
            let wait = next.map_or(LOOK, |next| next.saturating_sub(now).min(LOOK));
            timeout(wait, self.wake.notified()).await.ok();
            if self.gone() {
                return self.kill();
            }
        }
    }

    /// Measures the load for good.
    pub(crate) async fn measure(&self) {
        loop {
            let now = self.now();
            let lag = {
                let mut state = self.state();
                state.sample(now);
                state.setup.pace.lag
            };
            sleep(lag.max(Duration::from_millis(10)) / 4).await;
        }
    }

    /// Says whether it has left.
    fn gone(&self) -> bool {
        let state = self.state();
        match state.leaving {
            None => false,
            Some(Leaving { until: Some(until) }) => until <= self.now(),
            Some(Leaving { until: None }) => state.open() == 0,
        }
    }

    /// Returns the models loaded and the like for the engine's clock.
    pub(crate) fn millis(&self) -> u64 {
        millis(self.now())
    }
}

/// Returns the Unix time in milliseconds.
pub(crate) fn unix() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(time)
}
