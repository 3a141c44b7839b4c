//! One request's way through admission, claim, routing and retries.

use std::time::Duration;

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::{Reason, Refusal};
use verbenaslip_policy::admit::Admission;
use verbenaslip_policy::dispatch::Dispatch;
use verbenaslip_policy::retry::{self, FailureKind};
use verbenaslip_policy::route::Choice;
use verbenaslip_request::caller::Arrival;
use verbenaslip_request::claim::{self as asked, Ruling};
use verbenaslip_request::input::{self as request, Placement};
use verbenaslip_request::output::{Outcome, Output as Wants, PlacementRequest};
use verbenaslip_request::run::{Cause, Event, Failure};
use verbenaslip_request::setup as requests;
use verbenaslip_state::claim::{Claim, Ending, Release, Settle, Verdict};
use verbenaslip_state::{Command, Outcome as Committed};

use crate::input::Input;
use crate::lead::outcome;
use crate::message::ProposalAnswer;
use crate::node::{Node, Todo};
use crate::notice::Notice;
use crate::output::Output;
use crate::proposal::Purpose;
use crate::setup::Setup;

/// How long a whole answer may take when neither caller nor row says so.
const DEADLINE: Duration = Duration::from_secs(60);

/// Before a request that found no upstream to move to asks again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// How long the outcome of a claimed request is tried to be kept.
const SETTLE: Duration = Duration::from_secs(30);

/// When a caller should come back to an instance that has no table lease.
const LEASE_BACK: Duration = Duration::from_secs(2);

/// Holds what this instance knows of a request beside its life.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) head: Head,
    pub(crate) arrived: Duration,
    /// When its first run began.
    pub(crate) began: Option<Duration>,
    digest: u128,
    /// Whether it waits for an upstream that the queue shall give it.
    wanted: bool,
    /// What the queue gave it before it asked.
    early: Option<Placement>,
    /// Why the queue gave it up before it asked.
    given: Option<Refusal>,
    /// What became of its last run.
    fate: FailureKind,
    /// The claim that was granted.
    claim: Option<Claim>,
}

/// Sets the requests up.
pub(crate) fn setup(setup: &Setup) -> requests::Setup {
    let (instance, zone) = (setup.instance.clone(), setup.zone.clone());
    requests::Setup {
        journal: setup.journal,
        limit: setup.limits,
        timing: setup.timing.request,
        ..requests::Setup::new(instance, zone, setup.incarnation)
    }
}

impl Node {
    /// Takes what the traffic threads tell.
    pub(crate) fn traffic(&mut self, input: Input) {
        let input = match input {
            Input::Arrived { arrival, timeout: due } => return self.arrived(arrival, due),
            Input::ConnectionClosed(ticket) => request::Input::Gone(ticket),
            Input::Subscribed { ticket, request, after } => {
                request::Input::Subscribed { ticket, request, after }
            }
            Input::RelayLost { ticket, after } => request::Input::RelayLost { ticket, after },
            Input::RunEvent { attempt, event } => {
                self.ran(attempt, &event);
                request::Input::Ran { attempt, event }
            }
            Input::Mirrored { request, position, complete: whole } => {
                self.push(Todo::Request(request::Input::Mirrored { request, position }));
                if !whole {
                    return;
                }
                request::Input::MirrorEnded(request)
            }
            _ => return,
        };
        self.push(Todo::Request(input));
    }

    pub(crate) fn step_requests(&mut self, input: request::Input) {
        let mut outputs = Vec::new();
        self.requests.step(self.now, input, &mut outputs);
        for output in outputs {
            self.wants(output);
        }
    }

    /// Starts what can start now and gives up what waits in vain.
    pub(crate) fn pump(&mut self) {
        for given in self.dispatcher.expire(self.now, &mut self.rng) {
            self.given_up(given.head.request, given.refusal);
        }
        for dispatch in self.dispatcher.next_dispatches(self.now, &mut self.rng) {
            self.dispatched(&dispatch);
        }
    }

