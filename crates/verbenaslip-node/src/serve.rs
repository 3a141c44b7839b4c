//! Handles a request from admission and claim to routing and retries.

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
use verbenaslip_request::claim::{self as request_claim, Ruling};
use verbenaslip_request::input::{self as request, Placement};
use verbenaslip_request::output::{Outcome, Output as RequestOutput, PlacementRequest};
use verbenaslip_request::run::{Cause, Event, Failure};
use verbenaslip_request::setup as requests;
use verbenaslip_state::claim::{Claim, Ending, Release, Settle, Verdict};
use verbenaslip_state::{Command, Outcome as Committed};

use crate::input::Input;
use crate::lead::committed_outcome;
use crate::message::ProposalAnswer;
use crate::node::{Node, Pending};
use crate::notice::Notice;
use crate::output::Output;
use crate::proposal::Purpose;
use crate::setup::Setup;

/// Time limit for a whole answer if neither the caller nor the table row sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay before a request that found no upstream to move to asks for one again.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time limit for proposing the outcome or the release of a claim.
const CLAIM_UPDATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry time that a caller is told by an instance without a table lease.
const NO_LEASE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Holds what the routing side of this instance knows about a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) head: Head,
    pub(crate) arrived: Duration,
    /// Time at which the first run started.
    pub(crate) started: Option<Duration>,
    digest: u128,
    /// Whether the request waits for a placement from the queue.
    awaits_placement: bool,
    /// Placement that the queue returned before the request asked for it.
    early_placement: Option<Placement>,
    /// Refusal that the queue returned before the request asked for a placement.
    early_refusal: Option<Refusal>,
    /// Failure kind of the last run.
    last_failure: FailureKind,
    /// Claim that was granted.
    claim: Option<Claim>,
}

/// Returns the setup of the request component.
pub(crate) fn requests_setup(setup: &Setup) -> requests::Setup {
    let (instance, zone) = (setup.instance.clone(), setup.zone.clone());
    requests::Setup {
        journal: setup.journal,
        limit: setup.limits,
        timing: setup.timing.request,
        ..requests::Setup::new(instance, zone, setup.incarnation)
    }
}

impl Node {
    /// Handles an input from the traffic threads.
    pub(crate) fn handle_traffic(&mut self, input: Input) {
        let input = match input {
            Input::Arrived { arrival, timeout } => return self.handle_arrival(arrival, timeout),
            Input::ConnectionClosed(ticket) => request::Input::Gone(ticket),
            Input::Subscribed { ticket, request, after } => {
                request::Input::Subscribed { ticket, request, after }
            }
            Input::RelayLost { ticket, after } => request::Input::RelayLost { ticket, after },
            Input::RunEvent { attempt, event } => {
                self.handle_run_event(attempt, &event);
                request::Input::Ran { attempt, event }
            }
            Input::Mirrored { request, position, complete } => {
                self.enqueue(Pending::Request(request::Input::Mirrored { request, position }));
                if !complete {
                    return;
                }
                request::Input::MirrorEnded(request)
            }
            _ => return,
        };
        self.enqueue(Pending::Request(input));
    }

    pub(crate) fn step_requests(&mut self, input: request::Input) {
        let mut outputs = Vec::new();
        self.requests.step(self.now, input, &mut outputs);
        for output in outputs {
            self.handle_request_output(output);
        }
    }

    /// Dispatches queued requests that can start, and refuses those that waited too long.
    pub(crate) fn dispatch_requests(&mut self) {
        for expired in self.dispatcher.expire(self.now, &mut self.rng) {
            self.handle_queue_refusal(expired.head.request, expired.refusal);
        }
        for dispatch in self.dispatcher.next_dispatches(self.now, &mut self.rng) {
            self.handle_dispatch(&dispatch);
        }
    }

