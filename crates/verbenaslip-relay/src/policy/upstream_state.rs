//! What an entry knows of one upstream.

use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_fleet::measurement::{Figure, RunKey};
use verbenaslip_fleet::registry::{Record, Run, Status};
use verbenaslip_fleet::rollout::{Cohort, Plan};

use crate::policy::cache::Cache;
use crate::policy::measured::Measured;
use crate::policy::speed::Speed;

/// First pause of an unreachable upstream; it doubles up to eight times this value.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// First pause of a full upstream; it doubles with each consecutive refusal, up to 32 times this
/// value. A full queue has room a moment later.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Number of refusals without an answer in between from which an upstream counts as refusing.
const MIN_REFUSALS: u32 = 2;

/// Half-life of the failure rate. An upstream that is avoided for its failures yields no new
/// outcomes, and would otherwise be avoided for ever.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.08;

/// Age from which a figure of the fleet is ignored.
const MAX_FIGURE_AGE: Duration = Duration::from_secs(4);

/// Describes how a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The request was answered completely.
    Complete,
    /// The upstream failed the request.
    Failed,
    /// The upstream refused the request because it was full.
    Full,
    /// The upstream refused the request and asked for a cooldown, which keeps other requests away.
    CoolingDown,
    /// The upstream could not be reached.
    Unreachable,
    /// The caller left or the time ran out; this says nothing about the upstream.
    Abandoned,
    /// The request left a slow upstream early, which would have answered later.
    Slow,
}

/// Holds what this entry knows of an upstream, and its requests in progress there.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// The upstream as the fleet knows it.
    pub(crate) record: Record,
    /// Cohort of the upstream in a rollout of its service.
    pub(crate) cohort: Cohort,
    /// Hash of the upstream's name, used to select upstreams.
    pub(crate) upstream_hash: u64,
    /// Whether few upstreams of its software version are left beside those of another.
    pub(crate) has_scarce_version: bool,
    /// Number of requests in progress.
    pub(crate) active_requests: u32,
    /// Prompt tokens whose prefill is still pending.
    pub(crate) pending_prefill: u64,
    /// Prompt parts that the upstream has most likely cached.
    pub(crate) cache: Cache,
    /// Measured speed of the upstream.
    pub(crate) speed: Speed,
    /// Key of the run in measurements.
    pub(crate) key: RunKey,
    /// What this entry reports about the run to the fleet.
    pub(crate) measured: Measured,
    /// Whether what is measured of the service as a whole includes the run.
    pub(crate) counts_for_service: bool,
    figure: Option<Figure>,
    /// This entry's requests in progress when the figure arrived.
    own_in_figure: u32,
    /// Until when the upstream counts as slow at this entry.
    slow_until: Duration,
    failure_rate: f64,
    failure_rate_at: Duration,
    failed_connects: u32,
    /// Refusals since the last answer, each after the pause of the previous one.
    consecutive_refusals: u32,
    /// Length of the pause after the last refusal.
    pause: Duration,
    paused_until: Duration,
}

impl UpstreamState {
    /// Creates a state without requests in progress.
    pub(crate) fn new(record: Record) -> Self {
        let key = RunKey::of(&record.announcement.run);
        let mark = hash::narrow(&[record.announcement.run.upstream.as_str().as_bytes()]);
        Self {
            record,
            cohort: Cohort::Stable,
            upstream_hash: mark,
            has_scarce_version: false,
            active_requests: 0,
            pending_prefill: 0,
            cache: Cache::default(),
            speed: Speed::default(),
            key,
            measured: Measured::default(),
            counts_for_service: false,
            figure: None,
            own_in_figure: 0,
            slow_until: Duration::ZERO,
            failure_rate: 0.0,
            failure_rate_at: Duration::ZERO,
            failed_connects: 0,
            consecutive_refusals: 0,
            pause: Duration::ZERO,
            paused_until: Duration::ZERO,
        }
    }

    /// Returns the run of the upstream.
    pub(crate) fn run(&self) -> &Run {
        &self.record.announcement.run
    }

    /// Updates the plan of a rollout of the service, if there is one.
    pub(crate) fn update_plan(&mut self, plan: Option<&Plan>) {
        let announcement = &self.record.announcement;
        let cohort =
            plan.map(|plan| plan.cohort(&announcement.run.upstream, &announcement.version));
        self.cohort = cohort.unwrap_or(Cohort::Stable);
    }

    /// Updates the fleet's figure.
    pub(crate) fn update_figure(&mut self, figure: Option<&Figure>) {
        let is_newer =
            |it: &Figure| self.figure.is_none_or(|old| old.measured_at != it.measured_at);
        if figure.is_some_and(is_newer) {
            self.own_in_figure = self.active_requests;
        }
        self.figure = figure.copied();
    }

    /// Returns the fleet's figure unless it is too old.
    pub(crate) fn fresh_figure(&self, now: Duration) -> Option<&Figure> {
        self.figure.as_ref().filter(|it| figure_age(now, it) <= MAX_FIGURE_AGE)
    }

