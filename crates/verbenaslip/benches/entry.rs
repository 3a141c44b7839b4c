//! What an entry instance adds to a streamed answer, beside the engine asked directly: time to the
//! first token, time between tokens, memory and threads at 1,000 open streams.
//!
//! Three instances, four engines and the client run in this process, so that memory and threads of
//! the instances are the difference to the direct run. `cargo bench -p verbenaslip --bench entry`.

#[path = "../tests/whole/cluster.rs"]
#[allow(dead_code, reason = "the bench uses a part of the tests' deployment")]
mod cluster;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use verbenaslip_lab::engine::{self, Engine};

use crate::cluster::{Cluster, Shape};

const TOKENS: u32 = 90;
const RAMP: Duration = Duration::from_millis(2);

fn main() {
    println!(
        "{:<8} {:>7} {:>7} {:>12} {:>12} {:>11} {:>11} {:>11} {:>8}",
        "way",
        "streams",
        "whole",
        "first p50",
        "first p95",
        "gap p50",
        "gap p95",
        "RSS KiB",
        "threads"
    );
    for streams in [50, 1_000] {
        direct(streams);
        through(streams);
    }
}

/// Asks engines like those of the deployment directly.
fn direct(streams: u32) {
    let engines: Vec<Engine> = (0..4).map(|number| engine(number, &[])).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
    measure("direct", &addresses, streams);
}

/// Asks through three instances.
fn through(streams: u32) {
    let shape = Shape { engine, concurrency: 4_000 };
    let cluster = Cluster::open_with(&shape);
    measure("through", &cluster.entries(), streams);
}

fn engine(number: usize, admins: &[SocketAddr]) -> Engine {
    let mut setup = cluster::engine_setup(number, admins);
    setup.slots = 600;
    setup.pace.token = Duration::from_millis(32);
    setup.pace.batch = Duration::ZERO;
    setup.pace.prefill = Duration::from_micros(20);
    setup.cache = engine::setup::Cache { blocks: 0, ..setup.cache };
    Engine::spawn(setup).expect("the engine starts")
}

fn measure(way: &str, addresses: &[SocketAddr], streams: u32) {
    let seen = Arc::new(Mutex::new(Seen::new()));
    let before = usage();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    let peak = runtime.block_on(async {
        let mut tasks = Vec::new();
        for number in 0..streams {
            let address = addresses[number as usize % addresses.len()];
            tasks.push(tokio::spawn(read_stream(address, number, seen.clone())));
            tokio::time::sleep(RAMP).await;
        }
        let peak = usage();
        for task in tasks {
            let _ = task.await.expect("the task ends");
        }
        peak
    });
    let seen = seen.lock().expect("lock");
    let at = |histogram: &Histogram<u64>, quantile| {
        format!("{} us", histogram.value_at_quantile(quantile))
    };
    println!(
        "{way:<8} {streams:>7} {:>7} {:>12} {:>12} {:>11} {:>11} {:>11} {:>8}",
        seen.whole,
        at(&seen.first, 0.5),
        at(&seen.first, 0.95),
        at(&seen.gap, 0.5),
        at(&seen.gap, 0.95),
        peak.0.saturating_sub(before.0),
        peak.1,
    );
}

/// Holds what the client saw.
struct Seen {
    whole: u32,
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

impl Seen {
    fn new() -> Self {
        let empty = || Histogram::new_with_max(60_000_000, 3).expect("histogram");
        Self { whole: 0, first: empty(), gap: empty() }
    }
}

async fn read_stream(address: SocketAddr, number: u32, seen: Arc<Mutex<Seen>>) -> io::Result<()> {
    let body = format!(
        "{{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":{TOKENS},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"statement {number}\"}}]}}"
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer office-key\r\n\
         Idempotency-Key: stream-{number}\r\nVerbenaslip-Request: {number:032x}\r\n\
         Verbenaslip-Attempt: 1\r\nVerbenaslip-Priority: 1\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let begun = Instant::now();
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let (mut text, mut buffer, mut last) = (Vec::new(), vec![0; 8192], None::<Instant>);
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        text.extend_from_slice(&buffer[..count]);
        while let Some(line) = take_line(&mut text) {
            if line.starts_with(b"id:") {
                let now = Instant::now();
                let mut seen = seen.lock().expect("lock");
                match last.replace(now) {
                    None => seen.first.saturating_record((now - begun).as_micros() as u64),
                    Some(last) => seen.gap.saturating_record((now - last).as_micros() as u64),
                }
            }
            if line.starts_with(b"data: [DONE]") {
                seen.lock().expect("lock").whole += 1;
                return Ok(());
            }
        }
    }
}

fn take_line(text: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = text.iter().position(|byte| *byte == b'\n')?;
    Some(text.drain(..=end).collect())
}

/// Returns this process's memory in KiB and its threads.
fn usage() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    };
    (field("VmRSS:"), field("Threads:"))
}
