//! What upstreams do wrong, and what a run reports.

use std::thread;
use std::time::Duration;

use verbenaslip::traffic::Report;
use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_request::run::{Cause, Event, Failure, Start, Step};

use crate::bench::{Bench, STREAMED, bench, read_all, run};
use crate::script::{Act, Script, words};

/// One way in which an upstream fails a run.
struct Case {
    name: &'static str,
    script: fn(Attempt) -> Vec<Act>,
    failure: Failure,
}

fn case(
    name: &'static str,
    script: fn(Attempt) -> Vec<Act>,
    step: Step,
    cause: Cause,
    not_run: bool,
) -> Case {
    Case { name, script, failure: Failure { step, cause, not_run } }
}

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nverbenaslip-outcome: not-run\r\n\
                       content-length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const BROKEN: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                       transfer-encoding: chunked\r\n\r\n";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        transfer-encoding: chunked\r\n\r\n0\r\n";

fn cases() -> Vec<Case> {
    use Act::{Done, Finish, Head, Say, Silence, Tokens};
    vec![
        case("closes before the head", |_| vec![], Step::Head, Cause::Closed, false),
        case("silent before the head", |_| vec![Silence], Step::Head, Cause::Silent, false),
        case(
            "garbage for a head",
            |_| vec![Say("no http\r\n\r\n".into())],
            Step::Head,
            Cause::Closed,
            false,
        ),
        case("says not run", |_| vec![Say(REFUSED.into())], Step::Head, Cause::Refused, true),
        case("503 says nothing", |_| vec![Say(BUSY.into())], Step::Head, Cause::Error, false),
        case("500", |_| vec![Say(BROKEN.into())], Step::Head, Cause::Error, false),
        case(
            "closes mid-stream",
            |attempt| vec![Head, Tokens(attempt, 1, 3)],
            Step::Read,
            Cause::Cut,
            false,
        ),
        case(
            "ends the body without the end mark",
            |attempt| vec![Head, Tokens(attempt, 1, 3), Finish(attempt), Say("0\r\n\r\n".into())],
            Step::Read,
            Cause::Cut,
            false,
        ),
        case(
            "end mark without a reason",
            |attempt| vec![Head, Tokens(attempt, 1, 3), Done],
            Step::Read,
            Cause::Cut,
            false,
        ),
        case(
            "goes silent",
            |attempt| vec![Head, Tokens(attempt, 1, 3), Silence],
            Step::Read,
            Cause::Silent,
            false,
        ),
        case(
            "skips a position",
            |attempt| {
                vec![Head, Tokens(attempt, 1, 3), Tokens(attempt, 5, 6), Finish(attempt), Done]
            },
            Step::Read,
            Cause::Gap,
            false,
        ),
        case(
            "no JSON in an event",
            |attempt| vec![Head, Tokens(attempt, 1, 3), Say("c\r\ndata: none\n\n\r\n".into())],
            Step::Read,
            Cause::Error,
            false,
        ),
    ]
}

/// Symptom: an answer that is cut off, mixed or doubled, or a run that never ends.
/// Sequence: each script on one connection; the run is asked for its last event.
/// Cause: a failure of the upstream that a stream hides.
#[test]
fn each_failure_of_an_upstream_is_named() {
    for case in cases() {
        let bench = bench();
        let _caller = bench.post("", STREAMED);
        let arrival = bench.arrival();
        let attempt = Attempt { request: arrival.head.request, number: 1 };
        let upstream = Script::spawn(vec![(case.script)(attempt)]);
        let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
        run.stall = Duration::from_millis(300);
        bench.traffic.run(run);
        assert_eq!(bench.ended(), Event::Failed(case.failure.clone()), "{}", case.name);
        assert_eq!(upstream.requests.len(), 1, "{}: the run was sent again", case.name);
    }
}

