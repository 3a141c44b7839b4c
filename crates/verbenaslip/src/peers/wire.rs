//! Frames and datagrams between instances.

use std::io;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::name::Instance;
use verbenaslip_request::answer::{End, ServiceResponse, TokenBatch};
use verbenaslip_request::caller::Verdict;

/// The bytes before a frame's content: its length and its CRC-32, both little-endian.
const HEAD: usize = 8;

/// The most bytes that are read in one step.
const READ: usize = 64 << 10;

/// The bytes before a datagram's content: its CRC-32, little-endian.
const SUM: usize = 4;

/// The most bytes of a frame's content.
pub const FRAME_MAX: usize = 8 << 20;

/// The most bytes of a datagram.
pub const DATAGRAM_MAX: usize = 60_000;

/// Marks who sends and in which deployment.
#[data]
pub struct Stamp {
    /// Hash of the deployment's name and secret.
    pub deployment: u64,
    /// The sender.
    pub from: Instance,
    /// The sender's start.
    pub incarnation: u64,
}

/// Says what a connection is for.
#[data(copy, ord)]
pub enum Purpose {
    /// For messages of the decisions.
    Messages,
    /// For answers.
    Answers,
}

/// Holds one frame of a connection.
#[data]
pub enum Frame {
    /// Opens the connection.
    Hello {
        /// Who opens it.
        stamp: Stamp,
        /// What it is for.
        purpose: Purpose,
    },
    /// Shows that the connection still carries something.
    Heartbeat,
    /// Carries a message of the decisions.
    Message(Vec<u8>),
    /// Asks for an answer from after a position.
    Fetch {
        /// The request.
        request: Request,
        /// The last position that is held already.
        after: u32,
    },
    /// Brings a copy of an answer.
    Copy {
        /// The request.
        request: Request,
        /// The epoch of its owner.
        epoch: u16,
    },
    /// Carries a piece of an answer.
    Piece(TokenBatch),
    /// Ends a model's answer.
    End(End),
    /// Carries a plain service's whole answer.
    Whole(ServiceResponse),
    /// Says what the caller gets in place of the answer.
    Verdict(Verdict),
    /// Says how far a copy is.
    Held {
        /// The last position held.
        position: u32,
        /// Whether the end is held as well.
        whole: bool,
    },
    /// Says that there is no such answer, or that its copy is not taken.
    Declined,
}

/// Holds one datagram.
#[data]
pub struct Datagram {
    /// Who sent it.
    pub stamp: Stamp,
    /// The message.
    pub bytes: Vec<u8>,
}

/// Holds a frame and the bytes that it took; none when more must come first.
pub type Decoded = Option<(Frame, usize)>;

/// Says what is wrong with received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// the frame is larger than allowed
    Large,
    /// the checksum does not match: the bytes were damaged or are not ours
    Damaged,
    /// the content is no frame of this version
    Unreadable,
}

impl std::error::Error for Error {}

impl From<Error> for io::Error {
    fn from(error: Error) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

impl Frame {
    /// Returns the frame's bytes with length and checksum; none when it is too large.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let content = pack(self).filter(|content| content.len() <= FRAME_MAX)?;
        let mut bytes = Vec::with_capacity(HEAD + content.len());
        bytes.extend_from_slice(&u32::try_from(content.len()).ok()?.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
        bytes.extend_from_slice(&content);
        Some(bytes)
    }

    /// Reads a frame from bytes and says how many it took; none when more must come first.
    pub fn decode(bytes: &[u8]) -> Result<Decoded, Error> {
        let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let (length, sum) = split(*head);
        if length > FRAME_MAX {
            return Err(Error::Large);
        }
        let Some(content) = rest.get(..length) else {
            return Ok(None);
        };
        Ok(Some((check(content, sum)?, HEAD + length)))
    }

    /// Reads the next frame of a connection, and not a byte after it; fails when nothing comes for
    /// the limit.
    ///
    /// The limit counts from the last byte and not over the frame: a large one over a slow path would
    /// never arrive, however often it is sent again.
    pub(crate) async fn read(
        stream: &mut (impl AsyncRead + Unpin),
        limit: Duration,
    ) -> io::Result<Self> {
        let mut head = [0; HEAD];
        timeout(limit, stream.read_exact(&mut head)).await??;
        let (length, sum) = split(head);
        if length > FRAME_MAX {
            return Err(Error::Large.into());
        }
        // The memory grows with the bytes that came, not with the length that was claimed.
        let mut content = Vec::new();
        while content.len() < length {
            let left = length - content.len();
            content.reserve(left.min(READ));
            let mut part = (&mut *stream).take(left as u64);
            if timeout(limit, part.read_buf(&mut content)).await?? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(check(&content, sum)?)
    }

    /// Writes the frame; fails when nothing is taken for the limit.
    pub(crate) async fn write(
        &self,
        stream: &mut (impl AsyncWrite + Unpin),
        limit: Duration,
    ) -> io::Result<()> {
        let bytes = self.encode().ok_or(Error::Large)?;
        write(stream, &bytes, limit).await
    }
}

/// Writes bytes; fails when none is taken for the limit.
pub(crate) async fn write(
    stream: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    limit: Duration,
) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(limit, stream.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

impl Datagram {
    /// Returns the datagram's bytes with its checksum; none when it is too large.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let content = pack(self).filter(|content| content.len() + SUM <= DATAGRAM_MAX)?;
        let mut bytes = crc32fast::hash(&content).to_le_bytes().to_vec();
        bytes.extend_from_slice(&content);
        Some(bytes)
    }

    /// Reads a datagram from its bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let Some((sum, content)) = bytes.split_first_chunk::<SUM>() else {
            return Err(Error::Unreadable);
        };
        check(content, u32::from_le_bytes(*sum))
    }
}

fn split(head: [u8; HEAD]) -> (usize, u32) {
    let [a, b, c, d, e, f, g, h] = head;
    (u32::from_le_bytes([a, b, c, d]) as usize, u32::from_le_bytes([e, f, g, h]))
}

fn pack(value: &impl Serialize) -> Option<Vec<u8>> {
    postcard::to_stdvec(value).ok()
}

fn check<T: DeserializeOwned>(content: &[u8], sum: u32) -> Result<T, Error> {
    if crc32fast::hash(content) != sum {
        return Err(Error::Damaged);
    }
    let (value, rest) = postcard::take_from_bytes(content).map_err(|_| Error::Unreadable)?;
    if rest.is_empty() { Ok(value) } else { Err(Error::Unreadable) }
}
