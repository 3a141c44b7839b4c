//! Passes an answer on to its caller as it comes.

use std::time::Duration;

use tokio::time::Instant;

use crate::forward::admission::Job;
use crate::forward::answer;
use crate::forward::events::Splitter;
use crate::forward::exchange::Answered;
use crate::forward::failover::Leave;
use crate::http::body::{LAST_CHUNK, write_chunk};
use crate::http::{Connection, Decoder, Framing, Step};

/// Bytes of an answer that are gathered before they are written.
const GATHER: usize = 64 << 10;

/// Holds how far an answer has got to its caller.
#[derive(Debug, Default)]
pub struct Delivery {
    /// How the body goes to the caller; none before the head was written.
    framing: Option<Framing>,
    /// The whole events of a resumable stream.
    splitter: Splitter,
    /// When the first byte of the body came.
    pub first: Option<Instant>,
    /// When the last one came.
    last: Option<Instant>,
    /// The longest pause between two pieces.
    pub pause: Duration,
}

/// Says how an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The caller has all of it.
    Complete,
    /// The upstream broke off.
    Broken,
    /// The upstream was silent for too long.
    Silent,
    /// The time ran out.
    TimedOut,
    /// The caller has left.
    CallerGone,
}

impl Delivery {
    /// Tells whether the caller has the head of an answer.
    pub fn is_begun(&self) -> bool {
        self.framing.is_some()
    }

    /// Returns the last event that the caller has of this answer.
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last
    }

    /// Passes on an answer, or the rest of one that another upstream began.
    ///
    /// The caller must have all of it by the limit of its request.
    pub async fn run(
        &mut self,
        caller: &mut Connection,
        job: &Job<'_>,
        answered: &mut Answered,
        mut leave: Leave<impl FnMut() -> bool>,
    ) -> Ended {
        let limit = job.limit;
        let Ok(framing) = answered.head.framing(&job.head.method) else { return Ended::Broken };
        let mut out = Vec::new();
        if self.framing.is_none() {
            let to_caller = to_caller(job, framing);
            out = answer::write_head(&answered.head, to_caller, job.closes);
            self.framing = Some(to_caller);
        }
        let mut decoder = Decoder::new(framing);
        loop {
            let whole = match self.gather(&mut decoder, &mut answered.wire, job, &mut out) {
                Ok(whole) => whole,
                Err(()) => return self.broken(caller, &out, limit, Ended::Broken).await,
            };
            if whole {
                self.end(job, &mut out);
            }
            if !out.is_empty() {
                let sent = tokio::time::timeout_at(limit, caller.send(&out)).await;
                match sent {
                    Ok(Ok(())) => out.clear(),
                    Ok(Err(_)) => return Ended::CallerGone,
                    Err(_) => return Ended::TimedOut,
                }
            }
            if whole {
                return Ended::Complete;
            }
            if let Some(ended) =
                wait(caller, &mut answered.wire, &decoder, limit, leave.after).await
            {
                if ended == Ended::Silent && !(leave.may)() {
                    continue;
                }
                if ended == Ended::Complete {
                    self.end(job, &mut out);
                    let sent = tokio::time::timeout_at(limit, caller.send(&out)).await;
                    let gone = !matches!(sent, Ok(Ok(())));
                    return if gone { Ended::CallerGone } else { Ended::Complete };
                }
                self.splitter.cut();
                return ended;
            }
        }
    }

    /// Takes all that has come; returns whether the body is whole.
    fn gather(
        &mut self,
        decoder: &mut Decoder,
        wire: &mut Connection,
        job: &Job<'_>,
        out: &mut Vec<u8>,
    ) -> Result<bool, ()> {
        let mut pieces = Vec::new();
        while pieces.len() < GATHER {
            match decoder.step(&mut wire.buffer) {
                Ok(Step::Data(piece)) => pieces.extend_from_slice(&piece),
                Ok(Step::More) => break,
                Ok(Step::End) => {
                    self.put(job, &pieces, out);
                    return Ok(true);
                }
                Err(_) => {
                    self.put(job, &pieces, out);
                    return Err(());
                }
            }
        }
        self.put(job, &pieces, out);
        Ok(false)
    }

    fn put(&mut self, job: &Job<'_>, pieces: &[u8], out: &mut Vec<u8>) {
        if pieces.is_empty() {
            return;
        }
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.pause = self.pause.max(now - last);
        }
        if job.resumable() {
            let whole = self.splitter.take(pieces);
            self.write(&whole, out);
        } else {
            self.write(pieces, out);
        }
    }

    fn write(&self, bytes: &[u8], out: &mut Vec<u8>) {
        match self.framing {
            _ if bytes.is_empty() => {}
            Some(Framing::Chunked) => write_chunk(bytes, out),
            _ => out.extend_from_slice(bytes),
        }
    }

    fn end(&mut self, job: &Job<'_>, out: &mut Vec<u8>) {
        if job.resumable() {
            let rest = self.splitter.rest();
            self.write(&rest, out);
        }
        if self.framing == Some(Framing::Chunked) {
            out.extend_from_slice(LAST_CHUNK);
        }
    }

    /// Passes on what is whole before the connection's end makes the rest worthless.
    async fn broken(
        &mut self,
        caller: &mut Connection,
        out: &[u8],
        limit: Instant,
        ended: Ended,
    ) -> Ended {
        self.splitter.cut();
        match tokio::time::timeout_at(limit, caller.send(out)).await {
            Ok(Ok(())) => ended,
            Ok(Err(_)) => Ended::CallerGone,
            Err(_) => Ended::TimedOut,
        }
    }
}

/// Waits for more of the body; returns how the answer ended, if it did.
async fn wait(
    caller: &mut Connection,
    wire: &mut Connection,
    decoder: &Decoder,
    limit: Instant,
    pause: Option<Duration>,
) -> Option<Ended> {
    let silent = pause.map_or(limit, |pause| Instant::now() + pause);
    tokio::select! {
        filled = wire.fill() => match filled {
            Ok(count) if count > 0 => None,
            // An answer without a length ends with its connection, if that ends in good order.
            Ok(_) if decoder.may_end() => Some(Ended::Complete),
            Ok(_) | Err(_) => Some(Ended::Broken),
        },
        () = caller.gone() => Some(Ended::CallerGone),
        () = tokio::time::sleep_until(limit.min(silent)) => {
            Some(if silent < limit { Ended::Silent } else { Ended::TimedOut })
        }
    }
}

/// Returns how a body goes to the caller.
///
/// A body that ends with the upstream's connection goes on in chunks: the caller would take the end
/// of its own connection for the end of the body, also when the upstream broke off.
fn to_caller(job: &Job<'_>, framing: Framing) -> Framing {
    match framing {
        Framing::Empty => Framing::Empty,
        Framing::Length(length) if !job.resumable() => Framing::Length(length),
        _ if job.head.minor == 0 => Framing::Close,
        _ => Framing::Chunked,
    }
}
