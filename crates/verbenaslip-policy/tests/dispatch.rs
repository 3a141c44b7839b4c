//! Admission, limits, retries and routing together.

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

/// One instance alone, at a time at which it holds its limits.
struct Node {
    dispatcher: Dispatcher,
    rng: Pcg64Mcg,
    now: Duration,
}

impl Node {
    fn new(row: impl FnOnce(&mut Row)) -> Self {
        let mut dispatcher = Dispatcher::new(ms(0), "i0".into(), "z0".into(), 1);
        dispatcher.set_members(ms(0), &["i0".into()]);
        let mut node = Self { dispatcher, rng: rng(1), now: ms(0) };
        node.table(row);
        node.wait(8);
        node.announce(1);
        node
    }

    /// Lets seconds pass, with the limits stepped once in each.
    fn wait(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += ms(1_000);
            self.dispatcher.tick_limits(self.now);
        }
    }

    fn table(&mut self, edit: impl FnOnce(&mut Row)) {
        let mut row = Row::new("a", "class");
        edit(&mut row);
        let table = Table::new([row]).expect("the row is allowed");
        self.dispatcher.set_table(self.now, &table);
    }

    fn announce(&mut self, sequence: u64) {
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

    fn next(&mut self) -> Vec<Dispatch> {
        self.dispatcher.next_dispatches(self.now, &mut self.rng)
    }
}

#[test]
fn a_request_runs_once_it_is_ready_and_is_forgotten_when_it_ended() {
    let mut node = Node::new(|_| ());
    assert_eq!(node.offer(1), Admission::Admitted);
    let runs = node.next();
    assert_eq!(runs.len(), 1);
    assert!(node.next().is_empty());
    node.now += ms(100);
    node.dispatcher.record_first_token(node.now, Request(1));
    node.now += ms(900);
    node.dispatcher.record_completion(node.now, Request(1), 40);
    assert_eq!((node.dispatcher.running(), node.dispatcher.waiting()), (0, 0));
    assert_eq!(node.dispatcher.limiter().running(&key("a", "class")), 0);
}

#[test]
fn refusals_name_their_reason() {
    struct Case {
        name: &'static str,
        set: fn(&mut Node),
        reason: Reason,
        hint: bool,
    }
    let leave = |node: &mut Node| {
        for number in 0..6 {
            let mut leaving = engine(&format!("e{number}"), "z0", 2);
            leaving.phase = Phase::Leaving { notice: Some(10_000) };
            node.dispatcher.handle_announcement(node.now, &leaving);
        }
    };
    let cases = [
        Case { name: "all are leaving", set: leave, reason: Reason::NoUpstream, hint: true },
        Case {
            name: "the row is gone",
            set: |node| node.dispatcher.set_table(node.now, &Table::default()),
            reason: Reason::NoRow,
            hint: false,
        },
        Case {
            name: "the rate is used up",
            set: |node| {
                node.table(|row| {
                    row.rate = Some(1);
                    row.burst = 1;
                    row.max_wait_ms = 1_000;
                });
                (100..104).for_each(|id| {
                    node.offer(id);
                });
            },
            reason: Reason::Limit,
            hint: true,
        },
    ];
    for case in cases {
        let mut node = Node::new(|_| ());
        (case.set)(&mut node);
        let admission = node.offer(1);
        let Admission::Refused(refusal) = admission else {
            panic!("{}: {admission:?}", case.name);
        };
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert_eq!(refusal.retry.is_some(), case.hint, "{}", case.name);
    }
}

#[test]
fn an_edit_of_a_limit_holds_for_what_already_waits() {
    // Symptom: an operator lowers the concurrency in an overload and nothing changes. Sequence: 12
    // requests wait, the row's concurrency is lowered to 4, then raised to 6. Cause: limits taken
    // from the request instead of the table.
    let mut node = Node::new(|row| row.concurrency = 100);
    (1..=12).for_each(|id| {
        node.offer(id);
    });
    node.table(|row| row.concurrency = 4);
    assert_eq!(node.next().len(), 4);
    node.table(|row| row.concurrency = 6);
    assert_eq!(node.next().len(), 2);
    node.table(|row| row.concurrency = 3);
    node.dispatcher.record_completion(node.now, Request(1), 10);
    assert!(node.next().is_empty(), "five run, three are allowed");
}

