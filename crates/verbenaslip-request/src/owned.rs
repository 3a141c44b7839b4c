//! One request that this instance owns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_base::refusal::Refusal;

use crate::caller::{Body, Ticket};
use crate::copies::HeldCopy;
use crate::input::Placement;
use crate::lookup::Lookup;
use crate::message::{ActiveRun, Progress, Takeover};
use crate::output::Outcome;
use crate::setup::Timing;

/// Bits of an attempt's number that count the runs of one owner.
const OWNER_NUMBER_BITS: u32 = 16;
/// Bits of these that count, below those that tell apart two owners of the same epoch.
const RUN_COUNT_BITS: u32 = 6;

/// How many upstreams may end while they run a request. One that ends is bad luck, for two there may be one cause.
const MAX_CRASHES: u8 = 3;

/// Holds one request that this instance owns, or is finding out whether it may.
#[derive(Clone, Debug)]
pub(crate) struct OwnedRequest {
    /// The request.
    pub(crate) head: Head,
    /// What is sent to the upstream; freed when the request is finished.
    pub(crate) body: Option<Arc<Body>>,
    /// The digest of the body.
    pub(crate) digest: u128,
    /// The owner's epoch; zero while the key is looked up.
    pub(crate) epoch: u16,
    /// Tells this ownership from every other, also of the same instance.
    pub(crate) salt: u64,
    /// The ownership from whose answer this one goes on: its own number, or a former owner's.
    pub(crate) lineage: u64,
    /// Whether callers may have been given tokens that some second holder lacked.
    pub(crate) unmirrored_served: bool,
    /// Who waits for the answer.
    pub(crate) callers: BTreeMap<Ticket, Caller>,
    /// What is being done.
    pub(crate) phase: Phase,
    /// When the phase must be looked at again.
    pub(crate) phase_due: Option<Duration>,
    /// The second holder.
    pub(crate) holder: Option<Holder>,
    /// Earlier second holders, which must forget it.
    pub(crate) former_holders: BTreeSet<Instance>,
    /// Instances that had no room or did not answer.
    pub(crate) tried_holders: BTreeSet<Instance>,
    /// Homes that know the key.
    pub(crate) informed_homes: BTreeSet<Instance>,
    /// When homes that have not said that they know the key are told again.
    pub(crate) inform_at: Option<Duration>,
    /// How often they were told.
    pub(crate) inform_tries: u32,
    /// Whether every home has said that it did not know the key.
    pub(crate) complete: bool,
    /// When they said so.
    pub(crate) looked_up_at: Duration,
    /// The sequence of the newest note.
    pub(crate) sequence: u32,
    /// The number of the newest attempt.
    pub(crate) number: u32,
    /// Whether any attempt may have run, apart from the live one.
    pub(crate) ran: bool,
    /// The run that goes on.
    pub(crate) run_state: Option<RunState>,
    /// The newest run, also after its end.
    pub(crate) last_run: Option<ActiveRun>,
    /// The last position assembled.
    pub(crate) position: u32,
    /// The last position that the second holder has.
    pub(crate) mirrored: u32,
    /// The claim, when one was asked for.
    pub(crate) claimant: Option<u128>,
    /// Since when the second holder lacks something without getting any further.
    pub(crate) lagging_since: Option<Duration>,
    /// Whether the second holder also has its end.
    pub(crate) mirror_ended: bool,
    /// When it was last handed over to the second holder, which may run it from then on.
    pub(crate) handed_over_at: Option<Duration>,
    /// How many upstreams have ended while they ran it, also for former owners.
    pub(crate) crashes: u8,
    /// Upstreams that failed it.
    pub(crate) excluded: BTreeSet<Upstream>,
    /// Whether callers have been told that they are served.
    pub(crate) served: bool,
    /// When it is given up for want of a caller.
    pub(crate) abandon_at: Option<Duration>,
    /// Times that a relay of its callers was lost.
    pub(crate) relay_losses: u32,
    /// The copy that it was taken over from, until it is sure that it may be.
    pub(crate) former_copy: Option<Box<HeldCopy>>,
    /// The former owner that has not yet given it up.
    pub(crate) former_owner: Option<FormerOwner>,
}

/// Waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    /// The last position that it has.
    pub(crate) after: u32,
    /// Whether it may have been given tokens that `after` does not count.
    pub(crate) may_have_more: bool,
    /// Whether it is another instance that passes the answer on.
    pub(crate) subscriber: bool,
}

