//! Upstreams that ask for a cooldown, or announce their departure, in their answers to one entry.

mod common;

use std::time::Duration;

use common::{REPLY, query, run, view};
use verbenaslip_relay::dialect::ResponseInfo;
use verbenaslip_relay::policy::placement::{Cause, Choice, Decision, Ending, Placement};
use verbenaslip_relay::policy::restriction::{Change, Restriction};

const SECOND: Duration = Duration::from_secs(1);

fn new_placement(upstreams: u16) -> Placement {
    common::new_placement(&view((1..=upstreams).map(|number| run(number, 1))))
}

/// Handles at `now` the answer to a request that was sent at `sent`.
fn handle_answer(
    entry: &mut Placement,
    sent: Duration,
    now: Duration,
    choice: &Choice,
    cooldown_secs: Option<u64>,
) {
    let refused = cooldown_secs.is_some();
    let info = ResponseInfo {
        not_run: refused,
        cooldown: cooldown_secs.map(Duration::from_secs),
        ..REPLY
    };
    entry.handle_response_info(now, choice, sent, &info);
    let ending = if refused { Ending::CoolingDown } else { Ending::Complete };
    entry.record_end(now, choice, ending, (!refused).then_some(Duration::from_millis(15)));
}

fn try_place(entry: &mut Placement, now: Duration, spare: bool) -> Option<Choice> {
    match entry.choose(now, &query(spare)) {
        Decision::Send(choice) => Some(choice),
        Decision::Refuse(busy) => {
            assert!(matches!(busy.cause, Cause::Restricted(Restriction::CoolingDown)), "{busy:?}");
            None
        }
        Decision::NoUpstream => panic!("no upstream is available"),
    }
}

/// Returns a placement whose only upstream asked for a cooldown of three seconds at the first
/// second.
fn placement_in_cooldown() -> Placement {
    let mut entry = new_placement(1);
    let choice = try_place(&mut entry, SECOND, true).expect("no cooldown is known yet");
    handle_answer(&mut entry, SECOND, SECOND, &choice, Some(3));
    entry
}

#[test]
fn nothing_is_sent_during_cooldown_and_callers_get_retry_time() {
    // Guards against a cooldown that holds for only one request or one moment.
    let mut entry = placement_in_cooldown();
    for step in 0..30 {
        let now = SECOND + Duration::from_millis(step * 100);
        let Decision::Refuse(busy) = entry.choose(now, &query(true)) else {
            panic!("the upstream is in its cooldown")
        };
        let remaining = SECOND * 4 - now;
        assert_eq!(busy.retry_after, remaining.max(Duration::from_millis(300)), "at {now:?}");
    }
    assert!(try_place(&mut entry, SECOND * 4, true).is_some());
}

#[test]
fn single_probe_with_spare_attempt_ends_cooldown() {
    // Guards against losing requests with a single attempt as probes, and against several probes
    // at once.
    let mut entry = placement_in_cooldown();
    assert!(
        try_place(&mut entry, SECOND * 4, false).is_none(),
        "a request with a single attempt must not probe"
    );
    let probe = try_place(&mut entry, SECOND * 4, true).expect("the cooldown is over");
    assert!(try_place(&mut entry, SECOND * 4, true).is_none(), "only one probe is sent");
    handle_answer(&mut entry, SECOND * 4, SECOND * 4, &probe, Some(2));
    assert!(try_place(&mut entry, SECOND * 5, true).is_none());
    let probe = try_place(&mut entry, SECOND * 6, true).expect("the second cooldown is over");
    handle_answer(&mut entry, SECOND * 6, SECOND * 6, &probe, None);
    assert!(
        try_place(&mut entry, SECOND * 6, false).is_some(),
        "the upstream takes requests again"
    );
}

#[test]
fn single_attempt_request_probes_after_second_cooldown() {
    // Guards against a cooldown without an end.
    let mut entry = placement_in_cooldown();
    assert!(try_place(&mut entry, SECOND * 6, false).is_none());
    assert!(try_place(&mut entry, SECOND * 7, false).is_some());
    assert!(try_place(&mut entry, SECOND * 8, false).is_none(), "the probe is still unanswered");
    assert!(try_place(&mut entry, SECOND * 10, false).is_some(), "the probe was never answered");
}

#[test]
fn refusal_without_time_repeats_cooldown() {
    // Guards against a request every few milliseconds once the first cooldown is over.
    let mut entry = placement_in_cooldown();
    let probe = try_place(&mut entry, SECOND * 4, true).expect("the cooldown is over");
    let info = ResponseInfo { not_run: true, ..REPLY };
    assert_eq!(entry.handle_response_info(SECOND * 4, &probe, SECOND * 4, &info), []);
    assert!(try_place(&mut entry, SECOND * 6, true).is_none());
    assert!(try_place(&mut entry, SECOND * 7, true).is_some());
}

