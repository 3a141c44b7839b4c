//! A caller's connection that ends when the caller takes no byte for too long.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::traffic::error::Problem;
use crate::traffic::shared::Shared;

/// The server's name in every answer that was made here.
pub(crate) const SERVER: &str = "verbenaslip";

/// Wraps a caller's connection.
///
/// A caller that stops reading would hold its connection and its part of the answer for ever: the
/// system's buffers fill and nothing fails. A write that makes no progress for the limit is an
/// error, so the connection ends and the caller counts as gone.
pub(crate) struct Steady {
    stream: TcpStream,
    limit: Duration,
    stuck: Option<Pin<Box<Sleep>>>,
    shared: Arc<Shared>,
}

impl Steady {
    /// Wraps a connection with a limit on writes without progress.
    pub(crate) fn new(stream: TcpStream, limit: Duration, shared: Arc<Shared>) -> Self {
        Self { stream, limit, stuck: None, shared }
    }

    /// Returns the connection.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Passes on a write's result, and fails it when there was no progress for the limit.
    fn watch(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stuck = None;
            return written;
        }
        let limit = self.limit;
        let sleep = || Box::pin(tokio::time::sleep_until(Instant::now() + limit));
        ready!(self.stuck.get_or_insert_with(sleep).as_mut().poll(context));
        self.shared.stuck.fetch_add(1, Ordering::Relaxed);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Steady {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Steady {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(problem) = replacement(bytes) {
            self.shared.rejected.fetch_add(1, Ordering::Relaxed);
            // A new connection's buffer takes so few bytes at once; on an old one a caller that
            // does not read gets no error text.
            let _ = self.stream.try_write(&problem);
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let [only] = slices {
            return self.poll_write(context, only);
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Returns the error that goes out in place of the library's own, which has no body.
///
/// The library answers a head that it can't read by itself, with an empty body. Every answer made
/// here names the server, so one without the name is the library's.
fn replacement(bytes: &[u8]) -> Option<Vec<u8>> {
    let head = bytes.strip_prefix(b"HTTP/1.1 4")?;
    let text = std::str::from_utf8(head).ok()?;
    if text.contains("\nserver: verbenaslip\r") {
        return None;
    }
    let (problem, phrase) = match text.get(..2)? {
        "31" | "14" => (
            Problem::invalid(
                431,
                "head",
                "The head is too large.",
                "Send fewer or shorter headers.",
            ),
            "Request Header Fields Too Large",
        ),
        _ => (
            Problem::invalid(
                400,
                "head",
                "The head is not HTTP/1.1.",
                "Send a well-formed request.",
            ),
            "Bad Request",
        ),
    };
    Some(problem.closing().raw(phrase))
}
