//! Assembly of answers: what is accepted, what is rejected, what callers may have.

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_request::answer::{Answer, AppendResult, ServiceResponse};

const LIMIT: usize = 64;

fn attempt(number: u32) -> Attempt {
    Attempt { request: Request(7), number }
}

/// Test case: name, deliveries, result of the last delivery, and final text.
type Case = (&'static str, &'static [Delivery], AppendResult, &'static str);

/// Delivery: attempt number, last position, token count, text.
type Delivery = (u32, u32, u32, &'static str);

#[test]
fn only_the_next_position_of_the_live_attempt_is_accepted() {
    // Both a moved stream and the old one send tokens, late, twice and out of order. If a position
    // were accepted twice or from the wrong attempt, the caller would get words of two runs.
    let cases: [Case; 9] = [
        ("next", &[(2, 1, 1, "a"), (2, 3, 2, "bc")], AppendResult::Appended, "abc"),
        ("old attempt", &[(2, 1, 1, "a"), (1, 2, 1, "x")], AppendResult::Late, "a"),
        ("later attempt not begun", &[(2, 1, 1, "a"), (3, 2, 1, "x")], AppendResult::Late, "a"),
        ("twice", &[(2, 1, 1, "a"), (2, 1, 1, "a")], AppendResult::Duplicate, "a"),
        ("overlap", &[(2, 2, 2, "ab"), (2, 3, 2, "bc")], AppendResult::Gap { expected: 3 }, "ab"),
        ("skipped", &[(2, 1, 1, "a"), (2, 3, 1, "c")], AppendResult::Gap { expected: 2 }, "a"),
        ("no tokens", &[(2, 1, 1, "a"), (2, 2, 0, "")], AppendResult::Gap { expected: 2 }, "a"),
        ("more tokens than positions", &[(2, 1, 9, "a")], AppendResult::Gap { expected: 1 }, ""),
        ("too large", &[(2, 1, 1, "a"), (2, 2, 1, TEXT)], AppendResult::Full, "a"),
    ];
    for (name, deliveries, last, text) in cases {
        let mut answer = Answer::open(LIMIT);
        answer.begin_attempt(attempt(2));
        let mut added = AppendResult::Late;
        for (number, position, count, text) in deliveries {
            added = answer.append(attempt(*number), *position, *count, text);
        }
        assert_eq!(added, last, "{name}");
        assert_eq!(answer.text(), text, "{name}");
        assert!(answer.released_end().is_none(), "{name}");
        assert!(answer.bytes() <= LIMIT, "{name}");
    }
}

const TEXT: &str = "................................................................";

#[test]
fn only_the_end_mark_after_all_tokens_ends_an_answer() {
    let cases = [
        ("right", 2, 2, AppendResult::Appended),
        ("before the last token", 2, 3, AppendResult::Gap { expected: 3 }),
        ("of an old attempt", 1, 2, AppendResult::Late),
    ];
    for (name, number, position, expected) in cases {
        let mut answer = Answer::open(LIMIT);
        answer.begin_attempt(attempt(2));
        answer.append(attempt(2), 2, 2, "ab");
        assert_eq!(answer.end(attempt(number), position, "stop"), expected, "{name}");
        let ended = expected == AppendResult::Appended;
        assert_eq!(answer.released_end().is_some(), ended, "{name}");
        let more = answer.append(attempt(2), 3, 1, "c");
        assert_eq!(more, if ended { AppendResult::Late } else { AppendResult::Appended }, "{name}");
    }
}

#[test]
fn a_service_response_is_accepted_once_and_excludes_tokens() {
    let whole = |text: &[u8]| ServiceResponse {
        status: 200,
        content: "text/plain".into(),
        bytes: text.into(),
    };
    let mut answer = Answer::open(LIMIT);
    answer.begin_attempt(attempt(1));
    assert_eq!(answer.set_response(attempt(2), whole(b"x")), AppendResult::Late);
    assert_eq!(
        answer.set_response(attempt(1), whole(TEXT.repeat(2).as_bytes())),
        AppendResult::Full
    );
    assert_eq!(answer.set_response(attempt(1), whole(b"ok")), AppendResult::Appended);
    assert_eq!(answer.set_response(attempt(1), whole(b"no")), AppendResult::Duplicate);
    assert_eq!(answer.append(attempt(1), 1, 1, "a"), AppendResult::Late);
    assert_eq!(answer.response().map(|whole| whole.bytes.to_vec()), Some(b"ok".to_vec()));
}

#[test]
fn callers_get_only_what_the_second_holder_has() {
    // The owner dies after the caller has read tokens that the second holder lacks. The holder
    // continues from what it has, possibly with different tokens, and the caller would get halves of
    // two answers.
    let mut answer = Answer::open(LIMIT);
    answer.begin_attempt(attempt(1));
    answer.set_mirroring(true);
    for position in 1..=4 {
        answer.append(attempt(1), position, 1, "a");
    }
    answer.end(attempt(1), 4, "stop");
    assert_eq!(answer.released_batches(0).count(), 0);
    answer.record_mirrored(3, false);
    answer.record_mirrored(2, false);
    assert_eq!(answer.released_batches(1).map(|batch| batch.position).collect::<Vec<_>>(), [2, 3]);
    assert!(
        answer.released_end().is_none() && answer.end_mark().is_some() && answer.is_mirror_behind()
    );
    answer.record_mirrored(4, false);
    assert!(answer.released_end().is_some() && answer.is_mirror_behind());
    answer.record_mirrored(4, true);
    assert!(!answer.is_mirror_behind());
    assert_eq!(answer.released_batches(u32::MAX).count(), 0);
}

#[test]
fn copies_of_a_later_epoch_start_over_and_earlier_ones_are_late() {
    let mut answer = Answer::open(LIMIT);
    assert_eq!(answer.copy(1, 2, 2, "ab"), AppendResult::Appended);
    assert_eq!(answer.copy(2, 3, 1, "c"), AppendResult::Gap { expected: 1 });
    assert_eq!(answer.copy(2, 1, 1, "x"), AppendResult::Appended);
    assert_eq!(answer.copy(1, 2, 1, "b"), AppendResult::Late);
    answer.take_ownership(3);
    assert_eq!(answer.copy_end(2, 1, "stop"), AppendResult::Late);
    answer.begin_attempt(attempt(5));
    assert_eq!(answer.append(attempt(5), 2, 1, "y"), AppendResult::Appended);
    assert_eq!((answer.text().as_str(), answer.epoch()), ("xy", 3));
}
