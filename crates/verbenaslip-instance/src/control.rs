//! The face for operators and upstreams: their calls as typed messages.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, oneshot};
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::route_table::RequestLimits;
use verbenaslip_relay::http::{Connection, Message, MessageError, reader};
use verbenaslip_relay::{event_log, monotonic, socket};

use crate::event;

/// How long a call may wait for its answer; the decisions answer sooner.
const PATIENCE: Duration = Duration::from_secs(2);

/// The most calls at once; beyond that a caller turns to another core. After a power loss of all, each of 3,000
/// upstreams calls one of five cores while there is no leader yet.
const CALLS: usize = 2_048;

/// Calls that are read at the same time. Thousands of upstreams may call at once; read as they come, each would
/// take its turn before the next message of the log, whose lease then lapses. One would notice a leader that
/// loses and regains it several times a second just after a power loss of all.
const TURNS: usize = 4;

/// How long a call that is not whole keeps its turn: callers send it in one piece.
const TURN: Duration = Duration::from_millis(20);

/// A caller that has waited so long for its turn has turned to another core: it waits for an answer for 1 s.
const STALE: Duration = Duration::from_millis(900);

/// The largest body of a call.
const BODY: usize = 8 << 20;

/// Holds an answer as it goes to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body, in JSON.
    pub body: Vec<u8>,
}

/// Knows a deployment's calls and their formats; decides nothing.
pub trait Codec: Send + Sync {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that can't be read.
    fn ask(&self, call: &Message) -> Result<Request, Answer>;

    /// Writes the answer to a call.
    fn told(&self, told: &Response) -> Answer;
}

/// Asks the decisions for something.
#[derive(Debug)]
pub struct Call {
    /// Names the call in its answer.
    pub id: u64,
    /// What is asked.
    pub ask: Request,
    /// When it was read.
    pub read: Duration,
}

impl Call {
    /// Tells whether its sender has turned to another core, so that an answer would reach nobody.
    pub fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.read) > STALE
    }
}

/// Takes calls and gives them their answers.
pub struct Face {
    shared: Rc<Shared>,
}

/// Holds who waits for the answer to each call.
type Open = HashMap<u64, oneshot::Sender<Response>>;

struct Shared {
    codec: Arc<dyn Codec>,
    calls: UnboundedSender<Call>,
    open: RefCell<Open>,
    next: Cell<u64>,
    refusals: Refusals,
    turns: Semaphore,
}

/// Refused calls that are logged in a second; a caller that repeats a malformed one sends it many times.
const LINES: u32 = 10;

/// The longest part of a call's target in a log line, in characters.
const TARGET: usize = 120;

/// Bounds the log lines about calls that can't be read.
#[derive(Default)]
struct Refusals {
    second: Cell<u64>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

impl Refusals {
    /// Writes why a call was refused, unless enough was written in this second.
    fn say(&self, call: &Message, answer: &Answer) {
        let second = monotonic::now().as_secs();
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        if self.lines.get() >= LINES {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.lines.set(self.lines.get() + 1);
        let target: String = call.head.target.chars().take(TARGET).collect();
        event_log::emit(
            event::REFUSED_CALL,
            [
                ("method", json!(&*call.head.method)),
                ("target", json!(target)),
                ("status", json!(answer.status)),
                ("cause", json!(String::from_utf8_lossy(&answer.body))),
                ("skipped_before", json!(self.skipped.take())),
            ],
        );
    }
}

impl Face {
    /// Listens for calls, which are given to `calls`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub fn bind(
        address: SocketAddr,
        codec: Arc<dyn Codec>,
        calls: UnboundedSender<Call>,
    ) -> io::Result<Self> {
        let listener = socket::listen(address)?;
        let shared = Shared {
            codec,
            calls,
            open: RefCell::default(),
            next: Cell::new(0),
            refusals: Refusals::default(),
            turns: Semaphore::new(TURNS),
        };
        let shared = Rc::new(shared);
        tokio::task::spawn_local(accept(listener, shared.clone()));
        Ok(Self { shared })
    }

    /// Answers a call.
    pub fn answer(&self, id: u64, told: Response) {
        if let Some(open) = self.shared.open.borrow_mut().remove(&id) {
            // A caller that has gone meanwhile needs no answer.
            let _ = open.send(told);
        }
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let stream = socket::accept(&listener).await;
        tokio::task::spawn_local(serve(stream, shared.clone()));
    }
}

async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    if socket::set_options(&stream).is_err() {
        return;
    }
    let mut wire = Connection::new(stream);
    let limits = RequestLimits { max_body_bytes: BODY, ..RequestLimits::default() };
    loop {
        let idle = tokio::time::timeout(limits.idle_timeout, wire.readable()).await;
        if !matches!(idle, Ok(Ok(()))) {
            return;
        }
        let (answer, closes) = match shared.read(&mut wire, &limits).await {
            Ok(Some(call)) => (shared.take(&call).await, call.head.closes_connection()),
            Ok(None) => return,
            Err(fault) => {
                let body = format!("{{\"error\":\"{fault}\"}}\n").into_bytes();
                (Answer { status: 400, body }, true)
            }
        };
        if wire.send(&bytes(&answer, closes)).await.is_err() {
            return;
        }
        if closes {
            return wire.shutdown().await;
        }
    }
}

impl Shared {
    /// Reads a call once it is its turn; none where the caller has gone, or has waited for too long.
    async fn read(
        &self,
        wire: &mut Connection,
        limits: &RequestLimits,
    ) -> Result<Option<Message>, MessageError> {
        let since = monotonic::now();
        // Nobody closes the turns.
        let turn = self.turns.acquire().await;
        if monotonic::now().saturating_sub(since) > STALE {
            return Ok(None);
        }
        let mut read = pin!(reader::read_request(wire, limits));
        if let Ok(call) = tokio::time::timeout(TURN, &mut read).await {
            return call;
        }
        drop(turn);
        read.await
    }

    async fn take(&self, call: &Message) -> Answer {
        let ask = match self.codec.ask(call) {
            Ok(ask) => ask,
            Err(answer) => {
                self.refusals.say(call, &answer);
                return answer;
            }
        };
        if self.open.borrow().len() >= CALLS {
            return self.codec.told(&Response::Unavailable);
        }
        let (sender, told) = oneshot::channel();
        self.next.set(self.next.get() + 1);
        let id = self.next.get();
        self.open.borrow_mut().insert(id, sender);
        if self.calls.send(Call { id, ask, read: monotonic::now() }).is_err() {
            return self.codec.told(&Response::Unavailable);
        }
        let told = tokio::time::timeout(PATIENCE, told).await;
        self.open.borrow_mut().remove(&id);
        let told = told.ok().and_then(Result::ok).unwrap_or(Response::Unavailable);
        self.codec.told(&told)
    }
}

fn bytes(answer: &Answer, closes: bool) -> Vec<u8> {
    let reason = match answer.status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        400..500 => "Bad Request",
        _ => "Service Unavailable",
    };
    let close = if closes { "Connection: close\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 {} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{close}\r\n",
        answer.status,
        answer.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&answer.body);
    bytes
}