/// Symptom: a run is held until its deadline, or takes more memory than an answer may.
/// Sequence: bytes without end in each part of an answer.
/// Cause: a limit on each of something whose number has none.
#[test]
fn bytes_without_end_end_a_run() {
    let chunk = |text: &str| format!("{:x}\r\n{}\r\n", text.len() * 100, text.repeat(100));
    let (comments, comment, lines) = (chunk(": x\n\n"), chunk(": x"), chunk("data: x\n"));
    let failures = [
        ("", "HTTP/1.1 102 Processing\r\n\r\n", Step::Head, Cause::Silent),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n", Step::Head, Cause::Closed),
        ("HTTP/1.1 200 ", "a", Step::Head, Cause::Closed),
        (CHUNKED, &comments, Step::Read, Cause::Error),
        (CHUNKED, &comment, Step::Read, Cause::Error),
        (CHUNKED, &lines, Step::Read, Cause::Error),
        (CHUNKED, "1;xxxxxxxxxxxxxxxxxxxxxxxx\r\n:\r\n", Step::Read, Cause::Cut),
        (TRAILERS, "a: b\r\n", Step::Read, Cause::Cut),
    ];
    thread::scope(|scope| {
        for (before, repeated, step, cause) in failures {
            scope.spawn(move || {
                let bench = bench();
                let _caller = bench.post("", STREAMED);
                let arrival = bench.arrival();
                let script = vec![Act::Say(before.into()), Act::Endless(repeated.into())];
                let upstream = Script::spawn(vec![script]);
                let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
                run.stall = Duration::from_millis(300);
                run.deadline = bench.traffic.now() + Duration::from_secs(8);
                bench.traffic.run(run);
                let failure = Failure { step, cause, not_run: false };
                assert_eq!(bench.ended(), Event::Failed(failure), "{before:?} {repeated:.40?}");
            });
        }
    });
}

/// Symptom: a request is called "not run" though it ran, or "may have run" though nothing was sent.
/// Sequence: an upstream that refuses the connection.
/// Cause: a failure before the first byte is not told from one after it.
#[test]
fn a_refused_connection_ran_nothing() {
    let bench = bench();
    let _caller = bench.post("", STREAMED);
    let arrival = bench.arrival();
    bench.run(&arrival, 1, Script::refusing(), Start::Fresh);
    let failure = Failure { step: Step::Connect, cause: Cause::Closed, not_run: true };
    assert_eq!(bench.ended(), Event::Failed(failure));
}

/// Symptom: "not run" for a request whose deadline passed while it ran.
/// Sequence: the upstream takes the request and is silent until the deadline.
/// Cause: the deadline's failure does not know that the request was sent.
#[test]
fn a_deadline_after_sending_may_have_run() {
    let bench = bench();
    let _caller = bench.post("", STREAMED);
    let arrival = bench.arrival();
    let upstream = Script::spawn(vec![vec![Act::Silence]]);
    let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
    run.deadline = bench.traffic.now() + Duration::from_millis(300);
    bench.traffic.run(run);
    let failure = Failure { step: Step::Head, cause: Cause::Deadline, not_run: false };
    assert_eq!(bench.ended(), Event::Failed(failure));
}

