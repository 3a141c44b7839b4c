//! Accepts callers and drains before a stop.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Buf;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;
use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::route_table::RequestLimits;

use crate::dialect::Dialect;
use crate::event_log::{self, Kind};
use crate::forward::context::Context;
use crate::forward::crash;
use crate::forward::dial;
use crate::forward::intake;
use crate::forward::lifecycle::{self, Disposition};
use crate::http::{Connection, reader};
use crate::policy::overload::{Change, Verdict};
use crate::policy::placement::Sharing;
use crate::policy::retry::Bounds;
use crate::shared::SharedState;
use crate::tunnel::gateway;
use crate::{monotonic, socket};

/// The entry closes new connections unread, since it has more than it can serve, or no longer does.
const OVERLOAD: Kind = Kind { number: 958, name: "entry_overload" };

/// Time between two removals of expired idle connections.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Configures the server.
pub struct Config {
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which this instance opens connections to upstreams for others, if it does.
    pub tunnel_address: Option<SocketAddr>,
    /// Limit on such connections.
    pub max_tunnels: u32,
    /// Address at which the load balancer probes readiness.
    pub readiness_address: SocketAddr,
    /// Availability zone of this instance.
    pub zone: AvailabilityZone,
    /// Limit on simultaneous connections of callers.
    pub max_connections: usize,
    /// Memory of the machine, in bytes.
    pub memory_bytes: usize,
    /// Limits on retries.
    pub retry_bounds: Bounds,
    /// When the fleet's measurements of upstreams are used.
    pub sharing: Sharing,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// The deployment's header names.
    pub dialect: Arc<dyn Dialect>,
}

/// Forwards requests on a thread of its own.
pub struct Server {
    active_requests: Arc<AtomicUsize>,
}

impl Server {
    /// Binds the addresses and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on or the thread cannot be started.
    pub fn spawn(config: Config) -> io::Result<Self> {
        let active_requests = Arc::new(AtomicUsize::new(0));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (caller_listener, readiness_listener, tunnel_listener) = {
            let _guard = runtime.enter();
            let tunnel_listener = config.tunnel_address.map(socket::listen).transpose()?;
            let caller_listener = socket::listen(config.caller_address)?;
            (caller_listener, socket::listen(config.readiness_address)?, tunnel_listener)
        };
        let listeners = Listeners { caller_listener, readiness_listener, tunnel_listener };
        let counter = active_requests.clone();
        thread::Builder::new().name("traffic".into()).spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, run(config, listeners, counter));
        })?;
        Ok(Self { active_requests })
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::SeqCst)
    }
}

struct Listeners {
    caller_listener: TcpListener,
    readiness_listener: TcpListener,
    tunnel_listener: Option<TcpListener>,
}