    /// Returns the requests in progress of all entries.
    pub(crate) fn fleet_active(&self, now: Duration) -> u32 {
        let others = self.fresh_figure(now).map_or(0, |it| it.active);
        others.saturating_sub(self.own_in_figure) + self.active_requests
    }

    /// Returns whether the requests in progress of all entries fill the slots.
    pub(crate) fn is_full(&self, now: Duration) -> bool {
        self.fresh_figure(now).is_some()
            && self.fleet_active(now) >= self.record.announcement.slots.max(1)
    }

    /// Counts the upstream as slow for a time.
    pub(crate) fn penalize(&mut self, now: Duration, duration: Duration) {
        self.slow_until = self.slow_until.max(now + duration);
    }

    /// Returns whether the upstream counts as slow.
    pub(crate) fn is_slow(&self, now: Duration) -> bool {
        now < self.slow_until
    }

    /// Returns the time until the upstream takes work again after a pause; zero if it does now.
    pub(crate) fn time_until_unpaused(&self, now: Duration, has_spare_attempt: bool) -> Duration {
        self.paused_until(has_spare_attempt).saturating_sub(now)
    }

    fn paused_until(&self, has_spare_attempt: bool) -> Duration {
        let wait_twice = self.is_refusing() && !has_spare_attempt;
        if wait_twice { self.paused_until + self.pause } else { self.paused_until }
    }

    /// Records the end of a request; `duration` is its length if its first event had arrived.
    pub(crate) fn record_end(&mut self, now: Duration, ending: Ending, duration: Option<Duration>) {
        self.active_requests = self.active_requests.saturating_sub(1);
        match ending {
            Ending::Complete => {
                self.record_outcome(now, 0.0);
                self.failed_connects = 0;
                self.consecutive_refusals = 0;
                if let Some(duration) = duration {
                    self.speed.record_answer(duration);
                }
            }
            Ending::Failed => {
                self.consecutive_refusals = 0;
                self.record_outcome(now, 1.0);
            }
            Ending::Full => self.pause_after_refusal(now),
            Ending::Unreachable => {
                self.paused_until = now + UNREACHABLE_PAUSE * (1 << self.failed_connects.min(3));
                self.failed_connects += 1;
                self.record_outcome(now, 1.0);
            }
            Ending::Abandoned | Ending::Slow | Ending::CoolingDown => {}
        }
    }

    /// Forgets failures and connections that did not open.
    pub(crate) fn forgive_failures(&mut self) {
        self.failure_rate = 0.0;
        if self.failed_connects > 0 {
            (self.failed_connects, self.paused_until) = (0, Duration::ZERO);
        }
    }

    /// Returns the recent failure rate of the upstream's answers.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Pauses a full upstream, longer with each refusal.
    ///
    /// An upstream that refuses everything does so at once, has nothing in progress and looks
    /// best. With short pauses alone it would attract more than its share, and its refusals would
    /// look like those of an overloaded service.
    fn pause_after_refusal(&mut self, now: Duration) {
        // Requests that were under way together count once.
        if now < self.paused_until {
            return;
        }
        self.pause = FULL_PAUSE * (1 << self.consecutive_refusals.min(5));
        self.paused_until = now + self.pause;
        self.consecutive_refusals += 1;
    }

    /// Returns whether the upstream refuses one request after another and answers none.
    pub(crate) fn is_refusing(&self) -> bool {
        self.consecutive_refusals >= MIN_REFUSALS
    }

    /// Records an outcome: one for a failure, zero for a complete answer.
    fn record_outcome(&mut self, now: Duration, outcome: f64) {
        let share = self.failure_rate(now);
        self.failure_rate = share + (outcome - share) * OUTCOME_WEIGHT;
        self.failure_rate_at = now;
    }

    /// Returns whether the upstream may take work. A check that is not strict also accepts an
    /// upstream that looks lost from here: if most look lost, this entry itself may be cut off.
    ///
    /// A refusing upstream is probed by a request that may go elsewhere (`has_spare_attempt`), or
    /// by any request after another pause.
    pub(crate) fn accepts_requests(
        &self,
        now: Duration,
        strict: bool,
        has_spare_attempt: bool,
    ) -> bool {
        let paused = self.paused_until(has_spare_attempt);
        self.may_take_work() && (!strict || (self.record.status == Status::Ready && paused <= now))
    }

    /// Returns whether the upstream has neither left nor been lost.
    pub(crate) fn may_take_work(&self) -> bool {
        match self.record.status {
            Status::Ready | Status::Silent => true,
            Status::Leaving | Status::Gone | Status::Lost => false,
        }
    }
}

/// Returns the age of a figure.
pub(crate) fn figure_age(now: Duration, figure: &Figure) -> Duration {
    now.saturating_sub(figure.measured_at)
}
