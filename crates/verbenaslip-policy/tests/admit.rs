//! Who waits, who goes next, and who is refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::refusal::Reason;
use verbenaslip_policy::admit::{Admission, Queue};

use crate::common::{item, ms, pool, rng, terms};

mod common;

#[test]
fn an_idle_queue_admits_and_gives_the_request_once_it_is_ready() {
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let request = item(1, "a", terms(|_| ()));
    let admission = queue.offer(ms(0), request.clone(), &pool(8, 8), &mut rng);
    assert_eq!(admission, Admission::Admitted);
    assert_eq!(queue.next(ms(0), &pool(8, 8), |_, _| true), None, "it is not journalled yet");
    assert!(queue.ready(request.head.request));
    assert_eq!(queue.next(ms(0), &pool(8, 8), |_, _| true), Some(request));
    assert!(queue.is_empty());
}

#[test]
fn what_cannot_be_on_time_is_refused_at_once() {
    // Symptom: callers wait until their deadline for an answer that could never come. Sequence: a
    // request arrives whose service time alone, or with the backlog, exceeds what is left. Cause:
    // admission without a prediction.
    struct Case {
        name: &'static str,
        waiting: u128,
        deadline: Duration,
        refused: bool,
        hint: bool,
    }
    let cases = [
        Case { name: "idle", waiting: 0, deadline: ms(30_000), refused: false, hint: false },
        Case {
            name: "too short for anyone",
            waiting: 0,
            deadline: ms(200),
            refused: true,
            hint: false,
        },
        Case {
            name: "short backlog",
            waiting: 4,
            deadline: ms(30_000),
            refused: false,
            hint: false,
        },
        Case { name: "long backlog", waiting: 200, deadline: ms(8_000), refused: true, hint: true },
    ];
    for case in cases {
        let (mut queue, mut rng) = (Queue::default(), rng(1));
        for id in 0..case.waiting {
            let mut ahead = item(100 + id, "a", terms(|_| ()));
            ahead.head.deadline = case.deadline - ms(100);
            queue.offer(ms(0), ahead, &pool(8, 0), &mut rng);
        }
        let mut last = item(1, "a", terms(|_| ()));
        last.head.deadline = case.deadline;
        let admission = queue.offer(ms(0), last, &pool(8, 0), &mut rng);
        let Admission::Refused(refusal) = admission else {
            assert!(!case.refused, "{}: {admission:?}", case.name);
            continue;
        };
        assert!(case.refused, "{}: {refusal:?}", case.name);
        assert_eq!(refusal.reason, Reason::Deadline, "{}", case.name);
        assert_eq!(refusal.retry.is_some(), case.hint, "{}", case.name);
    }
}

#[test]
fn equal_lanes_share_by_weight() {
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    for (team, weight, base) in [("a", 300, 0), ("b", 100, 1000)] {
        for id in 0..200 {
            let mut request = item(base + id, team, terms(|row| row.weight = weight));
            request.terms.wait = ms(1_000_000);
            request.head.deadline = ms(1_000_000);
            let identity = request.head.request;
            queue.offer(ms(0), request, &pool(64, 0), &mut rng);
            assert!(queue.ready(identity));
        }
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..100 {
        let next = queue.next(ms(0), &pool(8, 8), |_, _| true).expect("both lanes have work");
        *counts.entry(next.head.team.to_string()).or_default() += 1;
    }
    assert_eq!(counts["a"], 75, "{counts:?}");
}