#[test]
fn a_reclaimed_zone_is_left_at_once_and_its_work_comes_back_spread() {
    // Symptom: at the top of the hour a zone is taken, and its requests are lost or flood the other
    // zones. Sequence: 48 requests fill all slots, a zone's engines get their notice, new requests
    // come, the engines die, later the others' requests end. Cause: held choices, retries that go
    // straight to an upstream, budgets charged for reclaims.
    let mut node = Node::new(|_| ());
    (1..=48).for_each(|id| {
        node.offer(id);
    });
    let runs = node.next();
    assert_eq!(runs.len(), 48);
    let taken = |name: &Upstream| ["e0", "e3"].contains(&name.as_str());
    for name in ["e0", "e3"] {
        let mut leaving = engine(name, "z0", 2);
        leaving.phase = Phase::Leaving { notice: Some(2_000) };
        node.dispatcher.handle_announcement(node.now, &leaving);
    }
    (100..110).for_each(|id| {
        node.offer(id);
    });
    assert!(node.next().iter().all(|run| !taken(&run.choice.upstream)));
    node.wait(2);
    let mut delays = Vec::new();
    for name in ["e0", "e3"] {
        node.dispatcher.remove_upstream(node.now, &name.into());
    }
    for run in runs.iter().filter(|run| taken(&run.choice.upstream)) {
        let (request, name) = (run.head.request, &run.choice.upstream);
        let verdict = node.dispatcher.handle_failure(
            node.now,
            request,
            name,
            FailureKind::Lost,
            &mut node.rng,
        );
        let Decision::RetryAfter(delay) = verdict else { panic!("{verdict:?}") };
        delays.push(delay);
    }
    assert!(delays.iter().any(|delay| *delay > ms(50)), "all at once: {delays:?}");
    node.wait(9);
    for number in [1, 2, 4, 5] {
        let mut announcement = engine(&format!("e{number}"), &format!("z{}", number % 3), 9);
        announcement.load.running = 8;
        node.dispatcher.handle_announcement(node.now, &announcement);
    }
    assert!(node.next().is_empty(), "every slot is taken");
    node.now += ms(10);
    for run in runs.iter().filter(|run| !taken(&run.choice.upstream)) {
        node.dispatcher.record_completion(node.now, run.head.request, 20);
    }
    let again = node.next().into_iter().filter(|run| run.head.request.0 < 100).count();
    assert_eq!(again, delays.len(), "all run again");
}

#[test]
fn a_non_idempotent_run_that_was_lost_is_not_run_again() {
    let mut node = Node::new(|_| ());
    let mut confirm = head(1, "a");
    confirm.idempotent = false;
    confirm.deadline = node.now + ms(30_000);
    node.dispatcher.offer(node.now, confirm, node.now, &mut node.rng);
    node.dispatcher.mark_ready(Request(1));
    let run = node.next().remove(0);
    let verdict = node.dispatcher.handle_failure(
        node.now,
        Request(1),
        &run.choice.upstream,
        FailureKind::Lost,
        &mut node.rng,
    );
    assert_eq!(verdict, Decision::Denied(Denial::MayHaveRun));
    assert!(node.next().is_empty());
}

#[test]
fn a_cancelled_request_leaves_nothing_behind() {
    struct Case {
        name: &'static str,
        runs: bool,
        failed: bool,
    }
    let cases = [
        Case { name: "waiting", runs: false, failed: false },
        Case { name: "running", runs: true, failed: false },
        Case { name: "about to run again", runs: true, failed: true },
    ];
    for case in cases {
        let mut node = Node::new(|_| ());
        node.offer(1);
        let runs = if case.runs { node.next() } else { Vec::new() };
        if case.failed {
            let upstream = runs[0].choice.upstream.clone();
            node.dispatcher.handle_failure(
                node.now,
                Request(1),
                &upstream,
                FailureKind::Lost,
                &mut node.rng,
            );
        }
        let home = node.dispatcher.cancel(node.now, Request(1));
        assert_eq!(home.is_some(), case.runs && !case.failed, "{}", case.name);
        node.wait(20);
        node.announce(5);
        assert!(node.next().is_empty(), "{}", case.name);
        assert_eq!(node.dispatcher.waiting() + node.dispatcher.running(), 0, "{}", case.name);
        assert_eq!(node.dispatcher.limiter().running(&key("a", "class")), 0, "{}", case.name);
    }
}

#[test]
fn late_and_repeated_news_of_a_request_is_harmless() {
    let mut node = Node::new(|_| ());
    node.offer(1);
    let run = node.next().remove(0);
    for _ in 0..2 {
        node.dispatcher.record_first_token(node.now, Request(1));
        node.dispatcher.record_completion(node.now, Request(1), 10);
        let upstream = &run.choice.upstream;
        node.dispatcher.handle_failure(
            node.now,
            Request(1),
            upstream,
            FailureKind::Lost,
            &mut node.rng,
        );
        node.dispatcher.remove_upstream(node.now, upstream);
        node.dispatcher.cancel(node.now, Request(99));
        node.dispatcher.record_move(node.now, Request(1), &run.choice);
    }
    assert_eq!(node.dispatcher.running() + node.dispatcher.waiting(), 0);
    assert_eq!(node.dispatcher.limiter().running(&key("a", "class")), 0);
}