    /// Takes the quorum's answer to a claim.
    pub(crate) fn claimed(
        &mut self,
        request: Request,
        claimant: u128,
        claim: Claim,
        answer: &ProposalAnswer,
    ) {
        let ruling = match (outcome(answer), answer) {
            (Some(Committed::Claim(Verdict::Stale { last })), _) => {
                // An earlier claim of the key came to nothing; the next number may run.
                let number = last.number.saturating_add(1);
                let attempt = Attempt { request, number };
                return self.claim(request, claimant, Claim { attempt, ..claim });
            }
            (Some(Committed::Claim(verdict)), _) => ruling(verdict),
            (_, ProposalAnswer::NotLeader { .. } | ProposalAnswer::Refused(_)) => Ruling::NoQuorum,
            _ => Ruling::Unknown,
        };
        match (&ruling, self.known.get_mut(&request)) {
            (Ruling::Granted, Some(known)) => known.claim = Some(claim),
            // Nobody will run it: left as it is, the claim would answer "unknown" to every resend
            // until the retention ends, for a request that never ran.
            (Ruling::Granted | Ruling::Unknown, _) => self.release(claim),
            _ => {}
        }
        let team = self.known.get(&request).map(|known| known.head.team.clone());
        self.note(Notice::ClaimDecided { request, team, ruling: ruling.clone() });
        self.push(Todo::Request(request::Input::Claimed { request, claimant, ruling }));
    }

    fn arrived(&mut self, mut arrival: Arrival, due: Option<Duration>) {
        let head = &mut arrival.head;
        let row = self.hub.table().row(&head.team, &head.class);
        let of_row = row.map(|row| Duration::from_millis(u64::from(row.deadline_ms)));
        head.deadline = self.now + due.or(of_row).unwrap_or(DEADLINE);
        head.output = row.map_or(head.output, |row| head.output.min(row.max_output_tokens));
        if !head.idempotent {
            self.remember(head.clone(), arrival.body.digest());
        }
        self.push(Todo::Request(request::Input::Arrived(arrival)));
    }

    fn remember(&mut self, head: Head, digest: u128) {
        let request = head.request;
        let arrived = self.now;
        self.known.entry(request).or_insert(Known {
            head,
            arrived,
            began: None,
            digest,
            wanted: false,
            early: None,
            given: None,
            fate: FailureKind::Lost,
            claim: None,
        });
    }

    fn ran(&mut self, attempt: Attempt, event: &Event) {
        match event {
            Event::Tokens { .. } => self.dispatcher.record_first_token(self.now, attempt.request),
            Event::Failed(failure) => {
                if let Some(known) = self.known.get_mut(&attempt.request) {
                    known.fate = fate(failure);
                }
            }
            Event::Sent | Event::Ended { .. } => {}
        }
    }

    fn wants(&mut self, output: Wants) {
        match output {
            Wants::Verdict { ticket, verdict } => {
                self.out.push(Output::Verdict { ticket, verdict });
            }
            Wants::Absent(ticket) => self.out.push(Output::NotOwner(ticket)),
            Wants::Admit(head) => self.admit(head),
            Wants::Claim(claim) => self.want_claim(&claim),
            Wants::Settle { request, claimant: _, outcome } => self.settle(request, &outcome),
            Wants::Place(wanted) => self.place(&wanted),
            Wants::Retry { head, upstream } => self.retry(&head, &upstream),
            Wants::Run(run) => self.out.push(Output::Run(run)),
            Wants::Cancel(live) => self.out.push(Output::Cancel(live)),
            Wants::Mirror { request, epoch, to } => {
                self.out.push(Output::Mirror { request, epoch, to });
            }
            Wants::Own { request, epoch } => {
                // Own requests are known from their admission on.
                if !self.known.contains_key(&request) {
                    self.note(Notice::TakenOver(request));
                }
                self.out.push(Output::TakeOwnership { request, epoch });
            }
            Wants::Forget { request, epoch } => self.out.push(Output::Forget { request, epoch }),
            Wants::Send { to, message } => self.say(&to, message),
            Wants::Done { request, outcome } => self.done(request, outcome),
            Wants::Drained => self.requests_drained(),
        }
    }

