//! Connections that can be made to go silent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Silences connections of one listener.
#[derive(Default)]
pub(crate) struct Silencer {
    born: AtomicU64,
    silent_before: AtomicU64,
    mute: AtomicU32,
}

impl Silencer {
    /// Silences all connections that are open now; new ones work.
    pub(crate) fn silence(&self) {
        self.silent_before.store(self.born.load(Ordering::SeqCst) + 1, Ordering::SeqCst);
    }

    /// Does the same a little later, so that the connection on which it was asked for can answer.
    pub(crate) fn silence_soon(self: &Arc<Self>) {
        const SOON: Duration = Duration::from_millis(20);
        let silencer = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(SOON).await;
            silencer.silence();
        });
    }

    /// Silences the next connections from their start: they are accepted, and then nothing.
    pub(crate) fn mute(&self, count: u32) {
        self.mute.store(count, Ordering::SeqCst);
    }

    /// Wraps an accepted connection.
    pub(crate) fn wrap(self: &Arc<Self>, stream: TcpStream) -> Connection {
        let born = self.born.fetch_add(1, Ordering::SeqCst) + 1;
        let muted =
            self.mute.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        Connection { stream, born, muted: muted.is_ok(), silencer: self.clone() }
    }
}

/// Carries one accepted connection, which stays open but passes nothing once it is silenced.
pub(crate) struct Connection {
    stream: TcpStream,
    born: u64,
    muted: bool,
    silencer: Arc<Silencer>,
}

impl Connection {
    fn silent(&self) -> bool {
        self.muted || self.born < self.silencer.silent_before.load(Ordering::SeqCst)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
