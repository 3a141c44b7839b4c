//! What an entry knows of one upstream.

use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_fleet::registry::{Record, Run, Status};
use verbenaslip_fleet::rollout::{Cohort, Plan};

use crate::policy::cache::Cache;
use crate::policy::speed::Speed;

/// The first pause of an upstream that could not be reached; it doubles up to eight times that.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// The first pause of an upstream that was full; it doubles up to 32 times that with each refusal that follows on the
/// one before. A queue that was full has room a moment later.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Refusals without an answer between them after which an upstream counts as one that refuses.
const MIN_REFUSALS: u32 = 2;

/// How long it takes until a share of failures counts half. An upstream that is avoided because it
/// failed gives no new outcomes, and would be avoided for ever.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// The weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.08;

/// Says how a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was answered whole.
    Complete,
    /// The upstream failed it.
    Failed,
    /// The upstream was full and said so.
    Full,
    /// The upstream turned it away and asked for rest, which keeps others from it.
    CoolingDown,
    /// It could not be reached.
    Unreachable,
    /// The caller left or its time ran out; says nothing of the upstream.
    Abandoned,
}

/// Holds what this entry knows of an upstream and has under way there.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// The upstream as the fleet knows it.
    pub(crate) record: Record,
    /// Its part in a roll-out of its service.
    pub(crate) cohort: Cohort,
    /// Stands for it in hashes.
    pub(crate) upstream_hash: u64,
    /// How many requests are under way.
    pub(crate) active_requests: u32,
    /// Tokens of prompts that it has yet to read.
    pub(crate) pending_prefill: u64,
    /// What it has read.
    pub(crate) cache: Cache,
    /// How fast it is.
    pub(crate) speed: Speed,
    failure_rate: f64,
    failure_rate_at: Duration,
    failed_connects: u32,
    /// Refusals since its last answer, each after the pause of the one before.
    consecutive_refusals: u32,
    /// How long it was left alone after the last refusal.
    pause: Duration,
    paused_until: Duration,
}

impl UpstreamState {
    /// Starts with nothing under way.
    pub(crate) fn new(record: Record) -> Self {
        let mark = hash::narrow(&[record.announcement.run.upstream.as_str().as_bytes()]);
        Self {
            record,
            cohort: Cohort::Stable,
            upstream_hash: mark,
            active_requests: 0,
            pending_prefill: 0,
            cache: Cache::default(),
            speed: Speed::default(),
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

    /// Takes the plan of a roll-out of its service, or that there is none.
    pub(crate) fn update_plan(&mut self, plan: Option<&Plan>) {
        let announcement = &self.record.announcement;
        let cohort =
            plan.map(|plan| plan.cohort(&announcement.run.upstream, &announcement.version));
        self.cohort = cohort.unwrap_or(Cohort::Stable);
    }

    /// Takes the end of a request; `took` is how long it lasted if it had its first event.
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
            Ending::Abandoned | Ending::CoolingDown => {}
        }
    }

    /// Returns the share of its answers that failed lately.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Leaves a full upstream alone for longer each time.
    ///
    /// One that refuses everything does so at once, has nothing under way and looks best. After a short pause alone it
    /// would draw more than its part, and its refusals would be taken for those of a service without room.
    fn pause_after_refusal(&mut self, now: Duration) {
        // What was on its way together counts once.
        if now < self.paused_until {
            return;
        }
        self.pause = FULL_PAUSE * (1 << self.consecutive_refusals.min(5));
        self.paused_until = now + self.pause;
        self.consecutive_refusals += 1;
    }

    /// Tells whether it refuses one request after the other, and answers none.
    pub(crate) fn is_refusing(&self) -> bool {
        self.consecutive_refusals >= MIN_REFUSALS
    }

    /// Notes an outcome: one for a failure, zero for a whole answer.
    fn record_outcome(&mut self, now: Duration, outcome: f64) {
        let share = self.failure_rate(now);
        self.failure_rate = share + (outcome - share) * OUTCOME_WEIGHT;
        self.failure_rate_at = now;
    }

    /// Tells whether it may get work; less strictly, also when it looks lost from here. Where most
    /// look lost, it may be this entry that is cut off from what would tell it otherwise.
    ///
    /// Whether one that refuses still does is shown by a request that may go elsewhere (`spare`), or by any after as
    /// long again.
    pub(crate) fn accepts_requests(
        &self,
        now: Duration,
        strict: bool,
        has_spare_attempt: bool,
    ) -> bool {
        let wait_twice = self.is_refusing() && !has_spare_attempt;
        let paused = if wait_twice { self.paused_until + self.pause } else { self.paused_until };
        match self.record.status {
            Status::Ready => !strict || paused <= now,
            Status::Silent => !strict,
            Status::Leaving | Status::Gone | Status::Lost => false,
        }
    }
}
