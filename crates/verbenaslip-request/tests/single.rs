//! One instance stepped by hand: deadlines, budgets, refusals, limits and its own stop.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::head::Head;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};
use verbenaslip_request::Requests;
use verbenaslip_request::caller::{Arrival, Body, Ticket, Verdict};
use verbenaslip_request::claim::Ruling;
use verbenaslip_request::input::{Input, Member, Placement};
use verbenaslip_request::message::{Ack, KeyStatus, Message, Progress, Takeover};
use verbenaslip_request::output::{Outcome, Output};
use verbenaslip_request::run::{Cause, Event, Failure, Start, Step};
use verbenaslip_request::setup::{Journal, Setup};

const R: Request = Request(9);
const TICKET: Ticket = Ticket(1);
const DEADLINE: Duration = Duration::from_secs(20);

/// Answers by itself all that the case does not withhold.
struct Driver {
    requests: Requests,
    now: Duration,
    log: Vec<Output>,
    withhold: &'static str,
    attempt: Option<Attempt>,
}

impl Driver {
    /// Opens an instance with another in its own availability zone and one in another.
    fn open(withhold: &'static str, change: impl Fn(&mut Setup)) -> Self {
        let mut setup = Setup::new("i0".into(), "z0".into(), 1);
        change(&mut setup);
        let requests = Requests::open(setup);
        let (now, log, attempt) = (Duration::ZERO, Vec::new(), None);
        let mut driver = Self { requests, now, log, withhold, attempt };
        for (instance, zone) in [("i1", "z0"), ("i2", "z1")] {
            let (instance, zone, boot) = (instance.into(), zone.into(), 1);
            driver.step(Input::Joined(Member { instance, zone, boot }));
        }
        driver
    }

    fn call(&mut self, keyed: bool, idempotent: bool) {
        let body = Body { path: "/".into(), content: "c".into(), bytes: vec![1; 10] };
        let head = Head {
            request: R,
            team: "t".into(),
            class: "c".into(),
            model: "m".into(),
            idempotent,
            keyed,
            issued: None,
            deadline: DEADLINE,
            prompt: 10,
            output: 100,
            prefix: Vec::new(),
        };
        let body = body.into();
        self.step(Input::Arrived(Arrival { ticket: TICKET, head, body, after: None }));
    }

    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.requests.step(self.now, input, &mut out);
        for output in out {
            self.log.push(output.clone());
            self.react(output);
        }
    }

    fn react(&mut self, output: Output) {
        let wanted = match &output {
            Output::Admit(_) => "admit",
            Output::Claim(_) => "claim",
            Output::Place(_) => "place",
            Output::Send { message: Message::Reserve(_), .. } => "lookup",
            Output::Send { message: Message::Put(_) | Message::Note(_), .. } => "journal",
            Output::Retry { .. } => "retry",
            _ => "nothing",
        };
        if wanted == self.withhold {
            return;
        }
        match output {
            Output::Admit(head) => self.step(Input::Admitted(head.request)),
            Output::Claim(claim) => {
                let (request, claimant) = (claim.request, claim.claimant);
                self.step(Input::Claimed { request, claimant, ruling: Ruling::Granted });
            }
            Output::Place(_) => self.step(Input::Placed { request: R, place: place() }),
            Output::Retry { .. } => self.step(Input::Retry { request: R, granted: None }),
            Output::Run(run) => self.attempt = Some(run.attempt),
            Output::Send { to, message: Message::Reserve(_) } => {
                let message = Message::Reserved { request: R, found: KeyStatus::Free };
                self.step(Input::Heard { from: to, message });
            }
            Output::Send { to, message: Message::Put(copy) } => self.keep(to, &copy.note),
            Output::Send { to, message: Message::Note(note) } => self.keep(to, &note),
            _ => {}
        }
    }

    fn keep(&mut self, from: verbenaslip_base::name::Instance, note: &Progress) {
        let (request, epoch, sequence) = (note.request, note.epoch, note.sequence);
        let message = Message::Kept(Ack { request, epoch, sequence });
        self.step(Input::Heard { from, message });
    }

    fn ran(&mut self, event: Event) {
        let attempt = self.attempt.expect("a run was ordered");
        self.step(Input::Ran { attempt, event });
    }

    fn fail(&mut self, step: Step, cause: Cause, not_run: bool) {
        self.ran(Event::Failed(Failure { step, cause, not_run }));
    }

    /// Follows the timers until nothing is due before a time.
    fn sleep(&mut self, until: Duration) {
        for _ in 0..10_000 {
            let Some(at) = self.requests.next_wakeup().filter(|at| *at <= until) else {
                self.now = until;
                return;
            };
            self.now = self.now.max(at);
            self.step(Input::Tick);
        }
        panic!("it never stops waking");
    }

    fn verdict(&self) -> Option<&Verdict> {
        self.log.iter().rev().find_map(|output| match output {
            Output::Verdict { verdict, .. } => Some(verdict),
            _ => None,
        })
    }

    fn runs(&self) -> Vec<Start> {
        let runs = self.log.iter().filter_map(|output| match output {
            Output::Run(run) => Some(run.start.clone()),
            _ => None,
        });
        runs.collect()
    }
}

