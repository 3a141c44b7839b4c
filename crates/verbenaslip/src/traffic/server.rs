//! Callers' connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::Sender;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, SERVER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Handle};
use tokio::sync::watch;
use verbenaslip_base::refusal::{Reason, Refusal};

use crate::traffic::error::Problem;
use crate::traffic::parse::{Asked, Preface};
use crate::traffic::payload::Payload;
use crate::traffic::shared::Shared;
use crate::traffic::shelves::Shelves;
use crate::traffic::steady::{self, Steady};
use crate::traffic::stream;
use crate::traffic::{Report, Setup, Traffic};

/// How long a connection is read on after its last answer, so that the answer is not lost.
const LINGER: Duration = Duration::from_secs(1);

/// How long the listener rests when the system has no connection to give.
const REST: Duration = Duration::from_millis(20);

/// When a caller beyond the limit of connections should come back.
const AWAY: Duration = Duration::from_secs(1);

/// The least buffer that the library takes.
const HEAD_MIN: usize = 8192;

/// Binds the listener and starts the threads.
pub(crate) fn spawn(setup: Setup, events: Sender<Report>) -> io::Result<Traffic> {
    let listener = std::net::TcpListener::bind(setup.address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let (handles, threads) = runtimes(setup.threads.max(1), &stopped)?;
    let shared = Arc::new(shared(setup, handles, events));
    let first = shared.handles[0].clone();
    // The listener registers with the runtime that it is made in.
    let listener = {
        let _entered = first.enter();
        TcpListener::from_std(listener)?
    };
    first.spawn(accept(shared.clone(), listener));
    Ok(Traffic { shared, address, stop, threads })
}

/// Holds the runtimes and the threads that drive them.
type Runtimes = (Vec<Handle>, Vec<JoinHandle<()>>);

fn runtimes(count: usize, stopped: &watch::Receiver<bool>) -> io::Result<Runtimes> {
    let (mut handles, mut threads) = (Vec::new(), Vec::new());
    for number in 0..count {
        let (sender, receiver) = mpsc::channel();
        let mut stopped = stopped.clone();
        let name = format!("traffic-{number}");
        let thread = thread::Builder::new().name(name).spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(error) => return drop(sender.send(Err(error))),
            };
            let _ = sender.send(Ok(runtime.handle().clone()));
            runtime.block_on(async move {
                let _ = stopped.wait_for(|stopped| *stopped).await;
            });
        })?;
        handles.push(receiver.recv().map_err(io::Error::other)??);
        threads.push(thread);
    }
    Ok((handles, threads))
}

fn shared(setup: Setup, handles: Vec<Handle>, events: Sender<Report>) -> Shared {
    let answer = setup.limits.answer;
    Shared {
        keys: setup.keys,
        limits: setup.limits,
        origin: setup.origin,
        seed: setup.seed,
        identity: setup.identity,
        events,
        handles,
        turn: AtomicUsize::new(0),
        drawn: AtomicU64::new(0),
        accepting: AtomicBool::new(true),
        closing: tokio::sync::Notify::new(),
        tickets: Default::default(),
        shelves: Shelves::new(answer),
        runs: Default::default(),
        mirrors: Default::default(),
        addresses: Default::default(),
        connections: AtomicU64::new(0),
        adopted: AtomicU64::new(0),
        rejected: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
        stuck: AtomicU64::new(0),
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        // Asked for before the flag is read, so that a close in between is not missed.
        let closing = shared.closing.notified();
        if !shared.accepting.load(Ordering::Acquire) {
            break;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing => break,
        };
        admit(&shared, accepted).await;
    }
    // Connections that the system has made but that were not taken yet would be reset with the
    // listener, and their callers could not tell what became of their requests.
    while let Ok(accepted) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        admit(&shared, accepted).await;
    }
}

async fn admit(shared: &Arc<Shared>, accepted: io::Result<(TcpStream, SocketAddr)>) {
    let Ok((stream, _)) = accepted else {
        // Out of file descriptors: accepting again at once would spin without getting one.
        return tokio::time::sleep(REST).await;
    };
    let open = shared.connections.fetch_add(1, Ordering::Relaxed) as usize;
    let guard = Open(shared.clone());
    let most = shared.limits.connections;
    // Each connection turned away still costs memory until it is read out, so that they are
    // bounded as well.
    let Ok(stream) = stream.into_std() else { return };
    if open >= most.saturating_mul(2) {
        return;
    }
    let shared = shared.clone();
    let handle = shared.handle().clone();
    handle.spawn(async move {
        let _guard = guard;
        let Ok(stream) = TcpStream::from_std(stream) else { return };
        let _ = stream.set_nodelay(true);
        if open >= most { turn_away(stream).await } else { connection(shared, stream).await }
    });
}

