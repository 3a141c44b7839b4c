//! What callers read while an answer grows.

use std::io::Read;
use std::time::Duration;

use verbenaslip::traffic::{Limits, Report};
use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::refusal::Unknown;
use verbenaslip_request::caller::{Arrival, Verdict};
use verbenaslip_request::run::{Event, Start};

use crate::bench::{Bench, STREAMED, bench, live, named, read_all, read_until};
use crate::script::{Act, Script};

fn attempt(arrival: &Arrival) -> Attempt {
    Attempt { request: arrival.head.request, number: 1 }
}

fn whole(arrival: &Arrival, tokens: u32) -> Script {
    let attempt = attempt(arrival);
    let acts = vec![Act::Head, Act::Tokens(attempt, 1, tokens), Act::Finish(attempt), Act::Done];
    Script::spawn(vec![acts])
}

/// Symptom: the first token comes with the last.
/// Sequence: the upstream sends one token and waits until the caller has read it.
/// Cause: events are held back until a buffer is full.
#[test]
fn each_token_is_passed_on_at_once() {
    let bench = bench();
    let mut caller = bench.post("connection: close\r\n", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = attempt(&arrival);
    let upstream = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(attempt, 1, 1),
        Act::Pause,
        Act::Tokens(attempt, 2, 2),
        Act::Pause,
        Act::Finish(attempt),
        Act::Done,
    ]]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    let first = read_until(&mut caller, "id: 1\ndata: ");
    assert!(first.contains("content-type: text/event-stream"), "{first}");
    upstream.go.send(()).expect("the upstream goes on");
    read_until(&mut caller, "id: 2\ndata: ");
    upstream.go.send(()).expect("the upstream goes on");
    let last = read_all(&mut caller);
    assert!(last.contains(r#""finish_reason":"stop""#), "{last}");
    assert!(last.contains("data: [DONE]\n\n"), "{last}");
}

/// Symptom: a caller that comes back gets tokens twice, or misses some.
/// Sequence: the answer is whole; callers come with each event's id.
/// Cause: the rest must begin right after the id.
#[test]
fn a_caller_that_comes_back_gets_the_rest_once() {
    let bench = bench();
    let mut first = bench.post("connection: close\r\nidempotency-key: k\r\n", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let upstream = whole(&arrival, 5);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    assert_eq!(read_all(&mut first).matches("id: ").count(), 5);
    for after in 0..=5 {
        let headers =
            format!("connection: close\r\nidempotency-key: k\r\nlast-event-id: {after}\r\n");
        let mut again = bench.post(&headers, STREAMED);
        let back = bench.arrival();
        assert_eq!(back.head.request, arrival.head.request);
        bench.serve(&back);
        let answer = read_all(&mut again);
        let ids: Vec<_> = answer.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        let expected: Vec<_> = (after + 1..=5).map(|id| id.to_string()).collect();
        assert_eq!(ids, expected, "after {after}: {answer}");
        assert!(answer.contains("data: [DONE]\n\n"), "after {after}: {answer}");
    }
}

/// Symptom: an answer that can't be finished looks whole, or its caller hangs.
/// Sequence: two tokens, then the verdict that the outcome is unknown.
/// Cause: the head has gone out, so that no status can tell.
#[test]
fn a_late_failure_ends_the_stream_with_an_error() {
    let bench = bench();
    let mut caller = bench.post("connection: close\r\n", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let script = vec![Act::Head, Act::Tokens(attempt(&arrival), 1, 2), Act::Silence];
    let upstream = Script::spawn(vec![script]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    read_until(&mut caller, "id: 2");
    bench.traffic.verdict(arrival.ticket, Verdict::Unknown(Unknown::UpstreamLost));
    let rest = read_all(&mut caller);
    assert!(rest.contains("event: error\ndata: {\"error\":{"), "{rest}");
    assert!(rest.contains(r#""type":"outcome_unknown","code":"upstream_lost""#), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
}

fn gone(bench: &Bench) {
    bench.wait(|report| matches!(report, Report::Gone { .. }).then_some(()));
}

/// Symptom: work goes on for callers that have left.
/// Sequence: the caller leaves before the first token; another leaves in the middle; the run is
/// cancelled.
/// Cause: nobody notices that the connection has closed, or the upstream is not told.
#[test]
fn a_caller_that_leaves_is_noticed_and_its_run_cancelled() {
    for tokens in [0, 2] {
        let bench = bench();
        let mut caller = bench.post("", STREAMED);
        let arrival = bench.arrival();
        bench.serve(&arrival);
        let attempt = attempt(&arrival);
        let cancelled = r#"{"cancelled":true}"#;
        let length = cancelled.len();
        let upstream = Script::spawn(vec![
            vec![Act::Head, Act::Tokens(attempt, 1, tokens), Act::Silence],
            vec![Act::Say(format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{cancelled}"
            ))],
        ]);
        bench.run(&arrival, 1, upstream.address, Start::Fresh);
        upstream.requests.recv().expect("the run came");
        if tokens > 0 {
            read_until(&mut caller, "id: 2");
        }
        drop(caller);
        gone(&bench);
        bench.traffic.cancel(&live(attempt, upstream.address));
        let cancel = upstream.requests.recv().expect("the cancel came");
        let line = format!("POST /v1/streams/{}/1/cancel HTTP/1.1", attempt.request);
        assert!(cancel.starts_with(&line), "{cancel}");
        assert_eq!(bench.traffic.stats().runs, 0);
        assert_eq!(bench.traffic.stats().callers, 0);
    }
}

/// Symptom: memory grows, or the upstream is held back, because one caller does not read.
/// Sequence: an answer far larger than the system's buffers; the caller reads nothing. The upstream
/// must finish at its own speed, and the caller's connection must end.
/// Cause: the answer waits for the caller, or the connection waits for ever.
#[test]
fn a_caller_that_does_not_read_is_ended_and_holds_nobody_back() {
    let limits =
        Limits { write_time: Duration::from_millis(300), answer: 32 << 20, ..Limits::default() };
    let bench = named("one", limits);
    let mut caller = bench.post("", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = attempt(&arrival);
    let text = "y".repeat(1 << 16);
    let mut acts = vec![Act::Head];
    for at in 1..=320 {
        let data = format!(
            "data: {{\"request\":\"{}\",\"attempt\":1,\"position\":{at},\"tokens\":1,\"choices\":\
             [{{\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n",
            attempt.request
        );
        acts.push(Act::Say(format!("{:x}\r\n{data}\r\n", data.len())));
    }
    acts.extend([Act::Finish(attempt), Act::Done]);
    let upstream = Script::spawn(vec![acts]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    assert_eq!(bench.ended(), Event::Ended { position: 320 });
    gone(&bench);
    assert_eq!(bench.traffic.stats().stuck, 1);
    // What is left in the system's buffers is far less than the answer.
    let mut rest = Vec::new();
    let _ = caller.read_to_end(&mut rest);
    assert!(rest.len() < 320 << 16, "{} bytes", rest.len());
}

/// Symptom: memory grows without bound when an upstream never stops.
/// Sequence: more text than an answer may have.
/// Cause: nothing bounds an answer.
#[test]
fn an_answer_is_bounded() {
    let bench = named("one", Limits { answer: 10, ..Limits::default() });
    let _caller = bench.post("", STREAMED);
    let arrival = bench.arrival();
    let upstream = whole(&arrival, 9);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    assert!(matches!(bench.ended(), Event::Failed(_)));
    assert!(bench.traffic.stats().bytes <= 10);
    bench.traffic.forget(arrival.head.request, 0);
    assert_eq!(bench.traffic.stats().answers, 0);
}

/// Symptom: a stop cuts off a request, or a new caller hangs.
/// Sequence: the listener closes while an answer streams; the answer ends afterwards.
/// Cause: closing the listener must not touch open connections.
#[test]
fn closing_the_listener_lets_answers_end() {
    let bench = bench();
    let mut caller = bench.post("", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = attempt(&arrival);
    let upstream = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(attempt, 1, 1),
        Act::Pause,
        Act::Finish(attempt),
        Act::Done,
    ]]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    read_until(&mut caller, "id: 1");
    bench.traffic.stop_accepting();
    while std::net::TcpStream::connect(bench.traffic.address()).is_ok() {
        std::thread::yield_now();
    }
    upstream.go.send(()).expect("the upstream goes on");
    assert!(read_until(&mut caller, "[DONE]").contains("[DONE]"));
}

/// A stream that asks for it ends with the tokens used, in a chunk of its own before the end mark.
#[test]
fn a_stream_tells_the_tokens_used_when_asked() {
    let bench = bench();
    let options = r#"{"stream_options":{"include_usage":true},"#;
    let body = STREAMED.replacen('{', options, 1);
    let mut caller = bench.post("connection: close\r\n", &body);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let upstream = whole(&arrival, 3);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    let answer = read_all(&mut caller);
    let (before, end) = answer.split_once(r#""finish_reason":"stop""#).expect("it ends");
    assert!(!before.contains("usage"), "{before}");
    let usage =
        r#""choices":[],"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}"#;
    assert!(end.contains(usage), "{end}");
    assert!(end.find("usage") < end.find("[DONE]"), "{end}");
}

/// Symptom: a proxy cuts a stream while its run is moved, or a caller that has vanished is kept.
/// Sequence: one token, then silence at the upstream.
/// Cause: nothing is written for as long as no token comes.
#[test]
fn a_silent_stream_shows_that_it_is_alive() {
    let limits = Limits { beat_time: Duration::from_millis(20), ..Limits::default() };
    let bench = named("one", limits);
    let mut caller = bench.post("connection: close\r\n", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = attempt(&arrival);
    let upstream = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(attempt, 1, 1),
        Act::Pause,
        Act::Tokens(attempt, 2, 2),
        Act::Finish(attempt),
        Act::Done,
    ]]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    let first = read_until(&mut caller, "\n: waiting\n\n");
    assert!(first.contains("id: 1\n"), "{first}");
    upstream.go.send(()).expect("the upstream goes on");
    let rest = read_all(&mut caller);
    assert!(rest.contains("id: 2\n") && rest.contains("[DONE]"), "{rest}");
}

/// Symptom: an instance needs a thread a caller, or lets some callers wait for others.
/// Sequence: 1,000 streams are open at once; the next token must reach every one of them before
/// the one after it is sent.
/// Cause: a stream that holds a thread.
#[test]
fn a_thousand_streams_share_the_threads() {
    let bench = bench();
    let threads = || std::fs::read_dir("/proc/self/task").map_or(0, Iterator::count);
    let first = bench.post("idempotency-key: k\r\n", STREAMED);
    let arrival = bench.arrival();
    bench.serve(&arrival);
    let attempt = attempt(&arrival);
    let upstream = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(attempt, 1, 1),
        Act::Pause,
        Act::Tokens(attempt, 2, 2),
        Act::Pause,
        Act::Finish(attempt),
        Act::Done,
    ]]);
    bench.run(&arrival, 1, upstream.address, Start::Fresh);
    let before = threads();
    let mut callers = vec![first];
    for _ in 1..1000 {
        callers.push(bench.post("idempotency-key: k\r\n", STREAMED));
        bench.serve(&bench.arrival());
    }
    for text in ["id: 1\n", "id: 2\n", "[DONE]"] {
        for caller in &mut callers {
            assert!(read_until(caller, text).contains(text));
        }
        if text == "id: 1\n" {
            assert_eq!(bench.traffic.stats().callers, 1000);
            // Other tests of this process come and go, but not by the thousand.
            assert!(threads() < before + 500, "{} threads", threads());
        }
        let _ = upstream.go.send(());
    }
}
