//! State of one request that this instance owns.

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

/// Bits of an attempt's number that are available to one owner.
const OWNER_NUMBER_BITS: u32 = 16;
/// The lowest of these bits, which count runs. The bits above tell two owners of one epoch apart.
const RUN_COUNT_BITS: u32 = 6;

/// Upstream crashes after which a request counts as a poison request. One crash may be a
/// coincidence, and two may have a common cause.
const MAX_CRASHES: u8 = 3;

/// Request that this instance owns or whose key it is still looking up.
#[derive(Clone, Debug)]
pub(crate) struct OwnedRequest {
    /// The request.
    pub(crate) head: Head,
    /// Request body for the upstream; released when the request is finished.
    pub(crate) body: Option<Arc<Body>>,
    /// Digest of the body.
    pub(crate) digest: u128,
    /// Epoch of the owner; zero while the key is looked up.
    pub(crate) epoch: u16,
    /// Number that differs between any two ownerships, also of the same instance.
    pub(crate) salt: u64,
    /// Ownership that began the answer which this one continues: its own salt or a former owner's.
    pub(crate) lineage: u64,
    /// Whether callers may have received tokens that a second holder lacked.
    pub(crate) unmirrored_served: bool,
    /// Callers that wait for the answer.
    pub(crate) callers: BTreeMap<Ticket, Caller>,
    /// Current phase.
    pub(crate) phase: Phase,
    /// When the phase needs attention.
    pub(crate) phase_due: Option<Duration>,
    /// The second holder.
    pub(crate) holder: Option<Holder>,
    /// Former second holders, which must drop their copies.
    pub(crate) former_holders: BTreeSet<Instance>,
    /// Instances that had no room or did not respond.
    pub(crate) tried_holders: BTreeSet<Instance>,
    /// Home instances that know the key.
    pub(crate) informed_homes: BTreeSet<Instance>,
    /// When home instances that have not confirmed that they know the key are told again.
    pub(crate) inform_at: Option<Duration>,
    /// How many times the home instances were told.
    pub(crate) inform_tries: u32,
    /// Whether every home instance reported that it did not know the key.
    pub(crate) unknown_to_homes: bool,
    /// When the lookup ended.
    pub(crate) looked_up_at: Duration,
    /// Sequence of the newest progress message.
    pub(crate) sequence: u32,
    /// Number of the newest attempt.
    pub(crate) number: u32,
    /// Whether any attempt may have run, apart from the current run.
    pub(crate) ran: bool,
    /// Current run.
    pub(crate) run_state: Option<RunState>,
    /// Newest run, even if it has ended.
    pub(crate) last_run: Option<ActiveRun>,
    /// Last position in the answer.
    pub(crate) position: u32,
    /// Last position that the second holder has.
    pub(crate) mirrored: u32,
    /// Claimant of the claim, if one was requested.
    pub(crate) claimant: Option<u128>,
    /// Since when the second holder has lacked something without making progress.
    pub(crate) lagging_since: Option<Duration>,
    /// Whether the second holder also has the end of the answer.
    pub(crate) mirror_ended: bool,
    /// When the request was last handed over to the second holder, which may run it from then on.
    pub(crate) handed_over_at: Option<Duration>,
    /// How many upstreams have crashed while they ran the request, also under former owners.
    pub(crate) crashes: u8,
    /// Upstreams at which the request failed.
    pub(crate) excluded: BTreeSet<Upstream>,
    /// Whether callers have been told that they are served.
    pub(crate) served: bool,
    /// When the request is abandoned because it has no caller.
    pub(crate) abandon_at: Option<Duration>,
    /// How many times a relay of the request's callers was lost.
    pub(crate) relay_losses: u32,
    /// Copy from which the request was taken over, until the takeover is confirmed.
    pub(crate) former_copy: Option<Box<HeldCopy>>,
    /// Former owner that has not yet given the request up.
    pub(crate) former_owner: Option<FormerOwner>,
}

/// Caller that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    /// Last position that the caller has.
    pub(crate) after: u32,
    /// Whether the caller may have received tokens beyond `after`.
    pub(crate) may_have_more: bool,
    /// Whether the caller is another instance that relays the answer.
    pub(crate) subscriber: bool,
}

