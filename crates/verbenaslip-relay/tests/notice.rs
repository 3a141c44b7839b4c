//! Upstreams that ask for a cooldown, or announce their departure, in their answers to one entry.

mod common;

use std::time::Duration;

use common::{REPLY, query, run, view};
use verbenaslip_relay::dialect::ResponseInfo;
use verbenaslip_relay::policy::placement::{Cause, Choice, Decision, Ending, Placement};
use verbenaslip_relay::policy::restriction::{Change, Restriction};

const SECOND: Duration = Duration::from_secs(1);

fn open(upstreams: u16) -> Placement {
    common::open(&view((1..=upstreams).map(|number| run(number, 1))))
}

/// Handles at `now` the answer to a request that was sent at `sent`.
fn answer(
    entry: &mut Placement,
    sent: Duration,
    now: Duration,
    choice: &Choice,
    rest: Option<u64>,
) {
    let turned_away = rest.is_some();
    let reply =
        ResponseInfo { not_run: turned_away, cooldown: rest.map(Duration::from_secs), ..REPLY };
    entry.handle_response_info(now, choice, sent, &reply);
    let ending = if turned_away { Ending::CoolingDown } else { Ending::Complete };
    entry.record_end(now, choice, ending, (!turned_away).then_some(Duration::from_millis(15)));
}

