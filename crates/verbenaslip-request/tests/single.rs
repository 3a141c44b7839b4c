//! A single instance under manual control: deadlines, budgets, refusals, limits and shutdown.

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

const REQUEST: Request = Request(9);
const TICKET: Ticket = Ticket(1);
const DEADLINE: Duration = Duration::from_secs(20);

/// Answers every action of the instance except the withheld one.
struct Driver {
    requests: Requests,
    now: Duration,
    log: Vec<Output>,
    withhold: &'static str,
    attempt: Option<Attempt>,
}

impl Driver {
    /// Creates an instance with one other instance in its availability zone and one in another zone.
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
            request: REQUEST,
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
            Output::Place(_) => self.step(Input::Placed { request: REQUEST, place: place() }),
            Output::Retry { .. } => self.step(Input::Retry { request: REQUEST, granted: None }),
            Output::Run(run) => self.attempt = Some(run.attempt),
            Output::Send { to, message: Message::Reserve(_) } => {
                let message = Message::Reserved { request: REQUEST, found: KeyStatus::Free };
                self.step(Input::Heard { from: to, message });
            }
            Output::Send { to, message: Message::Put(copy) } => self.acknowledge(to, &copy.note),
            Output::Send { to, message: Message::Note(note) } => self.acknowledge(to, &note),
            _ => {}
        }
    }

    fn acknowledge(&mut self, from: verbenaslip_base::name::Instance, note: &Progress) {
        let (request, epoch, sequence) = (note.request, note.epoch, note.sequence);
        let message = Message::Kept(Ack { request, epoch, sequence });
        self.step(Input::Heard { from, message });
    }

    fn run_event(&mut self, event: Event) {
        let attempt = self.attempt.expect("a run was ordered");
        self.step(Input::Ran { attempt, event });
    }

    fn fail(&mut self, step: Step, cause: Cause, not_run: bool) {
        self.run_event(Event::Failed(Failure { step, cause, not_run }));
    }

    /// Runs all timers that are due until a time.
    fn sleep(&mut self, until: Duration) {
        for _ in 0..10_000 {
            let Some(at) = self.requests.next_wakeup().filter(|at| *at <= until) else {
                self.now = until;
                return;
            };
            self.now = self.now.max(at);
            self.step(Input::Tick);
        }
        panic!("the timers never stop");
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
fn a_step_that_is_never_answered_ends_with_the_right_verdict_in_time() {
    // Some component never answers, and without time limits the caller would wait forever. The
    // verdict must tell requests that certainly did not run from those that may have run.
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
fn a_failed_run_is_rejoined_or_ended_depending_on_what_may_have_run() {
    // A connection breaks at some step. A non-idempotent request that may have run must not be sent
    // again; one that certainly did not run may; a run that continues at the engine is rejoined.
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
        // The budget denies the retry, which is requested only where it is safe.
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
    // A canceled run answers after the request was moved. If its events counted, they would end the
    // answer early or move the request again.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, true);
    driver.run_event(Event::Tokens { position: 5 });
    let old = driver.attempt.expect("a run was ordered");
    driver.withhold = "place";
    driver.step(Input::Leaving { upstream: "u".into(), notice: Some(Duration::ZERO) });
    let mut elsewhere = place();
    elsewhere.upstream = "v".into();
    driver.step(Input::Placed { request: REQUEST, place: elsewhere });
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
fn a_stopping_instance_refuses_new_requests_and_reports_when_drained() {
    // The caller must not lose its answer because of the shutdown, so running requests end first.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, true);
    driver.step(Input::Stop { remaining: Duration::from_secs(15) });
    let (mut head, body) = (None, Body { path: "/".into(), content: "c".into(), bytes: vec![2] });
    for output in &driver.log {
        if let Output::Admit(known) = output {
            head = Some(known.clone());
        }
    }
    let mut head = head.expect("the request was admitted");
    (head.request, head.keyed) = (Request(10), false);
    let (ticket, body) = (Ticket(2), body.into());
    driver.step(Input::Arrived(Arrival { ticket, head, body, after: None }));
    assert!(driver.verdict().is_some_and(refused(Reason::Stopping)));
    driver.run_event(Event::Ended { position: 0 });
    driver.step(Input::MirrorEnded(REQUEST));
    let drained = |driver: &Driver| driver.log.contains(&Output::Drained);
    assert!(!drained(&driver), "a caller is still reading");
    driver.step(Input::Gone(TICKET));
    assert!(drained(&driver));
}

#[test]
fn finished_answers_are_kept_for_their_retention_within_bounds() {
    let mut driver = Driver::open("", |setup| setup.limit.finished = 1);
    driver.call(true, true);
    driver.run_event(Event::Ended { position: 3 });
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
fn refusals_of_the_policy_reach_the_caller_unchanged() {
    let mut driver = Driver::open("admit", |_| {});
    driver.call(true, true);
    let refusal = Refusal { reason: Reason::Limit, retry: Some(Duration::from_millis(1234)) };
    driver.step(Input::Declined { request: REQUEST, refusal: refusal.clone() });
    assert_eq!(driver.verdict(), Some(&Verdict::Refused(refusal)));
    assert_eq!(driver.requests.counts().owned, 0);
}

fn takeover_message(epoch: u16) -> Input {
    let (owner, attempt, lineage) = ("i2".into(), None, 0);
    let message = Message::Taken(Takeover { request: REQUEST, owner, epoch, attempt, lineage });
    Input::Heard { from: "i2".into(), message }
}

#[test]
fn a_former_owner_yields_to_a_higher_epoch() {
    // The former owner was paused, and its second holder took the request over. If the former owner
    // continued, both would run the request to the end and callers could get halves of two answers.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, true);
    driver.step(takeover_message(2));
    let relayed = Verdict::Relay { request: REQUEST, after: 0, owner: "i2".into() };
    assert_eq!(driver.verdict(), Some(&relayed));
    assert!(driver.log.iter().any(|output| matches!(output, Output::Cancel(_))));
    assert!(!driver.requests.owns(REQUEST));
}

#[test]
fn each_ownership_claims_under_its_own_number() {
    // An instance is granted the claim, yields to another instance, and owns the request again after
    // the loss of that one. With the same number, the quorum would take the second claim for a resend
    // of the first and grant it, and the request would run twice.
    let mut driver = Driver::open("", |_| {});
    driver.call(true, false);
    driver.step(takeover_message(2));
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
    // The router has not received the notice yet and still chooses the upstream that leaves.
    let mut driver = Driver::open("", |_| {});
    driver.step(Input::Leaving { upstream: "u".into(), notice: Some(Duration::from_secs(9)) });
    driver.call(true, true);
    driver.sleep(Duration::from_secs(8));
    assert!(driver.runs().is_empty());
}

#[test]
fn not_run_is_reported_only_after_the_second_holder_has_dropped_the_request() {
    // The caller is told that the request did not run, and the owner is lost right after. A holder
    // that does not know of the refusal would take the request over and run it.
    for (silent, refusal_sent) in [(false, true), (true, false)] {
        let mut driver = Driver::open("place", |_| {});
        driver.call(true, true);
        if silent {
            driver.withhold = "journal";
        }
        let refusal = Refusal { reason: Reason::NoUpstream, retry: None };
        driver.step(Input::NoPlace { request: REQUEST, wait: None, refusal });
        assert_eq!(driver.verdict().is_some_and(refused(Reason::NoUpstream)), refusal_sent);
        driver.sleep(Duration::from_secs(1));
        let unsure = driver.verdict().is_some_and(unknown(Unknown::Unreachable));
        assert_eq!(unsure, silent);
    }
}

#[test]
fn a_copy_that_was_never_accepted_is_never_run() {
    // The owner got no acknowledgment in time, refused the request as not run and was lost. The copy,
    // which arrived nevertheless, must not run.
    for (sequence, runs) in [(0, false), (1, true)] {
        let mut other = Driver::open("", |_| {});
        other.call(true, true);
        let copy = other.log.iter().find_map(|output| match output {
            Output::Send { message: Message::Put(copy), .. } => Some(copy.clone()),
            _ => None,
        });
        let mut copy = copy.expect("the request was journaled");
        copy.note.sequence = sequence;
        let mut driver = Driver::open("", |_| {});
        driver.step(Input::Heard { from: "i2".into(), message: Message::Put(copy) });
        driver.step(Input::Lost("i2".into()));
        driver.sleep(Duration::from_secs(2));
        assert_eq!(!driver.runs().is_empty(), runs, "sequence {sequence}");
    }
}

/// Crashes the upstream of the current run and grants a retry.
fn crash(driver: &mut Driver) {
    driver.run_event(Event::Sent);
    driver.fail(Step::Read, Cause::Closed, false);
    driver.fail(Step::Connect, Cause::Closed, true);
    driver.step(Input::Retry { request: REQUEST, granted: Some(Duration::ZERO) });
}

/// Returns how many times an upstream was given the request, without rejoined runs.
fn count_new_runs(driver: &Driver) -> usize {
    driver.runs().iter().filter(|start| **start != Start::Rejoin).count()
}

#[test]
fn a_poison_request_is_not_run_forever() {
    // Without a limit, one upstream after another crashes while the budget lasts and whenever the
    // caller comes back: an upstream starts the request and crashes, the run cannot be rejoined because
    // the upstream refuses connections, and the request goes to the next upstream.
    let mut driver = Driver::open("retry", |_| {});
    driver.call(true, true);
    for _ in 0..10 {
        crash(&mut driver);
    }
    assert_eq!(count_new_runs(&driver), 3, "{:?}", driver.runs());
    assert_eq!(driver.verdict(), Some(&Verdict::Unknown(Unknown::UpstreamLost)));
    driver.call(true, true);
    assert_eq!(count_new_runs(&driver), 3, "the request ran again when its caller came back");
}

#[test]
fn a_takeover_keeps_the_crash_count() {
    // Two upstreams crash under a request and its owner is lost. If the second holder counted from
    // zero, the request could crash more upstreams after each loss of an owner.
    let mut owner = Driver::open("retry", |_| {});
    owner.call(true, true);
    (0..2).for_each(|_| crash(&mut owner));
    owner.run_event(Event::Sent);
    let mut successor = Driver::open("retry", |setup| {
        setup.instance = "i2".into();
        setup.zone = "z1".into();
    });
    let (instance, zone, boot) = ("i0".into(), "z0".into(), 1);
    successor.step(Input::Joined(Member { instance, zone, boot }));
    for output in owner.log.clone() {
        if let Output::Send { to, message: message @ (Message::Put(_) | Message::Note(_)) } = output
            && to.as_str() == "i2"
        {
            successor.step(Input::Heard { from: "i0".into(), message });
        }
    }
    successor.step(Input::Lost("i0".into()));
    successor.sleep(Duration::from_secs(8));
    assert!(successor.runs().contains(&Start::Rejoin), "{:?}", successor.runs());
    for _ in 0..5 {
        if successor.attempt.is_some() {
            successor.fail(Step::Connect, Cause::Closed, true);
            successor.step(Input::Retry { request: REQUEST, granted: Some(Duration::ZERO) });
            crash(&mut successor);
        }
    }
    assert_eq!(count_new_runs(&successor), 0, "{:?}", successor.runs());
}