    /// Handles the quorum's answer to a claim.
    pub(crate) fn handle_claim_answer(
        &mut self,
        request: Request,
        claimant: u128,
        claim: Claim,
        answer: &ProposalAnswer,
    ) {
        let ruling = match (committed_outcome(answer), answer) {
            (Some(Committed::Claim(Verdict::Stale { last })), _) => {
                // An earlier claim of the key ended without a run, so the next number may run.
                let number = last.number.saturating_add(1);
                let attempt = Attempt { request, number };
                return self.propose_claim(request, claimant, Claim { attempt, ..claim });
            }
            (Some(Committed::Claim(verdict)), _) => claim_ruling(verdict),
            (_, ProposalAnswer::NotLeader { .. } | ProposalAnswer::Refused(_)) => Ruling::NoQuorum,
            _ => Ruling::Unknown,
        };
        match (&ruling, self.records.get_mut(&request)) {
            (Ruling::Granted, Some(record)) => record.claim = Some(claim),
            // The claim must be released, since nobody will run it. Otherwise every resend would be
            // answered "unknown" until the retention ends, for a request that never ran.
            (Ruling::Granted | Ruling::Unknown, _) => self.release_claim(claim),
            _ => {}
        }
        let team = self.records.get(&request).map(|record| record.head.team.clone());
        self.notify(Notice::ClaimDecided { request, team, ruling: ruling.clone() });
        self.enqueue(Pending::Request(request::Input::Claimed { request, claimant, ruling }));
    }

    fn handle_arrival(&mut self, mut arrival: Arrival, timeout: Option<Duration>) {
        let head = &mut arrival.head;
        let row = self.hub.table().row(&head.team, &head.class);
        let row_timeout = row.map(|row| Duration::from_millis(u64::from(row.deadline_ms)));
        head.deadline = self.now + timeout.or(row_timeout).unwrap_or(DEFAULT_TIMEOUT);
        head.output = row.map_or(head.output, |row| head.output.min(row.max_output_tokens));
        if !head.idempotent {
            self.record_request(head.clone(), arrival.body.digest());
        }
        self.enqueue(Pending::Request(request::Input::Arrived(arrival)));
    }

    fn record_request(&mut self, head: Head, digest: u128) {
        let request = head.request;
        let arrived = self.now;
        self.records.entry(request).or_insert(RequestRecord {
            head,
            arrived,
            started: None,
            digest,
            awaits_placement: false,
            early_placement: None,
            early_refusal: None,
            last_failure: FailureKind::Lost,
            claim: None,
        });
    }

    fn handle_run_event(&mut self, attempt: Attempt, event: &Event) {
        match event {
            Event::Tokens { .. } => self.dispatcher.record_first_token(self.now, attempt.request),
            Event::Failed(failure) => {
                if let Some(record) = self.records.get_mut(&attempt.request) {
                    record.last_failure = failure_kind(failure);
                }
            }
            Event::Sent | Event::Ended { .. } => {}
        }
    }

    fn handle_request_output(&mut self, output: RequestOutput) {
        match output {
            RequestOutput::Verdict { ticket, verdict } => {
                self.out.push(Output::Verdict { ticket, verdict });
            }
            RequestOutput::Absent(ticket) => self.out.push(Output::NotOwner(ticket)),
            RequestOutput::Admit(head) => self.admit(head),
            RequestOutput::Claim(claim) => self.start_claim(&claim),
            RequestOutput::Settle { request, claimant: _, outcome } => {
                self.settle_claim(request, &outcome)
            }
            RequestOutput::Place(placement_request) => self.place_request(&placement_request),
            RequestOutput::Retry { head, upstream } => self.decide_retry(&head, &upstream),
            RequestOutput::Run(run) => self.out.push(Output::Run(run)),
            RequestOutput::Cancel(live) => self.out.push(Output::Cancel(live)),
            RequestOutput::Mirror { request, epoch, to } => {
                self.out.push(Output::Mirror { request, epoch, to });
            }
            RequestOutput::Own { request, epoch } => {
                // Requests of this instance are recorded from their admission on.
                if !self.records.contains_key(&request) {
                    self.notify(Notice::TakenOver(request));
                }
                self.out.push(Output::TakeOwnership { request, epoch });
            }
            RequestOutput::Forget { request, epoch } => {
                self.out.push(Output::Forget { request, epoch })
            }
            RequestOutput::Send { to, message } => self.send_request_message(&to, message),
            RequestOutput::Done { request, outcome } => self.finish_request(request, outcome),
            RequestOutput::Drained => self.requests_drained(),
        }
    }

