//! Requests and answers with drawn damage, each draw from a fixed seed.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_request::caller::Verdict;
use verbenaslip_request::run::Start;

use crate::bench::{STREAMED, WHOLE, bench, connect, read_until, run};
use crate::script::{Act, Script, stream};

const CASES: usize = 300;

/// Damages bytes in one to four places: another byte, one more, one less, or all after it cut off.
fn damage(bytes: &mut Vec<u8>, random: &mut Pcg64Mcg) {
    for _ in 0..random.random_range(1..=4) {
        if bytes.is_empty() {
            return;
        }
        let at = random.random_range(0..bytes.len());
        match random.random_range(0..8) {
            0 => bytes.truncate(at),
            1 | 2 => bytes.insert(at, random.random()),
            3 | 4 => drop(bytes.remove(at)),
            _ => bytes[at] = random.random(),
        }
    }
}

/// Symptom: one damaged request ends a traffic thread, and all its callers with it.
/// Sequence: damaged requests, each on a connection that ends after it; then a good one.
/// Cause: a panic or an endless wait on input that nobody thought of.
#[test]
fn damaged_requests_end_only_themselves() {
    let bench = bench();
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let length = STREAMED.len();
    let good = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
         idempotency-key: k\r\nlast-event-id: 3\r\nverbenaslip-deadline-ms: 500\r\n\
         content-length: {length}\r\n\r\n{STREAMED}"
    );
    for _ in 0..CASES {
        let mut bytes = good.clone().into_bytes();
        damage(&mut bytes, &mut random);
        let mut stream = connect(bench.traffic.address());
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    while bench.traffic.stats().callers > 0 {
        std::thread::yield_now();
    }
    while bench.reports.try_recv().is_ok() {}
    let mut caller = bench.post("", WHOLE);
    bench.traffic.verdict(bench.arrival().ticket, Verdict::Conflict);
    assert!(read_until(&mut caller, "}}").starts_with("HTTP/1.1 409 "));
}

/// Symptom: one damaged answer ends a traffic thread, or its run never ends.
/// Sequence: damaged answers of an engine, each to a run of its own, which must end.
/// Cause: as above, on the other side.
#[test]
fn damaged_answers_end_only_their_runs() {
    let bench = bench();
    let mut random = Pcg64Mcg::seed_from_u64(12);
    for case in 0..CASES {
        let _caller = bench.post(&format!("idempotency-key: {case}\r\n"), STREAMED);
        let arrival = bench.arrival();
        let attempt = Attempt { request: arrival.head.request, number: 1 };
        let mut bytes = stream(attempt, 5).into_bytes();
        damage(&mut bytes, &mut random);
        let upstream = Script::spawn(vec![vec![Act::Bytes(bytes)]]);
        let mut run = run(&arrival, 1, upstream.address, Start::Fresh);
        run.stall = Duration::from_millis(500);
        bench.traffic.run(run);
        bench.ended();
        assert!(bench.traffic.position(arrival.head.request) <= Some(5), "case {case}");
        bench.traffic.forget(arrival.head.request, 0);
    }
    assert_eq!(bench.traffic.stats().runs, 0);
}
