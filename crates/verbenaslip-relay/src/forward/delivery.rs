//! Passes an answer on to its caller as it arrives.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use verbenaslip_base::event_stream::{self, Fault, Position};
use verbenaslip_fleet::route_table::RequestKind;

use crate::forward::admission::AdmittedRequest;
use crate::forward::answer;
use crate::forward::event_memory::EventMemory;
use crate::forward::events::{Foreign, Sequence, Split};
use crate::forward::exchange::Response;
use crate::forward::failover::Failover;
use crate::http::body::{LAST_CHUNK, write_chunk};
use crate::http::{Connection, Decoder, Framing, ResponseHead, Step};
use crate::policy::pace::Gaps;
use crate::policy::placement::Ending;
use crate::policy::switching::Reason;

/// Limit on the bytes of an answer that are collected before a write.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Longest time that an upstream may take to send an event, as a multiple of the silence limit.
const EVENT_FACTOR: u32 = 2;

/// Tracks how much of an answer the caller has received.
#[derive(Debug, Default)]
pub struct Delivery {
    /// How the body is framed for the caller; `None` until an upstream has answered.
    framing: Option<Framing>,
    /// Whether the caller has received the head.
    has_started: bool,
    /// What the present upstream's body holds.
    content: Content,
    /// Splits a numbered stream into whole events.
    sequence: Sequence,
    /// Where any other stream of events stands.
    position: Position,
    /// What the present upstream has sent that does not continue the stream.
    pub foreign: Option<Foreign>,
    /// Whether the caller has received a part of the body.
    pub has_events: bool,
    /// When the first piece of the body that was passed on arrived.
    pub first_byte_at: Option<Instant>,
    /// When the last piece of the body arrived.
    last_piece_at: Option<Instant>,
    /// Longest pause between two pieces of the body.
    pub longest_pause: Duration,
    /// Whether a piece of the body has arrived from the present upstream.
    has_piece: bool,
    /// Gaps between the pieces of a stream from the present upstream.
    pub gaps: Gaps,
}

/// Describes what a body holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Content {
    /// Anything.
    #[default]
    Opaque,
    /// Events that need not be numbered, since the route does not ask for a stream.
    Events,
    /// Events with increasing numbers.
    NumberedEvents,
}

/// Holds what is under way from an upstream to the caller.
struct Transfer {
    decoder: Decoder,
    /// Head of the answer, if the caller has none yet.
    head: Option<Vec<u8>>,
    /// Framed pieces of the body that can be passed on.
    out: Vec<u8>,
    /// Whether a part of the body was decoded last.
    has_part: bool,
}

/// Tracks since when an upstream has sent nothing of a stream.
///
/// Bytes of an event that comes slowly end the silence for a while, and an event that is passed on
/// ends it. The framing between events does neither.
struct Silence {
    /// When a part of an event arrived.
    part_at: Instant,
    /// When an event was passed on.
    event_at: Instant,
}

impl Silence {
    fn begin() -> Self {
        let now = Instant::now();
        Self { part_at: now, event_at: now }
    }

    /// Returns when the silence has lasted too long.
    fn end(&self, limit: Duration) -> Instant {
        (self.part_at + limit).min(self.event_at + limit * EVENT_FACTOR)
    }
}

/// Describes how an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has received the whole answer.
    Complete,
    /// The upstream broke off.
    Broken,
    /// The upstream sent bytes that do not continue the stream.
    Foreign,
    /// The upstream sent nothing for too long.
    Unresponsive,
    /// The request leaves an upstream that is only slow to send the first event.
    Slow,
    /// The deadline passed.
    TimedOut,
    /// The caller has left.
    CallerGone,
}

impl Outcome {
    /// Returns what the upstream of an answer with this status has done.
    pub(super) fn ending(self, status: u16) -> Ending {
        match self {
            Self::Complete if status >= 500 => Ending::Failed,
            Self::Complete => Ending::Complete,
            Self::Broken | Self::Foreign | Self::Unresponsive => Ending::Failed,
            Self::Slow => Ending::Slow,
            Self::TimedOut | Self::CallerGone => Ending::Abandoned,
        }
    }