/// Tells a caller beyond the limit that it was not run.
async fn turn_away(mut stream: TcpStream) {
    let refusal = Refusal { reason: Reason::Overload, retry: Some(AWAY) };
    let bytes = Problem::refused(&refusal).closing().raw("Service Unavailable");
    let _ = stream.write_all(&bytes).await;
    linger(stream).await;
}

/// Serves one connection until it ends.
async fn connection(shared: Arc<Shared>, stream: TcpStream) {
    let limits = shared.limits.clone();
    let io = TokioIo::new(Steady::new(stream, limits.write_time, shared.clone()));
    let service = service_fn(move |request| {
        let shared = shared.clone();
        // Boxed, so that the connection can be taken apart when it ends.
        Box::pin(async move { Ok::<_, Infallible>(respond(&shared, request).await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header.max(HEAD_MIN))
        .serve_connection(io, service);
    let ended = std::future::poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let parts = connection.into_parts();
    let mut stream = parts.io.into_inner().into_inner();
    let slow = ended.as_ref().is_err_and(hyper::Error::is_timeout) && !parts.read_buf.is_empty();
    if slow {
        let _ = stream.write_all(&slow_head().raw("Request Timeout")).await;
    }
    let unread = ended.as_ref().is_err_and(|error| error.is_parse() || error.is_parse_too_large());
    if slow || unread || ended.is_ok() {
        linger(stream).await;
    }
}

/// Closes a connection so that its last answer is read.
async fn linger(mut stream: TcpStream) {
    // Closing a connection with unread bytes resets it, and the reset may overtake the answer: the
    // caller would see a broken connection in place of its error. Reading on for a moment lets the
    // caller close first.
    let _ = stream.shutdown().await;
    let mut bytes = [0; 4096];
    let read = async { while matches!(stream.read(&mut bytes).await, Ok(read) if read > 0) {} };
    let _ = tokio::time::timeout(LINGER, read).await;
}

/// Answers one request.
async fn respond(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Payload> {
    let mut response = match read(shared, request).await {
        Ok(asked) => stream::answer(shared, asked).await,
        Err(problem) => {
            shared.rejected.fetch_add(1, Ordering::Relaxed);
            problem.response()
        }
    };
    let headers = response.headers_mut();
    headers.insert(SERVER, HeaderValue::from_static(steady::SERVER));
    // After the listener has closed, a caller that keeps its connection would be cut off by the
    // process's end in the middle of its next request.
    if !shared.accepting.load(Ordering::Acquire) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads one request whole.
async fn read(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Asked, Problem> {
    let (parts, body) = request.into_parts();
    let preface = Preface::read(&parts.method, &parts.uri, &parts.headers, &*shared.keys)
        .map_err(|problem| if body.is_end_stream() { problem } else { problem.closing() })?;
    let limits = &shared.limits;
    if body.size_hint().lower() > limits.body as u64 {
        return Err(large(limits.body));
    }
    let body = Limited::new(body, limits.body).collect();
    let body = tokio::time::timeout(limits.body_time, body).await.map_err(|_| slow_body())?;
    let body = body.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
        Some(_) => large(limits.body),
        None => broken(),
    })?;
    preface.whole(body.to_bytes().into(), limits, || shared.draw())
}

fn large(limit: usize) -> Problem {
    let message = format!("The body is larger than {limit} bytes.");
    Problem::invalid(413, "body", message, "Send a shorter request.").closing()
}

fn slow_body() -> Problem {
    let hint = "Send the body at once after the head.";
    Problem::invalid(408, "body", "The body did not come in time.", hint).closing()
}

fn slow_head() -> Problem {
    let hint = "Send the head at once.";
    Problem::invalid(408, "head", "The request's head did not come in time.", hint).closing()
}

fn broken() -> Problem {
    let hint = "Send as many bytes as Content-Length says, or end the last chunk.";
    Problem::invalid(400, "body", "The body ended before its end.", hint).closing()
}

/// Counts a connection out when it ends.
struct Open(Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
