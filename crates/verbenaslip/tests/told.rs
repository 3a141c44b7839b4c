//! What a deployment tells of itself while things happen to it: log events and metrics; alone in
//! its process, because all threads share the log.

#[path = "whole/cluster.rs"]
#[expect(dead_code, reason = "the faults' tests use the rest")]
mod cluster;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use log::{Log, Metadata, Record};
use verbenaslip_lab::engine::truth::Truth;

use crate::cluster::{Cluster, get};

/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);

/// Holds the lines logged so far.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Memory;

impl Log for Memory {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap_or_else(PoisonError::into_inner).push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn lines() -> Vec<String> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Waits until each event was logged.
fn await_events(numbers: &[&str]) {
    let started = Instant::now();
    loop {
        let lines = lines();
        let told: BTreeSet<&str> = lines.iter().filter_map(|line| line.get(..5)).collect();
        let missing: Vec<&&str> = numbers.iter().filter(|it| !told.contains(**it)).collect();
        if missing.is_empty() {
            return;
        }
        assert!(started.elapsed() < PATIENCE, "{missing:?} missing in {told:?}");
        sleep(Duration::from_millis(50));
    }
}

/// Waits until a metric of an instance has a line that starts and ends as given.
fn await_metric(admin: SocketAddr, name: &str, end: &str) {
    let started = Instant::now();
    loop {
        let text = get(admin, "/metrics").unwrap_or_default();
        let fits = |line: &str| line.starts_with(&format!("{name}{{")) && line.ends_with(end);
        if text.lines().any(fits) {
            return;
        }
        assert!(started.elapsed() < PATIENCE, "{name} {end} is missing in {text}");
        sleep(Duration::from_millis(100));
    }
}

fn apply(admin: SocketAddr, base: u64, id: &str, csv: &str) -> String {
    let mut stream = TcpStream::connect(admin).expect("it takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit can be set");
    let length = csv.len();
    let head = format!(
        "POST /v1/table?base={base}&edit={id} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         authorization: Bearer operator-key\r\ncontent-length: {length}\r\n\r\n{csv}"
    );
    stream.write_all(head.as_bytes()).expect("the request is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer comes");
    answer
}

#[test]
fn what_happens_is_told_in_the_log_and_in_metrics() {
    // Symptom: an alarm never fires. Sequence: an engine dies and is taken up elsewhere, operators
    // edit, a call has no key, an instance is lost, then the quorum. Cause: what the catalogue
    // defines is told of by nothing.
    log::set_logger(&Memory).expect("the first logger of the process");
    log::set_max_level(log::LevelFilter::Info);
    let mut cluster = Cluster::open();
    let admin = cluster.admin(0);
    await_events(&["V1001", "V1002", "V1003", "V2004", "V3006", "V4005", "V5001", "V5002"]);

    let plan = cluster.plan(7);
    let (report, verdict) = cluster.run(plan, |cluster| {
        // Killed at a fixed time, the engine may have nothing under way, and then nothing is told.
        let started = Instant::now();
        while !has_run_under_way(&cluster.engines[0].truth()) {
            assert!(started.elapsed() < PATIENCE, "the engine runs nothing");
            sleep(Duration::from_millis(5));
        }
        cluster.engines[0].kill();
    });
    assert!(verdict.holds(), "{verdict:?} {:?}", report.codes);

    let csv = get(admin, "/v1/table").expect("the table");
    let csv = csv.split_once("\r\n\r\n").expect("a body").1.replace(",20000,", ",21000,");
    assert!(apply(admin, 1, "edit-1", &csv).starts_with("HTTP/1.1 200"));
    assert!(apply(admin, 1, "edit-2", &csv.replace("21000", "22000")).starts_with("HTTP/1.1 409"));
    let _ = ask_without_key(admin);
    await_events(&["V4001", "V4002", "V4003", "V4012", "V5004", "V6006", "V6009"]);

    await_metric(admin, "verbenaslip_members", "state=\"alive\"} 3");
    await_metric(admin, "verbenaslip_upstreams", "phase=\"ready\"} 1");
    for name in METRICS {
        // An instance tells of its own callers alone, and one may have had no fault.
        let told = |number: &usize| get(cluster.admin(*number), "/metrics").unwrap_or_default();
        let told: Vec<String> = cluster.servers.keys().map(told).collect();
        let start = format!("verbenaslip_{name}");
        assert!(told.iter().any(|text| text.lines().any(|it| it.starts_with(&start))), "{name}");
    }

    drop(cluster.servers.remove(&2));
    await_events(&["V2005", "V2006"]);
    drop(cluster.servers.remove(&1));
    await_events(&["V1004", "V2009", "V3003", "V3004", "V4006"]);
    let lost = lines().into_iter().filter(|line| line.starts_with("V1017 "));
    assert_eq!(lost.count(), 0, "no thread was lost");
}

/// Tells whether an engine is in the middle of an answer.
fn has_run_under_way(truth: &Truth) -> bool {
    truth.runs.iter().any(|run| run.position > 0 && run.ended_ms.is_none())
}

fn ask_without_key(admin: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(admin).ok()?;
    stream.write_all(b"GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Names the metrics that one of the instances must show by then.
const METRICS: [&str; 37] = [
    "requests_total",
    "answers_total",
    "tokens_total",
    "tokens_again_total",
    "retries_total",
    "first_token_seconds",
    "inter_token_seconds",
    "answer_seconds",
    "wait_seconds",
    "queue_requests",
    "running_requests",
    "runs_total",
    "run_failures_total",
    "moves_total",
    "upstream_first_token_seconds",
    "upstream_running_requests",
    "upstreams",
    "claims_total",
    "slots",
    "cost_per_hour",
    "steps_total",
    "step_seconds",
    "edits_total",
    "edit_in_force_seconds",
    "table_revision",
    "table_lease_age_seconds",
    "log_index",
    "log_term",
    "leader",
    "sync_seconds",
    "ready",
    "members",
    "messages_sent_total",
    "bytes_sent_total",
    "messages_received_total",
    "bytes_received_total",
    "events_total",
];