fn object(bench: &Bench, script: impl FnOnce(Attempt) -> Vec<Act>) -> (String, Event) {
    let mut caller = bench.post("connection: close\r\n", crate::bench::WHOLE);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = Attempt { request: arrival.head.request, number: 1 };
    let upstream = Script::spawn(vec![script(attempt)]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    let ended = bench.ended();
    (read_all(&mut caller), ended)
}

/// Symptom: tokens twice in an answer, or tokens of another run in it.
/// Sequence: the upstream repeats positions, and sends those of an older attempt between.
/// Cause: events are appended as they come.
#[test]
fn repeated_and_foreign_tokens_are_dropped() {
    let bench = bench();
    let (answer, ended) = object(&bench, |attempt| {
        let old = Attempt { number: 0, ..attempt };
        vec![
            Act::Head,
            Act::Tokens(attempt, 1, 3),
            Act::Tokens(attempt, 2, 3),
            Act::Tokens(old, 4, 5),
            Act::Tokens(attempt, 4, 4),
            Act::Finish(old),
            Act::Finish(attempt),
            Act::Done,
        ]
    });
    assert_eq!(ended, Event::Ended { position: 4 });
    assert!(answer.contains(&format!(r#""content":"{}""#, words(4))), "{answer}");
    assert!(answer.contains(r#""completion_tokens":4"#), "{answer}");
    assert_eq!(bench.traffic.stats().dropped, 5);
}

/// Symptom: after a move the old upstream's tokens come in between.
/// Sequence: attempt 1 is paused after 2 tokens, attempt 2 goes on from there elsewhere, then
/// attempt 1 wakes and sends the rest with its end mark.
/// Cause: an older attempt's tokens are taken as long as its connection lives.
#[test]
fn an_old_attempt_that_wakes_is_not_mixed_in() {
    let bench = bench();
    let mut caller = bench.post("connection: close\r\n", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let old = Attempt { request: arrival.head.request, number: 1 };
    let new = Attempt { number: 2, ..old };
    let first = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(old, 1, 2),
        Act::Pause,
        Act::Tokens(old, 3, 9),
        Act::Finish(old),
        Act::Done,
    ]]);
    let second = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(new, 3, 3),
        Act::Pause,
        Act::Tokens(new, 4, 4),
        Act::Finish(new),
        Act::Done,
    ]]);
    bench.run(&arrival, 1, first.address, Start::Fresh);
    while bench.traffic.position(old.request) != Some(2) {
        std::thread::yield_now();
    }
    bench.run(&arrival, 2, second.address, Start::Resume);
    while bench.traffic.position(old.request) != Some(3) {
        std::thread::yield_now();
    }
    first.go.send(()).expect("the old upstream wakes");
    let failed = bench.wait(|report| match report {
        Report::Run { attempt, event: Event::Failed(failure) } => Some((attempt, failure.cause)),
        _ => None,
    });
    assert_eq!(failed, (old, Cause::Forgotten));
    second.go.send(()).expect("the new upstream goes on");
    let answer = read_all(&mut caller);
    let request = second.requests.recv().expect("the new upstream was asked");
    assert!(request.contains(r#""resume":{"text":"w1 w2 ","tokens":2}"#), "{request}");
    assert!(answer.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"), "{answer}");
    assert_eq!(answer.matches("id: ").count(), 4, "{answer}");
    assert!(!answer.contains("w5"), "{answer}");
}

/// Symptom: a resend of the whole request where only the connection had broken.
/// Sequence: the stream breaks after 2 tokens; the run is joined again on a new connection.
/// Cause: a new connection must ask for the same run after the tokens that are held.
#[test]
fn a_broken_stream_is_joined_again() {
    let bench = bench();
    let mut caller = bench.post("connection: close\r\n", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = Attempt { request: arrival.head.request, number: 1 };
    let upstream = Script::spawn(vec![
        vec![Act::Head, Act::Tokens(attempt, 1, 2)],
        vec![Act::Head, Act::Tokens(attempt, 3, 4), Act::Finish(attempt), Act::Done],
        vec![Act::Say("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".into())],
    ]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    assert!(matches!(bench.ended(), Event::Failed(Failure { cause: Cause::Cut, .. })));
    bench.run(&arrival, 1, upstream.address, Start::Rejoin);
    assert_eq!(bench.ended(), Event::Ended { position: 4 });
    assert!(read_all(&mut caller).contains("[DONE]"));
    let requests: Vec<_> = upstream.requests.try_iter().collect();
    let line = format!("GET /v1/streams/{}/1?from=2 HTTP/1.1", attempt.request);
    assert!(requests[1].starts_with(&line), "{requests:?}");
}

/// Symptom: an order is given twice, or its answer comes back changed.
/// Sequence: a plain service answers with its own status and type; another breaks its answer off.
/// Cause: a plain service's answer is passed on whole or not at all.
#[test]
fn a_plain_service_is_passed_on_whole() {
    let bench = bench();
    let ask = "POST /v1/services/stock/orders/7?x=1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
               authorization: Bearer secret\r\ncontent-type: text/x\r\ncontent-length: 3\r\n\r\nabc";
    let whole = "HTTP/1.1 418 Teapot\r\ncontent-type: text/y\r\ncontent-length: 4\r\n\r\nshort";
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort";
    for (text, ended) in [
        (whole, Event::Ended { position: 0 }),
        (cut, Event::Failed(Failure { step: Step::Read, cause: Cause::Cut, not_run: false })),
    ] {
        let mut caller = bench.send(ask);
        let arrival = bench.arrival();
        assert_eq!(arrival.head.model.as_str(), "stock");
        bench.serve(&arrival);
        let upstream = Script::spawn(vec![vec![Act::Say(text.into())]]);
        let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
        run.kind = Kind::Service;
        bench.traffic.run(run);
        assert_eq!(bench.ended(), ended);
        let request = upstream.requests.recv().expect("the service was asked");
        assert!(request.starts_with("POST /orders/7?x=1 HTTP/1.1\r\n"), "{request}");
        assert!(request.contains("content-type: text/x\r\n"), "{request}");
        assert!(request.ends_with("\r\n\r\nabc"), "{request}");
        if matches!(ended, Event::Ended { .. }) {
            let answer = read_all(&mut caller);
            assert!(answer.starts_with("HTTP/1.1 418 "), "{answer}");
            assert!(answer.contains("content-type: text/y\r\n"), "{answer}");
            assert!(answer.ends_with("\r\n\r\nshor"), "{answer}");
        }
    }
}

// Guards against a service's event stream that ends inside an event being kept as a whole answer.
#[test]
fn an_event_stream_of_a_plain_service_ends_between_events() {
    let bench = bench();
    let ask = "POST /v1/services/stock/orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
               authorization: Bearer secret\r\ncontent-length: 3\r\n\r\nabc";
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream; charset=utf-8\r\n";
    let cut = Event::Failed(Failure { step: Step::Read, cause: Cause::Cut, not_run: false });
    for (rest, ended) in [
        ("\r\ndata: a\n\n", Event::Ended { position: 0 }),
        ("\r\ndata: a\n\ndata: b\n", cut.clone()),
        ("\r\n", cut.clone()),
        ("content-length: 7\r\n\r\ndata: a", cut),
        ("content-length: 0\r\n\r\n", Event::Ended { position: 0 }),
    ] {
        let _caller = bench.send(ask);
        let arrival = bench.arrival();
        bench.serve(&arrival);
        let upstream = Script::spawn(vec![vec![Act::Say(format!("{head}{rest}"))]]);
        let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
        run.kind = Kind::Service;
        bench.traffic.run(run);
        assert_eq!(bench.ended(), ended, "{rest:?}");
    }
}

/// Heads of a plain service's answers, each with the whole answer.
const SERVICE_ANSWERS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx: y\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 00005\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
    "HTTP/1.1 204 No Content\r\nx: y\r\n\r\n",
];

// Guards against a service's answer that breaks off at any byte being kept as a whole one, or as not run.
#[test]
fn a_service_answer_that_breaks_off_is_a_failure() {
    let bench = bench();
    let ask = "POST /v1/services/stock/orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
               authorization: Bearer secret\r\ncontent-length: 3\r\n\r\nabc";
    let until_close = "HTTP/1.1 200 OK\r\nx: y\r\n\r\n";
    let cuts = SERVICE_ANSWERS.iter().chain([&until_close]);
    let cuts = cuts.flat_map(|text| (0..text.len()).map(move |cut| &text[..cut]));
    for text in cuts {
        let _caller = bench.send(ask);
        let arrival = bench.arrival();
        bench.serve(&arrival);
        let upstream = Script::spawn(vec![vec![Act::Say(text.into())]]);
        let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
        run.kind = Kind::Service;
        bench.traffic.run(run);
        let ended = bench.ended();
        let Event::Failed(failure) = ended else { panic!("{text:?}: {ended:?}") };
        assert!(!failure.not_run, "{text:?}: {failure:?}");
    }
}

// Guards against an engine's stream whose head breaks off being taken for one without tokens.
#[test]
fn an_engine_answer_whose_head_breaks_off_is_a_failure() {
    let bench = bench();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    for cut in 0..=head.len() {
        let _caller = bench.post("", STREAMED);
        let arrival = bench.arrival();
        let upstream = Script::spawn(vec![vec![Act::Say(head[..cut].into())]]);
        bench.run(&arrival, 1, upstream.address, Start::Fresh);
        let ended = bench.ended();
        let Event::Failed(failure) = ended else { panic!("{cut}: {ended:?}") };
        assert!(!failure.not_run, "{cut}: {failure:?}");
    }
}
