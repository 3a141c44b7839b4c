//! A connection with the bytes that have come on it and are not used yet.

use std::io;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http::head;

/// Bytes that a reader takes at once; a head and a small body fit.
const READ_BYTES: usize = 8 << 10;

/// Bytes that may wait on a connection while it is only watched for its end.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Reads and writes one connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// What has come and is not used yet.
    pub buffer: BytesMut,
}

impl Connection {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// Reads what there is; zero at the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Waits until there is something to read, or the connection has ended.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn readable(&self) -> io::Result<()> {
        if self.buffer.is_empty() { self.stream.readable().await } else { Ok(()) }
    }

    /// Returns the length of the whole head that has come, if it has.
    pub fn head_length(&self) -> Option<usize> {
        head::head_length(&self.buffer)
    }

    /// Writes all of it.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns when the other side has closed, or the connection has failed; meanwhile what comes
    /// is kept.
    pub async fn closed_by_peer(&mut self) {
        loop {
            if self.buffer.len() >= MAX_BUFFERED_BYTES {
                // More than one request ahead: whether it is gone shows when it is written to.
                return std::future::pending().await;
            }
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return;
            }
        }
    }

    /// Writes bytes and reads at the same time; returns how many were written once something was
    /// read, or all is written.
    ///
    /// An upstream may answer before it has read a long body. Writing first and reading then would
    /// wait for each other for ever where the windows are small.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn write_or_read(&mut self, out: &[u8]) -> io::Result<Progress> {
        self.buffer.reserve(READ_BYTES);
        let (mut reader, mut writer) = self.stream.split();
        if out.is_empty() {
            return Ok(Progress::Read(reader.read_buf(&mut self.buffer).await?));
        }
        tokio::select! {
            written = writer.write(out) => Ok(Progress::Wrote(written?)),
            read = reader.read_buf(&mut self.buffer) => Ok(Progress::Read(read?)),
        }
    }

    /// Tells whether an idle connection is as it was left: open, and nothing has come on it.
    pub fn is_open_and_empty(&mut self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        let is_open = matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.buffer.is_empty() && is_open
    }

    /// Ends the sending side, after all that was written.
    pub async fn shutdown(&mut self) {
        // The other side may be gone already, which is as good an end.
        let _ = self.stream.shutdown().await;
    }
}

/// Says what a exchange did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// So many bytes were written.
    Wrote(usize),
    /// So many bytes were read; zero at the end of the connection.
    Read(usize),
}