/// Phase of an owned request.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Asks the home instances whether they know the key.
    Lookup(Lookup),
    /// Waits for the policy to admit the request.
    Admit,
    /// Waits for a second holder.
    Journal {
        /// Time limit.
        until: Duration,
    },
    /// Waits for the quorum's answer to a claim.
    Claim {
        /// Time limit.
        until: Duration,
        /// Whether the claim may have been granted.
        unsure: bool,
    },
    /// Waits before it asks the router again.
    Pause,
    /// Waits for the router's choice.
    Place,
    /// Waits for the retry budget.
    Budget,
    /// Runs at an upstream.
    Run,
    /// Waits until the second holder has dropped its copy, before the caller is told that the
    /// request did not run.
    Close {
        /// Refusal for the caller.
        refusal: Refusal,
        /// Time limit.
        until: Duration,
    },
    /// Has ended.
    Finished {
        /// How the request ended.
        outcome: Outcome,
        /// When the retention ends.
        until: Duration,
    },
}

/// Second holder of a request.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    /// The instance.
    pub(crate) instance: Instance,
    /// Newest progress that the holder has; `None` before it has the request.
    pub(crate) acked_sequence: Option<u32>,
    /// How many times the newest message was sent.
    pub(crate) tries: u32,
    /// When the message is sent again.
    pub(crate) due: Option<Duration>,
}

/// Former owner that must give the request up.
#[derive(Clone, Debug)]
pub(crate) struct FormerOwner {
    /// The instance.
    pub(crate) instance: Instance,
    /// How many times the former owner was told.
    pub(crate) tries: u32,
    /// When the former owner is told again.
    pub(crate) due: Option<Duration>,
}

/// State of the current run.
#[derive(Clone, Debug)]
pub(crate) struct RunState {
    /// The run.
    pub(crate) live: ActiveRun,
    /// How the run started.
    pub(crate) origin: RunOrigin,
    /// New connections to the same run since its last progress.
    pub(crate) rejoins: u32,
    /// Time and position of the first tokens.
    pub(crate) first_tokens: Option<(Duration, u32)>,
    /// When something last arrived.
    pub(crate) last_heard: Duration,
    /// What is being done because the upstream leaves.
    pub(crate) move_state: MoveState,
}

/// Tells how a run started.
#[derive(Clone, Debug)]
pub(crate) enum RunOrigin {
    /// From the prompt and existing tokens.
    Fresh,
    /// On a new connection to a run in progress.
    Rejoined,
    /// From a KV cache exported at another run.
    Imported {
        /// Run whose cache is exported.
        from: ActiveRun,
        /// Upstream that imports the cache.
        place: Placement,
    },
}

/// Tells what is being done because an upstream leaves.
#[derive(Clone, Debug)]
pub(crate) enum MoveState {
    /// Nothing is being done.
    Idle,
    /// The run is expected to end in time, and is checked again later.
    Watched {
        /// Time of the next check.
        at: Duration,
    },
    /// The router was asked for another upstream.
    Requested,
    /// The router had no upstream, and is asked again later.
    Paused {
        /// Time of the next request to the router.
        at: Duration,
    },
    /// The run cannot be moved and stays at its upstream.
    Pinned,
}

impl OwnedRequest {
    /// Creates the state of a request that a caller has sent.
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
            unknown_to_homes: false,
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

    /// Returns the identity of the request.
    pub(crate) fn request(&self) -> Request {
        self.head.request
    }

