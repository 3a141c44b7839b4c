//! HTTP server for operators and upstreams, whose calls it decodes into typed requests.

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
use tokio::time::Instant;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::route_table::RequestLimits;
use verbenaslip_relay::http::{Connection, Message, MessageError, reader};
use verbenaslip_relay::policy::body_memory::{BodyMemory, Caller, Room};
use verbenaslip_relay::{event_log, monotonic, socket};

use crate::event;

/// Maximum time that a call waits for its answer; the state machine answers sooner.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of pending calls; further callers are refused and turn to another core. After a power loss of
/// all cores, each of 3,000 upstreams calls one of five cores while there is no leader.
const MAX_PENDING_CALLS: usize = 2_048;

/// Maximum number of calls that are read at the same time. Thousands of upstreams may call at once; without this
/// limit, all of them would be read before the next message of the log, and the leader's lease would expire several
/// times a second just after a power loss of all cores.
const MAX_CONCURRENT_READS: usize = 4;

/// Time after which an incomplete call releases its read permit; callers usually send a call in one piece.
const READ_PERMIT_TIME: Duration = Duration::from_millis(20);

/// Age after which a call is stale: its sender waits 1 s for an answer and then turns to another core.
const MAX_CALL_AGE: Duration = Duration::from_millis(900);

/// Maximum size of the body of a call.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Time within which the body of a call arrives.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Memory of which half is for the bodies of all calls.
const MEMORY_BYTES: usize = 64 << 20;

/// HTTP answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body in JSON.
    pub body: Vec<u8>,
}

/// Adapter that knows the paths and formats of a deployment's calls; it makes no decisions.
pub trait Codec: Send + Sync {
    /// Decodes a call.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that can't be decoded.
    fn decode(&self, call: &Message) -> Result<Request, Answer>;

    /// Encodes the answer to a call.
    fn encode(&self, response: &Response) -> Answer;
}

/// Call that waits for its response.
#[derive(Debug)]
pub struct Call {
    /// Number of the call, to be given to [`ControlServer::answer`].
    pub id: u64,
    /// Decoded request.
    pub request: Request,
    /// Time at which the call was read, by the monotonic clock.
    pub received_at: Duration,
}

impl Call {
    /// Returns whether the sender has turned to another core, so that no answer would reach it.
    pub fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) > MAX_CALL_AGE
    }
}

/// Server that passes calls on and sends their answers.
pub struct ControlServer {
    shared: Rc<Shared>,
}

/// Senders of the responses to pending calls, by call number.
type PendingCalls = HashMap<u64, oneshot::Sender<Response>>;

struct Shared {
    codec: Arc<dyn Codec>,
    calls: UnboundedSender<Call>,
    pending: RefCell<PendingCalls>,
    last_id: Cell<u64>,
    refusal_log: RefusalLog,
    read_permits: Semaphore,
    body_memory: RefCell<BodyMemory>,
}

/// Call together with the memory for its body.
struct ReadCall<'a> {
    message: Message,
    _room: Room<'a>,
}

/// Maximum number of refused calls logged per second; a caller may repeat a malformed call many times.
const MAX_LINES_PER_SECOND: u32 = 10;

/// Maximum length of a call's target in a log line, in characters.
const MAX_TARGET_CHARS: usize = 120;

/// Rate-limited log of calls that can't be read.
#[derive(Default)]
struct RefusalLog {
    second: Cell<u64>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

impl RefusalLog {
    /// Logs why a call was refused, unless the limit of this second is reached.
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
    /// Listens for calls and passes them to `calls`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
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
            body_memory: RefCell::new(BodyMemory::new(MEMORY_BYTES)),
        };
        let shared = Rc::new(shared);
        tokio::task::spawn_local(accept(listener, shared.clone()));
        Ok(Self { shared })
    }

    /// Sends the response to a pending call.
    pub fn answer(&self, id: u64, response: Response) {
        if let Some(sender) = self.shared.pending.borrow_mut().remove(&id) {
            // The caller may have closed the connection.
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
        let (bytes, closes) = match shared.read_call(&mut connection, &limits).await {
            Ok(Some(ReadCall { message: call, _room })) => {
                let (answer, closes) = (shared.handle(&call).await, call.head.closes_connection());
                let mut bytes = encode_head(&answer, closes);
                if &*call.head.method != "HEAD" {
                    bytes.extend_from_slice(&answer.body);
                }
                (bytes, closes)
            }
            Ok(None) => return,
            Err(error) => {
                let body = format!("{{\"error\":\"{error}\"}}\n").into_bytes();
                let status = if error == MessageError::OutOfMemory { 503 } else { 400 };
                let answer = Answer { status, body };
                ([encode_head(&answer, true), answer.body].concat(), true)
            }
        };
        if connection.send(&bytes).await.is_err() {
            return;
        }
        if closes {
            return connection.shutdown().await;
        }
    }
}

impl Shared {
    /// Reads a call once a read permit is free; returns `None` if the caller has closed the connection or the wait
    /// was too long.
    async fn read_call(
        &self,
        connection: &mut Connection,
        limits: &RequestLimits,
    ) -> Result<Option<ReadCall<'_>>, MessageError> {
        let since = monotonic::now();
        // The semaphore is never closed.
        let permit = self.read_permits.acquire().await;
        if monotonic::now().saturating_sub(since) > MAX_CALL_AGE {
            return Ok(None);
        }
        let mut read = pin!(self.read_message(connection, limits));
        if let Ok(call) = tokio::time::timeout(READ_PERMIT_TIME, &mut read).await {
            return call;
        }
        drop(permit);
        read.await
    }

    async fn read_message(
        &self,
        connection: &mut Connection,
        limits: &RequestLimits,
    ) -> Result<Option<ReadCall<'_>>, MessageError> {
        let Some(unread) = reader::read_head(connection, limits).await? else { return Ok(None) };
        let mut room = Room::new(&self.body_memory);
        let address = connection.peer_ip();
        let reserve = |bytes: usize| {
            let extended = room.extend(bytes, || Caller::Address(address));
            extended.map_err(|_| MessageError::OutOfMemory)
        };
        let deadline = Instant::now() + BODY_TIME;
        let body = unread.read_body(connection, limits, Some(deadline), reserve).await?;
        Ok(body.map(|body| ReadCall { message: unread.into_message(body), _room: room }))
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

fn encode_head(answer: &Answer, closes: bool) -> Vec<u8> {
    let reason = match answer.status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        400..500 => "Bad Request",
        _ => "Service Unavailable",
    };
    let close = if closes { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{close}\r\n",
        answer.status,
        answer.body.len()
    )
    .into_bytes()
}