/// Names what is being done with a request.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Asks the homes whether they know the key.
    Lookup(Lookup),
    /// Waits for the policy.
    Admit,
    /// Waits for a second holder.
    Journal {
        /// Until when.
        until: Duration,
    },
    /// Waits for the quorum.
    Claim {
        /// Until when.
        until: Duration,
        /// Whether the claim may have been granted.
        unsure: bool,
    },
    /// Waits before it asks the router again.
    Pause,
    /// Waits for the router.
    Place,
    /// Waits for the retry budget.
    Budget,
    /// Runs at an upstream.
    Run,
    /// Waits until the second holder has forgotten it, before the caller is told that it was not
    /// run.
    Close {
        /// What the caller will be told.
        refusal: Refusal,
        /// Until when.
        until: Duration,
    },
    /// Has ended.
    Finished {
        /// How.
        outcome: Outcome,
        /// When its retention ends.
        until: Duration,
    },
}

/// Tells of the second holder.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    /// The instance.
    pub(crate) instance: Instance,
    /// The newest note that it holds; none before it has the request.
    pub(crate) acked_sequence: Option<u32>,
    /// How often the newest was sent.
    pub(crate) tries: u32,
    /// When it is sent again.
    pub(crate) due: Option<Duration>,
}

/// Tells of a former owner that must give the request up.
#[derive(Clone, Debug)]
pub(crate) struct FormerOwner {
    /// The instance.
    pub(crate) instance: Instance,
    /// How often it was told.
    pub(crate) tries: u32,
    /// When it is told again.
    pub(crate) due: Option<Duration>,
}

/// Follows one run.
#[derive(Clone, Debug)]
pub(crate) struct RunState {
    /// The run.
    pub(crate) live: ActiveRun,
    /// How it began.
    pub(crate) origin: RunOrigin,
    /// New connections to the same run since it last made progress.
    pub(crate) rejoins: u32,
    /// When and where its first tokens came.
    pub(crate) first_tokens: Option<(Duration, u32)>,
    /// The last time that something came.
    pub(crate) last_heard: Duration,
    /// What is being done about its upstream's leaving.
    pub(crate) moving: Moving,
}

/// Says how a run began.
#[derive(Clone, Debug)]
pub(crate) enum RunOrigin {
    /// From prompt and tokens.
    Fresh,
    /// On a new connection to a run that went on.
    Rejoined,
    /// From a KV cache exported at another run.
    Imported {
        /// Where it was exported.
        from: ActiveRun,
        /// Where it is imported.
        place: Placement,
    },
}

/// Says what is being done about an upstream's leaving.
#[derive(Clone, Debug)]
pub(crate) enum Moving {
    /// Nothing.
    Idle,
    /// It should end in time; is looked at again then.
    Watched {
        /// When.
        at: Duration,
    },
    /// The router is asked for another upstream.
    Requested,
    /// The router had none; is asked again.
    Paused {
        /// When.
        at: Duration,
    },
    /// It can't be moved, and stays to the end.
    Pinned,
}

impl OwnedRequest {
    /// Opens a request that a caller has sent.
    pub(crate) fn open(head: Head, body: Option<Arc<Body>>, digest: u128, salt: u64) -> Self {
        Self {
            head,
            body,
            digest,
            epoch: 0,
            salt,
            lineage: salt,
            unmirrored_served: false,
            callers: BTreeMap::new(),
            phase: Phase::Admit,
            phase_due: None,
            holder: None,
            former_holders: BTreeSet::new(),
            tried_holders: BTreeSet::new(),
            informed_homes: BTreeSet::new(),
            inform_at: None,
            inform_tries: 0,
            complete: false,
            looked_up_at: Duration::ZERO,
            sequence: 0,
            number: 0,
            ran: false,
            run_state: None,
            last_run: None,
            position: 0,
            mirrored: 0,
            claimant: None,
            lagging_since: None,
            mirror_ended: false,
            handed_over_at: None,
            excluded: BTreeSet::new(),
            served: false,
            abandon_at: None,
            crashes: 0,
            relay_losses: 0,
            former_copy: None,
            former_owner: None,
        }
    }

    /// Returns the request.
    pub(crate) fn request(&self) -> Request {
        self.head.request
    }

