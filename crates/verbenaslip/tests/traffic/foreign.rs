//! Upstreams that send bytes of no run within an answer whose framing is right.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::name::Model;
use verbenaslip_lab::engine::Engine;
use verbenaslip_lab::engine::fault::{Fault, Flaw, Foreign};
use verbenaslip_lab::engine::setup::{Pace, Setup};
use verbenaslip_lab::text;
use verbenaslip_request::run::{Cause, Event, Failure, Start, Step};

use crate::bench::{WHOLE, bench, read_all, run};
use crate::script::{Act, Script, words};

/// Tokens of each answer.
const TOKENS: u32 = 4;

/// Events that an engine sends within the stream of a run; `{ours}` stands for its identity, and `{next}` for the
/// position that is due.
const EVENTS: [&str; 24] = [
    "\0\x01garbage\n\n",
    "garbage",
    ": comment\n\n",
    "data: none\n\n",
    "data: {}\n\n",
    "data: [DONE]\n\n",
    "event: error\ndata: {}\n\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}\n\n",
    r#"data: {"attempt":1,"position":{next},"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {"request":"00","attempt":1,"position":{next},"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {"request":"00","attempt":1,"choices":[{"finish_reason":"foreign"}]}"#,
    r#"data: {{ours},"position":1,"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":9,"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":{next},"tokens":4294967295,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":4294967295,"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":4294967296,"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":-1,"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":"{next}","tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":{next},"tokens":0,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"tokens":1,"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"choices":[{"delta":{"content":"foreign"}}]}"#,
    r#"data: {{ours},"position":9,"choices":[{"finish_reason":"foreign"}]}"#,
    r#"data: {{ours},"position":0,"choices":[{"finish_reason":"foreign"}]}"#,
    r#"data: {{ours},"choices":[{"finish_reason":"foreign"}]}"#,
];

/// Events that are skipped, since they name another run or hold nothing.
const SKIPPED: [&str; 5] = [EVENTS[2], EVENTS[8], EVENTS[9], EVENTS[10], EVENTS[11]];

