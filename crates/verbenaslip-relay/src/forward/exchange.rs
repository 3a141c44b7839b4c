//! Sends a request to one upstream and reads the head of the answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Buf;
use tokio::time::Instant;
use verbenaslip_fleet::registry::Run;

use crate::dialect::{Correlation, ResponseInfo};
use crate::forward::admission::AdmittedRequest;
use crate::forward::context::Context;
use crate::forward::dial;
use crate::forward::failover::Failover;
use crate::forward::pool::{self, Purpose};
use crate::forward::upstream_request::UpstreamRequest;
use crate::http::connection::Progress;
use crate::http::{Connection, Decoder, Framing, ResponseHead, Step};
use crate::monotonic;
use crate::policy::placement::Choice;
use crate::policy::switching::Reason;
use crate::tunnel::Prefix;

/// Silence on a direct connection after which the path is probed; as long as the shortest silence
/// after which a request may leave its upstream.
const SUSPICION_TIME: Duration = Duration::from_millis(400);

/// Limit on the bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Limit on the interim answers (status 1xx) before an answer.
const MAX_INTERIM_ANSWERS: u32 = 64;

/// Limit on the bytes of all interim answers before an answer.
const MAX_INTERIM_BYTES: usize = 64 << 10;

/// Limit on the answers to other requests that are skipped before an answer.
const MAX_LATE_ANSWERS: u32 = 16;

/// Limit on the bytes of all answers to other requests that are skipped before an answer, with
/// their framing.
const MAX_LATE_BYTES: usize = 256 << 10;

/// Holds a connection on which the head of an answer has arrived.
pub struct Response {
    /// Connection from which the body can be read.
    pub connection: Connection,
    /// Head of the answer.
    pub head: ResponseHead,
    /// What the header fields say beyond HTTP.
    pub info: ResponseInfo,
    /// Whether the connection may be used again after the body.
    pub reusable: bool,
    /// When the connection was open and the request could be sent.
    pub connected_at: Instant,
}

/// Describes a request that is sent to an upstream.
pub struct Outgoing<'a> {
    /// Where the request goes.
    pub choice: &'a Choice,
    /// The request as the upstream gets it.
    pub request: &'a UpstreamRequest<'a>,
    /// Gateway through which the request has been sent; `None` for a direct connection.
    pub gateway: Option<SocketAddr>,
}

/// Holds the bytes of a request on one connection.
struct Unsent<'a> {
    head: &'a [u8],
    body: &'a [u8],
}

impl<'a> Unsent<'a> {
    fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns what can be written next after so many bytes; empty at the end.
    fn after(&self, written: usize) -> &'a [u8] {
        let rest_of_body = || self.body.get(written - self.head.len()..).unwrap_or_default();
        self.head.get(written..).filter(|rest| !rest.is_empty()).unwrap_or_else(rest_of_body)
    }
}

/// Counts what has arrived before the answer to the present request.
#[derive(Default)]
struct Skipped {
    interim_answers: u32,
    interim_bytes: usize,
    late_answers: u32,
    late_bytes: usize,
}

impl Skipped {
    /// Counts an answer if it is an interim one, and returns whether it is.
    fn count_interim(&mut self, head: &ResponseHead, bytes: usize) -> Result<bool, Failure> {
        if head.status >= 200 {
            return Ok(false);
        }
        self.interim_answers += 1;
        self.interim_bytes += bytes;
        let fits =
            self.interim_answers <= MAX_INTERIM_ANSWERS && self.interim_bytes <= MAX_INTERIM_BYTES;
        if fits { Ok(true) } else { Err(Failure::Broken) }
    }

    /// Counts an answer to another request, and returns the decoder of its body.
    fn count_late(
        &mut self,
        head: &ResponseHead,
        method: &str,
        bytes: usize,
    ) -> Result<Decoder, Failure> {
        self.late_answers += 1;
        self.count_late_bytes(bytes)?;
        if self.late_answers > MAX_LATE_ANSWERS {
            return Err(Failure::Broken);
        }
        match head.framing(method) {
            // Whatever follows belongs to that answer.
            Ok(Framing::UntilClose) | Err(_) => Err(Failure::Broken),
            Ok(framing) => Ok(Decoder::new(framing)),
        }
    }

    fn count_late_bytes(&mut self, bytes: usize) -> Result<(), Failure> {
        self.late_bytes += bytes;
        if self.late_bytes <= MAX_LATE_BYTES { Ok(()) } else { Err(Failure::Broken) }
    }
}