#[test]
fn answer_to_earlier_request_does_not_end_cooldown() {
    // Guards against ending a cooldown because of a slow answer from the time before it.
    let mut entry = new_placement(1);
    let slow = try_place(&mut entry, SECOND, true).expect("no cooldown is known yet");
    let refused = try_place(&mut entry, SECOND, true).expect("no cooldown is known yet");
    handle_answer(&mut entry, SECOND, SECOND, &refused, Some(3));
    handle_answer(&mut entry, SECOND, SECOND * 2, &slow, None);
    assert!(try_place(&mut entry, SECOND * 3, true).is_none());
}

#[test]
fn others_get_requests_and_traffic_returns_gradually() {
    // Guards against an upstream that gets everything at the end of its cooldown because it has
    // nothing in progress.
    let mut entry = new_placement(4);
    let mut counts = [0; 20];
    let placement_in_cooldown = run(1, 1);
    for step in 0..10_000_u64 {
        let now = SECOND + Duration::from_millis(step);
        let choice = try_place(&mut entry, now, true).expect("three other upstreams take requests");
        let is_limited = choice.run == placement_in_cooldown;
        let cooldown_secs = (is_limited && now < SECOND * 3).then_some(3);
        handle_answer(&mut entry, now, now, &choice, cooldown_secs);
        counts[usize::try_from(step / 500).expect("few")] += usize::from(is_limited);
    }
    assert_eq!(counts[1..6].iter().sum::<usize>(), 0, "{counts:?}");
    assert!(counts[6] <= 80 && counts[6] < counts[9], "{counts:?}");
    assert!(counts[12..].iter().all(|count| (60..200).contains(count)), "{counts:?}");
}

#[test]
fn huge_cooldown_is_bounded_and_ends_with_its_run() {
    // Guards against an upstream that is lost for ever because of one answer.
    let mut entry = new_placement(1);
    let choice = try_place(&mut entry, SECOND, true).expect("no cooldown is known yet");
    handle_answer(&mut entry, SECOND, SECOND, &choice, Some(u64::MAX / 2));
    assert!(try_place(&mut entry, SECOND * 3_000, true).is_none());
    assert!(try_place(&mut entry, SECOND * 3_602, true).is_some());
    handle_answer(&mut entry, SECOND * 3_603, SECOND * 3_603, &choice, Some(60));
    entry.update(&view([run(1, 2)]));
    let other = try_place(&mut entry, SECOND * 3_604, true).expect("a new run has no cooldown");
    assert_eq!(other.run, run(1, 2));
    entry.update(&view([run(1, 1)]));
    assert!(
        try_place(&mut entry, SECOND * 3_605, true).is_none(),
        "a run that was missing for a moment keeps its cooldown"
    );
}

#[test]
fn changes_are_reported_once() {
    // Guards against a log line for each answer.
    let mut entry = new_placement(1);
    let choice = try_place(&mut entry, SECOND, true).expect("no cooldown is known yet");
    let info = |cooldown_secs: Option<Duration>| ResponseInfo {
        not_run: cooldown_secs.is_some(),
        cooldown: cooldown_secs,
        ..REPLY
    };
    let asked = entry.handle_response_info(SECOND, &choice, SECOND, &info(Some(SECOND)));
    assert_eq!(asked, [Change::Cooldown(Some(SECOND))]);
    let ended = entry.handle_response_info(SECOND * 2, &choice, SECOND * 2, &info(None));
    assert_eq!(ended, [Change::Cooldown(None)]);
    assert_eq!(entry.handle_response_info(SECOND * 3, &choice, SECOND * 3, &info(None)), []);
}

#[test]
fn departing_run_gets_no_more_requests() {
    // Guards against using a departing run again because nothing else is left, or after it was
    // missing for a moment.
    let mut entry = new_placement(1);
    let choice = try_place(&mut entry, SECOND, true).expect("no cooldown is known yet");
    let info = ResponseInfo { leaving: true, ..REPLY };
    assert_eq!(entry.handle_response_info(SECOND, &choice, SECOND, &info), [Change::Leaving]);
    assert_eq!(
        entry.handle_response_info(SECOND, &choice, SECOND, &info),
        [],
        "a departure is reported once"
    );
    assert!(matches!(entry.choose(SECOND, &query(true)), Decision::NoUpstream));
    entry.update(&view([]));
    entry.update(&view([run(1, 1)]));
    assert!(matches!(entry.choose(SECOND * 2, &query(true)), Decision::NoUpstream));
    entry.update(&view([run(1, 2)]));
    assert!(matches!(entry.choose(SECOND * 3, &query(true)), Decision::Send(_)));
}
