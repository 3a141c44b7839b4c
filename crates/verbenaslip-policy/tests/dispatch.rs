//! Tests admission, limits, retries and routing together.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::Phase;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::Reason;
use verbenaslip_policy::admit::Admission;
use verbenaslip_policy::dispatch::{Dispatch, Dispatcher};
use verbenaslip_policy::retry::{Decision, Denial, FailureKind};
use verbenaslip_table::{Row, Table};

use crate::common::{engine, head, key, ms, rng};

mod common;

/// Runs the dispatcher of a single instance that already holds its limits.
struct Harness {
    dispatcher: Dispatcher,
    rng: Pcg64Mcg,
    now: Duration,
}

impl Harness {
    fn new(row: impl FnOnce(&mut Row)) -> Self {
        let mut dispatcher = Dispatcher::new(ms(0), "i0".into(), "z0".into(), 1);
        dispatcher.set_members(ms(0), &["i0".into()]);
        let mut harness = Self { dispatcher, rng: rng(1), now: ms(0) };
        harness.set_table(row);
        harness.advance(8);
        harness.announce_all(1);
        harness
    }

    /// Advances time in seconds and updates the limits once per second.
    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += ms(1_000);
            self.dispatcher.tick_limits(self.now);
        }
    }

    fn set_table(&mut self, edit: impl FnOnce(&mut Row)) {
        let mut row = Row::new("a", "class");
        edit(&mut row);
        let table = Table::new([row]).expect("the row is valid");
        self.dispatcher.set_table(self.now, &table);
    }

    fn announce_all(&mut self, sequence: u64) {
        for number in 0..6 {
            let zone = format!("z{}", number % 3);
            let announcement = engine(&format!("e{number}"), &zone, sequence);
            self.dispatcher.handle_announcement(self.now, &announcement);
        }
    }

    fn offer(&mut self, id: u128) -> Admission {
        let mut head = head(id, "a");
        head.deadline = self.now + ms(30_000);
        let admission = self.dispatcher.offer(self.now, head, self.now, &mut self.rng);
        self.dispatcher.mark_ready(Request(id));
        admission
    }

    fn dispatch(&mut self) -> Vec<Dispatch> {
        self.dispatcher.next_dispatches(self.now, &mut self.rng)
    }
}

#[test]
fn a_request_runs_once_ready_and_is_removed_when_completed() {
    let mut harness = Harness::new(|_| ());
    assert_eq!(harness.offer(1), Admission::Admitted);
    let runs = harness.dispatch();
    assert_eq!(runs.len(), 1);
    assert!(harness.dispatch().is_empty());
    harness.now += ms(100);
    harness.dispatcher.record_first_token(harness.now, Request(1));
    harness.now += ms(900);
    harness.dispatcher.record_completion(harness.now, Request(1), 40);
    assert_eq!((harness.dispatcher.running(), harness.dispatcher.waiting()), (0, 0));
    assert_eq!(harness.dispatcher.limiter().running(&key("a", "class")), 0);
}

#[test]
fn refusals_state_their_reason() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Harness),
        reason: Reason,
        hint: bool,
    }
    let all_leave = |harness: &mut Harness| {
        for number in 0..6 {
            let mut leaving = engine(&format!("e{number}"), "z0", 2);
            leaving.phase = Phase::Leaving { notice: Some(10_000) };
            harness.dispatcher.handle_announcement(harness.now, &leaving);
        }
    };
    let cases = [
        Case {
            name: "all are leaving",
            prepare: all_leave,
            reason: Reason::NoUpstream,
            hint: true,
        },
        Case {
            name: "the row is gone",
            prepare: |harness| harness.dispatcher.set_table(harness.now, &Table::default()),
            reason: Reason::NoRow,
            hint: false,
        },
        Case {
            name: "the rate is used up",
            prepare: |harness| {
                harness.set_table(|row| {
                    row.rate = Some(1);
                    row.burst = 1;
                    row.max_wait_ms = 1_000;
                });
                (100..104).for_each(|id| {
                    harness.offer(id);
                });
            },
            reason: Reason::Limit,
            hint: true,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(|_| ());
        (case.prepare)(&mut harness);
        let admission = harness.offer(1);
        let Admission::Refused(refusal) = admission else {
            panic!("{}: {admission:?}", case.name);
        };
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert_eq!(refusal.retry.is_some(), case.hint, "{}", case.name);
    }
}

#[test]
fn a_changed_limit_applies_to_queued_requests() {
    // Guards against a lowered concurrency limit that has no effect during an overload. This
    // happens when limits are taken from the request instead of the route table. Here 12 requests
    // are queued, the limit is lowered to 4 and raised to 6.
    let mut harness = Harness::new(|row| row.concurrency = 100);
    (1..=12).for_each(|id| {
        harness.offer(id);
    });
    harness.set_table(|row| row.concurrency = 4);
    assert_eq!(harness.dispatch().len(), 4);
    harness.set_table(|row| row.concurrency = 6);
    assert_eq!(harness.dispatch().len(), 2);
    harness.set_table(|row| row.concurrency = 3);
    harness.dispatcher.record_completion(harness.now, Request(1), 10);
    assert!(harness.dispatch().is_empty(), "five requests run and only three are allowed");
}

