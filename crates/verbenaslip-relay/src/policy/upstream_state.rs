//! What an entry knows of one upstream.

use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_fleet::registry::{Record, Run, Status};
use verbenaslip_fleet::rollout::{Cohort, Plan};

use crate::policy::cache::Cache;
use crate::policy::speed::Pace;

/// The first pause of an upstream that could not be reached; it doubles up to eight times that.
const PAUSE: Duration = Duration::from_millis(500);

/// The first pause of an upstream that was full; it doubles up to 32 times that with each refusal that follows on the
/// one before. A queue that was full has room a moment later.
const PAUSE_FULL: Duration = Duration::from_millis(50);

/// Refusals without an answer between them after which an upstream counts as one that refuses.
const REFUSES: u32 = 2;

/// How long it takes until a share of failures counts half. An upstream that is avoided because it
/// failed gives no new outcomes, and would be avoided for ever.
const FORGET: Duration = Duration::from_secs(4);

/// The weight of the newest outcome in the share of failures.
const OUTCOME: f64 = 0.08;

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
    Resting,
    /// It could not be reached.
    Unreachable,
    /// The caller left or its time ran out; says nothing of the upstream.
    Left,
}

/// Holds what this entry knows of an upstream and has under way there.
#[derive(Debug)]
pub(crate) struct Site {
    /// The upstream as the fleet knows it.
    pub(crate) record: Record,
    /// Its part in a roll-out of its service.
    pub(crate) cohort: Cohort,
    /// Stands for it in hashes.
    pub(crate) mark: u64,
    /// How many requests are under way.
    pub(crate) requests: u32,
    /// Tokens of prompts that it has yet to read.
    pub(crate) reading: u64,
    /// What it has read.
    pub(crate) cache: Cache,
    /// How fast it is.
    pub(crate) pace: Pace,
    failing: f64,
    failed: Duration,
    misses: u32,
    /// Refusals since its last answer, each after the pause of the one before.
    refusals: u32,
    /// How long it was left alone after the last refusal.
    pause: Duration,
    paused: Duration,
}

impl Site {
    /// Starts with nothing under way.
    pub(crate) fn open(record: Record) -> Self {
        let mark = hash::narrow(&[record.announcement.run.upstream.as_str().as_bytes()]);
        Self {
            record,
            cohort: Cohort::Stable,
            mark,
            requests: 0,
            reading: 0,
            cache: Cache::default(),
            pace: Pace::default(),
            failing: 0.0,
            failed: Duration::ZERO,
            misses: 0,
            refusals: 0,
            pause: Duration::ZERO,
            paused: Duration::ZERO,
        }
    }

    /// Returns the run of the upstream.
    pub(crate) fn run(&self) -> &Run {
        &self.record.announcement.run
    }

    /// Takes the plan of a roll-out of its service, or that there is none.
    pub(crate) fn follow(&mut self, plan: Option<&Plan>) {
        let it = &self.record.announcement;
        let cohort = plan.map(|plan| plan.cohort(&it.run.upstream, &it.version));
        self.cohort = cohort.unwrap_or(Cohort::Stable);
    }

    /// Takes the end of a request; `took` is how long it lasted if it had its first event.
    pub(crate) fn end(&mut self, now: Duration, ending: Ending, took: Option<Duration>) {
        self.requests = self.requests.saturating_sub(1);
        match ending {
            Ending::Complete => {
                self.note(now, 0.0);
                self.misses = 0;
                self.refusals = 0;
                if let Some(took) = took {
                    self.pace.learn_lasting(took);
                }
            }
            Ending::Failed => {
                self.refusals = 0;
                self.note(now, 1.0);
            }
            Ending::Full => self.pause_full(now),
            Ending::Unreachable => {
                self.paused = now + PAUSE * (1 << self.misses.min(3));
                self.misses += 1;
                self.note(now, 1.0);
            }
            Ending::Left | Ending::Resting => {}
        }
    }

    /// Returns the share of its answers that failed lately.
    pub(crate) fn failing(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failed).as_secs_f64();
        self.failing * 0.5_f64.powf(age / FORGET.as_secs_f64())
    }

    /// Leaves a full upstream alone for longer each time.
    ///
    /// One that refuses everything does so at once, has nothing under way and looks best. After a short pause alone it
    /// would draw more than its part, and its refusals would be taken for those of a service without room.
    fn pause_full(&mut self, now: Duration) {
        // What was on its way together counts once.
        if now < self.paused {
            return;
        }
        self.pause = PAUSE_FULL * (1 << self.refusals.min(5));
        self.paused = now + self.pause;
        self.refusals += 1;
    }

    /// Tells whether it refuses one request after the other, and answers none.
    pub(crate) fn refuses(&self) -> bool {
        self.refusals >= REFUSES
    }

    /// Notes an outcome: one for a failure, zero for a whole answer.
    fn note(&mut self, now: Duration, outcome: f64) {
        let share = self.failing(now);
        self.failing = share + (outcome - share) * OUTCOME;
        self.failed = now;
    }

    /// Tells whether it may get work; less strictly, also when it looks lost from here. Where most
    /// look lost, it may be this entry that is cut off from what would tell it otherwise.
    ///
    /// Whether one that refuses still does is shown by a request that may go elsewhere (`spare`), or by any after as
    /// long again.
    pub(crate) fn takes(&self, now: Duration, strict: bool, spare: bool) -> bool {
        let longer = self.refuses() && !spare;
        let paused = if longer { self.paused + self.pause } else { self.paused };
        match self.record.status {
            Status::Ready => !strict || paused <= now,
            Status::Silent => !strict,
            Status::Leaving | Status::Gone | Status::Lost => false,
        }
    }
}