fn go(entry: &mut Placement, now: Duration, spare: bool) -> Option<Choice> {
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
fn resting() -> Placement {
    let mut entry = open(1);
    let choice = go(&mut entry, SECOND, true).expect("no cooldown is known yet");
    answer(&mut entry, SECOND, SECOND, &choice, Some(3));
    entry
}

#[test]
fn nothing_is_sent_until_the_rest_is_over_and_callers_learn_when_that_is() {
    // Guards against a cooldown that holds for only one request or one moment.
    let mut entry = resting();
    for step in 0..30 {
        let now = SECOND + Duration::from_millis(step * 100);
        let Decision::Refuse(busy) = entry.choose(now, &query(true)) else { panic!("the upstream is in its cooldown") };
        let left = SECOND * 4 - now;
        assert_eq!(busy.retry_after, left.max(Duration::from_millis(300)), "at {now:?}");
    }
    assert!(go(&mut entry, SECOND * 4, true).is_some());
}

#[test]
fn one_request_that_may_go_elsewhere_shows_whether_it_takes_some_again() {
    // Guards against losing requests with a single attempt as probes, and against several probes
    // at once.
    let mut entry = resting();
    assert!(go(&mut entry, SECOND * 4, false).is_none(), "a request with a single attempt must not probe");
    let probe = go(&mut entry, SECOND * 4, true).expect("the cooldown is over");
    assert!(go(&mut entry, SECOND * 4, true).is_none(), "only one probe is sent");
    answer(&mut entry, SECOND * 4, SECOND * 4, &probe, Some(2));
    assert!(go(&mut entry, SECOND * 5, true).is_none());
    let probe = go(&mut entry, SECOND * 6, true).expect("the second cooldown is over");
    answer(&mut entry, SECOND * 6, SECOND * 6, &probe, None);
    assert!(go(&mut entry, SECOND * 6, false).is_some(), "the upstream takes requests again");
}

#[test]
fn where_all_requests_have_one_attempt_one_shows_it_after_as_long_again() {
    // Guards against a cooldown without an end.
    let mut entry = resting();
    assert!(go(&mut entry, SECOND * 6, false).is_none());
    assert!(go(&mut entry, SECOND * 7, false).is_some());
    assert!(go(&mut entry, SECOND * 8, false).is_none(), "the probe is still unanswered");
    assert!(go(&mut entry, SECOND * 10, false).is_some(), "the probe was never answered");
}

#[test]
fn one_that_turns_away_without_another_time_rests_as_long_as_before() {
    // Guards against a request every few milliseconds once the first cooldown is over.
    let mut entry = resting();
    let probe = go(&mut entry, SECOND * 4, true).expect("the cooldown is over");
    let reply = ResponseInfo { not_run: true, ..REPLY };
    assert_eq!(entry.handle_response_info(SECOND * 4, &probe, SECOND * 4, &reply), []);
    assert!(go(&mut entry, SECOND * 6, true).is_none());
    assert!(go(&mut entry, SECOND * 7, true).is_some());
}

#[test]
fn an_answer_to_what_was_sent_before_does_not_end_the_rest() {
    // Guards against ending a cooldown because of a slow answer from the time before it.
    let mut entry = open(1);
    let slow = go(&mut entry, SECOND, true).expect("no cooldown is known yet");
    let refused = go(&mut entry, SECOND, true).expect("no cooldown is known yet");
    answer(&mut entry, SECOND, SECOND, &refused, Some(3));
    answer(&mut entry, SECOND, SECOND * 2, &slow, None);
    assert!(go(&mut entry, SECOND * 3, true).is_none());
}

#[test]
fn others_get_the_requests_and_traffic_returns_in_steps() {
    // Guards against an upstream that gets everything at the end of its cooldown because it has
    // nothing in progress.
    let mut entry = open(4);
    let mut counts = [0; 20];
    let resting = run(1, 1);
    for step in 0..10_000_u64 {
        let now = SECOND + Duration::from_millis(step);
        let choice = go(&mut entry, now, true).expect("three other upstreams take requests");
        let of_it = choice.run == resting;
        let rest = (of_it && now < SECOND * 3).then_some(3);
        answer(&mut entry, now, now, &choice, rest);
        counts[usize::try_from(step / 500).expect("few")] += usize::from(of_it);
    }
    assert_eq!(counts[1..6].iter().sum::<usize>(), 0, "{counts:?}");
    assert!(counts[6] <= 80 && counts[6] < counts[9], "{counts:?}");
    assert!(counts[12..].iter().all(|count| (60..200).contains(count)), "{counts:?}");
}

#[test]
fn an_absurd_time_is_bounded_and_ends_with_its_run() {
    // Guards against an upstream that is lost for ever because of one answer.
    let mut entry = open(1);
    let choice = go(&mut entry, SECOND, true).expect("no cooldown is known yet");
    answer(&mut entry, SECOND, SECOND, &choice, Some(u64::MAX / 2));
    assert!(go(&mut entry, SECOND * 3_000, true).is_none());
    assert!(go(&mut entry, SECOND * 3_602, true).is_some());
    answer(&mut entry, SECOND * 3_603, SECOND * 3_603, &choice, Some(60));
    entry.update(&view([run(1, 2)]));
    let other = go(&mut entry, SECOND * 3_604, true).expect("a new run has no cooldown");
    assert_eq!(other.run, run(1, 2));
    entry.update(&view([run(1, 1)]));
    assert!(go(&mut entry, SECOND * 3_605, true).is_none(), "a run that was missing for a moment keeps its cooldown");
}

#[test]
fn a_change_is_told_once() {
    // Guards against a log line for each answer.
    let mut entry = open(1);
    let choice = go(&mut entry, SECOND, true).expect("no cooldown is known yet");
    let reply =
        |rest: Option<Duration>| ResponseInfo { not_run: rest.is_some(), cooldown: rest, ..REPLY };
    let asked = entry.handle_response_info(SECOND, &choice, SECOND, &reply(Some(SECOND)));
    assert_eq!(asked, [Change::Cooldown(Some(SECOND))]);
    let ended = entry.handle_response_info(SECOND * 2, &choice, SECOND * 2, &reply(None));
    assert_eq!(ended, [Change::Cooldown(None)]);
    assert_eq!(entry.handle_response_info(SECOND * 3, &choice, SECOND * 3, &reply(None)), []);
}

#[test]
fn one_that_says_that_it_goes_gets_nothing_more_though_all_others_do() {
    // Guards against using a departing run again because nothing else is left, or after it was
    // missing for a moment.
    let mut entry = open(1);
    let choice = go(&mut entry, SECOND, true).expect("no cooldown is known yet");
    let reply = ResponseInfo { leaving: true, ..REPLY };
    assert_eq!(entry.handle_response_info(SECOND, &choice, SECOND, &reply), [Change::Leaving]);
    assert_eq!(entry.handle_response_info(SECOND, &choice, SECOND, &reply), [], "a departure is reported once");
    assert!(matches!(entry.choose(SECOND, &query(true)), Decision::NoUpstream));
    entry.update(&view([]));
    entry.update(&view([run(1, 1)]));
    assert!(matches!(entry.choose(SECOND * 2, &query(true)), Decision::NoUpstream));
    entry.update(&view([run(1, 2)]));
    assert!(matches!(entry.choose(SECOND * 3, &query(true)), Decision::Send(_)));
}