#[test]
fn work_of_a_reclaimed_zone_moves_at_once_and_is_spread() {
    // Guards against requests that are lost or flood the other zones when a zone is reclaimed at
    // the top of the hour. Causes are stored choices, retries that bypass the queue, and retry
    // budgets charged for reclaims. Here 48 requests fill all slots, the engines of a zone get a
    // reclaim notice, new requests arrive, the engines are lost, and later the other requests end.
    let mut harness = Harness::new(|_| ());
    (1..=48).for_each(|id| {
        harness.offer(id);
    });
    let runs = harness.dispatch();
    assert_eq!(runs.len(), 48);
    let in_reclaimed_zone = |name: &Upstream| ["e0", "e3"].contains(&name.as_str());
    for name in ["e0", "e3"] {
        let mut leaving = engine(name, "z0", 2);
        leaving.phase = Phase::Leaving { notice: Some(2_000) };
        harness.dispatcher.handle_announcement(harness.now, &leaving);
    }
    (100..110).for_each(|id| {
        harness.offer(id);
    });
    assert!(harness.dispatch().iter().all(|run| !in_reclaimed_zone(&run.choice.upstream)));
    harness.advance(2);
    let mut delays = Vec::new();
    for name in ["e0", "e3"] {
        harness.dispatcher.remove_upstream(harness.now, &name.into());
    }
    for run in runs.iter().filter(|run| in_reclaimed_zone(&run.choice.upstream)) {
        let (request, name) = (run.head.request, &run.choice.upstream);
        let decision = harness.dispatcher.handle_failure(
            harness.now,
            request,
            name,
            FailureKind::Lost,
            &mut harness.rng,
        );
        let Decision::RetryAfter(delay) = decision else { panic!("{decision:?}") };
        delays.push(delay);
    }
    assert!(delays.iter().any(|delay| *delay > ms(50)), "no delay exceeds 50 ms: {delays:?}");
    harness.advance(9);
    for number in [1, 2, 4, 5] {
        let mut announcement = engine(&format!("e{number}"), &format!("z{}", number % 3), 9);
        announcement.load.running = 8;
        harness.dispatcher.handle_announcement(harness.now, &announcement);
    }
    assert!(harness.dispatch().is_empty(), "all slots are in use");
    harness.now += ms(10);
    for run in runs.iter().filter(|run| !in_reclaimed_zone(&run.choice.upstream)) {
        harness.dispatcher.record_completion(harness.now, run.head.request, 20);
    }
    let rerun = harness.dispatch().into_iter().filter(|run| run.head.request.0 < 100).count();
    assert_eq!(rerun, delays.len(), "every lost request runs again");
}

#[test]
fn a_lost_non_idempotent_run_is_not_retried() {
    let mut harness = Harness::new(|_| ());
    let mut confirm = head(1, "a");
    confirm.idempotent = false;
    confirm.deadline = harness.now + ms(30_000);
    harness.dispatcher.offer(harness.now, confirm, harness.now, &mut harness.rng);
    harness.dispatcher.mark_ready(Request(1));
    let run = harness.dispatch().remove(0);
    let decision = harness.dispatcher.handle_failure(
        harness.now,
        Request(1),
        &run.choice.upstream,
        FailureKind::Lost,
        &mut harness.rng,
    );
    assert_eq!(decision, Decision::Denied(Denial::MayHaveRun));
    assert!(harness.dispatch().is_empty());
}

#[test]
fn a_cancelled_request_leaves_no_state() {
    struct Case {
        name: &'static str,
        runs: bool,
        failed: bool,
    }
    let cases = [
        Case { name: "waiting", runs: false, failed: false },
        Case { name: "running", runs: true, failed: false },
        Case { name: "waiting for a retry", runs: true, failed: true },
    ];
    for case in cases {
        let mut harness = Harness::new(|_| ());
        harness.offer(1);
        let runs = if case.runs { harness.dispatch() } else { Vec::new() };
        if case.failed {
            let upstream = runs[0].choice.upstream.clone();
            harness.dispatcher.handle_failure(
                harness.now,
                Request(1),
                &upstream,
                FailureKind::Lost,
                &mut harness.rng,
            );
        }
        let upstream = harness.dispatcher.cancel(harness.now, Request(1));
        assert_eq!(upstream.is_some(), case.runs && !case.failed, "{}", case.name);
        harness.advance(20);
        harness.announce_all(5);
        assert!(harness.dispatch().is_empty(), "{}", case.name);
        assert_eq!(harness.dispatcher.waiting() + harness.dispatcher.running(), 0, "{}", case.name);
        assert_eq!(harness.dispatcher.limiter().running(&key("a", "class")), 0, "{}", case.name);
    }
}

#[test]
fn late_and_repeated_events_are_harmless() {
    let mut harness = Harness::new(|_| ());
    harness.offer(1);
    let run = harness.dispatch().remove(0);
    for _ in 0..2 {
        harness.dispatcher.record_first_token(harness.now, Request(1));
        harness.dispatcher.record_completion(harness.now, Request(1), 10);
        let upstream = &run.choice.upstream;
        harness.dispatcher.handle_failure(
            harness.now,
            Request(1),
            upstream,
            FailureKind::Lost,
            &mut harness.rng,
        );
        harness.dispatcher.remove_upstream(harness.now, upstream);
        harness.dispatcher.cancel(harness.now, Request(99));
        harness.dispatcher.record_move(harness.now, Request(1), &run.choice);
    }
    assert_eq!(harness.dispatcher.running() + harness.dispatcher.waiting(), 0);
    assert_eq!(harness.dispatcher.limiter().running(&key("a", "class")), 0);
}