    /// Returns the name in the log of why a request leaves its upstream within an answer.
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Broken => "broke_off",
            Self::Foreign => "foreign_event",
            Self::Slow => "slow",
            _ => "went_silent",
        }
    }
}

impl Delivery {
    /// Creates the delivery of an answer whose events take a share of the memory for them.
    pub fn new(memory: EventMemory) -> Self {
        Self { sequence: Sequence::new(memory), ..Self::default() }
    }

    /// Returns whether the caller has received the head of an answer.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns the identity of the last event that the caller has received.
    pub fn last_event_id(&self) -> Option<u64> {
        self.sequence.last_id()
    }

    /// Returns whether the answer of another upstream can go on where the present one has ended.
    pub fn may_go_on(&self) -> bool {
        // What a doubtful event has skipped would be missing.
        let is_doubtful = self.foreign.is_some_and(|it| it.fault == Fault::SkippedId);
        !self.has_started || self.content == Content::NumberedEvents && !is_doubtful
    }

    /// Returns whether an answer with this head can go on with a stream that another upstream began.
    pub fn goes_on_with(&self, request: &AdmittedRequest<'_>, head: &ResponseHead) -> bool {
        head.status == 200 && content(request, head) == Content::NumberedEvents
    }

    /// Passes on an answer, or the rest of an answer that another upstream began.
    ///
    /// The caller must have received all of it by the deadline of its request.
    pub async fn deliver(
        &mut self,
        caller: &mut Connection,
        request: &AdmittedRequest<'_>,
        response: &mut Response,
        failover: Failover<impl FnMut(Reason, bool) -> bool>,
    ) -> Outcome {
        let outcome = self.pass_on(caller, request, response, failover).await;
        let ends_with_connection = self.framing == Some(Framing::UntilClose);
        if outcome == Outcome::Complete
            && ends_with_connection
            && caller.set_reset_on_close(false).is_err()
        {
            return Outcome::CallerGone;
        }
        outcome
    }

    async fn pass_on(
        &mut self,
        caller: &mut Connection,
        request: &AdmittedRequest<'_>,
        response: &mut Response,
        mut failover: Failover<impl FnMut(Reason, bool) -> bool>,
    ) -> Outcome {
        let deadline = request.deadline;
        let Ok(framing) = response.head.framing(&request.head.method) else {
            return Outcome::Broken;
        };
        let mut transfer = self.begin(request, &response.head, framing);
        if self.content != Content::NumberedEvents {
            (failover.slow_at, failover.silence_limit) = (None, None);
        }
        let mut silence = Silence::begin();
        loop {
            let is_stream = matches!(request.route.kind, RequestKind::Stream { .. });
            let decoded = self.decode_available(&mut transfer, &mut response.connection, is_stream);
            let decoded = decoded.and_then(|complete| {
                if complete && !self.is_whole(framing) {
                    Err(Outcome::Broken)
                } else {
                    Ok(complete)
                }
            });
            let complete = decoded == Ok(true);
            let has_event = !transfer.out.is_empty();
            if let Err(outcome) = self.send(caller, &mut transfer, complete, deadline).await {
                return outcome;
            }
            match decoded {
                Ok(true) => return Outcome::Complete,
                Ok(false) => {}
                Err(outcome) => return outcome,
            }
            if self.first_byte_at.is_some() {
                failover.slow_at = None;
            }
            // The caller may have taken its time to read, which is no silence of the upstream.
            if has_event {
                silence = Silence::begin();
            } else if transfer.has_part {
                silence.part_at = Instant::now();
            }
            let (connection, decoder) = (&mut response.connection, &transfer.decoder);
            let ends = (deadline, failover.silence_limit.map(|limit| silence.end(limit)));
            match wait_for_more(caller, connection, decoder, ends, &mut failover).await {
                None => {}
                Some(Outcome::Unresponsive)
                    if !(failover.may_switch)(Reason::Silent, self.has_events) =>
                {
                    silence = Silence::begin();
                }
                Some(Outcome::Complete) if !self.is_whole(framing) => return Outcome::Broken,
                Some(Outcome::Complete) => {
                    let sent = self.send(caller, &mut transfer, true, deadline).await;
                    return sent.err().unwrap_or(Outcome::Complete);
                }
                Some(outcome) => return outcome,
            }
        }
    }

