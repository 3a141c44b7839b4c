//! Compares HTTP servers for streamed answers: time to the first event, lateness of each event,
//! memory and threads, at 1,000 open streams of 30 events 32 ms apart.
//!
//! Each server kind runs in this process in turn, read by the same client, so the figures differ
//! by the server alone. Run with `cargo bench -p verbenaslip-lab --bench streaming`.

use std::convert::Infallible;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http_body_util::channel::Channel;
use hyper::body::Bytes;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const EVENTS: u32 = 30;
const EVENT_GAP: Duration = Duration::from_millis(32);
const RAMP: Duration = Duration::from_micros(500);
const MARK: &[u8] = b"data:";

fn main() {
    let streams = 1_000;
    println!(
        "{:<10} {:>8} {:>14} {:>14} {:>14} {:>12} {:>8}",
        "server", "streams", "first p50 us", "first p95 us", "late p95 us", "KiB/stream", "threads"
    );
    for (name, open) in SERVERS {
        let before = Usage::now();
        let origin = Instant::now();
        let seen = read_streams(open(origin), origin, streams);
        let during = seen.peak;
        println!(
            "{:<10} {:>8} {:>14} {:>14} {:>14} {:>12} {:>8}",
            name,
            seen.whole,
            seen.first.value_at_quantile(0.5),
            seen.first.value_at_quantile(0.95),
            seen.late.value_at_quantile(0.95),
            during.resident.saturating_sub(before.resident) / u64::from(seen.whole.max(1)),
            during.threads - before.threads,
        );
    }
}

type Open = fn(Instant) -> SocketAddr;

const SERVERS: [(&str, Open); 3] =
    [("hyper", open_hyper), ("tiny_http", open_tiny), ("oxhttp", open_oxhttp)];

/// Returns one event that says when it was sent, in microseconds since the origin.
fn event(origin: Instant) -> String {
    format!("id: 1\ndata:{:012}\n\n", origin.elapsed().as_micros())
}

fn open_hyper(origin: Instant) -> SocketAddr {
    let listener = bind();
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            listener.set_nonblocking(true).expect("nonblocking");
            let listener = tokio::net::TcpListener::from_std(listener).expect("listener");
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("nodelay");
                let service = service_fn(move |_| async move {
                    let (mut sender, body) = Channel::<Bytes, Infallible>::new(1);
                    tokio::task::spawn_local(async move {
                        for _ in 0..EVENTS {
                            tokio::time::sleep(EVENT_GAP).await;
                            if sender.send_data(Bytes::from(event(origin))).await.is_err() {
                                return;
                            }
                        }
                    });
                    Ok::<_, Infallible>(hyper::Response::new(body))
                });
                tokio::task::spawn_local(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service),
                );
            }
        });
    });
    address
}

fn open_tiny(origin: Instant) -> SocketAddr {
    let server = tiny_http::Server::http((Ipv4Addr::LOCALHOST, 0)).expect("server");
    let address = server.server_addr().to_ip().expect("ip");
    thread::spawn(move || {
        for request in server.incoming_requests() {
            thread::spawn(move || {
                let mut writer = request.into_writer();
                let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
                let mut write = |text: &str| -> io::Result<()> {
                    writer.write_all(text.as_bytes())?;
                    writer.flush()
                };
                if write(head).is_err() {
                    return;
                }
                for _ in 0..EVENTS {
                    thread::sleep(EVENT_GAP);
                    if write(&event(origin)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn open_oxhttp(origin: Instant) -> SocketAddr {
    let address = bind().local_addr().expect("bound");
    let server = oxhttp::Server::new(move |_| {
        let body = Paced { origin, left: EVENTS, pending: Vec::new() };
        oxhttp::model::Response::builder()
            .body(oxhttp::model::Body::from_read(body))
            .expect("response")
    })
    .bind(address);
    server.spawn().expect("server");
    address
}

/// Yields one event each gap.
struct Paced {
    origin: Instant,
    left: u32,
    pending: Vec<u8>,
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.pending.is_empty() {
            if self.left == 0 {
                return Ok(0);
            }
            self.left -= 1;
            thread::sleep(EVENT_GAP);
            self.pending = event(self.origin).into_bytes();
        }
        let count = buffer.len().min(self.pending.len());
        buffer[..count].copy_from_slice(&self.pending[..count]);
        self.pending.drain(..count);
        Ok(count)
    }
}

fn bind() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

/// Holds what the client saw of one server.
struct Seen {
    whole: u32,
    first: Histogram<u64>,
    late: Histogram<u64>,
    peak: Usage,
}

/// Opens the streams in a ramp, reads all, and measures memory and threads while all are open.
fn read_streams(address: SocketAddr, origin: Instant, streams: u32) -> Seen {
    let empty = || Histogram::new(3).expect("histogram");
    let seen = Arc::new(Mutex::new(Seen {
        whole: 0,
        first: empty(),
        late: empty(),
        peak: Usage::default(),
    }));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(async {
        let mut tasks = Vec::new();
        for _ in 0..streams {
            tasks.push(tokio::spawn(read_stream(address, origin, Arc::clone(&seen))));
            tokio::time::sleep(RAMP).await;
        }
        seen.lock().expect("lock").peak = Usage::now();
        for task in tasks {
            task.await.expect("task").expect("stream");
        }
    });
    drop(runtime);
    Arc::into_inner(seen).expect("sole holder").into_inner().expect("lock")
}

async fn read_stream(
    address: SocketAddr,
    origin: Instant,
    seen: Arc<Mutex<Seen>>,
) -> io::Result<()> {
    let asked = Instant::now();
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await?;
    let mut buffer = vec![0; 4096];
    let mut text = Vec::new();
    let mut events = 0;
    while events < EVENTS {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            break;
        }
        text.extend_from_slice(&buffer[..count]);
        while let Some(sent) = take_event(&mut text) {
            let mut seen = seen.lock().expect("lock");
            if events == 0 {
                let first = asked.elapsed().saturating_sub(EVENT_GAP);
                seen.first.record(first.as_micros() as u64).expect("in range");
            }
            let late = (origin.elapsed().as_micros() as u64).saturating_sub(sent);
            seen.late.record(late).expect("in range");
            events += 1;
        }
    }
    if events == EVENTS {
        seen.lock().expect("lock").whole += 1;
    }
    Ok(())
}

/// Takes the next event's sending time from the text read so far.
fn take_event(text: &mut Vec<u8>) -> Option<u64> {
    let at = text.windows(MARK.len()).position(|window| window == MARK)? + MARK.len();
    let digits = text.get(at..at + 12)?;
    let sent = std::str::from_utf8(digits).ok()?.parse().ok()?;
    text.drain(..at + 12);
    Some(sent)
}

/// Holds this process's memory in KiB and its threads.
#[derive(Clone, Copy, Default)]
struct Usage {
    resident: u64,
    threads: u64,
}

impl Usage {
    fn now() -> Self {
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
        };
        Self { resident: field("VmRSS:"), threads: field("Threads:") }
    }
}