    fn admit(&mut self, head: Head) {
        let request = head.request;
        self.remember(head.clone(), 0);
        let refusal = if self.closed().is_empty() {
            match self.dispatcher.offer(self.now, head, self.now, &mut self.rng) {
                Admission::Admitted | Admission::Queued(_) => None,
                Admission::Refused(refusal) => Some(refusal),
            }
        } else {
            // Without the lease an edit may be in force elsewhere that this instance can't see.
            Some(Refusal { reason: Reason::NoLease, retry: Some(LEASE_BACK) })
        };
        let input = match refusal {
            None => request::Input::Admitted(request),
            Some(refusal) => {
                if matches!(
                    refusal.reason,
                    Reason::Overload | Reason::Deadline | Reason::NoUpstream
                ) {
                    self.refused_demand(request);
                }
                request::Input::Declined { request, refusal }
            }
        };
        self.push(Todo::Request(input));
    }

    fn want_claim(&mut self, asked: &asked::Claim) {
        let Some(known) = self.known.get(&asked.request) else { return };
        let claim = Claim {
            attempt: Attempt { request: asked.request, number: 1 },
            team: known.head.team.clone(),
            instance: asked.owner.clone(),
            nonce: (asked.claimant >> 64) as u64 ^ asked.claimant as u64,
            body: known.digest,
            issued: asked.issued.unwrap_or_else(|| self.unix()),
            at: self.unix(),
        };
        self.claim(asked.request, asked.claimant, claim);
    }

    fn claim(&mut self, request: Request, claimant: u128, claim: Claim) {
        let command = Command::Claim(claim.clone());
        let purpose = Purpose::Claim { request, claimant, claim: Box::new(claim) };
        self.propose(command, purpose, self.setup.timing.request.claim);
    }

    /// Gives a claim back, or bars it if it is still on its way into the log.
    fn release(&mut self, claim: Claim) {
        let release = Release { claim, at: self.unix() };
        self.propose(Command::Release(release), Purpose::Nobody, SETTLE);
    }

    fn settle(&mut self, request: Request, outcome: &Outcome) {
        let granted = self.known.get(&request).and_then(|known| known.claim.clone());
        let Some(claim) = granted else { return };
        let ending = match outcome {
            Outcome::Whole { position } => {
                Ending::Done { digest: u128::from(*position), status: 200 }
            }
            Outcome::Refused(_) => Ending::NotRun,
            Outcome::Unknown(unknown) => Ending::Unknown(*unknown),
            Outcome::Abandoned | Outcome::Moved { .. } => return,
        };
        let settle = Settle {
            attempt: claim.attempt,
            nonce: claim.nonce,
            by: self.setup.instance.clone(),
            ending,
            at: self.unix(),
        };
        self.propose(Command::Settle(settle), Purpose::Nobody, SETTLE);
    }

    fn place(&mut self, wanted: &PlacementRequest) {
        let request = wanted.head.request;
        self.remember(wanted.head.clone(), 0);
        if wanted.from.is_some() {
            return self.place_elsewhere(request);
        }
        let Some(known) = self.known.get_mut(&request) else { return };
        if let Some(refusal) = known.given.take() {
            let input = request::Input::NoPlace { request, wait: None, refusal };
            return self.push(Todo::Request(input));
        }
        if let Some(place) = known.early.take() {
            return self.push(Todo::Request(request::Input::Placed { request, place }));
        }
        known.wanted = true;
        let (head, arrived) = (known.head.clone(), known.arrived);
        if !self.dispatcher.mark_ready(request) {
            self.dispatcher.adopt(self.now, head, arrived, &wanted.without);
        }
    }

    /// Chooses where a running request goes on while it still runs where it was.
    fn place_elsewhere(&mut self, request: Request) {
        let choice = self.dispatcher.choose_alternative(self.now, request, &mut self.rng);
        let place = choice.as_ref().and_then(|choice| self.place_of(choice, 0));
        let (Some(choice), Some(place)) = (choice, place) else {
            let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
            let input = request::Input::NoPlace { request, wait: Some(ASK_AGAIN), refusal };
            return self.push(Todo::Request(input));
        };
        self.dispatcher.record_move(self.now, request, &choice);
        self.push(Todo::Request(request::Input::Placed { request, place }));
    }