    /// Prepares to pass on the body of an upstream's answer.
    fn begin(
        &mut self,
        request: &AdmittedRequest<'_>,
        head: &ResponseHead,
        framing: Framing,
    ) -> Transfer {
        self.has_piece = false;
        self.foreign = None;
        self.content = content(request, head);
        self.position = Position::default();
        self.sequence.begin_answer(events_of_caller(request));
        if !self.has_started {
            self.framing = Some(caller_framing(request, framing, self.content));
        }
        let framing_to_caller = self.framing.filter(|_| !self.has_started);
        let head =
            framing_to_caller.map(|it| answer::write_head(head, it, request.closes_connection));
        Transfer { decoder: Decoder::new(framing), head, out: Vec::new(), has_part: false }
    }

    /// Decodes all bytes that have arrived; returns whether the body is complete.
    fn decode_available(
        &mut self,
        transfer: &mut Transfer,
        connection: &mut Connection,
        is_stream: bool,
    ) -> Result<bool, Outcome> {
        let mut data = Vec::new();
        let decoded = loop {
            if data.len() >= MAX_BATCH_BYTES {
                break Ok(false);
            }
            match transfer.decoder.step(&mut connection.buffer) {
                Ok(Step::Data(piece)) => data.extend_from_slice(&piece),
                Ok(Step::NeedMore) => break Ok(false),
                Ok(Step::End) => break Ok(true),
                Err(_) => break Err(Outcome::Broken),
            }
        };
        transfer.has_part = !data.is_empty();
        self.append(&data, is_stream, &mut transfer.out)?;
        decoded
    }

    /// Appends what can be passed on of a body; fails if the rest does not continue the stream.
    fn append(&mut self, data: &[u8], is_stream: bool, out: &mut Vec<u8>) -> Result<(), Outcome> {
        if self.content != Content::NumberedEvents {
            self.position.advance(data);
            self.append_framed(data, is_stream, out);
            return Ok(());
        }
        let Split { sound, foreign } = self.sequence.push(data);
        self.append_framed(&sound, is_stream, out);
        self.foreign = foreign;
        if foreign.is_some() { Err(Outcome::Foreign) } else { Ok(()) }
    }

    fn append_framed(&mut self, bytes: &[u8], is_stream: bool, out: &mut Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        let now = Instant::now();
        self.first_byte_at.get_or_insert(now);
        if let Some(last) = self.last_piece_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
            // The pieces of other answers follow the network, and the first piece from another
            // upstream follows its queue and prefill.
            if self.has_piece && is_stream {
                self.gaps.record(now - last);
            }
        }
        self.has_piece = true;
        self.has_events = true;
        match self.framing {
            Some(Framing::Chunked) => write_chunk(bytes, out),
            _ => out.extend_from_slice(bytes),
        }
    }

    /// Returns whether an upstream's body that has ended here is whole.
    fn is_whole(&self, framing: Framing) -> bool {
        let ends_with_connection = framing == Framing::UntilClose;
        match self.content {
            Content::Opaque => true,
            Content::Events => self.position.is_whole(ends_with_connection),
            Content::NumberedEvents => self.sequence.is_whole(ends_with_connection),
        }
    }

    /// Sends what can be passed on to the caller, and the end of the body if it is complete.
    ///
    /// The head of a numbered stream waits for its first piece: until then another upstream can
    /// still give the whole answer.
    async fn send(
        &mut self,
        caller: &mut Connection,
        transfer: &mut Transfer,
        is_complete: bool,
        deadline: Instant,
    ) -> Result<(), Outcome> {
        let Transfer { head, out, .. } = transfer;
        if is_complete && self.framing == Some(Framing::Chunked) {
            out.extend_from_slice(LAST_CHUNK);
        }
        let needs_head = is_complete || !out.is_empty() || self.content != Content::NumberedEvents;
        if let Some(head) = head.take_if(|_| needs_head) {
            out.splice(0..0, head);
            self.has_started = true;
            // The caller would take an orderly end of its connection for the end of the body.
            let ends_with_connection = self.framing == Some(Framing::UntilClose);
            if ends_with_connection && caller.set_reset_on_close(true).is_err() {
                return Err(Outcome::CallerGone);
            }
        }
        if out.is_empty() {
            return Ok(());
        }
        match tokio::time::timeout_at(deadline, caller.send(out)).await {
            Ok(Ok(())) => {
                out.clear();
                Ok(())
            }
            Ok(Err(_)) => Err(Outcome::CallerGone),
            Err(_) => Err(Outcome::TimedOut),
        }
    }
}