    fn admit(&mut self, head: Head) {
        let request = head.request;
        self.record_request(head.clone(), 0);
        let refusal = if self.work_refusal_reasons().is_empty() {
            match self.dispatcher.offer(self.now, head, self.now, &mut self.rng) {
                Admission::Admitted | Admission::Queued(_) => None,
                Admission::Refused(refusal) => Some(refusal),
            }
        } else {
            // Without a lease, an edit may be in force elsewhere that this instance can't see.
            Some(Refusal { reason: Reason::NoLease, retry: Some(NO_LEASE_RETRY_AFTER) })
        };
        let input = match refusal {
            None => request::Input::Admitted(request),
            Some(refusal) => {
                if matches!(
                    refusal.reason,
                    Reason::Overload | Reason::Deadline | Reason::NoUpstream
                ) {
                    self.learn_refused_demand(request);
                }
                request::Input::Declined { request, refusal }
            }
        };
        self.enqueue(Pending::Request(input));
    }

    fn start_claim(&mut self, asked: &request_claim::Claim) {
        let Some(record) = self.records.get(&asked.request) else { return };
        let claim = Claim {
            attempt: Attempt { request: asked.request, number: 1 },
            team: record.head.team.clone(),
            instance: asked.owner.clone(),
            nonce: (asked.claimant >> 64) as u64 ^ asked.claimant as u64,
            body: record.digest,
            issued: asked.issued.unwrap_or_else(|| self.unix_ms()),
            at: self.unix_ms(),
        };
        self.propose_claim(asked.request, asked.claimant, claim);
    }

    fn propose_claim(&mut self, request: Request, claimant: u128, claim: Claim) {
        let command = Command::Claim(claim.clone());
        let purpose = Purpose::Claim { request, claimant, claim: Box::new(claim) };
        self.propose(command, purpose, self.setup.timing.request.claim);
    }

    /// Releases a claim, or blocks it if it has not reached the log yet.
    fn release_claim(&mut self, claim: Claim) {
        let release = Release { claim, at: self.unix_ms() };
        self.propose(Command::Release(release), Purpose::Unattended, CLAIM_UPDATE_TIMEOUT);
    }

