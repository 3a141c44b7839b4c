//! Tests which requests are queued, which go next and which are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::refusal::Reason;
use verbenaslip_policy::admit::{Admission, Queue};

use crate::common::{ms, params, pool, queued, rng};

mod common;

#[test]
fn an_idle_queue_admits_a_request_and_returns_it_once_ready() {
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let request = queued(1, "a", params(|_| ()));
    let admission = queue.offer(ms(0), request.clone(), &pool(8, 8), &mut rng);
    assert_eq!(admission, Admission::Admitted);
    assert_eq!(
        queue.next(ms(0), &pool(8, 8), |_, _| true),
        None,
        "the request is not marked ready yet"
    );
    assert!(queue.mark_ready(request.head.request));
    assert_eq!(queue.next(ms(0), &pool(8, 8), |_, _| true), Some(request));
    assert!(queue.is_empty());
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused() {
    // Guards against callers that wait until their deadline for an answer that could not arrive in
    // time. This happens when admission makes no prediction and a request arrives whose service
    // time, alone or with the backlog, exceeds the remaining time.
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
            name: "deadline too short for any upstream",
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
            let mut ahead = queued(100 + id, "a", params(|_| ()));
            ahead.head.deadline = case.deadline - ms(100);
            queue.offer(ms(0), ahead, &pool(8, 0), &mut rng);
        }
        let mut last = queued(1, "a", params(|_| ()));
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
fn lanes_of_one_priority_share_by_weight() {
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    for (team, weight, first_id) in [("a", 300, 0), ("b", 100, 1000)] {
        for id in 0..200 {
            let mut request = queued(first_id + id, team, params(|row| row.weight = weight));
            request.params.max_wait = ms(1_000_000);
            request.head.deadline = ms(1_000_000);
            let request_id = request.head.request;
            queue.offer(ms(0), request, &pool(64, 0), &mut rng);
            assert!(queue.mark_ready(request_id));
        }
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..100 {
        let next =
            queue.next(ms(0), &pool(8, 8), |_, _| true).expect("both lanes have queued requests");
        *counts.entry(next.head.team.to_string()).or_default() += 1;
    }
    assert_eq!(counts["a"], 75, "{counts:?}");
}

#[test]
fn higher_priorities_go_first_without_starving_lower_ones() {
    // Guards against bulk work that never runs while small requests keep arriving. This happens
    // with a strict priority without a bound. Here 300 requests of priority 7 and ten of priority 2
    // are queued.
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    for (team, priority, first_id, count) in [("high", 7, 0, 300), ("low", 2, 1_000, 10)] {
        for id in 0..count {
            let mut request = queued(first_id + id, team, params(|row| row.priority = priority));
            request.params.max_wait = ms(1_000_000);
            request.head.deadline = ms(1_000_000);
            let request_id = request.head.request;
            queue.offer(ms(0), request, &pool(512, 0), &mut rng);
            assert!(queue.mark_ready(request_id));
        }
    }
    let mut low_turns = Vec::new();
    for turn in 0..100 {
        let next = queue.next(ms(0), &pool(8, 8), |_, _| true).expect("requests are queued");
        if next.head.team.as_str() == "low" {
            low_turns.push(turn);
        }
    }
    assert!(
        (7..=10).contains(&low_turns.len()),
        "the low priority gets about a tenth: {low_turns:?}"
    );
    assert!(low_turns[0] >= 5, "the higher priority goes first: {low_turns:?}");
}

#[test]
fn slots_stay_free_for_higher_priorities() {
    // Guards against urgent small requests that find no slot while long drafts run. This happens
    // when priority only counts at the moment a slot is assigned. Here urgent requests arrive
    // steadily, and during a second without them the drafts ask for every free slot.
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let mut id = 0;
    for step in 0..200 {
        let now = ms(step * 100);
        id += 1;
        let mut urgent = queued(id, "urgent", params(|row| row.priority = 7));
        urgent.head.deadline = now + ms(30_000);
        let request_id = urgent.head.request;
        queue.offer(now, urgent, &pool(64, 40), &mut rng);
        queue.mark_ready(request_id);
        let taken = queue.next(now, &pool(64, 40), |_, _| true).expect("slots are free");
        queue.release(&taken);
    }
    let now = ms(20_000);
    for draft in 0..64 {
        let mut request = queued(10_000 + draft, "draft", params(|row| row.priority = 3));
        request.head.deadline = now + ms(600_000);
        request.params.max_wait = ms(600_000);
        let request_id = request.head.request;
        queue.offer(now, request, &pool(64, 40), &mut rng);
        queue.mark_ready(request_id);
    }
    let mut free = 40;
    while queue.next(now, &pool(64, free), |_, _| true).is_some() {
        free -= 1;
    }
    assert!((5..=25).contains(&free), "{free} slots stayed free");
}

#[test]
fn refused_callers_get_different_retry_hints() {
    // Guards against refused callers that all return in the same second and are refused again. This
    // happens with a fixed retry hint. Here 400 requests arrive at once and most are refused.
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let mut hints = Vec::new();
    for id in 0..400 {
        let mut request = queued(id, "a", params(|_| ()));
        request.head.deadline = ms(6_000);
        let admission = queue.offer(ms(0), request, &pool(8, 0), &mut rng);
        if let Admission::Refused(refusal) = admission {
            hints.push(refusal.retry.expect("the refusal has a retry hint").as_secs());
        }
    }
    assert!(hints.len() >= 300, "only {} requests were refused", hints.len());
    let mut seconds: BTreeMap<u64, usize> = BTreeMap::new();
    hints.iter().for_each(|hint| *seconds.entry(*hint).or_default() += 1);
    // Eight slots serve about four of these requests per second.
    assert!(seconds.values().all(|count| *count <= 12), "{seconds:?}");
    assert!(hints.iter().all(|hint| *hint <= 600), "{seconds:?}");
}

#[test]
fn requests_that_become_late_while_queued_are_refused() {
    // Guards against a caller that waits until its deadline for a refusal. This happens when the
    // queue only checks the first request, and only when a slot becomes free. Here a request is
    // queued, no slot becomes free, and its service time no longer fits. Delaying the answer to
    // keep callers from retrying is not acceptable.
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let mut late = queued(1, "a", params(|_| ()));
    late.head.deadline = ms(8_000);
    let mut impatient = queued(2, "a", params(|row| row.max_wait_ms = 3_000));
    impatient.head.deadline = ms(60_000);
    for request in [late, impatient] {
        queue.offer(ms(0), request, &pool(8, 0), &mut rng);
    }
    assert!(queue.expire(ms(1_000), &pool(8, 0), &mut rng).is_empty());
    let expired = queue.expire(ms(3_100), &pool(8, 0), &mut rng);
    assert_eq!(expired.len(), 1, "the request reached the maximum wait of its row: {expired:?}");
    assert_eq!(expired[0].refusal.reason, Reason::Overload);
    let expired = queue.expire(ms(7_000), &pool(8, 0), &mut rng);
    assert_eq!(expired.len(), 1, "the answer can no longer meet the deadline: {expired:?}");
    assert_eq!(expired[0].refusal.reason, Reason::Deadline);
    assert!(expired[0].refusal.retry.is_some());
    assert!(queue.is_empty());
}

#[test]
fn without_upstreams_a_request_is_refused_with_a_hint() {
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let admission = queue.offer(ms(0), queued(1, "a", params(|_| ())), &pool(0, 0), &mut rng);
    let Admission::Refused(refusal) = admission else { panic!("{admission:?}") };
    assert_eq!(refusal.reason, Reason::NoUpstream);
    assert!(refusal.retry.is_some());
}

#[test]
fn an_idle_lane_gains_no_credit() {
    // Guards against a team that takes every slot for minutes after it was idle for an hour. This
    // happens when service is counted from the beginning of time. Here two teams are served, one
    // continues alone for a hundred requests, and then the other returns.
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let mut add = |queue: &mut Queue, team: &str, from: u128, count: u128| {
        for id in from..from + count {
            let mut request = queued(id, team, params(|_| ()));
            request.params.max_wait = ms(1_000_000);
            request.head.deadline = ms(1_000_000);
            let request_id = request.head.request;
            queue.offer(ms(0), request, &pool(64, 0), &mut rng);
            queue.mark_ready(request_id);
        }
    };
    add(&mut queue, "old", 0, 200);
    add(&mut queue, "new", 900, 1);
    for _ in 0..100 {
        queue.next(ms(0), &pool(8, 8), |_, _| true).expect("requests are queued");
    }
    add(&mut queue, "new", 1_000, 50);
    let next = (0..20).filter_map(|_| queue.next(ms(0), &pool(8, 8), |_, _| true));
    let new = next.filter(|queued| queued.head.team.as_str() == "new").count();
    assert!((9..=11).contains(&new), "{new} of 20");
}

#[test]
fn extreme_numbers_do_not_panic() {
    let (mut queue, mut rng) = (Queue::default(), rng(1));
    let extremes = [0, 1, u32::MAX];
    for (id, prompt) in (0..).zip(extremes) {
        for (minor, output) in (0..).zip(extremes) {
            for deadline in [Duration::ZERO, ms(1), Duration::MAX] {
                let mut request = queued(id * 10 + minor, "a", params(|_| ()));
                request.head.prompt = prompt;
                request.head.output = output;
                request.head.deadline = deadline;
                request.cached_tokens = output;
                request.params.weight = 0;
                let request_id = request.head.request;
                queue.offer(Duration::MAX, request, &pool(u32::MAX, 0), &mut rng);
                queue.mark_ready(request_id);
                queue.next(ms(0), &pool(1, 1), |_, _| true);
                queue.expire(Duration::MAX, &pool(0, 0), &mut rng);
            }
        }
    }
}