/// Waits for more of the body, up to the deadline of the request and the end of the upstream's
/// silence; returns how the answer ended, if it did.
async fn wait_for_more(
    caller: &mut Connection,
    connection: &mut Connection,
    decoder: &Decoder,
    (deadline, silent_until): (Instant, Option<Instant>),
    failover: &mut Failover<impl FnMut(Reason, bool) -> bool>,
) -> Option<Outcome> {
    let silent_until = silent_until.unwrap_or(deadline);
    let end = deadline.min(silent_until);
    loop {
        let next_check = failover.next_check(end);
        return tokio::select! {
            filled = connection.fill() => filled_outcome(&filled, decoder),
            () = caller.closed_by_peer() => Some(Outcome::CallerGone),
            () = tokio::time::sleep_until(next_check), if next_check < end => {
                if !failover.leaves_slow_upstream() {
                    continue;
                }
                Some(Outcome::Slow)
            }
            () = tokio::time::sleep_until(end) => {
                if silent_until >= deadline {
                    return Some(Outcome::TimedOut);
                }
                // Bytes that wait to be read are no silence, however late this task runs.
                match tokio::time::timeout(Duration::ZERO, connection.fill()).await {
                    Ok(filled) => filled_outcome(&filled, decoder),
                    Err(_) => Some(Outcome::Unresponsive),
                }
            }
        };
    }
}

/// Returns how an answer ended with a read from its connection, if it did.
fn filled_outcome(filled: &io::Result<usize>, decoder: &Decoder) -> Option<Outcome> {
    match filled {
        Ok(count) if *count > 0 => None,
        // An answer without a length is complete when its connection is closed cleanly.
        Ok(_) if decoder.may_end_with_connection() => Some(Outcome::Complete),
        Ok(_) | Err(_) => Some(Outcome::Broken),
    }
}

/// Returns what the body of an answer holds.
///
/// On a route that asks for streams it holds events, unless its content type says that it is no
/// text.
fn content(request: &AdmittedRequest<'_>, head: &ResponseHead) -> Content {
    let is_stream_route = matches!(request.route.kind, RequestKind::Stream { .. });
    let mut content_types = head.all("content-type").map(|field| &field.value[..]).peekable();
    let is_event_stream = match content_types.peek() {
        None => is_stream_route,
        Some(_) if is_stream_route => content_types.any(may_be_event_stream),
        Some(_) => content_types.any(event_stream::is_content_type),
    };
    match ((200..300).contains(&head.status) && is_event_stream, is_stream_route) {
        (false, _) => Content::Opaque,
        (true, false) => Content::Events,
        (true, true) => Content::NumberedEvents,
    }
}

/// Returns whether a body with this content type may be a stream of events where one is due.
fn may_be_event_stream(content_type: &[u8]) -> bool {
    let text = content_type.trim_ascii_start();
    text.is_empty() || text.get(..5).is_some_and(|it| it.eq_ignore_ascii_case(b"text/"))
}

/// Returns the number of the last event that the caller has from an earlier answer.
fn events_of_caller(request: &AdmittedRequest<'_>) -> Option<u64> {
    let last_event_id = request.info.last_event_id.filter(|id| *id > 0);
    last_event_id.filter(|_| request.is_resumable())
}

/// Returns how a body is framed for the caller.
///
/// A body that ends with the upstream's connection is sent in chunks. Otherwise the caller would
/// take the end of its own connection for the end of the body even if the upstream broke off. So is
/// a stream of events, which may have been broken off although it has its length.
fn caller_framing(request: &AdmittedRequest<'_>, framing: Framing, content: Content) -> Framing {
    match framing {
        Framing::Empty => Framing::Empty,
        Framing::Length(length) if content == Content::Opaque => Framing::Length(length),
        _ if request.head.minor_version == 0 => Framing::UntilClose,
        _ => Framing::Chunked,
    }
}