fn place() -> Placement {
    let address = ([127, 0, 0, 1], 1).into();
    let (upstream, kind, priority) = ("u".into(), Kind::Engine, 0);
    Placement { upstream, address, kind, priority, cached: 0, imports: true }
}

fn refused(reason: Reason) -> impl Fn(&Verdict) -> bool {
    move |verdict| matches!(verdict, Verdict::Refused(refusal) if refusal.reason == reason)
}

fn unknown(unknown: Unknown) -> impl Fn(&Verdict) -> bool {
    move |verdict| *verdict == Verdict::Unknown(unknown)
}

#[test]
fn a_step_that_is_never_answered_ends_in_the_right_answer_in_time() {
    // Somebody whom a request waits for never answers. The caller would wait for ever; so each step
    // is bounded, and what was surely not run is told apart from what may have been.
    type Check = Box<dyn Fn(&Verdict) -> bool>;
    type Case = (&'static str, Duration, Check);
    let cases: [Case; 6] = [
        ("lookup", Duration::from_secs(5), Box::new(unknown(Unknown::Unreachable))),
        ("admit", DEADLINE, Box::new(refused(Reason::Deadline))),
        ("journal", Duration::from_secs(3), Box::new(refused(Reason::NotHeld))),
        ("claim", Duration::from_secs(5), Box::new(refused(Reason::NotHeld))),
        ("place", DEADLINE, Box::new(refused(Reason::Deadline))),
        ("run", DEADLINE, Box::new(unknown(Unknown::Deadline))),
    ];
    for (withhold, bound, check) in cases {
        let mut driver = Driver::open(withhold, |_| {});
        driver.call(true, false);
        driver.sleep(bound + Duration::from_millis(1));
        let verdict = driver.verdict().expect("a verdict in time");
        assert!(check(verdict), "{withhold}: {verdict:?}");
        assert!(withhold == "run" || driver.runs().is_empty(), "{withhold}");
    }
}

#[test]
fn without_another_availability_zone_the_settings_decide() {
    let cases =
        [(Journal::OtherZone, false), (Journal::OtherInstance, true), (Journal::Alone, true)];
    for (journal, runs) in cases {
        let mut driver = Driver::open("", |setup| setup.journal = journal);
        driver.step(Input::Left("i2".into()));
        driver.call(true, true);
        driver.sleep(Duration::from_secs(4));
        assert_eq!(!driver.runs().is_empty(), runs, "{journal:?}");
        let not_held = driver.verdict().is_some_and(refused(Reason::NotHeld));
        assert_eq!(not_held, !runs, "{journal:?}");
    }
}

#[test]
fn a_failed_run_is_joined_resumed_or_ended_by_what_may_have_happened() {
    // A connection breaks at some step. What may have run and is not idempotent must not be sent
    // again; what was surely not run may; what goes on at the engine is only joined again.
    use Cause::{Closed, Cut, Error, Forgotten, Gap, Refused, Silent};
    let unknown = Some(Unknown::UpstreamLost);
    let cases = [
        (true, Step::Connect, Closed, true, vec![Start::Fresh], None),
        (false, Step::Connect, Closed, true, vec![Start::Fresh], None),
        (false, Step::Head, Refused, true, vec![Start::Fresh], None),
        (true, Step::Read, Silent, false, vec![Start::Fresh, Start::Rejoin], None),
        (false, Step::Read, Silent, false, vec![Start::Fresh, Start::Rejoin], None),
        (false, Step::Read, Cut, false, vec![Start::Fresh, Start::Rejoin], None),
        (true, Step::Read, Gap, false, vec![Start::Fresh, Start::Rejoin], None),
        (false, Step::Write, Closed, false, vec![Start::Fresh, Start::Rejoin], None),
        (false, Step::Head, Error, false, vec![Start::Fresh], unknown),
        (false, Step::Read, Forgotten, false, vec![Start::Fresh], unknown),
        // The budget denies the retry, which is asked for only where it does no harm.
        (true, Step::Head, Error, false, vec![Start::Fresh], unknown),
    ];
    for (idempotent, step, cause, not_run, runs, ended) in cases {
        let mut driver = Driver::open("", |_| {});
        driver.call(true, idempotent);
        driver.fail(step, cause, not_run);
        let case = format!("{idempotent} {step:?} {cause:?}");
        assert_eq!(driver.runs(), runs, "{case}");
        let asked = driver.log.iter().any(|output| matches!(output, Output::Retry { .. }));
        assert!(!asked || idempotent || not_run, "{case}");
        match ended {
            Some(unknown) => {
                assert_eq!(driver.verdict(), Some(&Verdict::Unknown(unknown)), "{case}")
            }
            None if not_run => {
                assert!(driver.verdict().is_some_and(refused(Reason::Upstream)), "{case}");
            }
            None => assert!(matches!(driver.verdict(), Some(Verdict::Serve { .. })), "{case}"),
        }
    }
}

#[test]
fn events_of_an_old_attempt_change_nothing() {
    // A cancelled run answers after the request was moved. Taken for the live one, it would end the
    // answer early or move it again.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, true);
    driver.ran(Event::Tokens { position: 5 });
    let old = driver.attempt.expect("a run was ordered");
    driver.withhold = "place";
    driver.step(Input::Leaving { upstream: "u".into(), notice: Some(Duration::ZERO) });
    let mut elsewhere = place();
    elsewhere.upstream = "v".into();
    driver.step(Input::Placed { request: R, place: elsewhere });
    assert_eq!(driver.runs(), [Start::Fresh, Start::Resume]);
    let before = driver.log.len();
    for event in [Event::Sent, Event::Tokens { position: 9 }, Event::Ended { position: 9 }] {
        driver.step(Input::Ran { attempt: old, event });
    }
    let failure = Failure { step: Step::Read, cause: Cause::Closed, not_run: true };
    driver.step(Input::Ran { attempt: old, event: Event::Failed(failure) });
    assert_eq!(driver.log.len(), before);
}

#[test]
fn a_caller_without_a_key_frees_everything_when_it_leaves() {
    let mut driver = Driver::open("", |_| {});
    driver.call(false, true);
    assert!(driver.requests.counts().bytes > 0);
    driver.step(Input::Gone(TICKET));
    assert!(driver.log.iter().any(|output| matches!(output, Output::Cancel(_))));
    assert!(driver.log.iter().any(|output| matches!(output, Output::Forget { .. })));
    assert_eq!(driver.requests.counts(), verbenaslip_request::Counts::default());
    assert_eq!(driver.requests.next_wakeup(), None);
}

#[test]
fn a_caller_with_a_key_may_come_back_for_a_while() {
    let mut driver = Driver::open("", |_| {});
    driver.call(true, true);
    driver.step(Input::Gone(TICKET));
    driver.sleep(Duration::from_secs(10));
    driver.call(true, true);
    assert!(matches!(driver.verdict(), Some(Verdict::Serve { .. })));
    driver.step(Input::Gone(TICKET));
    driver.sleep(Duration::from_secs(19));
    assert!(!driver.log.iter().any(|output| matches!(output, Output::Cancel(_))));
}

#[test]
fn a_stopping_instance_refuses_what_is_new_and_says_when_it_is_empty() {
    // Cut off by the stop, a caller would lose its answer: what runs ends first.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, true);
    driver.step(Input::Stop { remaining: Duration::from_secs(15) });
    let (mut head, body) = (None, Body { path: "/".into(), content: "c".into(), bytes: vec![2] });
    for output in &driver.log {
        if let Output::Admit(known) = output {
            head = Some(known.clone());
        }
    }
    let mut head = head.expect("it was admitted");
    (head.request, head.keyed) = (Request(10), false);
    let (ticket, body) = (Ticket(2), body.into());
    driver.step(Input::Arrived(Arrival { ticket, head, body, after: None }));
    assert!(driver.verdict().is_some_and(refused(Reason::Stopping)));
    driver.ran(Event::Ended { position: 0 });
    driver.step(Input::MirrorEnded(R));
    let drained = |driver: &Driver| driver.log.contains(&Output::Drained);
    assert!(!drained(&driver), "a caller is still reading");
    driver.step(Input::Gone(TICKET));
    assert!(drained(&driver));
}

#[test]
fn finished_answers_are_kept_for_their_retention_within_bounds() {
    let mut driver = Driver::open("", |setup| setup.limit.finished = 1);
    driver.call(true, true);
    driver.ran(Event::Ended { position: 3 });
    driver.step(Input::Gone(TICKET));
    driver.sleep(Duration::from_secs(590));
    driver.call(true, true);
    assert!(matches!(driver.verdict(), Some(Verdict::Serve { .. })));
    assert_eq!(driver.runs().len(), 1);
    driver.step(Input::Gone(TICKET));
    driver.sleep(Duration::from_secs(700));
    assert_eq!(driver.requests.counts().finished, 0);
    let done = driver.log.iter().filter(|output| {
        matches!(output, Output::Done { outcome: Outcome::Whole { position: 3 }, .. })
    });
    assert_eq!(done.count(), 1);
}

#[test]
fn refusals_of_the_policy_reach_the_caller_as_they_are() {
    let mut driver = Driver::open("admit", |_| {});
    driver.call(true, true);
    let refusal = Refusal { reason: Reason::Limit, retry: Some(Duration::from_millis(1234)) };
    driver.step(Input::Declined { request: R, refusal: refusal.clone() });
    assert_eq!(driver.verdict(), Some(&Verdict::Refused(refusal)));
    assert_eq!(driver.requests.counts().owned, 0);
}

fn taken(epoch: u16) -> Input {
    let (owner, attempt, lineage) = ("i2".into(), None, 0);
    let message = Message::Taken(Takeover { request: R, owner, epoch, attempt, lineage });
    Input::Heard { from: "i2".into(), message }
}

#[test]
fn a_former_owner_yields_to_a_higher_epoch() {
    // It was frozen, and its second holder took the request over. Were it to go on, both would run
    // the request to the end and callers get halves of two answers.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, true);
    driver.step(taken(2));
    let relayed = Verdict::Relay { request: R, after: 0, owner: "i2".into() };
    assert_eq!(driver.verdict(), Some(&relayed));
    assert!(driver.log.iter().any(|output| matches!(output, Output::Cancel(_))));
    assert!(!driver.requests.owns(R));
}

#[test]
fn each_ownership_claims_under_its_own_number() {
    // An instance is granted the claim, yields to another, and owns the request again once that one
    // is lost. Under the same number the quorum takes the second claim for a resend of the first
    // and grants it, and the request runs twice.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, false);
    driver.step(taken(2));
    driver.step(Input::RelayLost { ticket: TICKET, after: 0 });
    let claims = driver.log.iter().filter_map(|output| match output {
        Output::Claim(claim) => Some(claim.claimant),
        _ => None,
    });
    let claims: Vec<_> = claims.collect();
    assert_eq!(claims.len(), 2);
    assert_ne!(claims[0], claims[1]);
}

#[test]
fn nothing_new_is_sent_to_an_upstream_that_leaves() {
    // The router has not heard of the notice yet and still names it.
    let mut driver = Driver::open("", |_| {});
    driver.step(Input::Leaving { upstream: "u".into(), notice: Some(Duration::from_secs(9)) });
    driver.call(true, true);
    driver.sleep(Duration::from_secs(8));
    assert!(driver.runs().is_empty());
}

#[test]
fn not_run_is_said_only_when_the_second_holder_has_forgotten_the_request() {
    // The caller is told that it was not run, and the owner is lost right after. A holder that has
    // not heard of it would take the request over and run it.
    for (silent, told) in [(false, true), (true, false)] {
        let mut driver = Driver::open("place", |_| {});
        driver.call(true, true);
        if silent {
            driver.withhold = "journal";
        }
        let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
        driver.step(Input::NoPlace { request: R, wait: None, refusal });
        assert_eq!(driver.verdict().is_some_and(refused(Reason::NoUpstream)), told);
        driver.sleep(Duration::from_secs(1));
        let unsure = driver.verdict().is_some_and(unknown(Unknown::Unreachable));
        assert_eq!(unsure, silent);
    }
}

#[test]
fn a_copy_that_was_never_accepted_is_never_run() {
    // Its owner got no answer in time, refused the request as not run and was lost. The copy that
    // arrived all the same must not run.
    for (sequence, runs) in [(0, false), (1, true)] {
        let mut other = Driver::open("", |_| {});
        other.call(true, true);
        let copy = other.log.iter().find_map(|output| match output {
            Output::Send { message: Message::Put(copy), .. } => Some(copy.clone()),
            _ => None,
        });
        let mut copy = copy.expect("it was journalled");
        copy.note.sequence = sequence;
        let mut driver = Driver::open("", |_| {});
        driver.step(Input::Heard { from: "i2".into(), message: Message::Put(copy) });
        driver.step(Input::Lost("i2".into()));
        driver.sleep(Duration::from_secs(2));
        assert_eq!(!driver.runs().is_empty(), runs, "sequence {sequence}");
    }
}

/// Has the upstream end under the run that goes on, and the budget allow another one.
fn crash(driver: &mut Driver) {
    driver.ran(Event::Sent);
    driver.fail(Step::Read, Cause::Closed, false);
    driver.fail(Step::Connect, Cause::Closed, true);
    driver.step(Input::Retry { request: R, granted: Some(Duration::ZERO) });
}

/// Counts how often an upstream was given the request, apart from runs joined again.
fn given(driver: &Driver) -> usize {
    driver.runs().iter().filter(|start| **start != Start::Rejoin).count()
}

#[test]
fn a_request_that_ends_every_upstream_is_not_run_for_ever() {
    // Symptom: one upstream after the other ends, for as long as the budget lasts and whenever the caller comes
    // back. Sequence: an upstream begins to run a request and ends; the run can't be joined again, since nobody
    // listens there any more; the request goes to the next upstream.
    let mut driver = Driver::open("retry", |_| {});
    driver.call(true, true);
    for _ in 0..10 {
        crash(&mut driver);
    }
    assert_eq!(given(&driver), 3, "{:?}", driver.runs());
    assert_eq!(driver.verdict(), Some(&Verdict::Unknown(Unknown::UpstreamLost)));
    driver.call(true, true);
    assert_eq!(given(&driver), 3, "nor when its caller comes back by its key");
}

#[test]
fn whoever_takes_a_request_over_knows_how_many_upstreams_have_ended_under_it() {
    // Symptom: as above, each time its owner is lost. Sequence: two upstreams end under a request; its owner is
    // lost; the second holder begins to count anew.
    let mut owner = Driver::open("retry", |_| {});
    owner.call(true, true);
    (0..2).for_each(|_| crash(&mut owner));
    owner.ran(Event::Sent);
    let mut heir = Driver::open("retry", |setup| {
        setup.instance = "i2".into();
        setup.zone = "z1".into();
    });
    let (instance, zone, boot) = ("i0".into(), "z0".into(), 1);
    heir.step(Input::Joined(Member { instance, zone, boot }));
    for output in owner.log.clone() {
        if let Output::Send { to, message: message @ (Message::Put(_) | Message::Note(_)) } = output
            && to.as_str() == "i2"
        {
            heir.step(Input::Heard { from: "i0".into(), message });
        }
    }
    heir.step(Input::Lost("i0".into()));
    heir.sleep(Duration::from_secs(8));
    assert!(heir.runs().contains(&Start::Rejoin), "{:?}", heir.runs());
    for _ in 0..5 {
        if heir.attempt.is_some() {
            heir.fail(Step::Connect, Cause::Closed, true);
            heir.step(Input::Retry { request: R, granted: Some(Duration::ZERO) });
            crash(&mut heir);
        }
    }
    assert_eq!(given(&heir), 0, "{:?}", heir.runs());
}