    fn settle_claim(&mut self, request: Request, outcome: &Outcome) {
        let granted = self.records.get(&request).and_then(|record| record.claim.clone());
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
            at: self.unix_ms(),
        };
        self.propose(Command::Settle(settle), Purpose::Unattended, CLAIM_UPDATE_TIMEOUT);
    }

    fn place_request(&mut self, placement_request: &PlacementRequest) {
        let request = placement_request.head.request;
        self.record_request(placement_request.head.clone(), 0);
        if placement_request.from.is_some() {
            return self.place_move(request);
        }
        let Some(record) = self.records.get_mut(&request) else { return };
        if let Some(refusal) = record.early_refusal.take() {
            let input = request::Input::NoPlace { request, wait: None, refusal };
            return self.enqueue(Pending::Request(input));
        }
        if let Some(place) = record.early_placement.take() {
            return self.enqueue(Pending::Request(request::Input::Placed { request, place }));
        }
        record.awaits_placement = true;
        let (head, arrived) = (record.head.clone(), record.arrived);
        if !self.dispatcher.mark_ready(request) {
            self.dispatcher.adopt(self.now, head, arrived, &placement_request.without);
        }
    }

    /// Chooses another upstream for a request while it still runs on its present one.
    fn place_move(&mut self, request: Request) {
        let choice = self.dispatcher.choose_alternative(self.now, request, &mut self.rng);
        let place = choice.as_ref().and_then(|choice| self.placement(choice, 0));
        let (Some(choice), Some(place)) = (choice, place) else {
            let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
            let input =
                request::Input::NoPlace { request, wait: Some(PLACEMENT_RETRY_DELAY), refusal };
            return self.enqueue(Pending::Request(input));
        };
        self.dispatcher.record_move(self.now, request, &choice);
        self.enqueue(Pending::Request(request::Input::Placed { request, place }));
    }

    fn handle_dispatch(&mut self, dispatch: &Dispatch) {
        let request = dispatch.head.request;
        let Some(place) = self.placement(&dispatch.choice, dispatch.priority) else {
            self.dispatcher.cancel(self.now, request);
            let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
            return self.handle_queue_refusal(request, refusal);
        };
        let now = self.now;
        let Some(record) = self.records.get_mut(&request) else {
            self.dispatcher.cancel(self.now, request);
            return;
        };
        let started = record.started.replace(record.started.unwrap_or(now)).is_none().then(|| {
            let waited = now.saturating_sub(record.arrived);
            Notice::RequestStarted { head: Box::new(record.head.clone()), waited }
        });
        if std::mem::take(&mut record.awaits_placement) {
            self.enqueue(Pending::Request(request::Input::Placed { request, place }));
        } else {
            record.early_placement = Some(place);
        }
        if let Some(started) = started {
            self.notify(started);
        }
    }

    fn handle_queue_refusal(&mut self, request: Request, refusal: Refusal) {
        let Some(record) = self.records.get_mut(&request) else { return };
        if std::mem::take(&mut record.awaits_placement) {
            let input = request::Input::NoPlace { request, wait: None, refusal };
            self.enqueue(Pending::Request(input));
        } else {
            record.early_refusal = Some(refusal);
        }
    }

    fn placement(&self, choice: &Choice, priority: i32) -> Option<Placement> {
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

    fn decide_retry(&mut self, head: &Head, upstream: &Upstream) {
        let request = head.request;
        let failure =
            self.records.get(&request).map_or(FailureKind::Lost, |record| record.last_failure);
        let decision =
            self.dispatcher.handle_failure(self.now, request, upstream, failure, &mut self.rng);
        self.notify(Notice::RetryDecided { head: Box::new(head.clone()), decision });
        // The queue applies the retry delay itself, so the request may ask for a placement at once.
        let granted = matches!(decision, retry::Decision::RetryAfter(_)).then_some(Duration::ZERO);
        self.enqueue(Pending::Request(request::Input::Retry { request, granted }));
    }

    fn finish_request(&mut self, request: Request, outcome: Outcome) {
        match &outcome {
            Outcome::Whole { position } => {
                self.dispatcher.record_completion(self.now, request, *position)
            }
            _ => drop(self.dispatcher.cancel(self.now, request)),
        }
        if let Some(record) = self.records.remove(&request) {
            if let (Outcome::Whole { .. }, Some(started)) = (&outcome, record.started) {
                let ran = self.now.saturating_sub(started);
                self.learn_demand(&record.head, record.arrived, Some(ran));
            }
            self.notify(Notice::RequestEnded { head: Box::new(record.head), outcome });
        }
    }
}

/// Returns the failure kind on which the retry decision is based.
fn failure_kind(failure: &Failure) -> FailureKind {
    match failure.cause {
        Cause::Refused => FailureKind::Refused,
        _ if failure.not_run => FailureKind::Unreachable,
        Cause::Error => FailureKind::Error,
        _ => FailureKind::Lost,
    }
}

fn claim_ruling(verdict: &Verdict) -> Ruling {
    match verdict {
        Verdict::Granted => Ruling::Granted,
        Verdict::Held { instance, .. } => Ruling::Held { owner: Some(instance.clone()) },
        // A stale claim is proposed again under the next number before this point.
        Verdict::Settled { .. } | Verdict::Conflict | Verdict::Stale { .. } => Ruling::Settled,
        Verdict::Expired | Verdict::Ahead => Ruling::Expired,
        Verdict::Full => Ruling::NoQuorum,
    }
}