    /// Returns whether the request has ended.
    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished { .. })
    }

    /// Returns whether the request has ended with a complete answer.
    pub(crate) fn has_full_answer(&self) -> bool {
        matches!(self.phase, Phase::Finished { outcome: Outcome::Whole { .. }, .. })
    }

    /// Returns whether any attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran || self.run_state.is_some()
    }

    /// Returns whether a second holder has the request, or the settings allow it to go without.
    pub(crate) fn is_accepted(&self) -> bool {
        self.sequence > 0
    }

    /// Returns the epoch as announced to other instances: zero before the request is accepted.
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

    /// Returns a takeover notice that names the owner of this entry.
    pub(crate) fn takeover_by(&self, owner: Instance) -> Takeover {
        Takeover {
            request: self.request(),
            owner,
            epoch: self.epoch,
            attempt: self.last_run.as_ref().map(|live| live.attempt),
            lineage: self.lineage,
        }
    }

    /// Returns whether callers can continue with a new owner's answer at their current position.
    ///
    /// The new owner continues from what it had as second holder, possibly with different tokens. Its
    /// answer therefore matches only if it had everything that the callers received.
    pub(crate) fn continues_in(&self, takeover: &Takeover) -> bool {
        let has_tokens = self.served && self.position > 0;
        !has_tokens || (self.lineage == takeover.lineage && !self.unmirrored_served)
    }

    /// Returns the upstream of the current run.
    pub(crate) fn upstream(&self) -> Option<&Upstream> {
        self.run_state.as_ref().map(|run_state| &run_state.live.upstream)
    }

    /// Returns whether the current run is at a model engine.
    pub(crate) fn runs_on_engine(&self) -> bool {
        self.run_state.as_ref().is_some_and(|run_state| run_state.live.kind == Kind::Engine)
    }

    /// Returns whether this is a poison request, which is not run again.
    ///
    /// Further runs could crash one upstream after another and take them away from all other requests.
    pub(crate) fn is_poison(&self) -> bool {
        self.crashes >= MAX_CRASHES
    }

    /// Returns the progress message for the second holder.
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
            complete: self.unknown_to_homes,
            lineage: self.lineage,
            outcome,
        }
    }

    /// Updates whether the second holder lacks something, after either instance made progress.
    ///
    /// Callers get only what the second holder has. A holder that seems alive but whose connection for
    /// copies is broken would block the answer forever, so the wait is bounded.
    pub(crate) fn update_lag(&mut self, now: Duration) {
        let lacks = self.mirrored < self.position || (self.has_full_answer() && !self.mirror_ended);
        let lacks = lacks && self.confirmed_holder().is_some();
        self.lagging_since = lacks.then_some(now);
    }

    /// Returns the next attempt, or `None` if this owner has used up its numbers.
    ///
    /// Two instances can own a request under the same epoch: two second holders, if one of them was
    /// wrongly considered lost, or one instance before and after a restart. An engine that received
    /// the same attempt twice would mix up their streams, so each ownership counts from another number.
    pub(crate) fn next_attempt(&mut self) -> Option<Attempt> {
        let salt = (self.salt as u32) << RUN_COUNT_BITS & ((1 << OWNER_NUMBER_BITS) - 1);
        let base = u32::from(self.epoch) << OWNER_NUMBER_BITS | salt;
        let next = self.number.max(base).checked_add(1)?;
        (next - base < 1 << RUN_COUNT_BITS).then_some(())?;
        self.number = next;
        Some(Attempt { request: self.request(), number: next })
    }

    /// Returns when the entry next needs attention.
    pub(crate) fn next_wakeup(&self, timing: &Timing) -> Option<Duration> {
        let deadline = match &self.phase {
            Phase::Finished { until, .. } | Phase::Close { until, .. } => *until,
            Phase::Lookup(lookup) if lookup.refusal.is_some() => lookup.until,
            _ => self.head.deadline,
        };
        let move_state = self.run_state.as_ref().and_then(|run_state| run_state.next());
        let holder = self.holder.as_ref().and_then(|holder| holder.due);
        let ousted = self.former_owner.as_ref().and_then(|ousted| ousted.due);
        let lag = self.lagging_since.map(|since| since.saturating_add(timing.stall));
        let parts =
            [Some(deadline), self.phase_due, move_state, holder, ousted, self.abandon_at, lag];
        let parts = parts.into_iter().chain([self.inform_at]);
        parts.flatten().min()
    }
}

impl RunState {
    fn next(&self) -> Option<Duration> {
        match self.move_state {
            MoveState::Watched { at } | MoveState::Paused { at } => Some(at),
            MoveState::Idle | MoveState::Requested | MoveState::Pinned => None,
        }
    }
}