    /// Returns whether it has ended.
    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished { .. })
    }

    /// Returns whether it has ended with a whole answer.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.phase, Phase::Finished { outcome: Outcome::Whole { .. }, .. })
    }

    /// Returns whether any attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran || self.run_state.is_some()
    }

    /// Returns whether a second holder has it, or the settings let it go without.
    pub(crate) fn is_accepted(&self) -> bool {
        self.sequence > 0
    }

    /// Returns the epoch as others are told it: zero before the request is accepted.
    pub(crate) fn announced_epoch(&self) -> u16 {
        if self.is_accepted() { self.epoch } else { 0 }
    }

    /// Returns the second holder, once it has the request.
    pub(crate) fn confirmed_holder(&self) -> Option<&Instance> {
        self.holder
            .as_ref()
            .filter(|holder| holder.acked_sequence.is_some())
            .map(|holder| &holder.instance)
    }

    /// Says that this entry's owner is the one that goes on with the request.
    pub(crate) fn takeover_by(&self, owner: Instance) -> Takeover {
        Takeover {
            request: self.request(),
            owner,
            epoch: self.epoch,
            attempt: self.last_run.as_ref().map(|live| live.attempt),
            lineage: self.lineage,
        }
    }

    /// Returns whether callers can go on with a new owner's answer where they are in this one's.
    ///
    /// The new owner goes on from what it had as second holder, perhaps in other words than this
    /// one. So they can only if it had all that they were given.
    pub(crate) fn continues_in(&self, taken: &Takeover) -> bool {
        let has_tokens = self.served && self.position > 0;
        !has_tokens || (self.lineage == taken.lineage && !self.unmirrored_served)
    }

    /// Returns the upstream at which it runs.
    pub(crate) fn upstream(&self) -> Option<&Upstream> {
        self.run_state.as_ref().map(|run_state| &run_state.live.upstream)
    }

    /// Returns whether it runs at a model engine.
    pub(crate) fn runs_on_engine(&self) -> bool {
        self.run_state.as_ref().is_some_and(|run_state| run_state.live.kind == Kind::Engine)
    }

    /// Tells whether it is run no more, since it seems to end whatever runs it.
    ///
    /// Run on, it would take one upstream after the other from all other requests: one would notice upstreams
    /// that end in turn, each a moment after it was given the same request.
    pub(crate) fn is_poison(&self) -> bool {
        self.crashes >= MAX_CRASHES
    }

    /// Returns how far it has got, for the second holder.
    pub(crate) fn progress(&self) -> Progress {
        let outcome = match &self.phase {
            Phase::Finished { outcome, .. } => Some(outcome.clone()),
            Phase::Close { refusal, .. } => Some(Outcome::Refused(refusal.clone())),
            _ => None,
        };
        Progress {
            request: self.request(),
            epoch: self.epoch,
            sequence: self.sequence,
            live: self.last_run.clone(),
            number: self.number,
            ran: self.may_have_run(),
            crashes: self.crashes,
            complete: self.complete,
            lineage: self.lineage,
            outcome,
        }
    }

    /// Notes whether the second holder lacks something, after either end has got further.
    ///
    /// Callers get only what the second holder has. One whose connection for copies is broken, but
    /// which seems alive otherwise, would hold up the answer for good, so the wait is bounded.
    pub(crate) fn update_lag(&mut self, now: Duration) {
        let lacks = self.mirrored < self.position || (self.is_complete() && !self.mirror_ended);
        let lacks = lacks && self.confirmed_holder().is_some();
        self.lagging_since = lacks.then_some(now);
    }

    /// Returns the next attempt; none when the numbers of this owner are used up.
    ///
    /// Two instances can own a request under the same epoch: two second holders, when one of them
    /// was believed lost, or one instance before and after a restart. An engine that got the same
    /// attempt twice would give one the other's stream; so the count starts elsewhere each time.
    pub(crate) fn next_attempt(&mut self) -> Option<Attempt> {
        let salt = (self.salt as u32) << RUN_COUNT_BITS & ((1 << OWNER_NUMBER_BITS) - 1);
        let base = u32::from(self.epoch) << OWNER_NUMBER_BITS | salt;
        let next = self.number.max(base).checked_add(1)?;
        (next - base < 1 << RUN_COUNT_BITS).then_some(())?;
        self.number = next;
        Some(Attempt { request: self.request(), number: next })
    }

    /// Returns the next moment at which it must be looked at.
    pub(crate) fn next_wakeup(&self, timing: &Timing) -> Option<Duration> {
        let deadline = match &self.phase {
            Phase::Finished { until, .. } | Phase::Close { until, .. } => *until,
            Phase::Lookup(lookup) if lookup.refusal.is_some() => lookup.until,
            _ => self.head.deadline,
        };
        let moving = self.run_state.as_ref().and_then(|run_state| run_state.next());
        let holder = self.holder.as_ref().and_then(|holder| holder.due);
        let ousted = self.former_owner.as_ref().and_then(|ousted| ousted.due);
        let lag = self.lagging_since.map(|since| since.saturating_add(timing.stall));
        let parts = [Some(deadline), self.phase_due, moving, holder, ousted, self.abandon_at, lag];
        let parts = parts.into_iter().chain([self.inform_at]);
        parts.flatten().min()
    }
}

impl RunState {
    fn next(&self) -> Option<Duration> {
        match self.moving {
            Moving::Watched { at } | Moving::Paused { at } => Some(at),
            Moving::Idle | Moving::Requested | Moving::Pinned => None,
        }
    }
}
