//! Reads complete requests.

use std::future::Future;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::time::Instant;
use verbenaslip_fleet::route_table::RequestLimits;

use crate::http::{Connection, Decoder, Framing, MessageError, RequestHead, Step, head};

/// Extra time that a caller's idle connection stays open beyond the timeout that callers know of,
/// so that a request sent in time does not meet a closed connection.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// Holds a complete request as received.
#[derive(Debug)]
pub struct Message {
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// When the request was complete.
    pub received_at: Instant,
}

/// Holds the head of a request whose body has not been read yet.
#[derive(Debug)]
pub struct UnreadMessage {
    /// Head of the request.
    pub head: RequestHead,
    framing: Framing,
}

/// Waits for the first byte of a request; returns false if the caller closes or stays idle.
pub async fn wait_for_first_byte(caller: &mut Connection, limits: &RequestLimits) -> bool {
    let filled = with_timeout(limits.idle_timeout + IDLE_GRACE, caller.fill()).await;
    matches!(filled, Some(Ok(count)) if count > 0)
}

/// Reads one request; returns `None` if the caller closes or stays idle.
///
/// # Errors
///
/// Fails if the request is malformed, too large or too slow; the connection cannot be used
/// afterwards.
pub async fn read_request(
    caller: &mut Connection,
    limits: &RequestLimits,
) -> Result<Option<Message>, MessageError> {
    match read_head(caller, limits).await? {
        Some(unread) => {
            let body = unread.read_body(caller, limits, None, |_| Ok(())).await?;
            Ok(body.map(|body| unread.into_message(body)))
        }
        None => Ok(None),
    }
}

/// Reads the head of a request; returns `None` if the caller closes or stays idle.
///
/// # Errors
///
/// Fails if the head is malformed, too large or too slow; the connection cannot be used afterwards.
pub async fn read_head(
    caller: &mut Connection,
    limits: &RequestLimits,
) -> Result<Option<UnreadMessage>, MessageError> {
    if caller.buffer.is_empty() && !wait_for_first_byte(caller, limits).await {
        return Ok(None);
    }
    let started = Instant::now();
    let Some(end) = read_head_length(caller, limits, started).await? else { return Ok(None) };
    let head = RequestHead::parse(&caller.buffer[..end])?;
    caller.buffer.advance(end);
    let framing = head.framing()?;
    Ok(Some(UnreadMessage { head, framing }))
}

impl UnreadMessage {
    /// Returns the length of the body if the head states it.
    pub fn body_length(&self) -> Option<usize> {
        match self.framing {
            Framing::Empty => Some(0),
            Framing::Length(length) => Some(usize::try_from(length).unwrap_or(usize::MAX)),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Puts the request together once its body has been read.
    pub fn into_message(self, body: Bytes) -> Message {
        Message { head: self.head, body, received_at: Instant::now() }
    }

    /// Reads the body until `deadline`; returns `None` if the caller closes.
    ///
    /// `reserve` is called with the number of bytes that are to be held from now on, before they are
    /// read.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, too large or too slow, or `reserve` fails; the connection
    /// cannot be used afterwards.
    pub async fn read_body(
        &self,
        caller: &mut Connection,
        limits: &RequestLimits,
        deadline: Option<Instant>,
        mut reserve: impl FnMut(usize) -> Result<(), MessageError>,
    ) -> Result<Option<Bytes>, MessageError> {
        let mut body = BytesMut::new();
        if let Some(length) = self.body_length() {
            if length > limits.max_body_bytes {
                return Err(MessageError::BodyTooLarge);
            }
            reserve(length)?;
            body.reserve(length);
        }
        if head::has_list_item(&self.head.fields, "expect", "100-continue") {
            // If the caller is gone, the next read reports that.
            let _ = caller.send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let mut decoder = Decoder::new(self.framing);
        loop {
            match decoder.step(&mut caller.buffer)? {
                Step::Data(piece) if body.len() + piece.len() > limits.max_body_bytes => {
                    return Err(MessageError::BodyTooLarge);
                }
                Step::Data(piece) => {
                    reserve(body.len() + piece.len())?;
                    body.extend_from_slice(&piece);
                }
                Step::End => break,
                Step::NeedMore => {
                    let left = deadline.map(|it| it.saturating_duration_since(Instant::now()));
                    let limit = limits.idle_timeout.min(left.unwrap_or(Duration::MAX));
                    match with_timeout(limit, caller.fill()).await {
                        Some(Ok(count)) if count > 0 => {}
                        Some(_) => return Ok(None),
                        None => return Err(MessageError::Timeout),
                    }
                }
            }
        }
        Ok(Some(body.freeze()))
    }
}

/// Waits for a complete head and returns its length; returns `None` if the caller closes.
async fn read_head_length(
    caller: &mut Connection,
    limits: &RequestLimits,
    started: Instant,
) -> Result<Option<usize>, MessageError> {
    loop {
        // An empty line before a request is allowed and ignored.
        while caller.buffer.starts_with(b"\r\n") {
            caller.buffer.advance(2);
        }
        if let Some(end) = caller.head_length() {
            return if end > limits.max_head_bytes {
                Err(MessageError::HeadTooLong)
            } else {
                Ok(Some(end))
            };
        }
        if caller.buffer.len() > limits.max_head_bytes {
            return Err(MessageError::HeadTooLong);
        }
        if has_bare_line_feed(&caller.buffer) {
            return Err(MessageError::ControlCharacter);
        }
        let remaining = limits.head_timeout.saturating_sub(started.elapsed());
        match with_timeout(remaining, caller.fill()).await {
            Some(Ok(count)) if count > 0 => {}
            Some(_) => return Ok(None),
            None => return Err(MessageError::Timeout),
        }
    }
}

/// Returns whether a line ends without a carriage return; such a head would never end.
fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let mut previous = b'\r';
    for byte in bytes {
        if *byte == b'\n' && previous != b'\r' {
            return true;
        }
        previous = *byte;
    }
    false
}

/// Waits for a future up to a time limit; returns `None` after that.
pub(crate) async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}