/// Describes why an upstream gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent; the request has not run.
    Unreachable,
    /// The connection broke or the answer was malformed; the request may have run.
    Broken,
    /// An answer that names no request came; the request may have run.
    Unidentified,
    /// Nothing arrived in time; the request may have run.
    Unresponsive,
    /// The request leaves an upstream that is only slow; it may have run.
    Slow,
    /// The caller has left.
    CallerGone,
}

/// Sends a request and waits for the head of the answer.
///
/// The request leaves an unresponsive upstream only if another one can take it. Otherwise its
/// caller would lose an answer that was only slow.
pub async fn send(
    context: &Context,
    caller: &mut Connection,
    request: &AdmittedRequest<'_>,
    outgoing: &mut Outgoing<'_>,
    mut failover: Failover<impl FnMut(Reason, bool) -> bool>,
) -> Result<Response, Failure> {
    let deadline_after = |silence_limit: Option<Duration>| {
        silence_limit.map_or(request.deadline, |silence_limit| {
            request.deadline.min(Instant::now() + silence_limit)
        })
    };
    let mut deadline = deadline_after(failover.silence_limit);
    let choice = outgoing.choice;
    let (mut connection, reused) = connect(context, request, choice, deadline).await?;
    let connected_at = Instant::now();
    outgoing.gateway = connection.gateway();
    let is_direct = outgoing.gateway.is_none();
    let UpstreamRequest { head, body } = outgoing.request;
    let wrapped = (!is_direct).then(|| Prefix::wrap(&request.info.id, head, body.len()));
    let out = Unsent { head: wrapped.as_deref().unwrap_or(head), body };
    let mut suspect_at = is_direct.then(|| Instant::now() + SUSPICION_TIME);
    let (mut written, mut skipped) = (0, Skipped::default());
    loop {
        while let Some(end) = connection.head_length() {
            let head = take_head(context, &choice.run, &mut connection, end)?;
            if skipped.count_interim(&head, end)? {
                continue;
            }
            let info = context.dialect.response_info(&head, &request.info.id);
            if is_direct {
                context.record_heard(&choice.run);
            }
            match info.correlation {
                Correlation::Matching => {
                    let in_sync = skipped.late_answers == 0;
                    let reusable = in_sync && written == out.len() && !head.closes_connection();
                    return Ok(Response { connection, head, info, reusable, connected_at });
                }
                // This is a late answer to an earlier request on the connection. Passing it on
                // would give the caller what another caller asked for.
                Correlation::Other => {
                    record_stray(context, &choice.run);
                    let decoder = skipped.count_late(&head, &request.head.method, end)?;
                    skip_body(&mut connection, caller, decoder, deadline, &mut skipped).await?;
                }
                // Bytes that belong to no request need not be a whole answer, so nothing tells
                // where the next one begins.
                Correlation::Missing => {
                    record_stray(context, &choice.run);
                    return Err(Failure::Unidentified);
                }
            }
        }
        if connection.buffer.len() > MAX_HEAD_BYTES {
            return Err(Failure::Broken);
        }
        let next_check = failover.next_check(deadline);
        tokio::select! {
            progress = connection.write_or_read(out.after(written)) => {
                written += count_written(context, &choice.run, progress.ok(), (written, reused))?;
            }
            () = caller.closed_by_peer() => return Err(Failure::CallerGone),
            () = tokio::time::sleep_until(suspect_at.unwrap_or(deadline)), if suspect_at.is_some() => {
                suspect_at = None;
                context.record_silence(&choice.run, SUSPICION_TIME);
            }
            () = context.connections_hang.notified(), if is_direct && failover.silence_limit.is_some() => {
                if context.may_hang(&choice.run) && (failover.may_switch)(Reason::Silent, false) {
                    return Err(Failure::Unresponsive);
                }
            }
            () = tokio::time::sleep_until(next_check), if next_check < deadline => {
                if failover.leaves_slow_upstream() {
                    return Err(Failure::Slow);
                }
            }
            () = tokio::time::sleep_until(deadline) => {
                if deadline == request.deadline || (failover.may_switch)(Reason::Silent, false) {
                    return Err(Failure::Unresponsive);
                }
                deadline = deadline_after(failover.silence_limit);
            }
        }
    }
}

