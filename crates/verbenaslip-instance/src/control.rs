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
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The most calls at once; beyond that a caller turns to another core. After a power loss of all, each of 3,000
/// upstreams calls one of five cores while there is no leader yet.
const MAX_PENDING_CALLS: usize = 2_048;

/// Calls that are read at the same time. Thousands of upstreams may call at once; read as they come, each would
/// take its turn before the next message of the log, whose lease then lapses. One would notice a leader that
/// loses and regains it several times a second just after a power loss of all.
const MAX_CONCURRENT_READS: usize = 4;

/// How long a call that is not whole keeps its turn: callers send it in one piece.
const READ_PERMIT_TIME: Duration = Duration::from_millis(20);

/// A caller that has waited so long for its turn has turned to another core: it waits for an answer for 1 s.
const MAX_CALL_AGE: Duration = Duration::from_millis(900);

/// The largest body of a call.
const MAX_BODY_BYTES: usize = 8 << 20;

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
    fn decode(&self, call: &Message) -> Result<Request, Answer>;

    /// Writes the answer to a call.
    fn encode(&self, response: &Response) -> Answer;
}

/// Asks the decisions for something.
#[derive(Debug)]
pub struct Call {
    /// Names the call in its answer.
    pub id: u64,
    /// What is asked.
    pub request: Request,
    /// When it was read.
    pub received_at: Duration,
}

impl Call {
    /// Tells whether its sender has turned to another core, so that an answer would reach nobody.
    pub fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) > MAX_CALL_AGE
    }
}

/// Takes calls and gives them their answers.
pub struct ControlServer {
    shared: Rc<Shared>,
}

/// Holds who waits for the answer to each call.
type PendingCalls = HashMap<u64, oneshot::Sender<Response>>;

struct Shared {
    codec: Arc<dyn Codec>,
    calls: UnboundedSender<Call>,
    pending: RefCell<PendingCalls>,
    last_id: Cell<u64>,
    refusal_log: RefusalLog,
    read_permits: Semaphore,
}

/// Refused calls that are logged in a second; a caller that repeats a malformed one sends it many times.
const MAX_LINES_PER_SECOND: u32 = 10;

/// The longest part of a call's target in a log line, in characters.
const MAX_TARGET_CHARS: usize = 120;

/// Bounds the log lines about calls that can't be read.
#[derive(Default)]
struct RefusalLog {
    second: Cell<u64>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

impl RefusalLog {
    /// Writes why a call was refused, unless enough was written in this second.
    fn log(&self, call: &Message, answer: &Answer) {
        let second = monotonic::now().as_secs();
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES_PER_SECOND {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.lines.set(self.lines.get() + 1);
        let target: String = call.head.target.chars().take(MAX_TARGET_CHARS).collect();
        event_log::emit(
            event::CALL_REFUSED,
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

impl ControlServer {
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
            pending: RefCell::default(),
            last_id: Cell::new(0),
            refusal_log: RefusalLog::default(),
            read_permits: Semaphore::new(MAX_CONCURRENT_READS),
        };
        let shared = Rc::new(shared);
        tokio::task::spawn_local(accept(listener, shared.clone()));
        Ok(Self { shared })
    }

    /// Answers a call.
    pub fn answer(&self, id: u64, response: Response) {
        if let Some(sender) = self.shared.pending.borrow_mut().remove(&id) {
            // A caller that has gone meanwhile needs no answer.
            let _ = sender.send(response);
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
    let mut connection = Connection::new(stream);
    let limits = RequestLimits { max_body_bytes: MAX_BODY_BYTES, ..RequestLimits::default() };
    loop {
        let idle = tokio::time::timeout(limits.idle_timeout, connection.readable()).await;
        if !matches!(idle, Ok(Ok(()))) {
            return;
        }
        let (answer, closes) = match shared.read_call(&mut connection, &limits).await {
            Ok(Some(call)) => (shared.handle(&call).await, call.head.closes_connection()),
            Ok(None) => return,
            Err(error) => {
                let body = format!("{{\"error\":\"{error}\"}}\n").into_bytes();
                (Answer { status: 400, body }, true)
            }
        };
        if connection.send(&encode_http(&answer, closes)).await.is_err() {
            return;
        }
        if closes {
            return connection.shutdown().await;
        }
    }
}

impl Shared {
    /// Reads a call once it is its turn; none where the caller has gone, or has waited for too long.
    async fn read_call(
        &self,
        connection: &mut Connection,
        limits: &RequestLimits,
    ) -> Result<Option<Message>, MessageError> {
        let since = monotonic::now();
        // Nobody closes the turns.
        let permit = self.read_permits.acquire().await;
        if monotonic::now().saturating_sub(since) > MAX_CALL_AGE {
            return Ok(None);
        }
        let mut read = pin!(reader::read_request(connection, limits));
        if let Ok(call) = tokio::time::timeout(READ_PERMIT_TIME, &mut read).await {
            return call;
        }
        drop(permit);
        read.await
    }

    async fn handle(&self, call: &Message) -> Answer {
        let request = match self.codec.decode(call) {
            Ok(request) => request,
            Err(answer) => {
                self.refusal_log.log(call, &answer);
                return answer;
            }
        };
        if self.pending.borrow().len() >= MAX_PENDING_CALLS {
            return self.codec.encode(&Response::Unavailable);
        }
        let (sender, response) = oneshot::channel();
        self.last_id.set(self.last_id.get() + 1);
        let id = self.last_id.get();
        self.pending.borrow_mut().insert(id, sender);
        if self.calls.send(Call { id, request, received_at: monotonic::now() }).is_err() {
            return self.codec.encode(&Response::Unavailable);
        }
        let response = tokio::time::timeout(ANSWER_TIMEOUT, response).await;
        self.pending.borrow_mut().remove(&id);
        let response = response.ok().and_then(Result::ok).unwrap_or(Response::Unavailable);
        self.codec.encode(&response)
    }
}

fn encode_http(answer: &Answer, closes: bool) -> Vec<u8> {
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