    fn dispatched(&mut self, dispatch: &Dispatch) {
        let request = dispatch.head.request;
        let Some(place) = self.place_of(&dispatch.choice, dispatch.priority) else {
            self.dispatcher.cancel(self.now, request);
            let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
            return self.given_up(request, refusal);
        };
        let now = self.now;
        let Some(known) = self.known.get_mut(&request) else {
            self.dispatcher.cancel(self.now, request);
            return;
        };
        let began = known.began.replace(known.began.unwrap_or(now)).is_none().then(|| {
            let waited = now.saturating_sub(known.arrived);
            Notice::RequestStarted { head: Box::new(known.head.clone()), waited }
        });
        if std::mem::take(&mut known.wanted) {
            self.push(Todo::Request(request::Input::Placed { request, place }));
        } else {
            known.early = Some(place);
        }
        if let Some(began) = began {
            self.note(began);
        }
    }

    fn given_up(&mut self, request: Request, refusal: Refusal) {
        let Some(known) = self.known.get_mut(&request) else { return };
        if std::mem::take(&mut known.wanted) {
            let input = request::Input::NoPlace { request, wait: None, refusal };
            self.push(Todo::Request(input));
        } else {
            known.given = Some(refusal);
        }
    }

    fn place_of(&self, choice: &Choice, priority: i32) -> Option<Placement> {
        let announcement = self.gossip.record(&choice.upstream)?.announcement();
        Some(Placement {
            upstream: choice.upstream.clone(),
            address: announcement.address,
            kind: announcement.kind,
            priority,
            cached: choice.cached_tokens,
            imports: announcement.kind == verbenaslip_base::announce::Kind::Engine,
        })
    }

    fn retry(&mut self, head: &Head, upstream: &Upstream) {
        let request = head.request;
        let fate = self.known.get(&request).map_or(FailureKind::Lost, |known| known.fate);
        let verdict =
            self.dispatcher.handle_failure(self.now, request, upstream, fate, &mut self.rng);
        self.note(Notice::RetryDecided { head: Box::new(head.clone()), decision: verdict });
        // The queue itself holds the run back for the delay; the request may ask for it at once.
        let granted = matches!(verdict, retry::Decision::RetryAfter(_)).then_some(Duration::ZERO);
        self.push(Todo::Request(request::Input::Retry { request, granted }));
    }

    fn done(&mut self, request: Request, outcome: Outcome) {
        match &outcome {
            Outcome::Whole { position } => {
                self.dispatcher.record_completion(self.now, request, *position)
            }
            _ => drop(self.dispatcher.cancel(self.now, request)),
        }
        if let Some(known) = self.known.remove(&request) {
            if let (Outcome::Whole { .. }, Some(began)) = (&outcome, known.began) {
                let ran = self.now.saturating_sub(began);
                self.learn_demand(&known.head, known.arrived, Some(ran));
            }
            self.note(Notice::RequestEnded { head: Box::new(known.head), outcome });
        }
    }
}

/// Says what a failure means for another run.
fn fate(failure: &Failure) -> FailureKind {
    match failure.cause {
        Cause::Refused => FailureKind::Refused,
        _ if failure.not_run => FailureKind::Unreachable,
        Cause::Error => FailureKind::Error,
        _ => FailureKind::Lost,
    }
}

fn ruling(verdict: &Verdict) -> Ruling {
    match verdict {
        Verdict::Granted => Ruling::Granted,
        Verdict::Held { instance, .. } => Ruling::Held { owner: Some(instance.clone()) },
        // A stale claim is asked for again under the next number before it comes here.
        Verdict::Settled { .. } | Verdict::Conflict | Verdict::Stale { .. } => Ruling::Settled,
        Verdict::Expired | Verdict::Ahead => Ruling::Expired,
        Verdict::Full => Ruling::NoQuorum,
    }
}
