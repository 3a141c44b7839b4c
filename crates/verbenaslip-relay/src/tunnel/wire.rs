//! What an entry and a gateway send to each other.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::registry::Run;

/// First bytes of a connection: the name and version of the protocol.
const MAGIC: &[u8; 4] = b"VST1";

/// Length of a chunk that ends the answer's connection cleanly.
const END: u16 = 0;

/// Length of a chunk that states that the gateway is stopping.
const RETIRING: u16 = u16::MAX;

/// Limit on the bytes of one chunk.
const MAX_CHUNK_BYTES: usize = 32 << 10;

/// Limit on the bytes of a request's identity that a gateway logs.
const MAX_ID_BYTES: usize = 64;

/// Asks a gateway for a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opening {
    /// Run of the upstream.
    pub run: Run,
    /// Time that the gateway may take to connect.
    pub limit: Duration,
}

impl Opening {
    /// Encodes the opening.
    pub fn encode(&self) -> Vec<u8> {
        let name = self.run.upstream.as_str().as_bytes();
        let millis = u16::try_from(self.limit.as_millis()).unwrap_or(u16::MAX);
        let length = u8::try_from(name.len()).unwrap_or(u8::MAX);
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&self.run.incarnation.to_le_bytes());
        bytes.extend_from_slice(&millis.to_le_bytes());
        bytes.push(length);
        bytes.extend_from_slice(&name[..usize::from(length)]);
        bytes
    }

    /// Takes an opening from the start of a buffer; `None` until it has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no opening.
    pub fn take(buffer: &mut BytesMut) -> io::Result<Option<Self>> {
        const FIXED_BYTES: usize = MAGIC.len() + 8 + 2 + 1;
        if !buffer.starts_with(&MAGIC[..buffer.len().min(MAGIC.len())]) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if buffer.len() < FIXED_BYTES {
            return Ok(None);
        }
        let name_length = usize::from(buffer[FIXED_BYTES - 1]);
        if buffer.len() < FIXED_BYTES + name_length {
            return Ok(None);
        }
        buffer.advance(MAGIC.len());
        let incarnation = buffer.get_u64_le();
        let limit = Duration::from_millis(buffer.get_u16_le().into());
        buffer.advance(1);
        let name = buffer.split_to(name_length);
        let name =
            std::str::from_utf8(&name).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let run = Run { upstream: Upstream::new(name), incarnation };
        Ok(Some(Self { run, limit }))
    }
}

/// States whether a gateway has opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The connection is open.
    Open,
    /// The upstream could not be reached from the gateway.
    Unreachable,
    /// The gateway has no path to the upstream, or does not know it.
    NoPath,
    /// The gateway carries as much as it may, or is stopping.
    Busy,
}

/// Answers an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether the connection is open.
    pub status: Status,
    /// Number of connections that the gateway carries.
    pub load: u32,
}

impl Reply {
    /// Number of bytes of a reply.
    pub const LENGTH: usize = 3;

    /// Encodes the reply.
    pub fn encode(self) -> [u8; Self::LENGTH] {
        let status = match self.status {
            Status::Open => 0,
            Status::Unreachable => 1,
            Status::NoPath => 2,
            Status::Busy => 3,
        };
        let [low, high] = u16::try_from(self.load).unwrap_or(u16::MAX).to_le_bytes();
        [status, low, high]
    }

    /// Decodes a reply, or returns `None` if the bytes are none.
    pub fn decode([status, low, high]: [u8; Self::LENGTH]) -> Option<Self> {
        let status = match status {
            0 => Status::Open,
            1 => Status::Unreachable,
            2 => Status::NoPath,
            3 => Status::Busy,
            _ => return None,
        };
        Some(Self { status, load: u16::from_le_bytes([low, high]).into() })
    }
}

/// Precedes a request on its way to a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Identity of the request.
    pub id: String,
    /// Bytes of the request, head and body.
    pub length: u32,
}

impl Prefix {
    /// Puts the prefix in front of the first bytes of a request, which `later` more bytes follow.
    pub fn wrap(id: &str, request: &[u8], later: usize) -> Vec<u8> {
        let id = &id.as_bytes()[..id.len().min(MAX_ID_BYTES)];
        let mut bytes = Vec::with_capacity(request.len() + id.len() + 5);
        let length = u32::try_from(request.len() + later).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.push(u8::try_from(id.len()).unwrap_or(0));
        bytes.extend_from_slice(id);
        bytes.extend_from_slice(request);
        bytes
    }

    /// Takes a prefix from the start of a buffer; `None` until it has arrived.
    pub fn take(buffer: &mut BytesMut) -> Option<Self> {
        const FIXED_BYTES: usize = 4 + 1;
        let id_length = usize::from(*buffer.get(FIXED_BYTES - 1)?);
        if buffer.len() < FIXED_BYTES + id_length {
            return None;
        }
        let length = buffer.get_u32_le();
        buffer.advance(1);
        let id = String::from_utf8_lossy(&buffer.split_to(id_length)).into_owned();
        Some(Self { id, length })
    }
}

/// Appends a chunk of an answer.
pub(super) fn write_chunks(data: &[u8], out: &mut BytesMut) {
    for chunk in data.chunks(MAX_CHUNK_BYTES) {
        let length = u16::try_from(chunk.len()).unwrap_or(RETIRING - 1);
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(chunk);
    }
}

/// Appends the clean end of an answer's connection.
pub(super) fn write_end(out: &mut BytesMut) {
    out.extend_from_slice(&END.to_le_bytes());
}

/// Appends the notice that the gateway is stopping.
pub(super) fn write_retiring(out: &mut BytesMut) {
    out.extend_from_slice(&RETIRING.to_le_bytes());
}

/// Decodes what a gateway sends.
#[derive(Debug)]
pub struct Decoder {
    gateway: SocketAddr,
    /// Received bytes that are not decoded yet.
    pub(crate) received: BytesMut,
    /// Bytes of the present chunk that are still missing.
    remaining: usize,
    has_ended: bool,
    is_retiring: bool,
}

impl Decoder {
    /// Starts before the first chunk.
    pub fn new(gateway: SocketAddr) -> Self {
        let received = BytesMut::new();
        Self { gateway, received, remaining: 0, has_ended: false, is_retiring: false }
    }

    /// Returns the address of the gateway.
    pub(crate) fn gateway(&self) -> SocketAddr {
        self.gateway
    }

    /// Returns whether another request may be sent through the gateway, and nothing waits to be
    /// decoded.
    pub(crate) fn is_lasting(&self) -> bool {
        !self.has_ended && !self.is_retiring && self.received.is_empty() && self.remaining == 0
    }

    /// Moves the data that have arrived to `buffer` and returns their number: zero at the clean
    /// end, `None` if more must arrive first.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Option<usize> {
        let mut moved = 0;
        loop {
            if self.remaining > 0 {
                let count = self.remaining.min(self.received.len());
                buffer.extend_from_slice(&self.received[..count]);
                self.received.advance(count);
                self.remaining -= count;
                moved += count;
            }
            if self.has_ended || self.remaining > 0 || self.received.len() < 2 {
                let is_known = moved > 0 || self.has_ended;
                return is_known.then_some(moved);
            }
            match self.received.get_u16_le() {
                END => self.has_ended = true,
                RETIRING => self.is_retiring = true,
                length => self.remaining = length.into(),
            }
        }
    }
}
