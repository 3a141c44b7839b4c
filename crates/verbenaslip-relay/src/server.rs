//! Accepts callers, and drains before a stop.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Buf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;
use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::route_table::RequestLimits;

use crate::dialect::Dialect;
use crate::forward::answer;
use crate::forward::context::Context;
use crate::forward::crash;
use crate::forward::lifecycle::{self, After};
use crate::http::{Connection, reader};
use crate::policy::retry::Bounds;
use crate::shared::SharedState;
use crate::{monotonic, socket};

/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(1);

/// Sets the forwarding face up.
pub struct Config {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether new callers may come.
    pub readiness_address: SocketAddr,
    /// Where this instance runs.
    pub zone: AvailabilityZone,
    /// The most connections of callers at once.
    pub max_connections: usize,
    /// Bounds repeated arrivals.
    pub retry_bounds: Bounds,
    /// The length of a window of usage.
    pub usage_window: Duration,
    /// What is shared with the control thread.
    pub shared: Arc<SharedState>,
    /// The deployment's header names.
    pub dialect: Arc<dyn Dialect>,
}

/// Runs the forwarding face on a thread of its own.
pub struct Server {
    active: Arc<AtomicUsize>,
}

impl Server {
    /// Binds the addresses and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub fn spawn(setup: Config) -> io::Result<Self> {
        let active = Arc::new(AtomicUsize::new(0));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (callers, ready) = {
            let _guard = runtime.enter();
            (socket::listen(setup.caller_address)?, socket::listen(setup.readiness_address)?)
        };
        let counter = active.clone();
        thread::Builder::new().name("traffic".into()).spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, run(setup, callers, ready, counter));
        })?;
        Ok(Self { active })
    }

    /// Returns how many requests are under way.
    pub fn active_requests(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }
}

async fn run(setup: Config, callers: TcpListener, ready: TcpListener, active: Arc<AtomicUsize>) {
    let Config {
        zone,
        max_connections: connections,
        retry_bounds: retries,
        usage_window: window,
        shared: board,
        dialect,
        ..
    } = setup;
    let (signs, looked_at) = mpsc::unbounded_channel();
    let context = Rc::new(Context::open(board.clone(), dialect, zone, retries, window, signs));
    tokio::task::spawn_local(crash::watch(looked_at, board.clone()));
    tokio::task::spawn_local(answer_probes(ready, board));
    tokio::task::spawn_local(sweep(context.clone()));
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let stream = socket::accept(&callers).await;
        if open.get() >= connections {
            drop(stream);
            continue;
        }
        open.set(open.get() + 1);
        let (context, active, open) = (context.clone(), active.clone(), open.clone());
        tokio::task::spawn_local(async move {
            connection(&context, stream, &active).await;
            open.set(open.get() - 1);
        });
    }
}

async fn sweep(context: Rc<Context>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        context.pool.borrow_mut().sweep(monotonic::now());
    }
}

/// Serves the requests of one connection, one after the other.
async fn connection(context: &Context, stream: TcpStream, active: &AtomicUsize) {
    // A connection that ended before it was accepted is served by its end.
    if socket::set_options(&stream).is_err() {
        return;
    }
    let mut caller = Connection::new(stream);
    loop {
        let limits = limits(context);
        if caller.buffer.is_empty() {
            // An idle connection is closed once new requests are refused; its caller comes back
            // over another instance.
            tokio::select! {
                there = reader::begun(&mut caller, &limits) => if !there { return },
                () = context.board.closed() => return caller.shutdown().await,
            }
        }
        let whole = match reader::read_request(&mut caller, &limits).await {
            Ok(Some(whole)) => whole,
            Ok(None) => return,
            Err(fault) => {
                let bytes = answer::write(&*context.dialect, fault.into(), "", None, true);
                // The caller broke the protocol; whether it still reads is its own affair.
                let _ = caller.send(&bytes).await;
                return linger(&mut caller).await;
            }
        };
        let closes = whole.head.closes_connection() || context.board.is_draining();
        active.fetch_add(1, Ordering::Relaxed);
        let after = lifecycle::serve(context, &mut caller, &whole, closes).await;
        active.fetch_sub(1, Ordering::Relaxed);
        if after == After::Close {
            if closes {
                caller.shutdown().await;
            }
            return;
        }
    }
}

fn limits(context: &Context) -> RequestLimits {
    let view = context.board.view();
    view.routes.as_ref().map(|routes| routes.route_table().limits).unwrap_or_default()
}

/// Reads on for a moment after a refusal; closed with unread bytes the connection would be reset,
/// and the caller could miss its answer.
async fn linger(caller: &mut Connection) {
    caller.shutdown().await;
    let until = Instant::now() + Duration::from_millis(500);
    while let Ok(Ok(count)) = tokio::time::timeout_at(until, caller.fill()).await {
        if count == 0 {
            return;
        }
        caller.buffer.clear();
    }
}

/// Tells the balancer whether new callers may come.
async fn answer_probes(listener: TcpListener, board: Arc<SharedState>) {
    loop {
        let stream = socket::accept(&listener).await;
        tokio::task::spawn_local(probe(stream, board.clone()));
    }
}

async fn probe(stream: TcpStream, board: Arc<SharedState>) {
    let mut wire = Connection::new(stream);
    loop {
        while let Some(end) = wire.head_length() {
            wire.buffer.advance(end);
            let status = if board.is_ready() { "200 OK" } else { "503 Service Unavailable" };
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            if wire.send(answer.as_bytes()).await.is_err() {
                return;
            }
        }
        let filled = reader::within(Duration::from_secs(10), wire.fill()).await;
        if !matches!(filled, Some(Ok(count)) if count > 0) || wire.buffer.len() > 8 << 10 {
            return;
        }
    }
}
