//! Passes an answer on to its caller as it arrives.

use std::time::Duration;

use tokio::time::Instant;
use verbenaslip_base::event_stream;
use verbenaslip_fleet::route_table::RequestKind;

use crate::forward::admission::AdmittedRequest;
use crate::forward::answer;
use crate::forward::events::{Foreign, Sequence, Splitter};
use crate::forward::exchange::Response;
use crate::forward::failover::Failover;
use crate::http::body::{LAST_CHUNK, write_chunk};
use crate::http::{Connection, Decoder, Framing, ResponseHead, Step};
use crate::policy::pace::Gaps;
use crate::policy::placement::Ending;
use crate::policy::switching::Reason;

/// Limit on the bytes of an answer that are collected before a write.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Tracks how much of an answer the caller has received.
#[derive(Debug, Default)]
pub struct Delivery {
    /// How the body is framed for the caller; `None` until the head is written.
    framing: Option<Framing>,
    /// Splits a resumable stream into whole events, and tracks where any other stands.
    splitter: Splitter,
    /// Whether the present upstream's body is a stream of events.
    is_event_stream: bool,
    /// Follows the numbers of the events.
    sequence: Sequence,
    /// First bytes of the present upstream that do not continue the stream.
    pub foreign: Option<Foreign>,
    /// Whether the caller has received a part of the body.
    pub has_events: bool,
    /// When the first byte of the body arrived.
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

/// Describes how an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has received the whole answer.
    Complete,
    /// The upstream broke off.
    Broken,
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
            Self::Broken | Self::Unresponsive => Ending::Failed,
            Self::Slow => Ending::Slow,
            Self::TimedOut | Self::CallerGone => Ending::Abandoned,
        }
    }

    /// Returns the name in the log of why a request leaves its upstream within an answer.
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Broken => "broke_off",
            Self::Slow => "slow",
            _ => "went_silent",
        }
    }
}

impl Delivery {
    /// Returns whether the caller has received the head of an answer.
    pub fn has_started(&self) -> bool {
        self.framing.is_some()
    }

    /// Returns the identity of the last event that the caller has received.
    pub fn last_event_id(&self) -> Option<u64> {
        self.splitter.last_id
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
        self.has_piece = false;
        let Ok(framing) = response.head.framing(&request.head.method) else {
            return Outcome::Broken;
        };
        self.is_event_stream = is_event_stream(request, &response.head, framing);
        self.sequence.begin_answer(events_of_caller(request));
        self.foreign = None;
        let mut out = Vec::new();
        if self.framing.is_none() {
            let framing_to_caller = caller_framing(request, framing, self.is_event_stream);
            out = answer::write_head(&response.head, framing_to_caller, request.closes_connection);
            self.framing = Some(framing_to_caller);
            // The caller would take an orderly end of its connection for the end of the body.
            if framing_to_caller == Framing::UntilClose && caller.set_reset_on_close(true).is_err()
            {
                return Outcome::CallerGone;
            }
        }
        let mut decoder = Decoder::new(framing);
        loop {
            let complete = match self.decode_available(
                &mut decoder,
                &mut response.connection,
                request,
                &mut out,
            ) {
                Ok(complete) => complete,
                Err(()) => {
                    return self.flush_partial(caller, &out, deadline, Outcome::Broken).await;
                }
            };
            if complete && !self.is_whole(framing) {
                return self.flush_partial(caller, &out, deadline, Outcome::Broken).await;
            }
            if complete {
                self.finish_body(request, &mut out);
            }
            if !out.is_empty() {
                let sent = tokio::time::timeout_at(deadline, caller.send(&out)).await;
                match sent {
                    Ok(Ok(())) => out.clear(),
                    Ok(Err(_)) => return Outcome::CallerGone,
                    Err(_) => return Outcome::TimedOut,
                }
            }
            if complete {
                return Outcome::Complete;
            }
            if self.first_byte_at.is_some() {
                failover.slow_at = None;
            }
            if let Some(outcome) =
                wait_for_more(caller, &mut response.connection, &decoder, deadline, &mut failover)
                    .await
            {
                if outcome == Outcome::Unresponsive
                    && !(failover.may_switch)(Reason::Silent, self.has_events)
                {
                    continue;
                }
                if outcome == Outcome::Complete && !self.is_whole(framing) {
                    self.splitter.discard_partial();
                    return Outcome::Broken;
                }
                if outcome == Outcome::Complete {
                    self.finish_body(request, &mut out);
                    let sent = tokio::time::timeout_at(deadline, caller.send(&out)).await;
                    let caller_gone = !matches!(sent, Ok(Ok(())));
                    return if caller_gone { Outcome::CallerGone } else { Outcome::Complete };
                }
                self.splitter.discard_partial();
                return outcome;
            }
        }
    }