async fn run(config: Config, listeners: Listeners, active_requests: Arc<AtomicUsize>) {
    let Listeners { caller_listener, readiness_listener, tunnel_listener } = listeners;
    let Config { max_connections, max_tunnels, .. } = config;
    let (crash_signals, crash_receiver) = mpsc::unbounded_channel();
    let context = Rc::new(Context::new(&config, crash_signals));
    tokio::task::spawn_local(crash::watch_for_crashes(crash_receiver, context.clone()));
    tokio::task::spawn_local(serve_readiness_probes(readiness_listener, config.shared));
    tokio::task::spawn_local(sweep_pool(context.clone()));
    tokio::task::spawn_local(dial::probe_paths(context.clone()));
    if let Some(listener) = tunnel_listener {
        let (context, active) = (context.clone(), active_requests.clone());
        tokio::task::spawn_local(gateway::serve(listener, context, max_tunnels, active));
    }
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let stream = socket::accept(&caller_listener).await;
        if open_connections.get() >= max_connections {
            drop(stream);
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (context, active_requests, open_connections) =
            (context.clone(), active_requests.clone(), open_connections.clone());
        let accepted_at = Instant::now();
        tokio::task::spawn_local(async move {
            if admits(&context, accepted_at.elapsed()) {
                serve_connection(&context, stream, &active_requests).await;
            }
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Returns whether a new connection is served, by how long it has waited for its task. If not, its
/// caller turns to another entry, since nothing of the request was read.
fn admits(context: &Context, delay: Duration) -> bool {
    let (verdict, change) = context.overload.borrow_mut().admit(monotonic::now(), delay);
    if let Some(change) = change {
        log_overload(change);
    }
    if verdict == Verdict::Closed {
        metrics::counter!("verbenaslip_connections_closed_unread_total").increment(1);
    }
    verdict == Verdict::Served
}

fn log_overload(change: Change) {
    let (delay, closed) = match change {
        Change::Began(delay) => (Some(delay.as_millis()), None),
        Change::Ended(closed) => (None, Some(closed)),
    };
    let fields = [
        ("overloaded", json!(closed.is_none())),
        ("delay_ms", json!(delay)),
        ("closed", json!(closed)),
    ];
    event_log::emit(OVERLOAD, fields);
}

async fn sweep_pool(context: Rc<Context>) {
    loop {
        tokio::time::sleep(POOL_SWEEP_INTERVAL).await;
        context.pool.borrow_mut().remove_expired(monotonic::now());
        let body_bytes = context.body_memory.borrow().held();
        metrics::gauge!("verbenaslip_body_bytes").set(body_bytes as f64);
        metrics::gauge!("verbenaslip_event_bytes").set(context.event_memory.held() as f64);
    }
}

/// Serves the requests of one connection one after the other.
async fn serve_connection(context: &Context, stream: TcpStream, active_requests: &AtomicUsize) {
    // A connection that has already ended needs no service.
    if socket::set_options(&stream).is_err() {
        return;
    }
    let mut caller = Connection::new(stream);
    loop {
        if caller.buffer.is_empty() {
            let limits = request_limits(context);
            // An idle connection is closed once new requests are refused; its caller reconnects
            // through another instance.
            tokio::select! {
                arrived = reader::wait_for_first_byte(&mut caller, &limits) => if !arrived { return },
                () = context.shared.wait_until_admission_stops() => return caller.shutdown().await,
            }
        }
        let _active = ActiveRequest::count(active_requests);
        match serve_request(context, &mut caller).await {
            Disposition::KeepOpen => {}
            Disposition::Close => return caller.shutdown().await,
            Disposition::Abort => return,
        }
    }
}

/// Counts a request, from its first byte on, among those for which a planned stop waits.
struct ActiveRequest<'a>(&'a AtomicUsize);

impl<'a> ActiveRequest<'a> {
    fn count(active_requests: &'a AtomicUsize) -> Self {
        // Ordered before the check whether requests are still admitted.
        active_requests.fetch_add(1, Ordering::SeqCst);
        Self(active_requests)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reads and serves a request of which some bytes have arrived.
async fn serve_request(context: &Context, caller: &mut Connection) -> Disposition {
    let limits = request_limits(context);
    let request = match intake::read_request(context, caller, &limits).await {
        Ok(Some(request)) => request,
        Ok(None) => return Disposition::Abort,
        Err(fault) => {
            let bytes = fault.write_answer(context);
            // The caller broke the protocol and may no longer read; a failed write does not matter.
            let _ = caller.send(&bytes).await;
            drain_after_error(caller).await;
            return Disposition::Abort;
        }
    };
    let message = &request.message;
    let closes =
        message.head.closes_connection() || lifecycle::is_last_before_stop(context, caller);
    context.shared.count_arrival();
    lifecycle::serve(context, caller, message, closes).await
}

fn request_limits(context: &Context) -> RequestLimits {
    let view = context.shared.view();
    view.routes.as_ref().map(|routes| routes.route_table().limits).unwrap_or_default()
}

/// Reads on for a moment after an error answer; closing with unread bytes would reset the
/// connection, and the caller could miss the answer.
async fn drain_after_error(caller: &mut Connection) {
    caller.shutdown().await;
    let until = Instant::now() + Duration::from_millis(500);
    while let Ok(Ok(count)) = tokio::time::timeout_at(until, caller.fill()).await {
        if count == 0 {
            return;
        }
        caller.buffer.clear();
    }
}

/// Answers the load balancer's readiness probes.
async fn serve_readiness_probes(listener: TcpListener, shared: Arc<SharedState>) {
    loop {
        let stream = socket::accept(&listener).await;
        tokio::task::spawn_local(serve_probe(stream, shared.clone()));
    }
}

async fn serve_probe(stream: TcpStream, shared: Arc<SharedState>) {
    let mut connection = Connection::new(stream);
    loop {
        while let Some(end) = connection.head_length() {
            connection.buffer.advance(end);
            let status = if shared.is_ready() { "200 OK" } else { "503 Service Unavailable" };
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            if connection.send(answer.as_bytes()).await.is_err() {
                return;
            }
        }
        let filled = reader::with_timeout(Duration::from_secs(10), connection.fill()).await;
        if !matches!(filled, Some(Ok(count)) if count > 0) || connection.buffer.len() > 8 << 10 {
            return;
        }
    }
}