async fn connect(
    context: &Context,
    request: &AdmittedRequest<'_>,
    choice: &Choice,
    deadline: Instant,
) -> Result<(Connection, bool), Failure> {
    let purpose = Purpose { id: &request.info.id, run_once: !request.route.kind.may_repeat() };
    let is_trusted = |connection: &Connection| context.trusts_connection(&choice.run, connection);
    let reused = context.pool.borrow_mut().take(monotonic::now(), &choice.run, purpose, is_trusted);
    if let Some(connection) = reused {
        return Ok((connection, true));
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    let connected = dial::connect(context, &choice.run, choice.address, remaining).await;
    metrics::counter!("verbenaslip_upstream_connections_total").increment(1);
    connected.map(|connection| (connection, false)).map_err(|_| Failure::Unreachable)
}

/// Returns how many bytes of a request have been written in addition to the `written` ones; without
/// progress, the connection has failed.
fn count_written(
    context: &Context,
    run: &Run,
    progress: Option<Progress>,
    (written, reused): (usize, bool),
) -> Result<usize, Failure> {
    match progress {
        Some(Progress::Wrote(count)) => Ok(count),
        Some(Progress::Read(1..)) if written > 0 => Ok(0),
        // Nothing of the request has been sent to which the bytes could be an answer.
        Some(Progress::Read(1..)) => {
            record_stray(context, run);
            Err(Failure::Unreachable)
        }
        Some(Progress::Read(0)) | None if written == 0 && reused => Err(Failure::Unreachable),
        Some(Progress::Read(0)) | None => Err(Failure::Broken),
    }
}

/// Takes a head of so many bytes from the start of what has arrived.
fn take_head(
    context: &Context,
    run: &Run,
    connection: &mut Connection,
    length: usize,
) -> Result<ResponseHead, Failure> {
    let head = ResponseHead::parse(&connection.buffer[..length]);
    connection.buffer.advance(length);
    head.map_err(|_| {
        record_stray(context, run);
        Failure::Broken
    })
}

/// Records that an upstream has sent bytes that belong to no request.
fn record_stray(context: &Context, run: &Run) {
    context.pool.borrow_mut().record_stray(monotonic::now(), run);
}

/// Skips the body of an answer that belongs to another request.
async fn skip_body(
    connection: &mut Connection,
    caller: &mut Connection,
    mut decoder: Decoder,
    deadline: Instant,
    skipped: &mut Skipped,
) -> Result<(), Failure> {
    loop {
        let available = connection.buffer.len();
        let step = decoder.step(&mut connection.buffer).map_err(|_| Failure::Broken)?;
        skipped.count_late_bytes(available - connection.buffer.len())?;
        match step {
            Step::End => return Ok(()),
            Step::Data(_) => {}
            Step::NeedMore => tokio::select! {
                filled = connection.fill() => match filled {
                    Ok(count) if count > 0 => {}
                    Ok(_) | Err(_) => return Err(Failure::Broken),
                },
                () = caller.closed_by_peer() => return Err(Failure::CallerGone),
                () = tokio::time::sleep_until(deadline) => return Err(Failure::Unresponsive),
            },
        }
    }
}

/// Keeps a connection whose answer was not passed on, if its body is short and complete.
pub async fn drain_and_keep(
    context: &Context,
    request: &AdmittedRequest<'_>,
    choice: &Choice,
    mut response: Response,
) {
    let Ok(framing) = response.head.framing(&request.head.method) else { return };
    let mut decoder = Decoder::new(framing);
    for _ in 0..2 {
        loop {
            match decoder.step(&mut response.connection.buffer) {
                Ok(Step::Data(_)) => {}
                Ok(Step::End) => return keep_connection(context, request, choice, response),
                Ok(Step::NeedMore) => break,
                Err(_) => return,
            }
        }
        let wait = Duration::from_millis(5);
        let filled = tokio::time::timeout(wait, response.connection.fill()).await;
        if !matches!(filled, Ok(Ok(count)) if count > 0) {
            return;
        }
    }
}

/// Keeps a connection after a complete answer, unless more bytes have arrived on it.
pub fn keep_connection(
    context: &Context,
    request: &AdmittedRequest<'_>,
    choice: &Choice,
    response: Response,
) {
    if !response.connection.buffer.is_empty() {
        return record_stray(context, &choice.run);
    }
    if !response.reusable || !response.connection.is_lasting() {
        return;
    }
    let keep_alive = response.head.text("keep-alive").and_then(keep_alive_timeout);
    let now = monotonic::now();
    let max_idle = pool::idle_share(request.upstream_connections, request.entries);
    let kept = (response.connection, &*request.info.id);
    context.pool.borrow_mut().put(now, &choice.run, kept, keep_alive, max_idle);
}

/// Returns how long an upstream keeps an idle connection, according to its `Keep-Alive` field.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let words = value.split(',').map(str::trim);
    let timeout = words.filter_map(|word| word.strip_prefix("timeout=")).next()?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