    /// Decodes all bytes that have arrived; returns whether the body is complete.
    fn decode_available(
        &mut self,
        decoder: &mut Decoder,
        connection: &mut Connection,
        request: &AdmittedRequest<'_>,
        out: &mut Vec<u8>,
    ) -> Result<bool, ()> {
        let mut data = Vec::new();
        while data.len() < MAX_BATCH_BYTES {
            match decoder.step(&mut connection.buffer) {
                Ok(Step::Data(piece)) => data.extend_from_slice(&piece),
                Ok(Step::NeedMore) => break,
                Ok(Step::End) => {
                    self.append(request, &data, out);
                    return Ok(true);
                }
                Err(_) => {
                    self.append(request, &data, out);
                    return Err(());
                }
            }
        }
        self.append(request, &data, out);
        Ok(false)
    }

    fn append(&mut self, request: &AdmittedRequest<'_>, data: &[u8], out: &mut Vec<u8>) {
        if data.is_empty() {
            return;
        }
        let now = Instant::now();
        self.first_byte_at.get_or_insert(now);
        if let Some(last) = self.last_piece_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
            // The pieces of other answers follow the network, and the first piece from another
            // upstream follows its queue and prefill.
            if self.has_piece && matches!(request.route.kind, RequestKind::Stream { .. }) {
                self.gaps.record(now - last);
            }
        }
        self.has_piece = true;
        if self.is_event_stream && self.foreign.is_none() {
            self.foreign = self.sequence.push(data).foreign;
        }
        if request.is_resumable() {
            let complete = self.splitter.push(data);
            self.append_framed(&complete, out);
        } else {
            if self.is_event_stream {
                self.splitter.skip(data);
            }
            self.append_framed(data, out);
        }
    }

    /// Returns whether an upstream's body that has ended here is whole.
    fn is_whole(&self, framing: Framing) -> bool {
        let ends_with_connection = framing == Framing::UntilClose;
        !self.is_event_stream || self.splitter.position().is_whole(ends_with_connection)
    }

    fn append_framed(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        self.has_events |= !bytes.is_empty();
        match self.framing {
            _ if bytes.is_empty() => {}
            Some(Framing::Chunked) => write_chunk(bytes, out),
            _ => out.extend_from_slice(bytes),
        }
    }

    fn finish_body(&mut self, request: &AdmittedRequest<'_>, out: &mut Vec<u8>) {
        if request.is_resumable() {
            let rest = self.splitter.take_rest();
            self.append_framed(&rest, out);
        }
        if self.framing == Some(Framing::Chunked) {
            out.extend_from_slice(LAST_CHUNK);
        }
    }

    /// Passes on what was decoded before the body became malformed.
    async fn flush_partial(
        &mut self,
        caller: &mut Connection,
        out: &[u8],
        deadline: Instant,
        outcome: Outcome,
    ) -> Outcome {
        self.splitter.discard_partial();
        match tokio::time::timeout_at(deadline, caller.send(out)).await {
            Ok(Ok(())) => outcome,
            Ok(Err(_)) => Outcome::CallerGone,
            Err(_) => Outcome::TimedOut,
        }
    }
}

/// Waits for more of the body; returns how the answer ended, if it did.
async fn wait_for_more(
    caller: &mut Connection,
    connection: &mut Connection,
    decoder: &Decoder,
    deadline: Instant,
    failover: &mut Failover<impl FnMut(Reason, bool) -> bool>,
) -> Option<Outcome> {
    let silent_until =
        failover.silence_limit.map_or(deadline, |silence_limit| Instant::now() + silence_limit);
    let end = deadline.min(silent_until);
    loop {
        let next_check = failover.next_check(end);
        return tokio::select! {
            filled = connection.fill() => match filled {
                Ok(count) if count > 0 => None,
                // An answer without a length is complete when its connection is closed cleanly.
                Ok(_) if decoder.may_end_with_connection() => Some(Outcome::Complete),
                Ok(_) | Err(_) => Some(Outcome::Broken),
            },
            () = caller.closed_by_peer() => Some(Outcome::CallerGone),
            () = tokio::time::sleep_until(next_check), if next_check < end => {
                if !failover.leaves_slow_upstream() {
                    continue;
                }
                Some(Outcome::Slow)
            }
            () = tokio::time::sleep_until(end) => {
                Some(if silent_until < deadline { Outcome::Unresponsive } else { Outcome::TimedOut })
            }
        };
    }
}

/// Returns whether an answer is a stream of events; one without a content type is, if its route
/// asks for streams and nothing else tells where it ends.
fn is_event_stream(request: &AdmittedRequest<'_>, head: &ResponseHead, framing: Framing) -> bool {
    let is_success = (200..300).contains(&head.status);
    let mut content_types = head.all("content-type").peekable();
    if content_types.peek().is_none() {
        let is_stream_route = matches!(request.route.kind, RequestKind::Stream { .. });
        return is_success && is_stream_route && framing == Framing::UntilClose;
    }
    is_success && content_types.any(|field| event_stream::is_content_type(&field.value))
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
fn caller_framing(
    request: &AdmittedRequest<'_>,
    framing: Framing,
    is_event_stream: bool,
) -> Framing {
    match framing {
        Framing::Empty => Framing::Empty,
        Framing::Length(length) if !request.is_resumable() && !is_event_stream => {
            Framing::Length(length)
        }
        _ if request.head.minor_version == 0 => Framing::UntilClose,
        _ => Framing::Chunked,
    }
}
