//! A connection with its unread bytes.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http::head;
use crate::tunnel::Decoder;

/// Bytes that a read can take at once; a head and a small body fit.
const READ_BYTES: usize = 8 << 10;

/// Bytes read from one connection after which other tasks run; a peer that is always ready would
/// hold them up otherwise.
pub(crate) const YIELD_BYTES: usize = 16 << 10;

/// Limit on the unread bytes while a connection is only watched for its end.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Reads and writes one connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Received bytes that are not used yet.
    pub buffer: BytesMut,
    /// Decodes what arrives, if the connection goes through another entry.
    tunnel: Option<Box<Decoder>>,
    /// Bytes read since other tasks could run.
    bytes_since_yield: usize,
}

impl Connection {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: BytesMut::new(), tunnel: None, bytes_since_yield: 0 }
    }

    /// Takes over a connection that goes through another entry.
    pub(crate) fn through(stream: TcpStream, decoder: Decoder) -> Self {
        let tunnel = Some(Box::new(decoder));
        Self { stream, buffer: BytesMut::new(), tunnel, bytes_since_yield: 0 }
    }

    /// Returns the IP address of the peer, or the unspecified one if the connection has failed.
    pub fn peer_ip(&self) -> IpAddr {
        self.stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |it| it.ip())
    }

    /// Returns the address of the entry through which the connection goes, if it does.
    pub fn gateway(&self) -> Option<SocketAddr> {
        self.tunnel.as_ref().map(|it| it.gateway())
    }

    /// Returns whether the connection may take another request after the present one.
    pub fn is_lasting(&self) -> bool {
        self.tunnel.as_ref().is_none_or(|it| it.is_lasting())
    }

    /// Reads the bytes that are available; returns zero at the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.bytes_since_yield >= YIELD_BYTES {
            self.bytes_since_yield = 0;
            tokio::task::yield_now().await;
        }
        let count = self.fill_available().await?;
        self.bytes_since_yield += count;
        Ok(count)
    }

    async fn fill_available(&mut self) -> io::Result<usize> {
        let Some(tunnel) = &mut self.tunnel else {
            self.buffer.reserve(READ_BYTES);
            return self.stream.read_buf(&mut self.buffer).await;
        };
        loop {
            if let Some(count) = tunnel.decode(&mut self.buffer) {
                return Ok(count);
            }
            tunnel.received.reserve(READ_BYTES);
            if self.stream.read_buf(&mut tunnel.received).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Waits until there is something to read or the connection has ended.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn readable(&self) -> io::Result<()> {
        if self.buffer.is_empty() { self.stream.readable().await } else { Ok(()) }
    }

    /// Returns the length of the head at the start of the buffer, if it is complete.
    pub fn head_length(&self) -> Option<usize> {
        head::head_length(&self.buffer)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns when the peer has closed or the connection has failed; bytes received meanwhile are
    /// kept.
    pub async fn closed_by_peer(&mut self) {
        loop {
            if self.buffer.len() >= MAX_BUFFERED_BYTES {
                // The caller has sent more than one request ahead; whether it is gone shows at the
                // next write.
                return std::future::pending().await;
            }
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return;
            }
        }
    }

    /// Writes and reads at the same time and returns after the first progress on either side.
    ///
    /// An upstream may answer before it has read a long body. Writing everything first would
    /// deadlock with such an upstream when the TCP windows are small.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write_or_read(&mut self, out: &[u8]) -> io::Result<Progress> {
        if out.is_empty() {
            return Ok(Progress::Read(self.fill().await?));
        }
        loop {
            let (mut reader, mut writer) = self.stream.split();
            let received = self.tunnel.as_mut().map_or(&mut self.buffer, |it| &mut it.received);
            received.reserve(READ_BYTES);
            let read = tokio::select! {
                written = writer.write(out) => return Ok(Progress::Wrote(written?)),
                read = reader.read_buf(received) => read?,
            };
            let tunnel = self.tunnel.as_mut().filter(|_| read > 0);
            let Some(tunnel) = tunnel else { return Ok(Progress::Read(read)) };
            // A notice of the gateway is no progress, and more may come only after the request.
            if let Some(count) = tunnel.decode(&mut self.buffer) {
                return Ok(Progress::Read(count));
            }
        }
    }

    /// Returns whether an idle connection is still open and has received nothing.
    pub fn is_open_and_empty(&mut self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        let is_open = matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.buffer.is_empty() && is_open && self.is_lasting()
    }

    /// Sets whether the peer sees a reset when this side closes the connection, or its process
    /// ends.
    ///
    /// # Errors
    ///
    /// Fails if the connection has already ended.
    pub fn set_reset_on_close(&self, resets: bool) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))
    }

    /// Closes the sending side after all written bytes.
    pub async fn shutdown(&mut self) {
        // The peer may be gone already, which needs no handling.
        let _ = self.stream.shutdown().await;
    }
}

/// Describes what one exchange did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Number of bytes written.
    Wrote(usize),
    /// Number of bytes read; zero at the end of the connection.
    Read(usize),
}
