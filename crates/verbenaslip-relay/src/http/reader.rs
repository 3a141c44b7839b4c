//! Reads whole requests.

use std::future::Future;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::time::Instant;
use verbenaslip_fleet::route_table::RequestLimits;

use crate::http::{Connection, Decoder, MessageError, RequestHead, Step, head};

/// How long an idle connection of a caller is kept beyond the time that callers know of, so that a
/// request sent in time does not meet its closing.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// Holds a whole request as it came.
#[derive(Debug)]
pub struct Message {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When it was whole.
    pub received_at: Instant,
}

/// Waits for the first byte of a request; false when the caller closes or stays idle.
pub async fn wait_for_first_byte(caller: &mut Connection, limits: &RequestLimits) -> bool {
    let filled = with_timeout(limits.idle_timeout + IDLE_GRACE, caller.fill()).await;
    matches!(filled, Some(Ok(count)) if count > 0)
}

/// Reads one request; none when the caller closes or stays idle.
///
/// # Errors
///
/// Says what is wrong with the request; the connection can't be used any further.
pub async fn read_request(
    caller: &mut Connection,
    limits: &RequestLimits,
) -> Result<Option<Message>, MessageError> {
    if caller.buffer.is_empty() && !wait_for_first_byte(caller, limits).await {
        return Ok(None);
    }
    let started = Instant::now();
    let Some(end) = read_head_length(caller, limits, started).await? else { return Ok(None) };
    let head = RequestHead::parse(&caller.buffer[..end])?;
    caller.buffer.advance(end);
    let mut decoder = Decoder::new(head.framing()?);
    if head::has_list_item(&head.fields, "expect", "100-continue") {
        // If the caller is gone the next read tells.
        let _ = caller.send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    let mut body = BytesMut::new();
    loop {
        match decoder.step(&mut caller.buffer)? {
            Step::Data(piece) if body.len() + piece.len() > limits.max_body_bytes => {
                return Err(MessageError::BodyTooLarge);
            }
            Step::Data(piece) => body.extend_from_slice(&piece),
            Step::End => break,
            Step::NeedMore => match with_timeout(limits.idle_timeout, caller.fill()).await {
                Some(Ok(count)) if count > 0 => {}
                Some(_) => return Ok(None),
                None => return Err(MessageError::Timeout),
            },
        }
    }
    Ok(Some(Message { head, body: body.freeze(), received_at: Instant::now() }))
}

/// Waits for a whole head and returns its length; none when the caller closes.
async fn read_head_length(
    caller: &mut Connection,
    limits: &RequestLimits,
    started: Instant,
) -> Result<Option<usize>, MessageError> {
    loop {
        // An empty line before a request is allowed and means nothing.
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

/// Tells whether a line of a head ends without a carriage return, which would never end the head.
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

/// Waits for an outcome up to a time.
pub(crate) async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(limit, future).await.ok()
}