fn chunk(text: &str) -> Act {
    Act::Say(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns an answer with an event of no run after some of its tokens; after the last one, there is the reason too.
fn script(event: &str, attempt: Attempt, place: u32) -> Vec<Act> {
    let ours = format!(r#""request":"{}","attempt":{}"#, attempt.request, attempt.number);
    let next = (place + 1).to_string();
    let mut text = event.replace("{ours}", &ours).replace("{next}", &next);
    if event.starts_with("data: ") && !text.ends_with('\n') {
        text.push_str("\n\n");
    }
    let mut acts = vec![Act::Head];
    acts.extend((1..=TOKENS).map(|at| Act::Tokens(attempt, at, at)));
    acts.extend([Act::Finish(attempt), Act::Done]);
    acts.insert(1 + usize::try_from(place).expect("few tokens"), chunk(&text));
    acts
}

// Guards against events of no run that an engine sends, and that become a part or the end of an answer.
#[test]
fn foreign_event_of_an_engine_becomes_no_part_of_an_answer() {
    let mut wrong = Vec::new();
    for event in EVENTS {
        // The first token could not be told from the one that is due.
        let first = u32::from(event == EVENTS[11]);
        for place in first..=TOKENS + 1 {
            let bench = bench();
            let mut caller = bench.post("connection: close\r\n", WHOLE);
            let arrival = bench.arrival();
            bench.serve(&arrival);
            let attempt = Attempt { request: arrival.head.request, number: 1 };
            let upstream = Script::spawn(vec![script(event, attempt, place)]);
            let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
            run.stall = Duration::from_secs(1);
            bench.traffic.run(run);
            let ended = bench.ended();
            let is_sound = match &ended {
                Event::Ended { position } => {
                    let answer = read_all(&mut caller);
                    *position == TOKENS
                        && answer.contains(&format!(r#""content":"{}""#, words(TOKENS)))
                        && answer.contains(r#""finish_reason":"stop""#)
                }
                Event::Failed(failure) => {
                    // The next run goes on from what is held.
                    let held = bench.traffic.position(attempt.request).unwrap_or(0);
                    !failure.not_run && held <= TOKENS && !SKIPPED.contains(&event)
                }
                _ => false,
            };
            if !is_sound {
                wrong.push(format!("{event:?} after {place}: {ended:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Tokens of an answer to [`WHOLE`].
const ASKED: u32 = 9;

// Guards against bytes of no run that reach the caller of an answer which goes on at the same engine.
#[test]
fn answer_goes_on_behind_foreign_bytes_of_its_engine() {
    let kinds = [
        Foreign::Binary,
        Foreign::Text,
        Foreign::Answer,
        Foreign::OtherRun,
        Foreign::NoPosition,
        Foreign::Ahead,
        Foreign::Reason,
    ];
    let expected = format!(r#""content":"{}""#, text::expect("user\nhi\n", ASKED));
    for (bytes, after) in kinds.into_iter().flat_map(|it| [0, 1, 4, 8].map(|after| (it, after))) {
        let mut setup = Setup::new("engine-1", "north");
        setup.models = vec![Model::from("m")];
        setup.pace = Pace { token: Duration::from_millis(1), ..Pace::default() };
        let engine = Engine::spawn(setup).expect("the engine starts");
        engine.fault(Fault::Flaw { count: 1, flaw: Flaw::Foreign { after, bytes } });
        let bench = bench();
        let mut caller = bench.post("connection: close\r\n", WHOLE);
        let arrival = bench.arrival();
        bench.serve(&arrival);
        bench.run(&arrival, 1, engine.address(), Start::Fresh);
        if let Event::Failed(failure) = bench.ended() {
            assert!(!failure.not_run, "{bytes:?} after {after}: {failure:?}");
            bench.run(&arrival, 1, engine.address(), Start::Rejoin);
            assert_eq!(bench.ended(), Event::Ended { position: ASKED }, "{bytes:?} after {after}");
        }
        let answer = read_all(&mut caller);
        assert!(answer.contains(&expected), "{bytes:?} after {after}: {answer}");
        assert!(
            answer.contains(r#""finish_reason":"length""#),
            "{bytes:?} after {after}: {answer}"
        );
    }
}

/// What a plain service sends within a stream of events.
const FOREIGN: [&[u8]; 7] = [
    b"\0\xff\x01garbage\n\n",
    b"garbage\n\n",
    b"data: \xff\xfe\n\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello\n\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    b"5\r\ndata: x\r\n\r\n",
    b"a line: without a field\n\n",
];

// Guards against a service's stream of events that holds bytes that are no event, and is kept as a whole answer.
#[test]
fn foreign_bytes_in_an_event_stream_of_a_plain_service_are_a_failure() {
    let bench = bench();
    let ask = "POST /v1/services/stock/orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
               authorization: Bearer secret\r\ncontent-length: 3\r\n\r\nabc";
    let mut wrong = Vec::new();
    let sound: [&[u8]; 3] =
        [b": comment\n\n", b"id: a\nevent: b\nx-y: c\ndata\n\n", b"id: 1\nid: 2\r\n\r\n"];
    let cases = FOREIGN.iter().map(|it| (*it, false)).chain(sound.map(|it| (it, true)));
    for (bytes, is_sound) in cases {
        for (before, after) in
            [("", "data: b\n\n"), ("data: a\n\n", "data: b\n\n"), ("data: a\n\n", "")]
        {
            for has_length in [true, false] {
                let body = [before.as_bytes(), bytes, after.as_bytes()].concat();
                let length = if has_length {
                    format!("content-length: {}\r\n", body.len())
                } else {
                    String::new()
                };
                let head =
                    format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{length}\r\n");
                let _caller = bench.send(ask);
                let arrival = bench.arrival();
                bench.serve(&arrival);
                let acts = vec![Act::Say(head), Act::Bytes(body)];
                let upstream = Script::spawn(vec![acts]);
                let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
                run.kind = Kind::Service;
                bench.traffic.run(run);
                let failure = Failure { step: Step::Read, cause: Cause::Error, not_run: false };
                let expected =
                    if is_sound { Event::Ended { position: 0 } } else { Event::Failed(failure) };
                let ended = bench.ended();
                if ended != expected {
                    wrong.push(format!("{:?}: {ended:?}", String::from_utf8_lossy(bytes)));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
