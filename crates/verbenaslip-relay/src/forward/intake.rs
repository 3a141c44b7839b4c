//! Reads requests of callers, as far as there is memory for their bodies.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use verbenaslip_fleet::route_table::RequestLimits;

use crate::event_log::{self, Kind};
use crate::forward::admission;
use crate::forward::answer::{self, Refusal, RefusedRequest};
use crate::forward::context::Context;
use crate::forward::lifecycle::{self, RETRY_AFTER_FULL};
use crate::http::reader::{self, UnreadMessage};
use crate::http::{Connection, Message, MessageError};
use crate::policy::body_memory::{Caller, Room, SMALL_BODY_BYTES, Shortage};

/// A request was refused since its body did not fit into memory.
const BODY_REFUSED: Kind = Kind { number: 961, name: "body_refused" };

/// Holds a request together with the memory for its body.
pub(crate) struct Request<'a> {
    /// The complete request.
    pub(crate) message: Message,
    _room: Room<'a>,
}

/// Describes why a request was not read.
pub(crate) struct Fault {
    refusal: Refusal,
    /// Identity of the request, or empty.
    id: Arc<str>,
    /// Method of the request, or empty if its head could not be read.
    method: Box<str>,
    retry_after: Option<Duration>,
}

impl Fault {
    fn stopping(context: &Context, id: Arc<str>, method: Box<str>) -> Self {
        let retry_after = Some(lifecycle::add_jitter(context, admission::RETRY_AFTER_STOP));
        Self { refusal: Refusal::Stopping, id, method, retry_after }
    }

    /// Writes the answer, after which the connection is closed.
    pub(crate) fn write_answer(&self, context: &Context) -> Vec<u8> {
        let Self { refusal, id, method, retry_after } = self;
        let request = RefusedRequest { id, method, closes_connection: true };
        answer::write_refusal(&*context.dialect, request, *refusal, *retry_after)
    }
}

impl From<MessageError> for Fault {
    fn from(error: MessageError) -> Self {
        Self { refusal: error.into(), id: "".into(), method: "".into(), retry_after: None }
    }
}

/// Reads one request; returns `None` if the caller closes or stays idle.
///
/// A request that is incomplete once new requests are refused is refused without its rest.
pub(crate) async fn read_request<'a>(
    context: &'a Context,
    caller: &mut Connection,
    limits: &RequestLimits,
) -> Result<Option<Request<'a>>, Fault> {
    let unread = tokio::select! {
        biased;
        unread = reader::read_head(caller, limits) => unread?,
        () = context.shared.wait_until_admission_stops() => {
            return Err(Fault::stopping(context, "".into(), "".into()));
        }
    };
    let Some(unread) = unread else { return Ok(None) };
    let memory = &context.body_memory;
    let max_body_bytes = limits.max_body_bytes.min(memory.borrow().max_body_bytes());
    let limits = RequestLimits { max_body_bytes, ..*limits };
    let sender = Sender::of(context, &unread, caller);
    let mut room = Room::new(memory);
    let mut shortage = None;
    let reserve = |bytes: usize| {
        room.extend(bytes, || sender.caller.clone()).map_err(|it| {
            shortage = Some(it);
            MessageError::OutOfMemory
        })
    };
    let read = tokio::select! {
        biased;
        read = unread.read_body(caller, &limits, sender.deadline, reserve) => read,
        () = context.shared.wait_until_admission_stops() => {
            let id = request_id(context, &unread);
            return Err(Fault::stopping(context, id, unread.head.method.clone()));
        }
    };
    if let Some(shortage) = shortage {
        return Err(refuse(context, &unread, shortage));
    }
    let read =
        read.map_err(|error| Fault { method: unread.head.method.clone(), ..error.into() })?;
    let message = read.map(|body| unread.into_message(body));
    Ok(message.map(|message| Request { message, _room: room }))
}

fn request_id(context: &Context, unread: &UnreadMessage) -> Arc<str> {
    let info = context.dialect.request_info(&unread.head);
    info.map_or_else(|| "".into(), |info| info.id)
}

fn refuse(context: &Context, unread: &UnreadMessage, shortage: Shortage) -> Fault {
    let id = request_id(context, unread);
    let Shortage { wanted, held, caller_held } = shortage;
    let fields = [
        ("id", json!(&*id)),
        ("bytes", json!(wanted)),
        ("held", json!(held)),
        ("caller_held", json!(caller_held)),
        ("capacity", json!(context.body_memory.borrow().capacity())),
    ];
    event_log::emit(BODY_REFUSED, fields);
    metrics::counter!("verbenaslip_bodies_refused_total").increment(1);
    let retry_after = Some(lifecycle::add_jitter(context, RETRY_AFTER_FULL));
    Fault { refusal: Refusal::OutOfMemory, id, method: unread.head.method.clone(), retry_after }
}

/// Describes who sends a body.
struct Sender {
    caller: Caller,
    /// When the caller no longer waits for an answer, so its body need not be held.
    deadline: Option<Instant>,
}

impl Sender {
    /// Returns the sender of a request; for one whose body is small, nothing is looked up.
    fn of(context: &Context, unread: &UnreadMessage, connection: &Connection) -> Self {
        if unread.body_length().is_some_and(|length| length <= SMALL_BODY_BYTES) {
            return Self { caller: Caller::Address(Ipv4Addr::UNSPECIFIED.into()), deadline: None };
        }
        let info = context.dialect.request_info(&unread.head);
        let timeout = info.as_ref().and_then(|info| info.caller_timeout);
        let key = info.and_then(|info| info.api_key);
        let caller = key.map_or_else(|| Caller::Address(connection.peer_ip()), Caller::Key);
        Self { caller, deadline: timeout.map(|timeout| Instant::now() + timeout) }
    }
}
