//! Sends a request to one upstream and takes the head of its answer.

use std::time::Duration;

use bytes::Buf;
use tokio::time::Instant;

use crate::dialect::ResponseInfo;
use crate::forward::admission::Job;
use crate::forward::context::Context;
use crate::forward::failover::Leave;
use crate::forward::pool;
use crate::http::connection::Progress;
use crate::http::{Connection, Decoder, ResponseHead, Step};
use crate::policy::placement::Choice;
use crate::{monotonic, socket};

/// How long a new connection may take; many times the longest way there and back.
const DIAL: Duration = Duration::from_millis(300);

/// The longest head of an answer.
const HEAD: usize = 64 << 10;

/// The longest answer to another request that is skipped.
const SKIP: usize = 1 << 20;

/// Holds a connection on which the head of the answer has come.
pub struct Answered {
    /// The connection; the body comes next.
    pub wire: Connection,
    /// The head.
    pub head: ResponseHead,
    /// What it says beyond HTTP.
    pub reply: ResponseInfo,
    /// Whether the connection may be used again after the body.
    pub reusable: bool,
}

/// Says why there is no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent: it has not run.
    Unreached,
    /// The connection broke, or what came is no answer: it may have run.
    Broken,
    /// Nothing came in time: it may have run.
    Silent,
    /// The caller has left.
    CallerGone,
}

/// Sends a request and waits for the head of the answer.
///
/// A silent upstream is left only if another one can take the request. Left without that, its caller
/// would lose an answer that was only slow.
pub async fn send(
    context: &Context,
    caller: &mut Connection,
    job: &Job<'_>,
    choice: &Choice,
    bytes: &[u8],
    mut leave: Leave<impl FnMut() -> bool>,
) -> Result<Answered, Failure> {
    let until = |silence: Option<Duration>| {
        silence.map_or(job.limit, |silence| job.limit.min(Instant::now() + silence))
    };
    let mut limit = until(leave.after);
    let (mut wire, kept) = connect(context, job, choice, limit).await?;
    let mut written = 0;
    let mut clean = true;
    loop {
        while let Some(end) = wire.head_length() {
            let head = ResponseHead::parse(&wire.buffer[..end]).map_err(|_| Failure::Broken)?;
            wire.buffer.advance(end);
            if head.status < 200 {
                continue;
            }
            let reply = context.dialect.response_info(&head, &job.call.id);
            if reply.matches_request {
                let reusable = clean && written == bytes.len() && !head.closes_connection();
                return Ok(Answered { wire, head, reply, reusable });
            }
            // A late answer to an earlier request on this connection. Taken for this one's, it
            // would give a caller what another one asked for.
            skip(&mut wire, &head, job, limit).await?;
            clean = false;
        }
        if wire.buffer.len() > HEAD {
            return Err(Failure::Broken);
        }
        tokio::select! {
            progress = wire.exchange(&bytes[written..]) => match progress {
                Ok(Progress::Wrote(count)) => written += count,
                Ok(Progress::Read(count)) if count > 0 => {}
                Ok(Progress::Read(_)) | Err(_) if written == 0 && kept => {
                    return Err(Failure::Unreached);
                }
                Ok(Progress::Read(_)) | Err(_) => return Err(Failure::Broken),
            },
            () = caller.gone() => return Err(Failure::CallerGone),
            () = tokio::time::sleep_until(limit) => {
                if limit == job.limit || (leave.may)() {
                    return Err(Failure::Silent);
                }
                limit = until(leave.after);
            }
        }
    }
}

async fn connect(
    context: &Context,
    job: &Job<'_>,
    choice: &Choice,
    limit: Instant,
) -> Result<(Connection, bool), Failure> {
    let once = !job.route.kind.may_repeat();
    let kept = context.pool.borrow_mut().take(monotonic::now(), &choice.run, once);
    if let Some(wire) = kept {
        return Ok((wire, true));
    }
    let left = limit.saturating_duration_since(Instant::now());
    let dialled = socket::connect(choice.address, DIAL.min(left)).await;
    metrics::counter!("verbenaslip_upstream_connections_total").increment(1);
    dialled.map(|stream| (Connection::new(stream), false)).map_err(|_| Failure::Unreached)
}

/// Reads over the body of an answer that belongs to another request.
async fn skip(
    wire: &mut Connection,
    head: &ResponseHead,
    job: &Job<'_>,
    limit: Instant,
) -> Result<(), Failure> {
    let framing = head.framing(&job.head.method).map_err(|_| Failure::Broken)?;
    let mut decoder = Decoder::new(framing);
    let mut skipped = 0;
    loop {
        match decoder.step(&mut wire.buffer) {
            Ok(Step::End) => return Ok(()),
            Ok(Step::Data(piece)) => skipped += piece.len(),
            Ok(Step::More) => {
                let filled = tokio::time::timeout_at(limit, wire.fill()).await;
                match filled {
                    Ok(Ok(count)) if count > 0 => {}
                    Ok(_) => return Err(Failure::Broken),
                    Err(_) => return Err(Failure::Silent),
                }
            }
            Err(_) => return Err(Failure::Broken),
        }
        if skipped > SKIP {
            return Err(Failure::Broken);
        }
    }
}

/// Keeps a connection whose answer was not passed on, if its body is short and whole.
pub async fn recycle(context: &Context, job: &Job<'_>, choice: &Choice, mut answered: Answered) {
    let Ok(framing) = answered.head.framing(&job.head.method) else { return };
    let mut decoder = Decoder::new(framing);
    for _ in 0..2 {
        loop {
            match decoder.step(&mut answered.wire.buffer) {
                Ok(Step::Data(_)) => {}
                Ok(Step::End) => return keep(context, job, choice, answered),
                Ok(Step::More) => break,
                Err(_) => return,
            }
        }
        let wait = Duration::from_millis(5);
        let filled = tokio::time::timeout(wait, answered.wire.fill()).await;
        if !matches!(filled, Ok(Ok(count)) if count > 0) {
            return;
        }
    }
}

/// Keeps a connection after a whole answer; one on which more has come is thrown away.
pub fn keep(context: &Context, job: &Job<'_>, choice: &Choice, answered: Answered) {
    if !answered.reusable || !answered.wire.buffer.is_empty() {
        return;
    }
    let stated = answered.head.text("keep-alive").and_then(stated);
    let now = monotonic::now();
    let most = pool::share(job.connections, job.entries);
    context.pool.borrow_mut().put(now, &choice.run, answered.wire, stated, most);
}

/// Reads for how many seconds an upstream keeps an idle connection.
fn stated(value: &str) -> Option<Duration> {
    let words = value.split(',').map(str::trim);
    let timeout = words.filter_map(|word| word.strip_prefix("timeout=")).next()?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
