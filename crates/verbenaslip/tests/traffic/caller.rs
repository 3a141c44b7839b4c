//! What callers send wrong, and what they get.

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

use verbenaslip::traffic::{Limits, Report};
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};
use verbenaslip_request::caller::Verdict;

use crate::bench::{WHOLE, bench, connect, named, read_all, read_until};

/// A request that is wrong in one way.
struct Case {
    name: &'static str,
    send: String,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, send: impl Into<String>, status: u16, code: &'static str) -> Case {
    Case { name, send: send.into(), status, code }
}

/// Makes a request of the test's team with one body.
fn body(body: &str) -> String {
    head("POST /v1/chat/completions HTTP/1.1", "authorization: Bearer secret\r\n", body)
}

/// Makes a request of the test's team with more headers.
fn headers(headers: &str) -> String {
    let headers = format!("authorization: Bearer secret\r\n{headers}\r\n");
    head("POST /v1/chat/completions HTTP/1.1", &headers, WHOLE)
}

fn head(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line}\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

fn wrong_bodies() -> Vec<Case> {
    let key = "authorization: Bearer secret\r\n";
    vec![
        case("no key", head("POST /v1/chat/completions HTTP/1.1", "", WHOLE), 401, "key"),
        case(
            "wrong key",
            head("POST /v1/chat/completions HTTP/1.1", "authorization: Bearer no\r\n", WHOLE),
            401,
            "key",
        ),
        case("unknown path", head("POST /v1/other HTTP/1.1", key, WHOLE), 404, "path"),
        case("service without path", head("POST /v1/services/x HTTP/1.1", key, ""), 404, "path"),
        case("wrong method", head("GET /v1/chat/completions HTTP/1.1", key, ""), 405, "method"),
        case("delete", head("DELETE /v1/services/x/y HTTP/1.1", key, ""), 405, "method"),
        case("head only", head("HEAD /v1/chat/completions HTTP/1.1", key, ""), 405, ""),
        case("no JSON", body("{"), 400, "body"),
        case("NUL bytes", body("\0\0"), 400, "body"),
        case("a list", body("[]"), 400, "body"),
        case("deep JSON", body(&"[".repeat(100_000)), 400, "body"),
        case("no model", body(r#"{"messages":[{"role":"u","content":""}]}"#), 400, "model"),
        case("no messages", body(r#"{"model":"m"}"#), 400, "messages"),
        case("empty messages", body(r#"{"model":"m","messages":[]}"#), 400, "messages"),
        case("no role", body(r#"{"model":"m","messages":[{}]}"#), 400, "messages"),
        case(
            "content is a number",
            body(r#"{"model":"m","messages":[{"role":"u","content":1}]}"#),
            400,
            "messages",
        ),
        case("n is 2", body(&WHOLE.replacen('{', r#"{"n":2,"#, 1)), 400, "n"),
        case("stream is text", body(&WHOLE.replacen('{', r#"{"stream":"y","#, 1)), 400, "stream"),
        case("max_tokens is 0", body(&WHOLE.replace('9', "0")), 400, "max_tokens"),
        case("max_tokens is huge", body(&WHOLE.replace('9', "99999999999")), 400, "max_tokens"),
        case("max_tokens is negative", body(&WHOLE.replace('9', "-1")), 400, "max_tokens"),
    ]
}

fn wrong_heads() -> Vec<Case> {
    let long = "k".repeat(201);
    vec![
        case("long key", headers(&format!("idempotency-key: {long}")), 400, "idempotency-key"),
        case("empty key", headers("idempotency-key: "), 400, "idempotency-key"),
        case(
            "two keys",
            headers("idempotency-key: a\r\nidempotency-key: b"),
            400,
            "idempotency-key",
        ),
        case("key not ASCII", headers("idempotency-key: ä"), 400, "idempotency-key"),
        case(
            "not idempotent, first use unknown",
            headers("idempotency-key: a\r\nverbenaslip-idempotent: false"),
            400,
            "idempotency_key_issued",
        ),
        case(
            "mark is neither",
            headers("verbenaslip-idempotent: no"),
            400,
            "verbenaslip-idempotent",
        ),
        case(
            "deadline is text",
            headers("verbenaslip-deadline-ms: soon"),
            400,
            "verbenaslip-deadline-ms",
        ),
        case("event is text", headers("last-event-id: x"), 400, "last-event-id"),
        case("event is too large", headers("last-event-id: 4294967296"), 400, "last-event-id"),
        case("head is no HTTP", "hello there\r\n\r\n", 400, "head"),
        case("header is no header", "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "head"),
        case(
            "head is too large",
            format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(100_000)),
            431,
            "head",
        ),
        case(
            "length claims too much",
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
             content-length: 999999999\r\n\r\n",
            413,
            "body",
        ),
        case(
            "chunks are too much",
            format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
                 transfer-encoding: chunked\r\n\r\n{}",
                format!("{:x}\r\n{}\r\n", 65536, "x".repeat(65536)).repeat(17)
            ),
            413,
            "body",
        ),
        case(
            "chunks are garbage",
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
             transfer-encoding: chunked\r\n\r\nzz\r\n",
            400,
            "body",
        ),
    ]
}

/// Symptom: a caller that sends something wrong gets a reset connection, an empty error or none at
/// all, and can't tell whether it was run.
/// Sequence: each wrong request on a connection of its own.
/// Cause: input that the HTTP library or the parser refuses, each in its own way.
#[test]
fn wrong_input_gets_a_clear_error() {
    let bench = bench();
    let mut cases = wrong_bodies();
    cases.extend(wrong_heads());
    for case in &cases {
        let mut stream = connect(bench.traffic.address());
        // What is refused early may be closed before all of it is written.
        let _ = stream.write_all(case.send.as_bytes());
        let answer = read_all(&mut stream);
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(answer.starts_with(&status), "{}: {answer}", case.name);
        assert!(answer.contains("content-type: application/json"), "{}: {answer}", case.name);
        if case.code.is_empty() {
            // An answer to HEAD has no body.
            continue;
        }
        let code = format!(r#""code":"{}""#, case.code);
        assert!(answer.contains(&code), "{}: {answer}", case.name);
        assert!(answer.contains(r#""type":"invalid_request_error""#), "{}: {answer}", case.name);
        assert!(answer.contains(r#""hint":""#), "{}: {answer}", case.name);
    }
    assert!(bench.reports.is_empty(), "a wrong request reached the control thread");
    assert_eq!(bench.traffic.stats().rejected, cases.len() as u64);
}

/// Symptom: a slow or broken caller holds a connection for ever, or gets no word.
/// Sequence: a part of the head or of the body, then silence or the end of what is sent.
/// Cause: input that never becomes whole.
#[test]
fn input_that_never_becomes_whole_is_ended() {
    let limits = Limits {
        header_time: Duration::from_millis(100),
        body_time: Duration::from_millis(100),
        ..Limits::default()
    };
    let bench = named("one", limits);
    let post = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
                content-length: 99\r\n\r\n{";
    let cases = [
        ("slow head", "POST /v1/chat", false, 408, "head"),
        ("slow body", post, false, 408, "body"),
        ("half a body", post, true, 400, "body"),
    ];
    for (name, send, half, status, code) in cases {
        let mut stream = bench.send(send);
        if half {
            stream.shutdown(Shutdown::Write).expect("one half can be closed");
        }
        let answer = read_all(&mut stream);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {answer}");
        assert!(answer.contains(&format!(r#""code":"{code}""#)), "{name}: {answer}");
    }
    assert!(bench.reports.is_empty(), "a part of a request reached the control thread");
}

/// Symptom: one caller's slow request holds back another's.
/// Sequence: many callers send a part of a request; one more sends a whole one.
/// Cause: anything that waits for a caller on a traffic thread.
#[test]
fn slow_callers_cost_others_nothing() {
    let bench = bench();
    let slow: Vec<_> = (0..64).map(|_| bench.send("POST /v1/chat")).collect();
    let mut stream = bench.post("", WHOLE);
    let arrival = bench.arrival();
    bench.traffic.verdict(arrival.ticket, Verdict::Conflict);
    assert!(read_until(&mut stream, "}").starts_with("HTTP/1.1 409 "));
    drop(slow);
}

/// Symptom: a caller beyond the limit hangs or is cut off without a word.
/// Sequence: as many idle connections as allowed, then one more with a request.
/// Cause: no answer for those that are not served.
#[test]
fn callers_beyond_the_limit_are_told_to_come_back() {
    let bench = named("one", Limits { connections: 2, ..Limits::default() });
    let held: Vec<_> = (0..2).map(|_| bench.post("", WHOLE)).collect();
    bench.arrival();
    bench.arrival();
    let answer = read_all(&mut bench.post("", WHOLE));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("verbenaslip-outcome: not-run"), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    drop(held);
}

/// Every final verdict has its own status, type and headers, so that "not run" and "may have run"
/// can't be taken for each other.
#[test]
fn final_verdicts_can_be_told_apart() {
    let bench = bench();
    let retry = Some(Duration::from_millis(1001));
    let refusal = |reason| Verdict::Refused(Refusal { reason, retry });
    let cases = [
        (refusal(Reason::Limit), 429, "not_run", "verbenaslip-outcome: not-run"),
        (refusal(Reason::NoRow), 503, "not_run", "verbenaslip-outcome: not-run"),
        (refusal(Reason::Deadline), 503, "not_run", "retry-after: 2\r\nretry-after-ms: 1001"),
        (refusal(Reason::Overload), 503, "not_run", "retry-after-ms: 1001"),
        (refusal(Reason::NoUpstream), 503, "not_run", "verbenaslip-outcome: not-run"),
        (refusal(Reason::NoLease), 503, "not_run", "verbenaslip-outcome: not-run"),
        (refusal(Reason::NotHeld), 503, "not_run", "verbenaslip-outcome: not-run"),
        (refusal(Reason::Stopping), 503, "not_run", "verbenaslip-outcome: not-run"),
        (refusal(Reason::Upstream), 503, "not_run", "verbenaslip-outcome: not-run"),
        (refusal(Reason::KeyExpired), 410, "key_expired", "retry-after: 2"),
        (Verdict::Unknown(Unknown::UpstreamLost), 504, "outcome_unknown", "outcome: unknown"),
        (Verdict::Unknown(Unknown::InstanceLost), 504, "outcome_unknown", "outcome: unknown"),
        (Verdict::Unknown(Unknown::Deadline), 504, "outcome_unknown", "outcome: unknown"),
        (Verdict::Unknown(Unknown::Unreachable), 504, "outcome_unknown", "outcome: unknown"),
        (Verdict::Conflict, 409, "idempotency_conflict", "application/json"),
    ];
    for (verdict, status, kind, header) in cases {
        let mut stream = bench.post("connection: close\r\n", WHOLE);
        let arrival = bench.arrival();
        bench.traffic.verdict(arrival.ticket, verdict.clone());
        let answer = read_all(&mut stream);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{verdict:?}: {answer}");
        assert!(answer.contains(&format!(r#""type":"{kind}""#)), "{verdict:?}: {answer}");
        assert!(answer.contains(header), "{verdict:?}: {answer}");
        let told = bench.wait(|report| match report {
            Report::Served { ticket } | Report::Gone { ticket } => Some(ticket),
            _ => None,
        });
        assert_eq!(told, arrival.ticket);
    }
}

/// What a whole request says reaches the control thread as documented.
#[test]
fn a_request_is_read_whole() {
    let bench = bench();
    let text = "x".repeat(200);
    let body = format!(
        r#"{{"model":"m","max_completion_tokens":5,"messages":[{{"role":"user","content":"{text}"}}]}}"#
    );
    let issued = "verbenaslip-class: night\r\nverbenaslip-deadline-ms: 1500\r\n\
                  idempotency-key: 018f0000-0000-7000-8000-000000000000\r\n\
                  verbenaslip-idempotent: false\r\nlast-event-id: 4\r\n";
    let streamed = body.replacen('{', r#"{"stream":true,"#, 1);
    let stream = bench.post(issued, &streamed);
    let (arrival, due) = bench.wait(|report| match report {
        Report::Arrived { arrival, due } => Some((arrival, due)),
        _ => None,
    });
    let head = &arrival.head;
    assert_eq!((head.team.as_str(), head.class.as_str()), ("team", "night"));
    assert_eq!((head.model.as_str(), head.output, head.keyed), ("m", 5, true));
    assert_eq!((head.idempotent, head.issued), (false, Some(0x018f_0000_0000)));
    assert_eq!((arrival.after, due), (Some(4), Some(Duration::from_millis(1500))));
    // The prompt's text is role and content with a newline after each: 4 + 1 + 200 + 1 bytes.
    assert_eq!((head.prompt, head.prefix.len()), (52, 3));
    let expected = verbenaslip::traffic::blocks(format!("user\n{text}\n").as_bytes());
    assert_eq!(head.prefix, expected);
    assert_eq!(arrival.body.bytes, streamed.as_bytes());
    drop(stream);
    let gone = bench.wait(|report| match report {
        Report::Gone { ticket } => Some(ticket),
        _ => None,
    });
    assert_eq!(gone, arrival.ticket);
}

/// Symptom: a large file for a plain service is refused as too late, a small one is served.
/// Sequence: a body of 400 kB, a row with a deadline of 20 s. Cause: its bytes count as a prompt that
/// an engine would compute.
#[test]
fn a_plain_services_body_is_no_prompt() {
    let bench = bench();
    let body = "x".repeat(400_000);
    let head = format!(
        "POST /v1/services/orders/new HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let _stream = bench.send(format!("{head}{body}"));
    let arrival = bench.wait(|report| match report {
        Report::Arrived { arrival, .. } => Some(arrival),
        _ => None,
    });
    assert_eq!((arrival.head.prompt, arrival.body.bytes.len()), (0, body.len()));
}

/// Symptom: a client that waits for `100 Continue` hangs, or a second request on the connection is
/// lost or answered first.
/// Sequence: a head with `Expect`, then the body; then two requests in one write.
/// Cause: the interim answer is not sent, or requests are not taken in order.
#[test]
fn expected_and_pipelined_requests_are_served_in_order() {
    let bench = bench();
    let length = WHOLE.len();
    let mut stream = bench.send(format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
         expect: 100-continue\r\ncontent-length: {length}\r\n\r\n"
    ));
    assert!(read_until(&mut stream, "\r\n\r\n").starts_with("HTTP/1.1 100 "));
    stream.write_all(WHOLE.as_bytes()).expect("the body is written");
    bench.traffic.verdict(bench.arrival().ticket, Verdict::Conflict);
    assert!(read_until(&mut stream, "}}").starts_with("HTTP/1.1 409 "));

    let keep = body(WHOLE).replace("connection: close\r\n", "");
    stream.write_all(format!("{keep}{keep}").as_bytes()).expect("both are written");
    bench.traffic.verdict(bench.arrival().ticket, Verdict::Unknown(Unknown::Deadline));
    assert!(read_until(&mut stream, "}}").starts_with("HTTP/1.1 504 "));
    bench.traffic.verdict(bench.arrival().ticket, Verdict::Conflict);
    assert!(read_until(&mut stream, "}}").starts_with("HTTP/1.1 409 "));
}

/// Symptom: bytes that are no text make the instance fail, or reach an engine.
/// Sequence: a body that is not UTF-8; a path with bytes that are none.
/// Cause: JSON is text, and a path may be passed on.
#[test]
fn bytes_that_are_no_text_are_refused() {
    let bench = bench();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                authorization: Bearer secret\r\ncontent-length: 4\r\n\r\n";
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(&[0xff, 0xfe, 0x80, 0x00]);
    let answer = read_all(&mut bench.send(&bytes));
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    let mut path = b"POST /v1/services/x/".to_vec();
    path.extend_from_slice(&[0xff, 0x01]);
    path.extend_from_slice(b" HTTP/1.1\r\nhost: x\r\n\r\n");
    let answer = read_all(&mut bench.send(&path));
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(bench.reports.is_empty(), "a wrong request reached the control thread");
}
